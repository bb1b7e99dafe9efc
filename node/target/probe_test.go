package target

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestShouldProbe guards against probes despite a fresh response, an exhausted budget or a pending probe.
func TestShouldProbe(t *testing.T) {
	fresh := NewProbeState(start)
	cases := map[string]struct {
		state  ProbeState
		now    time.Time
		budget float64
		want   bool
	}{
		"right after the start":     {state: fresh, now: at(1199), budget: 0.005},
		"first probe":               {state: fresh, now: at(1200), budget: 0.005, want: true},
		"no budget":                 {state: fresh, now: at(100_000)},
		"fresh response":            {state: fresh.WithResponse(at(1000)), now: at(1900), budget: 0.005},
		"old response":              {state: fresh.WithResponse(at(1000)), now: at(2000), budget: 0.005, want: true},
		"pending probe":             {state: fresh.WithProbe(at(1200)), now: at(3000), budget: 0.005},
		"lost probe":                {state: fresh.WithProbe(at(1200)), now: at(6200), budget: 0.005, want: true},
		"expensive probe":           {state: fresh.WithProbe(at(1200)).WithResult(ms(60)), now: at(13_199), budget: 0.005},
		"after an expensive probe":  {state: fresh.WithProbe(at(1200)).WithResult(ms(60)), now: at(13_200), budget: 0.005, want: true},
		"shortest pause":            {state: fresh.WithProbe(at(1200)).WithResult(0), now: at(1399), budget: 1},
		"pause after a cheap probe": {state: fresh.WithProbe(at(1200)).WithResult(0), now: at(2100), budget: 0.005, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, ShouldProbe(tc.now, tc.state, tc.budget))
		})
	}
}

// TestProbeBudget guards against probes that use more than their share of the target's time, also when the node restarts.
func TestProbeBudget(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		budget := rapid.SampledFrom([]float64{0.001, 0.005, 0.05}).Draw(r, "budget")
		s, now := NewProbeState(start), start
		spent, most := time.Duration(0), initialProbeCost
		for range rapid.IntRange(1, 100).Draw(r, "events") {
			now = now.Add(ms(rapid.IntRange(1, 2000).Draw(r, "pause")))
			if rapid.IntRange(0, 9).Draw(r, "restart") == 0 {
				s = NewProbeState(now)
			}
			if ShouldProbe(now, s, budget) {
				cost := ms(rapid.IntRange(1, 6).Draw(r, "cost"))
				s = s.WithProbe(now).WithResult(cost)
				spent += cost
			}
			require.LessOrEqual(t, float64(spent), budget*float64(now.Sub(start))+float64(most))
		}
	})
}
