package target

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenapin.dev/node/answer"
)

var warm = Registration{Name: "i", Slots: 10, ColdRate: 11}

// selfReportingGate returns the gate of a warm target that has just told its pace, and has served requests in 100 ms.
func selfReportingGate(pace float64) Gate {
	g := NewGate(1).WithRegistration(warm).WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: 1}, true)
	g, d := g.WithArrival(start, AdmissionRequest{ID: 1 << 40, Account: "a", Route: "r", MaxWait: -1})
	g, _ = g.WithDone(start, d.ID, Outcome{Latency: ms(100)})
	return g.WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: pace}, false)
}

func newRequest(id uint64, objective int) AdmissionRequest {
	return AdmissionRequest{ID: id, Account: "a", Route: "r", MaxWait: -1, SoftDeadline: start.Add(ms(objective)), LatencyObjective: ms(objective), Deadline: start.Add(ms(2 * objective))}
}

// limitReached starts as many requests as the gate lets run.
func fillGate(g Gate) Gate {
	for n := range uint64(g.limit.Value()) {
		g, _ = g.WithArrival(start, newRequest(100+n, 1000))
	}
	return g
}

// TestSelfReportingArrival guards against requests that start on a slow or silent target, that wait where they had better go on,
// and that are refused although they can be served in time.
func TestSelfReportingArrival(t *testing.T) {
	fast, slow := selfReportingGate(1), selfReportingGate(4)
	busy := fillGate(fast)
	spare := func(req AdmissionRequest, ms time.Duration) AdmissionRequest { req.MaxWait = ms; return req }
	cases := map[string]struct {
		gate   Gate
		ticket AdmissionRequest
		at     int
		want   Action
	}{
		"fast":                   {gate: fast, ticket: newRequest(1, 600), want: ActionStart},
		"report is old":          {gate: fast, ticket: newRequest(1, 600), at: 30, want: ActionWait},
		"no aim, report is old":  {gate: fast, ticket: AdmissionRequest{ID: 1, MaxWait: -1}, at: 30, want: ActionStart},
		"slow":                   {gate: slow, ticket: newRequest(1, 600), want: ActionWait},
		"slow, nothing to spare": {gate: slow, ticket: spare(newRequest(1, 600), 0), want: ActionRefuse},
		"slow, enough to spare":  {gate: slow, ticket: spare(newRequest(1, 600), ms(150)), want: ActionWait},
		"full":                   {gate: busy, ticket: newRequest(1, 600), want: ActionWait},
		"full, nothing to spare": {gate: busy, ticket: spare(newRequest(1, 600), 0), want: ActionRefuse},
		"full, aim can't be met": {gate: fillGate(selfReportingGate(1)), ticket: newRequest(1, 10), want: ActionRefuse},
		"target does not answer": {gate: fast.WithUnreachable(start), ticket: newRequest(1, 600), want: ActionRefuse},
		"target answers again":   {gate: fast.WithUnreachable(start).WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: 1}, true), ticket: newRequest(1, 600), want: ActionStart},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, d := tc.gate.WithArrival(start.Add(ms(tc.at)), tc.ticket)
			require.Equal(t, tc.want, d.Action, d.Refusal.Text)
			if d.Action == ActionRefuse {
				require.Equal(t, answer.NotExecuted, d.Refusal.Execution)
				require.Positive(t, d.Refusal.RetryAfter)
			}
		})
	}
}

