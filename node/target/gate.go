package target

import (
	"slices"
	"time"

	"verbenapin.dev/node/answer"
)

const (
	queueFactor       = 2                     // waiting tickets at most, as a multiple of the limit
	maxQueueTime      = 50 * time.Millisecond // longest wait of a ticket
	leavingRetryAfter = time.Second           // time after which to ask a target again that leaves or is taken out
	// firstAims is the part of its aim that a request of an unknown route is expected to run, as a divisor.
	unseenRouteDivisor = 3
	// lateAims is the part of its aim for which a late request waits, as a divisor.
	lateWaitDivisor = 8
	downRetryAfter  = probePauseStale // time after which to ask again about a target that does not answer
)

// Action tells what happens to a ticket.
type Action int

// Actions of the gate.
const (
	ActionStart  Action = iota // send the request to the target now
	ActionWait                 // the gate returns another verdict later
	ActionRefuse               // the request did not and will not run
)

// Decision is the gate's decision on one ticket.
type Decision struct {
	ID      uint64
	Action  Action
	Refusal answer.Refusal // set for ActionRefuse
}

// OutcomeKind classifies how a started request ended.
type OutcomeKind int

// Kinds of outcomes.
const (
	OutcomeSuccess   OutcomeKind = iota
	OutcomeFailure               // the target answered with a server error
	OutcomeShed                  // the target answered that it is overloaded (429, 503)
	OutcomeLost                  // the connection broke
	OutcomeRefused               // the target refused the connection, so the request did not run
	OutcomeCancelled             // the caller gave up; the service time is at least the latency
)

// Outcome is the end of a started request; Latency is the target's service time.
type Outcome struct {
	Kind    OutcomeKind
	Latency time.Duration
}

type activeRequest struct {
	request      AdmissionRequest
	started      time.Time
	cost         time.Duration // expected service time, charged at the start
	limitReached bool          // the limit was reached while the request ran
	slowdown     float64       // of the target at the start
}

// Gate decides which requests run at the target beside the node.
type Gate struct {
	limit        Limit
	state        State
	serviceTimes ServiceTimes
	queue        Queue
	running      []activeRequest // by start
	displaced    []Decision      // refusals to return with the next event
	leaving      bool
	evacuated    bool
	down         bool // a target that tells of itself has not answered since
}

// NewGate returns the gate of a target that was not seen warm.
func NewGate(slots int) Gate {
	return Gate{limit: NewLimit(slots)}
}

// WithSlots returns the gate under a new number of slots of a warm target.
func (g Gate) WithSlots(slots int) Gate {
	g.limit = g.limit.WithSlots(slots)
	return g
}

// WithRegistration returns the gate of a target whose platform states what it bears.
func (g Gate) WithRegistration(r Registration) Gate {
	if g.state.Registration().Name != r.Name || !g.state.Registration().StartedAt.Equal(r.StartedAt) {
		g.limit = NewLimit(g.limit.slots)
	}
	g.state = g.state.WithRegistration(r)
	if r.Slots > 0 {
		g.limit = g.limit.WithDeclaredSlots(r.Slots)
	}
	return g
}

// IsSelfReporting tells whether the platform states what the target bears.
func (g Gate) IsSelfReporting() bool { return g.limit.declared }

// WithReport returns the gate after the target told of itself, with a response or as the answer to a probe.
func (g Gate) WithReport(now time.Time, r answer.TargetReport, probed bool) Gate {
	g.state, g.down = g.state.WithReport(now, r, probed), false
	return g
}

// WithLeaving returns the gate of a target that leaves, or no longer does; waiting tickets are still served.
func (g Gate) WithLeaving(leaving bool) Gate {
	g.leaving = leaving
	return g
}

// WithEvacuated returns the gate in a failure domain that is taken out, or brought back; on return the target counts as cold.
func (g Gate) WithEvacuated(now time.Time, evacuated bool) Gate {
	if g.evacuated && !evacuated {
		g.limit, g.state = g.limit.WithRestart(now), g.state.WithPossibleRestart()
	}
	g.evacuated = evacuated
	return g
}

// WithUnreachable returns the gate after a probe got no answer; the target counts as cold when it is back.
func (g Gate) WithUnreachable(now time.Time) Gate {
	g.limit, g.state = g.limit.WithRefused(now), g.state.WithPossibleRestart()
	g.down = g.IsSelfReporting()
	return g
}

// Load returns the report for senders.
func (g Gate) Load(now time.Time) Load {
	return Load{
		Running:      len(g.running),
		Queued:       g.queue.Len(),
		Limit:        g.limit.WithIdle(now).Value(),
		ServiceTime:  g.limit.ServiceTime(),
		FailureRate:  g.limit.FailureRate(),
		Leaving:      g.leaving,
		Slowdown:     g.state.slowdown,
		MeanSlowdown: g.state.meanSlowdown,
		Down:         g.down,
		Cold:         g.IsSelfReporting() && g.state.IsCold(now),
		ExpectedWait: g.expectedWaitNow(now),
	}
}

