package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenapin.dev/node/answer"
)

// warmGate returns a gate that learnt its slots and a service time of 6 ms, idle at the returned time.
func warmGate(t require.TestingT, slots int) (Gate, time.Time) {
	g, now := NewGate(slots), start
	id := uint64(1 << 32)
	for range 40 {
		var ids []uint64
		for range g.Load(now).Limit {
			id++
			var v Decision
			g, v = g.WithArrival(now, AdmissionRequest{ID: id, Account: fmt.Sprint("warm", id%2)})
			if v.Action == ActionStart {
				ids = append(ids, id)
			}
		}
		now = now.Add(ms(6))
		for _, id := range ids {
			var more []Decision
			g, more = g.WithDone(now, id, Outcome{Latency: ms(6)})
			for _, v := range more {
				g, _ = g.WithDone(now, v.ID, Outcome{Kind: OutcomeCancelled})
			}
		}
	}
	require.Equal(t, slots, g.Load(now).Limit)
	require.Zero(t, g.Load(now).Running)
	return g, now.Add(2 * time.Second)
}

// fill starts n requests of different accounts.
func fill(g Gate, now time.Time, from uint64, n int) Gate {
	for i := range uint64(n) {
		g, _ = g.WithArrival(now, AdmissionRequest{ID: from + i, Account: fmt.Sprint("fill", from+i)})
	}
	return g
}

// TestArrival guards against starts beyond the limit and against refusals with a wrong code or without a time to retry.
func TestArrival(t *testing.T) {
	warm, now := warmGate(t, 4)
	full := fill(warm, now, 1, 4)
	slow, _ := NewGate(2).WithArrival(now.Add(-ms(60)), AdmissionRequest{ID: 1, Account: "slow"})
	slow, _ = slow.WithDone(now, 1, Outcome{Latency: ms(60)})
	slow = fill(slow, now, 1, 2)
	in := func(n int) time.Time { return now.Add(ms(n)) }
	cases := map[string]struct {
		gate   Gate
		ticket AdmissionRequest
		want   Action
		code   answer.Code
	}{
		"free":                    {gate: warm, want: ActionStart},
		"cold and free":           {gate: NewGate(4), want: ActionStart},
		"last slot":               {gate: fill(warm, now, 1, 3), want: ActionStart},
		"full":                    {gate: full, want: ActionWait},
		"full queue":              {gate: fill(full, now, 10, 8), want: ActionRefuse, code: answer.CodeBusy},
		"enough time":             {gate: full, ticket: AdmissionRequest{Deadline: in(20)}, want: ActionWait},
		"too little time":         {gate: full, ticket: AdmissionRequest{Deadline: in(1)}, want: ActionRefuse, code: answer.CodeLate},
		"little time but free":    {gate: warm, ticket: AdmissionRequest{Deadline: in(1)}, want: ActionStart},
		"no time left":            {gate: warm, ticket: AdmissionRequest{Deadline: in(0)}, want: ActionRefuse, code: answer.CodeLate},
		"wait fits":               {gate: slow, want: ActionWait},
		"wait too long":           {gate: fill(slow, now, 10, 1), want: ActionRefuse, code: answer.CodeBusy},
		"leaving":                 {gate: warm.WithLeaving(true), want: ActionRefuse, code: answer.CodeLeaving},
		"stays":                   {gate: warm.WithLeaving(true).WithLeaving(false), want: ActionStart},
		"failure domain out":      {gate: warm.WithOut(now, true), want: ActionRefuse, code: answer.CodeDomain},
		"failure domain returned": {gate: fill(warm.WithOut(now, true).WithOut(now, false), now, 1, 1), want: ActionWait},
		"fewer slots":             {gate: fill(warm, now, 1, 2).WithSlots(2), want: ActionWait},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tc.ticket.ID, tc.ticket.Account = 99, "new"
			_, v := tc.gate.WithArrival(now, tc.ticket)
			require.Equal(t, uint64(99), v.ID)
			require.Equal(t, tc.want, v.Action)
			require.Equal(t, tc.code, v.Refusal.Code)
			if v.Action == ActionRefuse {
				require.Equal(t, answer.NotExecuted, v.Refusal.Execution)
				require.Positive(t, v.Refusal.RetryAfter)
			}
		})
	}
}

