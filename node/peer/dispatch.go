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
	// bulkRemotePenalty is added to the cost of targets of other failure domains on bulk routes.
	bulkRemotePenalty = 300 * time.Millisecond
	// maxReroutes bounds how many targets may reroute a request because another one may start it sooner.
	maxReroutes = 2
	// rerouteSlack is how much longer than expected a request may wait at a target before it is rerouted. Rerouting costs a
	// round trip, and the wait at the other target may also be longer than expected.
	rerouteSlack = 20 * time.Millisecond
)

// deadlineGrace is how long after its deadline an attempt is cancelled, so that the gate's own refusal arrives first, which
// states whether the request was executed.
const deadlineGrace = 20 * time.Millisecond

// bodySampling is the interval in which the body of a response from another node must make progress after the deadline. A throttled
// link serves one chunk of each large response in turn, so that each of sixty gets one within it at 10 Mbit/s.
const bodySampling = time.Second

// Selector chooses the target of an attempt: TargetTable.Choose, or a baseline of the measuring program.
type Selector func(t TargetTable, now time.Time, r *rand.Rand, candidates []Candidate, ownDomain string, evacuated, tried []string) (Choice, bool)

// Self is the name and the failure domain of this node.
type Self struct {
	Name   string
	Domain string
}

// Attempt describes an attempt for OnAttempt.
type Attempt struct {
	Number int // from 1
	Choice Choice
	Hedge  bool // runs concurrently with the one before it
}

// Dispatcher keeps the target table on the control goroutine and sends attempts to targets.
type Dispatcher struct {
	// OnAttempt is called before each attempt with its context, route and headers, which it may extend; the returned
	// function is called with the outcome, a SupersededError for an attempt whose request was answered by another one first.
	// Nil disables it.
	OnAttempt func(ctx context.Context, route string, h http.Header, a Attempt) (context.Context, func(target.Reply, error))

	// Report returns what a target reports about itself in a response; it must not change after the first request.
	Report func(h http.Header) answer.TargetReport
	// AllowReroute sets MaxWait of attempts, beyond which the gate refuses a request so that it goes to another target; it must
	// not change after the first request.
	AllowReroute bool
	// RetryAllowance returns this node's allowance for retries of a service, where the fleet as a whole has a limit; nil gives
	// each route its own budget. It must not change after the first request.
	RetryAllowance func() RetryAllowance
	// RetriedShare returns the share of the runs at the node's own target that were retries; the calls that this target makes count
	// as retries in the same proportion. It is called on the control goroutine; nil means none.
	RetriedShare func() float64

	self       Self
	loop       *loop.Loop
	choose     Selector
	candidates func(service string) []Candidate
	evacuated  func() []string
	sendLocal  func(target.Call) (target.Reply, error)
	sendRemote func(name string, call target.Call) (target.Reply, error)
	rand       *rand.Rand
	table      TargetTable
	budgets    map[string]Budget
	hedges     map[string]Hedge
	splits     map[string]Split
	mu         sync.Mutex
	closed     bool           // guarded by mu
	running    sync.WaitGroup // hedged requests and their attempts
}

// NewDispatcher returns a dispatcher. candidates returns the targets of a service, evacuated the evacuated failure domains;
// sendLocal runs an attempt at this node's own target, sendRemote at the target of another node.
func NewDispatcher(
	self Self,
	l *loop.Loop,
	r *rand.Rand,
	choose Selector,
	candidates func(service string) []Candidate,
	evacuated func() []string,
	sendLocal func(target.Call) (target.Reply, error),
	sendRemote func(name string, call target.Call) (target.Reply, error),
) *Dispatcher {
	return &Dispatcher{
		self: self, loop: l, rand: r, choose: choose, candidates: candidates, evacuated: evacuated,
		Report:    func(http.Header) answer.TargetReport { return answer.TargetReport{} },
		sendLocal: sendLocal, sendRemote: sendRemote, budgets: map[string]Budget{}, hedges: map[string]Hedge{}, splits: map[string]Split{},
	}
}

