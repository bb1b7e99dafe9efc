// Package peer is the side of a node that faces other nodes: selection of targets, retries, hedges and the hop itself.
package peer

import (
	"hash/maphash"
	"slices"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

const (
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 5 * time.Second
	// A load report loses its value exponentially with this time constant, since load shifts within milliseconds.
	reportFor = 100 * time.Millisecond
	// A failure ratio halves in this time, so that a target that failed fast is tried again.
	failingFor = 500 * time.Millisecond
	// Expected cost of one failure; beyond any wait at a gate (50 ms), so that fast failures attract no traffic.
	failingCost = 100 * time.Millisecond
	// An idle target counts as used by this part of a request, so that of idle targets the largest comes first, and a
	// target with a limit of 1 gets requests, without which its limit can't grow, once the others are a quarter full.
	ownWeight  = 0.25
	exploreOne = 8               // one in so many choices that meet an unknown target tries it
	jitter     = 0.1             // scores vary by this share, so that senders with the same news choose differently
	noticedFor = 2 * noticeEvery // a report is fresh while notices arrive, of which one may be lost
	// Three notices in a row are lost only when something is wrong with the node or the way to it.
	silentAfter = 3 * noticeEvery
	// A leaving mark is checked again after this time, in case a new process took the name: nodes restart within half a
	// second, and one that still leaves refuses a request at once.
	leavingFor = silentAfter
	silentCost = 2 * time.Second // such a target comes after all others
	// failureCost is what a failure costs beside the time until it is known: the aim is missed, or the request lost.
	failureCost = time.Second
	// coldCost is what the slowness of a cold target costs a request, which its pace does not tell.
	coldCost   = 100 * time.Millisecond
	firstTrip  = 200 * time.Microsecond
	farTrip    = 2 * time.Millisecond // there and back to another failure domain
	firstTime  = 10 * time.Millisecond
	tripWeight = 8
	buckets    = 64 // an event copies the list of buckets and one bucket
)

// Candidate is an instance whose target serves the route.
type Candidate struct {
	Name    string
	Domain  string
	Node    string        // node beside the target, empty if it has the name of the instance
	Penalty time.Duration // what else speaks against it, as a time
}

// NodeName returns the name of the node beside the target.
func (c Candidate) NodeName() string {
	if c.Node == "" {
		return c.Name
	}
	return c.Node
}

// Reason tells why a target was chosen, or why there is none.
type Reason string

// Reasons of choices.
const (
	ReasonLeast   Reason = "least"   // lowest expected time of those sampled
	ReasonSpill   Reason = "spill"   // a target of another failure domain is worth the trip
	ReasonExplore Reason = "explore" // a single request to a target of unknown state
	ReasonDomain  Reason = "domain"  // none: all are in failure domains taken out
	ReasonLeaving Reason = "leaving" // none: all others are leaving
	ReasonUnknown Reason = "unknown" // none: all others are lost or being explored
	ReasonTried   Reason = "tried"   // none: all others were tried
	ReasonEmpty   Reason = "empty"   // none: no candidates
)

// Choice is a chosen target with its expected wait in the queue of its gate.
type Choice struct {
	Instance     string
	Reason       Reason
	ExpectedWait time.Duration
	Last         bool // no other target can be tried
}

type entry struct {
	name        string
	domain      string
	outstanding int
	load        target.Load
	others      int // running and queued in the report less own outstanding then
	known       bool
	reported    time.Time
	lost        bool
	backoff     time.Duration
	avoid       time.Time // no new request before this time
	sent        time.Time // last request
	lastReport  time.Time // last notice of its gate, zero if there was none
	boot        uint32    // of the gate's node, as of the last notice
	number      uint32    // of the last notice
	left        time.Time // last time at which the target was known to leave
}

type trip struct {
	domain string
	time   time.Duration
}

// TargetTable is what a sender knows of targets.
type TargetTable struct {
	entries [buckets][]*entry // by hash of the name; entries never change
	trips   []trip
	use     float64       // mean of reported load as a share of the limits
	service time.Duration // mean of reported service times
	sent    uint64
}

var seed = maphash.MakeSeed()

func slot(name string) int {
	return int(maphash.String(seed, name) % buckets)
}

func (b *TargetTable) find(name string) *entry {
	for _, e := range b.entries[slot(name)] {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (b TargetTable) with(e entry) TargetTable {
	i := slot(e.name)
	list := slices.Clone(b.entries[i])
	at := slices.IndexFunc(list, func(o *entry) bool { return o.name == e.name })
	if at < 0 {
		list = append(list, &e)
	} else {
		list[at] = &e
	}
	b.entries[i] = list
	return b
}

func (b *TargetTable) get(name string) entry {
	if e := b.find(name); e != nil {
		return *e
	}
	return entry{name: name}
}

// WithSent returns the board after a request was sent; exactly one WithDone follows.
func (b TargetTable) WithSent(now time.Time, c Candidate) TargetTable {
	e := b.get(c.Name)
	e.domain, e.sent = c.Domain, now
	e.outstanding++
	b.sent++
	return b.with(e)
}

// WithDone returns the board after a request ended in any way.
func (b TargetTable) WithDone(_ time.Time, name string) TargetTable {
	e := b.get(name)
	e.outstanding = max(e.outstanding-1, 0)
	return b.with(e)
}

// WithAnswer returns the board after a response with a report; rtt is the time that the hop took beyond the gate's, zero if unknown.
func (b TargetTable) WithAnswer(now time.Time, name string, l target.Load, rtt time.Duration) TargetTable {
	e := b.get(name).withReport(now, l)
	e.avoid = time.Time{}
	b = b.withTrip(e.domain, rtt).withMeans(l)
	return b.with(e)
}

// WithRefusal returns the board after a gate refused a request; a busy gate gets none before its time.
func (b TargetTable) WithRefusal(now time.Time, name string, r answer.Refusal, l target.Load) TargetTable {
	e := b.get(name).withReport(now, l)
	if r.Code == answer.CodeLeaving {
		e.load.Leaving, e.left = true, now
	}
	if r.Code != answer.CodeLate {
		e.avoid = now.Add(r.RetryAfter)
	}
	return b.withMeans(l).with(e)
}

// WithNotice returns the board after a gate reported without a request. Notices of targets that get no requests are of no
// use, and datagrams may arrive twice or late.
func (b TargetTable) WithNotice(now time.Time, n LoadReport) TargetTable {
	old := b.find(n.Target)
	if old == nil || (old.boot == n.BootID && int32(n.Number-old.number) <= 0) {
		return b
	}
	e := old.withReport(now, n.Load)
	e.lastReport, e.boot, e.number = now, n.BootID, n.Number
	if !n.Load.Down && e.load.Queued == 0 {
		e.avoid = time.Time{}
	}
	return b.with(e)
}

// WithLost returns the board after a target's node refused the connection or the connection broke.
func (b TargetTable) WithLost(now time.Time, name string) TargetTable {
	e := b.get(name)
	// Several requests that break at once are one loss.
	if !e.lost || !now.Before(e.avoid) {
		e.backoff = min(max(2*e.backoff, firstBackoff), lastBackoff)
		e.avoid = now.Add(e.backoff)
	}
	e.lost, e.known = true, false
	return b.with(e)
}

// WithLeaving returns the board after a node announced that it leaves, or a new process took its name.
func (b TargetTable) WithLeaving(now time.Time, name string, leaving bool) TargetTable {
	e := b.get(name)
	if e.load.Leaving && !leaving {
		e.known = false
	}
	e.load.Leaving = leaving
	if leaving {
		e.left = now
	}
	return b.with(e)
}

// WithOnly returns the board without targets that are no longer listed.
func (b TargetTable) WithOnly(names map[string]bool) TargetTable {
	for i, list := range b.entries {
		b.entries[i] = slices.DeleteFunc(slices.Clone(list), func(e *entry) bool { return !names[e.name] && e.outstanding == 0 })
	}
	return b
}

func (e entry) withReport(now time.Time, l target.Load) entry {
	e.lost, e.backoff = false, 0
	if l.Limit == 0 { // no report came with the message
		return e
	}
	e.load, e.known, e.reported = l, true, now
	if l.Leaving {
		e.left = now
	}
	e.others = max(l.Running+l.Queued-e.outstanding, 0)
	return e
}

func (b TargetTable) withMeans(l target.Load) TargetTable {
	if l.Limit == 0 {
		return b
	}
	use := float64(l.Running+l.Queued) / float64(l.Limit)
	if b.service == 0 {
		b.service, b.use = l.ServiceTime, use
		return b
	}
	b.service += (l.ServiceTime - b.service) / 32
	b.use += (use - b.use) / 32
	return b
}

func (b TargetTable) withTrip(domain string, rtt time.Duration) TargetTable {
	if rtt <= 0 || domain == "" {
		return b
	}
	b.trips = slices.Clone(b.trips)
	for i := range b.trips {
		if t := &b.trips[i]; t.domain == domain {
			t.time += (rtt - t.time) / tripWeight
			return b
		}
	}
	b.trips = append(b.trips, trip{domain: domain, time: rtt})
	return b
}

// Trip returns the network time there and back to a failure domain.
func (b TargetTable) Trip(domain, own string) time.Duration {
	for i := range b.trips {
		if b.trips[i].domain == domain {
			return b.trips[i].time
		}
	}
	if domain == own {
		return firstTrip
	}
	return farTrip
}

// state tells whether the target may get a request now, and whether that is a single exploring one.
func (b *TargetTable) state(now time.Time, name string) (usable, explore bool, reason Reason) {
	e := b.find(name)
	switch {
	case e == nil:
		return true, true, ReasonExplore
	case e.load.Leaving && now.Sub(e.left) < leavingFor:
		return false, false, ReasonLeaving
	case !e.known, e.load.Leaving:
		ok := e.outstanding == 0 && !now.Before(e.avoid)
		return ok, ok, ReasonUnknown
	case e.load.Down && e.live(now):
		return false, false, ReasonUnknown
	default:
		return true, false, ReasonLeast
	}
}

// live tells whether the gate's notices keep the report fresh.
func (e *entry) live(now time.Time) bool {
	return !e.lastReport.IsZero() && now.Sub(e.lastReport) < noticedFor
}

// silent tells whether notices stay out although this node has sent requests lately, so that the gate's node may be paused
// or cut off.
func (e *entry) silent(now time.Time) bool {
	return !e.lastReport.IsZero() && now.Sub(e.lastReport) >= silentAfter && e.sent.Sub(e.lastReport) > -listenFor/2
}

// tells tells whether the target tells its pace, or its gate reports without requests.
func (e *entry) tells() bool { return e.known && (e.load.Slowdown > 0 || !e.lastReport.IsZero()) }