// TestDisplaced guards against an account that fills the queue and keeps the others out.
func TestDisplaced(t *testing.T) {
	g, now := warmGate(t, 4)
	g = fill(g, now, 1, 4)
	for i := range uint64(8) {
		var v Decision
		g, v = g.WithArrival(now, AdmissionRequest{ID: 10 + i, Account: "large"})
		require.Equal(t, ActionWait, v.Action)
	}
	g, v := g.WithArrival(now, AdmissionRequest{ID: 20, Account: "large"})
	require.Equal(t, ActionRefuse, v.Action)
	g, v = g.WithArrival(now, AdmissionRequest{ID: 21, Account: "small"})
	require.Equal(t, ActionWait, v.Action)
	due, ok := g.Due(now)
	require.True(t, ok)
	require.False(t, due.After(now))
	_, verdicts := g.WithTick(now)
	require.Len(t, verdicts, 1)
	require.Equal(t, uint64(17), verdicts[0].ID)
	require.Equal(t, answer.CodeBusy, verdicts[0].Refusal.Code)
}

// TestTick guards against tickets that wait beyond 50 ms or their deadline, or that are refused with a wrong code.
func TestTick(t *testing.T) {
	g, now := warmGate(t, 4)
	g = fill(g, now, 1, 4)
	g, _ = g.WithArrival(now, AdmissionRequest{ID: 10, Account: "a", Deadline: now.Add(ms(20))})
	g, _ = g.WithArrival(now.Add(ms(1)), AdmissionRequest{ID: 11, Account: "b", Deadline: now.Add(ms(200))})
	cases := map[string]struct {
		after int
		late  int
		busy  int
	}{
		"before the deadline": {after: 19},
		"at the deadline":     {after: 20, late: 1},
		"before 50 ms":        {after: 50, late: 1},
		"at 50 ms":            {after: 51, late: 1, busy: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			next, verdicts := g.WithTick(now.Add(ms(tc.after)))
			got := map[answer.Code]int{}
			for _, v := range verdicts {
				require.Equal(t, ActionRefuse, v.Action)
				got[v.Refusal.Code]++
			}
			require.Equal(t, tc.late, got[answer.CodeLate])
			require.Equal(t, tc.busy, got[answer.CodeBusy])
			require.Equal(t, 2-tc.late-tc.busy, next.Load(now).Queued)
		})
	}
}

// TestStuck guards against a cold target that is noticed only when its slow responses arrive.
func TestStuck(t *testing.T) {
	g, now := warmGate(t, 12)
	g = fill(g, now, 1, 12)
	require.Equal(t, 12, g.Load(now).Limit)
	g, _ = g.WithTick(now.Add(ms(17)))
	require.Equal(t, 12, g.Load(now).Limit)
	g, _ = g.WithTick(now.Add(ms(19)))
	require.Equal(t, 1, g.Load(now).Limit)
}

// TestImmutable guards against an event that changes an earlier value of the gate.
func TestImmutable(t *testing.T) {
	g, now := warmGate(t, 4)
	g = fill(fill(g, now, 1, 4), now, 10, 6)
	before := fmt.Sprintf("%+v", g)
	a, _ := g.WithArrival(now, AdmissionRequest{ID: 50, Account: "x"})
	second := fmt.Sprintf("%+v", a)
	_, _ = g.WithArrival(now, AdmissionRequest{ID: 51, Account: "y"})
	_, _ = g.WithDone(now, 2, Outcome{Latency: ms(6)})
	_, _ = g.WithCancel(now, 11)
	_, _ = g.WithTick(now.Add(time.Second))
	require.Equal(t, before, fmt.Sprintf("%+v", g))
	require.Equal(t, second, fmt.Sprintf("%+v", a))
}

