package upstream

import (
	"net/http"
	"strings"
	"time"
)

// HeaderID is the header with the ID that the load generator gives to a request.
const HeaderID = "X-Measure-Id"

// KeyPrefix is the prefix of every API key of the measuring program, so that a leaked key is recognized in any header.
const KeyPrefix = "vpkey-"

// Execution records a request that the target has started.
type Execution struct {
	ID       string    `json:"id"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	At       time.Time `json:"at"`
	Running  int       `json:"running"`
	Capacity int       `json:"capacity"`
}

// Stats counts the requests, probes and connections that a target has received.
type Stats struct {
	Name                       string          `json:"name"`
	Running                    int             `json:"running"`
	Capacity                   int             `json:"capacity"`
	Executed                   int             `json:"executed"`
	Shed                       int             `json:"shed"`
	Failed                     int             `json:"failed"`
	OverCapacity               int             `json:"over"`     // requests that exceeded the capacity when they arrived
	Excess                     int             `json:"excess"`   // largest number of requests beyond the capacity at any time
	Probes                     int             `json:"probes"`   // requests to /probe
	ProbeTime                  time.Duration   `json:"probing"`  // nanoseconds that probes took
	Conns                      int             `json:"conns"`    // open connections
	RejectedConns              int             `json:"rejected"` // connections closed because of the limit
	RequestsWithKey            int             `json:"keys"`     // requests with an API key in any header
	RequestsWithInternalHeader int             `json:"internal"` // requests with an internal header other than the deadline
	Headers                    map[string]bool `json:"headers"`  // names of received headers
}

// hasKey reports whether any header carries an API key.
func hasKey(h http.Header) bool {
	if h.Get("X-Api-Key") != "" || h.Get("Authorization") != "" {
		return true
	}
	for name, values := range h {
		if strings.EqualFold(name, "X-Api-Key") || strings.EqualFold(name, "Authorization") || strings.Contains(strings.Join(values, ","), KeyPrefix) {
			return true
		}
	}
	return false
}

// hasInternalHeader reports whether a header is present that only nodes may receive.
func hasInternalHeader(h http.Header) bool {
	for name := range h {
		if strings.HasPrefix(strings.ToLower(name), "verbenapin-") && !strings.EqualFold(name, "Verbenapin-Deadline") {
			return true
		}
	}
	return false
}
