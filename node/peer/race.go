package peer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/target"
)

// SupersededError is the cause with which an attempt is cancelled when another one was answered first.
type SupersededError struct{}

func (SupersededError) Error() string { return "peer: another attempt was answered first" }

// leg is one attempt of a request, which may run beside another one.
type leg struct {
	name     string // of the target
	host     string // node beside the target
	call     target.Call
	attempt  Attempt
	measured bool // its latency counts for the route
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

// withCancel returns the leg with a context of its own, which ends with its response body.
func (l leg) withCancel() leg {
	l.ctx, l.cancel = context.WithCancelCause(l.call.Request.Context())
	return l
}

// lost tells whether the attempt was cancelled because another one was answered first.
func (l leg) lost() bool { return errors.Is(context.Cause(l.ctx), SupersededError{}) }

// result is the outcome of a leg.
type result struct {
	name  string
	reply target.Reply
	err   error
}

// race runs the first attempt, after the given time a second one beside it, and returns the first response; the other
// attempt is cancelled. If neither is answered, the failure that may have run is returned.
func (d *Dispatcher) race(first leg, route config.Route, after time.Duration, again func() *http.Request) ([]string, target.Reply, error) {
	defer d.running.Done()
	results, over := make(chan result), make(chan struct{})
	defer close(over)
	d.start(first, results, over)
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case r := <-results:
		return []string{r.name}, r.reply, r.err
	case <-timer.C:
	}
	choice, host, ok := d.pickHedge(route, first.name)
	if !ok {
		r := <-results
		return []string{r.name}, r.reply, r.err
	}
	call := first.call
	call.Request = again()
	second := leg{name: choice.Instance, host: host, call: call, attempt: Attempt{Number: first.attempt.Number + 1, Choice: choice, Hedge: true}}.withCancel()
	d.start(second, results, over)
	names := []string{first.name, choice.Instance}
	r := <-results
	if r.err != nil {
		r = worseResult(r, <-results)
	}
	if r.err != nil {
		return names, r.reply, r.err
	}
	if r.name == first.name {
		second.cancel(SupersededError{})
	} else {
		first.cancel(SupersededError{})
	}
	return names, r.reply, nil
}

// worseResult returns the response if there is one, else the failure that may have run.
func worseResult(a, b result) result {
	var refused answer.Refusal
	if b.err == nil || (errors.As(a.err, &refused) && refused.Execution == answer.NotExecuted) {
		return b
	}
	return a
}

// enter counts a race as running, or returns false after Close.
func (d *Dispatcher) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.running.Add(1)
	return true
}

// Close ends hedging and waits for attempts that were cancelled because another one was answered first.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.running.Wait()
}

// start runs an attempt on its own goroutine; a response that arrives when the race is over is closed.
func (d *Dispatcher) start(l leg, results chan<- result, over <-chan struct{}) {
	d.running.Go(func() {
		r := d.run(l)
		select {
		case results <- r:
		case <-over:
			if r.err == nil {
				_ = r.reply.Response.Body.Close()
			}
		}
	})
}

// pickHedge chooses the target of a second attempt if the budget allows one. A target at which it would wait gets none:
// it would delay the first attempts of other requests there.
func (d *Dispatcher) pickHedge(route config.Route, first string) (Choice, string, bool) {
	candidates, out := d.reachable(route), d.out()
	var choice Choice
	var host string
	found := false
	err := d.loop.Call(context.Background(), func(now time.Time) {
		choice, found = d.selected(now, candidates, out, []string{first})
		if found = found && choice.ExpectedWait == 0; !found {
			return
		}
		var h Hedge
		if h, found = d.hedge(now, route).WithHedge(now); !found {
			return
		}
		d.hedges[route.Name] = h
		host = d.sent(now, candidates, choice)
	})
	return choice, host, err == nil && found
}
