package proof

import (
	"time"

	"github.com/anishathalye/porcupine"

	"verbenapin.dev/measure/history"
)

// event is one operation on a request: an execution by a target, or the call as its caller saw it.
type event struct {
	id         string
	ran        bool
	idempotent bool
	outcome    history.Outcome
}

// requestState is the state of one request in the model.
type requestState struct {
	runs           int
	reportedNotRun bool // the caller was told that it did not run
}

// atMostOnceModel allows a non-idempotent request to run once, no request to run if it is refused as not run,
// and a complete response only after a run.
func atMostOnceModel() porcupine.Model {
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
		Init: func() any { return requestState{} },
		Step: func(state, input, _ any) (bool, any) {
			r, e := state.(requestState), input.(event)
			if e.ran {
				allowed := !r.reportedNotRun && (e.idempotent || r.runs == 0)
				r.runs++
				return allowed, r
			}
			switch e.outcome {
			case history.Answered:
				return r.runs > 0, r
			case history.NotRun:
				r.reportedNotRun = true
				return r.runs == 0, r
			default:
				return true, r
			}
		},
	}
}

// operations returns the history in the form of the model; ended must hold the end of every call.
func operations(start time.Time, calls []history.Call, ended map[string]time.Time, executions []history.Execution) []porcupine.Operation {
	var ops []porcupine.Operation
	idempotent := map[string]bool{}
	for _, c := range calls {
		idempotent[c.ID] = c.Idempotent
		ops = append(ops, porcupine.Operation{
			Input: event{id: c.ID, outcome: c.Outcome}, Call: c.Started.Sub(start).Nanoseconds(), Return: ended[c.ID].Sub(start).Nanoseconds(),
		})
	}
	for _, e := range executions {
		at := e.At.Sub(start).Nanoseconds()
		ops = append(ops, porcupine.Operation{Input: event{id: e.ID, ran: true, idempotent: idempotent[e.ID]}, Call: at, Return: at})
	}
	return ops
}