// expectedWaitNow returns the expected wait of an ordinary request that arrives now, zero unless the target tells of itself.
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

// NextTick returns when WithTick has to run at the latest, or false if nothing waits.
func (g Gate) NextTick(now time.Time) (time.Time, bool) {
	if len(g.displaced) > 0 {
		return time.Time{}, true
	}
	var due time.Time
	for i := range g.queue.waiters {
		w := &g.queue.waiters[i]
		at := earlierOf(w.expiry(), w.request.Deadline)
		if !g.state.IsFresh(now) && !w.waitedForReport(now) {
			at = earlierOf(at, w.arrived.Add(maxReportWait))
		}
		if due.IsZero() || at.Before(due) {
			due = at
		}
	}
	if !due.IsZero() && len(g.running) < g.limit.Value() {
		due = earlierOf(due, g.state.NextStart(now))
	}
	return due, !due.IsZero()
}

// waitedForReport tells whether the ticket has waited long enough for a fresh report.
func (w waiter) waitedForReport(now time.Time) bool { return now.Sub(w.arrived) >= maxReportWait }

// expiry returns until when the ticket waits: until its aim has passed, for a short while if it was late already when it
// arrived, or for queueFor if it states no aim.
func (w waiter) expiry() time.Time {
	if w.request.SoftDeadline.IsZero() {
		return w.arrived.Add(maxQueueTime)
	}
	return laterOf(w.request.SoftDeadline, w.arrived.Add(w.request.LatencyObjective/lateWaitDivisor))
}

// earlierOf returns the earlier of two times, of which the second may be zero for none.
func earlierOf(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func refuse(id uint64, code answer.Code, retryAfter time.Duration, text string) Decision {
	return Decision{ID: id, Action: ActionRefuse, Refusal: answer.NewNotExecuted(code, text).WithRetryAfter(max(retryAfter, time.Millisecond))}
}

// WithArrival decides on a new request. A waiting ticket that gives way to it is refused by the next event.
func (g Gate) WithArrival(now time.Time, req AdmissionRequest) (Gate, Decision) {
	switch {
	case g.evacuated:
		return g, refuse(req.ID, answer.CodeDomain, leavingRetryAfter, "the failure domain is taken out")
	case g.leaving:
		return g, refuse(req.ID, answer.CodeLeaving, leavingRetryAfter, "the target is leaving")
	case !req.Deadline.IsZero() && !now.Before(req.Deadline):
		return g, refuse(req.ID, answer.CodeLate, 0, "the deadline has passed")
	case g.down:
		return g, refuse(req.ID, answer.CodeBusy, downRetryAfter, "the target does not answer")
	case g.state.DiffersFrom(req.Target):
		return g, refuse(req.ID, answer.CodeLeaving, leavingRetryAfter, replacedText)
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
	case wait > g.maxQueueTimeOf(now, req, wait):
		return g, refuse(req.ID, answer.CodeBusy, wait, "the expected wait is too long")
	}
	if g.queue.Len() >= queueFactor*limit {
		victim, ok := g.queue.Displaced(req)
		if !ok {
			return g, refuse(req.ID, answer.CodeBusy, wait, "the queue is full")
		}
		g.queue.remove(now, victim.ID)
		g.displaced = append(slices.Clip(g.displaced), refuse(victim.ID, answer.CodeBusy, wait, "gave way to another account"))
	}
	return g.withWaiter(now, req)
}

// withWaiter changes the queue, which must be a clone.
func (g Gate) withWaiter(now time.Time, req AdmissionRequest) (Gate, Decision) {
	g.queue.add(now, req)
	return g, Decision{ID: req.ID, Action: ActionWait}
}

// HasWaiters tells whether requests wait for a target that tells of itself.
func (g Gate) HasWaiters() bool { return g.IsSelfReporting() && len(g.queue.waiters) > 0 }

// NeedsReport tells whether requests wait for a fresh report of the target's pace.
func (g Gate) NeedsReport(now time.Time) bool {
	return len(g.queue.waiters) > 0 && len(g.running) < g.limit.Value() && !g.state.IsFresh(now)
}

// slowWait returns how long a ticket with an aim had better wait for the target to become fast.
func (g Gate) slowWait(now time.Time, req AdmissionRequest) time.Duration {
	if req.SoftDeadline.IsZero() {
		return 0
	}
	return g.state.SlowWait(now, g.usualServiceTime(req))
}

// currentServiceTime returns how long a request is expected to run that starts now.
func (g Gate) currentServiceTime(req AdmissionRequest) time.Duration {
	return time.Duration(float64(g.usualServiceTime(req)) * g.state.Slowdown())
}

// currentProbeTimeout returns the longest wait for which a new ticket is accepted. One that will be late anyway waits for a short
// while only: it starts when nothing else does, and a refusal is worth the more the earlier it comes.
func (g Gate) maxQueueTimeOf(now time.Time, req AdmissionRequest, wait time.Duration) time.Duration {
	switch {
	case req.SoftDeadline.IsZero():
		return maxQueueTime
	case req.Late(now.Add(wait), g.baseServiceTime):
		return req.LatencyObjective / lateWaitDivisor
	}
	return req.SoftDeadline.Sub(now)
}

// usualServiceTime returns how long a request runs at the pace of a warm target. Of a route that was not seen yet only the aim
// is known.
func (g Gate) usualServiceTime(req AdmissionRequest) time.Duration {
	return g.serviceTimes.Mean(req.Route, req.LatencyObjective/unseenRouteDivisor)
}

// baseServiceTime returns how long a request runs while nothing slows the target down for the moment.
func (g Gate) baseServiceTime(req AdmissionRequest) time.Duration {
	return time.Duration(float64(g.usualServiceTime(req)) * g.state.BaseSlowdown())
}

// expectedWait returns the expected wait of a new ticket.
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
	if free := g.state.NextStart(now); !free.IsZero() {
		// A cold target serves the queue at the pace that it bears.
		wait = max(wait, free.Sub(now)+time.Duration(float64(ahead)/g.state.Registration().ColdRate*float64(time.Second)))
	}
	return wait
}

