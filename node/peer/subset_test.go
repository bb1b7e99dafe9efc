package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

// crowd returns targets of four failure domains.
func crowd(n int) []Candidate {
	var all []Candidate
	for i := range n {
		all = append(all, Candidate{Name: fmt.Sprint("t", i), Domain: string(rune('a' + i%4))})
	}
	return all
}

// TestSubset guards against a node that spreads its requests over all targets of a large service, and against a selection
// that keeps targets that cannot be used.
func TestSubset(t *testing.T) {
	now := time.Unix(1000, 0)
	self := Self{Name: "n1", Domain: "a"}
	var board TargetTable
	cases := map[string]struct {
		board      TargetTable
		candidates []Candidate
		out, tried []string
		want, near int
	}{
		"few":                      {candidates: crowd(8), want: 8, near: 2},
		"many":                     {candidates: crowd(43), want: subsetSize, near: subsetOwnDomain},
		"own domain out":           {candidates: crowd(43), out: []string{"a"}, want: subsetSize},
		"others out":               {candidates: crowd(43), out: []string{"b", "c", "d"}, want: subsetSize, near: subsetSize},
		"some tried":               {candidates: crowd(43), tried: []string{"t0", "t4", "t8"}, want: subsetSize, near: subsetOwnDomain},
		"few of the own domain":    {candidates: crowd(11), want: subsetSize, near: 3},
		"all out":                  {candidates: crowd(43), out: []string{"a", "b", "c", "d"}, want: 43, near: 11},
		"one of the chosen leaves": {board: board.WithLeaving(now, board.Subset(now, crowd(43), self, nil, nil)[0].Name, true), candidates: crowd(43), want: subsetSize, near: subsetOwnDomain},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := tc.board.Subset(now, tc.candidates, self, tc.out, tc.tried)
			require.Len(t, got, tc.want)
			near := 0
			for _, c := range got {
				if c.Domain == self.Domain {
					near++
				}
				if name != "all out" {
					require.Empty(t, tc.board.exclusionReason(now, &c, tc.out, tc.tried))
				}
			}
			require.Equal(t, tc.near, near)
		})
	}
}

// TestSubsetSpread guards against targets that no node selects, and against ones that far too many do.
func TestSubsetSpread(t *testing.T) {
	var board TargetTable
	chosen := map[string]int{}
	const nodes = 74
	for n := range nodes {
		for _, c := range board.Subset(time.Unix(1000, 0), crowd(43), Self{Name: fmt.Sprint("n", n), Domain: string(rune('a' + n%4))}, nil, nil) {
			chosen[c.Name]++
		}
	}
	for _, c := range crowd(43) {
		require.InDelta(t, nodes*subsetSize/43, chosen[c.Name], 10, c.Name)
	}
}

// TestSubsetChoice guards against a choice that passes by a target with room, when those of the selection are full.
func TestSubsetChoice(t *testing.T) {
	now, self, all := time.Unix(1000, 0), Self{Name: "n1", Domain: "a"}, crowd(43)
	var board TargetTable
	full := target.Load{Limit: 8, Running: 8, ServiceTime: 200 * time.Millisecond}
	for _, c := range board.Subset(now, all, self, nil, nil)[1:] {
		board = board.WithRefusal(now, c.Name, answer.NewNotExecuted(answer.CodeBusy, "").WithRetryAfter(time.Second), full)
	}
	last := board.Subset(now, all, self, nil, nil)[0].Name
	board = board.WithResponse(now, last, target.Load{Limit: 8, ServiceTime: 200 * time.Millisecond}, 0)
	random, hits := rand.New(rand.NewPCG(1, 1)), 0
	for range 100 {
		choice, ok := board.Choose(now, random, board.Subset(now, all, self, nil, nil), self.Domain, nil, nil)
		require.True(t, ok)
		if choice.Instance == last {
			hits++
		}
	}
	require.Greater(t, hits, 20, "two of the own failure domain and one of another are compared")
}
