package peer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

func report(running, limit int) target.Load {
	return target.Load{Running: running, Limit: limit, ServiceTime: ms(6)}
}

// known returns a board with a fresh report of each target: a and b are near, c is in another failure domain.
func known(a, b, c target.Load) TargetTable {
	var board TargetTable
	loads := map[string]target.Load{"a": a, "b": b, "c": c}
	for _, name := range []string{"c", "b", "a"} { // the first report counts most in the mean
		l := loads[name]
		domain, rtt := "near", ms(1)/5
		if name == "c" {
			domain, rtt = "far", ms(2)
		}
		board = board.WithSent(start, Candidate{Name: name, Domain: domain}).WithDone(start, name)
		board = board.WithResponse(start, name, l, rtt)
	}
	return board
}

// TestChoose guards against choices of targets that are taken out, tried, leaving or lost, and against a wrong comparison of the rest.
func TestChoose(t *testing.T) {
	idle, busy := report(0, 12), report(24, 12)
	all := []Candidate{{Name: "a", Domain: "near"}, {Name: "b", Domain: "near"}, {Name: "c", Domain: "far"}}
	leaving := idle
	leaving.Leaving = true
	failing := idle
	failing.FailureRate, failing.ServiceTime = 0.9, ms(1)
	cold := report(1, 1)
	cases := map[string]struct {
		board      TargetTable
		candidates []Candidate
		out, tried []string
		now        time.Time
		want       []string // possible choices
		reason     Reason
	}{
		"no candidates":                {reason: ReasonEmpty},
		"unknown only":                 {candidates: all[:1], want: []string{"a"}, reason: ReasonExplore},
		"the less loaded":              {board: known(busy, idle, busy), candidates: all, want: []string{"b"}, reason: ReasonLeast},
		"equal load stays near":        {board: known(report(11, 12), report(11, 12), report(11, 12)), candidates: all, want: []string{"a", "b"}, reason: ReasonLeast},
		"spill when waiting costs":     {board: known(busy, busy, idle), candidates: all, want: []string{"c"}, reason: ReasonSpill},
		"trip costs more than waiting": {board: known(report(12, 12), busy, idle).withRTT("far", ms(200)), candidates: all, want: []string{"a"}, reason: ReasonLeast},
		"only the other domain":        {board: known(idle, idle, idle), candidates: all[2:], want: []string{"c"}, reason: ReasonLeast},
		"near is taken out":            {board: known(idle, idle, idle), candidates: all, out: []string{"near"}, want: []string{"c"}, reason: ReasonLeast},
		"all taken out":                {board: known(idle, idle, idle), candidates: all, out: []string{"near", "far"}, reason: ReasonDomain},
		"tried":                        {board: known(idle, busy, busy), candidates: all[:2], tried: []string{"a"}, want: []string{"b"}, reason: ReasonLeast},
		"all tried":                    {board: known(idle, idle, idle), candidates: all, tried: []string{"a", "b", "c"}, reason: ReasonTried},
		"leaving":                      {board: known(leaving, busy, busy), candidates: all[:2], want: []string{"b"}, reason: ReasonLeast},
		"all leaving":                  {board: known(leaving, leaving, idle), candidates: all[:2], reason: ReasonLeaving},
		"announced to leave":           {board: TargetTable{}.WithLeaving(start, "a", true), candidates: all[:1], reason: ReasonLeaving},
		"new process":                  {board: known(leaving, busy, busy).WithLeaving(start, "a", false), candidates: all[:1], want: []string{"a"}, reason: ReasonExplore},
		"leaving long ago":             {board: known(leaving, busy, busy), candidates: all[:1], now: at(6000), want: []string{"a"}, reason: ReasonExplore},
		"fails fast":                   {board: known(failing, report(11, 12), busy), candidates: all[:2], want: []string{"b"}, reason: ReasonLeast},
		"failed fast long ago":         {board: known(failing, busy, busy).WithResponse(at(20_000), "b", busy, 0), candidates: all[:2], now: at(20_000), want: []string{"a"}, reason: ReasonLeast},
		"cold and in use":              {board: known(cold, report(11, 12), busy), candidates: all[:2], want: []string{"b"}, reason: ReasonLeast},
		"old report":                   {board: known(busy, report(11, 12), report(6, 12)).WithResponse(at(2000), "b", report(11, 12), 0), candidates: all[:2], now: at(2000), want: []string{"a"}, reason: ReasonLeast},
		"busy gate":                    {board: known(idle, report(11, 12), busy).WithRefusal(start, "a", answer.NewNotExecuted(answer.CodeBusy, "").WithRetryAfter(ms(50)), idle), candidates: all[:2], want: []string{"b"}, reason: ReasonLeast},
		"lost":                         {board: known(idle, busy, busy).WithLost(start, "a"), candidates: all[:2], want: []string{"b"}, reason: ReasonLeast},
		"all lost":                     {board: known(idle, busy, busy).WithLost(start, "a"), candidates: all[:1], now: at(99), reason: ReasonUnknown},
		"lost and due":                 {board: known(idle, busy, busy).WithLost(start, "a"), candidates: all[:1], now: at(100), want: []string{"a"}, reason: ReasonExplore},
		"second loss":                  {board: known(idle, busy, busy).WithLost(start, "a").WithLost(at(100), "a"), candidates: all[:1], now: at(299), reason: ReasonUnknown},
		"losses at once":               {board: known(idle, busy, busy).WithLost(start, "a").WithLost(at(1), "a"), candidates: all[:1], now: at(100), want: []string{"a"}, reason: ReasonExplore},
		"being explored":               {board: known(idle, busy, busy).WithLost(start, "a").WithSent(at(100), all[0]), candidates: all[:1], now: at(200), reason: ReasonUnknown},
		"answered again":               {board: known(idle, busy, busy).WithLost(start, "a").WithResponse(at(100), "a", idle, 0), candidates: all[:2], now: at(100), want: []string{"a"}, reason: ReasonLeast},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			now := tc.now
			if now.IsZero() {
				now = start
			}
			for n := range uint64(50) {
				got, ok := tc.board.Choose(now, rand.New(rand.NewPCG(n, 1)), tc.candidates, "near", tc.out, tc.tried)
				require.Equal(t, len(tc.want) > 0, ok)
				require.Equal(t, tc.reason, got.Reason)
				if ok {
					require.Contains(t, tc.want, got.Instance)
				}
			}
		})
	}
}

