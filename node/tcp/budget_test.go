package tcp

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBudget guards against kinds of connections that together need more descriptors than the process may open, and against a
// kind that gets none.
func TestBudget(t *testing.T) {
	cases := map[string]struct{ descriptors, caller, peer, target int }{
		"of a test":             {descriptors: 120, caller: 36, peer: 18, target: 9},
		"usual limit":           {descriptors: 1024, caller: 371, peer: 185, target: 92},
		"small machine":         {descriptors: 3900, caller: 1521, peer: 760, target: 260},
		"large machine":         {descriptors: 7992, caller: 3158, peer: 1579, target: 260},
		"almost without limit":  {descriptors: 1 << 20, caller: 6515, peer: 3257, target: 260},
		"fewer than it can use": {descriptors: 8, caller: 2, peer: 1, target: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(tc.descriptors)
			require.Equal(t, []int{tc.caller, tc.peer, tc.target}, []int{b.Max(KindCaller), b.Max(KindPeer), b.Max(KindTarget)})
			sum := 0
			for _, k := range Kinds() {
				require.Positive(t, b.Max(k), k)
				sum += b.Max(k)
			}
			if tc.descriptors >= 24 {
				require.LessOrEqual(t, sum+min(otherDescriptors, tc.descriptors/6), tc.descriptors)
			}
		})
	}
}
