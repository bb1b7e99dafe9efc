// Package instance tracks the instances of the fleet: the platform's list, heartbeats and instances that leave.
package instance

// State is what the platform's list says of an instance.
type State string

// States of instances.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one row of the platform's list.
type Instance struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Service string `json:"service"`
	Peer    string `json:"peer"`    // address for requests between nodes
	Control string `json:"control"` // address for gRPC between nodes
	Caller  string `json:"caller"`  // address for callers
	State   State  `json:"state"`
}
