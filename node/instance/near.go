package instance

import (
	"slices"
	"time"
)

// Bounds of the peers that a node exchanges heartbeats with.
const (
	neighbours    = 8 // kept connections, so that 1,200 nodes need no 1,200 connections each
	neighbourTime = 10 * time.Second
)

// Neighbours is the set of peers that a node currently sends heartbeats to; it never changes.
type Neighbours struct {
	names   []string
	renewed time.Time
}

// WithNext returns a random neighbour and the set to use from then on.
// The oldest neighbour is replaced from time to time, so that all nodes mix.
func (n Neighbours) WithNext(now time.Time, v View, self string, random func(n int) int) (Neighbours, Instance, bool) {
	names := slices.DeleteFunc(slices.Clone(n.names), func(name string) bool { return v.Status(now, name) != StatusLive })
	if len(names) >= neighbours && now.Sub(n.renewed) >= neighbourTime {
		names, n.renewed = names[1:], now
	}
	if len(names) < neighbours {
		for _, i := range v.Pick(now, neighbours, self, random) {
			if len(names) < neighbours && !slices.Contains(names, i.Name) {
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
