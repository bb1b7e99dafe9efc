package proof

import (
	"context"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/fleet"
	"verbenapin.dev/measure/load"
	"verbenapin.dev/measure/platform"
)

const account = "lombardia"

// five is a deployment of five nodes: the homes a1, b1 and c1, and a2 and b2.
func five() deployment.Deployment { return deployment.Abitudini().WithTargets(5, "history") }

// rotated returns the deployment with another key for the account, and the account with that key.
func rotated(d deployment.Deployment) (deployment.Deployment, deployment.Account) {
	d = d.WithKeys(account, deployment.NewKey(account, 2))
	return d, d.Account(account)
}

// stays sends the account's requests to every node, each on one connection, and reports the new connections with the answers.
func (s site) stays() func() (load.Result, int64) {
	var opened atomic.Int64
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if !i.Reused {
			opened.Add(1)
		}
	}}
	s.t.Helper()
	ctx, cancel := context.WithCancel(s.t.Context())
	results := make(chan load.Result, len(s.Instances()))
	served := make([]atomic.Bool, len(s.Instances()))
	for i, n := range s.Instances() {
		caller := load.NewCaller(timeout)
		go func() {
			defer caller.Close()
			var answers []load.Response
			for ctx.Err() == nil {
				answers = append(answers, caller.Do(httptrace.WithClientTrace(s.t.Context(), trace), s.EntryAddr(n.Name), s.requests(s.deployment.Account(account))(0), time.Now()))
				if answers[len(answers)-1].OK() {
					served[i].Store(true)
				}
				s.t.Wait(40 * time.Millisecond)
			}
			results <- load.NewResult(answers)
		}()
	}
	// On a busy machine some requests are refused for load; each caller must have been served before the change.
	await, end := context.WithTimeout(ctx, warmWithin)
	defer end()
	require.NoError(s.t, fleet.Await(await, func() bool {
		for i := range served {
			if !served[i].Load() {
				return false
			}
		}
		return true
	}))
	return func() (load.Result, int64) {
		cancel()
		var r load.Result
		for range s.Instances() {
			r = r.With(<-results)
		}
		s.t.Log(r.Summary())
		return r, opened.Load()
	}
}

// checkRevoked fails if the key worked before for none, or still did for one after the bound.
func (s site) checkRevoked(r load.Result, at time.Time) {
	s.t.Helper()
	for _, n := range s.Instances() {
		var last time.Duration
		served, refused := 0, 0
		for _, a := range r.Answers() {
			if a.Entry != s.EntryAddr(n.Name) {
				continue
			}
			switch since := a.Started.Sub(at); {
			case a.OK():
				served++
				last = max(last, since)
			case since > spreadWithin:
				refused++
			}
		}
		s.t.Logf("%s: the revoked key worked until %s after its change", n.Name, last.Round(time.Millisecond))
		require.Positive(s.t, served, n.Name)
		require.Positive(s.t, refused, "%s was not asked after the bound", n.Name)
		require.LessOrEqual(s.t, last, spreadWithin, n.Name)
	}
}

func keyRevoked(t *Trial) {
	s := newSite(t, five())
	stop := s.stays()
	s.t.Wait(time.Second)
	next, _ := rotated(s.deployment)
	at := time.Now()
	require.NoError(t, s.Publish(next))
	s.t.Wait(spreadWithin + time.Second)
	r, opened := stop()
	s.checkRevoked(r, at)
	require.Equal(t, int64(len(s.Instances())), opened, "the callers did not stay connected")
}

func keyRevokedServiceDown(t *Trial) {
	s := newSite(t, five())
	stop := s.stays()
	s.t.Wait(time.Second)
	down := platform.Faults{Values: platform.EndpointFaults{Down: true}}
	for _, domain := range []string{"b", "c"} {
		require.NoError(t, s.Platform.SetViewFaults(domain, down))
	}
	// a2 is paused until the service is down, so that only the home a1 can read the change.
	require.NoError(t, s.Pause("a2"))
	next, renewed := rotated(s.deployment)
	at := time.Now()
	require.NoError(t, s.Publish(next))
	s.awaitVersion(s.Version(), "a1")
	require.NoError(t, s.Platform.SetFaults(down))
	require.NoError(t, s.Resume("a2"))
	s.t.Wait(time.Until(at.Add(spreadWithin + time.Second)))
	r, _ := stop()
	s.checkRevoked(r, at)
	for _, n := range s.Instances() {
		a := s.caller.Do(t.Context(), s.EntryAddr(n.Name), s.requests(renewed)(0), time.Now())
		require.True(t, a.OK(), describe(a))
	}
}

func keyRevokedCutOff(t *Trial) {
	// Two nodes are in domain c, so that they still hear each other.
	s := newSite(t, deployment.Abitudini().WithTargets(6, "history"))
	stop := s.stays()
	s.t.Wait(time.Second)
	require.NoError(t, s.Platform.SetViewFaults("c", platform.Faults{Values: platform.EndpointFaults{Down: true}, Instances: platform.EndpointFaults{Down: true}}))
	s.Partition("c")
	next, _ := rotated(s.deployment)
	at := time.Now()
	require.NoError(t, s.Publish(next))
	s.t.Wait(spreadWithin + time.Second)
	r, _ := stop()
	s.checkRevoked(r, at)
	for _, a := range r.Answers() {
		if a.Started.Sub(at) > spreadWithin {
			want := "key"
			if a.Entry == s.EntryAddr("c1") || a.Entry == s.EntryAddr("c2") {
				want = "stale"
			}
			require.Equal(t, want, a.Code, describe(a))
		}
	}
}

