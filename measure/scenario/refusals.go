package scenario

import (
	"context"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/history"
	"verbenapin.dev/measure/load"
)

const (
	// loadWithinRate is the share of its rate that an account sends when none of its requests may be refused.
	loadWithinRate = 0.8
	// rotationPeriod is how long all traffic enters at one node before it moves to the next.
	rotationPeriod = 300 * time.Millisecond
	// smallAccount has a low rate.
	smallAccount = "small"
)

// refusals measures the requests refused for the rate although their account is within it. All requests of an account enter
// at one node at a time, the case in which a fixed split of the rates refuses most.
func refusals() Scenario {
	const note = "accounts send 0.8 of their rates"
	return Scenario{
		Name: "refusals", Naive: splitRates,
		Deployment: deployment.ChueDee().WithTargets(6, "shortlists").
			WithAccount(deployment.NewAccount(smallAccount, 5, 10, "shortlists")),
		Specs: []Spec{
			{Name: "wrongful_refusals", Unit: "share", Note: "of all requests, through one node; " + note},
			{Name: "wrongful_refusals_hopping", Unit: "share", Note: "the same, at another node each 300 ms"},
			{Name: "wrongful_refusals_small", Unit: "share", Note: "of an account of 5/s in both cases"},
		},
		Run: runRefusals,
	}
}

func runRefusals(ctx context.Context, runner Runner, s system) (map[string]float64, error) {
	sources := s.sources(loadWithinRate, 1, s.EntryAddr("a1"))
	if err := s.warmUp(ctx, runner, sources); err != nil {
		return nil, err
	}
	length := runner.duration(4*time.Second, 15*time.Second)
	one, err := s.runLoad(ctx, length, sources, nil)
	if err != nil {
		return nil, err
	}
	hopping := s.sources(loadWithinRate, 1)
	for i := range hopping {
		hopping[i].RotateEvery = rotationPeriod
	}
	hopped, err := s.runLoad(ctx, length, hopping, nil)
	if err != nil {
		return nil, err
	}
	return map[string]float64{
		"wrongful_refusals":         s.wrongfulShare(one),
		"wrongful_refusals_hopping": s.wrongfulShare(hopped),
		"wrongful_refusals_small":   s.wrongfulShare(one.With(hopped).Account(smallAccount)),
	}, nil
}

// wrongfulShare returns the share of requests that were refused for the rate although their account is within it.
func (s system) wrongfulShare(r load.Result) float64 {
	n := 0
	for _, a := range s.deployment.Accounts() {
		n += len(history.WrongfulRefusals(a.Rate, a.Burst, r.Account(a.Name).Calls()))
	}
	return float64(n) / float64(max(1, len(r.Responses())))
}

// homeDown measures wrongful refusals while one of three homes is down, and with it its share of each account's quota.
func homeDown() Scenario {
	return newHomeDown("homedown", "wrongful_refusals_home", "a1", "b1", "c1")
}

// homesDown is homeDown with six homes, where the lost share is less than the part of the quota that the accounts leave unused.
func homesDown() Scenario {
	return newHomeDown("homesdown", "wrongful_refusals_homes", "a1", "b1", "c1", "a2", "b2", "c2")
}

func newHomeDown(name, figure string, homes ...string) Scenario {
	return Scenario{
		Name: name, Naive: splitRates,
		Deployment: deployment.ChueDee().WithTargets(6, "shortlists").WithHomes(homes...),
		Specs: []Spec{{
			Name: figure, Unit: "share",
			Note: "of all requests sent while one home is dead; 0.8 of the rates through one node",
		}},
		Run: func(ctx context.Context, runner Runner, s system) (map[string]float64, error) {
			return runHomeDown(ctx, runner, s, figure)
		},
	}
}

func runHomeDown(ctx context.Context, runner Runner, s system, figure string) (map[string]float64, error) {
	const killed = "c1"
	sources := s.sources(loadWithinRate, 1, s.EntryAddr("a1"))
	if err := s.warmUp(ctx, runner, sources); err != nil {
		return nil, err
	}
	s.Kill(killed)
	// The bursts of the remaining shares cover the missing one for about 5 s, so the run lasts longer.
	r, err := s.runLoad(ctx, runner.duration(10*time.Second, 20*time.Second), sources, nil)
	if err != nil {
		return nil, err
	}
	return map[string]float64{figure: s.wrongfulShare(r)}, nil
}
