// Package history checks what callers saw against what targets executed.
package history

import (
	"slices"
	"time"
)

// Outcome is what a caller knows of its request.
type Outcome string

// Outcomes of requests.
const (
	Answered Outcome = "answered" // complete response of a target
	NotRun   Outcome = "no"       // refusal marked as not run
	MaybeRun Outcome = "maybe"    // refusal that says the request may have run
	Broken   Outcome = "broken"   // no complete response and no refusal
)

// Call is a request as its caller saw it.
type Call struct {
	ID         string
	Account    string
	Idempotent bool
	Outcome    Outcome
	AnswerID   string // id of the request that the response names
	Started    time.Time
	Limited    bool // refused for the account's rate
}

// Execution is a request as a target saw it.
type Execution struct {
	ID string
	At time.Time
}

// Violations are the violations found in a history, by request id.
type Violations struct {
	Doubled     []string // non-idempotent requests that ran more than once
	Lost        []string // requests without response or refusal, or answered though no target ran them
	Crossed     []string // requests that got the response to another one
	FalseNotRun []string // requests that ran although their refusal says that they did not
}

// Check returns the faults in a history.
func Check(calls []Call, executions []Execution) Violations {
	ran := make(map[string]int, len(executions))
	for _, e := range executions {
		ran[e.ID]++
	}
	var f Violations
	for _, c := range calls {
		n := ran[c.ID]
		if n > 1 && !c.Idempotent {
			f.Doubled = append(f.Doubled, c.ID)
		}
		if c.Outcome == Broken || (c.Outcome == Answered && n == 0) {
			f.Lost = append(f.Lost, c.ID)
		}
		if c.Outcome == Answered && c.AnswerID != c.ID {
			f.Crossed = append(f.Crossed, c.ID)
		}
		if c.Outcome == NotRun && n > 0 {
			f.FalseNotRun = append(f.FalseNotRun, c.ID)
		}
	}
	return f
}

// AdmissionInterval bounds the unknown time at which a request was admitted: after it was sent, before it was executed.
type AdmissionInterval struct {
	From, To time.Time
}

// AdmissionIntervals returns the spans of an account's requests that ran; a retry of the same request counts once.
func AdmissionIntervals(account string, calls []Call, executions []Execution) []AdmissionInterval {
	first := make(map[string]time.Time, len(executions))
	for _, e := range executions {
		if at, ok := first[e.ID]; !ok || e.At.Before(at) {
			first[e.ID] = e.At
		}
	}
	var spans []AdmissionInterval
	for _, c := range calls {
		if at, ok := first[c.ID]; ok && c.Account == account {
			spans = append(spans, AdmissionInterval{From: c.Started, To: at})
		}
	}
	return spans
}

// Excess returns the largest number of requests beyond rate × t + burst over all intervals of any length t, zero if there is none.
// It counts only requests that were admitted within the interval for certain, so a queue between admission and execution causes no false excess.
func Excess(rate, burst float64, spans []AdmissionInterval) float64 {
	byEnd := slices.Clone(spans)
	slices.SortFunc(byEnd, func(a, b AdmissionInterval) int { return a.To.Compare(b.To) })
	worst := 0.0
	for _, start := range spans {
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

// WrongfulRefusals returns the requests of an account that were refused for their rate although a token bucket of the whole fleet,
// debited for every request that was not refused, held a token when they were sent.
func WrongfulRefusals(rate, burst float64, calls []Call) []string {
	ordered := slices.Clone(calls)
	slices.SortFunc(ordered, func(a, b Call) int { return a.Started.Compare(b.Started) })
	var wrongful []string
	level := burst
	for i, c := range ordered {
		if i > 0 {
			level = min(burst, level+rate*c.Started.Sub(ordered[i-1].Started).Seconds())
		}
		switch {
		case !c.Limited:
			level--
		case level >= 1:
			wrongful = append(wrongful, c.ID)
		}
	}
	return wrongful
}
