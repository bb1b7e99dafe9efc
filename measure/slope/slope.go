// Package slope measures what idle nodes use as a fleet, its homes and its accounts grow.
package slope

import (
	"context"
	"fmt"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/fleet"
)

// maxNodes keeps a fleet within a few hundred processes, and its addresses within one byte.
const maxNodes = 250

// Size is the size of one fleet.
type Size struct {
	Nodes    int
	Homes    int
	Accounts int // in addition to those of the deployment
}

// SizeError reports a size that no fleet can have.
type SizeError struct{ Size Size }

func (e SizeError) Error() string {
	return fmt.Sprintf("slope: %d nodes with %d homes and %d more accounts: 3 to %d nodes and at least one home are required",
		e.Size.Nodes, e.Size.Homes, e.Size.Accounts, maxNodes)
}

// Use is what the nodes of one fleet used.
type Use struct {
	Size     Size
	CPU      float64 // cores, mean over the nodes
	MostCPU  float64 // cores, of the node that used most
	RSS      float64 // MB, mean over the nodes
	MostRSS  float64
	Bytes    float64       // bytes a second sent and received between nodes, mean over the nodes
	Calls    float64       // calls a second on the configuration service and the instance list, over all nodes
	MostAge  time.Duration // oldest evidence of any node at the end
	Versions int           // nodes that hold the published version at the end
}

// Deployment returns the deployment of a size.
func (s Size) Deployment() (deployment.Deployment, error) {
	if s.Nodes < 3 || s.Nodes > maxNodes || s.Homes < 1 || s.Accounts < 0 {
		return deployment.Deployment{}, SizeError{Size: s}
	}
	return deployment.Abitudini().WithNodes(s.Nodes).WithFirstHomes(min(s.Homes, s.Nodes)).WithMoreAccounts(s.Accounts, "lombardia"), nil
}

// Measure runs an idle fleet and returns what its nodes used between settle and settle + length.
func Measure(ctx context.Context, binary, dir string, s Size, settle, length time.Duration) (Use, error) {
	d, err := s.Deployment()
	if err != nil {
		return Use{}, err
	}
	f, err := fleet.Start(ctx, fleet.Settings{Binary: binary, Dir: dir, Deployment: d, NoClientRelay: true})
	if err != nil {
		return Use{}, fmt.Errorf("slope: starting %d nodes: %w", s.Nodes, err)
	}
	defer f.Close()
	if err := wait(ctx, settle); err != nil {
		return Use{}, err
	}
	before, err := processors(f)
	if err != nil {
		return Use{}, err
	}
	start, bytes, calls := time.Now(), f.ControlBytes(), f.Platform.Calls().Total
	if err := wait(ctx, length); err != nil {
		return Use{}, err
	}
	elapsed := time.Since(start).Seconds()
	after, err := processors(f)
	if err != nil {
		return Use{}, err
	}
	n := float64(s.Nodes)
	u := Use{Size: s}
	// Each byte is sent by one node and received by another.
	u.Bytes = 2 * float64(f.ControlBytes()-bytes) / n / elapsed
	u.Calls = float64(f.Platform.Calls().Total-calls) / elapsed
	for name, used := range after {
		cpu := (used - before[name]).Seconds() / elapsed
		rss, err := f.RSS(name)
		if err != nil {
			return Use{}, err
		}
		u = u.withNode(cpu, float64(rss)/1e6, n)
	}
	return withState(ctx, f, u)
}

func (u Use) withNode(cpu, rss, n float64) Use {
	u.CPU, u.MostCPU = u.CPU+cpu/n, max(u.MostCPU, cpu)
	u.RSS, u.MostRSS = u.RSS+rss/n, max(u.MostRSS, rss)
	return u
}

// withState is called after the other figures are read, because the question costs a node processor time.
func withState(ctx context.Context, f *fleet.Fleet, u Use) (Use, error) {
	for _, n := range f.Instances() {
		s, err := f.State(ctx, n.Name)
		if err != nil {
			return Use{}, err
		}
		u.MostAge = max(u.MostAge, time.Duration(s.ConfirmationAge)*time.Millisecond)
		if s.Version == f.Version() {
			u.Versions++
		}
	}
	return u, nil
}

func processors(f *fleet.Fleet) (map[string]time.Duration, error) {
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

// Header names the columns of Line.
const Header = "nodes homes accounts  cpu_mean  cpu_most rss_mean rss_most bytes_s calls_s age_ms holding"

// Line returns the figures in columns.
func (u Use) Line() string {
	return fmt.Sprintf("%5d %5d %8d %9.5f %9.5f %8.1f %8.1f %7.0f %7.1f %6d %7d",
		u.Size.Nodes, u.Size.Homes, u.Size.Accounts, u.CPU, u.MostCPU, u.RSS, u.MostRSS, u.Bytes, u.Calls,
		u.MostAge.Milliseconds(), u.Versions)
}
