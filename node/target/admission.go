package target

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/loop"
)

// probeTick is the period in which a probe is considered.
const probeTick = 100 * time.Millisecond

// ProbeResult is the outcome of a probe.
type ProbeResult struct {
	Cost   time.Duration // time that it took of the target
	Report answer.TargetReport
}

// Admission holds the gate on the control goroutine and lets traffic goroutines wait for its verdicts.
type Admission struct {
	loop    *loop.Loop
	clock   *clock.Clock
	arrive  func(g Gate, now time.Time, t AdmissionRequest) (Gate, Decision)
	gate    Gate
	waiting map[uint64]chan Decision
	next    uint64
	due     time.Time // earliest timer, zero if none is set
	probe   ProbeState
	load    atomic.Pointer[Load]
	changed func(now time.Time) // called after each change of the report, may be nil
	budget  func() float64
	send    func(ctx context.Context) (ProbeResult, error)
	asking  loop.Group // probes for which requests wait
	probes  *clock.Subscription
	begun   time.Time
	probing atomic.Int64 // nanoseconds of the target's time that probes took
	told    atomic.Bool  // the target tells of itself
}

// NewAdmission returns the admission to the target beside this node. arrive decides on a new ticket, usually
// Gate.WithArrival. sendProbe sends a probe; its error means that the target did not answer.
func NewAdmission(
	l *loop.Loop,
	c *clock.Clock,
	arrive func(g Gate, now time.Time, t AdmissionRequest) (Gate, Decision),
	budget func() float64,
	sendProbe func(ctx context.Context) (ProbeResult, error),
) *Admission {
	a := &Admission{
		loop: l, clock: c, arrive: arrive,
		gate:    NewGate(1),
		waiting: map[uint64]chan Decision{},
		probe:   NewProbeState(c.Now()),
		begun:   c.Now(),
		budget:  budget, send: sendProbe,
	}
	a.publish(c.Now())
	a.probes = c.Subscribe(probeTick, func(time.Time) { a.tickProbe() })
	return a
}

// Load returns the current report of the gate.
func (a *Admission) Load() Load { return *a.load.Load() }

// ProbeShare returns the share of the target's time that probes took since the start.
func (a *Admission) ProbeShare() float64 {
	return float64(a.probing.Load()) / float64(max(a.clock.Now().Sub(a.begun), time.Second))
}

// Admit waits until the gate starts the ticket; the returned function must be called with the outcome.
func (a *Admission) Admit(ctx context.Context, t AdmissionRequest) (func(Outcome), error) {
	// The event must run to its end even if the caller leaves, because it may take a slot.
	bound := context.WithoutCancel(ctx)
	verdicts := make(chan Decision, 1)
	var first Decision
	err := a.loop.Call(bound, func(now time.Time) {
		a.next++
		t.ID = a.next
		a.gate, first = a.arrive(a.gate, now, t)
		if first.Action == ActionWait {
			a.waiting[t.ID] = verdicts
		}
		a.settle(now, nil)
	})
	if err != nil {
		return nil, answer.NewNotExecuted(answer.CodeBusy, fmt.Sprintf("admission failed: %v", err))
	}
	if first.Action == ActionWait {
		first = a.wait(ctx, t.ID, verdicts)
	}
	if first.Action == ActionRefuse {
		return nil, first.Refusal
	}
	return func(o Outcome) { a.finish(bound, t.ID, o) }, nil
}

// wait returns the verdict on a queued ticket; a caller that leaves gives up its place.
func (a *Admission) wait(ctx context.Context, id uint64, verdicts chan Decision) Decision {
	select {
	case v := <-verdicts:
		return v
	case <-ctx.Done():
	}
	_ = a.loop.Call(context.WithoutCancel(ctx), func(now time.Time) {
		if _, ok := a.waiting[id]; !ok {
			return
		}
		delete(a.waiting, id)
		var more []Decision
		a.gate, more = a.gate.WithCancel(now, id)
		a.settle(now, more)
	})
	select {
	case v := <-verdicts:
		return v // the verdict came first; the attempt ends as cancelled
	default:
		return Decision{ID: id, Action: ActionRefuse, Refusal: answer.NewNotExecuted(answer.CodeLate, "the caller left the queue")}
	}
}

func (a *Admission) finish(ctx context.Context, id uint64, o Outcome) {
	_ = a.loop.Post(ctx, func(now time.Time) {
		if o.Kind == OutcomeSuccess {
			a.probe = a.probe.WithResponse(now)
		}
		var more []Decision
		a.gate, more = a.gate.WithDone(now, id, o)
		a.settle(now, more)
	})
}

// SetLeaving marks the target as leaving, or not.
func (a *Admission) SetLeaving(ctx context.Context, leaving bool) error {
	return a.loop.Call(ctx, func(now time.Time) { a.SetLeavingOnLoop(now, leaving) })
}

// SetLeavingOnLoop is SetLeaving for the control goroutine.
func (a *Admission) SetLeavingOnLoop(now time.Time, leaving bool) {
	a.gate = a.gate.WithLeaving(leaving)
	a.settle(now, nil)
}

