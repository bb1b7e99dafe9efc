package proof

import (
	"time"

	"github.com/anishathalye/porcupine"

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
