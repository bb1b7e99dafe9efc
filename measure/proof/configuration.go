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

// accountName is the account that these cases send as.
const accountName = "lombardia"

// fiveNodes returns a deployment of five nodes: the homes a1, b1 and c1, and a2 and b2.
func fiveNodes() deployment.Deployment { return deployment.Abitudini().WithTargets(5, "history") }

// withRotatedKey returns the deployment with a new key for the account, and the account with that key.
func withRotatedKey(d deployment.Deployment) (deployment.Deployment, deployment.Account) {
	d = d.WithKeys(accountName, deployment.NewKey(accountName, 2))
	return d, d.Account(accountName)
}

// startPersistentCallers sends the account's requests to every node, each over one kept-alive connection. The returned
// function stops them and returns the responses and the number of connections that were opened.
func (s system) startPersistentCallers() func() (load.Result, int64) {
	var newConns atomic.Int64
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if !i.Reused {
			newConns.Add(1)
		}
	}}
	s.t.Helper()
	ctx, cancel := context.WithCancel(s.t.Context())
	results := make(chan load.Result, len(s.Instances()))
	served := make([]atomic.Bool, len(s.Instances()))
	for i, n := range s.Instances() {
		caller := load.NewCaller(requestTimeout)
		go func() {
			defer caller.Close()
			var responses []load.Response
			for ctx.Err() == nil {
				responses = append(responses, caller.Do(httptrace.WithClientTrace(s.t.Context(), trace), s.EntryAddr(n.Name), s.requests(s.deployment.Account(accountName))(0), time.Now()))
				if responses[len(responses)-1].OK() {
					served[i].Store(true)
				}
				s.t.Wait(40 * time.Millisecond)
			}
			results <- load.NewResult(responses)
		}()
	}
	// Each caller must be served before the change; on a busy machine some of its first requests are refused for load.
	waitCtx, cancelWait := context.WithTimeout(ctx, readyTimeout)
	defer cancelWait()
	require.NoError(s.t, fleet.Poll(waitCtx, func() bool {
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
		return r, newConns.Load()
	}
}

// checkRevoked fails if a node never accepted the key, still accepted it after the bound, or got no request after it.
func (s system) checkRevoked(r load.Result, changedAt time.Time) {
	s.t.Helper()
	for _, n := range s.Instances() {
		var last time.Duration
		served, refused := 0, 0
		for _, resp := range r.Responses() {
			if resp.Entry != s.EntryAddr(n.Name) {
				continue
			}
			switch since := resp.Started.Sub(changedAt); {
			case resp.OK():
				served++
				last = max(last, since)
			case since > maxPropagation:
				refused++
			}
		}
		s.t.Logf("%s: the revoked key worked until %s after its change", n.Name, last.Round(time.Millisecond))
		require.Positive(s.t, served, n.Name)
		require.Positive(s.t, refused, "%s got no request after the bound", n.Name)
		require.LessOrEqual(s.t, last, maxPropagation, n.Name)
	}
}

// keyRevoked revokes a key while callers stay connected.
func keyRevoked(t *Trial) {
	s := newSystem(t, fiveNodes())
	stop := s.startPersistentCallers()
	s.t.Wait(time.Second)
	next, _ := withRotatedKey(s.deployment)
	publishedAt := time.Now()
	require.NoError(t, s.Publish(next))
	s.t.Wait(maxPropagation + time.Second)
	r, newConns := stop()
	s.checkRevoked(r, publishedAt)
	require.Equal(t, int64(len(s.Instances())), newConns, "the callers did not stay connected")
}

// keyRevokedServiceDown revokes a key that one home reads before the configuration service goes down.
func keyRevokedServiceDown(t *Trial) {
	s := newSystem(t, fiveNodes())
	stop := s.startPersistentCallers()
	s.t.Wait(time.Second)
	down := platform.Faults{Values: platform.EndpointFaults{Down: true}}
	for _, domain := range []string{"b", "c"} {
		require.NoError(t, s.Platform.SetViewFaults(domain, down))
	}
	// The service is down for domains b and c and a2 is paused until it is down for all, so only the home a1 reads the change.
	require.NoError(t, s.Pause("a2"))
	next, renewed := withRotatedKey(s.deployment)
	publishedAt := time.Now()
	require.NoError(t, s.Publish(next))
	s.awaitVersion(s.Version(), "a1")
	require.NoError(t, s.Platform.SetFaults(down))
	require.NoError(t, s.Resume("a2"))
	s.t.Wait(time.Until(publishedAt.Add(maxPropagation + time.Second)))
	r, _ := stop()
	s.checkRevoked(r, publishedAt)
	for _, n := range s.Instances() {
		a := s.caller.Do(t.Context(), s.EntryAddr(n.Name), s.requests(renewed)(0), time.Now())
		require.True(t, a.OK(), describe(a))
	}
}

// keyRevokedCutOff revokes a key while a failure domain is cut off from the other nodes and from the service.
func keyRevokedCutOff(t *Trial) {
	// Domain c has two nodes, which still reach each other.
	s := newSystem(t, deployment.Abitudini().WithTargets(6, "history"))
	stop := s.startPersistentCallers()
	s.t.Wait(time.Second)
	require.NoError(t, s.Platform.SetViewFaults("c", platform.Faults{Values: platform.EndpointFaults{Down: true}, Instances: platform.EndpointFaults{Down: true}}))
	s.Partition("c")
	next, _ := withRotatedKey(s.deployment)
	publishedAt := time.Now()
	require.NoError(t, s.Publish(next))
	s.t.Wait(maxPropagation + time.Second)
	r, _ := stop()
	s.checkRevoked(r, publishedAt)
	for _, resp := range r.Responses() {
		if resp.Started.Sub(publishedAt) > maxPropagation {
			want := "key"
			if resp.Entry == s.EntryAddr("c1") || resp.Entry == s.EntryAddr("c2") {
				want = "stale"
			}
			require.Equal(t, want, resp.Code, describe(resp))
		}
	}
}

// checkVersions fails if a node serves by a version lower than the given one, or if its version goes back. A restarted node may
// hold the lower version of the service until a peer tells it of the newer one, but must not serve by it.
func (s system) checkVersions(observations []observation, version int64, restarted map[string]time.Time) {
	s.t.Helper()
	served, highest := map[string]int{}, map[string]int64{}
	for _, v := range observations {
		name := v.name
		restartedAt, ok := restarted[name]
		switch {
		case ok && v.asked.After(restartedAt):
			name += " restarted"
		case ok && v.answered.After(restartedAt):
			continue // the old or the new process may have answered
		default:
			require.Equal(s.t, version, v.version, "%s with status %s", name, v.status)
		}
		require.GreaterOrEqual(s.t, v.version, highest[name], "%s with status %s", name, v.status)
		highest[name] = v.version
		if v.status == "serve" {
			require.Equal(s.t, version, v.version, "%s serves", name)
			served[name]++
		}
	}
	require.Len(s.t, served, len(s.Instances())+len(restarted))
}

// olderVersionServed makes the configuration service serve an older version again and restarts nodes while it does.
func olderVersionServed(t *Trial) {
	s := newSystem(t, fiveNodes())
	old := s.deployment.Account(accountName)
	next, renewed := withRotatedKey(s.deployment)
	require.NoError(t, s.Publish(next))
	s.awaitVersion(s.Version(), s.names()...)
	stop := s.watchStates()
	require.NoError(t, s.Platform.SetFaults(platform.Faults{Values: platform.EndpointFaults{Stale: 1}}))
	s.t.Wait(time.Second)
	// a2 is not a home, b1 is one.
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

// pausedNode replaces the version while two nodes are paused.
func pausedNode(t *Trial) {
	s := newSystem(t, fiveNodes())
	old := s.deployment.Account(accountName)
	// a2 is not a home and b1 is one; the other two homes keep the remaining nodes serving.
	paused := []string{"a2", "b1"}
	next, renewed := withRotatedKey(s.deployment)
	for _, name := range paused {
		require.NoError(t, s.Pause(name))
	}
	// Messages sent before the change queue in the sockets of the paused nodes, which read them only after it.
	s.t.Wait(2500 * time.Millisecond)
	require.NoError(t, s.Publish(next))
	s.awaitVersion(s.Version(), "a1", "c1", "b2")
	s.t.Wait(maxConfirmationAge - 1500*time.Millisecond)
	// These requests queue in the sockets before the nodes resume, so the nodes read them first.
	responses := make(chan load.Response, 1000)
	const waiting = 20
	for _, name := range paused {
		for range waiting {
			go func() { responses <- s.caller.Do(t.Context(), s.EntryAddr(name), s.requests(old)(0), time.Now()) }()
		}
	}
	s.t.Wait(200 * time.Millisecond)
	require.Empty(t, responses, "a paused node answered")
	for _, name := range paused {
		require.NoError(t, s.Resume(name))
	}
	for range waiting * len(paused) {
		resp := <-responses
		require.Contains(t, []string{"stale", "key"}, resp.Code, describe(resp))
	}
	for _, name := range paused {
		end := time.Now().Add(2 * time.Second)
		for time.Now().Before(end) {
			a := s.caller.Do(t.Context(), s.EntryAddr(name), s.requests(old)(0), time.Now())
			require.Contains(t, []string{"stale", "key"}, a.Code, describe(a))
		}
	}
	s.awaitVersion(s.Version(), s.names()...)
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	for _, name := range paused {
		require.NoError(t, s.AwaitReady(ctx, name))
		a := s.caller.Do(ctx, s.EntryAddr(name), s.requests(renewed)(0), time.Now())
		require.NotContains(t, []string{"stale", "key"}, a.Code, describe(a))
	}
}

// serviceOutage checks that nodes keep serving while the configuration service and the instance list are down.
func serviceOutage(t *Trial) {
	s := newSystem(t, fiveNodes())
	require.NoError(t, s.Platform.SetFaults(platform.Faults{Values: platform.EndpointFaults{Down: true}, Instances: platform.EndpointFaults{Down: true}}))
	downAt := time.Now()
	stop := s.watchStates()
	r := s.runLoad(2*maxConfirmationAge+time.Second, []load.Source{s.source(s.deployment.Account(accountName), 60)}, func() {})
	observations := stop()
	require.NotEmpty(t, observations)
	for _, v := range observations {
		require.Equal(t, "serve", v.status, "%s %s after the service went down", v.name, v.asked.Sub(downAt))
	}
	served := map[string]bool{}
	for _, resp := range r.Responses() {
		// Refusals for load are allowed: a busy machine causes them with the service up as well.
		require.True(t, resp.OK() || slices.Contains([]string{"busy", "late", "rate"}, resp.Code), "%s after the service went down: %s", resp.Started.Sub(downAt), describe(resp))
		if resp.OK() && resp.Started.After(downAt.Add(maxConfirmationAge)) {
			served[resp.Entry] = true
		}
	}
	require.Len(t, served, len(s.Instances()))
	s.checkHistory(r, noErrorAllowed)
}
