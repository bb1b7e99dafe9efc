package target

import (
	"slices"
	"time"
)

// How long requests wait at the gate.
const (
	MaxQueueTime = 50 * time.Millisecond // maximum wait of a request without a soft deadline
	QueueFactor  = 2                     // maximum queue length as a multiple of the limit
	// A request on a route without responses is expected to run for this fraction of its latency objective.
	unseenRouteDivisor = 3
	// A request that will miss its soft deadline waits for up to this fraction of its latency objective.
	LateWaitDivisor = 8
)

// waitedForReport reports whether the request has waited long enough for a fresh report.
func (w waiter) waitedForReport(now time.Time) bool { return now.Sub(w.arrived) >= maxReportWait }

// expiry returns when the request stops waiting: at its soft deadline, a short time after its arrival if that is later, or
// after MaxQueueTime if it has no soft deadline. A nested request at a cold target waits until its deadline; elsewhere its soft deadline
// is that of the run that made it, and it waits no longer than it can still be answered itself.
func (g Gate) expiry(now time.Time, w waiter) time.Time {
	if g.letsNestedWait(now, w.request) {
		return w.request.Deadline
	}
	if w.request.SoftDeadline.IsZero() {
		return w.arrived.Add(MaxQueueTime)
	}
	at := laterOf(w.request.SoftDeadline, w.arrived.Add(w.request.LatencyObjective/LateWaitDivisor))
	if w.request.Priority.Stage == StageNested && !w.request.Deadline.IsZero() {
		return earlierOf(at, g.latestStart(w.request))
	}
	return at
}

// latestStart returns when a request must start to be answered before its deadline outside of slow phases.
func (g Gate) latestStart(req AdmissionRequest) time.Time {
	return req.Deadline.Add(-g.baseServiceTime(req))
}

// maxExpectedWait returns the longest expected wait with which a new request is queued. A request that will miss its soft
// deadline is queued for a short time only: others start before it, and an early refusal leaves its sender more time.
// A nested request at a cold target waits as long as it can still be answered: refusing it wastes the run that made it, and each run
// takes up a start that the cold rate allows. When all targets are cold after a loss of power, that is all that the fleet can serve. At a
// warm target it does not wait longer, because the run that made it holds a slot meanwhile.
func (g Gate) maxExpectedWait(now time.Time, req AdmissionRequest, wait time.Duration) time.Duration {
	switch {
	case g.letsNestedWait(now, req):
		return req.Deadline.Sub(now) - g.baseServiceTime(req)
	case req.SoftDeadline.IsZero():
		return MaxQueueTime
	case req.Priority.Stage == StageNested && !req.Deadline.IsZero() && now.Add(wait).After(g.latestStart(req)):
		return 0
	case req.Late(now.Add(wait), g.baseServiceTime):
		return req.LatencyObjective / LateWaitDivisor
	}
	return req.SoftDeadline.Sub(now)
}

// letsNestedWait reports whether the request waits beyond its latency objective because a running request made it.
func (g Gate) letsNestedWait(now time.Time, req AdmissionRequest) bool {
	return g.IsSelfReporting() && req.Nested && g.state.IsCold(now)
}

// expectedWaitNow returns the expected wait of a request that arrives now, has the usual service time and states no soft
// deadline. It is zero unless the target is self-reporting.
func (g Gate) expectedWaitNow(now time.Time) time.Duration {
	if !g.IsSelfReporting() {
		return 0
	}
	wait := g.state.SlowWait(now, g.limit.ServiceTime())
	if g.queue.Len() > 0 || len(g.running) >= g.limit.Value() || !g.state.NextStart(now).IsZero() {
		wait = max(wait, g.expectedWait(now, AdmissionRequest{}))
	}
	return wait
}

// expectedWait returns the expected time in the queue of a new request.
func (g Gate) expectedWait(now time.Time, req AdmissionRequest) time.Duration {
	limit, running := g.limit.Value(), len(g.running)
	service := g.limit.ServiceTime()
	if g.IsSelfReporting() && g.limit.samples == 0 {
		service = max(service, g.usualServiceTime(req))
	}
	service = time.Duration(float64(service) * g.state.BaseSlowdown())
	ahead := g.queue.Ahead(req)
	wait := service * time.Duration(ahead+1) / time.Duration(limit)
	if running > limit {
		wait += service * time.Duration(running-limit) / time.Duration(running)
	}
	if nextStart := g.state.NextStart(now); !nextStart.IsZero() {
		// The target takes the queue at its cold rate, or at the rate that it has announced.
		wait = max(wait, nextStart.Sub(now)+time.Duration(float64(ahead)/g.state.StartRate(now)*float64(time.Second)))
	}
	return wait
}

// slowWait returns how long the request should wait for a slow phase of the target to end, zero if it has no soft
// deadline.
func (g Gate) slowWait(now time.Time, req AdmissionRequest) time.Duration {
	if req.SoftDeadline.IsZero() {
		return 0
	}
	return g.state.SlowWait(now, g.usualServiceTime(req))
}

// awaitsReport reports whether a waiting request must get a fresh report before it starts.
func (g Gate) awaitsReport(now time.Time, req AdmissionRequest) bool {
	if req.SoftDeadline.IsZero() || g.state.IsFresh(now) {
		return false
	}
	at := slices.IndexFunc(g.queue.waiters, func(w waiter) bool { return w.request.ID == req.ID })
	return !g.queue.waiters[at].waitedForReport(now)
}

// currentServiceTime returns the expected service time of a request that starts now.
func (g Gate) currentServiceTime(req AdmissionRequest) time.Duration {
	return time.Duration(float64(g.usualServiceTime(req)) * g.state.Slowdown())
}

// usualServiceTime returns how long a request runs at slowdown 1. For a route without responses it is derived from the
// latency objective.
func (g Gate) usualServiceTime(req AdmissionRequest) time.Duration {
	return g.serviceTimes.Mean(req.Route, req.LatencyObjective/unseenRouteDivisor)
}

// baseServiceTime returns how long a request runs outside of slow phases.
func (g Gate) baseServiceTime(req AdmissionRequest) time.Duration {
	return time.Duration(float64(g.usualServiceTime(req)) * g.state.BaseSlowdown())
}
