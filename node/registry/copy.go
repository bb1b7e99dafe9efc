package registry

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxRemovals bounds the notes of removed items that a copy keeps to tell others of them.
	maxRemovals = 1024
	// outageAfter is the time without a confirmation that counts as an outage of the registry. Entries lapse after three
	// missed heartbeats of their targets, which take longer.
	outageAfter = 2 * time.Second
)

// GapError reports news that do not follow what the copy holds.
type GapError struct{ Held, After int64 }

func (e GapError) Error() string {
	return fmt.Sprintf("registry: news follow revision %d, but the copy is at %d", e.After, e.Held)
}

// Snapshot is a node's copy of the registry at one revision; it never changes.
type Snapshot struct {
	revision  int64
	floor     int64 // removals up to this revision may have been forgotten
	items     map[string]Item
	confirmed time.Time // the registry was at this revision at this time or later
	returned  time.Time // end of the last outage
}

// Revision returns the revision of the copy, zero if it is empty.
func (c Snapshot) Revision() int64 { return c.revision }

// Confirmed returns when the registry was last found to be at this revision, zero if never.
func (c Snapshot) Confirmed() time.Time { return c.confirmed }

// RecoveredAt returns when the registry was heard again after the last outage, zero if there was none.
func (c Snapshot) RecoveredAt() time.Time { return c.returned }

// Age returns the time since the last confirmation, or Unconfirmed.
func (c Snapshot) Age(now time.Time) time.Duration {
	if c.confirmed.IsZero() {
		return Unconfirmed
	}
	return max(now.Sub(c.confirmed), 0)
}

// WithNews returns the copy after news that arrived at the given time, and the items that changed. Older news change
// nothing; its error is a GapError if earlier changes are missing.
func (c Snapshot) WithNews(at time.Time, n Update) (Snapshot, []Item, error) {
	switch {
	case n.After > c.revision:
		return c, nil, GapError{Held: c.revision, After: n.After}
	case n.Revision < c.revision:
		return c, nil, nil
	}
	c = c.withConfirmation(at, n.Age)
	if n.Revision == c.revision {
		return c, nil, nil
	}
	changed := c.newer(n.Items)
	if n.After == 0 {
		changed = append(changed, c.missing(n)...)
		c.floor = max(c.floor, n.Revision)
	}
	c.revision = n.Revision
	return c.withItems(changed), changed, nil
}

// newer returns the last change of each item that the copy does not hold. Removals of unknown items count as well, since
// other nodes may hold these.
func (c Snapshot) newer(items []Item) []Item {
	last := make(map[string]int64, len(items))
	for _, i := range items {
		last[i.Key] = max(last[i.Key], i.Revision)
	}
	var changed []Item
	for _, i := range items {
		if i.Revision == last[i.Key] && i.Revision > c.items[i.Key].Revision {
			changed = append(changed, i)
		}
	}
	return changed
}

// withConfirmation keeps the later confirmation. A gap between two of them is an outage of the registry.
func (c Snapshot) withConfirmation(at time.Time, age time.Duration) Snapshot {
	if age < 0 {
		return c
	}
	confirmed := at.Add(-age)
	if !confirmed.After(c.confirmed) {
		return c
	}
	if !c.confirmed.IsZero() && confirmed.Sub(c.confirmed) > outageAfter {
		c.returned = at
	}
	c.confirmed = confirmed
	return c
}

// missing returns removals of the items that a whole copy lacks. Items that are newer than that copy stay.
func (c Snapshot) missing(n Update) []Item {
	present := make(map[string]bool, len(n.Items))
	for _, i := range n.Items {
		present[i.Key] = true
	}
	var gone []Item
	for key, i := range c.items {
		if !i.Deleted && !present[key] && i.Revision <= n.Revision {
			gone = append(gone, Item{Key: key, Revision: n.Revision, Deleted: true})
		}
	}
	slices.SortFunc(gone, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return gone
}

func (c Snapshot) withItems(changed []Item) Snapshot {
	if len(changed) == 0 {
		return c
	}
	items := maps.Clone(c.items)
	if items == nil {
		items = make(map[string]Item, len(changed))
	}
	for _, i := range changed {
		items[i.Key] = i
	}
	c.items = items
	return c.withoutRemovals()
}

// withoutRemovals forgets the older half of the removals when there are too many; it changes the map, which must be a clone.
func (c Snapshot) withoutRemovals() Snapshot {
	var revisions []int64
	for _, i := range c.items {
		if i.Deleted {
			revisions = append(revisions, i.Revision)
		}
	}
	if len(revisions) <= maxRemovals {
		return c
	}
	slices.Sort(revisions)
	c.floor = max(c.floor, revisions[len(revisions)/2])
	maps.DeleteFunc(c.items, func(_ string, i Item) bool { return i.Deleted && i.Revision <= c.floor })
	return c
}

// Since returns the changes after a revision, or the whole copy if removals since then were forgotten.
func (c Snapshot) Since(now time.Time, revision int64) Update {
	n := Update{After: min(revision, c.revision), Revision: c.revision, Age: c.Age(now)}
	if revision < c.floor {
		n.After = 0
	}
	for _, i := range c.items {
		if i.Revision > n.After && (n.After > 0 || !i.Deleted) {
			n.Items = append(n.Items, i)
		}
	}
	slices.SortFunc(n.Items, func(a, b Item) int {
		if a.Revision != b.Revision {
			return int(a.Revision - b.Revision)
		}
		return strings.Compare(a.Key, b.Key)
	})
	return n
}
