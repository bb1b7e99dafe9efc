package target

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// step is an event that happens n times, or once if n is zero.
type step struct {
	n       int
	kind    OutcomeKind
	latency time.Duration
	idle    bool // the request ran while the limit was not reached
	pause   time.Duration
}

func applySteps(l Limit, steps ...step) Limit {
	now := start
	for _, s := range steps {
		now = now.Add(s.pause)
		for range max(s.n, 1) {
			started := now
			now = now.Add(s.latency)
			l = l.WithIdle(now)
			switch s.kind {
			case OutcomeSuccess:
				l = l.WithSuccess(now, started, s.latency, !s.idle)
			case OutcomeFailure:
				l = l.WithFailed(now, s.latency)
			case OutcomeRefused:
				l = l.WithRefused(now)
			default:
				l = l.WithShed(now)
			}
		}
	}
	return l
}

// TestLimit guards against a limit that exceeds the capacity of a cold target or does not fall for an overloaded one.
func TestLimit(t *testing.T) {
	warm := step{n: 200, latency: ms(6)}
	cases := map[string]struct {
		steps []step
		want  int
	}{
		"cold start":                       {want: 1},
		"one good response":                {steps: []step{{latency: ms(6)}}, want: 2},
		"as many responses as the limit":   {steps: []step{{n: 1 + 2 + 3, latency: ms(6)}}, want: 4},
		"one response too few":             {steps: []step{{n: 1 + 2 + 3 - 1, latency: ms(6)}}, want: 3},
		"up to the slots":                  {steps: []step{warm}, want: 12},
		"not fully used":                   {steps: []step{{n: 200, latency: ms(6), idle: true}}, want: 1},
		"shed":                             {steps: []step{warm, {kind: OutcomeShed}}, want: 6},
		"shed four times":                  {steps: []step{warm, {n: 4, kind: OutcomeShed}}, want: 1},
		"lost":                             {steps: []step{warm, {kind: OutcomeLost}}, want: 6},
		"connection refused":               {steps: []step{warm, {kind: OutcomeRefused}}, want: 1},
		"one fast failure":                 {steps: []step{warm, {kind: OutcomeFailure, latency: ms(1)}}, want: 12},
		"two fast failures":                {steps: []step{warm, {n: 2, kind: OutcomeFailure, latency: ms(1)}}, want: 6},
		"failures in the usual time":       {steps: []step{warm, {n: 5, kind: OutcomeFailure, latency: ms(6)}}, want: 12},
		"two slow responses":               {steps: []step{warm, {n: 2, latency: ms(19)}}, want: 12},
		"three slow responses":             {steps: []step{warm, {n: 3, latency: ms(19)}}, want: 6},
		"five slow responses":              {steps: []step{warm, {n: 5, latency: ms(25)}}, want: 1},
		"slower but under three times":     {steps: []step{warm, {n: 5, latency: ms(17)}}, want: 12},
		"occasional slow response":         {steps: []step{warm, {latency: ms(25)}, {n: 9, latency: ms(6)}, {latency: ms(25)}}, want: 12},
		"lasting change adopted":           {steps: []step{warm, {n: 5, latency: ms(25)}, {n: 300, latency: ms(25)}}, want: 12},
		"idle for long":                    {steps: []step{warm, {pause: 2 * idleHalvingInterval, latency: ms(6), idle: true}}, want: 3},
		"idle for a little":                {steps: []step{warm, {pause: idleHalvingInterval / 2, latency: ms(6), idle: true}}, want: 12},
		"one step back above the baseline": {steps: []step{{n: 3, latency: ms(6)}, {n: 4, latency: ms(17)}}, want: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, applySteps(NewLimit(12), tc.steps...).Value())
		})
	}
}

// TestLimitIgnoresEarlierStarts guards against growth because of responses to requests that started under a higher limit.
func TestLimitIgnoresEarlierStarts(t *testing.T) {
	l := applySteps(NewLimit(12), step{n: 200, latency: ms(6)})
	now := at(5000)
	l = l.WithCold(now)
	for i := range 11 {
		l = l.WithSuccess(now.Add(ms(i)), now.Add(-ms(6)), ms(6), true)
	}
	require.Equal(t, 1, l.Value())
}

// TestLimitExpensiveRequests guards against a reduction because of expensive requests while concurrent ones take the usual
// time.
func TestLimitExpensiveRequests(t *testing.T) {
	l := applySteps(NewLimit(12), step{n: 200, latency: ms(6)})
	now := at(5000)
	l = l.WithSuccess(now, now.Add(-ms(6)), ms(6), true)
	for range 5 {
		l = l.WithSuccess(now, now.Add(-ms(60)), ms(60), true)
	}
	require.Equal(t, 12, l.Value())
	for range 5 {
		l = l.WithSuccess(now.Add(ms(60)), now, ms(60), true)
	}
	require.Equal(t, 1, l.Value())
}

