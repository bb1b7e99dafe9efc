package scenario

import (
	"context"
	"time"

	"verbenapin.dev/measure/deployment"
)

// controlPlane measures the resources that a node's control plane uses without traffic: the largest CPU time and memory of
// any node, and the mean traffic between nodes.
func controlPlane() Scenario {
	const note = "without traffic; the bound is that at 1,200 nodes"
	return Scenario{
		Name:       "control",
		Deployment: deployment.Abitudini(), Small: true,
		Specs: []Spec{
			{Name: "control_cpu_share", Unit: "cores", Bound: bound(0.011), Note: note},
			{Name: "control_rss_mb", Unit: "MB", Bound: bound(32), Note: note},
			{Name: "control_bytes_s", Unit: "bytes/s", Bound: bound(5000), Note: "mean of sent and received between nodes; " + note},
		},
		Run: runControlPlane,
	}
}

func runControlPlane(ctx context.Context, runner Runner, s system) (map[string]float64, error) {
	cpu := map[string]time.Duration{}
	for _, n := range s.Instances() {
		used, err := s.CPU(n.Name)
		if err != nil {
			return nil, err
		}
		cpu[n.Name] = used
	}
	start, bytes := time.Now(), s.ControlBytes()
	after(ctx, runner.duration(4*time.Second, 30*time.Second), func() {})
	length := time.Since(start)
	share, memory := 0.0, 0.0
	for _, n := range s.Instances() {
		used, err := s.CPU(n.Name)
		if err != nil {
			return nil, err
		}
		rss, err := s.RSS(n.Name)
		if err != nil {
			return nil, err
		}
		share = max(share, float64(used-cpu[n.Name])/float64(length))
		memory = max(memory, float64(rss)/1e6)
	}
	// Each byte counts at its sender and at its receiver.
	each := 2 * float64(s.ControlBytes()-bytes) / float64(len(s.Instances())) / length.Seconds()
	return map[string]float64{"control_cpu_share": share, "control_rss_mb": memory, "control_bytes_s": each}, ctx.Err()
}
