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
	// restoreGrace is how long a target stays in use that a restored registry lacks: three reports of 1.5 s, after which its entry would
	// expire too if it did not report.
	restoreGrace = 4500 * time.Millisecond
)

// entry is a target with its state in the registry.
type entry struct {
	target   instance.Instance
	at       Point     // of the last change of its entry
	graceEnd time.Time // when a target without an entry is dropped, zero while the entry is in the registry
	// stays is set if the target was leaving when the registry was restored: it is then leaving whatever its entry says, until another
	// start of it. unpinned is when this ends for a target whose start is unknown.
	stays    bool
	unpinned time.Time
}

// heldEntry is the entry of an ended target in a restored registry. It is not used until it is written again or until the hold ends.
type heldEntry struct {
	entry entry
	until time.Time
}

// endedTarget is a target whose entry was removed.
type endedTarget struct {
	target instance.Instance
	at     time.Time
}

// Targets holds the targets that the registry lists, by the keys of their entries. It answers a registry that is restored from a
// backup: targets that were listed since are missing until they report again, those that have ended since are listed again until their
// entries expire, and those that began to leave look as if they stayed. It is immutable.
type Targets struct {
	entries map[string]entry
	held    map[string]heldEntry
	ended   map[string]endedTarget
	list    []instance.Instance
}

// TargetChange is a change of one target's entry.
type TargetChange struct {
	Key      string
	Era      int64
	Revision int64
	Restored bool               // see Item
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
	t = t.writable()
	for _, c := range changes {
		delete(t.held, c.Key)
		switch {
		case c.Restored:
			t.restore(now, c)
		case c.Target != nil:
			t.entries[c.Key] = t.entries[c.Key].withWrite(now, c)
			delete(t.ended, c.Key)
		default:
			t.remove(now, c.Key, recoveredAt)
		}
	}
	return t.withList()
}

// withWrite returns the entry after its target has written it. A target that was leaving when the registry was restored is still
// leaving if it is the same start.
func (e entry) withWrite(now time.Time, c TargetChange) entry {
	next := entry{target: *c.Target, at: Point{Era: c.Era, Revision: c.Revision}}
	if !e.stays && e.target.State == instance.StateLeaving && c.Era > e.at.Era {
		e.stays, e.unpinned = true, now.Add(restoreHold)
	}
	if e.stays && sameStart(e.target, next.target) && (!next.target.StartedAt.IsZero() || now.Before(e.unpinned)) {
		next.target.State, next.stays, next.unpinned = instance.StateLeaving, true, e.unpinned
	}
	return next
}

// sameStart reports whether two entries under one key may be of the same start of a target.
func sameStart(a, b instance.Instance) bool { return a.StartedAt.Equal(b.StartedAt) }

// restore applies an entry of a restored registry, or its absence, to maps that are clones.
func (t Targets) restore(now time.Time, c TargetChange) {
	old, known := t.entries[c.Key]
	ended, hasEnded := t.ended[c.Key]
	switch {
	case c.Target == nil:
		if known {
			t.keep(now, c.Key)
		}
	case known && c.Target.StartedAt.Before(old.target.StartedAt):
		t.keep(now, c.Key)
		t.hold(now, c)
	case known && sameStart(old.target, *c.Target):
		next := old.withWrite(now, c)
		next.at = old.at // it may be older than the entry of another target that has the same address and is missing now
		t.entries[c.Key] = next
	case !known && hasEnded && !c.Target.StartedAt.After(ended.target.StartedAt), !known && t.hasReplaced(*c.Target):
		t.hold(now, c)
	default:
		t.entries[c.Key] = entry{target: *c.Target, at: Point{Era: c.Era, Revision: c.Revision}}
	}
}

// hasReplaced reports whether a target that started later has the address of the given one. This node may have started after that ended.
func (t Targets) hasReplaced(target instance.Instance) bool {
	for _, e := range t.entries {
		if e.target.NodeName() == target.NodeName() && e.target.Service == target.Service && e.target.StartedAt.After(target.StartedAt) {
			return true
		}
	}
	return false
}

// keep lets a target that the restored registry lacks stay in use until it reports again.
func (t Targets) keep(now time.Time, key string) {
	e := t.entries[key]
	if e.graceEnd.IsZero() {
		e.graceEnd = now.Add(restoreGrace)
	}
	t.entries[key] = e
}

// hold keeps an entry of a restored registry from being used until it is written again.
func (t Targets) hold(now time.Time, c TargetChange) {
	t.held[c.Key] = heldEntry{entry: entry{target: *c.Target, at: Point{Era: c.Era, Revision: c.Revision}}, until: now.Add(restoreHold)}
}

// remove applies the removal of an entry to maps that are clones.
func (t Targets) remove(now time.Time, key string, recoveredAt time.Time) {
	old, ok := t.entries[key]
	if !ok {
		return
	}
	if old.graceEnd = graceEnd(now, old.target, recoveredAt); !old.graceEnd.IsZero() {
		t.entries[key] = old
		return
	}
	delete(t.entries, key)
	t.ended[key] = endedTarget{target: old.target, at: now}
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

// writable returns the targets with copies of their maps, which can be written to.
func (t Targets) writable() Targets {
	c := Targets{entries: map[string]entry{}, held: map[string]heldEntry{}, ended: map[string]endedTarget{}, list: t.list}
	maps.Copy(c.entries, t.entries)
	maps.Copy(c.held, t.held)
	maps.Copy(c.ended, t.ended)
	return c
}

// withList returns the targets with the list of their entries, and whether it changed.
func (t Targets) withList() (Targets, bool) {
	before := t.list
	t.list = listOf(t.entries)
	return t, !slices.Equal(t.list, before)
}

// WithoutExpired returns the targets without those whose grace has ended and with those that were held back until now, and whether
// there were any of these.
func (t Targets) WithoutExpired(now time.Time) (Targets, bool) {
	if !t.hasExpired(now) {
		return t, false
	}
	t = t.writable()
	maps.DeleteFunc(t.ended, func(_ string, e endedTarget) bool { return now.Sub(e.at) >= endedTerm })
	for key, e := range t.entries {
		if e.expired(now) {
			delete(t.entries, key)
			t.ended[key] = endedTarget{target: e.target, at: now}
		}
	}
	for key, h := range t.held {
		if !now.Before(h.until) {
			delete(t.held, key)
			t.entries[key] = h.entry
		}
	}
	t, _ = t.withList()
	return t, true
}

func (e entry) expired(now time.Time) bool { return !e.graceEnd.IsZero() && !now.Before(e.graceEnd) }

// hasExpired reports whether a grace, a hold or the memory of an ended target is over.
func (t Targets) hasExpired(now time.Time) bool {
	for _, e := range t.entries {
		if e.expired(now) {
			return true
		}
	}
	for _, h := range t.held {
		if !now.Before(h.until) {
			return true
		}
	}
	for _, e := range t.ended {
		if now.Sub(e.at) >= endedTerm {
			return true
		}
	}
	return false
}

// HasLapsed reports whether the target with the given name has no entry and is kept only until its grace ends.
func (t Targets) HasLapsed(name string) bool {
	for _, e := range t.entries {
		if e.target.Name == name {
			return !e.graceEnd.IsZero()
		}
	}
	return false
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
		if other, ok := newest[addr]; !ok || e.at.Compare(other.at) > 0 {
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
