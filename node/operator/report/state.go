// Package report defines what a node reports to operators, for the admin listener and its clients.
package report

// State is the response of a node to /state; times are in milliseconds.
type State struct {
	Name             string   `json:"name"`
	Domain           string   `json:"domain"`
	Service          string   `json:"service"`
	Ready            bool     `json:"ready"`
	Reason           string   `json:"reason,omitempty"` // why the node is not ready
	Version          int64    `json:"version"`
	Digest           string   `json:"digest,omitempty"` // of the manifest
	ServeStatus      string   `json:"verdict"`          // serve, stale or empty
	ConfirmationAge  int64    `json:"age"`              // confirmation age: since the version was last confirmed as the newest
	RejectReason     string   `json:"reject,omitempty"` // why the newest version was rejected
	EvacuatedDomains []string `json:"out"`              // failure domains that operators took out
	Home             bool     `json:"home"`             // whether the instance is a home, which holds account shares
	Leaving          bool     `json:"leaving"`
	Load             Load     `json:"load"`
	Peers            []Peer   `json:"peers"`
}

// Load is the load of the target beside a node.
type Load struct {
	Running     int     `json:"running"`
	Queued      int     `json:"queued"`
	Limit       int     `json:"limit"`
	ServiceTime float64 `json:"service"` // recent mean service time
	FailureRate float64 `json:"failing"` // fraction of recent responses that failed
	ProbeRatio  float64 `json:"probing"` // fraction of the target's time used by probes
}

// Peer is another instance as a node sees it.
type Peer struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Service     string `json:"service"`
	State       string `json:"state"` // live, leaving or unreachable
	Version     int64  `json:"version"`
	LastContact int64  `json:"seen"` // time since the last contact, -1 if there was none
}
