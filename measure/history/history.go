// Package history checks the calls that callers recorded against the executions that targets recorded.
package history

import (
	"slices"
	"time"
)

// Outcome is the result of a request as its caller knows it.
type Outcome string

// Outcomes of requests.
const (
	Answered Outcome = "answered" // complete response from a target
	NotRun   Outcome = "no"       // refusal marked as not run
	MaybeRun Outcome = "maybe"    // refusal that says the request may have run
	Broken   Outcome = "broken"   // no complete response and no refusal
)

// Call is a request as recorded by its caller.
type Call struct {
	ID         string
	Account    string
	Idempotent bool
	Outcome    Outcome
	AnswerID   string // ID of the request that the response names
	Started    time.Time
	Limited    bool // refused for the account's rate
}

// Execution is one execution of a request as recorded by a target.
type Execution struct {
	ID string
	At time.Time
}

// Violations holds the IDs of the requests that violate each guarantee.
type Violations struct {
	Doubled     []string // non-idempotent requests that ran more than once
	Lost        []string // requests with neither a response nor a refusal, or answered though no target ran them
	Crossed     []string // requests that got the response to another request
	FalseNotRun []string // requests that ran though refused as not run
}

// Check returns the violations in a history.
func Check(calls []Call, executions []Execution) Violations {
	runs := make(map[string]int, len(executions))
	for _, e := range executions {
		runs[e.ID]++
	}
	var violations Violations
	for _, c := range calls {
		n := runs[c.ID]
		if n > 1 && !c.Idempotent {
			violations.Doubled = append(violations.Doubled, c.ID)
		}
		if c.Outcome == Broken || (c.Outcome == Answered && n == 0) {
			violations.Lost = append(violations.Lost, c.ID)
		}
		if c.Outcome == Answered && c.AnswerID != c.ID {
			violations.Crossed = append(violations.Crossed, c.ID)
		}
		if c.Outcome == NotRun && n > 0 {
			violations.FalseNotRun = append(violations.FalseNotRun, c.ID)
		}
	}
	return violations
}

// AdmissionInterval bounds the unknown time at which a request was admitted: after it was sent and before it was executed.
type AdmissionInterval struct {
	From, To time.Time
}

// AdmissionIntervals returns the admission intervals of an account's executed requests; retries of a request count once.
func AdmissionIntervals(account string, calls []Call, executions []Execution) []AdmissionInterval {
	firstRun := make(map[string]time.Time, len(executions))
	for _, e := range executions {
		if at, ok := firstRun[e.ID]; !ok || e.At.Before(at) {
			firstRun[e.ID] = e.At
		}
	}
	var intervals []AdmissionInterval
	for _, c := range calls {
		if at, ok := firstRun[c.ID]; ok && c.Account == account {
			intervals = append(intervals, AdmissionInterval{From: c.Started, To: at})
		}
	}
	return intervals
}

// Excess returns the largest number of requests beyond rate × t + burst in any interval of any length t, zero if there is none.
// It counts only requests that were certainly admitted within the interval, so queueing between admission and execution
// causes no false excess.
func Excess(rate, burst float64, intervals []AdmissionInterval) float64 {
	byEnd := slices.Clone(intervals)
	slices.SortFunc(byEnd, func(a, b AdmissionInterval) int { return a.To.Compare(b.To) })
	worst := 0.0
	for _, start := range intervals {
		n := 0.0
		for _, s := range byEnd {
			if s.From.Before(start.From) {
				continue
			}
			n++
			worst = max(worst, n-burst-rate*s.To.Sub(start.From).Seconds())
		}
	}
	return worst
}

// WrongfulRefusals returns the IDs of an account's requests that were refused for the rate although a single token bucket for
// the whole fleet, debited for every other request, held a token when they were sent.
func WrongfulRefusals(rate, burst float64, calls []Call) []string {
	ordered := slices.Clone(calls)
	slices.SortFunc(ordered, func(a, b Call) int { return a.Started.Compare(b.Started) })
	var wrongful []string
	tokens := burst
	for i, c := range ordered {
		if i > 0 {
			tokens = min(burst, tokens+rate*c.Started.Sub(ordered[i-1].Started).Seconds())
		}
		switch {
		case !c.Limited:
			tokens--
		case tokens >= 1:
			wrongful = append(wrongful, c.ID)
		}
	}
	return wrongful
}
