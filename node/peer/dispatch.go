package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/loop"
	"verbenapin.dev/node/target"
)

const (
	// bulkFar is the time by which a target of another failure domain must be better for a large response.
	bulkFar = 300 * time.Millisecond
	// maxMoves bounds the targets that may send a request on because another one may start it sooner.
	maxMoves = 2
	// moveSlack is how much longer than expected a request waits at a target before it goes on to another one, which takes
	// a trip and has surprises of its own.
	moveSlack = 20 * time.Millisecond
)

// deadlineGrace lets the gate's own answer to a passed deadline arrive, which says whether the request ran.
const deadlineGrace = 20 * time.Millisecond

// Selector chooses the target of an attempt; Board.Choose, or a baseline of the measuring program.
type Selector func(b TargetTable, now time.Time, r *rand.Rand, candidates []Candidate, own string, out, tried []string) (Choice, bool)

// Self is what a node knows of its own place.
type Self struct {
	Name   string
	Domain string
}

// Attempt is one attempt as operators see it.
type Attempt struct {
	Number int // from 1
	Choice Choice
	Hedge  bool // runs beside the one before it
}

// Dispatcher holds the board on the control goroutine and sends attempts to targets.
type Dispatcher struct {
	// Observe is called before each attempt with its context, route and headers, which it may extend; the returned
	// function is called with the outcome, a SupersededError for an attempt that lost a race. Nil observes nothing.
	Observe func(ctx context.Context, route string, h http.Header, a Attempt) (context.Context, func(target.Reply, error))

	// AllowReroute lets targets that can't start a request at once send it on; it must not change after the first request.
	AllowReroute bool
	// RetryAllowance bounds the repeats of a service, of which all nodes together may send a number; nil leaves the routes to
	// their own budgets. It must not change after the first request.
	RetryAllowance func() RetryAllowance

	self       Self
	loop       *loop.Loop
	choose     Selector
	candidates func(service string) []Candidate
	out        func() []string
	local      func(target.Call) (target.Reply, error)
	remote     func(name string, call target.Call) (target.Reply, error)
	rand       *rand.Rand
	table      TargetTable
	budgets    map[string]Budget
	hedges     map[string]Hedge
	splits     map[string]Split
	mu         sync.Mutex
	closed     bool           // guarded by mu
	running    sync.WaitGroup // races and their attempts
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
		local: local, remote: remote, budgets: map[string]Budget{}, hedges: map[string]Hedge{}, splits: map[string]Split{},
	}
}

// Send sends an attempt to a target of the route's service that is not in tried, and possibly a second one to another
// target while the first one takes long. again returns the request for the second one; nil forbids it. It returns the
// names of the targets, none if there was none to try; its error is an answer.Refusal.
func (d *Dispatcher) Send(call target.Call, route config.Route, tried []string, again func() *http.Request) ([]string, target.Reply, error) {
	arrived := time.Now()
	choice, host, after, err := d.pick(call.Request.Context(), route, tried)
	stages := target.Timings{Reason: string(choice.Reason), ExpectedWait: choice.ExpectedWait, ChoiceTime: time.Since(arrived)}
	if err != nil {
		return nil, target.Reply{Stages: stages}, err
	}
	attempt := Attempt{Number: len(tried) + 1, Choice: choice}
	// The first targets are left if the wait there is longer than the reports said; nobody knows that of unknown targets.
	call.MaxWait = -1
	switch {
	case !d.AllowReroute || choice.Last || len(tried) >= maxMoves:
	case choice.Reason == ReasonExplore:
		call.MaxWait = 0
	default:
		call.MaxWait = choice.ExpectedWait + moveSlack
	}
	first := leg{name: choice.Instance, host: host, call: call, attempt: attempt, measured: route.HedgeRatio > 0 && len(tried) == 0}
	var names []string
	var reply target.Reply
	if again == nil || after == 0 || !d.enter() {
		r := d.run(first.withCancel())
		names, reply, err = []string{choice.Instance}, r.reply, r.err
	} else {
		names, reply, err = d.race(first.withCancel(), route, after, again)
	}
	reply.Stages.Reason, reply.Stages.ExpectedWait, reply.Stages.ChoiceTime = stages.Reason, stages.ExpectedWait, stages.ChoiceTime
	return names, reply, err
}