// Send sends an attempt to a target of the route's service that is not in tried, and possibly a hedge to another
// target if the first one is slow. newRequest returns the request of the hedge; nil forbids hedging. Send returns the names
// of the targets, none if there was none to choose; its error is an answer.Refusal.
func (d *Dispatcher) Send(call target.Call, route config.Route, tried []string, newRequest func() *http.Request) ([]string, target.Reply, error) {
	arrived := time.Now()
	choice, dest, hedgeDelay, err := d.prepareAttempt(call, route, tried)
	timings := target.Timings{Reason: string(choice.Reason), ExpectedWait: choice.ExpectedWait, ChoiceTime: time.Since(arrived)}
	if err != nil {
		return nil, target.Reply{Timings: timings}, err
	}
	attempt := Attempt{Number: len(tried) + 1, Choice: choice}
	// The first maxReroutes targets refuse the request if the wait is longer than their load suggested. The expected wait at a
	// target of unknown state is a guess, so it must start the request at once.
	call.MaxWait = -1
	switch {
	case !d.AllowReroute || choice.NoAlternative || len(tried) >= maxReroutes:
	case choice.Reason == ReasonExplore:
		call.MaxWait = 0
	default:
		call.MaxWait = choice.ExpectedWait + rerouteSlack
	}
	call.AnnouncedRate = dest.announcedRate
	first := activeAttempt{name: choice.Instance, node: dest.node, call: call, info: attempt, measured: route.HedgeRatio > 0 && len(tried) == 0}
	var names []string
	var reply target.Reply
	if newRequest == nil || hedgeDelay == 0 || !d.registerHedged() {
		r := d.runAttempt(first.withCancel())
		names, reply, err = []string{choice.Instance}, r.reply, r.err
	} else {
		names, reply, err = d.sendHedged(first.withCancel(), route, hedgeDelay, newRequest)
	}
	reply.Timings.Reason, reply.Timings.ExpectedWait, reply.Timings.ChoiceTime = timings.Reason, timings.ExpectedWait, timings.ChoiceTime
	return names, reply, err
}

// destination is the node beside a chosen target, with the rate that the target has announced to this node recently, zero for none.
type destination struct {
	node          string
	announcedRate float64
}

// prepareAttempt chooses a target and counts the attempt as outstanding there. It also returns the time after which to send a hedge,
// zero for none.
func (d *Dispatcher) prepareAttempt(call target.Call, route config.Route, tried []string) (Choice, destination, time.Duration, error) {
	candidates, evacuated := d.candidatesFor(route), d.evacuated()
	var choice Choice
	var dest destination
	var hedgeDelay time.Duration
	found := false
	err := d.loop.Call(context.WithoutCancel(call.Request.Context()), func(now time.Time) {
		choice, found = d.selectTarget(now, candidates, evacuated, tried)
		if !found {
			return
		}
		dest = d.recordSent(now, candidates, choice)
		if len(tried) > 0 {
			return
		}
		retried := 0.0
		if call.Nested() && d.RetriedShare != nil {
			retried = d.RetriedShare()
		}
		d.budgets[d.budgetKey(route)] = d.budget(now, route).WithCall(now, retried)
		if route.HedgeRatio > 0 {
			h := d.hedge(now, route).WithCall(now)
			d.hedges[route.Name] = h
			hedgeDelay, _ = h.Delay()
		}
	})
	if err != nil {
		return Choice{}, destination{}, 0, answer.NewNotExecuted(answer.CodeBusy, fmt.Sprintf("target selection failed: %v", err))
	}
	if !found {
		return Choice{}, destination{}, 0, noTargetRefusal(choice.Reason)
	}
	return choice, dest, hedgeDelay, nil
}

// selectTarget returns the target of an attempt; it runs on the control goroutine.
func (d *Dispatcher) selectTarget(now time.Time, candidates []Candidate, evacuated, tried []string) (Choice, bool) {
	subset := d.table.Subset(now, candidates, d.self, evacuated, tried)
	return d.choose(d.table, now, d.rand, subset, d.self.Domain, evacuated, tried)
}

