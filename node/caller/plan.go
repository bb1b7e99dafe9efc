package caller

import (
	"slices"
	"strings"
	"time"

	"verbenapin.dev/node/answer"
)

const (
	// maxAttempts bounds the targets that one request is offered to, where its route states no number.
	maxAttempts = 3
	// maxRefusals is how many gates may refuse a request, beside the targets that it may be sent to.
	maxRefusals = 3
)

// Stop is why a failed request is not offered to another target.
type Stop string

// Reasons of a Stop.
const (
	StopPlan   Stop = "plan"   // the request may have run, reached as many targets as it may, or has no time left
	StopNone   Stop = "none"   // there was no target left to try
	StopGone   Stop = "gone"   // the caller left
	StopBudget Stop = "budget" // repeats of the service used up their budget
)

// minRemaining is the time below which another attempt cannot end before the deadline.
const minRemaining = 2 * time.Millisecond

// Attempt describes a failed attempt.
type Attempt struct {
	Run        answer.Execution
	Code       answer.Code
	Number     int  // attempts so far
	Sent       int  // those of them that reached a target
	Most       int  // targets that the request may be sent to, zero for the default
	Reached    bool // the attempt reached its target
	Idempotent bool
	Retrying   bool // a node higher in the call chain is already retrying
	Replayable bool // the body can be sent again
	Remaining  time.Duration
}

// MayRetry tells whether another attempt is allowed, and whether it must be paid from the retry budget.
// An attempt that no target saw adds no load, so it needs no budget.
func MayRetry(a Attempt) (allowed, paid bool) {
	offers := maxAttempts
	if a.Most > 0 {
		offers = a.Most + maxRefusals
	}
	switch {
	case a.Number >= offers, a.Most > 0 && a.Sent >= a.Most, !a.Replayable, a.Remaining < minRemaining:
		return false, false
	case a.Code == answer.CodeLate, a.Code == answer.CodeKey:
		return false, false
	case a.Run == answer.NotExecuted:
		return true, a.Reached
	default:
		return a.Idempotent && !a.Retrying, true
	}
}

// MayHedge tells whether a second attempt may run beside the first one. retrying tells that a node higher in the call
// chain is already retrying; held that the whole body can be sent twice at the same time.
func MayHedge(idempotent, held, retrying bool) bool { return idempotent && held && !retrying }

// Final returns the refusal for the caller from those of all attempts: the last that may have run, since the request
// is then not "not run"; otherwise the last one, of which one that found no target says less than the one before it.
func Final(attempts []answer.Refusal, found bool) answer.Refusal {
	for _, a := range slices.Backward(attempts) {
		if a.Execution != answer.NotExecuted {
			return a
		}
	}
	last := len(attempts) - 1
	if !found && last > 0 {
		last--
	}
	return attempts[last]
}

const (
	stateKey  = "verbenapin"
	stateMark = stateKey + "=r"
)

// IsRetried tells whether a trace state says that the request is a repeated attempt.
func IsRetried(state string) bool {
	for member := range strings.SplitSeq(state, ",") {
		if strings.TrimSpace(member) == stateMark {
			return true
		}
	}
	return false
}

// MarkRetried returns the trace state with the mark of a repeated attempt in front, as W3C trace context asks.
func MarkRetried(state string) string {
	members := []string{stateMark}
	for member := range strings.SplitSeq(state, ",") {
		member = strings.TrimSpace(member)
		if member != "" && !strings.HasPrefix(member, stateKey+"=") {
			members = append(members, member)
		}
	}
	return strings.Join(members[:min(len(members), maxMembers)], ",")
}

// maxMembers is the number of members that W3C trace context allows in a trace state.
const maxMembers = 32