// withStart changes the queue, which must be a clone.
func (g Gate) withStart(now time.Time, req AdmissionRequest) Gate {
	cost := g.limit.ServiceTime()
	g.state = g.state.WithStart(now)
	g.queue.begin(now, req.Account, cost)
	g.running = append(slices.Clip(g.running), activeRequest{request: req, started: now, cost: cost, slowdown: g.state.Slowdown()})
	if len(g.running) >= g.limit.Value() {
		for i := range g.running { // append copied the clipped slice
			g.running[i].limitReached = true
		}
	}
	return g
}

// withOverdue counts requests that run for longer than a slow response takes, before they end.
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

// WithDone returns the gate after a started request ended, and the verdicts on waiting tickets.
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

// usualLatency returns the time that a request would have taken at the usual pace. What a request takes depends most on the pace
// at its start.
func (g Gate) usualLatency(r activeRequest, latency time.Duration) time.Duration {
	return time.Duration(float64(latency) / slowdownOrOne(r.slowdown))
}

// WithCancel removes a waiting ticket whose caller gave up; a started one ends with WithDone.
func (g Gate) WithCancel(now time.Time, id uint64) (Gate, []Decision) {
	g.queue = g.queue.clone(now)
	g.queue.remove(now, id)
	g.displaced = slices.DeleteFunc(slices.Clone(g.displaced), func(d Decision) bool { return d.ID == id })
	return g.advance(now)
}

// WithTick refuses tickets that waited for too long and starts those for which there is room.
func (g Gate) WithTick(now time.Time) (Gate, []Decision) {
	if g.queue.Len() == 0 && len(g.displaced) == 0 {
		return g.withOverdue(now), nil
	}
	g.queue = g.queue.clone(now)
	return g.advance(now)
}

// advance changes the queue, which must be a clone.
func (g Gate) advance(now time.Time) (Gate, []Decision) {
	g = g.withOverdue(now)
	decisions := slices.Clip(g.displaced)
	g.displaced = nil
	for i := 0; i < len(g.queue.waiters); {
		w := g.queue.waiters[i]
		switch {
		case !w.request.Deadline.IsZero() && !now.Before(w.request.Deadline):
			decisions = append(decisions, refuse(w.request.ID, answer.CodeLate, 0, "the deadline passed in the queue"))
		case !now.Before(w.expiry()):
			decisions = append(decisions, refuse(w.request.ID, answer.CodeBusy, g.expectedWait(now, w.request), "waited for too long"))
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

// awaitsReport tells whether a ticket waits for a fresh report before it starts.
func (g Gate) awaitsReport(now time.Time, req AdmissionRequest) bool {
	if req.SoftDeadline.IsZero() || g.state.IsFresh(now) {
		return false
	}
	at := slices.IndexFunc(g.queue.waiters, func(w waiter) bool { return w.request.ID == req.ID })
	return !g.queue.waiters[at].waitedForReport(now)
}

// replacedText is why a request that is meant for an earlier target at the address is refused.
const replacedText = "another target has the address"

// maxWaitText is why a request goes on.
const maxWaitText = "another target may start the request sooner"

// withMaxWaitRefusals sends on the tickets for which a fresh report shows a longer wait than they have to spare.
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
