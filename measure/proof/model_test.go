package proof

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"verbenapin.dev/measure/history"
)

// event is one operation on a request: its execution by a target, or what its caller saw.
type event struct {
	id         string
	ran        bool
	idempotent bool
	outcome    history.Outcome
}

// request is what the model knows of one request.
type request struct {
	runs   int
	sealed bool // a caller was told that it did not run
}

// onceModel allows each non-idempotent request one run, none before or after a refusal that says "not run",
// and an answer only after a run.
func onceModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			byID := map[string][]porcupine.Operation{}
			for _, op := range all {
				id := op.Input.(event).id
				byID[id] = append(byID[id], op)
			}
			var parts [][]porcupine.Operation
			for _, part := range byID {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return request{} },
		Step: func(state, input, _ any) (bool, any) {
			r, e := state.(request), input.(event)
			if e.ran {
				allowed := !r.sealed && (e.idempotent || r.runs == 0)
				r.runs++
				return allowed, r
			}
			switch e.outcome {
			case history.Answered:
				return r.runs > 0, r
			case history.NotRun:
				r.sealed = true
				return r.runs == 0, r
			default:
				return true, r
			}
		},
	}
}

// operations returns a history for the model; calls of requests that never ended have no upper limit and are not expected.
func operations(start time.Time, calls []history.Call, ended map[string]time.Time, executions []history.Execution) []porcupine.Operation {
	var list []porcupine.Operation
	idempotent := map[string]bool{}
	for _, c := range calls {
		idempotent[c.ID] = c.Idempotent
		list = append(list, porcupine.Operation{
			Input: event{id: c.ID, outcome: c.Outcome}, Call: c.Started.Sub(start).Nanoseconds(), Return: ended[c.ID].Sub(start).Nanoseconds(),
		})
	}
	for _, e := range executions {
		at := e.At.Sub(start).Nanoseconds()
		list = append(list, porcupine.Operation{Input: event{id: e.ID, ran: true, idempotent: idempotent[e.ID]}, Call: at, Return: at})
	}
	return list
}

// TestModel guards against a model that accepts a planted double run, a planted false "not run" or an answer without a run,
// or that rejects a history that is allowed.
func TestModel(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := map[string]struct {
		outcome    history.Outcome
		idempotent bool
		runs       []int // milliseconds; the call lasts from 10 to 50
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
			require.Equal(t, tc.want, porcupine.CheckOperations(onceModel(), operations(start, calls, ended, executions)))
		})
	}
}
