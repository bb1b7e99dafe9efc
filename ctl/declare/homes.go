package declare

import (
	"fmt"
	"slices"
	"strings"

	"verbenapin.dev/node/config"
)

// RemovedError reports homes that a version removes although they are not retired: the others could not know
// whether they still lend tokens, and would hold the shares of accounts down.
type RemovedError struct{ Names []string }

func (e RemovedError) Error() string {
	return fmt.Sprintf("declare: homes removed without having been retired: %s; keep them in homes, add them to retired once the platform has terminated them, "+
		"publish that, and remove them from both lists when that version is in force everywhere", strings.Join(e.Names, ", "))
}

// ReplacedError reports a change of so many homes that more than half of the old ones and more than half of the new
// ones need not share a home: two versions could then be in use without hearing of each other.
type ReplacedError struct{ Old, New, Kept int }

func (e ReplacedError) Error() string {
	return fmt.Sprintf("declare: %d homes become %d and only %d stay, so more than half of the old and more than half of the new ones need not share one: "+
		"add fewer homes in this version, and the rest in further versions, each when the one before is in force everywhere", e.Old, e.New, e.Kept)
}

// checkHomes decides whether nodes may pass from one list of homes to another.
func checkHomes(before, after config.Fleet) error {
	var removed []string
	for _, name := range before.Active() {
		if !slices.Contains(after.Homes, name) {
			removed = append(removed, name)
		}
	}
	if len(removed) > 0 {
		return RemovedError{Names: removed}
	}
	old, now := before.Active(), after.Active()
	kept := 0
	for _, name := range old {
		if slices.Contains(now, name) {
			kept++
		}
	}
	// Homes that are newly retired have been terminated, so a majority of the old homes consists of kept ones.
	// A majority of the new homes has at least this many kept ones.
	least := max(0, len(now)/2+1-(len(now)-kept))
	if len(old) > 0 && len(old)/2+1+least <= kept {
		return ReplacedError{Old: len(old), New: len(now), Kept: kept}
	}
	return nil
}
