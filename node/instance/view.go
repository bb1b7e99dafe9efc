package instance

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Times of the membership rule.
const (
	ContactAge = 3 * time.Second  // a younger contact overrides the list
	LeavingAge = 60 * time.Second // twice the default limit of a graceful shutdown; a mark is then the list's matter again
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Outcome is what a call to an instance showed.
type Outcome string

// Outcomes of calls.
const (
	Answered Outcome = "answered"
	Refused  Outcome = "refused" // the connection was refused
	Silent   Outcome = "silent"  // no answer in time
	Leaves   Outcome = "leaves"  // an answer that says the instance is leaving
)

// Status is what the node concludes about an instance.
type Status string

// Statuses of instances.
const (
	StatusLive         Status = "present"
	StatusLeaving      Status = "leaving" // announced by itself or by the list
	StatusUnresponsive Status = "quiet"   // paused or cut off, which look the same
	StatusCrashed      Status = "crashed" // connections are refused
	StatusUnknown      Status = "unknown"
)

// mark is what this node observed of one instance.
type mark struct {
	boot     uint32
	version  int64 // of the configuration, as the last heartbeat said
	contact  time.Time
	leaving  time.Time
	failed   time.Time // last failure after the last contact
	failures int
	refused  bool
}

func (m mark) backoff() time.Duration {
	return min(minBackoff<<min(m.failures-1, 10), maxBackoff)
}

func (m mark) newest() time.Time {
	return latest(latest(m.contact, m.leaving), m.failed)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// View is the platform's list, corrected by what this node observed; it never changes.
type View struct {
	rows   map[string]Instance // listed ones, and removed ones that are still heard
	listed map[string]bool
	marks  map[string]mark
	read   bool

	// services holds the rows by service, since each request asks for one service.
	services map[string][]Instance
	hosts    map[string]Instance // a row of each node
}

// WithList returns v with a new list.
// Rows that the list lost stay known while the instance is heard, since the list lags.
func (v View) WithList(now time.Time, list []Instance) View {
	rows := make(map[string]Instance, len(list))
	listed := make(map[string]bool, len(list))
	for name, row := range v.rows {
		if m, ok := v.marks[name]; ok && !m.contact.IsZero() && now.Sub(m.contact) < ContactAge {
			rows[name] = row
		}
	}
	for _, row := range list {
		rows[row.Name] = row
		listed[row.Name] = true
	}
	v.rows, v.listed, v.read = rows, listed, true
	v.services, v.hosts = map[string][]Instance{}, make(map[string]Instance, len(rows))
	for _, row := range rows {
		v.services[row.Service] = append(v.services[row.Service], row)
		v.hosts[row.NodeName()] = row
	}
	return v
}

// ByNode returns a row of the named node.
func (v View) ByNode(name string) (Instance, bool) {
	row, ok := v.hosts[name]
	return row, ok
}

// NodeCount returns the number of nodes.
func (v View) NodeCount() int { return len(v.hosts) }

// ByService returns the known instances of a service in any order; the caller must not change the slice.
func (v View) ByService(name string) []Instance { return v.services[name] }

// WithBeat returns v after a heartbeat that an instance sent itself.
// A leaving mark belongs to one boot: a late heartbeat does not clear it, a restarted instance does.
func (v View) WithBeat(at time.Time, b Heartbeat) View {
	m := v.marks[b.Name]
	switch {
	case b.Leaving:
		m.leaving = latest(m.leaving, at)
	case m.boot != b.BootID:
		m.leaving = time.Time{}
	}
	m.boot, m.version = b.BootID, b.Version
	return v.withMark(b.Name, m.answered(at), at)
}

// WithContact returns v after a call to an instance.
func (v View) WithContact(at time.Time, name string, outcome Outcome) View {
	m := v.marks[name]
	switch outcome {
	case Leaves:
		m.leaving = latest(m.leaving, at)
		m = m.answered(at)
	case Answered:
		m = m.answered(at)
	case Refused, Silent:
		if at.Before(m.contact) {
			return v
		}
		m.failed = latest(m.failed, at)
		m.failures++
		m.refused = outcome == Refused
	}
	return v.withMark(name, m, at)
}

func (m mark) answered(at time.Time) mark {
	m.contact = latest(m.contact, at)
	if m.contact.After(m.failed) {
		m.failures, m.refused = 0, false
	}
	return m
}

// withMark also drops the marks that no longer matter, which bounds their number by the calls of a minute.
func (v View) withMark(name string, m mark, now time.Time) View {
	marks := maps.Clone(v.marks)
	if marks == nil {
		marks = map[string]mark{}
	}
	marks[name] = m
	for n, m := range marks {
		if now.Sub(m.newest()) > LeavingAge {
			delete(marks, n)
		}
	}
	v.marks = marks
	return v
}

// HasList tells whether the list has been read at all.
func (v View) HasList() bool { return v.read }

// ListedCount returns the number of instances in the platform's list.
func (v View) ListedCount() int { return len(v.listed) }

// Instance returns what is known of an instance's addresses.
func (v View) Instance(name string) (Instance, bool) {
	row, ok := v.rows[name]
	return row, ok
}

// LastContact returns when an instance last answered or sent a heartbeat, zero if never.
func (v View) LastContact(name string) time.Time { return v.marks[name].contact }

// ConfigVersion returns the configuration version that an instance last told of, zero if none.
func (v View) ConfigVersion(name string) int64 { return v.marks[name].version }

// Status returns what the node concludes about an instance.
func (v View) Status(now time.Time, name string) Status {
	row, known := v.rows[name]
	m := v.marks[name]
	heard := !m.contact.IsZero() && now.Sub(m.contact) < ContactAge
	switch {
	case !known:
		return StatusUnknown
	case !m.leaving.IsZero() && now.Sub(m.leaving) < LeavingAge:
		return StatusLeaving
	case m.failures > 0 && now.Sub(m.failed) < m.backoff():
		if m.refused {
			return StatusCrashed
		}
		return StatusUnresponsive
	case heard:
		return StatusLive
	case !v.listed[name]:
		return StatusUnknown
	case row.State == StateLeaving:
		return StatusLeaving
	}
	return StatusLive
}

// Instances returns the instances with the given status in the order of their names.
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

// Counts returns how many instances have each status, without the named one.
func (v View) Counts(now time.Time, without string) map[Status]int {
	counts := map[Status]int{}
	for name := range v.rows {
		if name != without {
			counts[v.Status(now, name)]++
		}
	}
	return counts
}

// Pick returns up to n present instances at random, without the named one.
func (v View) Pick(now time.Time, n int, without string, random func(n int) int) []Instance {
	all := slices.DeleteFunc(v.Instances(now, StatusLive), func(i Instance) bool { return i.Name == without })
	n = min(n, len(all))
	for i := range n {
		j := i + random(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:n]
}
