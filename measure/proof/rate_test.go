package proof

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/history"
	"verbenapin.dev/measure/load"
	"verbenapin.dev/measure/platform"
)

func linksCut(t *testing.T) {
	d := deployment.ChueDee().WithTargets(6, "shortlists").WithTargets(6)
	s := newSite(t, d)
	var sources []load.Source
	for _, name := range []string{"phuket", "khonkaen", "chiangmai"} {
		a := d.Account(name)
		sources = append(sources, s.source(a, 3*a.Rate))
	}
	var cut, restored, restarted time.Time
	r := s.during(28*time.Second, sources, func() {
		time.Sleep(2 * time.Second)
		require.NoError(t, s.Platform.SetViewFaults("c", platform.Faults{Values: platform.Switch{Down: true}}))
		s.Cut("c")
		cut = time.Now()
		time.Sleep(evidenceAge + 3*time.Second)
		restored = time.Now()
		s.Restore("c")
		require.NoError(t, s.Platform.SetFaults(platform.Faults{}))
		time.Sleep(4 * time.Second)
		restarted = time.Now()
		for _, name := range s.names() {
			s.Kill(name)
		}
		for _, name := range s.names() {
			require.NoError(t, s.StartNode(name))
		}
	})
	minority := map[string]bool{}
	for _, entry := range s.Entries("c") {
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
	for _, source := range []string{"phuket", "khonkaen", "chiangmai"} {
		a := d.Account(source)
		spans := history.Spans(a.Name, calls, executions)
		require.Positive(t, r.Account(a.Name).Count(func(a load.Answer) bool { return a.Code == "rate" }), a.Name)
		require.LessOrEqual(t, history.Excess(a.Rate, a.Burst, spans), 0.0, "%s got more than its rate and burst", a.Name)
	}
	s.checkHistory(r, func(a load.Answer) bool { return a.Ended.After(restarted) })
}