// TestReplacedTarget guards against requests that reach a target although it has replaced the one that they are meant for: it
// refuses them, and each counts as a repeat. After a loss of power the list still names the earlier targets for seconds.
func TestReplacedTarget(t *testing.T) {
	tells := func(name string) Gate {
		return selfReportingGate(1).WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: 1, Instance: name}, true)
	}
	meant := func(name string) AdmissionRequest {
		req := newRequest(1, 600)
		req.Target = name
		return req
	}
	restarted := warm
	restarted.StartedAt = start
	cases := map[string]struct {
		gate   Gate
		ticket AdmissionRequest
		want   Action
	}{
		"the same":               {gate: tells("i"), ticket: meant("i"), want: ActionStart},
		"replaced":               {gate: tells("j"), ticket: meant("i"), want: ActionRefuse},
		"replaced, in the list":  {gate: tells("j"), ticket: meant("j"), want: ActionStart},
		"meant for any":          {gate: tells("j"), ticket: meant(""), want: ActionStart},
		"does not tell its name": {gate: tells(""), ticket: meant("i"), want: ActionStart},
		"not asked since":        {gate: tells("j").WithRegistration(restarted), ticket: meant("i"), want: ActionStart},
		"replaced again":         {gate: tells("j").WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: 1, Instance: "i"}, true), ticket: meant("i"), want: ActionStart},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, d := tc.gate.WithArrival(start, tc.ticket)
			require.Equal(t, tc.want, d.Action, d.Refusal.Text)
			if d.Action == ActionRefuse {
				require.Equal(t, answer.CodeLeaving, d.Refusal.Code)
				require.Equal(t, answer.NotExecuted, d.Refusal.Execution)
				require.False(t, d.Refusal.ReachedTarget)
			}
		})
	}
}

// TestFreshReport guards against requests that go on waiting after the report that they waited for.
func TestFreshReport(t *testing.T) {
	cases := map[string]struct {
		pace  float64
		spare time.Duration
		want  []Action
	}{
		"fast":                   {pace: 1, spare: 0, want: []Action{ActionStart}},
		"slow, goes on":          {pace: 4, spare: 0, want: []Action{ActionRefuse}},
		"slow, waits":            {pace: 4, spare: -1},
		"slow, spare for a hold": {pace: 4, spare: ms(120)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			req := newRequest(1, 600)
			req.MaxWait = tc.spare
			now := start.Add(ms(30))
			g, d := selfReportingGate(1).WithArrival(now, req)
			require.Equal(t, ActionWait, d.Action)
			require.True(t, g.NeedsReport(now))
			g = g.WithReport(now.Add(ms(2)), answer.TargetReport{HasLoad: true, Slowdown: tc.pace}, true)
			_, decisions := g.WithTick(now.Add(ms(2)))
			var got []Action
			for _, d := range decisions {
				got = append(got, d.Action)
			}
			require.Equal(t, tc.want, got)
		})
	}
}

// TestReportWaitTimeout guards against requests that wait for a report for good when the probe is lost.
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

// TestPriorityOrder guards against a less urgent request that starts before a more urgent one, and against a late one that takes
// the place of one that can still meet its aim.
func TestPriorityOrder(t *testing.T) {
	g := fillGate(selfReportingGate(1))
	ranked := func(id uint64, account, route, aim int) AdmissionRequest {
		req := newRequest(id, aim)
		req.Account, req.Priority = string(rune('a'+id)), Priority{Account: account, Route: route}
		return req
	}
	// The aim of the third one passes while it waits.
	for _, req := range []AdmissionRequest{ranked(1, 1, 2, 900), ranked(2, 1, 1, 900), ranked(3, 1, 1, 150), ranked(4, 0, 2, 900), ranked(5, 1, 2, 900)} {
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

// TestDeclaredLimit guards against more requests at once than the target's slots bear, and against a limit that falls for
// reasons other than load.
func TestDeclaredLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g, now, id := selfReportingGate(1), start, uint64(0)
		running := map[uint64]bool{}
		note := func(decisions ...Decision) {
			for _, d := range decisions {
				if d.Action == ActionStart {
					running[d.ID] = true
				}
			}
			require.LessOrEqual(r, len(running), UsableSlots(warm.Slots))
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
				note(d)
			case 2:
				for done := range running {
					kind := rapid.SampledFrom([]OutcomeKind{OutcomeSuccess, OutcomeFailure, OutcomeShed, OutcomeLost, OutcomeCancelled}).Draw(r, "kind")
					delete(running, done)
					g, decisions = g.WithDone(now, done, Outcome{Kind: kind, Latency: ms(100)})
					note(decisions...)
					break
				}
			default:
				g = g.WithReport(now, answer.TargetReport{HasLoad: true, Slowdown: 1}, true)
				g, decisions = g.WithTick(now)
				note(decisions...)
			}
			require.Equal(r, UsableSlots(warm.Slots), g.Load(now).Limit)
		}
	})
}
