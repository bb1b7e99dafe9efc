package scenario

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/load"
	"verbenapin.dev/measure/report"
	"verbenapin.dev/measure/upstream"
)

// readLatency measures the tail latency of reads while one of seven targets takes eight times its usual service time.
func readLatency() Scenario {
	return Scenario{
		Name: "read", Alone: true, Naive: roundRobinPolicy,
		Deployment: deployment.Abitudini().WithTargets(7, "history"),
		Specs:      []Spec{{Name: "read_p99_ms", Unit: "ms"}, {Name: "read_p999_ms", Unit: "ms"}},
		Run:        runReadLatency,
	}
}

func runReadLatency(ctx context.Context, runner Runner, s system) (map[string]float64, error) {
	// Seven targets with 12 slots and 40 ms per request serve 2,100 requests/s; the load is about 1,100.
	sources := s.sources(0.8, 8)
	if err := s.warmUp(ctx, runner, sources); err != nil {
		return nil, err
	}
	length := runner.duration(3*time.Second, 20*time.Second)
	r, err := s.runLoad(ctx, length, sources, func(ctx context.Context) error {
		after(ctx, length/4, func() { s.Target("a1").SetFault(upstream.Fault{Slow: 8}) })
		return ctx.Err()
	})
	if err != nil {
		return nil, err
	}
	if path, ok := runner.plot("read"); ok {
		curves := map[string]*hdrhistogram.Histogram{}
		for _, name := range []string{"lombardia", "lazio", "veneto"} {
			curves[name] = r.Account(name).Latency()
		}
		if err := report.PlotLatency(path, curves); err != nil {
			return nil, err
		}
	}
	return quantiles(r, "read_p99_ms", "read_p999_ms"), nil
}

// quantiles counts an error as requestTimeout, so that a policy does not look faster by refusing early.
func quantiles(r load.Result, p99, p999 string) map[string]float64 {
	h := r.Latency()
	for range r.Count(failed) {
		_ = h.RecordValue(requestTimeout.Microseconds())
	}
	return map[string]float64{p99: float64(h.ValueAtQuantile(99)) / 1000, p999: float64(h.ValueAtQuantile(99.9)) / 1000}
}
