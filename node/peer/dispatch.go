package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
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
	// HedgeLimit returns the part of a service's requests that may be hedges, where load reports decide on hedges; zero leaves it to each
	// route's own delay and ratio. It is called on the control goroutine and must not change after the first request.
	HedgeLimit func() float64

	// RefuseEarly reports whether requests are refused without an attempt where load reports show that no target would accept them; nil
	// means no. OnEarlyRefusal is called for each of them, further if a gate has refused the request before; nil disables it. Neither
	// may change after the first request.
	RefuseEarly    func() bool
	OnEarlyRefusal func(route string, further bool)

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
	extras     map[string]Budget // for hedges, by service
	splits     map[string]Split
	shortages  map[shortageKey]Shortage
	calendars  map[shortageKey]Calendar
	// serviceTimes holds the service times at any target as this node sees them, for early refusals.
	serviceTimes target.ServiceTimes
	mu           sync.Mutex
	closed       bool           // guarded by mu
	running      sync.WaitGroup // hedged requests and their attempts
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
		Report:     func(http.Header) answer.TargetReport { return answer.TargetReport{} },
		HedgeLimit: func() float64 { return 0 },
		sendLocal:  sendLocal, sendRemote: sendRemote, budgets: map[string]Budget{}, hedges: map[string]Hedge{}, extras: map[string]Budget{},
		splits: map[string]Split{}, shortages: map[shortageKey]Shortage{}, calendars: map[shortageKey]Calendar{},
	}
}

// Send sends an attempt to a target of the route's service that is not in tried, and possibly a hedge to another
// target if the first one is slow. newRequest returns the request of the hedge; nil forbids hedging. Send returns the names
// of the targets, none if there was none to choose; its error is an answer.Refusal.
func (d *Dispatcher) Send(call target.Call, route config.Route, tried []string, newRequest func() *http.Request) ([]string, target.Reply, error) {
	arrived := time.Now()
	choice, dest, plan, err := d.prepareAttempt(call, route, tried)
	timings := target.Timings{Reason: string(choice.Reason), ExpectedWait: choice.ExpectedWait, ChoiceTime: time.Since(arrived)}
	if err != nil {
		return nil, target.Reply{Timings: timings}, err
	}
	attempt := Attempt{Number: len(tried) + 1, Choice: choice}
	call.MaxWait, call.AnnouncedRate = d.maxWait(choice, tried), dest.announcedRate
	first := activeAttempt{name: choice.Instance, node: dest.node, service: route.Service, call: call, info: attempt, measured: route.HedgeRatio > 0 && (plan.decides || len(tried) == 0)}
	var names []string
	var reply target.Reply
	if newRequest == nil || plan.delay == 0 || !d.registerHedged() {
		r := d.runAttempt(first.withCancel())
		names, reply, err = []string{choice.Instance}, r.reply, r.err
		if newRequest != nil && plan.decides && route.HedgeRatio > 0 {
			reply.Timings.Hedge = string(HedgeUnknown)
		}
	} else {
		names, reply, err = d.sendHedged(first.withCancel(), route, plan, newRequest)
	}
	reply.Timings.Reason, reply.Timings.ExpectedWait, reply.Timings.ChoiceTime = timings.Reason, timings.ExpectedWait, timings.ChoiceTime
	return names, reply, err
}

// maxWait returns the expected wait beyond which the gate reroutes an attempt, negative for none. The first maxReroutes targets refuse the
// request if the wait is longer than their load suggested. The expected wait at a target of unknown state is a guess, so it must start
// the request at once.
func (d *Dispatcher) maxWait(choice Choice, tried []string) time.Duration {
	switch {
	case !d.AllowReroute || choice.NoAlternative || len(tried) >= maxReroutes:
		return -1
	case choice.Reason == ReasonExplore:
		return 0
	default:
		return max(choice.ExpectedWait, choice.AlternativeWait) + rerouteSlack
	}
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
