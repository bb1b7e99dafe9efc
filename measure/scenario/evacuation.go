package scenario

import (
	"context"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/load"
	"verbenapin.dev/measure/report"
)

// evacuated is the failure domain that is taken out and brought back.
const evacuated = "b"

// evacuation measures how long a failure domain that was taken out still receives work, the errors that callers see
// meanwhile, and the tail latency after its return.
func evacuation() Scenario {
	return Scenario{
		Name: "evacuation", Naive: robin,
		Deployment: deployment.Abitudini().WithTargets(4, "history", "checkins"),
		Specs: []Spec{
			{Name: "evacuation_s", Unit: "s", Bound: bound(8), Note: "the bound is that for a configuration change"},
			{Name: "evacuation_errors", Unit: "requests", Bound: bound(0)},
			{Name: "return_p99_ms", Unit: "ms"},
		},
		Run: runEvacuation,
	}
}

func runEvacuation(ctx context.Context, b Runner, s site) (map[string]float64, error) {
	d := s.deployment
	// Callers keep using the nodes of the domain that is taken out, which must pass their requests on to the others.
	part := b.lasts(2*time.Second, 10*time.Second)
	sources := s.sources(0.3, 4)
	if err := s.ramp(ctx, b, sources); err != nil {
		return nil, err
	}
	start := time.Now()
	var out, back time.Time
	r, err := s.run(ctx, 3*part, sources, func(ctx context.Context) error {
		var err error
		after(ctx, part/2, func() {
			out = time.Now()
			err = s.Publish(d.WithEvacuated(evacuated))
		})
		if err != nil {
			return err
		}
		after(ctx, part+part/2, func() {
			back = time.Now()
			err = s.Publish(d)
		})
		return err
	})
	if err != nil {
		return nil, err
	}
	last, before := out, 0
	for _, n := range s.Instances() {
		for _, e := range s.Target(n.Name).Executions() {
			if n.Domain != evacuated {
				continue
			}
			if e.At.Before(out) {
				before++
			}
			if e.At.After(last) && e.At.Before(back) {
				last = e.At
			}
		}
	}
	if before == 0 {
		return nil, NothingError{Text: "the failure domain had no work before it was taken out"}
	}
	if path, ok := b.plot("evacuation"); ok {
		if err := plotEvacuation(path, s, start, 3*part); err != nil {
			return nil, err
		}
	}
	during := r.Where(func(a load.Response) bool { return a.Started.After(out) && a.Started.Before(back) })
	returned := r.Where(func(a load.Response) bool { return a.Started.After(back) })
	return map[string]float64{
		"evacuation_s":      last.Sub(out).Seconds(),
		"evacuation_errors": float64(during.Count(failed)),
		"return_p99_ms":     quantiles(returned, "p99", "p999")["p99"],
	}, nil
}

// plotEvacuation draws the requests that the targets of each failure domain started over time.
func plotEvacuation(path string, s site, start time.Time, length time.Duration) error {
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
	return report.PlotTime(path, "Requests started while domain "+evacuated+" is taken out and returns", "requests/s", series)
}
