package target

import (
	"slices"
	"time"

	"verbenapin.dev/node/answer"
)

// NextTick returns the time by which WithTick must run, or false if no request is waiting or displaced.
func (g Gate) NextTick(now time.Time) (time.Time, bool) {
	if len(g.displaced) > 0 {
		return time.Time{}, true
	}
	var due time.Time
	for i := range g.queue.waiters {
		w := &g.queue.waiters[i]
		at := earlierOf(g.expiry(now, *w), w.request.Deadline)
		if !g.state.IsFresh(now) && !w.waitedForReport(now) {
			at = earlierOf(at, w.arrived.Add(maxReportWait))
		}
		at = earlierOf(at, g.lastStart())
		if due.IsZero() || at.Before(due) {
			due = at
		}
	}
	if !due.IsZero() && len(g.running) < g.limit.Value() {
		due = earlierOf(due, g.state.NextStart(now))
	}
	return due, !due.IsZero()
}

// earlierOf returns the earlier of two times; a zero b is ignored.
func earlierOf(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func refuse(id uint64, code answer.Code, retryAfter time.Duration, text string) Decision {
	return Decision{ID: id, Action: ActionRefuse, Refusal: answer.NewNotExecuted(code, text).WithRetryAfter(max(retryAfter, time.Millisecond))}
}

// WithArrival decides on a new request. If a waiting request is displaced by it, the next event returns that refusal.
func (g Gate) WithArrival(now time.Time, req AdmissionRequest) (Gate, Decision) {
	switch {
	case g.evacuated:
		return g, refuse(req.ID, answer.CodeDomain, leavingRetryAfter, "the failure domain is taken out")
	case g.isLeaving():
		return g, refuse(req.ID, answer.CodeLeaving, leavingRetryAfter, "the target is leaving")
	case !req.Deadline.IsZero() && !now.Before(req.Deadline):
		return g, refuse(req.ID, answer.CodeLate, 0, "the deadline has passed")
	case g.unreachable:
		return g, refuse(req.ID, answer.CodeBusy, unreachableRetryAfter, "the target does not answer")
	case g.state.DiffersFrom(req.TargetName):
		return g, refuse(req.ID, answer.CodeLeaving, leavingRetryAfter, replacedText)
	}
	g.state = g.state.WithSenderRate(now, req.AnnouncedRate)
	g.ranks = g.ranks.withRequest(now, req.Priority)
	if calls := g.callsRefusal(now, req); calls.Probability > req.CallsDraw {
		d := refuse(req.ID, answer.CodeCalls, calls.Wait, "the calls of the request would wait too long")
		d.Calls = calls
		return g, d
	}
	g.limit = g.limit.WithIdle(now)
	g = g.withOverdue(now)
	g.queue = g.queue.clone(now)
	limit := g.limit.Value()
	slowWait, needsReport := g.slowWait(now, req), !req.SoftDeadline.IsZero() && !g.state.IsFresh(now)
	if slowWait == 0 && len(g.running) < limit && g.state.NextStart(now).IsZero() && g.queue.HasRoom(now, req.Account, limit) {
		if first, waiting := g.queue.Next(now, limit, g.currentServiceTime); !waiting || req.Priority.Before(first.Priority) {
			if needsReport {
				return g.withWaiter(now, req)
			}
			return g.withStart(now, req), Decision{ID: req.ID, Action: ActionStart}
		}
	}
	wait := g.expectedWait(now, req)
	if len(g.running) < limit && g.queue.Len() == 0 && g.state.NextStart(now).IsZero() {
		wait = slowWait
	}
	g.queue.account(now, req.Account)
	switch {
	case !req.Deadline.IsZero() && now.Add(wait).After(req.Deadline):
		return g, refuse(req.ID, answer.CodeLate, wait, "the expected wait exceeds the time left")
	case g.IsSelfReporting() && req.OverMaxWait(wait):
		return g, refuse(req.ID, answer.CodeBusy, wait, maxWaitText)
	case wait > g.maxExpectedWait(now, req, wait):
		return g, refuse(req.ID, answer.CodeBusy, wait, "the expected wait is too long")
	}
	if g.queue.Len() >= QueueFactor*limit {
		displaced, ok := g.queue.Displaced(req)
		if !ok {
			return g, refuse(req.ID, answer.CodeBusy, wait, "the queue is full")
		}
		g.queue.remove(now, displaced.ID)
		g.displaced = append(slices.Clip(g.displaced), refuse(displaced.ID, answer.CodeBusy, wait, "displaced from the queue by another request"))
	}
	return g.withWaiter(now, req)
}

// withWaiter queues the request; it modifies the queue, which must be a clone.
func (g Gate) withWaiter(now time.Time, req AdmissionRequest) (Gate, Decision) {
	g.queue.add(now, req)
	return g, Decision{ID: req.ID, Action: ActionWait}
}

// HasWaiters reports whether requests wait for a self-reporting target.
func (g Gate) HasWaiters() bool { return g.IsSelfReporting() && len(g.queue.waiters) > 0 }

// NeedsReport reports whether waiting requests could start if the target's slowdown were known from a fresh report.
func (g Gate) NeedsReport(now time.Time) bool {
	return len(g.queue.waiters) > 0 && len(g.running) < g.limit.Value() && !g.state.IsFresh(now)
}

// withStart starts the request; it modifies the queue, which must be a clone.
func (g Gate) withStart(now time.Time, req AdmissionRequest) Gate {
	cost := g.limit.ServiceTime()
	g.state, g.calls = g.state.WithStart(now), g.calls.WithRun(req.Route, req.Priority)
	g.queue.begin(now, req.Account, cost)
	retried := 0.0
	if req.Retried {
		retried = 1
	}
	g.retriedShare += (retried - g.retriedShare) / retriedWeight
	g.running = append(slices.Clip(g.running), activeRequest{request: req, started: now, cost: cost, slowdown: g.state.Slowdown()})
	if len(g.running) >= g.limit.Value() {
		for i := range g.running { // safe to modify: append has copied the clipped slice
			g.running[i].limitReached = true
		}
	}
	return g
}

// withOverdue counts running requests that already exceed the slow threshold as slow responses, so that a cold target is
// noticed before they end.
func (g Gate) withOverdue(now time.Time) Gate {
	threshold := g.limit.SlowThreshold()
	if threshold == 0 || g.limit.Value() == 1 {
		return g
	}
	overdue := 0
	for i := range g.running {
		if now.Sub(g.running[i].started) <= threshold {
			break
		}
		if !g.running[i].started.Before(g.limit.reducedAt) && g.running[i].started.After(g.limit.lastUsualStart) {
			overdue++
		}
	}
	if overdue > 0 {
		g.limit = g.limit.WithSlow(now, overdue)
	}
	return g
}

// WithDone returns the gate after a started request ended, and the decisions on waiting requests.
func (g Gate) WithDone(now time.Time, id uint64, o Outcome) (Gate, []Decision) {
	at := slices.IndexFunc(g.running, func(r activeRequest) bool { return r.request.ID == id })
	if at < 0 {
		return g, nil
	}
	r := g.running[at]
	g.running = slices.Concat(g.running[:at], g.running[at+1:])
	g.queue = g.queue.clone(now)
	g.queue.end(now, r.request.Account, now.Sub(r.started)-r.cost)
	switch o.Kind {
	case OutcomeSuccess:
		usual := g.usualLatency(r, o.Latency)
		g.limit = g.limit.WithSuccess(now, r.started, usual, r.limitReached)
		if g.IsSelfReporting() {
			g.serviceTimes = g.serviceTimes.WithResponse(r.request.Route, usual)
			g.calls = g.calls.WithWork(r.request.Route, usual)
		}
	case OutcomeFailure:
		g.limit = g.limit.WithFailed(now, o.Latency)
	case OutcomeShed, OutcomeLost:
		g.limit = g.limit.WithShed(now)
	case OutcomeRefused:
		g = g.WithUnreachable(now)
	case OutcomeCancelled:
		g.limit = g.limit.WithCancelled(now, r.started, o.Latency)
	}
	return g.advance(now)
}

// usualLatency returns the latency that the request would have had at slowdown 1. The slowdown at the start counts because
// the service time depends mostly on it.
func (g Gate) usualLatency(r activeRequest, latency time.Duration) time.Duration {
	return time.Duration(float64(latency) / slowdownOrOne(r.slowdown))
}

// WithCancel removes a waiting request whose caller gave up; a started one ends with WithDone.
func (g Gate) WithCancel(now time.Time, id uint64) (Gate, []Decision) {
	g.queue = g.queue.clone(now)
	g.queue.remove(now, id)
	g.displaced = slices.DeleteFunc(slices.Clone(g.displaced), func(d Decision) bool { return d.ID == id })
	return g.advance(now)
}

// WithTick refuses requests whose wait has expired and starts those for which the target has capacity.
func (g Gate) WithTick(now time.Time) (Gate, []Decision) {
	if g.queue.Len() == 0 && len(g.displaced) == 0 {
		return g.withOverdue(now), nil
	}
	g.queue = g.queue.clone(now)
	return g.advance(now)
}

// advance refuses and starts waiting requests; it modifies the queue, which must be a clone.
func (g Gate) advance(now time.Time) (Gate, []Decision) {
	g = g.withOverdue(now)
	decisions := slices.Clip(g.displaced)
	g.displaced = nil
	for i := 0; i < len(g.queue.waiters); {
		w := g.queue.waiters[i]
		switch {
		case !w.request.Deadline.IsZero() && !now.Before(w.request.Deadline):
			decisions = append(decisions, refuse(w.request.ID, answer.CodeLate, 0, "the deadline passed in the queue"))
		case !g.departedAt.IsZero() && !now.Before(g.lastStart()):
			decisions = append(decisions, refuse(w.request.ID, answer.CodeLeaving, leavingRetryAfter, "the target is leaving"))
		case !now.Before(g.expiry(now, w)):
			decisions = append(decisions, refuse(w.request.ID, answer.CodeBusy, g.expectedWait(now, w.request), "the request waited too long in the queue"))
		default:
			i++
			continue
		}
		g.queue.remove(now, w.request.ID)
	}
	g, decisions = g.withMaxWaitRefusals(now, decisions)
	for len(g.running) < g.limit.Value() && g.state.NextStart(now).IsZero() {
		req, ok := g.queue.Next(now, g.limit.Value(), g.currentServiceTime)
		if !ok || g.slowWait(now, req) > 0 || g.awaitsReport(now, req) {
			break
		}
		g.queue.remove(now, req.ID)
		g = g.withStart(now, req)
		decisions = append(decisions, Decision{ID: req.ID, Action: ActionStart})
	}
	return g, decisions
}

// replacedText is the refusal text for a request to a target whose address another one has taken over.
const replacedText = "another target has the address"

// maxWaitText is the refusal text for a request whose expected wait exceeds MaxWait.
const maxWaitText = "another target may start the request sooner"

// withMaxWaitRefusals refuses the waiting requests for which a fresh report shows an expected wait above their MaxWait, so
// that they go on to another target.
func (g Gate) withMaxWaitRefusals(now time.Time, decisions []Decision) (Gate, []Decision) {
	if !g.IsSelfReporting() || !g.state.IsFresh(now) {
		return g, decisions
	}
	for i := 0; i < len(g.queue.waiters); {
		req := g.queue.waiters[i].request
		wait := g.slowWait(now, req)
		if wait == 0 && (len(g.running) >= g.limit.Value() || !g.state.NextStart(now).IsZero()) {
			wait = g.expectedWait(now, req)
		}
		if !req.OverMaxWait(wait) {
			i++
			continue
		}
		decisions = append(decisions, refuse(req.ID, answer.CodeBusy, wait, maxWaitText))
		g.queue.remove(now, req.ID)
	}
	return g, decisions
}
