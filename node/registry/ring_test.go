package registry

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// forward simulates how nodes forward an update and returns the number of hops. A sender skips nodes of a segment that are down.
func forward(list []Node, self string, until uint32, all bool, down map[string]bool, received map[string]int, depth int) int {
	deepest := depth
	for _, s := range Segments(self, Ring(self, list), until, all) {
		for _, m := range s.Nodes {
			if down[m.Name] {
				continue
			}
			received[m.Name]++
			if len(s.Nodes) > 1 {
				deepest = max(deepest, forward(list, m.Name, s.Until(), false, down, received, depth+1))
			}
			break
		}
	}
	return deepest
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
		deepest := forward(list, self, 0, true, down, received, 1)
		for _, m := range list {
			want := 1
			if m.Name == self || down[m.Name] {
				want = 0
			}
			require.Equal(r, want, received[m.Name], m.Name)
		}
		if len(down) == 0 {
			require.LessOrEqual(r, deepest, 6)
		}
	})
}
