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

func loadOf(running, limit int) target.Load {
	return target.Load{Running: running, Limit: limit, ServiceTime: ms(6)}
}

// tableOf returns a table with a current load of each target: a and b are in the failure domain near, c is in far.
func tableOf(a, b, c target.Load) TargetTable {
	var table TargetTable
	loads := map[string]target.Load{"a": a, "b": b, "c": c}
	for _, name := range []string{"c", "b", "a"} { // the first load has the largest weight in the mean
		l := loads[name]
		domain, rtt := "near", ms(1)/5
		if name == "c" {
			domain, rtt = "far", ms(2)
		}
		table = table.WithSent(start, Candidate{Name: name, Domain: domain}).WithDone(start, name)
		table = table.WithResponse(start, name, l, rtt)
	}
	return table
}

// TestChoose guards against choices of targets that are evacuated, tried, leaving or lost, and against a wrong comparison of
// the usable ones.
func TestChoose(t *testing.T) {
	idle, busy := loadOf(0, 12), loadOf(24, 12)
	all := []Candidate{{Name: "a", Domain: "near"}, {Name: "b", Domain: "near"}, {Name: "c", Domain: "far"}}
	leaving := idle
	leaving.Leaving = true
	failing := idle
	failing.FailureRate, failing.ServiceTime = 0.9, ms(1)
	cold := loadOf(1, 1)
	cases := map[string]struct {
		table            TargetTable
		candidates       []Candidate
		evacuated, tried []string
		now              time.Time
		want             []string // possible choices
		reason           Reason
	}{
		"no candidates":                      {reason: ReasonEmpty},
		"unknown only":                       {candidates: all[:1], want: []string{"a"}, reason: ReasonExplore},
		"the less loaded":                    {table: tableOf(busy, idle, busy), candidates: all, want: []string{"b"}, reason: ReasonLowestScore},
		"equal load stays near":              {table: tableOf(loadOf(11, 12), loadOf(11, 12), loadOf(11, 12)), candidates: all, want: []string{"a", "b"}, reason: ReasonLowestScore},
		"spill when waiting costs":           {table: tableOf(busy, busy, idle), candidates: all, want: []string{"c"}, reason: ReasonOtherDomain},
		"round trip costs more than waiting": {table: tableOf(loadOf(12, 12), busy, idle).withRTT("far", ms(200)), candidates: all, want: []string{"a"}, reason: ReasonLowestScore},
		"only the other domain":              {table: tableOf(idle, idle, idle), candidates: all[2:], want: []string{"c"}, reason: ReasonLowestScore},
		"near is evacuated":                  {table: tableOf(idle, idle, idle), candidates: all, evacuated: []string{"near"}, want: []string{"c"}, reason: ReasonLowestScore},
		"all evacuated":                      {table: tableOf(idle, idle, idle), candidates: all, evacuated: []string{"near", "far"}, reason: ReasonDomain},
		"tried":                              {table: tableOf(idle, busy, busy), candidates: all[:2], tried: []string{"a"}, want: []string{"b"}, reason: ReasonLowestScore},
		"all tried":                          {table: tableOf(idle, idle, idle), candidates: all, tried: []string{"a", "b", "c"}, reason: ReasonTried},
		"leaving":                            {table: tableOf(leaving, busy, busy), candidates: all[:2], want: []string{"b"}, reason: ReasonLowestScore},
		"all leaving":                        {table: tableOf(leaving, leaving, idle), candidates: all[:2], reason: ReasonLeaving},
		"announced as leaving":               {table: TargetTable{}.WithLeaving(start, "a", true), candidates: all[:1], reason: ReasonLeaving},
		"new process":                        {table: tableOf(leaving, busy, busy).WithLeaving(start, "a", false), candidates: all[:1], want: []string{"a"}, reason: ReasonExplore},
		"leaving long ago":                   {table: tableOf(leaving, busy, busy), candidates: all[:1], now: at(6000), want: []string{"a"}, reason: ReasonExplore},
		"fails fast":                         {table: tableOf(failing, loadOf(11, 12), busy), candidates: all[:2], want: []string{"b"}, reason: ReasonLowestScore},
		"failed fast long ago":               {table: tableOf(failing, busy, busy).WithResponse(at(20_000), "b", busy, 0), candidates: all[:2], now: at(20_000), want: []string{"a"}, reason: ReasonLowestScore},
		"cold and in use":                    {table: tableOf(cold, loadOf(11, 12), busy), candidates: all[:2], want: []string{"b"}, reason: ReasonLowestScore},
		"old load":                           {table: tableOf(busy, loadOf(11, 12), loadOf(6, 12)).WithResponse(at(2000), "b", loadOf(11, 12), 0), candidates: all[:2], now: at(2000), want: []string{"a"}, reason: ReasonLowestScore},
		"busy gate":                          {table: tableOf(idle, loadOf(11, 12), busy).WithRefusal(start, "a", answer.NewNotExecuted(answer.CodeBusy, "").WithRetryAfter(ms(50)), idle), candidates: all[:2], want: []string{"b"}, reason: ReasonLowestScore},
		"lost":                               {table: tableOf(idle, busy, busy).WithLost(start, "a"), candidates: all[:2], want: []string{"b"}, reason: ReasonLowestScore},
		"all lost":                           {table: tableOf(idle, busy, busy).WithLost(start, "a"), candidates: all[:1], now: at(99), reason: ReasonUnknown},
		"lost, backoff over":                 {table: tableOf(idle, busy, busy).WithLost(start, "a"), candidates: all[:1], now: at(100), want: []string{"a"}, reason: ReasonExplore},
		"second loss":                        {table: tableOf(idle, busy, busy).WithLost(start, "a").WithLost(at(100), "a"), candidates: all[:1], now: at(299), reason: ReasonUnknown},
		"simultaneous losses":                {table: tableOf(idle, busy, busy).WithLost(start, "a").WithLost(at(1), "a"), candidates: all[:1], now: at(100), want: []string{"a"}, reason: ReasonExplore},
		"being explored":                     {table: tableOf(idle, busy, busy).WithLost(start, "a").WithSent(at(100), all[0]), candidates: all[:1], now: at(200), reason: ReasonUnknown},
		"answered again":                     {table: tableOf(idle, busy, busy).WithLost(start, "a").WithResponse(at(100), "a", idle, 0), candidates: all[:2], now: at(100), want: []string{"a"}, reason: ReasonLowestScore},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			now := tc.now
			if now.IsZero() {
				now = start
			}
			for n := range uint64(50) {
				got, ok := tc.table.Choose(now, rand.New(rand.NewPCG(n, 1)), tc.candidates, "near", tc.evacuated, tc.tried)
				require.Equal(t, len(tc.want) > 0, ok)
				require.Equal(t, tc.reason, got.Reason)
				if ok {
					require.Contains(t, tc.want, got.Instance)
				}
			}
		})
	}
}

