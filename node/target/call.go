package target

import (
	"net/http"
	"time"

	"verbenapin.dev/node/config"
)

// Call is one attempt of a request on its way to a target.
type Call struct {
	// Request holds method, host, path, headers, body and the context that cancels the attempt.
	Request  *http.Request
	Route    string
	Account  string        // empty on open routes
	Key      config.Digest // digest of the caller's key; zero on open routes
	Deadline time.Time     // until the head of the response has arrived
}

// Reply is the outcome of an attempt.
type Reply struct {
	Response *http.Response // nil if the attempt was refused
	Load     Load
	Reported bool          // Load comes from the gate of this attempt
	Took     time.Duration // time at the target's node until the head of the response
}

// IsEmpty tells whether a request has no body.
func IsEmpty(r *http.Request) bool {
	return r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0
}
