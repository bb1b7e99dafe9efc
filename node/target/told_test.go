package target

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenapin.dev/node/answer"
)

var warm = Registration{Name: "i", Slots: 10, ColdRate: 11}

// toldGate returns the gate of a warm target that has just told its pace, and has served requests in 100 ms.
func toldGate(pace float64) Gate {
	g := NewGate(1).WithIdentity(warm).WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: 1}, true)
	g, v := g.WithArrival(start, AdmissionRequest{ID: 1 << 40, Account: "a", Route: "r", MaxWait: -1})
	g, _ = g.WithDone(start, v.ID, Outcome{Latency: ms(100)})
	return g.WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: pace}, false)
}

func wanted(id uint64, aim int) AdmissionRequest {
	return AdmissionRequest{ID: id, Account: "a", Route: "r", MaxWait: -1, SoftDeadline: start.Add(ms(aim)), LatencyObjective: ms(aim), Deadline: start.Add(ms(2 * aim))}
}

// full starts as many requests as the gate lets run.
func full(g Gate) Gate {
	for n := range uint64(g.limit.Value()) {
		g, _ = g.WithArrival(start, wanted(100+n, 1000))
	}
	return g
}

// TestToldArrival guards against requests that start on a slow or silent target, that wait where they had better go on,
// and that are refused although they can be served in time.
func TestToldArrival(t *testing.T) {
	fast, slow := toldGate(1), toldGate(4)
	busy := full(fast)
	spare := func(t AdmissionRequest, ms time.Duration) AdmissionRequest { t.MaxWait = ms; return t }
	cases := map[string]struct {
		gate   Gate
		ticket AdmissionRequest
		at     int
		want   Action
	}{
		"fast":                   {gate: fast, ticket: wanted(1, 600), want: ActionStart},
		"report is old":          {gate: fast, ticket: wanted(1, 600), at: 30, want: ActionWait},
		"no aim, report is old":  {gate: fast, ticket: AdmissionRequest{ID: 1, MaxWait: -1}, at: 30, want: ActionStart},
		"slow":                   {gate: slow, ticket: wanted(1, 600), want: ActionWait},
		"slow, nothing to spare": {gate: slow, ticket: spare(wanted(1, 600), 0), want: ActionRefuse},
		"slow, enough to spare":  {gate: slow, ticket: spare(wanted(1, 600), ms(150)), want: ActionWait},
		"full":                   {gate: busy, ticket: wanted(1, 600), want: ActionWait},
		"full, nothing to spare": {gate: busy, ticket: spare(wanted(1, 600), 0), want: ActionRefuse},
		"full, aim can't be met": {gate: full(toldGate(1)), ticket: wanted(1, 10), want: ActionRefuse},
		"target does not answer": {gate: fast.WithUnreachable(start), ticket: wanted(1, 600), want: ActionRefuse},
		"target answers again":   {gate: fast.WithUnreachable(start).WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: 1}, true), ticket: wanted(1, 600), want: ActionStart},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, v := tc.gate.WithArrival(start.Add(ms(tc.at)), tc.ticket)
			require.Equal(t, tc.want, v.Action, v.Refusal.Text)
			if v.Action == ActionRefuse {
				require.Equal(t, answer.NotExecuted, v.Refusal.Execution)
				require.Positive(t, v.Refusal.RetryAfter)
			}
		})
	}
}

// TestReplaced guards against requests that reach a target although it has replaced the one that they are meant for: it
// refuses them, and each counts as a repeat. After a loss of power the list still names the earlier targets for seconds.
func TestReplaced(t *testing.T) {
	tells := func(name string) Gate {
		return toldGate(1).WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: 1, Instance: name}, true)
	}
	meant := func(name string) AdmissionRequest {
		ticket := wanted(1, 600)
		ticket.Target = name
		return ticket
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
		"not asked since":        {gate: tells("j").WithIdentity(restarted), ticket: meant("i"), want: ActionStart},
		"replaced again":         {gate: tells("j").WithReport(start, answer.TargetReport{HasLoad: true, Slowdown: 1, Instance: "i"}, true), ticket: meant("i"), want: ActionStart},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, v := tc.gate.WithArrival(start, tc.ticket)
			require.Equal(t, tc.want, v.Action, v.Refusal.Text)
			if v.Action == ActionRefuse {
				require.Equal(t, answer.CodeLeaving, v.Refusal.Code)
				require.Equal(t, answer.NotExecuted, v.Refusal.Execution)
				require.False(t, v.Refusal.ReachedTarget)
			}
		})
	}
}

