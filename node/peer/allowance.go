package peer

import (
	"context"
	"time"

	"verbenapin.dev/node/config"
)

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
