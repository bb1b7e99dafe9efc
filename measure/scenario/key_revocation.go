package scenario

import (
	"context"
	"time"

	"verbenapin.dev/measure/deployment"
)

// keyRevocation measures how long a revoked key is still accepted on connections that stay open. The fleet has more nodes
// than homes, so the version must also propagate from node to node.
func keyRevocation() Scenario {
	return Scenario{
		Name:       "withdrawal",
		Deployment: deployment.Abitudini().WithTargets(7, "history"),
		Specs:      []Spec{{Name: "withdrawn_key_s", Unit: "s", Bound: bound(8), Note: "the bound is that for a configuration change"}},
		Run:        runKeyRevocation,
	}
}

func runKeyRevocation(ctx context.Context, runner Runner, s system) (map[string]float64, error) {
	d := s.deployment
	const account = "lombardia"
	length := runner.duration(3*time.Second, 10*time.Second)
	var published time.Time
	r, err := s.runLoad(ctx, length, s.sources(0.8, 1), func(ctx context.Context) error {
		var err error
		after(ctx, length/4, func() {
			published = time.Now()
			err = s.Publish(d.WithKeys(account, deployment.NewKey(account, 2)))
		})
		return err
	})
	if err != nil {
		return nil, err
	}
	last, refused := published, 0
	for _, resp := range r.Account(account).Responses() {
		if resp.OK() && resp.Started.After(last) {
			last = resp.Started
		}
		if resp.Code == "key" {
			refused++
		}
	}
	if refused == 0 {
		return nil, InconclusiveError{Text: "the revoked key was accepted until the end of the run"}
	}
	return map[string]float64{"withdrawn_key_s": last.Sub(published).Seconds()}, nil
}
