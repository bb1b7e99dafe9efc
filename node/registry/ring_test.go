package registry

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// forward simulates how nodes forward an update and returns the number of hops. A sender skips nodes of a segment that are down.
func forward(list []Node, self string, until uint32, all bool, down map[string]bool, received map[string]int, hops int) int {
	maxHops := hops
	for _, s := range Segments(self, Ring(self, list), until, all) {
		for _, node := range s.Nodes {
			if down[node.Name] {
				continue
			}
			received[node.Name]++
			if len(s.Nodes) > 1 {
				maxHops = max(maxHops, forward(list, node.Name, s.Until(), false, down, received, hops+1))
			}
			break
		}
	}
	return maxHops
}

// TestSegments guards against nodes that an update does not reach or reaches twice, also when some nodes are down, and against more
// hops than the time for a change allows.
func TestSegments(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 1200).Draw(r, "nodes")
		list := testNodes(n, 3)
		self := list[rapid.IntRange(0, n-1).Draw(r, "self")].Name
		down := map[string]bool{}
		for range rapid.IntRange(0, n/4).Draw(r, "down") {
			if name := list[rapid.IntRange(0, n-1).Draw(r, "which")].Name; name != self {
				down[name] = true
			}
		}
		received := map[string]int{}
		maxHops := forward(list, self, 0, true, down, received, 1)
		for _, node := range list {
			want := 1
			if node.Name == self || down[node.Name] {
				want = 0
			}
			require.Equal(r, want, received[node.Name], node.Name)
		}
		if len(down) == 0 {
			require.LessOrEqual(r, maxHops, 6)
		}
	})
}
