package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/history"
	"verbenapin.dev/measure/load"
)

// seed makes arrivals and the choice of entries reproducible.
const seed = 20261204

// traffic generates the requests of one account.
type traffic struct {
	system  system
	account deployment.Account
	routes  []deployment.Route
	cost    float64
	bytes   int
}

// traffic returns traffic of the given cost for the account's routes whose services are deployed.
func (s system) traffic(a deployment.Account, cost float64) traffic {
	t := traffic{system: s, account: a, cost: cost}
	for _, r := range s.deployment.Routes() {
		runs := slices.ContainsFunc(s.deployment.Services(), func(v deployment.Service) bool { return v.Name == r.Service })
		if runs && slices.Contains(a.Routes, r.Name) {
			t.routes = append(t.routes, r)
		}
	}
	return t
}

// WithRoutes returns t with only the given routes.
func (t traffic) WithRoutes(names ...string) traffic {
	var routes []deployment.Route
	for _, r := range t.routes {
		if slices.Contains(names, r.Name) {
			routes = append(routes, r)
		}
	}
	t.routes = routes
	return t
}

// WithBytes returns t with responses of n bytes.
func (t traffic) WithBytes(n int) traffic {
	t.bytes = n
	return t
}

// WithoutKey returns t without an API key, for requests sent directly to a target.
func (t traffic) WithoutKey() traffic {
	t.account.Keys = nil
	return t
}

// next returns a request to a random route: a read if the route is idempotent, a write otherwise. Its ID is unique in the system.
func (t traffic) next(int) load.Request {
	n := t.system.sent.Add(1)
	route := t.routes[rand.IntN(len(t.routes))] //nolint:gosec // no secret depends on it
	r := load.Request{
		ID: fmt.Sprintf("%s-%d", t.system.label, n), Account: t.account.Name, Host: t.system.deployment.Host,
		Path: fmt.Sprintf("%s/%d?cost=%g", route.Path, n, t.cost), Method: "GET", Idempotent: route.Idempotent,
	}
	if len(t.account.Keys) > 0 {
		r.Key = t.account.Keys[0]
	}
	if t.bytes > 0 {
		r.Path += fmt.Sprintf("&bytes=%d", t.bytes)
	}
	if !route.Idempotent {
		r.Method, r.Body = "POST", fmt.Sprintf(`{"n":%d}`, n)
	}
	return r
}

// source returns a source that sends the requests to the given entries, or to all if none are given.
func (t traffic) source(rate float64, entries ...string) load.Source {
	if len(entries) == 0 {
		entries = t.system.EntryAddrs()
	}
	return load.Source{Rate: rate, Entries: entries, Next: t.next}
}

// sources returns a source for each account, which sends a share of the account's rate.
func (s system) sources(share, cost float64, entries ...string) []load.Source {
	var list []load.Source
	for _, a := range s.deployment.Accounts() {
		if t := s.traffic(a, cost); len(t.routes) > 0 {
			list = append(list, t.source(share*a.Rate, entries...))
		}
	}
	return list
}

// runLoad sends load while steps runs on the calling goroutine.
func (s system) runLoad(ctx context.Context, length time.Duration, sources []load.Source, steps func(ctx context.Context) error) (load.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan load.Result, 1)
	go func() { done <- s.caller.Run(ctx, load.Plan{Sources: sources, Duration: length, Seed: seed}) }()
	var err error
	if steps != nil {
		if err = steps(ctx); err != nil {
			cancel()
		}
	}
	r := <-done
	_, _ = fmt.Fprintf(s.out, "%s: %s\n", s.label, r.Summary())
	if err == nil {
		err = ctx.Err()
	}
	if err == nil && r.Skipped() > 0 {
		err = fmt.Errorf("scenario: %s: %d requests were not sent because too many were outstanding", s.label, r.Skipped())
	}
	return r, err
}

// warmUp sends unmeasured load, so that the nodes learn the capacity of their targets.
func (s system) warmUp(ctx context.Context, runner Runner, sources []load.Source) error {
	_, err := s.runLoad(ctx, runner.duration(1500*time.Millisecond, 4*time.Second), sources, nil)
	return err
}

// executions returns the executions of all targets.
func (s system) executions() []history.Execution {
	var list []history.Execution
	for _, e := range s.Executions("") {
		list = append(list, history.Execution{ID: e.ID, At: e.At})
	}
	return list
}

// failed reports whether a response is an error for its caller; refusals for the rate are not.
func failed(resp load.Response) bool { return !resp.OK() && resp.Code != "rate" }
