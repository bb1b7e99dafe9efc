// Package slope measures the resources that idle nodes use as the numbers of nodes, homes and accounts grow.
package slope

import (
	"context"
	"fmt"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/fleet"
)

// maxNodes keeps a fleet within a few hundred processes and its node numbers within one byte of an address.
const maxNodes = 250

// Size is the size of one fleet.
type Size struct {
	Nodes    int
	Homes    int
	Accounts int // in addition to those of the deployment
}

// SizeError reports a size outside the supported range.
type SizeError struct{ Size Size }

func (e SizeError) Error() string {
	return fmt.Sprintf("slope: %d nodes with %d homes and %d more accounts: 3 to %d nodes and at least one home are required",
		e.Size.Nodes, e.Size.Homes, e.Size.Accounts, maxNodes)
}

// Usage holds the resources that the nodes of one fleet used.
type Usage struct {
	Size               Size
	CPU                float64 // cores, mean over the nodes
	MaxCPU             float64 // cores, largest of any node
	RSS                float64 // MB, mean over the nodes
	MaxRSS             float64
	Bytes              float64       // bytes/s sent and received between nodes, mean over the nodes
	Calls              float64       // calls/s to the configuration service and the instance list, sum over the nodes
	MaxConfirmationAge time.Duration // largest confirmation age of any node at the end
	UpToDate           int           // nodes with the published version at the end
}

// Deployment returns a deployment of the size.
func (s Size) Deployment() (deployment.Deployment, error) {
	if s.Nodes < 3 || s.Nodes > maxNodes || s.Homes < 1 || s.Accounts < 0 {
		return deployment.Deployment{}, SizeError{Size: s}
	}
	return deployment.Abitudini().WithTotalTargets(s.Nodes).WithFirstHomes(min(s.Homes, s.Nodes)).WithMoreAccounts(s.Accounts, "lombardia"), nil
}

// Measure runs an idle fleet and returns the resources that its nodes used between settle and settle + length.
func Measure(ctx context.Context, binary, dir string, s Size, settle, length time.Duration) (Usage, error) {
	d, err := s.Deployment()
	if err != nil {
		return Usage{}, err
	}
	f, err := fleet.Start(ctx, fleet.Settings{Binary: binary, Dir: dir, Deployment: d, NoClientRelay: true})
	if err != nil {
		return Usage{}, fmt.Errorf("slope: starting %d nodes: %w", s.Nodes, err)
	}
	defer f.Close()
	if err := wait(ctx, settle); err != nil {
		return Usage{}, err
	}
	before, err := cpuTimes(f)
	if err != nil {
		return Usage{}, err
	}
	start, bytes, calls := time.Now(), f.ControlBytes(), f.Platform.Calls().Total
	if err := wait(ctx, length); err != nil {
		return Usage{}, err
	}
	elapsed := time.Since(start).Seconds()
	after, err := cpuTimes(f)
	if err != nil {
		return Usage{}, err
	}
	n := float64(s.Nodes)
	u := Usage{Size: s}
	// Each byte counts at its sender and at its receiver.
	u.Bytes = 2 * float64(f.ControlBytes()-bytes) / n / elapsed
	u.Calls = float64(f.Platform.Calls().Total-calls) / elapsed
	for name, used := range after {
		cpu := (used - before[name]).Seconds() / elapsed
		rss, err := f.RSS(name)
		if err != nil {
			return Usage{}, err
		}
		u = u.withNode(cpu, float64(rss)/1e6, n)
	}
	return withState(ctx, f, u)
}

// withNode returns u with the CPU and memory of one of n nodes added.
func (u Usage) withNode(cpu, rss, n float64) Usage {
	u.CPU, u.MaxCPU = u.CPU+cpu/n, max(u.MaxCPU, cpu)
	u.RSS, u.MaxRSS = u.RSS+rss/n, max(u.MaxRSS, rss)
	return u
}

// withState adds the confirmation ages and versions. It must be called after the CPU times are read, because the queries cost
// the nodes CPU time.
func withState(ctx context.Context, f *fleet.Fleet, u Usage) (Usage, error) {
	for _, n := range f.Instances() {
		s, err := f.State(ctx, n.Name)
		if err != nil {
			return Usage{}, err
		}
		u.MaxConfirmationAge = max(u.MaxConfirmationAge, time.Duration(s.ConfirmationAge)*time.Millisecond)
		if s.Version == f.Version() {
			u.UpToDate++
		}
	}
	return u, nil
}

// cpuTimes returns the CPU time that each node has used so far.
func cpuTimes(f *fleet.Fleet) (map[string]time.Duration, error) {
	used := map[string]time.Duration{}
	for _, n := range f.Instances() {
		t, err := f.CPU(n.Name)
		if err != nil {
			return nil, err
		}
		used[n.Name] = t
	}
	return used, nil
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Header names the columns of Usage.Line.
const Header = "nodes homes accounts  cpu_mean  cpu_most rss_mean rss_most bytes_s calls_s age_ms holding"

// Line formats the figures in the columns of Header.
func (u Usage) Line() string {
	return fmt.Sprintf("%5d %5d %8d %9.5f %9.5f %8.1f %8.1f %7.0f %7.1f %6d %7d",
		u.Size.Nodes, u.Size.Homes, u.Size.Accounts, u.CPU, u.MaxCPU, u.RSS, u.MaxRSS, u.Bytes, u.Calls,
		u.MaxConfirmationAge.Milliseconds(), u.UpToDate)
}
