package scenario

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/fleet"
)

// configPropagation measures the time from the publication of a version until every node has activated it.
func configPropagation() Scenario {
	return Scenario{
		Name:       "spread",
		Deployment: deployment.Abitudini(), Small: true,
		Specs: []Spec{{Name: "config_spread_s", Unit: "s", Bound: bound(8), Note: "slowest of several versions"}},
		Run:   runConfigPropagation,
	}
}

func runConfigPropagation(ctx context.Context, runner Runner, s system) (map[string]float64, error) {
	d := s.deployment
	versions := 3
	if !runner.Quick {
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
		if err := s.awaitVersion(ctx); err != nil {
			return nil, err
		}
		worst = max(worst, time.Since(start).Seconds())
	}
	return map[string]float64{"config_spread_s": worst}, nil
}

// awaitVersion waits until all nodes have activated the last published version. It polls them concurrently, which adds one
// polling interval instead of one per node.
func (s system) awaitVersion(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	errs := make([]error, len(s.Instances()))
	var wg sync.WaitGroup
	for i, n := range s.Instances() {
		wg.Go(func() {
			err := fleet.Poll(ctx, func() bool {
				state, err := s.State(ctx, n.Name)
				return err == nil && state.Version >= s.Version()
			})
			if err != nil {
				errs[i] = fmt.Errorf("scenario: node %s does not activate version %d: %w", n.Name, s.Version(), err)
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}