// TestChooseUnanswered guards against refusals while the first request to the only target has not been answered yet.
func TestChooseUnanswered(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	two := []Candidate{{Name: "a", Domain: "x"}, {Name: "b", Domain: "y"}}
	sent := TargetTable{}.WithSent(start, two[0]).WithSent(start, two[0]).WithSent(start, two[1])
	cases := map[string]struct {
		table            TargetTable
		evacuated, tried []string
		want             string
	}{
		"fewest outstanding": {table: sent, want: "b"},
		"evacuated":          {table: sent, evacuated: []string{"y"}, want: "a"},
		"tried":              {table: sent, tried: []string{"b"}, want: "a"},
		"lost":               {table: sent.WithLost(start, "b"), want: "a"},
		"all lost":           {table: sent.WithLost(start, "a").WithLost(start, "b")},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c, ok := tc.table.Choose(start, r, two, "x", tc.evacuated, tc.tried)
			require.Equal(t, tc.want != "", ok)
			require.Equal(t, tc.want, c.Instance)
		})
	}
}

// TestLeavingRecheck guards against a target that gets no requests for seconds after its node has been restarted, and against
// more than one exploring request to a leaving target. Nodes restart within half a second.
func TestLeavingRecheck(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	one := []Candidate{{Name: "a", Domain: "near"}}
	leaving := loadOf(1, 12)
	leaving.Leaving = true
	table := TargetTable{}.WithSent(start, one[0]).WithDone(start, "a").WithResponse(start, "a", leaving, 0)
	got, ok := table.Choose(at(500), r, one, "near", nil, nil)
	require.False(t, ok)
	require.Equal(t, ReasonLeaving, got.Reason)
	got, ok = table.Choose(at(1000), r, one, "near", nil, nil)
	require.True(t, ok)
	require.Equal(t, ReasonExplore, got.Reason)
	table = table.WithSent(at(1000), one[0])
	_, ok = table.Choose(at(1001), r, one, "near", nil, nil)
	require.False(t, ok, "the exploring request is outstanding")
	table = table.WithDone(at(1010), "a").WithRefusal(at(1010), "a", answer.NewNotExecuted(answer.CodeLeaving, ""), leaving)
	_, ok = table.Choose(at(1500), r, one, "near", nil, nil)
	require.False(t, ok, "the target is still leaving")
	table = table.WithSent(at(2000), one[0]).WithDone(at(2010), "a").WithResponse(at(2010), "a", loadOf(1, 12), 0)
	got, ok = table.Choose(at(2011), r, one, "near", nil, nil)
	require.True(t, ok)
	require.Equal(t, ReasonLowestScore, got.Reason)
}