// candidatesFor returns the candidates for a route. Traffic of large responses between failure domains is charged, so on bulk
// routes a target of another domain is chosen only if it is faster by bulkRemotePenalty.
func (d *Dispatcher) candidatesFor(route config.Route) []Candidate {
	candidates := d.candidates(route.Service)
	if !route.Bulk {
		return candidates
	}
	candidates = slices.Clone(candidates)
	for i := range candidates {
		if candidates[i].Domain != d.self.Domain {
			candidates[i].Penalty = bulkRemotePenalty
		}
	}
	return candidates
}

// ApplyLoadReport updates the target table with a load report; it must be called on the control goroutine.
func (d *Dispatcher) ApplyLoadReport(now time.Time, r LoadReport) {
	d.table = d.table.WithLoadReport(now, r)
}

// DropUnlisted drops the state of targets that are no longer listed: each start of a target may have another name, so that the table
// would grow with each release. It must be called on the control goroutine.
func (d *Dispatcher) DropUnlisted(listed func(name string) bool) {
	d.table = d.table.WithListed(listed)
}

// recordSent counts an attempt as outstanding and returns its destination; it runs on the control goroutine.
func (d *Dispatcher) recordSent(now time.Time, candidates []Candidate, choice Choice) destination {
	node := choice.Instance
	for _, c := range candidates {
		if c.Name == choice.Instance {
			d.table, node = d.table.WithSent(now, c), c.NodeName()
		}
	}
	return destination{node: node, announcedRate: d.table.AnnouncedRate(now, choice.Instance)}
}

func noTargetRefusal(reason Reason) answer.Refusal {
	switch reason {
	case ReasonDomain:
		return answer.NewNotExecuted(answer.CodeDomain, "all targets are in failure domains that are taken out")
	case ReasonLeaving:
		return answer.NewNotExecuted(answer.CodeLeaving, "all targets are leaving")
	case ReasonEmpty:
		return answer.NewNotExecuted(answer.CodeBusy, "the service has no listed targets").WithRetryAfter(minBackoff)
	case ReasonTried:
		return answer.NewNotExecuted(answer.CodeBusy, "all targets were tried").WithRetryAfter(minBackoff)
	default:
		return answer.NewNotExecuted(answer.CodeBusy, "all targets are lost, busy, or answering a first request that shows their load").WithRetryAfter(minBackoff)
	}
}

// runAttempt sends an attempt and updates the target table with its outcome.
func (d *Dispatcher) runAttempt(a activeAttempt) attemptResult {
	onDone := func(target.Reply, error) {}
	if d.OnAttempt != nil {
		a.ctx, onDone = d.OnAttempt(a.ctx, a.call.Route, a.call.Request.Header, a.info)
	}
	started := time.Now()
	reply, err := d.sendAttempt(a)
	took := time.Since(started)
	if a.node == d.self.Name {
		reply.NodeTime = took // the node's own target is reached without a network trip
	} else {
		reply.Timings.HopTime = took
	}
	reply.Timings.TargetName = a.name
	d.recordOutcome(a, reply, err, took)
	if err != nil && a.superseded() {
		onDone(reply, SupersededError{})
	} else {
		onDone(reply, err)
	}
	return attemptResult{name: a.name, reply: reply, err: err}
}

// sendAttempt sends the attempt to its target under its deadline, which covers the time until the response headers. After it, the body
// must make progress: the gate sees to that at its target, and this node at a connection to another node.
func (d *Dispatcher) sendAttempt(a activeAttempt) (target.Reply, error) {
	timer := time.AfterFunc(time.Until(a.call.Deadline)+deadlineGrace, func() { a.cancel(context.DeadlineExceeded) })
	call := a.call
	call.Request, call.TargetName = call.Request.WithContext(a.ctx), a.name
	var reply target.Reply
	var err error
	if a.node == d.self.Name {
		reply, err = d.sendLocal(call)
	} else {
		reply, err = d.sendRemote(a.node, call)
	}
	timer.Stop()
	if err != nil {
		a.cancel(nil)
		return reply, err
	}
	if a.node != d.self.Name {
		reply.Response.Body = target.MonitorBody(reply.Response.Body, a.call.Deadline.Add(deadlineGrace), bodySampling, a.cancel)
	}
	reply.Response.Body = &trackedBody{ReadCloser: reply.Response.Body, onClose: func() {
		a.cancel(nil)
		d.recordDone(a.name)
	}}
	return reply, nil
}

