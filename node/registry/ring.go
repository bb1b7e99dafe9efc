package registry

import (
	"hash/fnv"
	"slices"
)

// fanout is the number of nodes to which a node passes news on; 1,200 nodes are reached in six steps.
const fanout = 4

// place returns the position of a node on the ring along which news are passed on.
func place(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	x := h.Sum32()
	// FNV barely changes the high bits of names that differ in their last bytes only.
	x ^= x >> 16
	x *= 0x7feb352d
	x ^= x >> 15
	x *= 0x846ca68b
	return x ^ x>>16
}

// Errand is news to pass on: to the first member that answers, which passes them on to the others.
type Errand struct {
	Members []Member
}

// Until returns the end of the part of the ring that the receiver has to reach.
func (e Errand) Until() uint32 { return place(e.Members[len(e.Members)-1].Name) }

// Errands divides the members on the ring after self up to a place, or all others if whole is set.
func Errands(self string, members []Member, until uint32, whole bool) []Errand {
	own := place(self)
	var reach []Member
	for _, m := range members {
		// Unsigned differences are distances along the ring.
		if m.Name != self && (whole || place(m.Name)-own <= until-own) {
			reach = append(reach, m)
		}
	}
	slices.SortFunc(reach, func(a, b Member) int {
		x, y := place(a.Name)-own, place(b.Name)-own
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	var errands []Errand
	for n := min(fanout, len(reach)); n > 0; n-- {
		size := (len(reach) + n - 1) / n
		errands = append(errands, Errand{Members: reach[:size]})
		reach = reach[size:]
	}
	return errands
}
