package registry

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxDeletedItems bounds the deleted items that a snapshot keeps so that it can send them to other nodes.
	maxDeletedItems = 1024
	// outageThreshold is the longest time between two confirmations that does not count as an outage of the registry. It is shorter
	// than the three missed heartbeats after which entries expire.
	outageThreshold = 2 * time.Second
)

// GapError reports an update that starts after a later revision than the snapshot's, so that changes between them are missing.
type GapError struct{ Held, After int64 }

func (e GapError) Error() string {
	return fmt.Sprintf("registry: update starts after revision %d, but the snapshot is at revision %d", e.After, e.Held)
}

// EraError reports an update of another era that does not replace the snapshot: a partial one of a higher era, or one of a lower era.
type EraError struct{ Held, Found int64 }

func (e EraError) Error() string {
	return fmt.Sprintf("registry: update of era %d, but the snapshot is of era %d", e.Found, e.Held)
}

// Snapshot is a node's copy of the registry at one revision; it is immutable. All its items are of one era.
type Snapshot struct {
	era         int64
	revision    int64
	compactedTo int64 // deleted items up to this revision may have been dropped
	items       map[string]Item
	confirmed   time.Time // last time at which the registry is known to have been at this revision
	recoveredAt time.Time // end of the last outage
}

// Revision returns the revision of the snapshot, zero if it is empty.
func (s Snapshot) Revision() int64 { return s.revision }

// Era returns the era of the snapshot, zero while the registry states none.
func (s Snapshot) Era() int64 { return s.era }

// Point returns the era and the revision of the snapshot.
func (s Snapshot) Point() Point { return Point{Era: s.era, Revision: s.revision} }

// Confirmed returns when the registry was last known to be at this revision, zero if never.
func (s Snapshot) Confirmed() time.Time { return s.confirmed }

// RecoveredAt returns when the first confirmation after the last outage of the registry arrived, zero if there was no outage.
func (s Snapshot) RecoveredAt() time.Time { return s.recoveredAt }

// Age returns the time since the last confirmation, or Unconfirmed.
func (s Snapshot) Age(now time.Time) time.Duration {
	if s.confirmed.IsZero() {
		return Unconfirmed
	}
	return max(now.Sub(s.confirmed), 0)
}

// WithUpdate returns the snapshot after an update that arrived at the given time, and the items that changed. An update to an older
// revision changes nothing. A full update of a higher era replaces all items. The error is a GapError if changes before the update are
// missing, and an EraError if the update is of another era and does not replace the snapshot.
func (s Snapshot) WithUpdate(at time.Time, u Update) (Snapshot, []Item, error) {
	switch {
	case u.Era < s.era, u.Era > s.era && u.After > 0:
		return s, nil, EraError{Held: s.era, Found: u.Era}
	case u.Era > s.era:
		next, changed := s.withEra(at, u)
		return next, changed, nil
	case u.After > s.revision:
		return s, nil, GapError{Held: s.revision, After: u.After}
	case u.Revision < s.revision:
		return s, nil, nil
	}
	s = s.withConfirmation(at, u.Age)
	if u.Revision == s.revision {
		return s, nil, nil
	}
	changed := s.newer(u.Items)
	if u.After == 0 {
		changed = append(changed, s.deletions(u)...)
		s.compactedTo = max(s.compactedTo, u.Revision)
	}
	s.revision = u.Revision
	return s.withItems(changed), changed, nil
}

// withEra returns the snapshot after a full update of a higher era, and the items that changed: all of the update, since equal
// revisions of two eras may have different values, and a deletion of each that the update lacks.
func (s Snapshot) withEra(at time.Time, u Update) (Snapshot, []Item) {
	next := Snapshot{era: u.Era, revision: u.Revision, compactedTo: u.Revision, confirmed: s.confirmed, recoveredAt: s.recoveredAt}
	changed := next.newer(u.Items)
	present := make(map[string]bool, len(changed))
	for _, i := range changed {
		present[i.Key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !s.items[key].Deleted && !present[key] {
			changed = append(changed, Item{Key: key, Revision: u.Revision, Deleted: true})
		}
	}
	next = next.withConfirmation(at, u.Age).withItems(changed)
	for n := range changed {
		changed[n].Restored = s.Point() != Point{}
	}
	return next, changed
}

// newer returns the latest change of each item, unless the snapshot already has it or a later one. Deletions of unknown items are
// included, so that they reach other nodes, which may hold these items.
func (s Snapshot) newer(items []Item) []Item {
	last := make(map[string]int64, len(items))
	for _, i := range items {
		last[i.Key] = max(last[i.Key], i.Revision)
	}
	var changed []Item
	for _, i := range items {
		if i.Revision == last[i.Key] && i.Revision > s.items[i.Key].Revision {
			changed = append(changed, i)
		}
	}
	return changed
}

// withConfirmation keeps the later confirmation. If more than outageThreshold lies between two of them, the registry was down.
func (s Snapshot) withConfirmation(at time.Time, age time.Duration) Snapshot {
	if age < 0 {
		return s
	}
	confirmed := at.Add(-age)
	if !confirmed.After(s.confirmed) {
		return s
	}
	if !s.confirmed.IsZero() && confirmed.Sub(s.confirmed) > outageThreshold {
		s.recoveredAt = at
	}
	s.confirmed = confirmed
	return s
}

// deletions returns a deletion for each item that a full update lacks. Items that are newer than the update stay.
func (s Snapshot) deletions(u Update) []Item {
	present := make(map[string]bool, len(u.Items))
	for _, i := range u.Items {
		present[i.Key] = true
	}
	var deleted []Item
	for key, i := range s.items {
		if !i.Deleted && !present[key] && i.Revision <= u.Revision {
			deleted = append(deleted, Item{Key: key, Revision: u.Revision, Deleted: true})
		}
	}
	slices.SortFunc(deleted, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return deleted
}

func (s Snapshot) withItems(changed []Item) Snapshot {
	if len(changed) == 0 {
		return s
	}
	items := maps.Clone(s.items)
	if items == nil {
		items = make(map[string]Item, len(changed))
	}
	for _, i := range changed {
		items[i.Key] = i
	}
	s.items = items
	return s.withoutOldDeletions()
}

// withoutOldDeletions drops the older half of the deleted items if there are more than maxDeletedItems. It modifies the map, which
// must be a clone.
func (s Snapshot) withoutOldDeletions() Snapshot {
	var revisions []int64
	for _, i := range s.items {
		if i.Deleted {
			revisions = append(revisions, i.Revision)
		}
	}
	if len(revisions) <= maxDeletedItems {
		return s
	}
	slices.Sort(revisions)
	s.compactedTo = max(s.compactedTo, revisions[len(revisions)/2])
	maps.DeleteFunc(s.items, func(_ string, i Item) bool { return i.Deleted && i.Revision <= s.compactedTo })
	return s
}

// Since returns the changes after a point, or a full update if that is of another era or deletions since then were dropped.
func (s Snapshot) Since(now time.Time, p Point) Update {
	u := Update{Era: s.era, After: min(p.Revision, s.revision), Revision: s.revision, Age: s.Age(now)}
	if p.Era != s.era || p.Revision < s.compactedTo {
		u.After = 0
	}
	for _, i := range s.items {
		if i.Revision > u.After && (u.After > 0 || !i.Deleted) {
			u.Items = append(u.Items, i)
		}
	}
	slices.SortFunc(u.Items, func(a, b Item) int {
		if a.Revision != b.Revision {
			return int(a.Revision - b.Revision)
		}
		return strings.Compare(a.Key, b.Key)
	})
	return u
}
