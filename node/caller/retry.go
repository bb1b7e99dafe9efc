package caller

import (
	"slices"
	"time"

	"verbenapin.dev/node/answer"
)

const (
	// maxAttempts bounds the attempts of one request if its route sets no limit.
	maxAttempts = 3
	// maxRefusals is how many attempts a request may have beyond its route's limit of targets, since gates may refuse some.
	maxRefusals = 3
)

// StopReason is why a failed request is not sent to another target.
type StopReason string

// Values of StopReason.
const (
	StopNotAllowed StopReason = "plan"   // not retryable after this failure, too many attempts, or too little time left
	StopNoTarget   StopReason = "none"   // no target was left to try
	StopFull       StopReason = "full"   // by their load reports, no target left would accept the request
	StopCallerGone StopReason = "gone"   // the caller disconnected
	StopBudget     StopReason = "budget" // the retry budget of the service is used up
)

// minRemaining is the time below which another attempt cannot end before the deadline.
const minRemaining = 2 * time.Millisecond

// FailedAttempt is a failed attempt with what decides whether another one may follow.
type FailedAttempt struct {
	Execution      answer.Execution
	Code           answer.Code
	Attempts       int  // all attempts so far
	TargetsReached int  // attempts that may have reached a target
	MaxTargets     int  // limit of TargetsReached, zero for the default of maxAttempts in all
	ReachedTarget  bool // whether this attempt reached its target
	Idempotent     bool
	AlreadyRetried bool // an upstream node in the call chain marked the request as a retry
	Replayable     bool // the body can be sent again
	Remaining      time.Duration
}

// MayRetry reports whether another attempt is allowed, and whether it must be taken from the retry budget.
// A retry after an attempt that reached no target adds no load, so it needs no budget.
func MayRetry(a FailedAttempt) (allowed, usesBudget bool) {
	switch {
	case a.Attempts >= attemptLimit(a.MaxTargets), a.MaxTargets > 0 && a.TargetsReached >= a.MaxTargets, !a.Replayable, a.Remaining < minRemaining:
		return false, false
	case a.Code == answer.CodeLate, a.Code == answer.CodeKey, a.Code == answer.CodeCalls:
		return false, false // also other targets would refuse it; for calls, they make theirs to the same service
	case a.Execution == answer.NotExecuted:
		return true, a.ReachedTarget
	default:
		return a.Idempotent && !a.AlreadyRetried, true
	}
}

// attemptLimit returns the limit of all attempts of a request that may reach the given number of targets, zero for the default.
func attemptLimit(maxTargets int) int {
	if maxTargets > 0 {
		return maxTargets + maxRefusals
	}
	return maxAttempts
}

// HasRoomForHedge reports whether a request may have two attempts at once after the given ones: both count like retries, and one of them
// that follows an attempt at a target would be a second retry.
func HasRoomForHedge(attempts, targetsReached, maxTargets int) bool {
	return targetsReached == 0 && maxTargets != 1 && attempts+2 <= attemptLimit(maxTargets)
}

// MayHedge reports whether a second attempt may run beside the first one. retrying is whether an upstream node in the call chain
// marked the request as a retry; buffered is whether the whole body is in memory, so that both attempts can send it.
func MayHedge(idempotent, buffered, retrying bool) bool { return idempotent && buffered && !retrying }

// FinalRefusal returns the refusal for the caller from those of all attempts: the last one after which the request may have been
// executed, if there is one, since the caller must not be told otherwise. If none was executed, it is the last refusal; if no
// target was found for that one, it is the refusal before it, which says more.
func FinalRefusal(attempts []answer.Refusal, found bool) answer.Refusal {
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
