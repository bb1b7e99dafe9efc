package registry

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// fanout is the number of nodes to which a node forwards an update; 1,200 nodes are reached in six hops.
const fanout = 4

// position returns the position of a node on the ring along which updates are forwarded.
func position(name string) uint32 {
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

// Segment is a part of the ring. Its first node that answers forwards an update to the nodes after it.
type Segment struct {
	Nodes []Node
}

// Until returns the position of the last node of the segment.
func (s Segment) Until() uint32 { return position(s.Nodes[len(s.Nodes)-1].Name) }

// Ring returns the nodes in the order of the ring after self, without self.
func Ring(self string, nodes []Node) []Node {
	own := position(self)
	ring := slices.DeleteFunc(slices.Clone(nodes), func(node Node) bool { return node.Name == self })
	distances := make(map[string]uint32, len(ring))
	for _, node := range ring {
		distances[node.Name] = position(node.Name) - own // unsigned, so it wraps around the ring
	}
	slices.SortFunc(ring, func(a, b Node) int { return cmp.Compare(distances[a.Name], distances[b.Name]) })
	return ring
}

// Segments divides the ring after self into at most fanout segments, up to a position, or the whole ring if all is set.
func Segments(self string, ring []Node, until uint32, all bool) []Segment {
	reach := ring
	if !all {
		own := position(self)
		end := slices.IndexFunc(ring, func(node Node) bool { return position(node.Name)-own > until-own })
		if end >= 0 {
			reach = ring[:end]
		}
	}
	var segments []Segment
	for n := min(fanout, len(reach)); n > 0; n-- {
		size := (len(reach) + n - 1) / n
		segments = append(segments, Segment{Nodes: reach[:size]})
		reach = reach[size:]
	}
	return segments
}
