package peer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenapin.dev/node/config"
)

// TestSplitProportions guards against a service that gets more or fewer requests than its weight, over any number of requests.
func TestSplitProportions(t *testing.T) {
	cases := map[string][]config.WeightedService{
		"one":    {{Service: "a", Weight: 1}},
		"halves": {{Service: "a", Weight: 1}, {Service: "b", Weight: 1}},
		"tenth":  {{Service: "a", Weight: 90}, {Service: "b", Weight: 10}},
		"thirds": {{Service: "a", Weight: 1}, {Service: "b", Weight: 1}, {Service: "c", Weight: 1}},
		"uneven": {{Service: "a", Weight: 7}, {Service: "b", Weight: 2}, {Service: "c", Weight: 1}},
	}
	for name, services := range cases {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := NewSplit(services, rapid.IntRange(0, 1_000_000).Draw(t, "offset"))
				n := rapid.IntRange(1, 500).Draw(t, "requests")
				total := 0
				for _, p := range services {
					total += p.Weight
				}
				got := map[string]int{}
				var service string
				for range n {
					s, service = s.WithNext()
					got[service]++
				}
				for _, p := range services {
					want := float64(n*p.Weight) / float64(total)
					require.InDelta(t, want, got[p.Service], 2, "service %s of %d requests", p.Service, n)
				}
			})
		})
	}
}

// TestSplitOffset guards against all nodes of a fleet sending their first requests to the same service.
func TestSplitOffset(t *testing.T) {
	services := []config.WeightedService{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}
	got := map[string]int{}
	for offset := range 100 {
		_, service := NewSplit(services, offset).WithNext()
		got[service]++
	}
	require.Equal(t, map[string]int{"a": 90, "b": 10}, got)
}
