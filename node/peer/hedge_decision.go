package peer

import "time"

// HedgeReason states why a request got no hedge.
type HedgeReason string

// Values of HedgeReason.
const (
	HedgeEarly   HedgeReason = "early"   // the response is expected before that of another target
	HedgeWaits   HedgeReason = "waits"   // it may wait at its gate, which refuses it as not run if another target is faster
	HedgeShort   HedgeReason = "short"   // the service is short of capacity
	HedgeNone    HedgeReason = "none"    // no other target is known to be idle and fast
	HedgeLate    HedgeReason = "late"    // another target would not answer before the deadline
	HedgeUnknown HedgeReason = "unknown" // too few responses on the route, or no fresh load reports
	HedgeBudget  HedgeReason = "budget"  // the extra runs of the service, or its retries, are used up
	HedgeClosed  HedgeReason = "closed"  // the node is stopping
)

const (
	// maxHedgeUse is the share of the usable slots in use above which extra runs would delay other requests.
	maxHedgeUse = 0.8
	// maxBusyShare is the share of targets with a wait above which a service is short of capacity. With slow phases a quarter of the
	// time, up to half of the gates hold requests even at a low load.
	maxBusyShare = 0.75
	// hedgeCheckInterval is the time between two decisions on a request, about that between two load reports of a busy target.
	hedgeCheckInterval = 20 * time.Millisecond
	usualQuantile      = 0.5
	slowQuantile       = 0.75 // of the times, from which on a response of a slow target is late
	lateQuantile       = 0.95 // of the times, from which on any response is late
	// minHedgeGain is how much longer than another target the first one must be expected to take, as a ratio.
	minHedgeGain = 1.25
)

// ServiceUse is the load of a service's targets according to fresh load reports.
type ServiceUse struct {
	Known int     // targets with a fresh load report
	Busy  int     // those of them at which a request would wait or that shed requests
	Use   float64 // share of their usable slots in use
}

// IsShort reports whether the service is short of capacity, so that an extra run would delay other requests.
func (u ServiceUse) IsShort() bool {
	return u.Use > maxHedgeUse || float64(u.Busy) > maxBusyShare*float64(u.Known)
}

// HedgeCase is a request that runs at its first target, with what is known about that and the other targets.
type HedgeCase struct {
	Elapsed   time.Duration // since the request was sent to the target
	Left      time.Duration // until the deadline
	Objective time.Duration // until the soft deadline from when the request was sent, zero if there is none
	Pace      float64       // slowdown of a slow phase in which the run may have started, as a multiple of the usual; zero for none
	Silent    bool          // the target's gate has stopped sending load reports
	Waits     bool          // the request may not have started yet
	Service   ServiceUse
	HasOther  bool          // there is another target without a wait
	ExtraTrip time.Duration // round trip to the other target less that to the first one
}

// HedgeDecision says whether to send a hedge now, and if not, when to decide again and why.
type HedgeDecision struct {
	Send   bool
	Urgent bool          // the run is known to be slow, so that the hedge may use the last of the budget
	After  time.Duration // until the next decision, zero for none
	Reason HedgeReason
	Rest   time.Duration // expected time until the response of the first target
}

// Decide decides on a hedge. It addresses targets that are slow for a few hundred milliseconds at a time: a run that starts in such a phase
// takes a multiple of the usual time, and another target would have answered long before.
func (h Hedge) Decide(c HedgeCase) HedgeDecision {
	usual, ok := h.Quantile(usualQuantile)
	if !ok {
		return HedgeDecision{Reason: HedgeUnknown}
	}
	slow, _ := h.Quantile(slowQuantile)
	late, _ := h.Quantile(lateQuantile)
	other := usual + c.ExtraTrip
	// A hedge that is sent too late misses the objective, so an objective moves the time at which a response counts as late.
	if c.Objective > 0 {
		late = min(late, max(slow, c.Objective-time.Duration(minHedgeGain*float64(other))))
	}
	d := HedgeDecision{Rest: rest(c, usual, late), Urgent: c.Pace > 0 || c.Silent}
	switch {
	case c.Left <= other:
		d.Reason = HedgeLate
		return d
	case c.Elapsed < slow:
		d.Reason, d.After = HedgeEarly, slow-c.Elapsed
		return d
	case c.Waits:
		d.Reason = HedgeWaits
	case float64(d.Rest) < minHedgeGain*float64(other):
		d.Reason = HedgeEarly
	case c.Service.Known == 0:
		d.Reason = HedgeUnknown
	case c.Service.IsShort():
		d.Reason = HedgeShort
	case !c.HasOther:
		d.Reason = HedgeNone
	default:
		d.Send = true
		return d
	}
	d.After = max(hedgeCheckInterval, c.Elapsed/8) // bounds the decisions on a request that takes very long
	return d
}

// rest returns the expected time until the response. A run that has begun in a slow phase stays slow. One that takes longer than nearly
// all others for an unknown reason is expected to take as long again.
func rest(c HedgeCase, usual, late time.Duration) time.Duration {
	left := max(0, time.Duration(c.Pace*float64(usual))-c.Elapsed)
	if c.Elapsed >= late {
		left = max(left, c.Elapsed)
	}
	return left
}

const (
	maxHedgeBurst = 4 // slow phases are seen by several requests at once
	// hedgeReserve is what a hedge leaves in each of its two budgets if its run is not known to be slow.
	hedgeReserve = 0.5
)

// NewHedgeBudget returns the budget for the extra runs of a service, a ratio of its requests. It has no rate, since the sum over all nodes
// would exceed the ratio of a service with few requests.
func NewHedgeBudget(now time.Time, ratio float64) Budget {
	return Budget{ratio: ratio, burst: maxHedgeBurst, last: now}
}

// WithBudgets takes a hedge from the extra runs of the service and from its retries, which have a bound together.
func (d HedgeDecision) WithBudgets(now time.Time, extra, retries Budget) (HedgeDecision, Budget, Budget) {
	nextExtra, ok := extra.WithRetry(now)
	nextRetries, allowed := retries.WithRetry(now)
	if ok && allowed && (d.Urgent || min(extra.tokens, retries.tokens) >= 1+hedgeReserve) {
		return d, nextExtra, nextRetries
	}
	d.Send, d.Reason, d.After = false, HedgeBudget, hedgeCheckInterval
	return d, extra, retries
}
