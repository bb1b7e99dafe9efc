package config

import (
	"math/big"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestWeightedServices guards against shares that differ from exact proportions, overflow, or depend on how the weights are written.
func TestWeightedServices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factor := new(big.Rat).SetFloat64(rapid.Float64Range(1e-300, 1e300).Draw(t, "factor"))
		var names []string
		var weights, scaled []*big.Rat
		sum := new(big.Rat)
		for _, w := range rapid.SliceOfN(rapid.Float64Range(0, 1e300), 1, 20).Draw(t, "weights") {
			exact := new(big.Rat).SetFloat64(w)
			names = append(names, string(rune('a'+len(names))))
			weights, scaled = append(weights, exact), append(scaled, new(big.Rat).Mul(exact, factor))
			sum.Add(sum, exact)
		}
		split := NewWeightedServices(names, weights)
		require.Equal(t, split, NewWeightedServices(names, scaled))
		shares := map[string]int64{}
		var total int64
		for _, s := range split {
			shares[s.Service] = s.Share
			total += s.Share
		}
		if sum.Sign() == 0 {
			require.Empty(t, split)
			return
		}
		require.EqualValues(t, TotalShare, total)
		for i, name := range names {
			if weights[i].Sign() == 0 {
				require.NotContains(t, shares, name)
				continue
			}
			off := new(big.Rat).Mul(weights[i], new(big.Rat).Quo(big.NewRat(TotalShare, 1), sum))
			off.Sub(off, big.NewRat(shares[name], 1))
			require.Negative(t, off.Abs(off).Cmp(big.NewRat(1, 1)), name)
		}
	})
}
