package answer

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// TargetReport is what a target says of itself with a response.
type TargetReport struct {
	Instance      string        // name of the target, empty if it did not tell
	HasLoad       bool          // the load below was told
	Running       int           // requests that run
	Queued        int           // requests that wait at the target
	Slots         int           // requests that it runs at once
	Slowdown      float64       // time that work takes now as a multiple of the usual one
	ColdRemaining time.Duration // how much longer the target stays cold
}

// Dialect is how a node talks with callers and targets beyond plain HTTP. Header names are in canonical form; an empty
// name switches off what it is for.
type Dialect struct {
	RequestIDHeader      string // id of a request, chosen by the caller
	EchoRequestID        bool   // targets repeat the id in their responses
	DeadlineHeader       string // milliseconds that are left for a request
	AccountHeader        string // tells a target the account of a request
	CallerServiceHeader  string // tells a target the service beside the node at which a request arrived
	TargetHeader         string // names the target that a request is meant for; others refuse it
	SignatureHeader      string // stands in each response of a target and in no other
	TraceContext         bool   // callers and targets pass trace context on
	FractionalRetryAfter bool   // the time after which to retry is sent with fractions of a second

	Keep       []string // headers that begin with Prefix and are passed on nevertheless
	KeyHeaders []string // headers with keys, which no target sees

	KeyOf       func(h http.Header) string       // key of a request, empty if there is none
	Report      func(h http.Header) TargetReport // what a target's response says of the target
	NotExecuted func(res *http.Response) bool    // a target's response says that the request did not and will not run
	Status      func(r Refusal) int              // status of a refusal
}

// DefaultDialect returns the dialect of the product itself.
func DefaultDialect() Dialect {
	return Dialect{
		RequestIDHeader: HeaderRequestID, DeadlineHeader: HeaderDeadline, TraceContext: true,
		KeyHeaders:  []string{"X-Api-Key", "Authorization"},
		KeyOf:       ownKey,
		Report:      func(http.Header) TargetReport { return TargetReport{} },
		NotExecuted: func(*http.Response) bool { return false },
		Status:      Refusal.Status,
	}
}

func ownKey(h http.Header) string {
	if key := h.Get("X-Api-Key"); key != "" {
		return key
	}
	return AuthorizationKey(h, "Bearer")
}

// AuthorizationKey returns the key that follows the scheme in the authorization header, empty if there is none.
func AuthorizationKey(h http.Header, scheme string) string {
	got, key, _ := strings.Cut(h.Get("Authorization"), " ")
	if strings.EqualFold(got, scheme) {
		return strings.TrimSpace(key)
	}
	return ""
}

// Strip removes the headers that only nodes may set, and keeps those of the dialect.
func (d Dialect) Strip(h http.Header) {
	for name := range h {
		if hasPrefix(name) && !slices.Contains(d.Keep, name) {
			delete(h, name)
		}
	}
}

// after returns the form of a time after which to retry.
func (d Dialect) after(wait time.Duration) string {
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(math.Ceil(wait.Seconds()*1000)/1000, 'f', -1, 64)
	}
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
