package declare

import (
	"fmt"
	"slices"
	"strings"

	"verbenapin.dev/node/config"
)

// HomesRemovedError reports homes that a version removes although they are not retired: the remaining homes could not
// know whether the removed ones still lend tokens, and would keep their shares of accounts low.
type HomesRemovedError struct{ Names []string }

func (e HomesRemovedError) Error() string {
	return fmt.Sprintf("declare: homes removed without having been retired: %s; keep them in homes, add them to retired once the platform has terminated them, "+
		"publish that, and remove them from both lists when that version is in force everywhere", strings.Join(e.Names, ", "))
}

// HomesReplacedError reports a change of so many homes that a majority of the old ones and a majority of the new ones
// may have no home in common: nodes could then use both versions without either majority noticing the other.
type HomesReplacedError struct{ Old, New, Kept int }

func (e HomesReplacedError) Error() string {
	return fmt.Sprintf("declare: %d homes become %d and only %d stay, so more than half of the old and more than half of the new ones need not share one: "+
		"add fewer homes in this version, and the rest in further versions, each when the one before is in force everywhere", e.Old, e.New, e.Kept)
}

// checkHomes returns an error if nodes cannot safely change from the homes of one version to those of the next.
func checkHomes(before, after config.Fleet) error {
	var removed []string
	for _, name := range before.Active() {
		if !slices.Contains(after.Homes, name) {
			removed = append(removed, name)
		}
	}
	if len(removed) > 0 {
		return HomesRemovedError{Names: removed}
	}
	old, now := before.Active(), after.Active()
	kept := 0
	for _, name := range old {
		if slices.Contains(now, name) {
			kept++
		}
	}
	// Newly retired homes have been terminated, so only kept ones can form a majority of the old homes.
	// A majority of the new homes contains at least this many kept ones.
	minKept := max(0, len(now)/2+1-(len(now)-kept))
	if len(old) > 0 && len(old)/2+1+minKept <= kept {
		return HomesReplacedError{Old: len(old), New: len(now), Kept: kept}
	}
	return nil
}
