package scenario

import (
	"context"
	"fmt"
	"slices"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/fleet"
	"verbenapin.dev/measure/history"
	"verbenapin.dev/measure/load"
)

// shutdown counts the requests that the graceful shutdown of a node breaks off, at its entry and at its target, large
// responses included.
func shutdown() Scenario {
	return Scenario{
		Name:       "shutdown",
		Deployment: deployment.Abitudini().WithTargets(3, "history", "exports"),
		Specs:      []Spec{{Name: "shutdown_cut", Unit: "requests", Bound: bound(0)}},
		Run:        runShutdown,
	}
}

func runShutdown(ctx context.Context, runner Runner, s system) (map[string]float64, error) {
	d := s.deployment
	const leaving = "b1"
	// Callers stop using the node 1 s after its termination; it keeps its listener open for 2 s.
	const stopAfter, keepUsing = time.Second, time.Second
	length := runner.duration(5*time.Second, 10*time.Second)
	large := s.traffic(d.Account("lazio"), 1).WithRoutes("exports").WithBytes(4 << 20)
	entrySources := []load.Source{s.traffic(d.Account("lombardia"), 4).source(150, s.EntryAddr(leaving)), large.source(5, s.EntryAddr(leaving))}
	otherSources := append(s.sources(0.2, 4, s.EntryAddr("a1"), s.EntryAddr("c1")), large.source(5, s.EntryAddr("a1")))
	if err := s.warmUp(ctx, runner, slices.Concat(entrySources, otherSources)); err != nil {
		return nil, err
	}
	var stopped *fleet.Process
	entryResult := make(chan load.Result, 1)
	go func() {
		entryResult <- s.caller.Run(ctx, load.Plan{Sources: entrySources, Duration: stopAfter + keepUsing, Seed: seed})
	}()
	r, err := s.runLoad(ctx, length, otherSources, func(ctx context.Context) error {
		var err error
		after(ctx, stopAfter, func() { stopped, err = s.Terminate(leaving) })
		return err
	})
	all := r.With(<-entryResult)
	if err != nil {
		return nil, err
	}
	code, err := stopped.Wait(35 * time.Second)
	if err != nil {
		return nil, err
	}
	if code != 0 {
		return nil, fmt.Errorf("scenario: the node exited with code %d", code)
	}
	served := all.Count(func(resp load.Response) bool { return resp.OK() && resp.Entry == s.EntryAddr(leaving) })
	if served == 0 {
		return nil, InconclusiveError{Text: "the leaving node served no request as an entry"}
	}
	broken := 0
	for _, c := range all.Calls() {
		if c.Outcome == history.Broken || c.Outcome == history.MaybeRun {
			broken++
		}
	}
	return map[string]float64{"shutdown_cut": float64(broken)}, nil
}
