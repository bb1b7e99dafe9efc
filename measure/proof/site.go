package proof

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/fleet"
	"verbenapin.dev/measure/history"
	"verbenapin.dev/measure/load"
)

const (
	// spreadWithin is the stated target for a configuration change, a withdrawn key and an evacuation.
	spreadWithin = 8 * time.Second
	// evidenceAge is the stated age of evidence beyond which a node refuses as stale.
	evidenceAge = 5 * time.Second
	// timeout bounds a request; no node is paused for as long.
	timeout = 15 * time.Second
	// warmWithin bounds the wait until a fresh fleet admits requests: homes lend tokens only after 7 s in the worst case.
	warmWithin = 20 * time.Second
	// seed makes arrivals and the choice of entries repeatable.
	seed = 20261204
)

// site is a fleet with a caller, of one case.
type site struct {
	*fleet.Fleet
	t          *Trial
	deployment deployment.Deployment
	caller     load.Caller
	start      time.Time
	sent       *atomic.Int64 // numbers requests, so that their ids are unique
}

// newSite starts a fleet and waits until every node admits requests of every account.
func newSite(t *Trial, d deployment.Deployment) site {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), warmWithin)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Settings{Binary: t.binary, Dir: t.TempDir(), Deployment: d})
	require.NoError(t, err)
	s := site{Fleet: f, t: t, deployment: d, caller: load.NewCaller(timeout), start: time.Now(), sent: &atomic.Int64{}}
	t.Cleanup(func() {
		f.Close()
		s.caller.Close()
	})
	require.NoError(t, s.warm(ctx, f.EntryAddrs()...))
	return s
}