// TestLimitBounds guards against a limit outside of 1 to slots, growth by more than one or without full use, and a missing
// reduction after a lost or shed request.
func TestLimitBounds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 16).Draw(r, "slots")
		l, now := NewLimit(slots), start
		credit := 0
		for range rapid.IntRange(1, 200).Draw(r, "events") {
			now = now.Add(ms(rapid.IntRange(0, 20).Draw(r, "pause")))
			before := l.Value()
			latency := ms(rapid.IntRange(1, 40).Draw(r, "latency"))
			full := rapid.Bool().Draw(r, "full")
			kind := OutcomeKind(rapid.IntRange(int(OutcomeSuccess), int(OutcomeRefused)+8).Draw(r, "kind"))
			switch kind {
			case OutcomeFailure:
				l = l.WithFailed(now, latency)
			case OutcomeShed, OutcomeLost:
				l = l.WithShed(now)
				require.Equal(t, max(before/2, 1), l.Value())
			case OutcomeRefused:
				l = l.WithRefused(now)
				require.Equal(t, 1, l.Value())
			default:
				l = l.WithSuccess(now, now.Add(-latency), latency, full)
				if full {
					credit++
				}
			}
			require.GreaterOrEqual(t, l.Value(), 1)
			require.LessOrEqual(t, l.Value(), slots)
			require.LessOrEqual(t, l.Value(), before+1)
			if l.Value() > before {
				require.True(t, full && credit >= before, "grew from %d after %d", before, credit)
			}
			if l.Value() != before {
				credit = 0
			}
		}
	})
}

// TestLimitCancelled guards against a slow target whose limit does not fall because hedging cancels its slow requests, and
// against a limit that falls because callers cancel early.
func TestLimitCancelled(t *testing.T) {
	warm := NewLimit(12)
	now := time.Unix(1000, 0)
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		warm = warm.WithSuccess(now, now.Add(-10*time.Millisecond), 10*time.Millisecond, true)
	}
	require.Equal(t, 12, warm.Value())
	for name, c := range map[string]struct {
		latency time.Duration
		n       int
		want    int
		slower  bool
	}{
		"short":                       {latency: 5 * time.Millisecond, n: 20, want: 12},
		"two long":                    {latency: 50 * time.Millisecond, n: 2, want: 12, slower: true},
		"long":                        {latency: 50 * time.Millisecond, n: coldAfterSlow, want: 1, slower: true},
		"longer than usual, not slow": {latency: 20 * time.Millisecond, n: 20, want: 12, slower: true},
	} {
		t.Run(name, func(t *testing.T) {
			l, now := warm, now
			for range c.n {
				now = now.Add(c.latency)
				l = l.WithCancelled(now, now.Add(-c.latency+time.Millisecond), c.latency)
			}
			require.Equal(t, c.want, l.Value())
			require.Equal(t, c.slower, l.ServiceTime() > warm.ServiceTime())
		})
	}
}

// TestLimitAfterRestart guards against a limit that exceeds the capacity of a restarted target, which may grow by as little
// as one request per 417 ms and shows no sign before overload; and against a limit that does not recover.
func TestLimitAfterRestart(t *testing.T) {
	now := start
	l := applySteps(NewLimit(12), step{n: 200, latency: ms(6)})
	require.Equal(t, 12, l.Value())
	l = l.WithRefused(now)
	serve := func(lasts time.Duration, maxLimit func(since time.Duration) int) {
		since := now
		for now.Sub(since) < lasts {
			started := now
			now = now.Add(ms(6))
			l = l.WithSuccess(now, started, ms(6), true)
			require.LessOrEqual(t, l.Value(), maxLimit(now.Sub(since)))
		}
	}
	now = now.Add(10 * time.Second) // the limit must not grow while the target is down
	serve(12*time.Second, func(since time.Duration) int { return max(1, int(since/(417*time.Millisecond))) })
	require.Equal(t, 12, l.Value())
	l = l.WithShed(now)
	require.Equal(t, 6, l.Value(), "a warm target counts as restarted")
	l = l.WithRefused(now)
	serve(1500*time.Millisecond, func(time.Duration) int { return 2 })
	l = l.WithShed(now)
	require.Equal(t, 1, l.Value())
	serve(24*time.Second, func(since time.Duration) int { return 1 + int(since/(2*time.Second)) })
	require.Equal(t, 12, l.Value(), "the limit grows too slowly")
}
