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
}

// Target returns the target of an entry.
func (t Targets) Target(key string) (instance.Instance, bool) {
	e, ok := t.entries[key]
	return e.target, ok
}

// WithTarget returns the targets after an entry was written.
func (t Targets) WithTarget(key string, target instance.Instance, revision int64) Targets {
	t.entries = maps.Clone(t.entries)
	if t.entries == nil {
		t.entries = map[string]entry{}
	}
	t.entries[key] = entry{target: target, revision: revision}
	return t
}

// WithRemoval returns the targets after an entry was removed. Just after an outage, which ended at recoveredAt, the entry may have
// expired only because the target could not renew it, so the target is kept until expiryGrace has passed. A target that was leaving
// is removed at once.
func (t Targets) WithRemoval(now time.Time, key string, recoveredAt time.Time) Targets {
	e, ok := t.entries[key]
	if !ok {
		return t
	}
	t.entries = maps.Clone(t.entries)
	graceEnd := recoveredAt.Add(expiryGrace)
	if recoveredAt.IsZero() || now.Sub(recoveredAt) >= outageWindow || e.target.State == instance.StateLeaving || !now.Before(graceEnd) {
		delete(t.entries, key)
		return t
	}
	e.graceEnd = graceEnd
	t.entries[key] = e
	return t
}

// WithoutExpired returns the targets without those whose grace has ended, and whether there were any of these.
func (t Targets) WithoutExpired(now time.Time) (Targets, bool) {
	expired := func(_ string, e entry) bool { return !e.graceEnd.IsZero() && !now.Before(e.graceEnd) }
	for key, e := range t.entries {
		if expired(key, e) {
			t.entries = maps.Clone(t.entries)
			maps.DeleteFunc(t.entries, expired)
			return t, true
		}
	}
	return t, false
}

// address identifies the place of a target: its node and its service.
type address struct{ node, service string }

// List returns the targets in the order of their names. If several targets of one service have the same address, only the one whose
// entry changed last is returned: the entry of an earlier one that crashed stays in the registry until it expires.
func (t Targets) List() []instance.Instance {
	newest := make(map[address]entry, len(t.entries))
	for _, e := range t.entries {
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