// TestUnheard guards against refusals while the first request to the only target is still under way.
func TestUnheard(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	two := []Candidate{{Name: "a", Domain: "x"}, {Name: "b", Domain: "y"}}
	sent := TargetTable{}.WithSent(start, two[0]).WithSent(start, two[0]).WithSent(start, two[1])
	cases := map[string]struct {
		board      TargetTable
		out, tried []string
		want       string
	}{
		"fewest under way": {board: sent, want: "b"},
		"taken out":        {board: sent, out: []string{"y"}, want: "a"},
		"tried":            {board: sent, tried: []string{"b"}, want: "a"},
		"lost":             {board: sent.WithLost(start, "b"), want: "a"},
		"all lost":         {board: sent.WithLost(start, "a").WithLost(start, "b")},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c, ok := tc.board.Choose(start, r, two, "x", tc.out, tc.tried)
			require.Equal(t, tc.want != "", ok)
			require.Equal(t, tc.want, c.Instance)
		})
	}
}

// TestLeavingEnds guards against a target that gets nothing for seconds after the node beside it has been started again, and
// against more than one request that finds out. Nodes restart within half a second.
func TestLeavingEnds(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	one := []Candidate{{Name: "a", Domain: "near"}}
	leaving := report(1, 12)
	leaving.Leaving = true
	board := TargetTable{}.WithSent(start, one[0]).WithDone(start, "a").WithResponse(start, "a", leaving, 0)
	got, ok := board.Choose(at(500), r, one, "near", nil, nil)
	require.False(t, ok)
	require.Equal(t, ReasonLeaving, got.Reason)
	got, ok = board.Choose(at(1000), r, one, "near", nil, nil)
	require.True(t, ok)
	require.Equal(t, ReasonExplore, got.Reason)
	board = board.WithSent(at(1000), one[0])
	_, ok = board.Choose(at(1001), r, one, "near", nil, nil)
	require.False(t, ok, "the exploring request is under way")
	board = board.WithDone(at(1010), "a").WithRefusal(at(1010), "a", answer.NewNotExecuted(answer.CodeLeaving, ""), leaving)
	_, ok = board.Choose(at(1500), r, one, "near", nil, nil)
	require.False(t, ok, "it still leaves")
	board = board.WithSent(at(2000), one[0]).WithDone(at(2010), "a").WithResponse(at(2010), "a", report(1, 12), 0)
	got, ok = board.Choose(at(2011), r, one, "near", nil, nil)
	require.True(t, ok)
	require.Equal(t, ReasonLeast, got.Reason)
}

// TestUnknown guards against an unknown target that gets more than a single request, or none while the others are used little.
func TestUnknown(t *testing.T) {
	all := []Candidate{{Name: "a", Domain: "near"}, {Name: "b", Domain: "near"}}
	r := rand.New(rand.NewPCG(1, 1))
	board := known(report(1, 12), report(1, 12), report(1, 12)).WithLost(start, "a")
	explored := 0
	for i := range 1000 {
		now := at(200 + i)
		got, ok := board.Choose(now, r, all, "near", nil, nil)
		require.True(t, ok)
		if got.Instance == "a" {
			explored++
			board = board.WithSent(now, all[0])
		} else {
			board = board.WithResponse(now, "b", report(1, 12), 0)
		}
	}
	require.Equal(t, 1, explored)
}