// pick chooses a target and counts the attempt as outstanding there. It also returns the target's node and the time after which to send a
// second attempt, zero for none.
func (d *Dispatcher) pick(ctx context.Context, route config.Route, tried []string) (Choice, string, time.Duration, error) {
	candidates, out := d.reachable(route), d.out()
	var choice Choice
	var host string
	var after time.Duration
	found := false
	err := d.loop.Call(context.WithoutCancel(ctx), func(now time.Time) {
		choice, found = d.selected(now, candidates, out, tried)
		if !found {
			return
		}
		host = d.sent(now, candidates, choice)
		if len(tried) > 0 {
			return
		}
		d.budgets[d.payer(route)] = d.budget(now, route).WithCall(now)
		if route.HedgeRatio > 0 {
			h := d.hedge(now, route).WithCall(now)
			d.hedges[route.Name] = h
			after, _ = h.After()
		}
	})
	if err != nil {
		return Choice{}, "", 0, answer.NewNotExecuted(answer.CodeBusy, fmt.Sprintf("target selection failed: %v", err))
	}
	if !found {
		return Choice{}, "", 0, noTarget(choice.Reason)
	}
	return choice, host, after, nil
}

// selected returns the target of an attempt; it runs on the control goroutine.
func (d *Dispatcher) selected(now time.Time, candidates []Candidate, out, tried []string) (Choice, bool) {
	subset := d.table.Subset(now, candidates, d.self, out, tried)
	return d.choose(d.table, now, d.rand, subset, d.self.Domain, out, tried)
}

// reachable returns the candidates for a route. The bytes of large responses are charged where they cross the border of a
// failure domain, so that targets of other domains get such requests only when those of the own one are far behind.
func (d *Dispatcher) reachable(route config.Route) []Candidate {
	candidates := d.candidates(route.Service)
	if !route.Bulk {
		return candidates
	}
	candidates = slices.Clone(candidates)
	for i := range candidates {
		if candidates[i].Domain != d.self.Domain {
			candidates[i].Penalty = bulkFar
		}
	}
	return candidates
}

// ApplyLoadReport adopts the report of a gate that came without a request; it runs on the control goroutine.
func (d *Dispatcher) ApplyLoadReport(now time.Time, n LoadReport) {
	d.table = d.table.WithNotice(now, n)
}

// sent counts an attempt as outstanding and returns the target's node; it runs on the control goroutine.
func (d *Dispatcher) sent(now time.Time, candidates []Candidate, choice Choice) string {
	host := choice.Instance
	for _, c := range candidates {
		if c.Name == choice.Instance {
			d.table, host = d.table.WithSent(now, c), c.NodeName()
		}
	}
	return host
}

func noTarget(reason Reason) answer.Refusal {
	switch reason {
	case ReasonDomain:
		return answer.NewNotExecuted(answer.CodeDomain, "all targets are in failure domains that are taken out")
	case ReasonLeaving:
		return answer.NewNotExecuted(answer.CodeLeaving, "all targets are leaving")
	case ReasonEmpty:
		return answer.NewNotExecuted(answer.CodeBusy, "the service has no listed targets").WithRetryAfter(firstBackoff)
	case ReasonTried:
		return answer.NewNotExecuted(answer.CodeBusy, "all targets were tried").WithRetryAfter(firstBackoff)
	default:
		return answer.NewNotExecuted(answer.CodeBusy, "all targets are lost, busy, or answering a first request that shows their load").WithRetryAfter(firstBackoff)
	}
}

// run sends an attempt and updates the board with its outcome.
func (d *Dispatcher) run(l leg) result {
	ended := func(target.Reply, error) {}
	if d.Observe != nil {
		l.ctx, ended = d.Observe(l.ctx, l.call.Route, l.call.Request.Header, l.attempt)
	}
	begun := time.Now()
	reply, err := d.send(l)
	took := time.Since(begun)
	if l.host == d.self.Name {
		reply.NodeTime = took // the node's own target is reached without a network trip
	} else {
		reply.Stages.HopTime = took
	}
	reply.Stages.TargetName = l.name
	d.learn(l, reply, err, took)
	if err != nil && l.lost() {
		ended(reply, SupersededError{})
	} else {
		ended(reply, err)
	}
	return result{name: l.name, reply: reply, err: err}
}

