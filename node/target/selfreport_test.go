package target

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenapin.dev/node/answer"
)

var warmRegistration = Registration{Name: "i", Slots: 10, ColdRate: 11}

// selfReportingGate returns the gate of a warm target that has just reported its slowdown and serves requests in 100 ms.
func selfReportingGate(slowdown float64) Gate {
	g := NewGate(1).WithRegistration(warmRegistration).WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: 1}, true)
	g, d := g.WithArrival(start, AdmissionRequest{ID: 1 << 40, Account: "a", Route: "r", MaxWait: -1})
	g, _ = g.WithDone(start, d.ID, Outcome{Latency: ms(100)})
	return g.WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: slowdown}, false)
}

// newRequest returns a request at start with a latency objective in milliseconds and twice that as its deadline.
func newRequest(id uint64, objective int) AdmissionRequest {
	return AdmissionRequest{ID: id, Account: "a", Route: "r", MaxWait: -1, SoftDeadline: start.Add(ms(objective)), LatencyObjective: ms(objective), Deadline: start.Add(ms(2 * objective))}
}

// fillGate starts as many requests as the limit allows.
func fillGate(g Gate) Gate {
	for n := range uint64(g.limit.Value()) {
		g, _ = g.WithArrival(start, newRequest(100+n, 1000))
	}
	return g
}

// TestSelfReportingArrival guards against requests that start on a slow or unreachable target, that wait longer than their
// MaxWait instead of going on to another target, or that are refused although they can be served in time.
func TestSelfReportingArrival(t *testing.T) {
	fast, slow := selfReportingGate(1), selfReportingGate(4)
	busy := fillGate(fast)
	withMaxWait := func(req AdmissionRequest, d time.Duration) AdmissionRequest { req.MaxWait = d; return req }
	cold := NewGate(1).WithRegistration(Registration{Name: "i", Slots: 10, ColdRate: 5})
	cold = fillGate(cold.WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: 1, Instance: "i", ColdRemaining: 3 * time.Second}, true))
	nested := func(req AdmissionRequest, deadline int) AdmissionRequest {
		req.Account, req.Deadline, req.Nested = "", start.Add(ms(deadline)), true
		return req
	}
	cases := map[string]struct {
		gate    Gate
		request AdmissionRequest
		at      int
		want    Action
	}{
		"fast":                               {gate: fast, request: newRequest(1, 600), want: ActionStart},
		"report is old":                      {gate: fast, request: newRequest(1, 600), at: 30, want: ActionWait},
		"no soft deadline, report is old":    {gate: fast, request: AdmissionRequest{ID: 1, MaxWait: -1}, at: 30, want: ActionStart},
		"slow":                               {gate: slow, request: newRequest(1, 600), want: ActionWait},
		"slow, may not wait":                 {gate: slow, request: withMaxWait(newRequest(1, 600), 0), want: ActionRefuse},
		"slow, may wait":                     {gate: slow, request: withMaxWait(newRequest(1, 600), ms(150)), want: ActionWait},
		"full":                               {gate: busy, request: newRequest(1, 600), want: ActionWait},
		"full, may not wait":                 {gate: busy, request: withMaxWait(newRequest(1, 600), 0), want: ActionRefuse},
		"full, soft deadline can't be met":   {gate: fillGate(selfReportingGate(1)), request: newRequest(1, 10), want: ActionRefuse},
		"nested, soft deadline can't be met": {gate: fillGate(selfReportingGate(1)), request: nested(newRequest(1, 10), 600), want: ActionRefuse},
		"nested, cold, soft deadline can't be met": {gate: cold, request: nested(newRequest(1, 10), 1200), want: ActionWait},
		"not nested, cold":                         {gate: cold, request: newRequest(1, 10), want: ActionRefuse},
		"nested, cold, deadline can't be met":      {gate: cold, request: nested(newRequest(1, 10), 50), want: ActionRefuse},
		"nested, cold, may not wait":               {gate: cold, request: nested(withMaxWait(newRequest(1, 600), 0), 1200), want: ActionRefuse},
		"target does not answer":                   {gate: fast.WithUnreachable(start), request: newRequest(1, 600), want: ActionRefuse},
		"target answers again":                     {gate: fast.WithUnreachable(start).WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: 1}, true), request: newRequest(1, 600), want: ActionStart},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, d := tc.gate.WithArrival(start.Add(ms(tc.at)), tc.request)
			require.Equal(t, tc.want, d.Action, d.Refusal.Text)
			if d.Action == ActionRefuse {
				require.Equal(t, answer.NotExecuted, d.Refusal.Execution)
				require.Positive(t, d.Refusal.RetryAfter)
			}
		})
	}
}