// TestChooseValid guards against choices that a naive filter of the candidates forbids, and against no choice where it leaves one.
func TestChooseValid(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
		type fact struct {
			outstanding           int
			known, leaving        bool
			losses                int
			retry, leftOrReported time.Time
		}
		var b TargetTable
		facts := map[string]*fact{}
		var all []Candidate
		for i := range rapid.IntRange(0, 9).Draw(r, "targets") {
			c := Candidate{Name: fmt.Sprint("t", i), Domain: fmt.Sprint("d", i%3)}
			all, facts[c.Name] = append(all, c), &fact{}
		}
		now := start
		for range rapid.IntRange(0, 60).Draw(r, "events") {
			now = now.Add(ms(rapid.SampledFrom([]int{0, 1, 50, 300, 6000}).Draw(r, "pause")))
			if len(all) == 0 {
				break
			}
			c := rapid.SampledFrom(all).Draw(r, "target")
			f := facts[c.Name]
			l := target.Load{Running: rapid.IntRange(0, 24).Draw(r, "running"), Limit: rapid.IntRange(1, 12).Draw(r, "limit"), ServiceTime: ms(6), Leaving: rapid.IntRange(0, 5).Draw(r, "leaving") == 0}
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0:
				b = b.WithSent(now, c)
				f.outstanding++
			case 1:
				b = b.WithDone(now, c.Name)
				f.outstanding = max(f.outstanding-1, 0)
			case 2:
				b = b.WithResponse(now, c.Name, l, ms(1))
				f.known, f.leaving, f.losses, f.retry, f.leftOrReported = true, l.Leaving, 0, time.Time{}, now
			case 3:
				b = b.WithRefusal(now, c.Name, answer.NewNotExecuted(answer.CodeLeaving, "").WithRetryAfter(ms(100)), l)
				f.known, f.leaving, f.losses, f.retry, f.leftOrReported = true, true, 0, now.Add(ms(100)), now
			case 4:
				b = b.WithLost(now, c.Name)
				if f.losses == 0 || !now.Before(f.retry) {
					f.losses++
					f.retry = now.Add(min(ms(100)<<(f.losses-1), 5*time.Second))
				}
				f.known = false
			}
			out := rapid.SampledFrom([][]string{nil, {"d0"}, {"d0", "d1", "d2"}}).Draw(r, "out")
			tried := rapid.SampledFrom([][]string{nil, {"t0"}, {"t1", "t2"}}).Draw(r, "tried")
			var valid, unheard []string // unheard ones are chosen only if there is no valid one
			for _, c := range all {
				f := facts[c.Name]
				if slices.Contains(out, c.Domain) || slices.Contains(tried, c.Name) {
					continue
				}
				left := f.leaving && now.Sub(f.leftOrReported) < leavingRecheck
				switch {
				case !left && (f.known && !f.leaving || f.outstanding == 0 && !now.Before(f.retry)):
					valid = append(valid, c.Name)
				case !f.known && f.losses == 0 && f.outstanding > 0:
					unheard = append(unheard, c.Name)
				}
			}
			usable := valid
			if len(valid) == 0 {
				usable = unheard
			}
			for name, choose := range map[string]chooseFunc{"board": TargetTable.Choose, "robin": RoundRobin, "least": LeastReported} {
				allowed := valid
				if name == "board" {
					allowed = usable
				}
				got, ok := choose(b, now, random, all, "d0", out, tried)
				require.Equal(r, len(allowed) > 0, ok, name)
				if ok {
					require.Contains(r, allowed, got.Instance, name)
				}
			}
		}
	})
}

// TestBoardImmutable guards against an event that changes an earlier board.
func TestBoardImmutable(t *testing.T) {
	b := known(report(1, 12), report(2, 12), report(3, 12))
	before := *b.find("a")
	trips := slices.Clone(b.rtts)
	_ = b.WithLost(at(1), "a")
	_ = b.WithSent(at(1), Candidate{Name: "a", Domain: "near"})
	_ = b.WithResponse(at(1), "a", report(9, 12), ms(9))
	rest := b.WithListed(map[string]bool{"b": true})
	require.Equal(t, before, *b.find("a"))
	require.Equal(t, trips, b.rtts)
	require.Nil(t, rest.find("a"))
	require.NotNil(t, rest.find("b"))
}

// BenchmarkBoard measures the cost of a call at 1,200 known targets, 8 of which serve the route.
func BenchmarkBoard(b *testing.B) {
	var board TargetTable
	var all []Candidate
	for i := range 1200 {
		c := Candidate{Name: fmt.Sprint("target-", i), Domain: fmt.Sprint("d", i%3)}
		all = append(all, c)
		board = board.WithSent(start, c).WithDone(start, c.Name).WithResponse(start, c.Name, report(i%12, 12), ms(1))
	}
	r := rand.New(rand.NewPCG(1, 1))
	b.Run("choose", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = board.Choose(start, r, all[:8], "d0", nil, nil)
		}
	})
	b.Run("call", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			choice, _ := board.Choose(start, r, all[:8], "d0", nil, nil)
			board = board.WithSent(start, Candidate{Name: choice.Instance, Domain: "d0"})
			board = board.WithResponse(start, choice.Instance, report(3, 12), ms(1))
			board = board.WithDone(start, choice.Instance)
		}
	})
}
