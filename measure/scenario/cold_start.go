package scenario

import (
	"context"
	"time"

	"verbenapin.dev/measure/deployment"
)

// coldStart counts the requests beyond its capacity that a target receives after it restarts cold.
func coldStart() Scenario {
	return Scenario{
		Name: "cold", Naive: openPolicy,
		Deployment: deployment.Abitudini().WithTargets(3, "history"),
		Specs:      []Spec{{Name: "cold_excess", Unit: "requests", Bound: bound(0), Note: "after a restart of the target"}},
		Run:        runColdStart,
	}
}

func runColdStart(ctx context.Context, runner Runner, s system) (map[string]float64, error) {
	// At this cost three targets serve 900 requests/s and two serve 600; the load is about 500.
	length := runner.duration(4*time.Second, 10*time.Second)
	sources := s.sources(0.36, 8)
	if err := s.warmUp(ctx, runner, sources); err != nil {
		return nil, err
	}
	_, err := s.runLoad(ctx, length, sources, func(ctx context.Context) error {
		after(ctx, length/5, func() { s.KillTarget("b1") })
		var err error
		after(ctx, 200*time.Millisecond, func() { err = s.StartColdTarget("b1") })
		return err
	})
	if err != nil {
		return nil, err
	}
	r := s.Target("b1").Stats()
	if r.Executed+r.Shed == 0 {
		return nil, InconclusiveError{Text: "the cold target received no request"}
	}
	return map[string]float64{"cold_excess": float64(r.OverCapacity)}, nil
}