// TestReportStarts guards against requests that go on waiting after the report that they waited for.
func TestReportStarts(t *testing.T) {
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
			ticket := wanted(1, 600)
			ticket.MaxWait = tc.spare
			now := start.Add(ms(30))
			g, v := toldGate(1).WithArrival(now, ticket)
			require.Equal(t, ActionWait, v.Action)
			require.True(t, g.Asks(now))
			g = g.WithReport(now.Add(ms(2)), answer.TargetReport{HasLoad: true, Slowdown: tc.pace}, true)
			_, verdicts := g.WithTick(now.Add(ms(2)))
			var got []Action
			for _, v := range verdicts {
				got = append(got, v.Action)
			}
			require.Equal(t, tc.want, got)
		})
	}
}

// TestAskPatience guards against requests that wait for a report for good when the probe is lost.
func TestAskPatience(t *testing.T) {
	now := start.Add(ms(30))
	g, v := toldGate(1).WithArrival(now, wanted(1, 600))
	require.Equal(t, ActionWait, v.Action)
	due, ok := g.Due(now)
	require.True(t, ok)
	require.Equal(t, now.Add(askPatience), due)
	_, verdicts := g.WithTick(due)
	require.Len(t, verdicts, 1)
	require.Equal(t, ActionStart, verdicts[0].Action)
}

// TestRanks guards against a less urgent request that starts before a more urgent one, and against a late one that takes
// the place of one that can still meet its aim.
func TestRanks(t *testing.T) {
	g := full(toldGate(1))
	ranked := func(id uint64, account, route, aim int) AdmissionRequest {
		ticket := wanted(id, aim)
		ticket.Account, ticket.Priority = string(rune('a'+id)), Priority{Account: account, Route: route}
		return ticket
	}
	// The aim of the third one passes while it waits.
	for _, ticket := range []AdmissionRequest{ranked(1, 1, 2, 900), ranked(2, 1, 1, 900), ranked(3, 1, 1, 150), ranked(4, 0, 2, 900), ranked(5, 1, 2, 900)} {
		var v Decision
		g, v = g.WithArrival(start, ticket)
		require.Equal(t, ActionWait, v.Action, "%d: %s", ticket.ID, v.Refusal.Text)
	}
	var got []uint64
	for n := range uint64(5) {
		now := start.Add(ms(100))
		g = g.WithReport(now, answer.TargetReport{HasLoad: true, Slowdown: 1}, false)
		var verdicts []Decision
		g, verdicts = g.WithDone(now, 100+n, Outcome{Latency: ms(100)})
		for _, v := range verdicts {
			require.Equal(t, ActionStart, v.Action)
			got = append(got, v.ID)
		}
	}
	require.Equal(t, []uint64{4, 2, 3, 1, 5}, got)
}

// TestToldLimit guards against more requests at once than the target's slots bear, and against a limit that falls for
// reasons other than load.
func TestToldLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g, now, id := toldGate(1), start, uint64(0)
		running := map[uint64]bool{}
		note := func(verdicts ...Decision) {
			for _, v := range verdicts {
				if v.Action == ActionStart {
					running[v.ID] = true
				}
			}
			require.LessOrEqual(r, len(running), Usable(warm.Slots))
			require.Equal(r, len(running), g.Load(now).Running)
		}
		for range 200 {
			now = now.Add(ms(rapid.IntRange(0, 20).Draw(r, "pause")))
			var v Decision
			var more []Decision
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0, 1:
				id++
				g, v = g.WithArrival(now, AdmissionRequest{ID: id, Account: "a", Route: "r", MaxWait: -1, SoftDeadline: now.Add(ms(600)), LatencyObjective: ms(600), Deadline: now.Add(time.Second)})
				note(v)
			case 2:
				for done := range running {
					kind := rapid.SampledFrom([]OutcomeKind{OutcomeSuccess, OutcomeFailure, OutcomeShed, OutcomeLost, OutcomeCancelled}).Draw(r, "kind")
					delete(running, done)
					g, more = g.WithDone(now, done, Outcome{Kind: kind, Latency: ms(100)})
					note(more...)
					break
				}
			default:
				g = g.WithReport(now, answer.TargetReport{HasLoad: true, Slowdown: 1}, true)
				g, more = g.WithTick(now)
				note(more...)
			}
			require.Equal(r, Usable(warm.Slots), g.Load(now).Limit)
		}
	})
}
