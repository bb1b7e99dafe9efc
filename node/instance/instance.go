// Package instance tracks the instances of the fleet by the platform's list and by heartbeats between nodes.
package instance

import "time"

// State is the state of an instance in the platform's list.
type State string

// States of instances.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one row of the platform's list: a target and the node beside it.
type Instance struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Service     string `json:"service"`
	PeerAddr    string `json:"peer"`    // address for requests between nodes
	ControlAddr string `json:"control"` // address for gRPC between nodes
	CallerAddr  string `json:"caller"`  // address for callers
	State       State  `json:"state"`

	// The fields below are set only if the platform reports them.

	// Node is the name of the node beside the target, empty if it is the same as Name.
	Node      string    `json:"-"`
	Slots     int       `json:"-"` // concurrent requests that the target handles when warm, zero if unknown
	StartedAt time.Time `json:"-"` // start time of the target, zero if unknown
}

// NodeName returns the name of the node beside the target.
func (i Instance) NodeName() string {
	if i.Node == "" {
		return i.Name
	}
	return i.Node
}