// checkVersions fails if a node served by a lower version, or if its version went back. A node that was restarted knows nothing:
// until it has heard of the version it may hold the lower one of the service, by which it must not serve.
func (s site) checkVersions(seen []sight, version int64, restarted map[string]time.Time) {
	s.t.Helper()
	served, highest := map[string]int{}, map[string]int64{}
	for _, v := range seen {
		name := v.name
		at, ok := restarted[name]
		switch {
		case ok && v.at.After(at):
			name += " restarted"
		case ok && v.to.After(at):
			continue // either process may have answered
		default:
			require.Equal(s.t, version, v.version, "%s with verdict %s", name, v.verdict)
		}
		require.GreaterOrEqual(s.t, v.version, highest[name], "%s with verdict %s", name, v.verdict)
		highest[name] = v.version
		if v.verdict == "serve" {
			require.Equal(s.t, version, v.version, "%s serves", name)
			served[name]++
		}
	}
	require.Len(s.t, served, len(s.Instances())+len(restarted))
}

func olderVersionServed(t *Trial) {
	s := newSite(t, five())
	old := s.deployment.Account(account)
	next, renewed := rotated(s.deployment)
	require.NoError(t, s.Publish(next))
	s.awaitVersion(s.Version(), s.names()...)
	stop := s.watch()
	require.NoError(t, s.Platform.SetFaults(platform.Faults{Values: platform.EndpointFaults{Stale: 1}}))
	s.t.Wait(time.Second)
	// One node that is no home and then one that is a home restart while the service serves the older version.
	restarted := map[string]time.Time{}
	for _, name := range []string{"a2", "b1"} {
		restarted[name] = time.Now()
		s.Kill(name)
		require.NoError(t, s.StartNode(name))
		end := time.Now().Add(4 * time.Second)
		for time.Now().Before(end) {
			a := s.caller.Do(t.Context(), s.EntryAddr(name), s.requests(old)(0), time.Now())
			require.False(t, a.OK(), "the key of the older version works: %s", describe(a))
			s.t.Wait(10 * time.Millisecond)
		}
		require.NoError(t, s.AwaitReady(t.Context(), name))
	}
	s.t.Wait(2 * time.Second)
	s.checkVersions(stop(), s.Version(), restarted)
	for _, n := range s.Instances() {
		a := s.caller.Do(t.Context(), s.EntryAddr(n.Name), s.requests(renewed)(0), time.Now())
		require.True(t, a.OK(), describe(a))
	}
}

func pausedNode(t *Trial) {
	s := newSite(t, five())
	old := s.deployment.Account(account)
	// a2 is no home and b1 is one; two of three homes go on, so that the others keep serving.
	paused := []string{"a2", "b1"}
	next, renewed := rotated(s.deployment)
	for _, name := range paused {
		require.NoError(t, s.Pause(name))
	}
	// Messages sent before the change wait in the sockets of the paused nodes and are read after it.
	s.t.Wait(2500 * time.Millisecond)
	require.NoError(t, s.Publish(next))
	s.awaitVersion(s.Version(), "a1", "c1", "b2")
	s.t.Wait(evidenceAge - 1500*time.Millisecond)
	// The first requests wait in the sockets, so that they are what the nodes see first.
	answers := make(chan load.Response, 1000)
	const waiting = 20
	for _, name := range paused {
		for range waiting {
			go func() { answers <- s.caller.Do(t.Context(), s.EntryAddr(name), s.requests(old)(0), time.Now()) }()
		}
	}
	s.t.Wait(200 * time.Millisecond)
	require.Empty(t, answers, "a paused node answered")
	for _, name := range paused {
		require.NoError(t, s.Resume(name))
	}
	for range waiting * len(paused) {
		a := <-answers
		require.Contains(t, []string{"stale", "key"}, a.Code, describe(a))
	}
	for _, name := range paused {
		end := time.Now().Add(2 * time.Second)
		for time.Now().Before(end) {
			a := s.caller.Do(t.Context(), s.EntryAddr(name), s.requests(old)(0), time.Now())
			require.Contains(t, []string{"stale", "key"}, a.Code, describe(a))
		}
	}
	s.awaitVersion(s.Version(), s.names()...)
	ctx, cancel := context.WithTimeout(t.Context(), warmWithin)
	defer cancel()
	for _, name := range paused {
		require.NoError(t, s.AwaitReady(ctx, name))
		a := s.caller.Do(ctx, s.EntryAddr(name), s.requests(renewed)(0), time.Now())
		require.NotContains(t, []string{"stale", "key"}, a.Code, describe(a))
	}
}

func serviceOutage(t *Trial) {
	s := newSite(t, five())
	require.NoError(t, s.Platform.SetFaults(platform.Faults{Values: platform.EndpointFaults{Down: true}, Instances: platform.EndpointFaults{Down: true}}))
	at := time.Now()
	stop := s.watch()
	r := s.during(2*evidenceAge+time.Second, []load.Source{s.source(s.deployment.Account(account), 60)}, func() {})
	seen := stop()
	require.NotEmpty(t, seen)
	for _, v := range seen {
		require.Equal(t, "serve", v.verdict, "%s %s after the service went down", v.name, v.at.Sub(at))
	}
	served := map[string]bool{}
	for _, a := range r.Answers() {
		// Refusals for load say nothing of the version; a busy machine causes them with the service up as well.
		require.True(t, a.OK() || slices.Contains([]string{"busy", "late", "rate"}, a.Code), "%s after the service went down: %s", a.Started.Sub(at), describe(a))
		if a.OK() && a.Started.After(at.Add(evidenceAge)) {
			served[a.Entry] = true
		}
	}
	require.Len(t, served, len(s.Instances()))
	s.checkHistory(r, never)
}
