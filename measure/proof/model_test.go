package proof

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"verbenapin.dev/measure/history"
)

// TestModel guards against a model that accepts a double run, a run of a request refused as not run, or an answer without a run,
// and against one that rejects a valid history.
func TestModel(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := map[string]struct {
		outcome    history.Outcome
		idempotent bool
		runs       []int // in ms; the call lasts from 10 ms to 50 ms
		want       bool
	}{
		"answered":                     {outcome: history.Answered, runs: []int{20}, want: true},
		"not run":                      {outcome: history.NotRun, want: true},
		"maybe, ran":                   {outcome: history.MaybeRun, runs: []int{20}, want: true},
		"maybe, did not run":           {outcome: history.MaybeRun, want: true},
		"maybe, ran late":              {outcome: history.MaybeRun, runs: []int{90}, want: true},
		"broken, ran":                  {outcome: history.Broken, runs: []int{20}, want: true},
		"read retried":                 {outcome: history.Answered, idempotent: true, runs: []int{20, 30}, want: true},
		"double run":                   {outcome: history.Answered, runs: []int{20, 30}},
		"double run after the answer":  {outcome: history.Answered, runs: []int{20, 90}},
		"double run, maybe":            {outcome: history.MaybeRun, runs: []int{20, 30}},
		"false not run":                {outcome: history.NotRun, runs: []int{20}},
		"false not run, ran later":     {outcome: history.NotRun, runs: []int{90}},
		"false not run of a read":      {outcome: history.NotRun, idempotent: true, runs: []int{20}},
		"answered, never ran":          {outcome: history.Answered},
		"answered, ran after the call": {outcome: history.Answered, runs: []int{90}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			calls := []history.Call{
				{ID: "x", Idempotent: tc.idempotent, Outcome: tc.outcome, Started: at(10)},
				{ID: "other", Outcome: history.Answered, Started: at(10)},
			}
			executions := []history.Execution{{ID: "other", At: at(15)}}
			for _, ms := range tc.runs {
				executions = append(executions, history.Execution{ID: "x", At: at(ms)})
			}
			ended := map[string]time.Time{"x": at(50), "other": at(50)}
			require.Equal(t, tc.want, porcupine.CheckOperations(atMostOnceModel(), operations(start, calls, ended, executions)))
		})
	}
}
