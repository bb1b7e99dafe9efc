package scenario

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/load"
	"verbenapin.dev/measure/report"
)

// addedLatency measures the latency that two nodes in one failure domain add to a call, compared with direct calls to the target.
func addedLatency() Scenario {
	return Scenario{
		Name: "added", Alone: true, Naive: roundRobinPolicy,
		Deployment: deployment.Abitudini().WithServiceTargets("history", 1).WithServiceTargets("checkins", 2).WithServiceTargets("exports", 1), NoClientRelay: true,
		Specs: []Spec{
			{Name: "added_p50_ms", Unit: "ms"},
			{Name: "added_p99_ms", Unit: "ms", Bound: bound(0.68)},
		},
		Run: runAddedLatency,
	}
}

func runAddedLatency(ctx context.Context, runner Runner, s system) (map[string]float64, error) {
	d := s.deployment
	const rate = 150
	// The route's only target is that of a1; the entry is a2, in the same domain.
	// A cost this low keeps the variance of the service time below the measured latency.
	t := s.traffic(d.Account("lombardia"), 0.02).WithRoutes("history")
	viaNodes, direct := t.source(rate, s.EntryAddr("a2")), t.WithoutKey().source(rate, s.Instance("a1").TargetAddr)
	sources := []load.Source{viaNodes, direct}
	if err := s.warmUp(ctx, runner, sources); err != nil {
		return nil, err
	}
	r, err := s.runLoad(ctx, runner.duration(3*time.Second, 15*time.Second), sources, nil)
	if err != nil {
		return nil, err
	}
	byEntry := func(addr string) load.Result { return r.Filter(func(a load.Response) bool { return a.Entry == addr }) }
	node, target := byEntry(s.EntryAddr("a2")), byEntry(s.Instance("a1").TargetAddr)
	if path, ok := runner.plot("added"); ok {
		err := report.PlotLatency(path, map[string]*hdrhistogram.Histogram{"through nodes": node.Latency(), "straight": target.Latency()})
		if err != nil {
			return nil, err
		}
	}
	return map[string]float64{
		"added_p50_ms": node.Quantile(50) - target.Quantile(50),
		"added_p99_ms": node.Quantile(99) - target.Quantile(99),
	}, nil
}
