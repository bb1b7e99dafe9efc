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
	// maxPropagation is the stated target for a configuration change, a revoked key or an evacuation to take effect.
	maxPropagation = 8 * time.Second
	// maxConfirmationAge is the stated confirmation age beyond which a node refuses requests as stale.
	maxConfirmationAge = 5 * time.Second
	// requestTimeout bounds a request; it exceeds the longest pause of a node.
	requestTimeout = 15 * time.Second
	// readyTimeout bounds the wait until a new fleet admits requests; homes may lend no tokens for the first 7 s.
	readyTimeout = 20 * time.Second
	// seed makes arrivals and the choice of entries reproducible.
	seed = 20261204
)

// system is a running fleet and a caller, as one case tests it.
type system struct {
	*fleet.Fleet
	t          *Trial
	deployment deployment.Deployment
	caller     load.Caller
	start      time.Time
	sent       *atomic.Int64 // numbers the requests for unique IDs
}

// newSystem starts a fleet and waits until every node admits requests of every account.
func newSystem(t *Trial, d deployment.Deployment) system {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Settings{Binary: t.binary, Dir: t.TempDir(), Deployment: d})
	require.NoError(t, err)
	s := system{Fleet: f, t: t, deployment: d, caller: load.NewCaller(requestTimeout), start: time.Now(), sent: &atomic.Int64{}}
	t.Cleanup(func() {
		f.Close()
		s.caller.Close()
	})
	require.NoError(t, s.awaitServing(ctx, f.EntryAddrs()...))
	return s
}

// awaitServing waits until each entry has served a request of each account.
func (s system) awaitServing(ctx context.Context, entries ...string) error {
	var wg sync.WaitGroup
	errs := make([]error, len(entries))
	for i, entry := range entries {
		wg.Go(func() {
			for _, a := range s.deployment.Accounts() {
				if len(s.routes(a)) == 0 {
					continue
				}
				var last load.Response
				err := fleet.Poll(ctx, func() bool {
					last = s.caller.Do(ctx, entry, s.requests(a)(0), time.Now())
					return last.OK()
				})
				if err != nil {
					errs[i] = fmt.Errorf("proof: %s serves no request of %s: %s: %w", entry, a.Name, describe(last), err)
				}
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// routes returns the account's routes whose services are deployed.
func (s system) routes(a deployment.Account) []deployment.Route {
	var routes []deployment.Route
	for _, r := range s.deployment.Routes() {
		runs := slices.ContainsFunc(s.deployment.Services(), func(v deployment.Service) bool { return v.Name == r.Service })
		if runs && slices.Contains(a.Routes, r.Name) {
			routes = append(routes, r)
		}
	}
	return routes
}

// requests returns a generator that cycles through the account's routes: reads for idempotent routes, writes for others.
func (s system) requests(a deployment.Account, query ...string) func(int) load.Request {
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

// source returns a source that sends an account's requests to the given entries, or to all if none are given.
func (s system) source(a deployment.Account, rate float64, entries ...string) load.Source {
	if len(entries) == 0 {
		entries = s.EntryAddrs()
	}
	return load.Source{Rate: rate, Entries: entries, Next: s.requests(a)}
}

// runLoad sends load for the given time while steps runs on the calling goroutine.
func (s system) runLoad(length time.Duration, sources []load.Source, steps func()) load.Result {
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

// observation is the state that a node reported to one poll.
type observation struct {
	name            string
	asked, answered time.Time // before the query and after its response
	version         int64
	status          string
}

// watchStates polls the states of all nodes until the returned function is called.
func (s system) watchStates() func() []observation {
	ctx, cancel := context.WithCancel(s.t.Context())
	var wg sync.WaitGroup
	observations := make([][]observation, len(s.Instances()))
	for i, n := range s.Instances() {
		wg.Go(func() {
			tick := time.NewTicker(50 * time.Millisecond)
			defer tick.Stop()
			for ctx.Err() == nil {
				asked := time.Now()
				if state, err := s.State(ctx, n.Name); err == nil {
					observations[i] = append(observations[i], observation{name: n.Name, asked: asked, answered: time.Now(), version: state.Version, status: state.ServeStatus})
				}
				select {
				case <-tick.C:
				case <-ctx.Done():
				}
			}
		})
	}
	return func() []observation {
		cancel()
		wg.Wait()
		return slices.Concat(observations...)
	}
}

// awaitVersion waits until all the given nodes report the version.
func (s system) awaitVersion(version int64, names ...string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), maxPropagation)
	defer cancel()
	for _, name := range names {
		require.NoError(s.t, fleet.Poll(ctx, func() bool {
			state, err := s.State(ctx, name)
			return err == nil && state.Version == version
		}), "version %d at %s", version, name)
	}
}

// names returns the names of the nodes in the given failure domains, or of all nodes if none are given.
func (s system) names(domains ...string) []string {
	var list []string
	for _, n := range s.Instances() {
		if len(domains) == 0 || slices.Contains(domains, n.Domain) {
			list = append(list, n.Name)
		}
	}
	return list
}

// executions returns the executions of all targets.
func (s system) executions() []history.Execution {
	var list []history.Execution
	for _, e := range s.Executions("") {
		list = append(list, history.Execution{ID: e.ID, At: e.At})
	}
	return list
}

// checkHistory fails on lost, crossed and doubled requests and on requests that ran though refused as not run.
// errorAllowed reports whether an injected fault explains a response that broke off.
func (s system) checkHistory(r load.Result, errorAllowed func(load.Response) bool) {
	s.t.Helper()
	codes := []string{"path", "route", "key", "scope", "rate", "stale", "empty", "busy", "domain", "late", "lost", "large", "leaving"}
	ended := map[string]time.Time{}
	for _, resp := range r.Responses() {
		ended[resp.Request.ID] = resp.Ended
		switch {
		case resp.Err != nil:
			require.True(s.t, errorAllowed(resp), "a request failed without a fault that explains it: %s", describe(resp))
		case resp.Execution != "":
			require.Contains(s.t, codes, resp.Code, describe(resp))
			require.Contains(s.t, []string{"no", "maybe"}, resp.Execution, describe(resp))
		case resp.Status >= 400:
			require.NotEmpty(s.t, resp.Target, "neither a refusal nor a target's response: %s", describe(resp))
		default:
			require.Equal(s.t, resp.Request.ID, resp.AnswerID, "crossed: %s", describe(resp))
		}
	}
	calls, executions := r.Calls(), s.executions()
	violations := history.Check(calls, executions)
	require.Empty(s.t, violations.Doubled)
	require.Empty(s.t, violations.Crossed)
	require.Empty(s.t, violations.FalseNotRun)
	known := map[string]bool{}
	for _, c := range calls {
		known[c.ID] = true
	}
	executions = slices.DeleteFunc(executions, func(e history.Execution) bool { return !known[e.ID] })
	require.True(s.t, porcupine.CheckOperations(atMostOnceModel(), operations(s.start, calls, ended, executions)), "the model rejects the history")
}

func noErrorAllowed(load.Response) bool { return false }

func describe(resp load.Response) string {
	return fmt.Sprintf("%s %s at %s after %s: status %d, code %q, run %q, target %q, error %v",
		resp.Request.Method, resp.Request.ID, resp.Entry, resp.Ended.Sub(resp.Started).Round(time.Millisecond), resp.Status, resp.Code, resp.Execution, resp.Target, resp.Err)
}
