package target

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenapin.dev/node/answer"
)

var coldRegistration = Registration{Name: "i", Slots: 12, ColdRate: 11}

// TestColdRate guards against a target that gets more requests in any second than its cold rate while it is or may be cold,
// however they arrive, and against one that gets none.
func TestColdRate(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s, now := State{}.WithRegistration(coldRegistration), start
		var starts []time.Time
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(r, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(r, "asked") == 0 {
				s = s.WithReport(now, answer.TargetReport{HasLoad: true, Slowdown: 1, ColdRemaining: time.Hour}, true)
			}
			free := s.NextStart(now)
			require.LessOrEqual(r, free.Sub(now), coldWindow, "a request waits no longer than the time of the bound")
			if !free.IsZero() {
				continue
			}
			s = s.WithStart(now)
			starts = append(starts, now)
			n := 0
			for _, at := range starts {
				if now.Sub(at) < coldWindow {
					n++
				}
			}
			require.LessOrEqual(r, n, int(coldRegistration.ColdRate))
		}
		require.GreaterOrEqual(r, len(starts), 20)
	})
}

// TestIsCold guards against a target that counts as warm before it has reported so, or as cold afterwards.
func TestIsCold(t *testing.T) {
	report := func(s State, remaining time.Duration, probed bool) State {
		return s.WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: 1, ColdRemaining: remaining}, probed)
	}
	fresh := State{}.WithRegistration(coldRegistration)
	warm := report(fresh, 0, true)
	restarted := coldRegistration
	restarted.StartedAt = start
	warmsUp, warmsUpLater := coldRegistration, coldRegistration
	warmsUp.WarmUp, warmsUpLater.WarmUp = ms(500), ms(501)
	cases := map[string]struct {
		state State
		want  bool
	}{
		"not probed yet":       {state: fresh, want: true},
		"an ordinary response": {state: report(fresh, 0, false), want: true},
		"reported warm":        {state: warm},
		"reported cold":        {state: report(fresh, time.Second, true), want: true},
		"may have restarted":   {state: warm.WithPossibleRestart(), want: true},
		"another start":        {state: warm.WithRegistration(restarted), want: true},
		"the same start":       {state: warm.WithRegistration(coldRegistration)},
		"not told for long":    {state: report(State{}.WithRegistration(warmsUp), 0, false), want: false},
		"not told for a while": {state: report(State{}.WithRegistration(warmsUpLater), 0, false), want: true},
		"doubted again":        {state: report(State{}.WithRegistration(warmsUp), 0, false).WithPossibleRestart(), want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, tc.state.IsCold(start.Add(ms(500)))) })
	}
	require.False(t, report(fresh, time.Second, true).IsCold(start.Add(time.Second)))
}

// TestSlowWait guards against requests that start in a slow phase although waiting for its end would be faster, and against
// waits that take longer than running the request in the slow phase would.
func TestSlowWait(t *testing.T) {
	report := func(s State, at int, slowdown float64) State {
		return s.WithReport(start.Add(ms(at)), answer.TargetReport{HasLoad: true, Slowdown: slowdown}, false)
	}
	slow := report(report(State{}, 0, 1), 100, 4)
	learned := report(report(report(report(State{}, 0, 1), 100, 4), 1100, 1), 2000, 4) // slow phases last a second
	cold := report(report(State{}, 0, 2), 100, 2)
	cases := map[string]struct {
		state   State
		at      int
		service time.Duration
		want    time.Duration
	}{
		"fast":                 {state: report(State{}, 0, 1), service: ms(200)},
		"long request":         {state: slow, at: 100, service: ms(200), want: initialSlowPhase / 2},
		"slow for long":        {state: slow, at: 600, service: ms(200), want: ms(500)},
		"slow for longer":      {state: slow, at: 800, service: ms(200)},
		"slow while cold":      {state: cold, at: 100, service: ms(200)},
		"slower while cold":    {state: report(cold, 200, 8), at: 200, service: ms(200), want: initialSlowPhase / 2},
		"short request":        {state: slow, service: ms(10)},
		"known length":         {state: learned, at: 2000, service: ms(200), want: ms(500)},
		"known, short request": {state: learned, at: 2000, service: ms(100)},
		"fast again":           {state: report(slow, 400, 1), service: ms(200)},
		"not reported":         {state: State{}, service: ms(200)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, tc.state.SlowWait(start.Add(ms(tc.at)), tc.service)) })
	}
}

// TestServiceTimes guards against service times that count for another route, and against memory that grows with the
// number of routes.
func TestServiceTimes(t *testing.T) {
	s := ServiceTimes{}
	require.Equal(t, ms(7), s.Mean("a", ms(7)))
	s = s.WithResponse("a", ms(100)).WithResponse("b", ms(10)).WithResponse("a", ms(200))
	require.Equal(t, ms(150), s.Mean("a", 0))
	require.Equal(t, ms(10), s.Mean("b", 0))
	for n := range 10 * maxRoutes {
		s = s.WithResponse("b", ms(10)).WithResponse(string(rune('c'+n)), ms(1))
	}
	require.Len(t, s.routes, maxRoutes)
	require.Equal(t, ms(10), s.Mean("b", 0), "a route in use stays")
}
