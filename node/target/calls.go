package target

import (
	"math"
	"slices"
	"time"
)

const (
	// maxCallingRoutes bounds the routes whose calls a gate keeps; the one without calls for longest is dropped first.
	maxCallingRoutes = 16
	// maxCalledServices bounds the services that are kept for a route; the one that is called least is dropped first.
	maxCalledServices = 4
	// callsWeight is the number of runs over which the calls of a route are averaged.
	callsWeight = 64
	// callsPrior is the number of runs without calls that precede the first call of a route, so that a fresh node admits requests until
	// it has seen several runs.
	callsPrior = 8
	// callWaitFreshFor is how long the wait for a called service counts after it was looked up. It is looked up with each load report of
	// this gate, at most every callWaitInterval.
	callWaitFreshFor = 300 * time.Millisecond
	callWaitInterval = 25 * time.Millisecond
	// Up to freeWaitShare of the time that is left for its calls, their wait does not matter for a request; from fullWaitShare on they
	// are expected to fail. The queue of a gate bounds the wait that it can report, so that fullWaitShare is far below 1.
	freeWaitShare = 0.1
	fullWaitShare = 0.45
	// maxCallsRefusal is the highest probability of a refusal. The rest finds out whether there is capacity again, because only nodes
	// that have sent calls get load reports.
	maxCallsRefusal = 0.95
)

// calledService is a service that the runs of a route call.
type calledService struct {
	name     string
	priority Priority      // of the last call
	calls    float64       // recent calls; each counts less by a part of callsWeight with each later run
	callers  float64       // recent runs that made at least one of them, counted in the same way
	wait     time.Duration // expected wait of a call at the best usable target
	waitAt   time.Time     // when the wait was looked up, zero if it is not known
}

// callingRoute is a route whose runs make calls; it is never modified once it is part of Calls.
type callingRoute struct {
	name     string
	runs     float64       // recent runs, counted as in calledService
	work     time.Duration // time of a run outside of the waits of its calls, zero until one has ended
	nested   Priority      // rank of the last run that was itself a nested call
	isNested bool          // a nested call has run
	services [maxCalledServices]calledService
	n        int
}

// Calls holds which services the runs of a target's routes call, how often, and how long these calls would wait; it is immutable. It
// addresses a called service that is saturated while the callers' own service has spare capacity: each run that is admitted then holds
// a slot, uses up capacity with those of its calls that succeed, and fails with the others.
type Calls struct {
	routes   []*callingRoute // the one without calls for longest first
	lookedUp time.Time       // when waits were last looked up
}

func (c Calls) find(route string) int {
	return slices.IndexFunc(c.routes, func(r *callingRoute) bool { return r.name == route })
}

// with returns the calls with the route at index i replaced.
func (c Calls) with(i int, r callingRoute) Calls {
	c.routes = slices.Clone(c.routes)
	c.routes[i] = &r
	return c
}

// WithCall returns the calls after a run of the route called a service. earlier has a bit set for each service that the run has called
// before; the one returned has that of this service as well.
func (c Calls) WithCall(route, service string, p Priority, earlier uint8) (Calls, uint8) {
	r := callingRoute{name: route, runs: callsPrior}
	if i := c.find(route); i >= 0 {
		r = *c.routes[i]
		c.routes = slices.Delete(slices.Clone(c.routes), i, i+1)
	} else {
		c.routes = slices.Clone(c.routes[max(len(c.routes)-maxCallingRoutes+1, 0):])
	}
	at := r.service(service)
	s := &r.services[at]
	s.priority = p
	s.calls++
	if earlier&(1<<at) == 0 {
		s.callers++
	}
	c.routes = append(c.routes, &r)
	return c, earlier | 1<<at
}

// service returns the index of a service, which takes the place of the one that is called least if there is no room.
func (r *callingRoute) service(name string) int {
	least := 0
	for i := range r.n {
		if r.services[i].name == name {
			return i
		}
		if r.services[i].calls < r.services[least].calls {
			least = i
		}
	}
	if r.n < len(r.services) {
		least = r.n
		r.n++
	}
	r.services[least] = calledService{name: name}
	return least
}

// WithRun returns the calls after a run of the route began.
func (c Calls) WithRun(route string, p Priority) Calls {
	i := c.find(route)
	if i < 0 {
		return c
	}
	r := *c.routes[i]
	const kept = 1 - 1.0/callsWeight
	r.runs = r.runs*kept + 1
	for j := range r.n {
		r.services[j].calls *= kept
		r.services[j].callers *= kept
	}
	if p.Stage == StageNested {
		r.nested, r.isNested = p, true
	}
	return c.with(i, r)
}

// WithWork returns the calls after a run of the route ended successfully. Its own work is the least recent time of a run, because a run
// also lasts while its calls wait.
func (c Calls) WithWork(route string, took time.Duration) Calls {
	i := c.find(route)
	if i < 0 {
		return c
	}
	r := *c.routes[i]
	if r.work == 0 {
		r.work = took
	}
	r.work = min(r.work+(took-r.work)/callsWeight, took)
	return c.with(i, r)
}

// NeedsWaits reports whether the waits of the called services must be looked up again.
func (c Calls) NeedsWaits(now time.Time) bool {
	return len(c.routes) > 0 && now.Sub(c.lookedUp) >= callWaitInterval
}