// TestExploreOnce guards against a target of unknown state that gets more than a single request, or none while the load of the
// others is low.
func TestExploreOnce(t *testing.T) {
	all := []Candidate{{Name: "a", Domain: "near"}, {Name: "b", Domain: "near"}}
	r := rand.New(rand.NewPCG(1, 1))
	table := tableOf(loadOf(1, 12), loadOf(1, 12), loadOf(1, 12)).WithLost(start, "a")
	explored := 0
	for i := range 1000 {
		now := at(200 + i)
		got, ok := table.Choose(now, r, all, "near", nil, nil)
		require.True(t, ok)
		if got.Instance == "a" {
			explored++
			table = table.WithSent(now, all[0])
		} else {
			table = table.WithResponse(now, "b", loadOf(1, 12), 0)
		}
	}
	require.Equal(t, 1, explored)
}

// TestChooseValid compares Choose with a simple filter of the candidates: it guards against choices that the filter excludes,
// and against no choice where the filter leaves one.
func TestChooseValid(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
		type expectedState struct {
			outstanding        int
			known, leaving     bool
			losses             int
			retryAt, leavingAt time.Time
		}
		var table TargetTable
		expected := map[string]*expectedState{}
		var all []Candidate
		for i := range rapid.IntRange(0, 9).Draw(r, "targets") {
			c := Candidate{Name: fmt.Sprint("t", i), Domain: fmt.Sprint("d", i%3)}
			all, expected[c.Name] = append(all, c), &expectedState{}
		}
		now := start
		for range rapid.IntRange(0, 60).Draw(r, "events") {
			now = now.Add(ms(rapid.SampledFrom([]int{0, 1, 50, 300, 6000}).Draw(r, "pause")))
			if len(all) == 0 {
				break
			}
			c := rapid.SampledFrom(all).Draw(r, "target")
			state := expected[c.Name]
			l := target.Load{Running: rapid.IntRange(0, 24).Draw(r, "running"), Limit: rapid.IntRange(1, 12).Draw(r, "limit"), ServiceTime: ms(6), Leaving: rapid.IntRange(0, 5).Draw(r, "leaving") == 0}
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0:
				table = table.WithSent(now, c)
				state.outstanding++
			case 1:
				table = table.WithDone(now, c.Name)
				state.outstanding = max(state.outstanding-1, 0)
			case 2:
				table = table.WithResponse(now, c.Name, l, ms(1))
				state.known, state.leaving, state.losses, state.retryAt, state.leavingAt = true, l.Leaving, 0, time.Time{}, now
			case 3:
				table = table.WithRefusal(now, c.Name, answer.NewNotExecuted(answer.CodeLeaving, "").WithRetryAfter(ms(100)), l)
				state.known, state.leaving, state.losses, state.retryAt, state.leavingAt = true, true, 0, now.Add(ms(100)), now
			case 4:
				table = table.WithLost(now, c.Name)
				if state.losses == 0 || !now.Before(state.retryAt) {
					state.losses++
					state.retryAt = now.Add(min(ms(100)<<(state.losses-1), 5*time.Second))
				}
				state.known = false
			}
			evacuated := rapid.SampledFrom([][]string{nil, {"d0"}, {"d0", "d1", "d2"}}).Draw(r, "evacuated")
			tried := rapid.SampledFrom([][]string{nil, {"t0"}, {"t1", "t2"}}).Draw(r, "tried")
			var valid, unanswered []string // unanswered ones are chosen only if there is no valid one
			for _, c := range all {
				state := expected[c.Name]
				if slices.Contains(evacuated, c.Domain) || slices.Contains(tried, c.Name) {
					continue
				}
				stillLeaving := state.leaving && now.Sub(state.leavingAt) < leavingRecheck
				switch {
				case !stillLeaving && (state.known && !state.leaving || state.outstanding == 0 && !now.Before(state.retryAt)):
					valid = append(valid, c.Name)
				case !state.known && state.losses == 0 && state.outstanding > 0:
					unanswered = append(unanswered, c.Name)
				}
			}
			usable := valid
			if len(valid) == 0 {
				usable = unanswered
			}
			for name, choose := range map[string]chooseFunc{"table": TargetTable.Choose, "round robin": RoundRobin, "least reported": LeastReported} {
				allowed := valid
				if name == "table" {
					allowed = usable
				}
				got, ok := choose(table, now, random, all, "d0", evacuated, tried)
				require.Equal(r, len(allowed) > 0, ok, name)
				if ok {
					require.Contains(r, allowed, got.Instance, name)
				}
			}
		}
	})
}

