package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/loop"
	"verbenapin.dev/node/target"
)

// deadlineGrace lets the gate's own answer to a passed deadline arrive, which says whether the request ran.
const deadlineGrace = 20 * time.Millisecond

// Selector chooses the target of an attempt; Board.Choose, or a baseline of the measuring program.
type Selector func(b Board, now time.Time, r *rand.Rand, candidates []Candidate, own string, out, tried []string) (Choice, bool)

// Self is what a node knows of its own place.
type Self struct {
	Name   string
	Domain string
}

// Dispatcher holds the board on the control goroutine and sends attempts to targets.
type Dispatcher struct {
	self       Self
	loop       *loop.Loop
	choose     Selector
	candidates func(service string) []Candidate
	out        func() []string
	local      func(target.Call) (target.Reply, error)
	remote     func(name string, call target.Call) (target.Reply, error)
	rand       *rand.Rand
	board      Board
	budgets    map[string]Budget
}

// NewDispatcher returns a dispatcher. local runs an attempt at this node's own target, remote at another node's.
func NewDispatcher(
	self Self,
	l *loop.Loop,
	r *rand.Rand,
	choose Selector,
	candidates func(service string) []Candidate,
	out func() []string,
	local func(target.Call) (target.Reply, error),
	remote func(name string, call target.Call) (target.Reply, error),
) *Dispatcher {
	return &Dispatcher{
		self: self, loop: l, rand: r, choose: choose, candidates: candidates, out: out,
		local: local, remote: remote, budgets: map[string]Budget{},
	}
}

// Try sends an attempt to a target of the service that is not in tried. It returns the target's name, empty if
// there was none to try; its error is an answer.Refusal.
func (d *Dispatcher) Try(call target.Call, service string, tried []string) (string, target.Reply, error) {
	choice, err := d.pick(call.Request.Context(), call.Route, service, tried)
	if err != nil {
		return "", target.Reply{}, err
	}
	begun := time.Now()
	reply, err := d.send(choice.Name, call)
	d.learn(call, choice.Name, reply, err, time.Since(begun))
	return choice.Name, reply, err
}

// pick chooses a target and counts the attempt as outstanding there.
func (d *Dispatcher) pick(ctx context.Context, route, service string, tried []string) (Choice, error) {
	candidates, out := d.candidates(service), d.out()
	var choice Choice
	found := false
	err := d.loop.Call(context.WithoutCancel(ctx), func(now time.Time) {
		choice, found = d.choose(d.board, now, d.rand, candidates, d.self.Domain, out, tried)
		if !found {
			return
		}
		for _, c := range candidates {
			if c.Name == choice.Name {
				d.board = d.board.WithSent(now, c)
			}
		}
		if len(tried) == 0 {
			d.budgets[route] = d.budget(now, route).WithCall(now)
		}
	})
	if err != nil {
		return Choice{}, answer.NotRun(answer.Busy, fmt.Sprintf("target selection failed: %v", err))
	}
	if !found {
		return Choice{}, noTarget(choice.Reason)
	}
	return choice, nil
}

func noTarget(reason Reason) answer.Refusal {
	switch reason {
	case Domain:
		return answer.NotRun(answer.Domain, "all targets are in failure domains that are taken out")
	case Leaving:
		return answer.NotRun(answer.Leaving, "all targets are leaving")
	default:
		return answer.NotRun(answer.Busy, "no target can be tried now").WithAfter(firstBackoff)
	}
}

// send runs the attempt under its deadline, which covers the time until the head of the response.
func (d *Dispatcher) send(name string, call target.Call) (target.Reply, error) {
	ctx, cancel := context.WithCancelCause(call.Request.Context())
	timer := time.AfterFunc(time.Until(call.Deadline)+deadlineGrace, func() { cancel(context.DeadlineExceeded) })
	call.Request = call.Request.WithContext(ctx)
	var reply target.Reply
	var err error
	if name == d.self.Name {
		reply, err = d.local(call)
	} else {
		reply, err = d.remote(name, call)
	}
	timer.Stop()
	if err != nil {
		cancel(nil)
		return reply, err
	}
	reply.Response.Body = &trackedBody{ReadCloser: reply.Response.Body, closed: func() {
		cancel(nil)
		d.done(name)
	}}
	return reply, nil
}

// learn updates the board with what an attempt showed.
func (d *Dispatcher) learn(call target.Call, name string, reply target.Reply, err error, took time.Duration) {
	gone := call.Request.Context().Err() != nil
	_ = d.loop.Post(context.Background(), func(now time.Time) {
		var refused answer.Refusal
		switch {
		case err == nil:
			d.board = d.board.WithAnswer(now, name, reply.Load, max(0, took-reply.Took))
			return
		case gone:
		case errors.As(err, &refused) && reply.Reported:
			d.board = d.board.WithRefusal(now, name, refused, reply.Load)
		default: // no answer, not even a late one, so the node may be paused or cut off
			d.board = d.board.WithLost(now, name)
		}
		d.board = d.board.WithDone(now, name)
	})
}

// done counts the attempt as no longer outstanding.
func (d *Dispatcher) done(name string) {
	_ = d.loop.Post(context.Background(), func(now time.Time) { d.board = d.board.WithDone(now, name) })
}

// Retry takes one paid retry of the route from its budget.
func (d *Dispatcher) Retry(route config.Route) bool {
	allowed := false
	err := d.loop.Call(context.Background(), func(now time.Time) {
		d.budgets[route.Name], allowed = d.budget(now, route.Name).WithShare(route.Retries).WithRetry(now)
	})
	return err == nil && allowed
}

func (d *Dispatcher) budget(now time.Time, route string) Budget {
	b, ok := d.budgets[route]
	if !ok {
		b = NewBudget(now, defaultRetries)
	}
	return b
}

// defaultRetries is the share of calls that may be repeated before the route's own setting was seen.
const defaultRetries = 0.1

// trackedBody calls closed once when the response is no longer used.
type trackedBody struct {
	io.ReadCloser
	once   sync.Once
	closed func()
}

// Close closes the body.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.closed)
	return err
}
