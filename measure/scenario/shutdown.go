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

// shutdown counts the requests that a graceful shutdown cuts off, as entry and beside a target, large responses included.
func shutdown() Scenario {
	return Scenario{
		Name:       "shutdown",
		Deployment: deployment.Abitudini().WithTargets(3, "history", "exports"),
		Specs:      []Spec{{Name: "shutdown_cut", Unit: "requests", Bound: bound(0)}},
		Run:        runShutdown,
	}
}

func runShutdown(ctx context.Context, b Runner, s site) (map[string]float64, error) {
	d := s.deployment
	const leaving = "b1"
	// Callers stop using the node within a second of its shutdown; it keeps its listener open for two.
	const before, still = time.Second, time.Second
	length := b.lasts(5*time.Second, 10*time.Second)
	large := s.traffic(d.Account("lazio"), 1).WithRoutes("exports").WithBytes(4 << 20)
	near := []load.Source{s.traffic(d.Account("lombardia"), 4).source(150, s.EntryAddr(leaving)), large.source(5, s.EntryAddr(leaving))}
	far := append(s.sources(0.2, 4, s.EntryAddr("a1"), s.EntryAddr("c1")), large.source(5, s.EntryAddr("a1")))
	if err := s.ramp(ctx, b, slices.Concat(near, far)); err != nil {
		return nil, err
	}
	var stopped *fleet.Process
	entered := make(chan load.Result, 1)
	go func() {
		entered <- s.caller.Run(ctx, load.Plan{Sources: near, Duration: before + still, Seed: seed})
	}()
	r, err := s.run(ctx, length, far, func(ctx context.Context) error {
		var err error
		after(ctx, before, func() { stopped, err = s.Terminate(leaving) })
		return err
	})
	all := r.With(<-entered)
	if err != nil {
		return nil, err
	}
	code, err := stopped.Wait(35 * time.Second)
	if err != nil {
		return nil, err
	}
	if code != 0 {
		return nil, fmt.Errorf("scenario: the node ended with code %d", code)
	}
	served := all.Count(func(a load.Response) bool { return a.OK() && a.Entry == s.EntryAddr(leaving) })
	if served == 0 {
		return nil, NothingError{Text: "the leaving node served no request as an entry"}
	}
	cut := 0
	for _, c := range all.Calls() {
		if c.Outcome == history.Broken || c.Outcome == history.MaybeRun {
			cut++
		}
	}
	return map[string]float64{"shutdown_cut": float64(cut)}, nil
}