// SetEvacuated marks the target's failure domain as taken out, or not; it runs on the control goroutine.
func (a *Admission) SetEvacuated(now time.Time, out bool) {
	a.gate = a.gate.WithOut(now, out)
	a.settle(now, nil)
}

// SetSlots sets how many requests at once the warm target has capacity for; it runs on the control goroutine.
func (a *Admission) SetSlots(now time.Time, slots int) {
	a.gate = a.gate.WithSlots(slots)
	a.settle(now, nil)
}

// SetRegistration adopts what the platform states of the target; it runs on the control goroutine.
func (a *Admission) SetRegistration(now time.Time, i Registration) {
	a.gate = a.gate.WithIdentity(i)
	a.told.Store(a.gate.IsTold())
	a.settle(now, nil)
}

// ApplyReport adopts what the target told of itself with a response.
func (a *Admission) ApplyReport(r answer.TargetReport) {
	if r.HasLoad {
		_ = a.loop.Post(context.Background(), func(now time.Time) {
			a.probe = a.probe.WithResponse(now)
			a.report(now, r, false)
		})
	}
}

// report adopts what the target told; waiting requests may start if it is fast again.
func (a *Admission) report(now time.Time, r answer.TargetReport, asked bool) {
	var more []Decision
	a.gate = a.gate.WithReport(now, r, asked)
	a.gate, more = a.gate.WithTick(now)
	a.settle(now, more)
}

// settle hands out verdicts, publishes the report and sets the timer of the queue.
func (a *Admission) settle(now time.Time, verdicts []Decision) {
	for _, v := range verdicts {
		if ch, ok := a.waiting[v.ID]; ok {
			delete(a.waiting, v.ID)
			ch <- v
		}
	}
	a.publish(now)
	a.ask(now)
	due, ok := a.gate.Due(now)
	if a.gate.Waits() && !a.probe.IsOpen(now) {
		due = earlier(due, a.probe.Again())
	}
	if !ok || (!a.due.IsZero() && !due.Before(a.due)) {
		return
	}
	// An earlier timer that is already set may fire as well; a tick that is not due changes nothing.
	a.due = laterOf(due, now)
	a.clock.AfterFunc(a.due.Sub(now), func(time.Time) { _ = a.loop.Post(context.Background(), a.tick) })
}

func (a *Admission) tick(now time.Time) {
	a.due = time.Time{}
	var more []Decision
	a.gate, more = a.gate.WithTick(now)
	a.settle(now, more)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (a *Admission) publish(now time.Time) {
	load := a.gate.Load(now)
	a.load.Store(&load)
	if a.changed != nil {
		a.changed(now)
	}
}

// OnChange sets what is called on the control goroutine after each change of the report; it must be set before the first
// request.
func (a *Admission) OnChange(f func(now time.Time)) { a.changed = f }

// Target returns the target beside this node and the report of the gate; it runs on the control goroutine.
func (a *Admission) Target() (string, Load) { return a.gate.state.Identity().Name, a.Load() }

// tickProbe considers a probe; it runs on the goroutine of its subscription.
func (a *Admission) tickProbe() {
	due := false
	err := a.loop.Call(context.Background(), func(now time.Time) {
		if due = a.probeDue(now); due {
			a.probe = a.probe.WithProbe(now)
		}
	})
	if err == nil && due {
		a.runProbe()
	}
}

// ask sends a probe if requests wait for its answer, or for a target that may have become fast again; it runs on the
// control goroutine.
func (a *Admission) ask(now time.Time) {
	if a.probe.IsOpen(now) || (!a.gate.Asks(now) && (!a.gate.Waits() || now.Before(a.probe.Again()))) {
		return
	}
	a.probe = a.probe.WithProbe(now)
	a.asking.Go(a.runProbe)
}

// runProbe sends a probe and adopts its outcome.
func (a *Admission) runProbe() {
	ctx, cancel := context.WithTimeout(context.Background(), a.patience())
	defer cancel()
	probed, err := a.send(ctx)
	a.probing.Add(int64(probed.Cost))
	// The loop closes after the probes, so that its error needs no handling.
	_ = a.loop.Call(context.Background(), func(now time.Time) {
		a.probe = a.probe.WithResult(probed.Cost)
		if err != nil {
			a.gate = a.gate.WithUnreachable(now)
			a.settle(now, nil)
			return
		}
		a.report(now, probed.Report, true)
	})
}

// probeDue runs on the control goroutine.
func (a *Admission) probeDue(now time.Time) bool {
	if a.gate.IsTold() {
		return ProbeTold(now, a.probe, a.gate.state.unsure)
	}
	return Probe(now, a.probe, a.budget())
}

// patience returns how long a probe may take.
func (a *Admission) patience() time.Duration {
	if a.told.Load() {
		return toldLost
	}
	return probeLost
}

// Close ends the probes and waits for those that are running.
func (a *Admission) Close() {
	a.probes.Close()
	a.asking.Close()
}
