package instance

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Time limits of observations.
const (
	MaxContactAge = 3 * time.Second        // a contact younger than this overrides the list
	MaxLeavingAge = 60 * time.Second       // twice the default limit of a graceful shutdown; after it the list decides again
	minBackoff    = 100 * time.Millisecond // after one failed call; doubles with each further one
	maxBackoff    = 5 * time.Second
)

// Outcome is the outcome of a call to an instance.
type Outcome string

// Outcomes of calls.
const (
	Answered        Outcome = "answered"
	Refused         Outcome = "refused" // the connection was refused
	Unanswered      Outcome = "silent"  // no answer in time, or an error other than a refused connection
	AnsweredLeaving Outcome = "leaves"  // an answer that says the instance is leaving
)

// Status is the status of an instance, as this node derives it from the list and its own observations.
type Status string

// Status values of instances.
const (
	StatusLive         Status = "present"
	StatusLeaving      Status = "leaving" // announced by the instance or stated by the list
	StatusUnresponsive Status = "quiet"   // calls fail without a refusal: paused or partitioned, which this node cannot distinguish
	StatusCrashed      Status = "crashed" // connections are refused
	StatusUnknown      Status = "unknown"
)

// observation holds what this node observed of one instance.
type observation struct {
	bootID      uint32
	version     int64 // configuration version in the last heartbeat
	lastContact time.Time
	lastLeaving time.Time // last time the instance reported that it is leaving
	lastFailure time.Time
	failures    int  // since the last contact
	refused     bool // the last failure was a refused connection
}

func (o observation) backoff() time.Duration {
	return min(minBackoff<<min(o.failures-1, 10), maxBackoff)
}

