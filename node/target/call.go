package target

import (
	"net/http"
	"time"

	"verbenapin.dev/node/config"
)

// Call is one attempt of a request on its way to a target.
type Call struct {
	// Request holds method, host, path, headers, body and the context that cancels the attempt.
	Request          *http.Request
	Target           string // instance that the attempt is meant for
	Route            string
	Account          string        // empty on open routes
	Key              config.Digest // digest of the caller's key; zero on open routes
	Version          int64         // of the configuration that admitted the request
	Priority         Priority
	MaxWait          time.Duration // longest wait at this target before the request goes on to another one, negative for any
	Idempotent       bool
	SoftDeadline     time.Time     // until when the response is wanted, zero if nothing is stated
	LatencyObjective time.Duration // from the arrival of the caller's request to the aim
	Deadline         time.Time     // until the head of the response has arrived
}

// Priority is how urgent a request is: by its account first, then by its route. Lower ranks are served first.
type Priority struct {
	Account int
	Route   int
}

// Before tells whether r is more urgent than o.
func (r Priority) Before(o Priority) bool {
	if r.Account != o.Account {
		return r.Account < o.Account
	}
	return r.Route < o.Route
}

// Reply is the outcome of an attempt.
type Reply struct {
	Response *http.Response // nil if the attempt was refused
	Load     Load
	HasLoad  bool          // Load comes from the gate of this attempt
	NodeTime time.Duration // time at the target's node until the head of the response
	Stages   Timings
}

// Timings tell operators where the time of an attempt went; no decision depends on them.
type Timings struct {
	TargetName   string        // whose target it was
	Reason       string        // why the target was chosen
	ExpectedWait time.Duration // wait that was expected there
	ChoiceTime   time.Duration // choosing the target
	HopTime      time.Duration // from sending to another node until the head of its response
	QueueTime    time.Duration // waiting in the gate's queue
	TargetTime   time.Duration // from sending to the target until the head of its response
}

// HasNoBody tells whether a request has no body.
func HasNoBody(r *http.Request) bool {
	return r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0
}
