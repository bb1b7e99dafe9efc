package scenario

import (
	"context"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/history"
)

// refusals measures the requests refused for their rate although their account is within it.
// All requests enter at one node, the case in which a fixed split of the rates refuses most of them.
func refusals() Scenario {
	return Scenario{
		Name: "refusals", Naive: split,
		Deployment: deployment.ChueDee().WithTargets(3, "shortlists"),
		Specs:      []Spec{{Name: "wrongful_refusals", Unit: "share", Note: "of all requests; accounts send 0.8 of their rates through one node"}},
		Run:        runRefusals,
	}
}

func runRefusals(ctx context.Context, b Bench, s site) (map[string]float64, error) {
	d := s.deployment
	sources := s.sources(0.8, 1, s.Entry("a1"))
	if err := s.ramp(ctx, b, sources); err != nil {
		return nil, err
	}
	r, err := s.run(ctx, b.lasts(3*time.Second, 15*time.Second), sources, nil)
	if err != nil {
		return nil, err
	}
	wrongful := 0
	for _, a := range d.Accounts() {
		wrongful += len(history.Wrongful(a.Rate, a.Burst, r.Account(a.Name).Calls()))
	}
	return map[string]float64{"wrongful_refusals": float64(wrongful) / float64(max(1, len(r.Answers())))}, nil
}
