package registry

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// reach passes news on as nodes do; nodes that are down make the sender turn to the next one of the errand.
func reach(list []Node, self string, until uint32, whole bool, down map[string]bool, got map[string]int, depth int) int {
	deepest := depth
	for _, e := range Errands(self, Ring(self, list), until, whole) {
		for _, m := range e.Members {
			if down[m.Name] {
				continue
			}
			got[m.Name]++
			if len(e.Members) > 1 {
				deepest = max(deepest, reach(list, m.Name, e.Until(), false, down, got, depth+1))
			}
			break
		}
	}
	return deepest
}

// TestErrands guards against nodes that news do not reach or reach twice, also when some are down, and against ways that
// take more steps than the time for a change allows.
func TestErrands(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 1200).Draw(r, "nodes")
		list := members(n, 3)
		self := list[rapid.IntRange(0, n-1).Draw(r, "self")].Name
		down := map[string]bool{}
		for range rapid.IntRange(0, n/4).Draw(r, "down") {
			if name := list[rapid.IntRange(0, n-1).Draw(r, "which")].Name; name != self {
				down[name] = true
			}
		}
		got := map[string]int{}
		deepest := reach(list, self, 0, true, down, got, 1)
		for _, m := range list {
			want := 1
			if m.Name == self || down[m.Name] {
				want = 0
			}
			require.Equal(r, want, got[m.Name], m.Name)
		}
		if len(down) == 0 {
			require.LessOrEqual(r, deepest, 6)
		}
	})
}
