// Package platform is a stand-in for the platform's configuration service and its list of instances.
package platform

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"
)

// EndpointFaults sets the faults of one endpoint.
type EndpointFaults struct {
	Down  bool `json:"down"`  // connections are broken instead of answered
	Stale int  `json:"stale"` // how many versions behind the newest the endpoint answers
	Lag   int  `json:"lag"`   // milliseconds until a new version becomes visible
}

// Faults sets the faults of both endpoints.
type Faults struct {
	Values    EndpointFaults `json:"values"`
	Instances EndpointFaults `json:"instances"`
}

// Calls counts the calls of readers.
type Calls struct {
	Total   int `json:"total"`
	Waiting int `json:"waiting"` // long polls that wait now
	Peak    int `json:"peak"`    // most calls in one second
	current int
	second  int64
}

// WithCall returns c with one call at the given time; a long poll counts once.
func (c Calls) WithCall(now time.Time) Calls {
	if s := now.Unix(); s != c.second {
		c.second, c.current = s, 0
	}
	c.Total++
	c.current++
	c.Peak = max(c.Peak, c.current)
	return c
}

// WithWaiting returns c with the number of waiting long polls changed by n.
func (c Calls) WithWaiting(n int) Calls {
	c.Waiting += n
	return c
}

// Entry is one version of a value.
type Entry struct {
	Data []byte
	Etag string
	at   time.Time
}

// Value is a value with its earlier versions.
type Value struct {
	entries []Entry
}

// WithData returns v with a new version.
func (v Value) WithData(now time.Time, data []byte) Value {
	sum := sha256.Sum256(data)
	e := Entry{Data: slices.Clone(data), Etag: hex.EncodeToString(sum[:8]), at: now}
	return Value{entries: append(slices.Clone(v.entries), e)}
}

// Visible returns the version that readers see, and the time until a newer one becomes visible, zero if there is none.
func (v Value) Visible(now time.Time, sw EndpointFaults) (Entry, bool, time.Duration) {
	lag := time.Duration(sw.Lag) * time.Millisecond
	i := len(v.entries) - 1
	var next time.Duration
	for ; i >= 0; i-- {
		wait := v.entries[i].at.Add(lag).Sub(now)
		if wait <= 0 {
			break
		}
		next = wait
	}
	if i < 0 {
		return Entry{}, false, next
	}
	return v.entries[max(0, i-sw.Stale)], true, next
}

// State is what the platform holds.
type State struct {
	values map[string]Value
	lists  map[string]Value
	faults Faults
	views  map[string]Faults // of single views, in place of faults
	calls  Calls
}

// WithValue returns s with a new version of a configuration value.
func (s State) WithValue(now time.Time, name string, data []byte) State {
	s.values = with(s.values, name, s.values[name].WithData(now, data))
	return s
}

// WithList returns s with a new version of the instance list as one view shows it.
func (s State) WithList(now time.Time, view string, data []byte) State {
	s.lists = with(s.lists, view, s.lists[view].WithData(now, data))
	return s
}

// WithFaults returns s with other faults for all views.
func (s State) WithFaults(f Faults) State {
	s.faults, s.views = f, nil
	return s
}

// WithViewFaults returns s with other faults for the readers of one view.
func (s State) WithViewFaults(view string, f Faults) State {
	s.views = maps.Clone(s.views)
	if s.views == nil {
		s.views = map[string]Faults{}
	}
	s.views[view] = f
	return s
}

// Faults returns the faults that the readers of one view meet.
func (s State) Faults(view string) Faults {
	if f, ok := s.views[view]; ok {
		return f
	}
	return s.faults
}

func with(m map[string]Value, name string, v Value) map[string]Value {
	c := maps.Clone(m)
	if c == nil {
		c = map[string]Value{}
	}
	c[name] = v
	return c
}
