package target

import (
	"slices"
	"time"

	"verbenapin.dev/node/answer"
)

const (
	queueFactor = 2                     // waiting tickets at most, as a multiple of the limit
	queueFor    = 50 * time.Millisecond // longest wait of a ticket
	awayFor     = time.Second           // time after which to ask a target again that leaves or is taken out
	// firstAims is the part of its aim that a request of an unknown route is expected to run, as a divisor.
	firstAims = 3
	// lateAims is the part of its aim for which a late request waits, as a divisor.
	lateAims = 8
	downFor  = toldOften // time after which to ask again about a target that does not answer
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

type run struct {
	request AdmissionRequest
	started time.Time
	cost    time.Duration // expected service time, charged at the start
	full    bool          // the limit was reached while the request ran
	pace    float64       // of the target at the start
}

// Gate decides which requests run at the target beside the node.
type Gate struct {
	limit     Limit
	state     State
	services  Services
	queue     Queue
	runs      []run      // by start
	displaced []Decision // refusals to return with the next event
	leaving   bool
	out       bool
	down      bool // a target that tells of itself has not answered since
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

// WithIdentity returns the gate of a target whose platform states what it bears.
func (g Gate) WithIdentity(i Registration) Gate {
	if g.state.Identity().Name != i.Name || !g.state.Identity().StartedAt.Equal(i.StartedAt) {
		g.limit = NewLimit(g.limit.slots)
	}
	g.state = g.state.WithIdentity(i)
	if i.Slots > 0 {
		g.limit = g.limit.WithTold(i.Slots)
	}
	return g
}

// IsTold tells whether the platform states what the target bears.
func (g Gate) IsTold() bool { return g.limit.told }

// WithReport returns the gate after the target told of itself, with a response or as the answer to a probe.
func (g Gate) WithReport(now time.Time, r answer.TargetReport, asked bool) Gate {
	g.state, g.down = g.state.WithReport(now, r, asked), false
	return g
}

// WithLeaving returns the gate of a target that leaves, or no longer does; waiting tickets are still served.
func (g Gate) WithLeaving(leaving bool) Gate {
	g.leaving = leaving
	return g
}

// WithOut returns the gate in a failure domain that is taken out, or brought back; on return the target counts as cold.
func (g Gate) WithOut(now time.Time, out bool) Gate {
	if g.out && !out {
		g.limit, g.state = g.limit.WithRestart(now), g.state.WithDoubt()
	}
	g.out = out
	return g
}

// WithUnreachable returns the gate after a probe got no answer; the target counts as cold when it is back.
func (g Gate) WithUnreachable(now time.Time) Gate {
	g.limit, g.state = g.limit.WithRefused(now), g.state.WithDoubt()
	g.down = g.IsTold()
	return g
}

// Load returns the report for senders.
func (g Gate) Load(now time.Time) Load {
	return Load{
		Running:      len(g.runs),
		Queued:       g.queue.Len(),
		Limit:        g.limit.WithIdle(now).Value(),
		ServiceTime:  g.limit.Service(),
		FailureRate:  g.limit.Failing(),
		Leaving:      g.leaving,
		Slowdown:     g.state.pace,
		MeanSlowdown: g.state.mean,
		Down:         g.down,
		Cold:         g.IsTold() && g.state.IsCold(now),
		ExpectedWait: g.waitNow(now),
	}
}

// waitNow returns the expected wait of an ordinary request that arrives now, zero unless the target tells of itself.
func (g Gate) waitNow(now time.Time) time.Duration {
	if !g.IsTold() {
		return 0
	}
	wait := g.state.Hold(now, g.limit.Service())
	if g.queue.Len() > 0 || len(g.runs) >= g.limit.Value() || !g.state.Free(now).IsZero() {
		wait = max(wait, g.expected(now, AdmissionRequest{}))
	}
	return wait
}

// Due returns when WithTick has to run at the latest, or false if nothing waits.
func (g Gate) Due(now time.Time) (time.Time, bool) {
	if len(g.displaced) > 0 {
		return time.Time{}, true
	}
	var due time.Time
	for i := range g.queue.waiters {
		w := &g.queue.waiters[i]
		at := earlier(w.until(), w.request.Deadline)
		if !g.state.IsFresh(now) && !w.asked(now) {
			at = earlier(at, w.arrived.Add(askPatience))
		}
		if due.IsZero() || at.Before(due) {
			due = at
		}
	}
	if !due.IsZero() && len(g.runs) < g.limit.Value() {
		due = earlier(due, g.state.Free(now))
	}
	return due, !due.IsZero()
}

// asked tells whether the ticket has waited long enough for a fresh report.
func (w waiter) asked(now time.Time) bool { return now.Sub(w.arrived) >= askPatience }

// until returns until when the ticket waits: until its aim has passed, for a short while if it was late already when it
// arrived, or for queueFor if it states no aim.
func (w waiter) until() time.Time {
	if w.request.SoftDeadline.IsZero() {
		return w.arrived.Add(queueFor)
	}
	return laterOf(w.request.SoftDeadline, w.arrived.Add(w.request.LatencyObjective/lateAims))
}

// earlier returns the earlier of two times, of which the second may be zero for none.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func refuse(id uint64, code answer.Code, after time.Duration, text string) Decision {
	return Decision{ID: id, Action: ActionRefuse, Refusal: answer.NewNotExecuted(code, text).WithRetryAfter(max(after, time.Millisecond))}
}

// WithArrival decides on a new request. A waiting ticket that gives way to it is refused by the next event.
func (g Gate) WithArrival(now time.Time, t AdmissionRequest) (Gate, Decision) {
	switch {
	case g.out:
		return g, refuse(t.ID, answer.CodeDomain, awayFor, "the failure domain is taken out")
	case g.leaving:
		return g, refuse(t.ID, answer.CodeLeaving, awayFor, "the target is leaving")
	case !t.Deadline.IsZero() && !now.Before(t.Deadline):
		return g, refuse(t.ID, answer.CodeLate, 0, "the deadline has passed")
	case g.down:
		return g, refuse(t.ID, answer.CodeBusy, downFor, "the target does not answer")
	case g.state.IsOther(t.Target):
		return g, refuse(t.ID, answer.CodeLeaving, awayFor, replacedText)
	}
	g.limit = g.limit.WithIdle(now)
	g = g.withOverdue(now)
	g.queue = g.queue.clone(now)
	limit := g.limit.Value()
	hold, unsure := g.hold(now, t), !t.SoftDeadline.IsZero() && !g.state.IsFresh(now)
	if hold == 0 && len(g.runs) < limit && g.state.Free(now).IsZero() && g.queue.Room(now, t.Account, limit) {
		if first, more := g.queue.Next(now, limit, g.service); !more || t.Priority.Before(first.Priority) {
			if unsure {
				return g.withWaiter(now, t)
			}
			return g.withStart(now, t), Decision{ID: t.ID, Action: ActionStart}
		}
	}
	wait := g.expected(now, t)
	if len(g.runs) < limit && g.queue.Len() == 0 && g.state.Free(now).IsZero() {
		wait = hold
	}
	g.queue.share(now, t.Account)
	switch {
	case !t.Deadline.IsZero() && now.Add(wait).After(t.Deadline):
		return g, refuse(t.ID, answer.CodeLate, wait, "the expected wait exceeds the time left")
	case g.IsTold() && t.MovesOn(wait):
		return g, refuse(t.ID, answer.CodeBusy, wait, movedOn)
	case wait > g.patience(now, t, wait):
		return g, refuse(t.ID, answer.CodeBusy, wait, "the expected wait is too long")
	}
	if g.queue.Len() >= queueFactor*limit {
		victim, ok := g.queue.Displaced(t)
		if !ok {
			return g, refuse(t.ID, answer.CodeBusy, wait, "the queue is full")
		}
		g.queue.remove(now, victim.ID)
		g.displaced = append(slices.Clip(g.displaced), refuse(victim.ID, answer.CodeBusy, wait, "gave way to another account"))
	}
	return g.withWaiter(now, t)
}

// withWaiter changes the queue, which must be a clone.
func (g Gate) withWaiter(now time.Time, t AdmissionRequest) (Gate, Decision) {
	g.queue.add(now, t)
	return g, Decision{ID: t.ID, Action: ActionWait}
}

// Waits tells whether requests wait for a target that tells of itself.
func (g Gate) Waits() bool { return g.IsTold() && len(g.queue.waiters) > 0 }

// Asks tells whether requests wait for a fresh report of the target's pace.
func (g Gate) Asks(now time.Time) bool {
	return len(g.queue.waiters) > 0 && len(g.runs) < g.limit.Value() && !g.state.IsFresh(now)
}

// hold returns how long a ticket with an aim had better wait for the target to become fast.
func (g Gate) hold(now time.Time, t AdmissionRequest) time.Duration {
	if t.SoftDeadline.IsZero() {
		return 0
	}
	return g.state.Hold(now, g.usualService(t))
}

// service returns how long a request is expected to run that starts now.
func (g Gate) service(t AdmissionRequest) time.Duration {
	return time.Duration(float64(g.usualService(t)) * g.state.Pace())
}

// patience returns the longest wait for which a new ticket is accepted. One that will be late anyway waits for a short
// while only: it starts when nothing else does, and a refusal is worth the more the earlier it comes.
func (g Gate) patience(now time.Time, t AdmissionRequest, wait time.Duration) time.Duration {
	switch {
	case t.SoftDeadline.IsZero():
		return queueFor
	case t.Late(now.Add(wait), g.baseService):
		return t.LatencyObjective / lateAims
	}
	return t.SoftDeadline.Sub(now)
}

// usualService returns how long a request runs at the pace of a warm target. Of a route that was not seen yet only the aim
// is known.
func (g Gate) usualService(t AdmissionRequest) time.Duration {
	return g.services.Of(t.Route, t.LatencyObjective/firstAims)
}

// baseService returns how long a request runs while nothing slows the target down for the moment.
func (g Gate) baseService(t AdmissionRequest) time.Duration {
	return time.Duration(float64(g.usualService(t)) * g.state.Base())
}

// expected returns the expected wait of a new ticket.
func (g Gate) expected(now time.Time, t AdmissionRequest) time.Duration {
	limit, running := g.limit.Value(), len(g.runs)
	service := g.limit.Service()
	if g.IsTold() && g.limit.seen == 0 {
		service = max(service, g.usualService(t))
	}
	service = time.Duration(float64(service) * g.state.Base())
	ahead := g.queue.Ahead(t)
	wait := service * time.Duration(ahead+1) / time.Duration(limit)
	if running > limit {
		wait += service * time.Duration(running-limit) / time.Duration(running)
	}
	if free := g.state.Free(now); !free.IsZero() {
		// A cold target serves the queue at the pace that it bears.
		wait = max(wait, free.Sub(now)+time.Duration(float64(ahead)/g.state.Identity().ColdRate*float64(time.Second)))
	}
	return wait
}

// withStart changes the queue, which must be a clone.
func (g Gate) withStart(now time.Time, t AdmissionRequest) Gate {
	cost := g.limit.Service()
	g.state = g.state.WithStart(now)
	g.queue.begin(now, t.Account, cost)
	g.runs = append(slices.Clip(g.runs), run{request: t, started: now, cost: cost, pace: g.state.Pace()})
	if len(g.runs) >= g.limit.Value() {
		for i := range g.runs { // append copied the clipped slice
			g.runs[i].full = true
		}
	}
	return g
}

// withOverdue counts requests that run for longer than a slow response takes, before they end.
func (g Gate) withOverdue(now time.Time) Gate {
	bound := g.limit.Slow()
	if bound == 0 || g.limit.Value() == 1 {
		return g
	}
	overdue := 0
	for i := range g.runs {
		if now.Sub(g.runs[i].started) <= bound {
			break
		}
		if !g.runs[i].started.Before(g.limit.cut) && g.runs[i].started.After(g.limit.usual) {
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
	at := slices.IndexFunc(g.runs, func(r run) bool { return r.request.ID == id })
	if at < 0 {
		return g, nil
	}
	r := g.runs[at]
	g.runs = slices.Concat(g.runs[:at], g.runs[at+1:])
	g.queue = g.queue.clone(now)
	g.queue.end(now, r.request.Account, now.Sub(r.started)-r.cost)
	switch o.Kind {
	case OutcomeSuccess:
		usual := g.usual(r, o.Latency)
		g.limit = g.limit.WithGood(now, r.started, usual, r.full)
		if g.IsTold() {
			g.services = g.services.WithResponse(r.request.Route, usual)
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

// usual returns the time that a request would have taken at the usual pace. What a request takes depends most on the pace
// at its start.
func (g Gate) usual(r run, latency time.Duration) time.Duration {
	return time.Duration(float64(latency) / orUsual(r.pace))
}

// WithCancel removes a waiting ticket whose caller gave up; a started one ends with WithDone.
func (g Gate) WithCancel(now time.Time, id uint64) (Gate, []Decision) {
	g.queue = g.queue.clone(now)
	g.queue.remove(now, id)
	g.displaced = slices.DeleteFunc(slices.Clone(g.displaced), func(v Decision) bool { return v.ID == id })
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
	verdicts := slices.Clip(g.displaced)
	g.displaced = nil
	for i := 0; i < len(g.queue.waiters); {
		w := g.queue.waiters[i]
		switch {
		case !w.request.Deadline.IsZero() && !now.Before(w.request.Deadline):
			verdicts = append(verdicts, refuse(w.request.ID, answer.CodeLate, 0, "the deadline passed in the queue"))
		case !now.Before(w.until()):
			verdicts = append(verdicts, refuse(w.request.ID, answer.CodeBusy, g.expected(now, w.request), "waited for too long"))
		default:
			i++
			continue
		}
		g.queue.remove(now, w.request.ID)
	}
	g, verdicts = g.withMoves(now, verdicts)
	for len(g.runs) < g.limit.Value() && g.state.Free(now).IsZero() {
		t, ok := g.queue.Next(now, g.limit.Value(), g.service)
		if !ok || g.hold(now, t) > 0 || g.mustAsk(now, t) {
			break
		}
		g.queue.remove(now, t.ID)
		g = g.withStart(now, t)
		verdicts = append(verdicts, Decision{ID: t.ID, Action: ActionStart})
	}
	return g, verdicts
}

// mustAsk tells whether a ticket waits for a fresh report before it starts.
func (g Gate) mustAsk(now time.Time, t AdmissionRequest) bool {
	if t.SoftDeadline.IsZero() || g.state.IsFresh(now) {
		return false
	}
	at := slices.IndexFunc(g.queue.waiters, func(w waiter) bool { return w.request.ID == t.ID })
	return !g.queue.waiters[at].asked(now)
}

// replacedText is why a request that is meant for an earlier target at the address is refused.
const replacedText = "another target has the address"

// movedOn is why a request goes on.
const movedOn = "another target may start the request sooner"

// withMoves sends on the tickets for which a fresh report shows a longer wait than they have to spare.
func (g Gate) withMoves(now time.Time, verdicts []Decision) (Gate, []Decision) {
	if !g.IsTold() || !g.state.IsFresh(now) {
		return g, verdicts
	}
	for i := 0; i < len(g.queue.waiters); {
		t := g.queue.waiters[i].request
		wait := g.hold(now, t)
		if wait == 0 && (len(g.runs) >= g.limit.Value() || !g.state.Free(now).IsZero()) {
			wait = g.expected(now, t)
		}
		if !t.MovesOn(wait) {
			i++
			continue
		}
		verdicts = append(verdicts, refuse(t.ID, answer.CodeBusy, wait, movedOn))
		g.queue.remove(now, t.ID)
	}
	return g, verdicts
}
