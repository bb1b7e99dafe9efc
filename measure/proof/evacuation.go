package proof

import (
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/load"
)

// evacuation is a system whose failure domain b was evacuated and restored.
type evacuation struct {
	system
	evacuatedAt, restoredAt time.Time
	executedAt              map[string][]time.Time // by target of b, up to just before the domain was restored
}

// evacuate evacuates failure domain b under load for the given duration and then restores it with its targets replaced
// by cold ones. prepare runs ahead of the evacuation, whileEvacuated between the evacuation and the restore.
func evacuate(t *Trial, duration time.Duration, prepare, whileEvacuated func(system)) evacuation {
	t.Helper()
	d := deployment.Abitudini().WithTargets(6, "history")
	s := newSystem(t, d)
	var sources []load.Source
	for _, name := range []string{"lombardia", "lazio"} {
		a := d.Account(name)
		sources = append(sources, load.Source{Rate: a.Rate / 4, Entries: s.EntryAddrs(), Next: s.requests(a, "cost=3")})
	}
	var evacuatedAt, restoredAt time.Time
	executedAt := map[string][]time.Time{}
	r := s.runLoad(duration+10*time.Second, sources, func() {
		s.t.Wait(2 * time.Second)
		prepare(s)
		evacuatedAt = time.Now()
		require.NoError(t, s.Publish(d.WithEvacuated("b")))
		whileEvacuated(s)
		s.t.Wait(time.Until(evacuatedAt.Add(duration)))
		for _, name := range s.names("b") {
			target := s.Target(name)
			s.KillTarget(name)
			for _, e := range target.Executions() {
				executedAt[name] = append(executedAt[name], e.At)
			}
		}
		s.t.Wait(300 * time.Millisecond)
		for _, name := range s.names("b") {
			require.NoError(t, s.StartColdTarget(name))
		}
		restoredAt = time.Now()
		require.NoError(t, s.Publish(d))
	})
	s.checkHistory(r, noErrorAllowed)
	require.Greater(t, r.Fraction(load.Response.OK), 0.5)
	return evacuation{system: s, evacuatedAt: evacuatedAt, restoredAt: restoredAt, executedAt: executedAt}
}

// domainEvacuated checks that an evacuated failure domain starts no request later than maxPropagation after the evacuation.
// The given nodes are paused when the domain is evacuated and resumed after that bound.
func domainEvacuated(t *Trial, paused ...string) {
	s := evacuate(t, maxPropagation+4*time.Second, func(s system) {
		for _, name := range paused {
			require.NoError(t, s.Pause(name))
		}
	}, func(s system) {
		// The paused nodes resume after the bound, so any request they start then is a violation.
		s.t.Wait(maxPropagation + 500*time.Millisecond)
		for _, name := range paused {
			require.NoError(t, s.Resume(name))
		}
	})
	for _, name := range s.names("b") {
		before, last := 0, time.Duration(0)
		for _, at := range s.executedAt[name] {
			last = max(last, at.Sub(s.evacuatedAt))
			if at.Before(s.evacuatedAt) {
				before++
			}
		}
		t.Logf("%s: last execution %s after its failure domain was evacuated", name, last)
		require.Positive(t, before, "%s executed nothing before the evacuation", name)
		require.LessOrEqual(t, last, maxPropagation, "%s executed requests after its failure domain was evacuated", name)
		afterReturn := s.Target(name).Executions()
		require.NotEmpty(t, afterReturn, "%s executed nothing after its failure domain was restored", name)
		for _, e := range afterReturn {
			require.True(t, e.At.After(s.restoredAt), "%s executed requests before its failure domain was restored", name)
		}
	}
}

// domainReturns checks that cold targets receive no more than their capacity when their failure domain is restored.
func domainReturns(t *Trial) {
	s := evacuate(t, 2*time.Second, func(system) {}, func(system) {})
	for _, name := range s.names("b") {
		stats := s.Target(name).Stats()
		t.Logf("%s: %d requests after the restore, %d beyond its capacity", name, stats.Executed, stats.OverCapacity)
		require.Positive(t, stats.Executed, "%s executed nothing after its failure domain was restored", name)
		require.Zero(t, stats.OverCapacity, "%s received more than its capacity after its failure domain was restored", name)
	}
}
