package declare

import (
	"fmt"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/operator/report"
)

// UnknownEntryError reports a name that is not a concrete route or account of a tree.
type UnknownEntryError struct {
	Kind config.EntryKind
	Name string
}

func (e UnknownEntryError) Error() string {
	return fmt.Sprintf("declare: %s: no entry %q, or it is only a parent of others", e.Kind, e.Name)
}

// Values returns the values of a route or account with their origins.
func Values(t config.Tree, kind config.EntryKind, name string) ([]report.Value, error) {
	values, ok := report.Values(t, kind, name)
	if !ok {
		return nil, UnknownEntryError{Kind: kind, Name: name}
	}
	return values, nil
}
