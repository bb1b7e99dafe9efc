package target

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/loop"
)

// probeCheckInterval is the time between two checks of whether a probe is due.
const probeCheckInterval = 100 * time.Millisecond

// Admission keeps the gate on the control goroutine and lets traffic goroutines wait for its decisions.
type Admission struct {
	// OnAnnounce is called on the control goroutine when the target announces another rate or that it is leaving, or no longer does;
	// nil disables it. It must not change after the first request.
	OnAnnounce func(Announcement)
	// CallWait returns the expected wait of a call with the given rank at the best usable target of a service, or false if it is not
	// known. It is called on the control goroutine; nil means that no wait is known. It must not change after the first request.
	CallWait func(now time.Time, service string, p Priority) (time.Duration, bool)
	// OnCallsRefused is called on the control goroutine when the gate refuses a request for its calls; nil disables it. It must not
	// change after the first request.
	OnCallsRefused func(CallsRefusal)
	// Random returns a random number from 0 to 1. It is called on the control goroutine and must not change after the first request.
	Random func() float64

	loop          *loop.Loop
	clock         *clock.Clock
	decide        func(g Gate, now time.Time, req AdmissionRequest) (Gate, Decision)
	gate          Gate
	waiting       map[uint64]chan Decision
	lastID        uint64
	nextTick      time.Time // earliest timer that is set, zero if none is
	probe         ProbeState
	load          atomic.Pointer[Load]
	onChange      func(now time.Time) // called after each update of the load report, may be nil
	probeBudget   func() float64
	sendProbe     func(ctx context.Context) (ProbeResult, error)
	waiterProbes  loop.Group // probes sent because requests are waiting
	probeChecks   *clock.Subscription
	startedAt     time.Time
	probeTime     atomic.Int64 // target time that probes used, in nanoseconds
	selfReporting atomic.Bool  // copy of Gate.IsSelfReporting for other goroutines
}

// NewAdmission returns the admission control for the target beside this node. decide handles a new request, usually
// Gate.WithArrival; probeBudget returns the share of the target's time that probes may use. sendProbe sends a probe; an
// error means that the target did not answer.
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
		probeBudget: probeBudget, sendProbe: sendProbe, Random: rand.Float64,
	}
	a.publish(c.Now())
	a.probeChecks = c.Subscribe(probeCheckInterval, func(time.Time) { a.checkProbe() })
	return a
}

// Load returns the current load report.
func (a *Admission) Load() Load { return *a.load.Load() }

// ProbeShare returns the share of the target's time that probes have used since the start.
func (a *Admission) ProbeShare() float64 {
	return float64(a.probeTime.Load()) / float64(max(a.clock.Now().Sub(a.startedAt), time.Second))
}

