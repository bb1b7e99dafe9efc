// Package peer handles the traffic between nodes: target selection, retry budgets, hedging, load reports and the
// requests themselves.
package peer

import (
	"hash/maphash"
	"slices"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// The weight of a load report decays exponentially with this time constant, since load shifts within milliseconds.
	reportDecay = 100 * time.Millisecond
	// A reported failure rate halves in this time, so that a target that failed fast is tried again.
	failureHalfLife = 500 * time.Millisecond
	// recentFailureCost is the expected cost of one failure in the load-dependent score. It exceeds the longest
	// wait at a gate without a soft deadline (50 ms), so that fast failures attract no traffic.
	recentFailureCost = 100 * time.Millisecond
	// newRequestWeight is the part of a request that the new request adds to the load of a target. Among idle targets the
	// one with the highest limit is preferred, and a target with a limit of 1 gets requests, without which its limit can't
	// grow, once the others are a quarter full.
	newRequestWeight = 0.25
	exploreOneIn     = 8                     // a sampled target of unknown state is tried in one of so many choices
	scoreJitter      = 0.1                   // scores vary by this ratio, so that senders with the same load reports choose differently
	reportFreshFor   = 2 * maxReportInterval // tolerates one lost load report
	// Three load reports in a row get lost only if the node or the network path to it is faulty.
	silentAfter = 3 * maxReportInterval
	// A target marked as leaving gets an exploring request after this time, in case a new process has taken the name: nodes
	// restart within half a second, and a node that is still leaving refuses a request at once.
	leavingRecheck = silentAfter
	silentCost     = 2 * time.Second // ranks silent targets after all others
	// failureCost is the cost of a failure beyond the time until it is known: the latency objective is missed or the request
	// is lost.
	failureCost = time.Second
	// coldCost is the extra time of a request at a cold target, which its reported slowdown does not include.
	coldCost           = 100 * time.Millisecond
	initialOwnRTT      = 200 * time.Microsecond
	initialRemoteRTT   = 2 * time.Millisecond // round trip to another failure domain
	initialServiceTime = 10 * time.Millisecond
	rttSmoothing       = 8
	tableBuckets       = 64 // each update copies the array of buckets and one bucket
)

// Candidate is an instance whose target serves the route.
type Candidate struct {
	Name    string
	Domain  string
	Node    string        // node beside the target; empty if it is named like the instance
	Penalty time.Duration // added to the cost of the target
	// StartedAt tells the starts of a target apart; zero if it is not known.
	StartedAt time.Time
}

// NodeName returns the name of the node beside the target.
func (c Candidate) NodeName() string {
	if c.Node == "" {
		return c.Name
	}
	return c.Node
}

// Reason states why a target was chosen, or why there is none.
type Reason string

// Reasons of choices.
const (
	ReasonLowestScore Reason = "least"   // lowest score of those compared
	ReasonOtherDomain Reason = "spill"   // a target of another failure domain scores better despite the round trip
	ReasonExplore     Reason = "explore" // a single request to a target of unknown state
	ReasonDomain      Reason = "domain"  // none: all are in evacuated failure domains
	ReasonLeaving     Reason = "leaving" // none: all others are leaving
	ReasonUnknown     Reason = "unknown" // none: all others are lost or being explored
	ReasonTried       Reason = "tried"   // none: all others were tried
	ReasonEmpty       Reason = "empty"   // none: no candidates
	ReasonFull        Reason = "full"    // none: by their load reports, no target would accept the request
)

// Choice is a chosen target with its expected wait in the queue of its gate.
type Choice struct {
	Instance      string
	Reason        Reason
	ExpectedWait  time.Duration
	NoAlternative bool // no other target can be tried
	// AlternativeWait is the expected wait at the best other target, zero if it is not known.
	AlternativeWait time.Duration
	RetryAfter      time.Duration // for a refusal: the shortest wait by load reports
}

// entry holds the state of one target as this node last observed it.
type entry struct {
	name          string
	domain        string
	outstanding   int
	sentSinceLoad int // requests of this node since load arrived
	load          target.Load
	otherRequests int // reported running and queued requests less this node's outstanding ones at that time
	refusal       rankRefusal
	known         bool      // load is valid; false before the first load and after a lost connection
	loadAt        time.Time // arrival of load
	lost          bool      // the last connection was refused or broke
	backoff       time.Duration
	avoidUntil    time.Time           // new requests are avoided before this time
	lastSent      time.Time           // last request of this node
	lastReport    time.Time           // last load report that arrived without a request, zero if there was none
	bootID        uint32              // boot ID in the last load report
	reportNumber  uint32              // sequence number of the last load report
	leavingAt     time.Time           // last time at which the target was known to be leaving
	announced     target.Announcement // of the target itself, in its responses to requests of this node
	startedAt     time.Time           // start of the target to which announced belongs
	slowPhase     slowPhase
}

