// Package answer defines refusals, the headers between nodes and dialects, and relays responses.
package answer

import (
	"fmt"
	"net/http"
	"time"
)

// Code identifies the reason of a refusal; codes are part of the public interface.
type Code string

// Codes of refusals.
const (
	CodePath    Code = "path"    // the request line or host is ambiguous
	CodeRoute   Code = "route"   // no route matches
	CodeKey     Code = "key"     // no key, or an unknown or revoked one
	CodeScope   Code = "scope"   // the account may not use the route
	CodeRate    Code = "rate"    // the account is beyond its rate and burst
	CodeStale   Code = "stale"   // the node cannot confirm its configuration version
	CodeEmpty   Code = "empty"   // the node has no configuration yet
	CodeConfig  Code = "config"  // the configuration in force does not say how to serve the request
	CodeBusy    Code = "busy"    // no target can accept the request now
	CodeCalls   Code = "calls"   // the calls that the request would make find no capacity
	CodeDomain  Code = "domain"  // all targets are in evacuated failure domains
	CodeLate    Code = "late"    // the deadline passed or cannot be met
	CodeLost    Code = "lost"    // the connection broke after the request was sent
	CodeLarge   Code = "large"   // the request head is too large
	CodeLeaving Code = "leaving" // the node or its target is shutting down
)

// Execution states whether a refused request was executed.
type Execution string

// Execution values.
const (
	NotExecuted   Execution = "no"
	MaybeExecuted Execution = "maybe"
)

// Refusal is the error that ends a request without a response from a target.
type Refusal struct {
	Code       Code
	Execution  Execution
	RetryAfter time.Duration // earliest useful time to retry, zero if unknown
	Text       string
	// ReachedTarget is set if a target received the request, even if it did not execute it.
	ReachedTarget bool
}

// Error describes the refusal.
func (r Refusal) Error() string {
	return fmt.Sprintf("answer: refused as %s, run %s: %s", r.Code, r.Execution, r.Text)
}

// NewNotExecuted returns a refusal of a request that was not and will not be executed.
func NewNotExecuted(code Code, text string) Refusal {
	return Refusal{Code: code, Execution: NotExecuted, Text: text}
}

// NewMaybeExecuted returns a refusal of a request that may have been executed.
func NewMaybeExecuted(code Code, text string) Refusal {
	return Refusal{Code: code, Execution: MaybeExecuted, Text: text}
}

// WithReachedTarget returns r for a request that a target received.
func (r Refusal) WithReachedTarget() Refusal {
	r.ReachedTarget = true
	return r
}

// WithRetryAfter returns r with the earliest useful time to retry.
func (r Refusal) WithRetryAfter(after time.Duration) Refusal {
	r.RetryAfter = after
	return r
}

// Status returns the HTTP status code of the refusal.
func (r Refusal) Status() int {
	switch r.Code {
	case CodePath:
		return http.StatusBadRequest
	case CodeRoute:
		return http.StatusNotFound
	case CodeKey:
		return http.StatusUnauthorized
	case CodeScope:
		return http.StatusForbidden
	case CodeRate:
		return http.StatusTooManyRequests
	case CodeLate:
		return http.StatusGatewayTimeout
	case CodeLost:
		return http.StatusBadGateway
	case CodeLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}
