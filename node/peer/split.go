package peer

import (
	"slices"

	"verbenapin.dev/node/config"
)

// Split divides the requests of a route among services in proportion to their weights. Each service stays
// within about one request of its proportion, so that the few requests of a single node keep the proportions too.
type Split struct {
	services []config.WeightedService
	credit   []int
}

// NewSplit returns the state of a route; offset is a random number that lets the nodes of a fleet start at different
// positions of the sequence, since each of them may see few requests only.
func NewSplit(services []config.WeightedService, offset int) Split {
	s := Split{services: services, credit: make([]int, len(services))}
	total := 0
	for _, service := range services {
		total += service.Weight
	}
	for range offset % max(total, 1) {
		s, _ = s.WithNext()
	}
	return s
}

// Matches reports whether the state belongs to the given services and weights.
func (s Split) Matches(other []config.WeightedService) bool { return slices.Equal(s.services, other) }

// WithNext returns the state after a request, and the service to which it goes.
func (s Split) WithNext() (Split, string) {
	s.credit = slices.Clone(s.credit)
	total, best := 0, 0
	for i, service := range s.services {
		s.credit[i] += service.Weight
		total += service.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return s, s.services[best].Service
}