// WithWaits returns the calls with the waits that lookUp returns for the called services; false stands for an unknown wait.
func (c Calls) WithWaits(now time.Time, lookUp func(service string, p Priority) (time.Duration, bool)) Calls {
	c.routes, c.lookedUp = slices.Clone(c.routes), now
	for i := range c.routes {
		r := *c.routes[i]
		for j := range r.n {
			s := &r.services[j]
			wait, known := lookUp(s.name, s.priority)
			s.wait, s.waitAt = wait, time.Time{}
			if known {
				s.waitAt = now
			}
		}
		c.routes[i] = &r
	}
	return c
}

// knownWait returns the wait of a call, or false if it is not known or was looked up too long ago.
func (s *calledService) knownWait(now time.Time) (time.Duration, bool) {
	if s.waitAt.IsZero() || now.Sub(s.waitAt) >= callWaitFreshFor {
		return 0, false
	}
	return s.wait, true
}

// share returns the share of the route's runs that call the service.
func (s *calledService) share(r *callingRoute) float64 { return min(s.callers/r.runs, 1) }

// refusal returns the probability with which the calls of a run to this service are a reason to refuse the run. It grows with the part
// of the time left that a call would wait. A run that makes several calls needs capacity for each of them. Runs that call nothing can't
// be told from the others beforehand and are refused in vain: a refusal counts as far as the runs that call outnumber them.
func (s *calledService) refusal(r *callingRoute, wait, left time.Duration) float64 {
	if wait <= 0 || s.callers <= 0 {
		return 0
	}
	part := 1.0
	if left > 0 {
		part = float64(wait) / float64(left)
	}
	failing := min(max((part-freeWaitShare)/(fullWaitShare-freeWaitShare), 0), 1)
	return max(2*s.share(r)-1, 0) * (1 - math.Pow(1-failing, max(s.calls/s.callers, 1)))
}

// CallsRefusal is why a request was refused for its calls.
type CallsRefusal struct {
	Route       string
	Service     string        // called service with the highest probability of a refusal
	Wait        time.Duration // expected wait of a call there
	Left        time.Duration // time that the request's objective left for its calls
	Probability float64       // of the refusal
}

// Refusal returns with which probability a new request of the route is refused, and why. left returns the time that the request has left
// after its own work. The probability is zero for routes without calls and while no wait is known.
func (c Calls) Refusal(now time.Time, route string, left func(work time.Duration) time.Duration) CallsRefusal {
	i := c.find(route)
	if i < 0 {
		return CallsRefusal{}
	}
	r := c.routes[i]
	out := CallsRefusal{Route: route, Left: left(r.work)}
	admitted, highest := 1.0, 0.0
	for j := range r.n {
		s := &r.services[j]
		wait, known := s.knownWait(now)
		if !known {
			continue
		}
		p := s.refusal(r, wait, out.Left)
		admitted *= 1 - p
		if p > highest {
			out.Service, out.Wait, highest = s.name, wait, p
		}
	}
	out.Probability = min(1-admitted, maxCallsRefusal)
	return out
}

// NestedWait returns how long the calls of the routes wait whose own nested requests have the given rank, weighted with the share of
// runs that make them. The gate reports it for that rank, so that the first of several callers in a chain knows of a saturated service
// at its end.
func (c Calls) NestedWait(now time.Time, p Priority) time.Duration {
	var longest time.Duration
	for _, r := range c.routes {
		if !r.isNested || r.nested != p {
			continue
		}
		for j := range r.n {
			s := &r.services[j]
			if wait, known := s.knownWait(now); known {
				longest = max(longest, time.Duration(float64(wait)*s.share(r)))
			}
		}
	}
	return longest
}

// WithCall returns the gate after a running request called a service with a rank of its own, and what the call takes over from the
// request. It returns false if no request with that identity is running.
func (g Gate) WithCall(runID, service string, own Priority) (Gate, Parent, bool) {
	parent, at, ok := g.parent(runID)
	if !ok {
		return g, Parent{}, false
	}
	if !g.admitsByCalls {
		return g, parent, true
	}
	var called uint8
	g.calls, called = g.calls.WithCall(parent.Route, service, own.Nested(parent.Priority), g.running[at].called)
	if called != g.running[at].called {
		g.running = slices.Clone(g.running)
		g.running[at].called = called
	}
	return g, parent, true
}

// callsRefusal returns with which probability a new request is refused for its calls. A nested request is not: a request that has begun
// would fail with it, and its rank's wait tells the first caller of the chain.
func (g Gate) callsRefusal(now time.Time, req AdmissionRequest) CallsRefusal {
	if !g.admitsByCalls || req.Priority.Stage == StageNested {
		return CallsRefusal{}
	}
	return g.calls.Refusal(now, req.Route, func(work time.Duration) time.Duration {
		work = time.Duration(float64(work) * g.state.BaseSlowdown())
		if req.SoftDeadline.IsZero() {
			return req.Deadline.Sub(now) - work
		}
		// As for its own wait, a late request has a short time left.
		return max(req.SoftDeadline.Sub(now)-work, req.LatencyObjective/LateWaitDivisor)
	})
}
