// Package instance tracks the instances of the fleet: the platform's list, heartbeats and instances that leave.
package instance

import "time"

// State is what the platform's list says of an instance.
type State string

// States of instances.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one row of the platform's list.
type Instance struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Service     string `json:"service"`
	PeerAddr    string `json:"peer"`    // address for requests between nodes
	ControlAddr string `json:"control"` // address for gRPC between nodes
	CallerAddr  string `json:"caller"`  // address for callers
	State       State  `json:"state"`

	// The fields below are known only where the platform states them.

	// Node is the name of the node beside the target, empty if that has the name of the instance.
	Node          string        `json:"-"`
	Slots         int           `json:"-"` // concurrent requests of the warm target, zero if unknown
	ColdRemaining time.Duration `json:"-"` // how much longer the target was cold when the platform wrote the row
	StartedAt     time.Time     `json:"-"` // start of the target, zero if unknown
}

// NodeName returns the name of the node beside the target.
func (i Instance) NodeName() string {
	if i.Node == "" {
		return i.Name
	}
	return i.Node
}
