package proof

import (
	"context"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/history"
	"verbenapin.dev/measure/load"
	"verbenapin.dev/measure/platform"
)

// bursts sends up to 20 bursts of an account's requests, one per interval and spread over all entries, until the returned
// function is called.
func (s system) bursts(a deployment.Account, size int, interval time.Duration) func() load.Result {
	ctx, cancel := context.WithCancel(s.t.Context())
	ended := make(chan load.Result, 1)
	go func() {
		entries, next := s.EntryAddrs(), s.requests(a)
		responses := make(chan load.Response, 20*size)
		var wg sync.WaitGroup
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for n := 0; ctx.Err() == nil && n < 20; n++ {
			for i := range size {
				wg.Go(func() { responses <- s.caller.Do(s.t.Context(), entries[i%len(entries)], next(0), time.Now()) })
			}
			select {
			case <-tick.C:
			case <-ctx.Done():
			}
		}
		wg.Wait()
		close(responses)
		var list []load.Response
		for resp := range responses {
			list = append(list, resp)
		}
		ended <- load.NewResult(list)
	}()
	return func() load.Result {
		cancel()
		return <-ended
	}
}

// domainPartitioned checks rates and confirmation ages while failure domain c is partitioned, after the partition heals, and after
// all nodes restart.
func domainPartitioned(t *Trial) {
	d := deployment.ChueDee().WithTargets(6, "shortlists")
	names := []string{"phuket", "khonkaen"}
	for _, name := range names {
		a := d.Account(name)
		a.Rate, a.Burst = 30, 60
		d = d.WithAccount(a)
	}
	s := newSystem(t, d)
	// One account sends four times its rate all the time. The other one sends more than its burst at once every 4.5 s, by when
	// its burst is back: leases expire after 2 s, and refilling 60 tokens takes 2 s.
	steady, bursty := d.Account(names[0]), d.Account(names[1])
	sources := []load.Source{s.source(steady, 4*steady.Rate)}
	var partitionedAt, healedAt, restartedAt time.Time
	// Wait until unused leases have expired, after 2 s, and the load begins with the full burst.
	s.t.Wait(4 * time.Second)
	stop := s.bursts(bursty, 90, 4500*time.Millisecond)
	r := s.runLoad(28*time.Second, sources, func() {
		s.t.Wait(2 * time.Second)
		require.NoError(t, s.Platform.SetViewFaults("c", platform.Faults{Values: platform.EndpointFaults{Down: true}}))
		s.Partition("c")
		partitionedAt = time.Now()
		s.t.Wait(maxConfirmationAge + 3*time.Second)
		healedAt = time.Now()
		s.Heal("c")
		require.NoError(t, s.Platform.SetFaults(platform.Faults{}))
		s.t.Wait(4 * time.Second)
		restartedAt = time.Now()
		for _, name := range s.names() {
			s.Kill(name)
		}
		for _, name := range s.names() {
			require.NoError(t, s.StartNode(name))
		}
	})
	r = r.With(stop())
	minority := map[string]bool{}
	for _, entry := range s.EntryAddrs("c") {
		minority[entry] = true
	}
	staleRefusals, servedByMajority, servedAfterHeal, servedAfterRestart := 0, 0, 0, 0
	for _, resp := range r.Responses() {
		switch {
		case resp.Started.After(partitionedAt.Add(maxConfirmationAge)) && resp.Started.Before(healedAt):
			if !minority[resp.Entry] {
				require.NotEqual(t, "stale", resp.Code, "majority %s after the partition: %s", resp.Started.Sub(partitionedAt), describe(resp))
				if resp.OK() {
					servedByMajority++
				}
				continue
			}
			if resp.Ended.Before(healedAt) {
				require.Equal(t, "stale", resp.Code, "minority %s after the partition: %s", resp.Started.Sub(partitionedAt), describe(resp))
				staleRefusals++
			}
		case resp.Started.After(healedAt) && resp.Started.Before(restartedAt) && resp.OK() && minority[resp.Entry]:
			servedAfterHeal++
		case resp.Started.After(restartedAt) && resp.OK():
			servedAfterRestart++
		}
	}
	t.Logf("%d refused as stale, %d served by the majority, %d by the healed minority, %d after the restart", staleRefusals, servedByMajority, servedAfterHeal, servedAfterRestart)
	for what, n := range map[string]int{"refused as stale": staleRefusals, "served by the majority": servedByMajority, "served after the partition healed": servedAfterHeal, "served after the restart": servedAfterRestart} {
		require.Positive(t, n, what)
	}
	calls, executions := r.Calls(), s.executions()
	for _, source := range names {
		a := d.Account(source)
		intervals := history.AdmissionIntervals(a.Name, calls, executions)
		require.Positive(t, r.Account(a.Name).Count(func(resp load.Response) bool { return resp.Code == "rate" }), a.Name)
		t.Logf("%s used %.1f of its burst of %g", a.Name, history.Excess(a.Rate, 0, intervals), a.Burst)
		require.LessOrEqual(t, history.Excess(a.Rate, a.Burst, intervals), 0.0, "%s exceeded its rate and burst", a.Name)
	}
	s.checkHistory(r, func(resp load.Response) bool { return resp.Ended.After(restartedAt) })
}
