package config

import (
	"cmp"
	"math/big"
	"slices"
)

// TotalShare is the sum of the shares of a split. It leaves room in an int64 for sums of many shares.
const TotalShare = 1 << 56

// WeightedService is a service that gets a share of a route's requests.
type WeightedService struct {
	Service string
	Share   int64 // of TotalShare
}

// Fraction returns the fraction of the route's requests that the service gets.
func (w WeightedService) Fraction() float64 { return float64(w.Share) / TotalShare }

// NewWeightedServices returns services with shares in proportion to their weights, of which none is negative. Services with a weight of
// zero are left out. Weights of equal proportions, such as 199 and 1 or 99.5 and 0.5, have equal shares.
func NewWeightedServices(services []string, weights []*big.Rat) []WeightedService {
	var split []WeightedService
	var used []*big.Rat
	sum := new(big.Rat)
	for i, w := range weights {
		if w.Sign() > 0 {
			split, used = append(split, WeightedService{Service: services[i]}), append(used, w)
			sum.Add(sum, w)
		}
	}
	if len(split) == 0 {
		return nil
	}
	left := int64(TotalShare)
	remainders, order := make([]*big.Rat, len(split)), make([]int, len(split))
	scale := new(big.Rat).Quo(big.NewRat(TotalShare, 1), sum)
	for i, w := range used {
		exact := new(big.Rat).Mul(w, scale)
		whole := new(big.Int).Quo(exact.Num(), exact.Denom())
		split[i].Share = whole.Int64()
		left -= split[i].Share
		remainders[i], order[i] = exact.Sub(exact, new(big.Rat).SetInt(whole)), i
	}
	// The services with the largest remainders get what rounding down has left, one unit each.
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(remainders[b].Cmp(remainders[a]), a-b) })
	for _, i := range order[:left] {
		split[i].Share++
	}
	return split
}