func (o observation) lastUpdate() time.Time {
	return latest(latest(o.lastContact, o.lastLeaving), o.lastFailure)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// View is the platform's list, corrected by what this node observed; it is immutable.
type View struct {
	rows         map[string]Instance // by name: listed instances, and removed ones with a recent contact
	listed       map[string]bool
	observations map[string]observation
	hasList      bool

	// services indexes the rows by service, since each request looks up one service.
	services map[string][]Instance
	nodes    map[string]Instance // one row of each node, by node name
}

// WithList returns v with a new list. Rows that the new list lacks are kept if their instance had contact within
// MaxContactAge, since the list lags behind.
func (v View) WithList(now time.Time, list []Instance) View {
	rows := make(map[string]Instance, len(list))
	listed := make(map[string]bool, len(list))
	for name, row := range v.rows {
		if o, ok := v.observations[name]; ok && !o.lastContact.IsZero() && now.Sub(o.lastContact) < MaxContactAge {
			rows[name] = row
		}
	}
	for _, row := range list {
		rows[row.Name] = row
		listed[row.Name] = true
	}
	v.rows, v.listed, v.hasList = rows, listed, true
	v.services, v.nodes = map[string][]Instance{}, make(map[string]Instance, len(rows))
	for _, row := range rows {
		v.services[row.Service] = append(v.services[row.Service], row)
		v.nodes[row.NodeName()] = row
	}
	return v
}

// ByNode returns one row of the named node.
func (v View) ByNode(name string) (Instance, bool) {
	row, ok := v.nodes[name]
	return row, ok
}

// NodeCount returns the number of nodes.
func (v View) NodeCount() int { return len(v.nodes) }

// ByService returns the known instances of a service in any order; the caller must not change the slice.
func (v View) ByService(name string) []Instance { return v.services[name] }

// WithHeartbeat returns v after a heartbeat received from its sender. Only a heartbeat with another boot ID, as after a
// restart, clears the leaving status; a delayed one of the same boot does not.
func (v View) WithHeartbeat(at time.Time, hb Heartbeat) View {
	o := v.observations[hb.Name]
	switch {
	case hb.Leaving:
		o.lastLeaving = latest(o.lastLeaving, at)
	case o.bootID != hb.BootID:
		o.lastLeaving = time.Time{}
	}
	o.bootID, o.version = hb.BootID, hb.Version
	return v.withObservation(hb.Name, o.withAnswer(at), at)
}

// WithOutcome returns v after a call to an instance. Failures that precede the last contact are ignored.
func (v View) WithOutcome(at time.Time, name string, outcome Outcome) View {
	o := v.observations[name]
	switch outcome {
	case AnsweredLeaving:
		o.lastLeaving = latest(o.lastLeaving, at)
		o = o.withAnswer(at)
	case Answered:
		o = o.withAnswer(at)
	case Refused, Unanswered:
		if at.Before(o.lastContact) {
			return v
		}
		o.lastFailure = latest(o.lastFailure, at)
		o.failures++
		o.refused = outcome == Refused
	}
	return v.withObservation(name, o, at)
}

func (o observation) withAnswer(at time.Time) observation {
	o.lastContact = latest(o.lastContact, at)
	if o.lastContact.After(o.lastFailure) {
		o.failures, o.refused = 0, false
	}
	return o
}

// withObservation returns v with the observation of an instance. It drops observations last updated more than MaxLeavingAge
// ago, so their number is bounded by the instances that sent a heartbeat or were called within that time.
func (v View) withObservation(name string, o observation, now time.Time) View {
	observations := maps.Clone(v.observations)
	if observations == nil {
		observations = map[string]observation{}
	}
	observations[name] = o
	for n, old := range observations {
		if now.Sub(old.lastUpdate()) > MaxLeavingAge {
			delete(observations, n)
		}
	}
	v.observations = observations
	return v
}

// HasList reports whether a list has been read.
func (v View) HasList() bool { return v.hasList }

// ListedCount returns the number of instances in the platform's list.
func (v View) ListedCount() int { return len(v.listed) }

// Instance returns the row of an instance.
func (v View) Instance(name string) (Instance, bool) {
	row, ok := v.rows[name]
	return row, ok
}

// LastContact returns when an instance last answered or sent a heartbeat, zero if never.
func (v View) LastContact(name string) time.Time { return v.observations[name].lastContact }

// ConfigVersion returns the configuration version in the last heartbeat of an instance, zero if there was none.
func (v View) ConfigVersion(name string) int64 { return v.observations[name].version }

// Status returns the status of an instance. What the instance announced, failed calls and recent contacts override the list,
// in this order.
func (v View) Status(now time.Time, name string) Status {
	row, known := v.rows[name]
	o := v.observations[name]
	recentContact := !o.lastContact.IsZero() && now.Sub(o.lastContact) < MaxContactAge
	switch {
	case !known:
		return StatusUnknown
	case !o.lastLeaving.IsZero() && now.Sub(o.lastLeaving) < MaxLeavingAge:
		return StatusLeaving
	case o.failures > 0 && now.Sub(o.lastFailure) < o.backoff():
		if o.refused {
			return StatusCrashed
		}
		return StatusUnresponsive
	case recentContact:
		return StatusLive
	case !v.listed[name]:
		return StatusUnknown
	case row.State == StateLeaving:
		return StatusLeaving
	}
	return StatusLive
}

// Instances returns the instances with the given status, ordered by name.
func (v View) Instances(now time.Time, status Status) []Instance {
	var out []Instance
	for name, row := range v.rows {
		if v.Status(now, name) == status {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Counts returns how many instances have each status, not counting the one named exclude.
func (v View) Counts(now time.Time, exclude string) map[Status]int {
	counts := map[Status]int{}
	for name := range v.rows {
		if name != exclude {
			counts[v.Status(now, name)]++
		}
	}
	return counts
}

// Pick returns up to n live instances at random, without the one named exclude.
func (v View) Pick(now time.Time, n int, exclude string, random func(n int) int) []Instance {
	all := slices.DeleteFunc(v.Instances(now, StatusLive), func(i Instance) bool { return i.Name == exclude })
	n = min(n, len(all))
	for i := range n {
		j := i + random(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:n]
}