// recordOutcome updates the target table and the latency histogram of the route with the outcome of an attempt.
func (d *Dispatcher) recordOutcome(a activeAttempt, reply target.Reply, err error, took time.Duration) {
	superseded := a.superseded()
	var report answer.TargetReport
	if err == nil {
		report = d.Report(reply.Response.Header) // read here, since the header may change once the response is relayed
	}
	cancelled := superseded || a.call.Request.Context().Err() != nil
	_ = d.loop.Post(context.Background(), func(now time.Time) {
		// The time until a superseded attempt was cancelled is a lower bound of its latency; without it the p95 would fall.
		if h, ok := d.hedges[a.call.Route]; ok && a.measured && (err == nil || superseded) {
			d.hedges[a.call.Route] = h.WithLatency(took)
		}
		var refused answer.Refusal
		var noRoom NoRoomError
		switch {
		case err == nil:
			d.table = d.table.WithResponse(now, a.name, reply.Load, max(0, took-reply.NodeTime)).WithAnnouncement(now, a.name, report)
			return
		case cancelled, errors.As(err, &noRoom):
		case errors.As(err, &refused) && reply.HasLoad:
			d.table = d.table.WithRefusal(now, a.name, refused, reply.Load)
		default: // no answer, not even a refusal after the deadline, so the node may be paused or unreachable
			d.table = d.table.WithLost(now, a.name)
		}
		d.table = d.table.WithDone(now, a.name)
	})
}

// recordDone counts the attempt as no longer outstanding.
func (d *Dispatcher) recordDone(name string) {
	_ = d.loop.Post(context.Background(), func(now time.Time) { d.table = d.table.WithDone(now, name) })
}

// SelectService returns the route with the service of the next request, if the route splits its requests among several.
func (d *Dispatcher) SelectService(route config.Route) config.Route {
	if len(route.Split) == 0 {
		return route
	}
	service := route.Split[0].Service
	// Call fails only if the loop is closed, and then Send fails too, so its error needs no handling here.
	_ = d.loop.Call(context.Background(), func(time.Time) {
		s, ok := d.splits[route.Name]
		if !ok || !s.Matches(route.Split) {
			s = NewSplit(route.Split, d.rand.Int())
		}
		d.splits[route.Name], service = s.WithNext()
	})
	return route.WithService(service)
}

// AllowRetry takes a retry of the route from its budget and returns whether there was one left.
func (d *Dispatcher) AllowRetry(route config.Route) bool {
	allowed := false
	err := d.loop.Call(context.Background(), func(now time.Time) {
		d.budgets[d.budgetKey(route)], allowed = d.budget(now, route).WithRatio(route.RetryRatio).WithRetry(now)
	})
	return err == nil && allowed
}

// budgetKey returns the key of the retry budget of a route: the service where the fleet has a limit, else the route.
func (d *Dispatcher) budgetKey(route config.Route) string {
	if d.RetryAllowance != nil {
		return route.Service
	}
	return route.Name
}

func (d *Dispatcher) budget(now time.Time, route config.Route) Budget {
	b, ok := d.budgets[d.budgetKey(route)]
	if !ok {
		b = NewBudget(now, defaultRetryRatio)
	}
	if d.RetryAllowance != nil {
		b = b.WithRatio(route.RetryRatio).WithAllowance(d.RetryAllowance())
	}
	return b
}

func (d *Dispatcher) hedge(now time.Time, route config.Route) Hedge {
	h, ok := d.hedges[route.Name]
	if !ok {
		h = NewHedge(now, route.HedgeRatio)
	}
	return h.WithRatio(route.HedgeRatio)
}

// defaultRetryRatio is the ratio of calls that may be retried until the route's own setting was applied.
const defaultRetryRatio = 0.1

// trackedBody calls onClose once when the response is no longer used.
type trackedBody struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close closes the body.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}