// TestTargetTableImmutable guards against an update that modifies an earlier table.
func TestTargetTableImmutable(t *testing.T) {
	table := tableOf(loadOf(1, 12), loadOf(2, 12), loadOf(3, 12))
	before := *table.find("a")
	rtts := slices.Clone(table.rtts)
	_ = table.WithLost(at(1), "a")
	_ = table.WithSent(at(1), Candidate{Name: "a", Domain: "near"})
	_ = table.WithResponse(at(1), "a", loadOf(9, 12), ms(9))
	rest := table.WithListed(func(name string) bool { return name == "b" })
	require.Equal(t, before, *table.find("a"))
	require.Equal(t, rtts, table.rtts)
	require.Nil(t, rest.find("a"))
	require.NotNil(t, rest.find("b"))
}

// BenchmarkTargetTable measures choosing and updating with 1,200 known targets, 8 of which serve the route.
func BenchmarkTargetTable(b *testing.B) {
	var table TargetTable
	var all []Candidate
	for i := range 1200 {
		c := Candidate{Name: fmt.Sprint("target-", i), Domain: fmt.Sprint("d", i%3)}
		all = append(all, c)
		table = table.WithSent(start, c).WithDone(start, c.Name).WithResponse(start, c.Name, loadOf(i%12, 12), ms(1))
	}
	r := rand.New(rand.NewPCG(1, 1))
	b.Run("choose", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = table.Choose(start, r, all[:8], "d0", nil, nil)
		}
	})
	b.Run("call", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			choice, _ := table.Choose(start, r, all[:8], "d0", nil, nil)
			table = table.WithSent(start, Candidate{Name: choice.Instance, Domain: "d0"})
			table = table.WithResponse(start, choice.Instance, loadOf(3, 12), ms(1))
			table = table.WithDone(start, choice.Instance)
		}
	})
}
