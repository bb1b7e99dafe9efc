package proof

import (
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/load"
)

// evacuation is a site after failure domain b was taken out and brought back.
type evacuation struct {
	site
	out, back time.Time
	started   map[string][]time.Time // executions of the targets of b until just before the return
}

// takeOut takes failure domain b out under load and brings it back with targets that were replaced by cold ones;
// stay runs while it is out.
func takeOut(t *Trial, after time.Duration, prepare, stay func(site)) evacuation {
	t.Helper()
	d := deployment.Abitudini().WithTargets(6, "history")
	s := newSite(t, d)
	var sources []load.Source
	for _, name := range []string{"lombardia", "lazio"} {
		a := d.Account(name)
		sources = append(sources, load.Source{Rate: a.Rate / 4, Entries: s.EntryAddrs(), Next: s.requests(a, "cost=3")})
	}
	var out, back time.Time
	started := map[string][]time.Time{}
	r := s.during(after+10*time.Second, sources, func() {
		s.t.Wait(2 * time.Second)
		prepare(s)
		out = time.Now()
		require.NoError(t, s.Publish(d.WithEvacuated("b")))
		stay(s)
		s.t.Wait(time.Until(out.Add(after)))
		for _, name := range s.names("b") {
			target := s.Target(name)
			s.KillTarget(name)
			for _, e := range target.Executions() {
				started[name] = append(started[name], e.At)
			}
		}
		s.t.Wait(300 * time.Millisecond)
		for _, name := range s.names("b") {
			require.NoError(t, s.StartColdTarget(name))
		}
		back = time.Now()
		require.NoError(t, s.Publish(d))
	})
	s.checkHistory(r, never)
	require.Greater(t, r.Share(load.Response.OK), 0.5)
	return evacuation{site: s, out: out, back: back, started: started}
}

// domainOut checks when the last work begins in a failure domain that is taken out; the given nodes are paused meanwhile.
func domainOut(t *Trial, paused ...string) {
	s := takeOut(t, spreadWithin+4*time.Second, func(s site) {
		for _, name := range paused {
			require.NoError(t, s.Pause(name))
		}
	}, func(s site) {
		// A paused node resumes after the bound, so that what it does then counts.
		s.t.Wait(spreadWithin + 500*time.Millisecond)
		for _, name := range paused {
			require.NoError(t, s.Resume(name))
		}
	})
	for _, name := range s.names("b") {
		before, last := 0, time.Duration(0)
		for _, at := range s.started[name] {
			last = max(last, at.Sub(s.out))
			if at.Before(s.out) {
				before++
			}
		}
		t.Logf("%s: last work %s after its failure domain was taken out", name, last)
		require.Positive(t, before, "%s had no work before", name)
		require.LessOrEqual(t, last, spreadWithin, "%s got work after its failure domain was taken out", name)
		returned := s.Target(name).Executions()
		require.NotEmpty(t, returned, "%s got no work after its return", name)
		for _, e := range returned {
			require.True(t, e.At.After(s.back), "%s got work before its failure domain was brought back", name)
		}
	}
}

// domainReturns checks that cold targets get no more than their capacity when their failure domain returns.
func domainReturns(t *Trial) {
	s := takeOut(t, 2*time.Second, func(site) {}, func(site) {})
	for _, name := range s.names("b") {
		report := s.Target(name).Stats()
		t.Logf("%s: %d requests after its return, %d beyond its capacity", name, report.Executed, report.OverCapacity)
		require.Positive(t, report.Executed, "%s got no work after its return", name)
		require.Zero(t, report.OverCapacity, "%s got more than its capacity after its return", name)
	}
}
