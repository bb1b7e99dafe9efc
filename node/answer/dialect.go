package answer

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// TargetReport is what a target reports about itself with a response.
type TargetReport struct {
	Instance      string        // name of the target, empty if not reported
	HasLoad       bool          // whether the load below was reported
	Running       int           // requests being executed
	Queued        int           // requests waiting at the target
	Slots         int           // requests that the target executes concurrently
	Slowdown      float64       // current service time as a multiple of the usual one
	ColdRemaining time.Duration // time until the target is warm
	HasRateLimit  bool          // whether the target announces the rate below
	RateLimit     float64       // requests per second that it takes from all senders together
	Leaving       bool          // the target announces that it is leaving
}

// Dialect describes the headers and status codes that a node uses towards callers and targets. Header names are in canonical
// form; an empty name disables the feature.
type Dialect struct {
	RequestIDHeader      string // request ID, chosen by the caller
	EchoRequestID        bool   // targets return the request ID in their responses
	ProbesNameTarget     bool   // targets state their name in the responses to probes
	DeadlineHeader       string // remaining milliseconds of a request
	AccountHeader        string // account of a request, sent to the target
	CallerServiceHeader  string // service of the target beside the entry node, sent to the target
	TargetHeader         string // target that a request is meant for; other targets refuse it
	SignatureHeader      string // present in each response of a target and in no other
	TraceContext         bool   // callers and targets propagate trace context
	FractionalRetryAfter bool   // Retry-After is sent with fractions of a second

	ForwardedHeaders []string // headers that begin with Prefix but are forwarded
	KeyHeaders       []string // headers with keys, which are not forwarded to targets

	KeyOf       func(h http.Header) string       // returns the key of a request, empty if there is none
	RunID       func(h http.Header) string       // returns the identity of a request's run at its target, empty if it has none
	ParentID    func(h http.Header) string       // returns the identity of the run that made a request, empty for none
	Report      func(h http.Header) TargetReport // returns the target's report about itself in a response
	NotExecuted func(res *http.Response) bool    // reports whether a target's response says that the request did not and will not run
	Status      func(r Refusal) int              // returns the HTTP status code of a refusal
	// DeniesExecution reports whether a status tells callers that their request did not and will not run.
	DeniesExecution func(status int) bool
}

// DefaultDialect returns verbenapin's own dialect.
func DefaultDialect() Dialect {
	return Dialect{
		RequestIDHeader: HeaderRequestID, DeadlineHeader: HeaderDeadline, TraceContext: true,
		KeyHeaders:  []string{"X-Api-Key", "Authorization"},
		KeyOf:       defaultKey,
		RunID:       traceID,
		ParentID:    traceID,
		Report:      func(http.Header) TargetReport { return TargetReport{} },
		NotExecuted: func(*http.Response) bool { return false },
		Status:      Refusal.Status,

		DeniesExecution: func(int) bool { return false },
	}
}

// traceID returns the trace ID of W3C trace context, empty if there is none. A request and the calls of its run share it.
func traceID(h http.Header) string {
	_, rest, _ := strings.Cut(h.Get("Traceparent"), "-")
	id, _, ok := strings.Cut(rest, "-")
	if !ok || len(id) != traceIDLength {
		return ""
	}
	return id
}

// traceIDLength is the number of hexadecimal digits of a trace ID.
const traceIDLength = 32

func defaultKey(h http.Header) string {
	if key := h.Get("X-Api-Key"); key != "" {
		return key
	}
	return AuthorizationKey(h, "Bearer")
}

// AuthorizationKey returns the key that follows the scheme in the Authorization header, empty if there is none.
func AuthorizationKey(h http.Header, scheme string) string {
	prefix, key, _ := strings.Cut(h.Get("Authorization"), " ")
	if strings.EqualFold(prefix, scheme) {
		return strings.TrimSpace(key)
	}
	return ""
}

// StripInternal removes the headers that only nodes may set, except those in d.ForwardedHeaders.
func (d Dialect) StripInternal(h http.Header) {
	for name := range h {
		if hasInternalPrefix(name) && !slices.Contains(d.ForwardedHeaders, name) {
			delete(h, name)
		}
	}
}

// formatRetryAfter returns the value of the Retry-After header, rounded up.
func (d Dialect) formatRetryAfter(wait time.Duration) string {
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(math.Ceil(wait.Seconds()*1000)/1000, 'f', -1, 64)
	}
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
