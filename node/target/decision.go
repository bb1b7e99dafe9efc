package target

import (
	"time"

	"verbenapin.dev/node/answer"
)

// Action is what happens to a request.
type Action int

// Actions of a decision.
const (
	ActionStart  Action = iota // send the request to the target now
	ActionWait                 // the gate returns another decision later
	ActionRefuse               // the request did not and will not run
)

// Decision is the gate's decision on one request.
type Decision struct {
	ID      uint64
	Action  Action
	Refusal answer.Refusal // set for ActionRefuse
	Calls   CallsRefusal   // set if the request is refused for its calls
}

// OutcomeKind classifies how a started request ended.
type OutcomeKind int

// Kinds of outcomes.
const (
	OutcomeSuccess   OutcomeKind = iota
	OutcomeFailure               // the target answered with a server error
	OutcomeShed                  // the target answered that it is overloaded (429, 503)
	OutcomeLost                  // the connection broke
	OutcomeRefused               // the target refused the connection, so the request did not run
	OutcomeCancelled             // the caller gave up; the service time is at least the latency
)

// Outcome is the end of a started request; Latency is the target's service time.
type Outcome struct {
	Kind    OutcomeKind
	Latency time.Duration
}
