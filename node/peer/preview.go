package peer

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/target"
)

// previewPace is the slowdown of the run for which a preview decides on a hedge.
const previewPace = 4

// Preview is where a request of a route would be sent at present and why.
type Preview struct {
	Choice      Choice
	Refusal     *answer.Refusal // expected refusal, nil if the request would be admitted
	Candidates  []PreviewCandidate
	RetryTokens float64 // retries left
	Hedges      bool    // load reports decide on hedges of the route
	HedgeTokens float64 // extra runs of the service left
	HedgeAfter  time.Duration
	Hedge       HedgeDecision // for a run that is found slow at that time
	HedgeTarget string        // empty if there is none
	Service     ServiceUse
}

// PreviewCandidate is a target of the service with what its choice depends on.
type PreviewCandidate struct {
	Name     string
	Domain   string
	Excluded Reason        // why it cannot be chosen, empty if it can
	Compared bool          // it belongs to the part of the targets among which this node chooses
	Score    time.Duration // the lowest one is chosen; without the jitter
	Wait     time.Duration
	Load     target.Load
	Age      time.Duration // of Load, negative if there is none
}

// Preview applies the decisions on a new request of the route to the present state, which it does not change. The random choice among
// targets of similar scores may differ from that of the next request.
func (d *Dispatcher) Preview(ctx context.Context, route config.Route) (Preview, error) {
	candidates, evacuated := d.candidatesFor(route), d.evacuated()
	var p Preview
	err := d.loop.Call(ctx, func(now time.Time) { p = d.preview(now, route, candidates, evacuated) })
	if err != nil {
		return Preview{}, fmt.Errorf("peer: previewing: %w", err)
	}
	return p, nil
}

func (d *Dispatcher) preview(now time.Time, route config.Route, candidates []Candidate, evacuated []string) Preview {
	r := rand.New(rand.NewPCG(uint64(now.UnixNano()), 0)) // the state of the dispatcher's own source must not change
	subset := d.table.Subset(now, candidates, d.self, ownDomainCount(route), evacuated, nil)
	p := Preview{RetryTokens: d.budget(now, route).WithRatio(route.RetryRatio).withRefill(now).tokens}
	var found bool
	if p.Choice, found = d.choose(d.table, now, r, subset, d.self.Domain, evacuated, nil); !found {
		refusal := noTargetRefusal(p.Choice)
		p.Refusal = &refusal
	} else if p.Choice.ExpectedWait > target.MaxExpectedWait(route.LatencyObjective) {
		refusal := answer.NewNotExecuted(answer.CodeBusy, "the expected wait is too long").WithRetryAfter(p.Choice.ExpectedWait)
		p.Refusal = &refusal
	}
	for i := range candidates {
		p.Candidates = append(p.Candidates, d.previewCandidate(now, &candidates[i], subset, evacuated))
	}
	slices.SortStableFunc(p.Candidates, comparePreviews)
	p.Service = d.table.ServiceUse(now, subset, evacuated)
	if limit := d.HedgeLimit(); limit > 0 && route.HedgeRatio > 0 && route.Idempotent {
		p.Hedges, p.HedgeTokens = true, d.extra(now, route, limit).tokens
		d.previewHedge(now, r, route, subset, evacuated, &p)
	}
	return p
}

// previewHedge decides on a hedge of a run that is found slow at the time of the first decision.
func (d *Dispatcher) previewHedge(now time.Time, r *rand.Rand, route config.Route, subset []Candidate, evacuated []string, p *Preview) {
	other, found := d.table.ChooseHedge(now, r, subset, d.self.Domain, evacuated, []string{p.Choice.Instance})
	h := d.hedge(now, route)
	p.HedgeTarget = other.Name
	p.HedgeAfter, _ = h.Quantile(slowQuantile)
	p.Hedge = h.Decide(HedgeCase{
		Elapsed: p.HedgeAfter, Left: route.Deadline - p.HedgeAfter, Objective: route.LatencyObjective, Pace: previewPace, Service: p.Service, HasOther: found,
	})
	if p.Hedge.Send {
		p.Hedge, _, _ = p.Hedge.WithBudgets(now, d.extra(now, route, d.HedgeLimit()), d.budget(now, route).WithRatio(route.RetryRatio))
	}
}

func (d *Dispatcher) previewCandidate(now time.Time, c *Candidate, subset []Candidate, evacuated []string) PreviewCandidate {
	out := PreviewCandidate{
		Name: c.Name, Domain: c.Domain, Excluded: d.table.exclusionReason(now, c, evacuated, nil), Age: -1,
		Compared: slices.ContainsFunc(subset, func(s Candidate) bool { return s.Name == c.Name }),
	}
	out.Score, out.Wait = d.table.loadCost(now, *c, d.self.Domain)
	out.Score += d.table.fixedCost(now, *c, d.self.Domain)
	if e := d.table.find(c.Name); e != nil && e.known {
		out.Load, out.Age = e.load, now.Sub(e.loadAt)
	}
	return out
}

// comparePreviews orders the targets that can be chosen first, then those among which this node chooses, then by score.
func comparePreviews(a, b PreviewCandidate) int {
	rank := func(c PreviewCandidate) int {
		switch {
		case c.Excluded != "":
			return 2
		case !c.Compared:
			return 1
		default:
			return 0
		}
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Score, b.Score))
}