// send runs the attempt under its deadline, which covers the time until the head of the response.
func (d *Dispatcher) send(l leg) (target.Reply, error) {
	timer := time.AfterFunc(time.Until(l.call.Deadline)+deadlineGrace, func() { l.cancel(context.DeadlineExceeded) })
	call := l.call
	call.Request, call.Target = call.Request.WithContext(l.ctx), l.name
	var reply target.Reply
	var err error
	if l.host == d.self.Name {
		reply, err = d.local(call)
	} else {
		reply, err = d.remote(l.host, call)
	}
	timer.Stop()
	if err != nil {
		l.cancel(nil)
		return reply, err
	}
	reply.Response.Body = &trackedBody{ReadCloser: reply.Response.Body, closed: func() {
		l.cancel(nil)
		d.done(l.name)
	}}
	return reply, nil
}

// learn updates the board, and the latency of the route, with what an attempt showed.
func (d *Dispatcher) learn(l leg, reply target.Reply, err error, took time.Duration) {
	lost := l.lost()
	gone := lost || l.call.Request.Context().Err() != nil
	_ = d.loop.Post(context.Background(), func(now time.Time) {
		// The time until a loser was cancelled is a lower bound of its latency; without it the p95 would fall.
		if h, ok := d.hedges[l.call.Route]; ok && l.measured && (err == nil || lost) {
			d.hedges[l.call.Route] = h.WithAnswer(took)
		}
		var refused answer.Refusal
		switch {
		case err == nil:
			d.table = d.table.WithAnswer(now, l.name, reply.Load, max(0, took-reply.NodeTime))
			return
		case gone:
		case errors.As(err, &refused) && reply.HasLoad:
			d.table = d.table.WithRefusal(now, l.name, refused, reply.Load)
		default: // no answer, not even a late one, so the node may be paused or cut off
			d.table = d.table.WithLost(now, l.name)
		}
		d.table = d.table.WithDone(now, l.name)
	})
}

// done counts the attempt as no longer outstanding.
func (d *Dispatcher) done(name string) {
	_ = d.loop.Post(context.Background(), func(now time.Time) { d.table = d.table.WithDone(now, name) })
}

// SelectService returns the route with one service for a new request, if the route has several.
func (d *Dispatcher) SelectService(route config.Route) config.Route {
	if len(route.Split) == 0 {
		return route
	}
	service := route.Split[0].Service
	// A loop that is closed runs no attempt either, so its error needs no handling here.
	_ = d.loop.Call(context.Background(), func(time.Time) {
		s, ok := d.splits[route.Name]
		if !ok || !s.Divides(route.Split) {
			s = NewSplit(route.Split, d.rand.Int())
		}
		d.splits[route.Name], service = s.WithNext()
	})
	return route.WithService(service)
}

// AllowRetry takes one paid retry of the route from its budget.
func (d *Dispatcher) AllowRetry(route config.Route) bool {
	allowed := false
	err := d.loop.Call(context.Background(), func(now time.Time) {
		d.budgets[d.payer(route)], allowed = d.budget(now, route).WithShare(route.RetryRatio).WithRetry(now)
	})
	return err == nil && allowed
}

// payer returns whose budget pays for a repeat of the route: the service's where the fleet has a bound.
func (d *Dispatcher) payer(route config.Route) string {
	if d.RetryAllowance != nil {
		return route.Service
	}
	return route.Name
}

func (d *Dispatcher) budget(now time.Time, route config.Route) Budget {
	b, ok := d.budgets[d.payer(route)]
	if !ok {
		b = NewBudget(now, defaultRetries)
	}
	if d.RetryAllowance != nil {
		b = b.WithShare(route.RetryRatio).WithAllowance(d.RetryAllowance())
	}
	return b
}

func (d *Dispatcher) hedge(now time.Time, route config.Route) Hedge {
	h, ok := d.hedges[route.Name]
	if !ok {
		h = NewHedge(now, route.HedgeRatio)
	}
	return h.WithShare(route.HedgeRatio)
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