// domainRTT is the smoothed round-trip time to a failure domain.
type domainRTT struct {
	domain string
	rtt    time.Duration
}

// TargetTable is an immutable snapshot of the load and state of targets as this node last observed them.
type TargetTable struct {
	entries         [tableBuckets][]*entry // by hash of the name; entries are never modified
	rtts            []domainRTT
	meanUse         float64       // mean of the reported load in relation to the limit
	meanServiceTime time.Duration // mean of reported service times
	sentCount       uint64
}

var hashSeed = maphash.MakeSeed()

func bucketIndex(name string) int {
	return int(maphash.String(hashSeed, name) % tableBuckets)
}

func (t *TargetTable) find(name string) *entry {
	for _, e := range t.entries[bucketIndex(name)] {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (t TargetTable) with(e entry) TargetTable {
	i := bucketIndex(e.name)
	list := slices.Clone(t.entries[i])
	index := slices.IndexFunc(list, func(o *entry) bool { return o.name == e.name })
	if index < 0 {
		list = append(list, &e)
	} else {
		list[index] = &e
	}
	t.entries[i] = list
	return t
}

func (t *TargetTable) get(name string) entry {
	if e := t.find(name); e != nil {
		return *e
	}
	return entry{name: name}
}

// WithSent returns the table after a request was sent; exactly one WithDone must follow.
func (t TargetTable) WithSent(now time.Time, c Candidate) TargetTable {
	e := t.get(c.Name)
	if !e.startedAt.Equal(c.StartedAt) {
		e.announced, e.startedAt = target.Announcement{}, c.StartedAt
	}
	e.domain, e.lastSent = c.Domain, now
	e.outstanding++
	e.sentSinceLoad++
	t.sentCount++
	return t.with(e)
}

// WithDone returns the table after a request ended, with any outcome.
func (t TargetTable) WithDone(_ time.Time, name string) TargetTable {
	e := t.get(name)
	e.outstanding = max(e.outstanding-1, 0)
	return t.with(e)
}

// WithResponse returns the table after a response with the target's load; rtt is the time of the hop less the time spent in the
// target's node, zero if unknown.
func (t TargetTable) WithResponse(now time.Time, name string, l target.Load, rtt time.Duration) TargetTable {
	e := t.get(name).withLoad(now, l)
	e.avoidUntil = time.Time{}
	t = t.withRTT(e.domain, rtt).withMeans(l)
	return t.with(e)
}

// WithAnnouncement returns the table after a response with what the target announced in it.
func (t TargetTable) WithAnnouncement(now time.Time, name string, r answer.TargetReport) TargetTable {
	e := t.get(name)
	e.announced = e.announced.WithReport(now, r, false)
	return t.with(e)
}

// AnnouncedRate returns the requests per second that the target has announced to this node recently, zero for none.
func (t TargetTable) AnnouncedRate(now time.Time, name string) float64 {
	e := t.get(name)
	return e.announced.RecentRate(now)
}

// announcesLeaving reports whether the candidate has told this node that it is leaving. What its gate reports does not change that:
// a gate that has started since has not heard it.
func (t *TargetTable) announcesLeaving(c *Candidate) bool {
	e := t.find(c.Name)
	return e != nil && e.announced.IsLeaving() && e.startedAt.Equal(c.StartedAt)
}

// WithRefusal returns the table after a gate refused a request; unless the refusal was for the deadline or for the calls of the request,
// the target is avoided for its RetryAfter.
func (t TargetTable) WithRefusal(now time.Time, name string, r answer.Refusal, l target.Load) TargetTable {
	e := t.get(name).withLoad(now, l)
	if r.Code == answer.CodeLeaving {
		e.load.Leaving, e.leavingAt = true, now
	}
	if r.Code != answer.CodeLate && r.Code != answer.CodeCalls {
		e.avoidUntil = now.Add(r.RetryAfter)
	}
	return t.withMeans(l).with(e)
}

// WithLoadReport returns the table after a load report that came without a request. Reports of targets without an entry,
// which get no requests, and duplicate or late datagrams are ignored.
func (t TargetTable) WithLoadReport(now time.Time, r LoadReport) TargetTable {
	old := t.find(r.Target)
	if old == nil || (old.bootID == r.BootID && int32(r.Number-old.reportNumber) <= 0) {
		return t
	}
	e := old.withLoad(now, r.Load)
	e.lastReport, e.bootID, e.reportNumber = now, r.BootID, r.Number
	if !r.Load.Unreachable && e.load.Queued == 0 {
		e.avoidUntil = time.Time{}
	}
	return t.with(e)
}

// WithLost returns the table after the connection to a target's node was refused or broke.
func (t TargetTable) WithLost(now time.Time, name string) TargetTable {
	e := t.get(name)
	// Requests that break at the same time increase the backoff only once.
	if !e.lost || !now.Before(e.avoidUntil) {
		e.backoff = min(max(2*e.backoff, minBackoff), maxBackoff)
		e.avoidUntil = now.Add(e.backoff)
	}
	e.lost, e.known = true, false
	return t.with(e)
}

// WithLeaving returns the table after a node announced that it is leaving, or a new process took its name.
func (t TargetTable) WithLeaving(now time.Time, name string, leaving bool) TargetTable {
	e := t.get(name)
	if e.load.Leaving && !leaving {
		e.known = false
	}
	e.load.Leaving = leaving
	if leaving {
		e.leavingAt = now
	}
	return t.with(e)
}

// WithListed returns the table without targets that are not listed and have no outstanding request.
func (t TargetTable) WithListed(listed func(name string) bool) TargetTable {
	for i, list := range t.entries {
		t.entries[i] = slices.DeleteFunc(slices.Clone(list), func(e *entry) bool { return !listed(e.name) && e.outstanding == 0 })
	}
	return t
}

func (e entry) withLoad(now time.Time, l target.Load) entry {
	e.lost, e.backoff = false, 0
	if l.Limit == 0 { // the message carried no load
		return e
	}
	e.load, e.known, e.loadAt, e.sentSinceLoad, e.slowPhase = l, true, now, 0, e.slowPhase.withLoad(now, l)
	if l.Leaving {
		e.leavingAt = now
	}
	e.otherRequests = max(l.Running+l.Queued-e.outstanding, 0)
	if l.Queued == 0 {
		e.refusal = rankRefusal{}
	}
	return e
}

func (t TargetTable) withMeans(l target.Load) TargetTable {
	if l.Limit == 0 {
		return t
	}
	use := float64(l.Running+l.Queued) / float64(l.Limit)
	if t.meanServiceTime == 0 {
		t.meanServiceTime, t.meanUse = l.ServiceTime, use
		return t
	}
	t.meanServiceTime += (l.ServiceTime - t.meanServiceTime) / 32
	t.meanUse += (use - t.meanUse) / 32
	return t
}

func (t TargetTable) withRTT(domain string, rtt time.Duration) TargetTable {
	if rtt <= 0 || domain == "" {
		return t
	}
	t.rtts = slices.Clone(t.rtts)
	for i := range t.rtts {
		if known := &t.rtts[i]; known.domain == domain {
			known.rtt += (rtt - known.rtt) / rttSmoothing
			return t
		}
	}
	t.rtts = append(t.rtts, domainRTT{domain: domain, rtt: rtt})
	return t
}

// RTT returns the network round-trip time to a failure domain.
func (t TargetTable) RTT(domain, ownDomain string) time.Duration {
	for i := range t.rtts {
		if t.rtts[i].domain == domain {
			return t.rtts[i].rtt
		}
	}
	if domain == ownDomain {
		return initialOwnRTT
	}
	return initialRemoteRTT
}

// availability returns whether the target may get a request now, and whether only a single exploring one.
func (t *TargetTable) availability(now time.Time, name string) (usable, explore bool, reason Reason) {
	e := t.find(name)
	switch {
	case e == nil:
		return true, true, ReasonExplore
	case e.load.Leaving && now.Sub(e.leavingAt) < leavingRecheck:
		return false, false, ReasonLeaving
	case !e.known, e.load.Leaving:
		ok := e.outstanding == 0 && !now.Before(e.avoidUntil)
		return ok, ok, ReasonUnknown
	case e.load.Unreachable && e.hasFreshReport(now):
		return false, false, ReasonUnknown
	default:
		return true, false, ReasonLowestScore
	}
}

// hasFreshReport reports whether the gate's last load report is recent enough to count as current.
func (e *entry) hasFreshReport(now time.Time) bool {
	return !e.lastReport.IsZero() && now.Sub(e.lastReport) < reportFreshFor
}

// silent reports whether load reports fail to arrive although this node has sent requests recently, so that the target's
// node may be paused or unreachable.
func (e *entry) silent(now time.Time) bool {
	return !e.lastReport.IsZero() && now.Sub(e.lastReport) >= silentAfter && e.lastSent.Sub(e.lastReport) > -receiverTTL/2
}

// detailed reports whether the target reports its slowdown, or its gate sends load reports without requests.
func (e *entry) detailed() bool { return e.known && (e.load.Slowdown > 0 || !e.lastReport.IsZero()) }
