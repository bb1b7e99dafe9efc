package scenario

import (
	"context"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/history"
	"verbenapin.dev/measure/load"
)

const (
	// within is the share of its rate that an account sends when no request of it may be refused.
	within = 0.8
	// hop is how long all traffic stays at one node before it moves on.
	hop = 300 * time.Millisecond
	// small is an account at a low rate.
	small = "small"
)

// refusals measures the requests refused for their rate although their account is within it.
// The requests of an account enter at one node at a time, the case in which a fixed split of the rates refuses most.
func refusals() Scenario {
	const note = "accounts send 0.8 of their rates"
	return Scenario{
		Name: "refusals", Naive: split,
		Deployment: deployment.ChueDee().WithTargets(6, "shortlists").
			WithAccount(deployment.NewAccount(small, 5, 10, "shortlists")),
		Specs: []Spec{
			{Name: "wrongful_refusals", Unit: "share", Note: "of all requests, through one node; " + note},
			{Name: "wrongful_refusals_hopping", Unit: "share", Note: "the same, at another node each 300 ms"},
			{Name: "wrongful_refusals_small", Unit: "share", Note: "of an account of 5/s in both cases"},
		},
		Run: runRefusals,
	}
}

func runRefusals(ctx context.Context, b Runner, s site) (map[string]float64, error) {
	sources := s.sources(within, 1, s.EntryAddr("a1"))
	if err := s.ramp(ctx, b, sources); err != nil {
		return nil, err
	}
	length := b.lasts(4*time.Second, 15*time.Second)
	one, err := s.run(ctx, length, sources, nil)
	if err != nil {
		return nil, err
	}
	hopping := s.sources(within, 1)
	for i := range hopping {
		hopping[i].RotateEvery = hop
	}
	hopped, err := s.run(ctx, length, hopping, nil)
	if err != nil {
		return nil, err
	}
	return map[string]float64{
		"wrongful_refusals":         s.wrongful(one),
		"wrongful_refusals_hopping": s.wrongful(hopped),
		"wrongful_refusals_small":   s.wrongful(one.With(hopped).Account(small)),
	}, nil
}

// wrongful returns the share of requests that were refused for their rate although their account is within it.
func (s site) wrongful(r load.Result) float64 {
	n := 0
	for _, a := range s.deployment.Accounts() {
		n += len(history.WrongfulRefusals(a.Rate, a.Burst, r.Account(a.Name).Calls()))
	}
	return float64(n) / float64(max(1, len(r.Answers())))
}

// homeDown measures wrongful refusals while one of three homes is dead, and its share of each account with it.
func homeDown() Scenario {
	return homeDownOf("homedown", "wrongful_refusals_home", "a1", "b1", "c1")
}

// homesDown is the same with six homes, whose single share is less than what the accounts leave unused.
func homesDown() Scenario {
	return homeDownOf("homesdown", "wrongful_refusals_homes", "a1", "b1", "c1", "a2", "b2", "c2")
}

func homeDownOf(name, figure string, homes ...string) Scenario {
	return Scenario{
		Name: name, Naive: split,
		Deployment: deployment.ChueDee().WithTargets(6, "shortlists").WithHomes(homes...),
		Specs: []Spec{{
			Name: figure, Unit: "share",
			Note: "of all requests sent while one home is dead; 0.8 of the rates through one node",
		}},
		Run: func(ctx context.Context, b Runner, s site) (map[string]float64, error) {
			return runHomeDown(ctx, b, s, figure)
		},
	}
}

func runHomeDown(ctx context.Context, b Runner, s site, figure string) (map[string]float64, error) {
	const killed = "c1"
	sources := s.sources(within, 1, s.EntryAddr("a1"))
	if err := s.ramp(ctx, b, sources); err != nil {
		return nil, err
	}
	s.Kill(killed)
	// The remaining shares' bursts cover the missing share for about 5 s.
	r, err := s.run(ctx, b.lasts(10*time.Second, 20*time.Second), sources, nil)
	if err != nil {
		return nil, err
	}
	return map[string]float64{figure: s.wrongful(r)}, nil
}
