package target

import (
	"net/http"
	"time"

	"verbenapin.dev/node/config"
)

// Call is one attempt to run a request at a target.
type Call struct {
	// Request holds method, host, path, headers, body and the context that cancels the attempt.
	Request          *http.Request
	TargetName       string // name of the instance that must serve the attempt
	Route            string
	Account          string        // empty on open routes
	Key              config.Digest // digest of the caller's key; zero on open routes
	Version          int64         // version of the configuration by which the sender checked the request
	Priority         Priority
	MaxWait          time.Duration // longest expected wait before the request goes on to another target, negative for no bound
	AnnouncedRate    float64       // requests per second that the target has announced to the sender, zero for none
	Idempotent       bool
	Nested           bool          // a running request made it; where the configuration has accounts, every request without one counts
	ParentRoute      string        // route of the run that made it, known at the entry node only; empty if that run is not known
	SoftDeadline     time.Time     // when the response is wanted, zero if not stated
	LatencyObjective time.Duration // from the arrival of the caller's request to the soft deadline
	Deadline         time.Time     // when the head of the response must have arrived, and its body if it makes no progress
}

// Stage is how far a request has come; among requests of one rank, those of a later stage go first.
type Stage int

// Values of Stage.
const (
	StageNew      Stage = iota
	StageReturned       // its caller was refused before and came back as told
	StageNested         // a running request waits for it
)

// Priority is how urgent a request is: by its account first, then by its route, where lower numbers are served first, and then by its
// stage.
type Priority struct {
	Account int
	Route   int
	Stage   Stage
}

// Before reports whether p is more urgent than other.
func (p Priority) Before(other Priority) bool {
	if p.Account != other.Account {
		return p.Account < other.Account
	}
	if p.Route != other.Route {
		return p.Route < other.Route
	}
	return p.Stage > other.Stage
}

// Nested returns the priority of a call with priority p that a run with priority parent makes: the less urgent of the two, so that no
// class is served sooner because it reaches a service through calls, and before requests of that rank that have not begun.
func (p Priority) Nested(parent Priority) Priority {
	p.Stage, parent.Stage = StageNested, StageNested
	if p.Before(parent) {
		return parent
	}
	return p
}

// Parent is what a nested call takes over from the run that made it.
type Parent struct {
	Route            string
	Priority         Priority
	SoftDeadline     time.Time // when the parent's response is wanted, zero if not stated
	LatencyObjective time.Duration
	Retried          bool // the parent is a retry
}

// Reply is the outcome of an attempt.
type Reply struct {
	Response *http.Response // nil if the attempt was refused
	Load     Load
	HasLoad  bool          // Load comes from the gate of this attempt
	NodeTime time.Duration // time spent at the target's node until the head of the response
	Timings  Timings
}

// Timings show operators where the time of an attempt went; no decision depends on them.
type Timings struct {
	TargetName   string        // name of the instance that was chosen
	Reason       string        // why the target was chosen
	ExpectedWait time.Duration // expected wait at that target
	ChoiceTime   time.Duration // time to choose the target
	HopTime      time.Duration // from sending to another node until the head of its response
	QueueTime    time.Duration // wait at the gate
	TargetTime   time.Duration // from sending to the target until the head of its response
	Hedge        string        // whether a hedge was answered first, or why there was none; empty if none was considered
	HedgeSaved   time.Duration // expected rest of the first attempt less the time of the hedge that was answered first
}

// HasNoBody reports whether a request has no body.
func HasNoBody(r *http.Request) bool {
	return r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0
}
