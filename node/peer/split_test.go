package peer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenapin.dev/node/config"
)

// TestSplitShares guards against a service that gets more or less than its weight, over any number of requests.
func TestSplitShares(t *testing.T) {
	cases := map[string][]config.WeightedService{
		"one":    {{Service: "a", Weight: 1}},
		"halves": {{Service: "a", Weight: 1}, {Service: "b", Weight: 1}},
		"tenth":  {{Service: "a", Weight: 90}, {Service: "b", Weight: 10}},
		"thirds": {{Service: "a", Weight: 1}, {Service: "b", Weight: 1}, {Service: "c", Weight: 1}},
		"uneven": {{Service: "a", Weight: 7}, {Service: "b", Weight: 2}, {Service: "c", Weight: 1}},
	}
	for name, shares := range cases {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := NewSplit(shares, rapid.IntRange(0, 1_000_000).Draw(t, "draw"))
				n := rapid.IntRange(1, 500).Draw(t, "requests")
				total := 0
				for _, p := range shares {
					total += p.Weight
				}
				got := map[string]int{}
				var service string
				for range n {
					s, service = s.WithNext()
					got[service]++
				}
				for _, p := range shares {
					want := float64(n*p.Weight) / float64(total)
					require.InDelta(t, want, got[p.Service], 2, "service %s of %d requests", p.Service, n)
				}
			})
		})
	}
}

// TestSplitStarts guards against all nodes of a fleet sending their first requests to the same service.
func TestSplitStarts(t *testing.T) {
	shares := []config.WeightedService{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}
	got := map[string]int{}
	for draw := range 100 {
		_, service := NewSplit(shares, draw).WithNext()
		got[service]++
	}
	require.Equal(t, map[string]int{"a": 90, "b": 10}, got)
}
