package registry

import (
	"slices"
	"strings"
	"time"
)

const (
	// readers is how many nodes read the registry while all is well, one in each of three failure domains: two can be lost at
	// once and the third still brings each change.
	readers = 3
	// standbyAfter is the age of the last confirmation from which the second reader asks as well, and the third one after
	// twice that. Each call is charged, and a watch of each of them would answer each change three times; the second one's
	// reading still brings a change in time that the first one missed.
	standbyAfter = 500 * time.Millisecond
	// lateAfter is the age of the last confirmation from which other nodes read as well. Changes have to be in force 2 s
	// after the registry accepted them, so a second reading must start well before.
	lateAfter = 1300 * time.Millisecond
	// joinEvery is the time after which three times as many nodes read while confirmations stay out: readers may be
	// turned away while others are served.
	joinEvery = 2500 * time.Millisecond
)

// Node is a node that may read the registry.
type Node struct {
	Name        string
	Domain      string
	ControlAddr string // address of its control listener
}

// Order returns the members in the order in which they read: by the hash of their names, the first of each failure
// domain before the others.
func Order(members []Node) []Node {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Node) int {
		if x, y := place(a.Name), place(b.Name); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	var first, rest []Node
	seen := map[string]bool{}
	for _, m := range sorted {
		if seen[m.Domain] {
			rest = append(rest, m)
			continue
		}
		seen[m.Domain] = true
		first = append(first, m)
	}
	return append(first, rest...)
}

// Rank returns the position of a node among all nodes in the order in which they read.
func Rank(own Node, others []Node) int {
	all := append(slices.Clone(others), own)
	return slices.IndexFunc(Order(all), func(m Node) bool { return m.Name == own.Name })
}

// Standing is what the decision to read depends on.
type Standing struct {
	Rank  int           // position of this node in Order
	Age   time.Duration // since the last confirmation, Unconfirmed if there was none
	Heard time.Duration // since the last news of a reader, Unconfirmed if there were none
}

// Watches tells whether the node waits for changes, which only the first reader does; the others ask for those so far.
func (s Standing) Watches() bool { return s.Rank == 0 && s.Age != Unconfirmed && s.Age < lateAfter }

// MayRead tells whether the node reads now: always as the first reader, and otherwise if confirmations stay out. A node that
// hears no reader either may be cut off from all of them and reads at once; if readers are heard but get no answer
// themselves, others join step by step, because the registry may be down for all and each call is charged.
func (s Standing) MayRead() bool {
	switch {
	case s.Age == Unconfirmed:
		return true
	case s.Rank < readers:
		return s.Age >= time.Duration(s.Rank)*standbyAfter
	case s.Age < lateAfter:
		return false
	case s.Heard == Unconfirmed || s.Heard >= lateAfter:
		return true
	}
	joined := readers
	for late := s.Age - lateAfter; late >= 0 && s.Rank >= joined; late -= joinEvery {
		joined *= 3
	}
	return s.Rank < joined
}
