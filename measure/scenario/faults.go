package scenario

import (
	"context"
	"fmt"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/history"
	"verbenapin.dev/measure/load"
	"verbenapin.dev/measure/platform"
	"verbenapin.dev/measure/upstream"
)

// faults checks the history of a run in which a node is killed, another paused and a target killed, a second target refuses
// requests, a failure domain is partitioned and the configuration service is down.
func faults() Scenario {
	return Scenario{
		Name:       "faults",
		Deployment: deployment.ChueDee().WithTargets(4, "shortlists", "reservations"),
		Specs: []Spec{
			{Name: "doubled", Unit: "requests", Bound: bound(0)},
			{Name: "lost_answers", Unit: "requests", Bound: bound(0), Note: "entries that are killed or paused excluded"},
			{Name: "crossed_answers", Unit: "requests", Bound: bound(0)},
			{Name: "false_not_run", Unit: "requests", Bound: bound(0)},
		},
		Run: runFaults,
	}
}

func runFaults(ctx context.Context, runner Runner, s system) (map[string]float64, error) {
	// With four targets of each service, the targets of a3 and b3 serve reservations, which must not run twice.
	const killed, paused = "a3", "b3"
	entries := []string{s.EntryAddr("a1"), s.EntryAddr("b1"), s.EntryAddr("c1"), s.EntryAddr("a2")}
	step := runner.duration(500*time.Millisecond, 2*time.Second)
	steps := []func() error{
		func() error {
			return s.Platform.SetFaults(platform.Faults{Values: platform.EndpointFaults{Down: true}})
		},
		func() error { s.Kill(killed); return nil },
		func() error { return s.Pause(paused) },
		func() error { s.KillTarget("c1"); return nil },
		func() error { return s.StartNode(killed) },
		func() error { return s.StartColdTarget("c1") },
		func() error { return s.Resume(paused) },
		func() error { s.Partition("c"); return nil },
		func() error { s.Target("a1").SetFault(upstream.Fault{Shed: true}); return nil },
		func() error { s.Heal("c"); return nil },
		func() error { s.Target("a1").SetFault(upstream.Fault{}); return nil },
		func() error { return s.Platform.SetFaults(platform.Faults{}) },
	}
	sources := s.sources(0.5, 2, entries...)
	if err := s.warmUp(ctx, runner, sources); err != nil {
		return nil, err
	}
	r, err := s.runLoad(ctx, time.Duration(len(steps)+2)*step, sources, func(ctx context.Context) error {
		for _, do := range steps {
			var err error
			after(ctx, step, func() { err = do() })
			if err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if r.Fraction(load.Response.OK) < 0.5 || r.Count(failed) == 0 {
		return nil, InconclusiveError{Text: fmt.Sprintf("the faults had no effect or too large a one: %d of %d requests failed", r.Count(failed), len(r.Responses()))}
	}
	violations := history.Check(r.Calls(), s.executions())
	return map[string]float64{
		"doubled": float64(len(violations.Doubled)), "lost_answers": float64(len(violations.Lost)),
		"crossed_answers": float64(len(violations.Crossed)), "false_not_run": float64(len(violations.FalseNotRun)),
	}, nil
}
