package registry

import (
	"cmp"
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
	Members []Node
}

// Until returns the end of the part of the ring that the receiver has to reach.
func (e Errand) Until() uint32 { return place(e.Members[len(e.Members)-1].Name) }

// Ring returns the members in their order along the ring after self, without self.
func Ring(self string, members []Node) []Node {
	own := place(self)
	ring := slices.DeleteFunc(slices.Clone(members), func(m Node) bool { return m.Name == self })
	places := make(map[string]uint32, len(ring))
	for _, m := range ring {
		places[m.Name] = place(m.Name) - own // unsigned differences are distances along the ring
	}
	slices.SortFunc(ring, func(a, b Node) int { return cmp.Compare(places[a.Name], places[b.Name]) })
	return ring
}

// Errands divides the members of a ring after self up to a place, or all of them if whole is set.
func Errands(self string, ring []Node, until uint32, whole bool) []Errand {
	reach := ring
	if !whole {
		own := place(self)
		end := slices.IndexFunc(ring, func(m Node) bool { return place(m.Name)-own > until-own })
		if end >= 0 {
			reach = ring[:end]
		}
	}
	var errands []Errand
	for n := min(fanout, len(reach)); n > 0; n-- {
		size := (len(reach) + n - 1) / n
		errands = append(errands, Errand{Members: reach[:size]})
		reach = reach[size:]
	}
	return errands
}