// warm waits until one request of each account was served at each entry.
func (s site) warm(ctx context.Context, entries ...string) error {
	var all sync.WaitGroup
	errs := make([]error, len(entries))
	for i, entry := range entries {
		all.Go(func() {
			for _, a := range s.deployment.Accounts() {
				if len(s.routes(a)) == 0 {
					continue
				}
				var last load.Response
				err := fleet.Await(ctx, func() bool {
					last = s.caller.Do(ctx, entry, s.requests(a)(0), time.Now())
					return last.OK()
				})
				if err != nil {
					errs[i] = fmt.Errorf("proof: %s serves nothing to %s: %s, %w", entry, a.Name, describe(last), err)
				}
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// routes returns the routes of an account whose services run.
func (s site) routes(a deployment.Account) []deployment.Route {
	var routes []deployment.Route
	for _, r := range s.deployment.Routes() {
		runs := slices.ContainsFunc(s.deployment.Services(), func(v deployment.Service) bool { return v.Name == r.Service })
		if runs && slices.Contains(a.Routes, r.Name) {
			routes = append(routes, r)
		}
	}
	return routes
}

// requests returns reads for idempotent routes and writes for the others, over all routes of the account whose services run.
func (s site) requests(a deployment.Account, query ...string) func(int) load.Request {
	routes := s.routes(a)
	return func(int) load.Request {
		n := s.sent.Add(1)
		route := routes[int(n)%len(routes)]
		r := load.Request{
			ID: fmt.Sprintf("proof-%d", n), Account: a.Name, Key: a.Keys[0], Host: s.deployment.Host, Method: "GET",
			Path: fmt.Sprintf("%s/%d?n=%d", route.Path, n, n), Idempotent: route.Idempotent,
		}
		if !route.Idempotent {
			r.Method, r.Body = "POST", fmt.Sprintf(`{"n":%d}`, n)
		}
		for _, q := range query {
			r.Path += "&" + q
		}
		return r
	}
}

// source sends an account's requests at a rate to the given entries, or to all.
func (s site) source(a deployment.Account, rate float64, entries ...string) load.Source {
	if len(entries) == 0 {
		entries = s.EntryAddrs()
	}
	return load.Source{Rate: rate, Entries: entries, Next: s.requests(a)}
}

// during sends load for the given time, and meanwhile runs the steps on the calling goroutine.
func (s site) during(length time.Duration, sources []load.Source, steps func()) load.Result {
	s.t.Helper()
	done := make(chan load.Result, 1)
	ctx, cancel := context.WithCancel(s.t.Context())
	defer cancel()
	go func() { done <- s.caller.Run(ctx, load.Plan{Sources: sources, Duration: length, Seed: seed}) }()
	steps()
	r := <-done
	s.t.Log(r.Summary())
	require.Zero(s.t, r.Skipped())
	return r
}

// sight is a state as a node reported it.
type sight struct {
	name    string
	at, to  time.Time // before the state was asked for, and after its answer
	version int64
	verdict string
}

// watch polls the states of all nodes until the returned function is called.
func (s site) watch() func() []sight {
	ctx, cancel := context.WithCancel(s.t.Context())
	var all sync.WaitGroup
	seen := make([][]sight, len(s.Instances()))
	for i, n := range s.Instances() {
		all.Go(func() {
			tick := time.NewTicker(50 * time.Millisecond)
			defer tick.Stop()
			for ctx.Err() == nil {
				at := time.Now()
				if state, err := s.State(ctx, n.Name); err == nil {
					seen[i] = append(seen[i], sight{name: n.Name, at: at, to: time.Now(), version: state.Version, verdict: state.ServeStatus})
				}
				select {
				case <-tick.C:
				case <-ctx.Done():
				}
			}
		})
	}
	return func() []sight {
		cancel()
		all.Wait()
		return slices.Concat(seen...)
	}
}

// awaitVersion waits until all given nodes report the version.
func (s site) awaitVersion(version int64, names ...string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), spreadWithin)
	defer cancel()
	for _, name := range names {
		require.NoError(s.t, fleet.Await(ctx, func() bool {
			state, err := s.State(ctx, name)
			return err == nil && state.Version == version
		}), "version %d at %s", version, name)
	}
}

// names returns the names of all nodes, or of those in the given failure domains.
func (s site) names(domains ...string) []string {
	var list []string
	for _, n := range s.Instances() {
		if len(domains) == 0 || slices.Contains(domains, n.Domain) {
			list = append(list, n.Name)
		}
	}
	return list
}

// executions returns what targets ran, as part of a history.
func (s site) executions() []history.Execution {
	var list []history.Execution
	for _, e := range s.Executions("") {
		list = append(list, history.Execution{ID: e.ID, At: e.At})
	}
	return list
}

// checkHistory fails on lost, mixed and doubled requests and on false "not run"; down tells whether an entry was killed
// while a request to it was outstanding, which allows an error.
func (s site) checkHistory(r load.Result, down func(load.Response) bool) {
	s.t.Helper()
	codes := []string{"path", "route", "key", "scope", "rate", "stale", "empty", "busy", "domain", "late", "lost", "large", "leaving"}
	ended := map[string]time.Time{}
	for _, a := range r.Answers() {
		ended[a.Request.ID] = a.Ended
		switch {
		case a.Err != nil:
			require.True(s.t, down(a), "an entry that was not killed broke a request: %s", describe(a))
		case a.Execution != "":
			require.Contains(s.t, codes, a.Code, describe(a))
			require.Contains(s.t, []string{"no", "maybe"}, a.Execution, describe(a))
		case a.Status >= 400:
			require.NotEmpty(s.t, a.Target, "neither refusal nor a target's answer: %s", describe(a))
		default:
			require.Equal(s.t, a.Request.ID, a.AnswerID, "mixed: %s", describe(a))
		}
	}
	calls, executions := r.Calls(), s.executions()
	f := history.Check(calls, executions)
	require.Empty(s.t, f.Doubled)
	require.Empty(s.t, f.Crossed)
	require.Empty(s.t, f.FalseNotRun)
	known := map[string]bool{}
	for _, c := range calls {
		known[c.ID] = true
	}
	executions = slices.DeleteFunc(executions, func(e history.Execution) bool { return !known[e.ID] })
	require.True(s.t, porcupine.CheckOperations(onceModel(), operations(s.start, calls, ended, executions)), "the history is not allowed by the model")
}

func never(load.Response) bool { return false }

func describe(a load.Response) string {
	return fmt.Sprintf("%s %s at %s after %s: status %d, code %q, run %q, target %q, error %v",
		a.Request.Method, a.Request.ID, a.Entry, a.Ended.Sub(a.Started).Round(time.Millisecond), a.Status, a.Code, a.Execution, a.Target, a.Err)
}
