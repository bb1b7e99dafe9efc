package peer

import (
	"math"
	"math/big"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenapin.dev/node/config"
)

// weighted returns services named a, b, c and so on with the given weights.
func weighted(t require.TestingT, weights ...string) (services []config.WeightedService, exact map[string]*big.Rat) {
	var names []string
	var parsed []*big.Rat
	sum := new(big.Rat)
	for i, text := range weights {
		w, ok := new(big.Rat).SetString(text)
		require.True(t, ok, text)
		names, parsed = append(names, string(rune('a'+i))), append(parsed, w)
		sum.Add(sum, w)
	}
	exact = map[string]*big.Rat{}
	for i, w := range parsed {
		exact[names[i]] = new(big.Rat).Quo(w, sum)
	}
	return config.NewWeightedServices(names, parsed), exact
}

// requireProportions checks the number of requests of each service against exact arithmetic.
func requireProportions(t require.TestingT, exact map[string]*big.Rat, got map[string]int, n int) {
	for service, fraction := range exact {
		want := new(big.Rat).Mul(fraction, big.NewRat(int64(n), 1))
		off, _ := want.Sub(want, big.NewRat(int64(got[service]), 1)).Float64()
		most := 2.0
		if len(exact) <= 2 {
			most = 1
		}
		require.InDelta(t, 0, off, most, "service %s of %d requests", service, n)
	}
}

// TestSplitProportions guards against a service that gets more or fewer requests than its weight, over any number of requests, and against a
// start whose time depends on the size of the weights.
func TestSplitProportions(t *testing.T) {
	cases := map[string][]string{
		"one":          {"1"},
		"halves":       {"1", "1"},
		"tenth":        {"90", "10"},
		"thirds":       {"1", "1", "1"},
		"uneven":       {"7", "2", "1"},
		"fractions":    {"99.5", "0.5"},
		"one of many":  {"1000000000", "1"},
		"overflow":     {"9223372036854775807", "1"},
		"equal halves": {"4611686018427387904", "4611686018427387904"},
		"huge":         {"1e30", "2e30"},
		"tiny":         {"1e-9", "3e-9"},
		"beside tiny":  {"1e30", "1e-30", "1e30"},
		"five":         {"0.1", "0.2", "0.3", "0.35", "0.05"},
		"equal eighth": {"1", "1", "1", "1", "1", "1", "1", "1"},
	}
	for name, weights := range cases {
		t.Run(name, func(t *testing.T) {
			services, exact := weighted(t, weights...)
			rapid.Check(t, func(t *rapid.T) {
				s := NewSplit(services, func(n int64) int64 { return rapid.Int64Range(0, n-1).Draw(t, "phase") })
				n := rapid.IntRange(1, 500).Draw(t, "requests")
				got := map[string]int{}
				var service string
				for range n {
					s, service = s.WithNext()
					got[service]++
				}
				requireProportions(t, exact, got, n)
			})
		})
	}
}

// TestSplitManyRequests guards against errors that add up with the number of requests.
func TestSplitManyRequests(t *testing.T) {
	cases := map[string][]string{"thirds": {"1", "1", "1"}, "decimals": {"0.1", "0.7"}, "one of many": {"299999", "1"}}
	for name, weights := range cases {
		t.Run(name, func(t *testing.T) {
			services, exact := weighted(t, weights...)
			s := NewSplit(services, func(n int64) int64 { return n / 2 })
			got := map[string]int{}
			var service string
			for n := range 1_000_000 {
				s, service = s.WithNext()
				got[service]++
				if n%99_991 == 0 {
					requireProportions(t, exact, got, n+1)
				}
			}
			requireProportions(t, exact, got, 1_000_000)
		})
	}
}

// TestSplitStart guards against all nodes of a fleet sending their first requests to the same service, or too many of them to small ones.
func TestSplitStart(t *testing.T) {
	cases := map[string][]string{
		"two":       {"9", "1"},
		"fractions": {"99.5", "0.5"},
		"thirds":    {"1", "1", "1"},
		"three":     {"50", "30", "20"},
		"small":     {"90", "9", "1"},
		"six":       {"40", "30", "20", "5", "4", "1"},
	}
	for name, weights := range cases {
		t.Run(name, func(t *testing.T) {
			services, exact := weighted(t, weights...)
			r := rand.New(rand.NewPCG(1, 2))
			got := map[string]float64{}
			const nodes = 20_000
			for range nodes {
				_, service := NewSplit(services, r.Int64N).WithNext()
				got[service]++
			}
			for service, fraction := range exact {
				want, _ := fraction.Float64()
				// Four standard deviations.
				require.InDelta(t, want, got[service]/nodes, 4*math.Sqrt(want*(1-want)/nodes), service)
			}
		})
	}
}

// TestSplitStartOfTwo guards against nodes that do not start evenly over the sequence.
func TestSplitStartOfTwo(t *testing.T) {
	services, _ := weighted(t, "9", "1")
	got := map[string]int{}
	for start := range int64(100) {
		_, service := NewSplit(services, func(n int64) int64 { return start*(n/100) + n/200 }).WithNext()
		got[service]++
	}
	require.Equal(t, map[string]int{"a": 90, "b": 10}, got)
}

// TestSplitMatches guards against a split that starts anew with each version, although its proportions are the same.
func TestSplitMatches(t *testing.T) {
	cases := map[string]struct {
		before, after []string
		want          bool
	}{
		"whole and fractions": {before: []string{"199", "1"}, after: []string{"99.5", "0.5"}, want: true},
		"exponents":           {before: []string{"1e30", "2e30"}, after: []string{"0.1", "0.2"}, want: true},
		"tenths":              {before: []string{"1", "3", "7"}, after: []string{"0.1", "0.3", "0.7"}, want: true},
		"other proportions":   {before: []string{"199", "1"}, after: []string{"198", "1"}},
		"a further service":   {before: []string{"1", "1"}, after: []string{"1", "1", "1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			before, _ := weighted(t, tc.before...)
			after, _ := weighted(t, tc.after...)
			s := NewSplit(before, func(int64) int64 { return 0 })
			require.Equal(t, tc.want, s.Matches(after))
		})
	}
}
