package instance

import (
	"slices"
	"time"
)

// Limits of the peers that a node sends heartbeats to.
const (
	maxNeighbours   = 8                // limits the connections kept, so that 1,200 nodes do not need 1,200 connections each
	replaceInterval = 10 * time.Second // between replacements of the oldest neighbour
)

// Neighbours is the immutable set of peers that a node currently sends heartbeats to, oldest first.
type Neighbours struct {
	names        []string
	lastReplaced time.Time
}

// WithNext returns a random neighbour and the updated set. It drops neighbours that are not live, and replaces the oldest
// one every replaceInterval, so that over time each node exchanges heartbeats with all others.
func (n Neighbours) WithNext(now time.Time, v View, self string, random func(n int) int) (Neighbours, Instance, bool) {
	names := slices.DeleteFunc(slices.Clone(n.names), func(name string) bool { return v.Status(now, name) != StatusLive })
	if len(names) >= maxNeighbours && now.Sub(n.lastReplaced) >= replaceInterval {
		names, n.lastReplaced = names[1:], now
	}
	if len(names) < maxNeighbours {
		for _, i := range v.Pick(now, maxNeighbours, self, random) {
			if len(names) < maxNeighbours && !slices.Contains(names, i.Name) {
				names = append(names, i.Name)
			}
		}
	}
	n.names = names
	if len(names) == 0 {
		return n, Instance{}, false
	}
	row, ok := v.Instance(names[random(len(names))])
	return n, row, ok
}
