// Package scenario measures the system under load and faults; each scenario has its own fleet, load, fault and figures.
package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/fleet"
	"verbenapin.dev/measure/load"
)

const (
	// timeout bounds a request; it is longer than the longest deadline of ordinary routes.
	timeout = 10 * time.Second
	// warmWithin bounds the wait until a fresh fleet admits requests: homes lend tokens only after 7 s in the worst case.
	warmWithin = 20 * time.Second
)

// Policies of nodes; the own policy is the empty one.
const (
	robin = "VERBENAPIN_POLICY=robin"
	open  = "VERBENAPIN_POLICY=open"
	split = "VERBENAPIN_RATES=split"
)

// Spec names a figure and its bound from the stated targets, if there is one.
type Spec struct {
	Name  string
	Unit  string
	Bound *float64
	Note  string
}

// Scenario is one measurement.
type Scenario struct {
	Name       string
	Alone      bool   // measures times, so no other load may run meanwhile
	Naive      string // setting of the naive policy, empty if there is none
	Deployment deployment.Deployment
	Small      bool // quick runs have only three targets of each service
	Direct     bool // callers connect to nodes without a delay
	Specs      []Spec
	Run        func(ctx context.Context, b Runner, s site) (map[string]float64, error)
}

// All returns all scenarios in the order in which they run.
func All() []Scenario {
	return []Scenario{
		added(), read(), evacuation(), faults(), spread(), control(), probe(), cold(), fairness(), refusals(), homeDown(), homesDown(), admission(), withdrawal(), shutdown(),
	}
}

// Runner is what a scenario runs with.
type Runner struct {
	Binary string
	Dir    string
	Plots  string // directory for plots, empty for none
	Quick  bool
	Out    io.Writer
	// SetUp starts a scenario's fleet; tests replace it.
	SetUp  func(ctx context.Context, b Runner, c Scenario) (site, error)
	policy string
}

// NewBench returns a bench that runs the given node program.
func NewBench(binary, dir string, out io.Writer) Runner {
	return Runner{Binary: binary, Dir: dir, Out: out, SetUp: setUp}
}

// WithPolicy returns b with another policy of the nodes.
func (b Runner) WithPolicy(setting string) Runner {
	b.policy = setting
	return b
}

// WithDir returns b with another directory.
func (b Runner) WithDir(dir string) Runner {
	b.Dir = dir
	return b
}

// lasts returns a duration for quick or for full runs.
func (b Runner) lasts(quick, full time.Duration) time.Duration {
	if b.Quick {
		return quick
	}
	return full
}

// plot returns the path of a plot, or false if none is to be drawn; only the own policy's run draws.
func (b Runner) plot(name string) (string, bool) {
	return filepath.Join(b.Plots, name+".svg"), b.Plots != "" && b.policy == ""
}

// site is a fleet with a caller, ready for load.
type site struct {
	*fleet.Fleet
	deployment deployment.Deployment
	caller     load.Caller
	sent       *atomic.Int64 // numbers requests, so that their ids are unique
	label      string
	out        io.Writer
}

// NothingError reports a scenario whose condition did not occur, so that its figures would say nothing.
type NothingError struct{ Text string }

func (e NothingError) Error() string { return "scenario: " + e.Text }

// setUp starts a scenario's fleet and waits until every node admits requests of every account.
func setUp(ctx context.Context, b Runner, c Scenario) (site, error) {
	d := c.Deployment
	if c.Small && b.Quick {
		d = d.WithTargets(len(deployment.Domains))
	}
	settings := fleet.Settings{Binary: b.Binary, Dir: filepath.Join(b.Dir, c.Name), Deployment: d, NoClientRelay: c.Direct}
	if b.policy != "" {
		settings.Env = []string{b.policy}
	}
	f, err := fleet.Start(ctx, settings)
	if err != nil {
		return site{}, fmt.Errorf("scenario: setting up %s: %w", c.Name, err)
	}
	s := site{Fleet: f, deployment: d, caller: load.NewCaller(timeout), sent: &atomic.Int64{}, label: c.Name, out: b.Out}
	if err := s.warm(ctx); err != nil {
		s.close()
		return site{}, err
	}
	return s, nil
}

// close ends the fleet, if there is one.
func (s site) close() {
	if s.Fleet == nil {
		return
	}
	s.Close()
	s.caller.Close()
}

// leaked returns an error if a key or an internal header has reached a target; no figure of such a run counts.
func (s site) leaked() error {
	if s.Fleet == nil {
		return nil
	}
	for _, n := range s.Instances() {
		if r := s.Target(n.Name).Stats(); r.RequestsWithKey > 0 || r.RequestsWithInternalHeader > 0 {
			return fmt.Errorf("scenario: target %s saw %d keys and %d internal headers", n.Name, r.RequestsWithKey, r.RequestsWithInternalHeader)
		}
	}
	return nil
}

// warm waits until one request of each account was served at each entry.
func (s site) warm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmWithin)
	defer cancel()
	entries := s.EntryAddrs()
	errs := make([]error, len(entries))
	var all sync.WaitGroup
	for i, entry := range entries {
		all.Go(func() { errs[i] = s.warmEntry(ctx, entry) })
	}
	all.Wait()
	return errors.Join(errs...)
}

func (s site) warmEntry(ctx context.Context, entry string) error {
	for _, a := range s.deployment.Accounts() {
		t := s.traffic(a, 1)
		if len(t.routes) == 0 {
			continue
		}
		var last load.Response
		err := fleet.Await(ctx, func() bool {
			last = s.caller.Do(ctx, entry, t.next(0), time.Now())
			return last.OK()
		})
		if err != nil {
			return fmt.Errorf("scenario: %s serves no request of %s at %s: status %d, code %q: %w", s.label, a.Name, entry, last.Status, last.Code, err)
		}
	}
	return nil
}

// after runs do on the calling goroutine once d has passed, unless ctx ends first.
func after(ctx context.Context, d time.Duration, do func()) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		do()
	case <-ctx.Done():
	}
}

func bound(v float64) *float64 { return &v }