type fate int

const (
	waiting fate = iota + 1
	running
	refused
	ended
)

// ledger is the naive record of every ticket, from the verdicts alone.
type ledger struct {
	fates    map[uint64]fate
	accounts map[uint64]string
	arrived  map[uint64]time.Time
	active   map[string]time.Time
}

func (b *ledger) count(f fate, account string) int {
	n := 0
	for id, got := range b.fates {
		if got == f && (account == "" || b.accounts[id] == account) {
			n++
		}
	}
	return n
}

func (b *ledger) note(r *rapid.T, now time.Time, limit int, verdicts ...Decision) {
	for _, v := range verdicts {
		require.Contains(r, []fate{0, waiting}, b.fates[v.ID], "verdict on ticket %d", v.ID)
		account := b.accounts[v.ID]
		switch v.Action {
		case ActionStart:
			require.Less(r, b.count(running, ""), limit, "started beyond the limit")
			others := false
			for other, last := range b.active {
				others = others || other != account && (now.Sub(last) < time.Second || b.count(waiting, other)+b.count(running, other) > 0)
			}
			if others {
				require.Less(r, 4*b.count(running, account), 3*limit, "beyond the account's share")
			}
			b.fates[v.ID] = running
		case ActionWait:
			require.Zero(r, b.fates[v.ID])
			b.fates[v.ID] = waiting
		case ActionRefuse:
			require.Equal(r, answer.NotExecuted, v.Refusal.Execution)
			require.Positive(r, v.Refusal.RetryAfter)
			b.fates[v.ID] = refused
		}
		b.active[account] = now
	}
}

// TestGateTickets guards against tickets that are lost, started twice, started after a refusal, left waiting for too
// long or started beyond the limit or the account's share, under any order of events.
func TestGateTickets(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g, now, id := NewGate(rapid.IntRange(1, 12).Draw(r, "slots")), start, uint64(0)
		if rapid.Bool().Draw(r, "warm") {
			g, now = warmGate(r, rapid.IntRange(1, 12).Draw(r, "warm slots"))
		}
		b := ledger{fates: map[uint64]fate{}, accounts: map[uint64]string{}, arrived: map[uint64]time.Time{}, active: map[string]time.Time{}}
		pick := func(f fate) (uint64, bool) {
			for try := uint64(1); try <= id; try++ {
				if b.fates[try] == f && (try == id || rapid.Bool().Draw(r, "pick")) {
					return try, true
				}
			}
			return 0, false
		}
		for range rapid.IntRange(1, 150).Draw(r, "events") {
			now = now.Add(ms(rapid.SampledFrom([]int{0, 0, 0, 1, 3, 9, 30, 1500}).Draw(r, "pause")))
			var verdicts []Decision
			switch event := rapid.IntRange(0, 20).Draw(r, "event"); {
			case event < 11:
				id++
				ticket := AdmissionRequest{ID: id, Account: fmt.Sprint("a", rapid.IntRange(0, 3).Draw(r, "account"))}
				if left := rapid.SampledFrom([]int{-1, 0, 1, 10, 100}).Draw(r, "left"); left >= 0 {
					ticket.Deadline = now.Add(ms(left))
				}
				b.accounts[id], b.arrived[id] = ticket.Account, now
				var v Decision
				g, v = g.WithArrival(now, ticket)
				if v.Action == ActionWait {
					l := g.Load(now)
					require.LessOrEqual(r, l.Queued, 2*l.Limit)
				}
				verdicts = []Decision{v}
			case event < 17:
				done, ok := pick(running)
				if !ok {
					continue
				}
				o := Outcome{Kind: OutcomeKind(max(0, rapid.IntRange(-9, int(OutcomeCancelled)).Draw(r, "kind"))), Latency: now.Sub(b.arrived[done])}
				b.fates[done] = ended
				b.active[b.accounts[done]] = now
				g, verdicts = g.WithDone(now, done, o)
			case event < 18:
				gone, ok := pick(waiting)
				if !ok {
					continue
				}
				b.fates[gone] = ended
				b.active[b.accounts[gone]] = now
				g, verdicts = g.WithCancel(now, gone)
			case event < 19:
				g = g.WithSlots(rapid.IntRange(1, 12).Draw(r, "new slots"))
			case event < 20:
				g = g.WithLeaving(rapid.Bool().Draw(r, "leaving")).WithOut(now, rapid.Bool().Draw(r, "out"))
			default:
				g, verdicts = g.WithTick(now)
			}
			b.note(r, now, g.Load(now).Limit, verdicts...)
			for waits, f := range b.fates {
				if due, ok := g.Due(now); f == waiting && ok {
					require.LessOrEqual(r, due.Sub(b.arrived[waits]), queueFor)
				}
			}
			require.Equal(r, b.count(running, ""), g.Load(now).Running)
			require.Equal(r, b.count(waiting, ""), g.Load(now).Queued+len(g.displaced))
		}
		for n := 0; b.count(running, "")+b.count(waiting, "") > 0; n++ {
			require.Less(r, n, 1000, "tickets that never end")
			var verdicts []Decision
			now = now.Add(ms(10))
			if done, ok := pick(running); ok {
				b.fates[done] = ended
				b.active[b.accounts[done]] = now
				g, verdicts = g.WithDone(now, done, Outcome{Latency: ms(6)})
			} else {
				g, verdicts = g.WithTick(now)
			}
			b.note(r, now, g.Load(now).Limit, verdicts...)
		}
		require.Zero(r, g.Load(now).Running+g.Load(now).Queued)
	})
}