// TestReplacedTarget guards against requests that are sent to a target which has replaced the one they name: it refuses
// them, and each costs a retry. After a power loss the instance list still names the earlier targets for seconds.
func TestReplacedTarget(t *testing.T) {
	reporting := func(name string) Gate {
		return selfReportingGate(1).WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: 1, Instance: name}, true)
	}
	requestFor := func(name string) AdmissionRequest {
		req := newRequest(1, 600)
		req.TargetName = name
		return req
	}
	restarted := warmRegistration
	restarted.StartedAt = start
	cases := map[string]struct {
		gate    Gate
		request AdmissionRequest
		want    Action
	}{
		"the same":                 {gate: reporting("i"), request: requestFor("i"), want: ActionStart},
		"replaced":                 {gate: reporting("j"), request: requestFor("i"), want: ActionRefuse},
		"replacement is named":     {gate: reporting("j"), request: requestFor("j"), want: ActionStart},
		"any target":               {gate: reporting("j"), request: requestFor(""), want: ActionStart},
		"does not report its name": {gate: reporting(""), request: requestFor("i"), want: ActionStart},
		"not probed since restart": {gate: reporting("j").WithRegistration(restarted), request: requestFor("i"), want: ActionStart},
		"replaced again":           {gate: reporting("j").WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: 1, Instance: "i"}, true), request: requestFor("i"), want: ActionStart},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, d := tc.gate.WithArrival(start, tc.request)
			require.Equal(t, tc.want, d.Action, d.Refusal.Text)
			if d.Action == ActionRefuse {
				require.Equal(t, answer.CodeLeaving, d.Refusal.Code)
				require.Equal(t, answer.NotExecuted, d.Refusal.Execution)
				require.False(t, d.Refusal.ReachedTarget)
			}
		})
	}
}

// TestFreshReport guards against requests that wait for a fresh report and are not decided on when it arrives.
func TestFreshReport(t *testing.T) {
	cases := map[string]struct {
		slowdown float64
		maxWait  time.Duration
		want     []Action
	}{
		"fast":                       {slowdown: 1, maxWait: 0, want: []Action{ActionStart}},
		"slow, may not wait":         {slowdown: 4, maxWait: 0, want: []Action{ActionRefuse}},
		"slow, waits for any time":   {slowdown: 4, maxWait: -1},
		"slow, may wait for its end": {slowdown: 4, maxWait: ms(120)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			req := newRequest(1, 600)
			req.MaxWait = tc.maxWait
			now := start.Add(ms(30))
			g, d := selfReportingGate(1).WithArrival(now, req)
			require.Equal(t, ActionWait, d.Action)
			require.True(t, g.NeedsReport(now))
			g = g.WithReport(now.Add(ms(2)), answer.TargetReport{HasLoad: true, Slowdown: tc.slowdown}, true)
			_, decisions := g.WithTick(now.Add(ms(2)))
			var got []Action
			for _, d := range decisions {
				got = append(got, d.Action)
			}
			require.Equal(t, tc.want, got)
		})
	}
}

// TestReportWaitTimeout guards against requests that wait for a report forever when the probe gets no response.
func TestReportWaitTimeout(t *testing.T) {
	now := start.Add(ms(30))
	g, d := selfReportingGate(1).WithArrival(now, newRequest(1, 600))
	require.Equal(t, ActionWait, d.Action)
	due, ok := g.NextTick(now)
	require.True(t, ok)
	require.Equal(t, now.Add(maxReportWait), due)
	_, decisions := g.WithTick(due)
	require.Len(t, decisions, 1)
	require.Equal(t, ActionStart, decisions[0].Action)
}

// TestPriorityOrder guards against a request that starts before one of higher priority, and against a late request that
// starts before one that can still meet its soft deadline.
func TestPriorityOrder(t *testing.T) {
	g := fillGate(selfReportingGate(1))
	prioritized := func(id uint64, account, route, objective int) AdmissionRequest {
		req := newRequest(id, objective)
		req.Account, req.Priority = string(rune('a'+id)), Priority{Account: account, Route: route}
		return req
	}
	// The soft deadline of the third one can no longer be met when the first slot becomes free.
	for _, req := range []AdmissionRequest{prioritized(1, 1, 2, 900), prioritized(2, 1, 1, 900), prioritized(3, 1, 1, 150), prioritized(4, 0, 2, 900), prioritized(5, 1, 2, 900)} {
		var d Decision
		g, d = g.WithArrival(start, req)
		require.Equal(t, ActionWait, d.Action, "%d: %s", req.ID, d.Refusal.Text)
	}
	var got []uint64
	for n := range uint64(5) {
		now := start.Add(ms(100))
		g = g.WithReport(now, answer.TargetReport{HasLoad: true, Slowdown: 1}, false)
		var decisions []Decision
		g, decisions = g.WithDone(now, 100+n, Outcome{Latency: ms(100)})
		for _, d := range decisions {
			require.Equal(t, ActionStart, d.Action)
			got = append(got, d.ID)
		}
	}
	require.Equal(t, []uint64{4, 2, 3, 1, 5}, got)
}

