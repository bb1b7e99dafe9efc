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

// probeCheckInterval is the period in which a probe is considered.
const probeCheckInterval = 100 * time.Millisecond

// ProbeResult is the outcome of a probe.
type ProbeResult struct {
	Cost   time.Duration // time that it took of the target
	Report answer.TargetReport
}

// Admission holds the gate on the control goroutine and lets traffic goroutines wait for its verdicts.
type Admission struct {
	loop          *loop.Loop
	clock         *clock.Clock
	decide        func(g Gate, now time.Time, req AdmissionRequest) (Gate, Decision)
	gate          Gate
	waiting       map[uint64]chan Decision
	lastID        uint64
	nextTick      time.Time // earliest timer, zero if none is set
	probe         ProbeState
	load          atomic.Pointer[Load]
	onChange      func(now time.Time) // called after each change of the report, may be nil
	probeBudget   func() float64
	sendProbe     func(ctx context.Context) (ProbeResult, error)
	waiterProbes  loop.Group // probes for which requests wait
	probeChecks   *clock.Subscription
	startedAt     time.Time
	probeTime     atomic.Int64 // nanoseconds of the target's time that probes took
	selfReporting atomic.Bool  // the target tells of itself
}

// NewAdmission returns the admission to the target beside this node. arrive decides on a new ticket, usually
// Gate.WithArrival. sendProbe sends a probe; its error means that the target did not answer.
func NewAdmission(
	l *loop.Loop,
	c *clock.Clock,
	decide func(g Gate, now time.Time, req AdmissionRequest) (Gate, Decision),
	probeBudget func() float64,
	sendProbe func(ctx context.Context) (ProbeResult, error),
) *Admission {
	a := &Admission{
		loop: l, clock: c, decide: decide,
		gate:        NewGate(1),
		waiting:     map[uint64]chan Decision{},
		probe:       NewProbeState(c.Now()),
		startedAt:   c.Now(),
		probeBudget: probeBudget, sendProbe: sendProbe,
	}
	a.publish(c.Now())
	a.probeChecks = c.Subscribe(probeCheckInterval, func(time.Time) { a.checkProbe() })
	return a
}

// Load returns the current report of the gate.
func (a *Admission) Load() Load { return *a.load.Load() }

// ProbeShare returns the share of the target's time that probes took since the start.
func (a *Admission) ProbeShare() float64 {
	return float64(a.probeTime.Load()) / float64(max(a.clock.Now().Sub(a.startedAt), time.Second))
}

// Admit waits until the gate starts the ticket; the returned function must be called with the outcome.
func (a *Admission) Admit(ctx context.Context, req AdmissionRequest) (func(Outcome), error) {
	// The event must run to its end even if the caller leaves, because it may take a slot.
	detached := context.WithoutCancel(ctx)
	decided := make(chan Decision, 1)
	var d Decision
	err := a.loop.Call(detached, func(now time.Time) {
		a.lastID++
		req.ID = a.lastID
		a.gate, d = a.decide(a.gate, now, req)
		if d.Action == ActionWait {
			a.waiting[req.ID] = decided
		}
		a.deliver(now, nil)
	})
	if err != nil {
		return nil, answer.NewNotExecuted(answer.CodeBusy, fmt.Sprintf("admission failed: %v", err))
	}
	if d.Action == ActionWait {
		d = a.wait(ctx, req.ID, decided)
	}
	if d.Action == ActionRefuse {
		return nil, d.Refusal
	}
	return func(o Outcome) { a.finish(detached, req.ID, o) }, nil
}

// wait returns the verdict on a queued ticket; a caller that leaves gives up its place.
func (a *Admission) wait(ctx context.Context, id uint64, decided chan Decision) Decision {
	select {
	case d := <-decided:
		return d
	case <-ctx.Done():
	}
	_ = a.loop.Call(context.WithoutCancel(ctx), func(now time.Time) {
		if _, ok := a.waiting[id]; !ok {
			return
		}
		delete(a.waiting, id)
		var decisions []Decision
		a.gate, decisions = a.gate.WithCancel(now, id)
		a.deliver(now, decisions)
	})
	select {
	case d := <-decided:
		return d // the verdict came first; the attempt ends as cancelled
	default:
		return Decision{ID: id, Action: ActionRefuse, Refusal: answer.NewNotExecuted(answer.CodeLate, "the caller left the queue")}
	}
}

func (a *Admission) finish(ctx context.Context, id uint64, o Outcome) {
	_ = a.loop.Post(ctx, func(now time.Time) {
		if o.Kind == OutcomeSuccess {
			a.probe = a.probe.WithResponse(now)
		}
		var decisions []Decision
		a.gate, decisions = a.gate.WithDone(now, id, o)
		a.deliver(now, decisions)
	})
}

// SetLeaving marks the target as leaving, or not.
func (a *Admission) SetLeaving(ctx context.Context, leaving bool) error {
	return a.loop.Call(ctx, func(now time.Time) { a.SetLeavingOnLoop(now, leaving) })
}

