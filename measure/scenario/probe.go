package scenario

import (
	"context"
	"time"

	"verbenapin.dev/measure/deployment"
)

// probe measures the share of a target's time that probes take without traffic, the worst case for probing.
func probe() Scenario {
	return Scenario{
		Name:       "probe",
		Deployment: deployment.Abitudini().WithTargets(3, "history"),
		Specs:      []Spec{{Name: "probe_share", Unit: "share", Bound: bound(0.005), Note: "largest of all targets, without traffic"}},
		Run:        runProbe,
	}
}

func runProbe(ctx context.Context, runner Runner, s system) (map[string]float64, error) {
	before := map[string]time.Duration{}
	for _, n := range s.Instances() {
		before[n.Name] = s.Target(n.Name).Stats().ProbeTime
	}
	start := time.Now()
	worst := 0.0
	// The duration is a multiple of the 1.2 s between probes within the budget, so one probe at the edge causes no excess.
	after(ctx, runner.duration(6*time.Second, 24*time.Second), func() {
		for _, n := range s.Instances() {
			spent := s.Target(n.Name).Stats().ProbeTime - before[n.Name]
			worst = max(worst, float64(spent)/float64(time.Since(start)))
		}
	})
	return map[string]float64{"probe_share": worst}, ctx.Err()
}