// TestDeclaredLimit guards against more concurrent requests than the usable slots, and against a limit that changes with
// failures although the slots are declared.
func TestDeclaredLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g, now, id := selfReportingGate(1), start, uint64(0)
		running := map[uint64]bool{}
		record := func(decisions ...Decision) {
			for _, d := range decisions {
				if d.Action == ActionStart {
					running[d.ID] = true
				}
			}
			require.LessOrEqual(r, len(running), UsableSlots(warmRegistration.Slots))
			require.Equal(r, len(running), g.Load(now).Running)
		}
		for range 200 {
			now = now.Add(ms(rapid.IntRange(0, 20).Draw(r, "pause")))
			var d Decision
			var decisions []Decision
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0, 1:
				id++
				g, d = g.WithArrival(now, AdmissionRequest{ID: id, Account: "a", Route: "r", MaxWait: -1, SoftDeadline: now.Add(ms(600)), LatencyObjective: ms(600), Deadline: now.Add(time.Second)})
				record(d)
			case 2:
				for done := range running {
					kind := rapid.SampledFrom([]OutcomeKind{OutcomeSuccess, OutcomeFailure, OutcomeShed, OutcomeLost, OutcomeCancelled}).Draw(r, "kind")
					delete(running, done)
					g, decisions = g.WithDone(now, done, Outcome{Kind: kind, Latency: ms(100)})
					record(decisions...)
					break
				}
			default:
				g = g.WithReport(now, answer.TargetReport{HasLoad: true, Slowdown: 1}, true)
				g, decisions = g.WithTick(now)
				record(decisions...)
			}
			require.Equal(r, UsableSlots(warmRegistration.Slots), g.Load(now).Limit)
		}
	})
}

// TestColdOverload replays the seconds after a loss of power of all machines: each target is cold and gets twice the requests that its
// rate allows, half of them calls of running requests. It guards against refusing calls that can still be answered, since each of them
// wastes a run elsewhere, and against a cold target that gets more than its rate.
func TestColdOverload(t *testing.T) {
	const rate, seconds = 16.0, 3
	type end struct {
		id uint64
		at time.Time
	}
	g := NewGate(1).WithRegistration(Registration{Name: "i", Slots: 10, ColdRate: rate})
	g = g.WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: 1, Instance: "i", ColdRemaining: seconds * time.Second}, true)
	var starts []time.Time
	var running []end
	refused, calls := 0, 0
	record := func(now time.Time, decisions ...Decision) {
		for _, d := range decisions {
			switch {
			case d.Action == ActionStart:
				starts, running = append(starts, now), append(running, end{id: d.ID, at: now.Add(ms(130))})
			case d.Action == ActionRefuse && d.ID%2 == 0:
				refused++
			}
		}
	}
	id := uint64(0)
	for step := range seconds * 1000 {
		now := start.Add(ms(step))
		g = g.WithReport(now, answer.TargetReport{HasLoad: true, Slowdown: 1}, false)
		for len(running) > 0 && !now.Before(running[0].at) {
			var decisions []Decision
			g, decisions = g.WithDone(now, running[0].id, Outcome{Latency: ms(130)})
			running = running[1:]
			record(now, decisions...)
		}
		var decisions []Decision
		g, decisions = g.WithTick(now)
		record(now, decisions...)
		if step%31 != 0 { // 32 requests a second
			continue
		}
		id++
		req := AdmissionRequest{ID: id, Account: "a", Route: "new", MaxWait: -1, SoftDeadline: now.Add(ms(600)), LatencyObjective: ms(600), Deadline: now.Add(ms(2500))}
		if id%2 == 0 {
			calls++
			req = AdmissionRequest{ID: id, Route: "call", Nested: true, MaxWait: -1, SoftDeadline: now.Add(ms(150)), LatencyObjective: ms(150), Deadline: now.Add(ms(600)), Priority: Priority{Account: -1}}
		}
		var d Decision
		g, d = g.WithArrival(now, req)
		record(now, d)
	}
	for i, from := range starts {
		inSecond := 0
		for _, at := range starts[i:] {
			if at.Sub(from) < time.Second {
				inSecond++
			}
		}
		require.LessOrEqual(t, inSecond, int(rate))
	}
	t.Logf("%d starts, %d of %d calls refused", len(starts), refused, calls)
	require.GreaterOrEqual(t, float64(len(starts)), 0.9*rate*seconds)
	require.LessOrEqual(t, refused, calls/10)
}
