package scenario

import (
	"context"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/load"
	"verbenapin.dev/measure/report"
)

// evacuatedDomain is the failure domain that is evacuated and restored.
const evacuatedDomain = "b"

// evacuation measures how long an evacuated failure domain still receives requests, the errors that callers see until it is
// restored, and the tail latency after it is restored.
func evacuation() Scenario {
	return Scenario{
		Name: "evacuation", Naive: roundRobinPolicy,
		Deployment: deployment.Abitudini().WithTargets(4, "history", "checkins"),
		Specs: []Spec{
			{Name: "evacuation_s", Unit: "s", Bound: bound(8), Note: "the bound is that for a configuration change"},
			{Name: "evacuation_errors", Unit: "requests", Bound: bound(0)},
			{Name: "return_p99_ms", Unit: "ms"},
		},
		Run: runEvacuation,
	}
}

func runEvacuation(ctx context.Context, runner Runner, s system) (map[string]float64, error) {
	d := s.deployment
	// Callers keep using the nodes of the evacuated domain, which must forward requests to the other domains.
	phase := runner.duration(2*time.Second, 10*time.Second)
	sources := s.sources(0.3, 4)
	if err := s.warmUp(ctx, runner, sources); err != nil {
		return nil, err
	}
	start := time.Now()
	var evacuatedAt, restoredAt time.Time
	r, err := s.runLoad(ctx, 3*phase, sources, func(ctx context.Context) error {
		var err error
		after(ctx, phase/2, func() {
			evacuatedAt = time.Now()
			err = s.Publish(d.WithEvacuated(evacuatedDomain))
		})
		if err != nil {
			return err
		}
		after(ctx, phase+phase/2, func() {
			restoredAt = time.Now()
			err = s.Publish(d)
		})
		return err
	})
	if err != nil {
		return nil, err
	}
	last, before := evacuatedAt, 0
	for _, n := range s.Instances() {
		for _, e := range s.Target(n.Name).Executions() {
			if n.Domain != evacuatedDomain {
				continue
			}
			if e.At.Before(evacuatedAt) {
				before++
			}
			if e.At.After(last) && e.At.Before(restoredAt) {
				last = e.At
			}
		}
	}
	if before == 0 {
		return nil, InconclusiveError{Text: "the failure domain executed no request before its evacuation"}
	}
	if path, ok := runner.plot("evacuation"); ok {
		if err := plotEvacuation(path, s, start, 3*phase); err != nil {
			return nil, err
		}
	}
	during := r.Filter(func(a load.Response) bool { return a.Started.After(evacuatedAt) && a.Started.Before(restoredAt) })
	returned := r.Filter(func(a load.Response) bool { return a.Started.After(restoredAt) })
	return map[string]float64{
		"evacuation_s":      last.Sub(evacuatedAt).Seconds(),
		"evacuation_errors": float64(during.Count(failed)),
		"return_p99_ms":     quantiles(returned, "p99", "p999")["p99"],
	}, nil
}

// plotEvacuation plots the requests that the targets of each failure domain started over time.
func plotEvacuation(path string, s system, start time.Time, length time.Duration) error {
	const step = 100 * time.Millisecond
	var series []report.Series
	for _, domain := range deployment.Domains {
		counts := make([]float64, length/step)
		for _, n := range s.Instances() {
			if n.Domain != domain {
				continue
			}
			for _, e := range s.Target(n.Name).Executions() {
				if i := int(e.At.Sub(start) / step); e.At.After(start) && i < len(counts) {
					counts[i]++
				}
			}
		}
		curve := report.Series{Name: "domain " + domain}
		for i, c := range counts {
			curve.X = append(curve.X, (time.Duration(i) * step).Seconds())
			curve.Y = append(curve.Y, c/step.Seconds())
		}
		series = append(series, curve)
	}
	return report.PlotTime(path, "Requests started while domain "+evacuatedDomain+" is taken out and returns", "requests/s", series)
}
