package registry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"verbenapin.dev/node/instance"
)

const (
	// outageWindow is the time after an outage of the registry in which an entry may be missing only because it expired during the
	// outage.
	outageWindow = 3 * time.Second
	// expiryGrace is how long the target of such an entry stays in use, counted from the end of the outage: the platform states that
	// entries of live targets are back within about 2 s.
	expiryGrace = 2300 * time.Millisecond
)

// entry is a target with its state in the registry.
type entry struct {
	target   instance.Instance
	revision int64     // of the last change of its entry
	graceEnd time.Time // when a target without an entry is dropped, zero while the entry is in the registry
}

// Targets holds the targets that the registry lists, by the keys of their entries; it is immutable.
type Targets struct {
	entries map[string]entry
	list    []instance.Instance
}

// TargetChange is a change of one target's entry.
type TargetChange struct {
	Key      string
	Revision int64
	Target   *instance.Instance // nil if the entry was removed or cannot be used
}

// Target returns the target of an entry.
func (t Targets) Target(key string) (instance.Instance, bool) {
	e, ok := t.entries[key]
	return e.target, ok
}

// WithChanges returns the targets after changes of their entries, and whether the list of targets changed. recoveredAt is the end of
// the last outage of the registry.
func (t Targets) WithChanges(now time.Time, changes []TargetChange, recoveredAt time.Time) (Targets, bool) {
	if len(changes) == 0 {
		return t, false
	}
	entries := maps.Clone(t.entries)
	if entries == nil {
		entries = make(map[string]entry, len(changes))
	}
	for _, c := range changes {
		old, ok := entries[c.Key]
		switch {
		case c.Target != nil:
			entries[c.Key] = entry{target: *c.Target, revision: c.Revision}
		case !ok:
		default:
			if old.graceEnd = graceEnd(now, old.target, recoveredAt); old.graceEnd.IsZero() {
				delete(entries, c.Key)
			} else {
				entries[c.Key] = old
			}
		}
	}
	return t.withEntries(entries)
}

// graceEnd returns until when a target whose entry was removed stays in use, zero if it does not. Just after an outage, which ended at
// recoveredAt, the entry may have expired only because the target could not renew it. A target that was leaving is removed at once.
func graceEnd(now time.Time, target instance.Instance, recoveredAt time.Time) time.Time {
	end := recoveredAt.Add(expiryGrace)
	if recoveredAt.IsZero() || now.Sub(recoveredAt) >= outageWindow || target.State == instance.StateLeaving || !now.Before(end) {
		return time.Time{}
	}
	return end
}

// withEntries returns the targets with other entries, and whether the list changed.
func (t Targets) withEntries(entries map[string]entry) (Targets, bool) {
	list := listOf(entries)
	changed := !slices.Equal(list, t.list)
	return Targets{entries: entries, list: list}, changed
}

// WithoutExpired returns the targets without those whose grace has ended, and whether there were any of these.
func (t Targets) WithoutExpired(now time.Time) (Targets, bool) {
	expired := func(_ string, e entry) bool { return !e.graceEnd.IsZero() && !now.Before(e.graceEnd) }
	for key, e := range t.entries {
		if expired(key, e) {
			entries := maps.Clone(t.entries)
			maps.DeleteFunc(entries, expired)
			next, _ := t.withEntries(entries)
			return next, true
		}
	}
	return t, false
}

// address identifies the place of a target: its node and its service.
type address struct{ node, service string }

// List returns the targets in the order of their names; the caller must not change it. If several targets of one service have the same
// address, only the one whose entry changed last is listed: the entry of an earlier one that crashed stays in the registry until it
// expires.
func (t Targets) List() []instance.Instance { return t.list }

func listOf(entries map[string]entry) []instance.Instance {
	newest := make(map[address]entry, len(entries))
	for _, e := range entries {
		addr := address{node: e.target.NodeName(), service: e.target.Service}
		if other, ok := newest[addr]; !ok || e.revision > other.revision {
			newest[addr] = e
		}
	}
	list := make([]instance.Instance, 0, len(newest))
	for _, e := range newest {
		list = append(list, e.target)
	}
	slices.SortFunc(list, func(a, b instance.Instance) int { return strings.Compare(a.Name, b.Name) })
	return list
}