// SetLeavingOnLoop is SetLeaving for the control goroutine.
func (a *Admission) SetLeavingOnLoop(now time.Time, leaving bool) {
	a.gate = a.gate.WithLeaving(leaving)
	a.deliver(now, nil)
}

// SetEvacuated marks the target's failure domain as taken out, or not; it runs on the control goroutine.
func (a *Admission) SetEvacuated(now time.Time, evacuated bool) {
	a.gate = a.gate.WithEvacuated(now, evacuated)
	a.deliver(now, nil)
}

// SetSlots sets how many requests at once the warm target has capacity for; it runs on the control goroutine.
func (a *Admission) SetSlots(now time.Time, slots int) {
	a.gate = a.gate.WithSlots(slots)
	a.deliver(now, nil)
}

// SetRegistration adopts what the platform states of the target; it runs on the control goroutine.
func (a *Admission) SetRegistration(now time.Time, r Registration) {
	a.gate = a.gate.WithRegistration(r)
	a.selfReporting.Store(a.gate.IsSelfReporting())
	a.deliver(now, nil)
}

// ApplyReport adopts what the target told of itself with a response.
func (a *Admission) ApplyReport(r answer.TargetReport) {
	if r.HasLoad {
		_ = a.loop.Post(context.Background(), func(now time.Time) {
			a.probe = a.probe.WithResponse(now)
			a.handleReport(now, r, false)
		})
	}
}

// handleReport adopts what the target told; waiting requests may start if it is fast again.
func (a *Admission) handleReport(now time.Time, r answer.TargetReport, probed bool) {
	var decisions []Decision
	a.gate = a.gate.WithReport(now, r, probed)
	a.gate, decisions = a.gate.WithTick(now)
	a.deliver(now, decisions)
}

// deliver hands out verdicts, publishes the report and sets the timer of the queue.
func (a *Admission) deliver(now time.Time, decisions []Decision) {
	for _, d := range decisions {
		if ch, ok := a.waiting[d.ID]; ok {
			delete(a.waiting, d.ID)
			ch <- d
		}
	}
	a.publish(now)
	a.probeForWaiters(now)
	due, ok := a.gate.NextTick(now)
	if a.gate.HasWaiters() && !a.probe.Pending(now) {
		due = earlierOf(due, a.probe.NextForWaiters())
	}
	if !ok || (!a.nextTick.IsZero() && !due.Before(a.nextTick)) {
		return
	}
	// An earlier timer that is already set may fire as well; a tick that is not due changes nothing.
	a.nextTick = laterOf(due, now)
	a.clock.AfterFunc(a.nextTick.Sub(now), func(time.Time) { _ = a.loop.Post(context.Background(), a.tick) })
}

func (a *Admission) tick(now time.Time) {
	a.nextTick = time.Time{}
	var decisions []Decision
	a.gate, decisions = a.gate.WithTick(now)
	a.deliver(now, decisions)
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
	if a.onChange != nil {
		a.onChange(now)
	}
}

// OnChange sets what is called on the control goroutine after each change of the report; it must be set before the first
// request.
func (a *Admission) OnChange(f func(now time.Time)) { a.onChange = f }

// Target returns the target beside this node and the report of the gate; it runs on the control goroutine.
func (a *Admission) Target() (string, Load) { return a.gate.state.Registration().Name, a.Load() }

// checkProbe considers a probe; it runs on the goroutine of its subscription.
func (a *Admission) checkProbe() {
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

// probeForWaiters sends a probe if requests wait for its answer, or for a target that may have become fast again; it runs on the
// control goroutine.
func (a *Admission) probeForWaiters(now time.Time) {
	if a.probe.Pending(now) || (!a.gate.NeedsReport(now) && (!a.gate.HasWaiters() || now.Before(a.probe.NextForWaiters()))) {
		return
	}
	a.probe = a.probe.WithProbe(now)
	a.waiterProbes.Go(a.runProbe)
}

// runProbe sends a probe and adopts its outcome.
func (a *Admission) runProbe() {
	ctx, cancel := context.WithTimeout(context.Background(), a.currentProbeTimeout())
	defer cancel()
	result, err := a.sendProbe(ctx)
	a.probeTime.Add(int64(result.Cost))
	// The loop closes after the probes, so that its error needs no handling.
	_ = a.loop.Call(context.Background(), func(now time.Time) {
		a.probe = a.probe.WithResult(result.Cost)
		if err != nil {
			a.gate = a.gate.WithUnreachable(now)
			a.deliver(now, nil)
			return
		}
		a.handleReport(now, result.Report, true)
	})
}

// probeDue runs on the control goroutine.
func (a *Admission) probeDue(now time.Time) bool {
	if a.gate.IsSelfReporting() {
		return ShouldProbeSelfReporting(now, a.probe, a.gate.state.coldUnknown)
	}
	return ShouldProbe(now, a.probe, a.probeBudget())
}

// currentProbeTimeout returns how long a probe may take.
func (a *Admission) currentProbeTimeout() time.Duration {
	if a.selfReporting.Load() {
		return reportTimeout
	}
	return probeTimeout
}

// Close ends the probes and waits for those that are running.
func (a *Admission) Close() {
	a.probeChecks.Close()
	a.waiterProbes.Close()
}
