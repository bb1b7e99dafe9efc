package registry

import (
	"maps"
	"slices"
	"time"
)

const (
	// evacuationGrace is how long an evacuation stays in force that a restored registry lacks. Operators write it again; ending it too
	// early sends work to a failure domain that they have emptied, while ending it late costs only capacity.
	evacuationGrace = 30 * time.Second
	// restoreHold is how long something is held back that a restored registry has although it had ended: until whoever ended it does so
	// again, or, for targets, the entry expires after three missed reports of 1.5 s, with one more for the way to the nodes.
	restoreHold = 6 * time.Second
	// endedTerm is how long it is known that something has ended. Backups are some seconds old.
	endedTerm = 2 * time.Minute
)

// evacuation is an entry that takes a failure domain out.
type evacuation struct {
	domain   string
	revision int64
	ends     time.Time // when it ends because the restored registry lacks it, zero if the registry has it
	begins   time.Time // until when it is held back, zero if it is in force
}

// liftedEvacuation is an evacuation that operators have ended.
type liftedEvacuation struct {
	revision int64 // of the entry that was removed
	at       time.Time
}

// EvacuationChange is a change of one entry of an evacuation.
type EvacuationChange struct {
	Key      string
	Domain   string // empty if the entry was removed
	Revision int64
	Restored bool // see Item
}

// Evacuations are the failure domains that operators have taken out, by the keys of their entries. They answer a registry that is
// restored from a backup: it may lack an evacuation that is in force, or have one again that was lifted. It is immutable.
type Evacuations struct {
	entries map[string]evacuation
	lifted  map[string]liftedEvacuation
}

// Has reports whether an entry is known.
func (e Evacuations) Has(key string) bool {
	_, ok := e.entries[key]
	return ok
}

// Domains returns the failure domains that are out, sorted.
func (e Evacuations) Domains() []string {
	out := map[string]bool{}
	for _, v := range e.entries {
		if v.begins.IsZero() {
			out[v.domain] = true
		}
	}
	return slices.Sorted(maps.Keys(out))
}

// WithChange returns the evacuations after a change of an entry.
func (e Evacuations) WithChange(now time.Time, c EvacuationChange) Evacuations {
	old, known := e.entries[c.Key]
	lifted, wasLifted := e.lifted[c.Key]
	switch {
	case c.Domain != "" && c.Restored && !known && wasLifted && lifted.revision == c.Revision:
		return e.withEntry(c.Key, evacuation{domain: c.Domain, revision: c.Revision, begins: now.Add(restoreHold)})
	case c.Domain != "":
		return e.withEntry(c.Key, evacuation{domain: c.Domain, revision: c.Revision})
	case !known:
		return e
	case c.Restored && old.begins.IsZero():
		if old.ends.IsZero() {
			old.ends = now.Add(evacuationGrace)
		}
		return e.withEntry(c.Key, old)
	}
	return e.withLifted(now, c.Key)
}

// WithoutExpired returns the evacuations without those whose grace has ended, and with those in force that were held back until now.
func (e Evacuations) WithoutExpired(now time.Time) Evacuations {
	for key, v := range e.entries {
		switch {
		case !v.ends.IsZero() && !now.Before(v.ends):
			e = e.withLifted(now, key)
		case !v.begins.IsZero() && !now.Before(v.begins):
			v.begins = time.Time{}
			e = e.withEntry(key, v)
		}
	}
	for key, l := range e.lifted {
		if now.Sub(l.at) >= endedTerm {
			e = e.writable()
			delete(e.lifted, key)
		}
	}
	return e
}

func (e Evacuations) withEntry(key string, v evacuation) Evacuations {
	e = e.writable()
	e.entries[key] = v
	return e
}

func (e Evacuations) withLifted(now time.Time, key string) Evacuations {
	e = e.writable()
	e.lifted[key] = liftedEvacuation{revision: e.entries[key].revision, at: now}
	delete(e.entries, key)
	return e
}

// writable returns the evacuations with copies of their maps, which can be written to.
func (e Evacuations) writable() Evacuations {
	c := Evacuations{entries: map[string]evacuation{}, lifted: map[string]liftedEvacuation{}}
	maps.Copy(c.entries, e.entries)
	maps.Copy(c.lifted, e.lifted)
	return c
}
