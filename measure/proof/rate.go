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

// bursts sends an account's requests at once, spread over all entries, each time after a pause, until the returned function
// is called.
func (s site) bursts(a deployment.Account, size int, every time.Duration) func() load.Result {
	ctx, cancel := context.WithCancel(s.t.Context())
	ended := make(chan load.Result, 1)
	go func() {
		entries, next := s.EntryAddrs(), s.requests(a)
		answers := make(chan load.Response, 20*size)
		var all sync.WaitGroup
		tick := time.NewTicker(every)
		defer tick.Stop()
		for n := 0; ctx.Err() == nil && n < 20; n++ {
			for i := range size {
				all.Go(func() { answers <- s.caller.Do(s.t.Context(), entries[i%len(entries)], next(0), time.Now()) })
			}
			select {
			case <-tick.C:
			case <-ctx.Done():
			}
		}
		all.Wait()
		close(answers)
		var list []load.Response
		for answer := range answers {
			list = append(list, answer)
		}
		ended <- load.NewResult(list)
	}()
	return func() load.Result {
		cancel()
		return <-ended
	}
}

func linksCut(t *Trial) {
	d := deployment.ChueDee().WithTargets(6, "shortlists")
	names := []string{"phuket", "khonkaen"}
	for _, name := range names {
		a := d.Account(name)
		a.Rate, a.Burst = 30, 60
		d = d.WithAccount(a)
	}
	s := newSite(t, d)
	// One account always sends four times its rate; the other one sends more than its burst at once, and then waits
	// until it has its burst again: loans end after 2 s, and 60 tokens take 2 s.
	steady, sudden := d.Account(names[0]), d.Account(names[1])
	sources := []load.Source{s.source(steady, 4*steady.Rate)}
	var cut, restored, restarted time.Time
	// The accounts get their whole burst back, so that the load begins with it: loans end after 2 s.
	s.t.Wait(4 * time.Second)
	stop := s.bursts(sudden, 90, 4500*time.Millisecond)
	r := s.during(28*time.Second, sources, func() {
		s.t.Wait(2 * time.Second)
		require.NoError(t, s.Platform.SetViewFaults("c", platform.Faults{Values: platform.EndpointFaults{Down: true}}))
		s.Partition("c")
		cut = time.Now()
		s.t.Wait(evidenceAge + 3*time.Second)
		restored = time.Now()
		s.Heal("c")
		require.NoError(t, s.Platform.SetFaults(platform.Faults{}))
		s.t.Wait(4 * time.Second)
		restarted = time.Now()
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
	stale, majority, back, after := 0, 0, 0, 0
	for _, a := range r.Answers() {
		switch {
		case a.Started.After(cut.Add(evidenceAge)) && a.Started.Before(restored):
			if !minority[a.Entry] {
				require.NotEqual(t, "stale", a.Code, "majority %s after the cut: %s", a.Started.Sub(cut), describe(a))
				if a.OK() {
					majority++
				}
				continue
			}
			if a.Ended.Before(restored) {
				require.Equal(t, "stale", a.Code, "minority %s after the cut: %s", a.Started.Sub(cut), describe(a))
				stale++
			}
		case a.Started.After(restored) && a.Started.Before(restarted) && a.OK() && minority[a.Entry]:
			back++
		case a.Started.After(restarted) && a.OK():
			after++
		}
	}
	t.Logf("%d refused as stale, %d served meanwhile, %d at the minority after it, %d after the restart", stale, majority, back, after)
	for what, n := range map[string]int{"refused as stale": stale, "served by the majority": majority, "served after the links were restored": back, "served after the restart": after} {
		require.Positive(t, n, what)
	}
	calls, executions := r.Calls(), s.executions()
	for _, source := range names {
		a := d.Account(source)
		spans := history.AdmissionIntervals(a.Name, calls, executions)
		require.Positive(t, r.Account(a.Name).Count(func(a load.Response) bool { return a.Code == "rate" }), a.Name)
		t.Logf("%s used %.1f of its burst of %g", a.Name, history.Excess(a.Rate, 0, spans), a.Burst)
		require.LessOrEqual(t, history.Excess(a.Rate, a.Burst, spans), 0.0, "%s got more than its rate and burst", a.Name)
	}
	s.checkHistory(r, func(a load.Response) bool { return a.Ended.After(restarted) })
}
