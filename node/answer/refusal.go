// Package answer defines the refusals that nodes send to callers and to each other, and their HTTP form.
package answer

import (
	"fmt"
	"net/http"
	"time"
)

// Code names the reason of a refusal; codes are part of the public interface.
type Code string

// Codes of refusals.
const (
	Path    Code = "path"    // the request line or host has more than one reading
	Route   Code = "route"   // no route matches
	Key     Code = "key"     // no key, or an unknown or revoked one
	Scope   Code = "scope"   // the account may not use the route
	Rate    Code = "rate"    // the account is beyond its rate and burst
	Stale   Code = "stale"   // the node cannot confirm its configuration version
	Empty   Code = "empty"   // the node has no configuration yet
	Busy    Code = "busy"    // no target can accept the request now
	Domain  Code = "domain"  // the targets are in failure domains that are taken out
	Late    Code = "late"    // the deadline passed or cannot be met
	Lost    Code = "lost"    // the connection broke after the request was sent
	Large   Code = "large"   // the request head is too large
	Leaving Code = "leaving" // the node or its target is shutting down
)

// Run tells whether a refused request ran.
type Run string

// Values of Run.
const (
	RunNo    Run = "no"
	RunMaybe Run = "maybe"
)

// Refusal is the error that ends a request without a response from its target.
type Refusal struct {
	Code  Code
	Run   Run
	After time.Duration // earliest useful time to retry, zero if unknown
	Text  string
	// Reached tells that a target saw the request, also if it did not run it.
	Reached bool
}

// Error describes the refusal.
func (r Refusal) Error() string {
	return fmt.Sprintf("answer: refused as %s, run %s: %s", r.Code, r.Run, r.Text)
}

// NotRun returns a refusal of a request that did not and will not run.
func NotRun(code Code, text string) Refusal {
	return Refusal{Code: code, Run: RunNo, Text: text}
}

// MaybeRun returns a refusal of a request that may have run.
func MaybeRun(code Code, text string) Refusal {
	return Refusal{Code: code, Run: RunMaybe, Text: text}
}

// WithReached returns r for a request that a target saw.
func (r Refusal) WithReached() Refusal {
	r.Reached = true
	return r
}

// WithAfter returns r with the earliest useful time to retry.
func (r Refusal) WithAfter(after time.Duration) Refusal {
	r.After = after
	return r
}

// Status returns the HTTP status code of the refusal.
func (r Refusal) Status() int {
	switch r.Code {
	case Path:
		return http.StatusBadRequest
	case Route:
		return http.StatusNotFound
	case Key:
		return http.StatusUnauthorized
	case Scope:
		return http.StatusForbidden
	case Rate:
		return http.StatusTooManyRequests
	case Late:
		return http.StatusGatewayTimeout
	case Lost:
		return http.StatusBadGateway
	case Large:
		return http.StatusRequestHeaderFieldsTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}
