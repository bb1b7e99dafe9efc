package scenario

import (
	"context"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/load"
)

// noisy is the account that sends several times its rate.
const noisy = "bangkok"

// fairness measures how the worst-served account within its rate fares while another one sends five times its rate
// and the requests that are within all rates together exceed what the targets can serve.
func fairness() Scenario {
	return Scenario{
		Name: "fairness", Naive: open,
		Deployment: deployment.ChueDee().WithTargets(3, "shortlists"),
		Specs:      []Spec{{Name: "worst_account_share", Unit: "share", Note: "served share of the worst-served account that is within its rate"}},
		Run:        runFairness,
	}
}

func runFairness(ctx context.Context, b Runner, s site) (map[string]float64, error) {
	d := s.deployment
	// Three targets with 9 slots and 48 ms a request serve 560 requests a second; about 650 are within the rates.
	// A fair share is 94 for each account and 185 for the two large ones, so all but the noisy one can be served in full.
	var sources []load.Source
	for _, a := range d.Accounts() {
		t := s.traffic(a, 6)
		if len(t.routes) == 0 {
			continue
		}
		rate := 0.8 * a.Rate
		if a.Name == noisy {
			rate = 5 * a.Rate
		}
		sources = append(sources, t.source(rate))
	}
	if err := s.ramp(ctx, b, sources); err != nil {
		return nil, err
	}
	r, err := s.run(ctx, b.lasts(3*time.Second, 15*time.Second), sources, nil)
	if err != nil {
		return nil, err
	}
	worst := 1.0
	for _, a := range d.Accounts() {
		own := r.Account(a.Name)
		if a.Name != noisy && len(own.Answers()) > 0 {
			worst = min(worst, own.Share(load.Response.OK))
		}
	}
	return map[string]float64{"worst_account_share": worst}, nil
}
