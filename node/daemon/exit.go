package daemon

import (
	"errors"
	"fmt"
)

// Exit codes of a node.
const (
	ExitEnded    = 0
	ExitFailed   = 1
	ExitSettings = 2
	ExitUnusable = 3
)

// UnusableError reports an address, a certificate or a configuration file that the node cannot use.
type UnusableError struct {
	Flag   string // the flag that gave the value, with its hyphens
	Err    error
	Remedy string // what the operator can do
}

func (e UnusableError) Error() string {
	return fmt.Sprintf("daemon: %s is unusable: %v: %s", e.Flag, e.Err, e.Remedy)
}

// Unwrap returns the cause.
func (e UnusableError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for the error that ended the node.
func ExitCode(err error) int {
	var help HelpError
	var settings SettingsError
	var unusable UnusableError
	switch {
	case err == nil, errors.As(err, &help):
		return ExitEnded
	case errors.As(err, &settings):
		return ExitSettings
	case errors.As(err, &unusable):
		return ExitUnusable
	default:
		return ExitFailed
	}
}
