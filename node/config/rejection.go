package config

import (
	"fmt"
	"strings"
)

// UnknownVersion is the number of a version whose number cannot be read.
const UnknownVersion = -1

// maxReasons is how many faults of parts the text of a Rejection has.
const maxReasons = 10

// Rejection states what of the newest version is not in force; the zero value is that of a version that is in force as a whole.
type Rejection struct {
	Version int64    // UnknownVersion if its number cannot be read, zero if the version is in force as a whole
	Parts   []string // faults of the parts that cannot be read; empty if the whole version is not in force
	Reason  string   // why the whole version is not in force
}

// Error implements error.
func (r Rejection) Error() string { return "config: " + r.String() }

// String returns what is not in force and why, empty for a version that is in force as a whole.
func (r Rejection) String() string {
	switch {
	case r.Version == 0:
		return ""
	case len(r.Parts) > 0:
		return fmt.Sprintf("version %d is in force but for %d parts that cannot be read: %s",
			r.Version, len(r.Parts), strings.Join(r.Parts[:min(len(r.Parts), maxReasons)], "; "))
	case r.Version == UnknownVersion:
		return "version of unknown number: " + r.Reason
	default:
		return fmt.Sprintf("version %d: %s", r.Version, r.Reason)
	}
}