// Admit waits until the gate starts the request; the returned function must be called with the outcome.
func (a *Admission) Admit(ctx context.Context, req AdmissionRequest) (func(Outcome), error) {
	// The arrival and the end of a request must be processed even if the caller gives up, because it may hold a slot.
	detached := context.WithoutCancel(ctx)
	decided := make(chan Decision, 1)
	var d Decision
	err := a.loop.Call(detached, func(now time.Time) {
		a.lastID++
		req.ID, req.CallsDraw = a.lastID, a.Random()
		a.lookUpWaits(now)
		a.gate, d = a.decide(a.gate, now, req)
		if a.OnCallsRefused != nil && d.Calls.Probability > 0 {
			a.OnCallsRefused(d.Calls)
		}
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

// wait returns the decision on a queued request; it cancels the request if ctx ends first.
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
		return d // decided before the cancellation; if started, the attempt ends as cancelled
	default:
		return Decision{ID: id, Action: ActionRefuse, Refusal: answer.NewNotExecuted(answer.CodeLate, "the caller gave up while the request was queued")}
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

// SetLeaving sets whether the target is leaving.
func (a *Admission) SetLeaving(ctx context.Context, leaving bool) error {
	return a.loop.Call(ctx, func(now time.Time) { a.SetLeavingOnLoop(now, leaving) })
}

// SetLeavingOnLoop is SetLeaving for callers on the control goroutine.
func (a *Admission) SetLeavingOnLoop(now time.Time, leaving bool) {
	a.gate = a.gate.WithLeaving(leaving)
	a.deliver(now, nil)
}

// SetListing applies what the list of targets says of the target; it runs on the control goroutine.
func (a *Admission) SetListing(now time.Time, l Listing) {
	a.gate = a.gate.WithListing(now, l)
	a.deliver(now, nil)
}

// SetEvacuated sets whether the target's failure domain is evacuated; it runs on the control goroutine.
func (a *Admission) SetEvacuated(now time.Time, evacuated bool) {
	a.gate = a.gate.WithEvacuated(now, evacuated)
	a.deliver(now, nil)
}

// SetFleet applies fleet-wide settings; it runs on the control goroutine.
func (a *Admission) SetFleet(now time.Time, f config.Fleet) {
	a.gate = a.gate.WithFleet(f)
	a.deliver(now, nil)
}

// RecordCall records that a run at the target calls a service with a rank of its own. It returns what the call takes over from the run,
// or false if the target has no such run at present.
func (a *Admission) RecordCall(ctx context.Context, runID, service string, own Priority) (Parent, bool) {
	var p Parent
	var ok bool
	err := a.loop.Call(context.WithoutCancel(ctx), func(time.Time) { a.gate, p, ok = a.gate.WithCall(runID, service, own) })
	return p, ok && err == nil
}

// lookUpWaits looks up the waits of the calls that the target's runs make if that is due; it runs on the control goroutine.
func (a *Admission) lookUpWaits(now time.Time) {
	if a.CallWait == nil || !a.gate.calls.NeedsWaits(now) {
		return
	}
	a.gate.calls = a.gate.calls.WithWaits(now, func(service string, p Priority) (time.Duration, bool) { return a.CallWait(now, service, p) })
}

// SetSlots sets how many concurrent requests the warm target has capacity for; it runs on the control goroutine.
func (a *Admission) SetSlots(now time.Time, slots int) {
	a.gate = a.gate.WithSlots(slots)
	a.deliver(now, nil)
}

// SetRegistration applies the platform's registration of the target; it runs on the control goroutine.
func (a *Admission) SetRegistration(now time.Time, r Registration) {
	a.gate = a.gate.WithRegistration(r)
	a.selfReporting.Store(a.gate.IsSelfReporting())
	a.deliver(now, nil)
}

// ApplyReport applies what the target reported with a response to a request.
func (a *Admission) ApplyReport(r answer.TargetReport) {
	_ = a.loop.Post(context.Background(), func(now time.Time) {
		if r.HasLoad {
			a.probe = a.probe.WithResponse(now)
		}
		a.handleReport(now, r, false)
	})
}

// handleReport applies a report of the target; waiting requests may start if it shows that the target is fast again.
func (a *Admission) handleReport(now time.Time, r answer.TargetReport, probed bool) {
	var decisions []Decision
	before := a.gate.Announced()
	a.gate = a.gate.WithReport(now, r, probed)
	if after := a.gate.Announced(); a.OnAnnounce != nil && (after.Rate() != before.Rate() || after.IsLeaving() != before.IsLeaving()) {
		a.OnAnnounce(after)
	}
	a.gate, decisions = a.gate.WithTick(now)
	a.deliver(now, decisions)
}

// deliver passes decisions to the waiting requests, publishes the load report, sends a probe if waiting requests need one
// and schedules the next tick.
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
	// A later timer that is already set still fires, and tick ignores it.
	at := laterOf(due, now)
	a.nextTick = at
	a.clock.AfterFunc(at.Sub(now), func(time.Time) {
		_ = a.loop.Post(context.Background(), func(now time.Time) { a.tick(now, at) })
	})
}

// tick handles the timer that was set for the given time. If an earlier one was set since, that one has set the next; were each to set
// another, their number would grow for as long as requests wait.
func (a *Admission) tick(now, at time.Time) {
	if !a.nextTick.Equal(at) {
		return
	}
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
	a.lookUpWaits(now)
	load := a.gate.Load(now)
	a.load.Store(&load)
	if a.onChange != nil {
		a.onChange(now)
	}
}

// OnChange sets the callback that runs on the control goroutine after each update of the load report; it must be set
// before the first request.
func (a *Admission) OnChange(f func(now time.Time)) { a.onChange = f }

// Target returns the name of the target beside this node and its load report; it runs on the control goroutine.
func (a *Admission) Target() (string, Load) { return a.gate.state.Registration().Name, a.Load() }

// RetriedShare returns the share of the recent runs at the target that were retries; it must be called on the control goroutine.
func (a *Admission) RetriedShare() float64 { return a.gate.RetriedShare() }

// checkProbe sends a probe if one is due; it runs on the goroutine of the clock subscription.
func (a *Admission) checkProbe() {
	due, doubts := false, 0
	err := a.loop.Call(context.Background(), func(now time.Time) {
		if due = a.probeDue(now); due {
			a.probe, doubts = a.probe.WithProbe(now), a.gate.state.Doubts()
		}
	})
	if err == nil && due {
		a.runProbe(doubts)
	}
}

// probeForWaiters sends a probe if requests wait for a fresh report or for the target to become fast again; it runs on
// the control goroutine.
func (a *Admission) probeForWaiters(now time.Time) {
	if a.probe.Pending(now) || (!a.gate.NeedsReport(now) && (!a.gate.HasWaiters() || now.Before(a.probe.NextForWaiters()))) {
		return
	}
	a.probe = a.probe.WithProbe(now)
	doubts := a.gate.state.Doubts()
	a.waiterProbes.Go(func() { a.runProbe(doubts) })
}

// runProbe sends a probe and applies its result. The target may have restarted since it was sent, which the present number of doubts
// shows; the response then does not say whether the target is cold.
func (a *Admission) runProbe(doubts int) {
	ctx, cancel := context.WithTimeout(context.Background(), a.currentProbeTimeout())
	defer cancel()
	result, err := a.sendProbe(ctx)
	a.probeTime.Add(int64(result.Cost))
	// The error needs no handling: the loop closes after the probes have ended.
	_ = a.loop.Call(context.Background(), func(now time.Time) {
		a.probe = a.probe.WithResult(result.Cost)
		switch {
		case err == nil:
			if result.TellsHealth {
				a.gate = a.gate.WithHealth(now, result.Healthy)
			}
			a.handleReport(now, result.Report, result.TellsCold && doubts == a.gate.state.Doubts())
			return
		case !errors.As(err, &MismatchError{}):
			a.gate = a.gate.WithUnreachable(now)
		}
		a.deliver(now, nil)
	})
}

// probeDue reports whether a probe is due; it runs on the control goroutine.
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

// Close stops sending probes and waits for those that are running.
func (a *Admission) Close() {
	a.probeChecks.Close()
	a.waiterProbes.Close()
}