// BenchmarkGate measures the cost of a request that waits: one arrival and one end, 12 slots full.
func BenchmarkGate(b *testing.B) {
	for _, accounts := range []int{8, 1000, 100_000} {
		b.Run(fmt.Sprint(accounts, " accounts"), func(b *testing.B) {
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprint("account-", i)
			}
			g, now := warmGate(b, 12)
			g = fill(g, now, 1, 12)
			g = fill(g, now, 20, 6)
			id := uint64(100)
			runs := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
			b.ReportAllocs()
			for b.Loop() {
				id++
				now = now.Add(500 * time.Microsecond)
				var v Decision
				g, v = g.WithArrival(now, AdmissionRequest{ID: id, Account: names[int(id)%accounts], Deadline: now.Add(time.Second)})
				if v.Action == ActionStart {
					runs = append(runs, id)
				}
				if len(runs) == 0 {
					continue
				}
				var verdicts []Decision
				g, verdicts = g.WithDone(now, runs[0], Outcome{Latency: ms(6)})
				runs = runs[1:]
				for _, v := range verdicts {
					if v.Action == ActionStart {
						runs = append(runs, v.ID)
					}
				}
			}
		})
	}
}

// TestReturn guards against a target in a failure domain that is brought back and gets more requests at once before
// it can have warmed up.
func TestReturn(t *testing.T) {
	g := NewGate(12).WithOut(start, true).WithOut(start, false)
	now, id := start, uint64(0)
	for now.Before(start.Add(3500 * time.Millisecond)) {
		var started []uint64
		for range 12 {
			id++
			var v Decision
			if g, v = g.WithArrival(now, AdmissionRequest{ID: id, Account: fmt.Sprint(id % 4)}); v.Action == ActionStart {
				started = append(started, id)
			}
		}
		require.LessOrEqual(t, len(started), 2+int(now.Sub(start)/time.Second))
		now = now.Add(10 * time.Millisecond)
		for len(started) > 0 {
			var more []Decision
			g, more = g.WithDone(now, started[0], Outcome{Kind: OutcomeSuccess, Latency: 10 * time.Millisecond})
			started = started[1:]
			for _, v := range more {
				if v.Action == ActionStart {
					started = append(started, v.ID)
				}
			}
		}
	}
	require.Greater(t, g.Load(now).Limit, 2)
}
