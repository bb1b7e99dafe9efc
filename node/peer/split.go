package peer

import (
	"slices"

	"verbenapin.dev/node/config"
)

// Split divides the requests of a route among services in proportion to their weights. Each service is behind or ahead
// of its share by less than one request, so that a node needs few requests to keep the proportions.
type Split struct {
	shares []config.WeightedService
	credit []int
}

// NewSplit returns the state of a route; draw is a random number by which the nodes of a fleet begin at different
// places, since each of them may see a few requests only.
func NewSplit(shares []config.WeightedService, draw int) Split {
	s := Split{shares: shares, credit: make([]int, len(shares))}
	total := 0
	for _, p := range shares {
		total += p.Weight
	}
	for range draw % max(total, 1) {
		s, _ = s.WithNext()
	}
	return s
}

// Divides tells whether the state is that of the given shares.
func (s Split) Divides(shares []config.WeightedService) bool { return slices.Equal(s.shares, shares) }

// WithNext returns the state after a request, and the service to which it goes.
func (s Split) WithNext() (Split, string) {
	s.credit = slices.Clone(s.credit)
	total, best := 0, 0
	for i, p := range s.shares {
		s.credit[i] += p.Weight
		total += p.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return s, s.shares[best].Service
}
