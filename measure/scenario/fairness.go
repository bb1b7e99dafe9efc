package scenario

import (
	"context"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/load"
)

// noisyAccount sends several times its rate.
const noisyAccount = "bangkok"

// fairness measures the served share of the worst-served account within its rate, while another account sends five times
// its rate and even the requests within all rates together exceed the capacity of the targets.
func fairness() Scenario {
	return Scenario{
		Name: "fairness", Naive: openPolicy,
		Deployment: deployment.ChueDee().WithTargets(3, "shortlists"),
		Specs:      []Spec{{Name: "worst_account_share", Unit: "share", Note: "served share of the worst-served account that is within its rate"}},
		Run:        runFairness,
	}
}

func runFairness(ctx context.Context, runner Runner, s system) (map[string]float64, error) {
	d := s.deployment
	// Three targets with 9 slots and 48 ms per request serve 560 requests/s; about 650 are within the rates.
	// A fair share is 94 for each account and 185 for the two large ones, which covers all but the noisy account.
	var sources []load.Source
	for _, a := range d.Accounts() {
		t := s.traffic(a, 6)
		if len(t.routes) == 0 {
			continue
		}
		rate := 0.8 * a.Rate
		if a.Name == noisyAccount {
			rate = 5 * a.Rate
		}
		sources = append(sources, t.source(rate))
	}
	if err := s.warmUp(ctx, runner, sources); err != nil {
		return nil, err
	}
	r, err := s.runLoad(ctx, runner.duration(3*time.Second, 15*time.Second), sources, nil)
	if err != nil {
		return nil, err
	}
	worst := 1.0
	for _, a := range d.Accounts() {
		own := r.Account(a.Name)
		if a.Name != noisyAccount && len(own.Responses()) > 0 {
			worst = min(worst, own.Fraction(load.Response.OK))
		}
	}
	return map[string]float64{"worst_account_share": worst}, nil
}
