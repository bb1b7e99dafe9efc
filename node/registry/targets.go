package registry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"verbenapin.dev/node/instance"
)

const (
	// settleFor is the time after an outage of the registry in which a removed entry may only have lapsed meanwhile.
	settleFor = 3 * time.Second
	// lapseGrace is how long the target of such an entry stays in use: the platform states that entries of targets that
	// live are back within about 2 s after an outage.
	lapseGrace = 2300 * time.Millisecond
)

// listed is one target of the registry.
type listed struct {
	target   instance.Instance
	revision int64     // of the last change of its entry
	until    time.Time // end of the grace of a lapsed entry, zero for one that stands in the registry
}

// Targets are the targets that the registry lists, by the keys of their entries; they never change.
type Targets struct {
	entries map[string]listed
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
		t.entries = map[string]listed{}
	}
	t.entries[key] = listed{target: target, revision: revision}
	return t
}

// WithRemoval returns the targets after an entry was removed. Just after an outage, at the given time of the registry's
// return, the entry of a target in use may have lapsed only because the target could not renew it, and the target stays
// for a while. One that announced that it leaves is gone.
func (t Targets) WithRemoval(now time.Time, key string, returned time.Time) Targets {
	e, ok := t.entries[key]
	if !ok {
		return t
	}
	t.entries = maps.Clone(t.entries)
	until := returned.Add(lapseGrace)
	if returned.IsZero() || now.Sub(returned) >= settleFor || e.target.State == instance.StateLeaving || !now.Before(until) {
		delete(t.entries, key)
		return t
	}
	e.until = until
	t.entries[key] = e
	return t
}

// WithoutExpired returns the targets without those whose grace has ended, and whether there were any.
func (t Targets) WithoutExpired(now time.Time) (Targets, bool) {
	over := func(_ string, e listed) bool { return !e.until.IsZero() && !now.Before(e.until) }
	for key, e := range t.entries {
		if over(key, e) {
			t.entries = maps.Clone(t.entries)
			maps.DeleteFunc(t.entries, over)
			return t, true
		}
	}
	return t, false
}

// address is where a target of a service stands.
type address struct{ node, service string }

// List returns the targets in the order of their names. Of several targets of one service at one address only the one
// whose entry changed last is there still: an earlier one that crashed stays in the registry until its entry lapses.
func (t Targets) List() []instance.Instance {
	last := make(map[address]listed, len(t.entries))
	for _, e := range t.entries {
		at := address{node: e.target.NodeName(), service: e.target.Service}
		if other, ok := last[at]; !ok || e.revision > other.revision {
			last[at] = e
		}
	}
	list := make([]instance.Instance, 0, len(last))
	for _, e := range last {
		list = append(list, e.target)
	}
	slices.SortFunc(list, func(a, b instance.Instance) int { return strings.Compare(a.Name, b.Name) })
	return list
}
