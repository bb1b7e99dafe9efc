package peer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/target"
)

// destination is the node beside a chosen target, with the rate that the target has announced to this node recently, zero for none.
type destination struct {
	node          string
	announcedRate float64
}

// prepareAttempt chooses a target and counts the attempt as outstanding there. It also returns when to decide on a hedge.
func (d *Dispatcher) prepareAttempt(call target.Call, route config.Route, tried []string) (Choice, destination, hedgePlan, error) {
	candidates, evacuated := d.candidatesFor(route), d.evacuated()
	var choice Choice
	var dest destination
	var plan hedgePlan
	found := false
	err := d.loop.Call(context.WithoutCancel(call.Request.Context()), func(now time.Time) {
		choice, found = d.selectForCall(now, call, route, candidates, evacuated, tried)
		if !found {
			return
		}
		dest = d.recordSent(now, candidates, choice)
		plan = d.planHedge(now, route, tried)
		if len(tried) > 0 {
			return
		}
		retried := d.retriedShare(call)
		d.budgets[d.budgetKey(route)] = d.budget(now, route).WithCall(now, retried)
	})
	if err != nil {
		return Choice{}, destination{}, hedgePlan{}, answer.NewNotExecuted(answer.CodeBusy, fmt.Sprintf("target selection failed: %v", err))
	}
	if !found {
		if choice.Reason == ReasonFull && d.OnEarlyRefusal != nil {
			d.OnEarlyRefusal(route.Name, len(tried) > 0)
		}
		return choice, destination{}, hedgePlan{}, noTargetRefusal(choice)
	}
	return choice, dest, plan, nil
}

// retriedShare returns the probability that the run that made a call is a retry. A call of a known run has its mark. It runs on the
// control goroutine.
func (d *Dispatcher) retriedShare(call target.Call) float64 {
	switch {
	case call.ParentRoute != "" && target.IsRetried(call.Request.Header.Get("Tracestate")):
		return 1
	case call.ParentRoute == "" && call.Nested && d.RetriedShare != nil:
		return d.RetriedShare()
	}
	return 0
}

// selectForCall returns the target of an attempt, or a choice without one if load reports show that no target would accept it; it runs
// on the control goroutine.
func (d *Dispatcher) selectForCall(now time.Time, call target.Call, route config.Route, candidates []Candidate, evacuated, tried []string) (Choice, bool) {
	subset := d.table.Subset(now, candidates, d.self, ownDomainCount(route), evacuated, tried)
	list := d.shortlist(now, call, route.Service, subset, evacuated, tried)
	if len(list.Candidates) == 0 && len(subset) > 0 {
		return Choice{Reason: ReasonFull, RetryAfter: list.RetryAfter}, false
	}
	choice, found := d.choose(d.table, now, d.rand, list.Candidates, d.self.Domain, evacuated, tried)
	return list.WithChoice(choice), found
}

// selectTarget returns the target of a hedge; it runs on the control goroutine.
func (d *Dispatcher) selectTarget(now time.Time, route config.Route, candidates []Candidate, evacuated, tried []string) (Choice, bool) {
	subset := d.table.Subset(now, candidates, d.self, ownDomainCount(route), evacuated, tried)
	return d.choose(d.table, now, d.rand, subset, d.self.Domain, evacuated, tried)
}

// candidatesFor returns the candidates for a route. A target of another failure domain is chosen only if it is faster by the cost of
// crossing: that traffic is charged, its links are shared, and it takes longer.
func (d *Dispatcher) candidatesFor(route config.Route) []Candidate {
	candidates, cost := d.candidates(route.Service), crossingCost(route)
	if cost == 0 {
		return candidates
	}
	candidates = slices.Clone(candidates)
	for i := range candidates {
		if candidates[i].Domain != d.self.Domain {
			candidates[i].Penalty = cost
		}
	}
	return candidates
}

// crossingCost returns the expected time by which a target of another failure domain must be faster than one of the own domain.
func crossingCost(route config.Route) time.Duration {
	cost := time.Duration(route.LocalRatio * float64(route.LatencyObjective))
	if route.Bulk {
		cost = max(cost, bulkRemotePenalty)
	}
	return cost
}

// ownDomainCount returns how many targets of the own failure domain a node chooses among for a route.
func ownDomainCount(route config.Route) int {
	if route.LocalRatio > 0 {
		return subsetLocalDomain
	}
	return subsetOwnDomain
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

func noTargetRefusal(choice Choice) answer.Refusal {
	switch choice.Reason {
	case ReasonFull:
		return answer.NewNotExecuted(answer.CodeBusy, "no target would start the request in time, by their load reports").WithRetryAfter(choice.RetryAfter)
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
			s = NewSplit(route.Split, d.rand.Int64N)
		}
		d.splits[route.Name], service = s.WithNext()
	})
	return route.WithService(service)
}
