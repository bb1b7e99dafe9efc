package peer

import (
	"context"
	"time"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/target"
)

// Outcomes of a hedge, in Timings.Hedge beside the values of HedgeReason.
const (
	HedgeWon  = "won"  // it was answered first
	HedgeLost = "lost" // it was cancelled or failed
)

// hedgePlan is when the dispatcher decides on a hedge of an attempt.
type hedgePlan struct {
	delay   time.Duration // until the first decision, zero for no hedge
	decides bool          // HedgeDecision applies, otherwise a hedge is sent after the delay
	sent    time.Time
	tried   []string // targets of earlier attempts
}

// hedgeOffer is a decision with the target of the hedge, which counts as sent.
type hedgeOffer struct {
	HedgeDecision
	choice Choice
	dest   destination
}

// planHedge counts a first attempt in the budgets for hedges and returns when to decide on a hedge; it runs on the control goroutine.
func (d *Dispatcher) planHedge(now time.Time, route config.Route, tried []string) hedgePlan {
	limit := d.HedgeLimit()
	plan := hedgePlan{decides: limit > 0, sent: now, tried: tried}
	if plan.decides && len(tried) == 0 {
		d.extras[route.Service] = d.extra(now, route, limit).WithCall(now, 0)
	}
	if route.HedgeRatio <= 0 || len(tried) > 0 && !plan.decides {
		return plan
	}
	h := d.hedge(now, route)
	if len(tried) == 0 {
		h = h.WithCall(now)
		d.hedges[route.Name] = h
	}
	if plan.decides {
		plan.delay, _ = h.Quantile(slowQuantile)
	} else {
		plan.delay, _ = h.Delay()
	}
	return plan
}

// extra returns the budget for the extra runs of a route's service.
func (d *Dispatcher) extra(now time.Time, route config.Route, limit float64) Budget {
	b, ok := d.extras[route.Service]
	if !ok {
		b = NewHedgeBudget(now, limit)
	}
	return b.WithRatio(limit)
}

// prepareHedge decides on a hedge and counts one that is to be sent as outstanding at its target.
func (d *Dispatcher) prepareHedge(route config.Route, first activeAttempt, plan hedgePlan) hedgeOffer {
	candidates, evacuated := d.candidatesFor(route), d.evacuated()
	offer := hedgeOffer{HedgeDecision: HedgeDecision{Reason: HedgeClosed}}
	_ = d.loop.Call(context.Background(), func(now time.Time) {
		if plan.decides {
			offer = d.decideHedge(now, route, first, plan, candidates, evacuated)
		} else {
			offer = d.hedgeAfterDelay(now, route, first, candidates, evacuated)
		}
		if offer.Send {
			offer.dest = d.recordSent(now, candidates, offer.choice)
		}
	})
	return offer
}

// hedgeAfterDelay sends a hedge if the budget of the route allows one. A target at which the attempt would wait gets none, since it would
// delay the first attempts of other requests.
func (d *Dispatcher) hedgeAfterDelay(now time.Time, route config.Route, first activeAttempt, candidates []Candidate, evacuated []string) hedgeOffer {
	choice, found := d.selectTarget(now, route, candidates, evacuated, []string{first.name})
	if !found || choice.ExpectedWait > 0 {
		return hedgeOffer{HedgeDecision: HedgeDecision{Reason: HedgeNone}}
	}
	h, ok := d.hedge(now, route).WithHedge(now)
	if !ok {
		return hedgeOffer{HedgeDecision: HedgeDecision{Reason: HedgeBudget}}
	}
	d.hedges[route.Name] = h
	return hedgeOffer{HedgeDecision: HedgeDecision{Send: true}, choice: choice}
}

// refundHedge returns the tokens of a hedge that a gate refused, which added no run.
func (d *Dispatcher) refundHedge(route config.Route) {
	_ = d.loop.Call(context.Background(), func(now time.Time) {
		key := d.budgetKey(route)
		d.extras[route.Service], d.budgets[key] = d.extra(now, route, d.HedgeLimit()).WithRefund(), d.budget(now, route).WithRefund()
	})
}

// decideHedge decides by the load reports of the service and takes a hedge from the budgets.
func (d *Dispatcher) decideHedge(now time.Time, route config.Route, first activeAttempt, plan hedgePlan, candidates []Candidate, evacuated []string) hedgeOffer {
	subset := d.table.Subset(now, candidates, d.self, ownDomainCount(route), evacuated, nil)
	tried := append([]string{first.name}, plan.tried...)
	other, found := d.table.ChooseHedge(now, d.rand, subset, d.self.Domain, evacuated, tried)
	c := d.table.hedgeCase(now, plan.sent, first.name, first.call.MaxWait)
	c.Elapsed, c.Left = now.Sub(plan.sent), first.call.Deadline.Sub(now)
	if !first.call.SoftDeadline.IsZero() {
		c.Objective = first.call.SoftDeadline.Sub(plan.sent)
	}
	c.Service, c.HasOther = d.table.ServiceUse(now, subset, evacuated), found
	if found {
		c.ExtraTrip = d.table.RTT(other.Domain, d.self.Domain) + other.Penalty - d.table.RTT(d.table.get(first.name).domain, d.self.Domain)
	}
	offer := hedgeOffer{HedgeDecision: d.hedge(now, route).Decide(c)}
	if !offer.Send {
		return offer
	}
	// A call of a running request holds a slot of its parent as well.
	offer.Urgent = offer.Urgent || first.call.Priority.Stage == target.StageNested
	key, retries := d.budgetKey(route), d.budget(now, route).WithRatio(route.RetryRatio)
	offer.HedgeDecision, d.extras[route.Service], d.budgets[key] = offer.WithBudgets(now, d.extra(now, route, d.HedgeLimit()), retries)
	if offer.choice = (Choice{Instance: other.Name, Reason: ReasonLowestScore}); other.Domain != d.self.Domain {
		offer.choice.Reason = ReasonOtherDomain
	}
	return offer
}
