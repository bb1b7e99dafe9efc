package peer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/target"
)

// SupersededError is the cancellation cause of an attempt when another attempt of the request was answered first.
type SupersededError struct{}

func (SupersededError) Error() string { return "peer: another attempt was answered first" }

// activeAttempt is a running attempt of a request; a hedge may run concurrently.
type activeAttempt struct {
	name     string // of the target
	node     string // name of the node beside the target
	service  string // of the route; empty for a hedge
	call     target.Call
	info     Attempt
	measured bool // its latency is added to the route's histogram
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

// withCancel returns the attempt with its own context, which lasts until its response body is closed.
func (a activeAttempt) withCancel() activeAttempt {
	a.ctx, a.cancel = context.WithCancelCause(a.call.Request.Context())
	return a
}

// superseded reports whether the attempt was cancelled because another one was answered first.
func (a activeAttempt) superseded() bool { return errors.Is(context.Cause(a.ctx), SupersededError{}) }

// attemptResult is the outcome of an attempt.
type attemptResult struct {
	name  string
	reply target.Reply
	err   error
}

// failed reports whether a response of another attempt is preferred to the outcome.
func (r attemptResult) failed() bool {
	return r.err != nil || r.reply.Response.StatusCode >= http.StatusInternalServerError
}

// sendHedged runs the first attempt and, if it is not answered in time, a second one concurrently; if a gate refuses that as not run,
// another one may follow. It returns the names of the targets and the first response; the other attempt is cancelled. If both fail, it
// prefers the failure of an attempt that may have been executed.
func (d *Dispatcher) sendHedged(first activeAttempt, route config.Route, plan hedgePlan, newRequest func() *http.Request) ([]string, target.Reply, error) {
	defer d.running.Done()
	results, ended := make(chan attemptResult), make(chan struct{})
	defer close(ended)
	d.startAttempt(first, results, ended)
	timer := time.NewTimer(plan.delay)
	defer timer.Stop()
	names := []string{first.name}
	next := hedgeOffer{HedgeDecision: HedgeDecision{Reason: HedgeEarly}}
	for {
		var req *http.Request
		for !next.Send {
			select {
			case r := <-results:
				r.reply.Timings.Hedge = string(next.Reason)
				return names, r.reply, r.err
			case <-timer.C:
			}
			if req == nil {
				if req = newRequest(); req == nil { // the request has had all its attempts
					continue
				}
			}
			if next = d.prepareHedge(route, first, plan); !next.Send && next.After > 0 {
				timer.Reset(next.After)
			}
		}
		second := d.startHedge(first, plan, next, req, len(names), results, ended)
		sent := time.Now()
		names = append(names, second.name)
		r := <-results
		if plan.decides && r.name == second.name && r.refusedByGate() {
			d.refundHedge(route)
			plan.tried = append(slices.Clone(plan.tried), second.name)
			next = hedgeOffer{HedgeDecision: HedgeDecision{Reason: HedgeNone}}
			timer.Reset(0)
			continue
		}
		if r.failed() {
			r = decisiveResult(r, <-results)
		}
		r.reply.Timings.Hedge = HedgeLost
		if r.name == second.name && !r.failed() {
			r.reply.Timings.Hedge, r.reply.Timings.HedgeSaved = HedgeWon, max(0, next.Rest-time.Since(sent))
		}
		if r.err == nil && r.name == first.name {
			second.cancel(SupersededError{})
		} else if r.err == nil {
			first.cancel(SupersededError{})
		}
		return names, r.reply, r.err
	}
}

// startHedge runs a hedge after the given number of attempts of this call.
func (d *Dispatcher) startHedge(first activeAttempt, plan hedgePlan, offer hedgeOffer, req *http.Request, attempts int, results chan<- attemptResult, ended <-chan struct{}) activeAttempt {
	call := first.call
	call.Request, call.AnnouncedRate = req, offer.dest.announcedRate
	if plan.decides {
		call.MaxWait = 0 // one that waits is of no use
	}
	info := Attempt{Number: first.info.Number + attempts, Choice: offer.choice, Hedge: true}
	a := activeAttempt{name: offer.choice.Instance, node: offer.dest.node, call: call, info: info}.withCancel()
	d.startAttempt(a, results, ended)
	return a
}

// refusedByGate reports whether the gate refused the attempt, so that its target has not received it.
func (r attemptResult) refusedByGate() bool {
	var refused answer.Refusal
	return errors.As(r.err, &refused) && refused.Execution == answer.NotExecuted && !refused.ReachedTarget && r.reply.HasLoad
}

// decisiveResult returns the response if there is one, else the failure of an attempt that may have been executed. A response with an
// error of the target counts less than any other. The body of a response that is not returned is closed.
func decisiveResult(a, b attemptResult) attemptResult {
	var refused answer.Refusal
	kept, dropped := a, b
	switch {
	case !b.failed(), a.err != nil && b.err == nil, errors.As(a.err, &refused) && refused.Execution == answer.NotExecuted:
		kept, dropped = b, a
	}
	if dropped.err == nil {
		_ = dropped.reply.Response.Body.Close()
	}
	return kept
}

// registerHedged registers a hedged request as running, or returns false after Close.
func (d *Dispatcher) registerHedged() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.running.Add(1)
	return true
}

// Close stops hedging and waits for running hedged requests and their attempts.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.running.Wait()
}

// startAttempt runs an attempt on its own goroutine; a response that arrives after sendHedged has returned is closed.
func (d *Dispatcher) startAttempt(a activeAttempt, results chan<- attemptResult, ended <-chan struct{}) {
	d.running.Go(func() {
		r := d.runAttempt(a)
		select {
		case results <- r:
		case <-ended:
			if r.err == nil {
				_ = r.reply.Response.Body.Close()
			}
		}
	})
}
