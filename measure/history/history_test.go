package history

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

// TestMain guards against leaked goroutines and fixes rapid's seed, so that every run generates the same inputs.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// TestCheck guards against a check that misses a violation or reports one in a correct history.
func TestCheck(t *testing.T) {
	ran := func(ids ...string) []Execution {
		var list []Execution
		for _, id := range ids {
			list = append(list, Execution{ID: id})
		}
		return list
	}
	cases := map[string]struct {
		calls      []Call
		executions []Execution
		want       Violations
	}{
		"correct":             {calls: []Call{{ID: "a", Outcome: Answered, AnswerID: "a"}, {ID: "b", Outcome: NotRun}}, executions: ran("a")},
		"doubled":             {calls: []Call{{ID: "a", Outcome: Answered, AnswerID: "a"}}, executions: ran("a", "a"), want: Violations{Doubled: []string{"a"}}},
		"retried, idempotent": {calls: []Call{{ID: "a", Outcome: Answered, AnswerID: "a", Idempotent: true}}, executions: ran("a", "a")},
		"lost, broken":        {calls: []Call{{ID: "a", Outcome: Broken}}, executions: ran("a"), want: Violations{Lost: []string{"a"}}},
		"lost, never ran":     {calls: []Call{{ID: "a", Outcome: Answered, AnswerID: "a"}}, want: Violations{Lost: []string{"a"}}},
		"maybe ran":           {calls: []Call{{ID: "a", Outcome: MaybeRun}, {ID: "b", Outcome: MaybeRun}}, executions: ran("a")},
		"crossed":             {calls: []Call{{ID: "a", Outcome: Answered, AnswerID: "b"}}, executions: ran("a"), want: Violations{Crossed: []string{"a"}}},
		"false not run":       {calls: []Call{{ID: "a", Outcome: NotRun}}, executions: ran("a"), want: Violations{FalseNotRun: []string{"a"}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, Check(tc.calls, tc.executions))
		})
	}
}

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

// TestExcess guards against over-admission missed in a short or a long interval, and against false excess caused by queueing.
func TestExcess(t *testing.T) {
	cases := map[string]struct {
		intervals []AdmissionInterval
		want      float64
	}{
		"within the burst":         {intervals: []AdmissionInterval{{at(0), at(0)}, {at(0), at(0)}}},
		"beyond the burst":         {intervals: []AdmissionInterval{{at(0), at(0)}, {at(0), at(0)}, {at(0), at(0)}}, want: 1},
		"beyond the rate":          {intervals: []AdmissionInterval{{at(0), at(0)}, {at(0), at(0)}, {at(100), at(100)}, {at(110), at(110)}}, want: 0.9},
		"at the rate":              {intervals: []AdmissionInterval{{at(0), at(0)}, {at(0), at(0)}, {at(100), at(100)}, {at(200), at(200)}}},
		"bunched only by queueing": {intervals: []AdmissionInterval{{at(0), at(300)}, {at(100), at(300)}, {at(200), at(300)}, {at(300), at(300)}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, tc.want, Excess(10, 2, tc.intervals), 1e-9)
		})
	}
}

// TestExcessAgainstBucket guards against results that differ from a token bucket's, whose excess is the same if admission times
// are exact.
func TestExcessAgainstBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gaps := rapid.SliceOfN(rapid.IntRange(0, 300), 1, 60).Draw(t, "gaps")
		const rate, burst = 10.0, 3.0
		var intervals []AdmissionInterval
		ms, level, worst := 0, burst, 0.0
		for _, gap := range gaps {
			ms += gap
			level = min(burst, level+rate*float64(gap)/1000) - 1
			worst = max(worst, -level)
			intervals = append(intervals, AdmissionInterval{at(ms), at(ms)})
		}
		require.InDelta(t, worst, Excess(rate, burst, intervals), 1e-6)
	})
}

// TestWrongfulRefusals guards against refusals beyond the rate counted as wrongful, and refusals within it counted as correct.
func TestWrongfulRefusals(t *testing.T) {
	cases := map[string]struct {
		calls []Call
		want  []string
	}{
		"within the burst": {calls: []Call{{ID: "a", Started: at(0)}, {ID: "b", Started: at(0), Limited: true}}, want: []string{"b"}},
		"beyond the burst": {calls: []Call{{ID: "a", Started: at(0)}, {ID: "b", Started: at(0)}, {ID: "c", Started: at(99), Limited: true}}},
		"refilled":         {calls: []Call{{ID: "c", Started: at(100), Limited: true}, {ID: "a", Started: at(0)}, {ID: "b", Started: at(0)}}, want: []string{"c"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, WrongfulRefusals(10, 2, tc.calls))
		})
	}
}
