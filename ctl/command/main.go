// Package command implements the commands of verbctl.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"verbenapin.dev/node/config"
)

// Exit codes of verbctl.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitRejected = 3
	ExitDiffers  = 4
)

const help = `Checks, compares and packs declarations, and asks the nodes of a fleet.

FILE is a declaration file, a directory of .yaml and .yml files, or a directory written by pack.

Exit codes:
  0  done; diff found no difference
  1  failed, such as a file that cannot be read or a node that does not answer
  2  bad arguments
  3  declarations rejected, with file, line and reason of each fault
  4  diff found differences`

// Streams are the standard streams of the process.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// UsageError reports arguments or input that a command cannot use.
type UsageError struct{ Reason string }

func (e UsageError) Error() string { return "command: " + e.Reason + ": see --help" }

// DiffersError reports that diff found differences.
type DiffersError struct{ Count int }

func (e DiffersError) Error() string { return fmt.Sprintf("command: %d differences", e.Count) }

// Main runs one command until it ends or ctx is canceled, and returns its exit code.
func Main(ctx context.Context, args []string, std Streams) int {
	parser := flags.NewNamedParser("verbctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = help
	add := func(name, text string, data any) {
		if _, err := parser.AddCommand(name, text, text+".", data); err != nil {
			panic(err) // a fault in the struct tags of this package, which any test run finds
		}
	}
	add("check", "Check declarations and print each fault with file, line and reason", &checkCommand{std: std})
	add("pack", "Check declarations and write their manifest and parts for the configuration service", &packCommand{std: std})
	add("show", "Print the values of a route or account and where each one is set", &showCommand{std: std})
	add("diff", "Print the differences between the values of two versions", &diffCommand{std: std})
	add("digest", "Read an API key from standard input and print its digest for the tree", &digestCommand{std: std})
	add("fleet", "Print version, load and limits of nodes, which of them leave, and the failure domains taken out", &fleetCommand{std: std, ctx: ctx})
	add("explain", "Print why requests of an account on a route are refused with a code", &explainCommand{std: std, ctx: ctx})
	add("where", "Print where a node would send a request now and why, without sending it", &whereCommand{std: std, ctx: ctx})
	add("request", "Print what the logs of nodes tell of a request, by its id, in the order of time", &requestCommand{std: std})
	_, err := parser.ParseArgs(args)
	return exitCode(err, std)
}

// exitCode prints the error and returns its exit code.
func exitCode(err error, std Streams) int {
	var flagErr *flags.Error
	var usage UsageError
	var rejected config.ParseError
	var differs DiffersError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(std.Out, flagErr.Message)
		return ExitDone
	case errors.As(err, &flagErr):
		_, _ = fmt.Fprintf(std.Err, "%s: see --help\n", flagErr.Message)
		return ExitUsage
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(std.Err, err)
		return ExitUsage
	case errors.As(err, &rejected):
		for _, p := range rejected.Problems {
			_, _ = fmt.Fprintln(std.Err, p)
		}
		return ExitRejected
	case errors.As(err, &differs):
		return ExitDiffers
	default:
		_, _ = fmt.Fprintln(std.Err, err)
		return ExitFailed
	}
}
