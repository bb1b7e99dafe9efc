package registry

import (
	"slices"
	"strings"
	"time"
)

const (
	// readerCount is how many nodes read the registry regularly, one in each of three failure domains: two of them can fail at the
	// same time, and the third still delivers each change.
	readerCount = 3
	// standbyAfter is the confirmation age from which the second reader calls the registry as well, and the third one after twice
	// that. Each call is charged, and if all three were watching, each change would be answered three times; the call of the
	// second reader is still in time for a change that the first one missed.
	standbyAfter = 500 * time.Millisecond
	// lateAfter is the confirmation age from which nodes that are not readers call the registry as well. Changes have to be in force
	// 2 s after the registry accepted them, so such a call must start well before.
	lateAfter = 1300 * time.Millisecond
	// joinInterval is the time after which three times as many nodes may call the registry while there is no confirmation: the
	// registry may refuse the readers and answer other nodes.
	joinInterval = 2500 * time.Millisecond
)

// Node is a node that may read the registry.
type Node struct {
	Name        string
	Domain      string
	ControlAddr string // address of its control listener
}

// ReaderOrder returns the nodes in the order in which they become readers: by the hash of their names, the first node of each
// failure domain before all others.
func ReaderOrder(nodes []Node) []Node {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b Node) int {
		if x, y := position(a.Name), position(b.Name); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	var first, rest []Node
	seen := map[string]bool{}
	for _, node := range sorted {
		if seen[node.Domain] {
			rest = append(rest, node)
			continue
		}
		seen[node.Domain] = true
		first = append(first, node)
	}
	return append(first, rest...)
}

// ReaderRank returns the position of a node in the ReaderOrder of all nodes.
func ReaderRank(own Node, others []Node) int {
	all := append(slices.Clone(others), own)
	return slices.IndexFunc(ReaderOrder(all), func(node Node) bool { return node.Name == own.Name })
}

// ReaderState is what the decision to call the registry depends on.
type ReaderState struct {
	Rank       int           // position of this node in ReaderOrder
	Age        time.Duration // since the last confirmation, Unconfirmed if there was none
	ContactAge time.Duration // since the last update from another node, Unconfirmed if there was none
}

// Watches reports whether the node waits for changes, which only the first reader does; the others only ask for the changes
// up to now.
func (s ReaderState) Watches() bool { return s.Rank == 0 && s.Age != Unconfirmed && s.Age < lateAfter }

// MayRead reports whether the node may call the registry now. The first reader always may; other nodes may if the confirmation is
// too old. A node that gets no updates either may be cut off from all readers and calls at once. If it still gets updates but the
// readers get no answer, the other nodes join step by step, because the registry may be down for all and each call is charged.
func (s ReaderState) MayRead() bool {
	switch {
	case s.Age == Unconfirmed:
		return true
	case s.Rank < readerCount:
		return s.Age >= time.Duration(s.Rank)*standbyAfter
	case s.Age < lateAfter:
		return false
	case s.ContactAge == Unconfirmed || s.ContactAge >= lateAfter:
		return true
	}
	return s.Spreads()
}

// Spreads reports whether the node broadcasts what it reads: it is a reader, or one of those that read in place of readers that get no
// answer. If each node that starts or is cut off broadcast as well, a fleet that starts together would send as many broadcasts as it
// has nodes.
func (s ReaderState) Spreads() bool {
	limit := readerCount
	for late := s.Age - lateAfter; late >= 0 && s.Rank >= limit; late -= joinInterval {
		limit *= 3
	}
	return s.Rank < limit
}
