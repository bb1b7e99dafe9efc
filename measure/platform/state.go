// Package platform simulates the platform's configuration service and its instance list, with faults that can be injected.
package platform

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"
)

// EndpointFaults selects the faults of one endpoint.
type EndpointFaults struct {
	Down  bool `json:"down"`  // connections are closed without a response
	Stale int  `json:"stale"` // number of versions that the endpoint is behind the newest one
	Lag   int  `json:"lag"`   // milliseconds until a new version becomes visible
}

// Faults selects the faults of both endpoints.
type Faults struct {
	Values    EndpointFaults `json:"values"`
	Instances EndpointFaults `json:"instances"`
}

// Calls counts the requests of nodes.
type Calls struct {
	Total   int   `json:"total"`
	Waiting int   `json:"waiting"` // long polls waiting now
	Peak    int   `json:"peak"`    // most requests in one second
	current int   // requests in the current second
	second  int64 // current second in Unix time
}

// WithCall returns c with one request at the given time added; a long poll counts once.
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

// Version is one version of a value.
type Version struct {
	Data []byte
	Etag string
	at   time.Time // time of publication
}

// Value holds all versions of a value, the newest last.
type Value struct {
	versions []Version
}

// WithData returns v with a new version added.
func (v Value) WithData(now time.Time, data []byte) Value {
	sum := sha256.Sum256(data)
	version := Version{Data: slices.Clone(data), Etag: hex.EncodeToString(sum[:8]), at: now}
	return Value{versions: append(slices.Clone(v.versions), version)}
}

// Visible returns the version that nodes see, whether there is one, and the time until a newer one becomes visible, zero if
// there is none.
func (v Value) Visible(now time.Time, faults EndpointFaults) (Version, bool, time.Duration) {
	lag := time.Duration(faults.Lag) * time.Millisecond
	i := len(v.versions) - 1
	var next time.Duration
	for ; i >= 0; i-- {
		wait := v.versions[i].at.Add(lag).Sub(now)
		if wait <= 0 {
			break
		}
		next = wait
	}
	if i < 0 {
		return Version{}, false, next
	}
	return v.versions[max(0, i-faults.Stale)], true, next
}

// State holds the values, instance lists and faults of the platform.
type State struct {
	values        map[string]Value
	instanceLists map[string]Value
	faults        Faults
	viewFaults    map[string]Faults // override faults for single views
	calls         Calls
}

// WithValue returns s with a new version of a configuration value.
func (s State) WithValue(now time.Time, name string, data []byte) State {
	s.values = withValue(s.values, name, s.values[name].WithData(now, data))
	return s
}

// WithInstanceList returns s with a new version of the instance list of one view.
func (s State) WithInstanceList(now time.Time, view string, data []byte) State {
	s.instanceLists = withValue(s.instanceLists, view, s.instanceLists[view].WithData(now, data))
	return s
}

// WithFaults returns s with the faults of all views replaced.
func (s State) WithFaults(f Faults) State {
	s.faults, s.viewFaults = f, nil
	return s
}

// WithViewFaults returns s with the faults of one view replaced.
func (s State) WithViewFaults(view string, f Faults) State {
	s.viewFaults = maps.Clone(s.viewFaults)
	if s.viewFaults == nil {
		s.viewFaults = map[string]Faults{}
	}
	s.viewFaults[view] = f
	return s
}

// Faults returns the faults of one view.
func (s State) Faults(view string) Faults {
	if f, ok := s.viewFaults[view]; ok {
		return f
	}
	return s.faults
}

// withValue returns a copy of m with one value replaced.
func withValue(m map[string]Value, name string, v Value) map[string]Value {
	c := maps.Clone(m)
	if c == nil {
		c = map[string]Value{}
	}
	c[name] = v
	return c
}
