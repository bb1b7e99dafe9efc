package scenario

import (
	"context"
	"fmt"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/fleet"
)

// spread measures the time from the publication of a version until all nodes have activated it.
func spread() Scenario {
	return Scenario{
		Name:       "spread",
		Deployment: deployment.Abitudini(), Small: true,
		Specs: []Spec{{Name: "config_spread_s", Unit: "s", Bound: bound(8), Note: "slowest of several versions"}},
		Run:   runSpread,
	}
}

func runSpread(ctx context.Context, b Bench, s site) (map[string]float64, error) {
	d := s.deployment
	versions := 3
	if !b.Quick {
		versions = 10
	}
	worst := 0.0
	for i := range versions {
		a := d.Account("veneto")
		a.Rate += float64(i + 1)
		start := time.Now()
		if err := s.Publish(d.WithAccount(a)); err != nil {
			return nil, err
		}
		for _, n := range s.Nodes() {
			limit, cancel := context.WithTimeout(ctx, 20*time.Second)
			err := fleet.Await(limit, func() bool {
				state, err := s.State(limit, n.Name)
				return err == nil && state.Version >= s.Version()
			})
			cancel()
			if err != nil {
				return nil, fmt.Errorf("scenario: node %s does not activate version %d: %w", n.Name, s.Version(), err)
			}
		}
		worst = max(worst, time.Since(start).Seconds())
	}
	return map[string]float64{"config_spread_s": worst}, nil
}
