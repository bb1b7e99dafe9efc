// Package scenario measures a fleet under load and faults; each scenario has its own fleet, load, faults and figures.
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
	// requestTimeout bounds a request; it exceeds the longest deadline of ordinary routes.
	requestTimeout = 10 * time.Second
	// readyTimeout bounds the wait until a new fleet admits requests; homes may lend no tokens for the first 7 s.
	readyTimeout = 20 * time.Second
)

// Environment settings that give nodes a naive policy; the default policy needs none.
const (
	roundRobinPolicy = "VERBENAPIN_POLICY=robin"
	openPolicy       = "VERBENAPIN_POLICY=open"
	splitRates       = "VERBENAPIN_RATES=split"
)

// Spec describes a figure; Bound is its stated target, nil if there is none.
type Spec struct {
	Name  string
	Unit  string
	Bound *float64
	Note  string
}

// Scenario is a measurement that yields one or more figures.
type Scenario struct {
	Name          string
	Alone         bool   // needs the machine to itself, since other load would distort its latencies
	Naive         string // environment setting of the naive policy, empty for none
	Deployment    deployment.Deployment
	Small         bool // quick runs use only three targets of each service
	NoClientRelay bool // callers connect to nodes directly, without a relay that adds delay
	Specs         []Spec
	Run           func(ctx context.Context, runner Runner, s system) (map[string]float64, error)
}

// All returns all scenarios in the order in which they are reported.
func All() []Scenario {
	return []Scenario{
		addedLatency(), readLatency(), evacuation(), faults(), configPropagation(), controlPlane(), probe(), coldStart(), fairness(), refusals(), homeDown(), homesDown(), admission(), keyRevocation(), shutdown(),
	}
}

// Runner runs scenarios.
type Runner struct {
	Binary string
	Dir    string
	Plots  string // directory for plots, empty for none
	Quick  bool
	Out    io.Writer
	// SetUp starts the fleet of a scenario; tests replace it.
	SetUp  func(ctx context.Context, runner Runner, c Scenario) (system, error)
	policy string
}

// NewRunner returns a runner for the given node executable.
func NewRunner(binary, dir string, out io.Writer) Runner {
	return Runner{Binary: binary, Dir: dir, Out: out, SetUp: setUp}
}

// WithPolicy returns r with another policy setting for its nodes.
func (r Runner) WithPolicy(setting string) Runner {
	r.policy = setting
	return r
}

// WithDir returns r with another directory.
func (r Runner) WithDir(dir string) Runner {
	r.Dir = dir
	return r
}

// duration returns the duration that applies to the run, quick or full.
func (r Runner) duration(quick, full time.Duration) time.Duration {
	if r.Quick {
		return quick
	}
	return full
}

// plot returns the path of a plot and reports whether to draw it; only runs of the default policy are plotted.
func (r Runner) plot(name string) (string, bool) {
	return filepath.Join(r.Plots, name+".svg"), r.Plots != "" && r.policy == ""
}

// system is a running fleet and a caller, ready for load.
type system struct {
	*fleet.Fleet
	deployment deployment.Deployment
	caller     load.Caller
	sent       *atomic.Int64 // numbers the requests for unique IDs
	label      string
	out        io.Writer
}

// InconclusiveError reports a scenario whose precondition did not occur, so its figures would mean nothing.
type InconclusiveError struct{ Text string }

func (e InconclusiveError) Error() string { return "scenario: " + e.Text }

// setUp starts a scenario's fleet and waits until every node admits requests of every account.
func setUp(ctx context.Context, runner Runner, c Scenario) (system, error) {
	d := c.Deployment
	if c.Small && runner.Quick {
		d = d.WithTargets(len(deployment.Domains))
	}
	settings := fleet.Settings{Binary: runner.Binary, Dir: filepath.Join(runner.Dir, c.Name), Deployment: d, NoClientRelay: c.NoClientRelay}
	if runner.policy != "" {
		settings.Env = []string{runner.policy}
	}
	f, err := fleet.Start(ctx, settings)
	if err != nil {
		return system{}, fmt.Errorf("scenario: setting up %s: %w", c.Name, err)
	}
	s := system{Fleet: f, deployment: d, caller: load.NewCaller(requestTimeout), sent: &atomic.Int64{}, label: c.Name, out: runner.Out}
	if err := s.awaitServing(ctx); err != nil {
		s.close()
		return system{}, err
	}
	return s, nil
}

// close stops the fleet, if there is one, and the caller.
func (s system) close() {
	if s.Fleet == nil {
		return
	}
	s.Close()
	s.caller.Close()
}

// checkLeaks returns an error if an API key or an internal header reached a target, which invalidates the run's figures.
func (s system) checkLeaks() error {
	if s.Fleet == nil {
		return nil
	}
	for _, n := range s.Instances() {
		if r := s.Target(n.Name).Stats(); r.RequestsWithKey > 0 || r.RequestsWithInternalHeader > 0 {
			return fmt.Errorf("scenario: target %s received %d keys and %d internal headers", n.Name, r.RequestsWithKey, r.RequestsWithInternalHeader)
		}
	}
	return nil
}

// awaitServing waits until each entry has served a request of each account.
func (s system) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	entries := s.EntryAddrs()
	errs := make([]error, len(entries))
	var wg sync.WaitGroup
	for i, entry := range entries {
		wg.Go(func() { errs[i] = s.awaitServingAt(ctx, entry) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (s system) awaitServingAt(ctx context.Context, entry string) error {
	for _, a := range s.deployment.Accounts() {
		t := s.traffic(a, 1)
		if len(t.routes) == 0 {
			continue
		}
		var last load.Response
		err := fleet.Poll(ctx, func() bool {
			last = s.caller.Do(ctx, entry, t.next(0), time.Now())
			return last.OK()
		})
		if err != nil {
			return fmt.Errorf("scenario: %s serves no request of %s at %s: status %d, code %q: %w", s.label, a.Name, entry, last.Status, last.Code, err)
		}
	}
	return nil
}

// after calls do on the calling goroutine once d has passed, unless ctx ends first.
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
