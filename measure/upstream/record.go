package upstream

import (
	"net/http"
	"strings"
	"time"
)

// HeaderID carries the id that the load generator gave to a request.
const HeaderID = "X-Measure-Id"

// KeyMark is part of every API key that the measuring program issues, so that a key is recognized wherever it appears.
const KeyMark = "vpkey-"

// Execution is a request that the target has started.
type Execution struct {
	ID       string    `json:"id"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	At       time.Time `json:"at"`
	Running  int       `json:"running"`
	Capacity int       `json:"capacity"`
}

// Stats is what a target has seen.
type Stats struct {
	Name                       string          `json:"name"`
	Running                    int             `json:"running"`
	Capacity                   int             `json:"capacity"`
	Executed                   int             `json:"executed"`
	Shed                       int             `json:"shed"`
	Failed                     int             `json:"failed"`
	OverCapacity               int             `json:"over"`     // requests beyond the capacity at their arrival
	Excess                     int             `json:"excess"`   // largest number of requests beyond the capacity at one time
	Probes                     int             `json:"probes"`   // calls of /probe
	ProbeTime                  time.Duration   `json:"probing"`  // nanoseconds that probes took
	Conns                      int             `json:"conns"`    // open connections
	Rejected                   int             `json:"rejected"` // connections beyond the limit
	RequestsWithKey            int             `json:"keys"`     // requests with an API key in any header
	RequestsWithInternalHeader int             `json:"internal"` // requests with an internal header other than the deadline
	Headers                    map[string]bool `json:"headers"`  // names of headers seen
}

// hasKey tells whether any header carries an API key.
func hasKey(h http.Header) bool {
	if h.Get("X-Api-Key") != "" || h.Get("Authorization") != "" {
		return true
	}
	for name, values := range h {
		if strings.EqualFold(name, "X-Api-Key") || strings.EqualFold(name, "Authorization") || strings.Contains(strings.Join(values, ","), KeyMark) {
			return true
		}
	}
	return false
}

// hasInternal tells whether a header that only nodes may see has arrived.
func hasInternal(h http.Header) bool {
	for name := range h {
		if strings.HasPrefix(strings.ToLower(name), "verbenapin-") && !strings.EqualFold(name, "Verbenapin-Deadline") {
			return true
		}
	}
	return false
}
