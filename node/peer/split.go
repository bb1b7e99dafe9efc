package peer

import (
	"slices"

	"verbenapin.dev/node/config"
)

// Split divides the requests of a route among services in proportion to their shares. Two services stay within one request of their
// proportion, several within two, so that the few requests of a single node keep the proportions too.
//
// It halves the services again and again until one is left. Each halving gives its left half a request whenever its phase, which advances
// by the share of that half, passes the share of both halves.
type Split struct {
	services []config.WeightedService
	ends     []int64 // ends[i] is the sum of the shares of the first i services
	phases   []int64 // phases[i] belongs to the halving before service i; at least 0 and less than the share of both halves
}

// NewSplit returns the state of a route with random phases, so that the nodes of a fleet start at different positions of the sequence, since
// each of them may see few requests only. random returns a number from 0 to less than n, which is positive.
func NewSplit(services []config.WeightedService, random func(n int64) int64) Split {
	s := Split{services: services, ends: make([]int64, len(services)+1), phases: make([]int64, len(services))}
	for i, service := range services {
		s.ends[i+1] = s.ends[i] + service.Share
	}
	s.randomize(0, len(services), random)
	return s
}

// randomize sets the phases of the halvings of a range of services.
func (s Split) randomize(first, end int, random func(n int64) int64) {
	if end-first < 2 {
		return
	}
	middle := s.middle(first, end)
	if both := s.ends[end] - s.ends[first]; both > 0 {
		s.phases[middle] = random(both)
	}
	s.randomize(first, middle, random)
	s.randomize(middle, end, random)
}

// middle returns the beginning of the right half of a range of at least two services. The shares of both halves are as equal as the order
// of the services allows, which keeps the errors of successive halvings from adding up.
func (s Split) middle(first, end int) int {
	half := s.ends[first] + (s.ends[end]-s.ends[first])/2
	i, _ := slices.BinarySearch(s.ends[first+1:end], half)
	middle := min(first+1+i, end-1)
	if middle-1 > first && half-s.ends[middle-1] < s.ends[middle]-half {
		middle--
	}
	return middle
}

// Matches reports whether the state belongs to the given services and shares.
func (s Split) Matches(other []config.WeightedService) bool { return slices.Equal(s.services, other) }

// WithNext returns the state after a request, and the service to which it goes.
func (s Split) WithNext() (Split, string) {
	s.phases = slices.Clone(s.phases)
	first, end := 0, len(s.services)
	for end-first > 1 {
		middle := s.middle(first, end)
		phase, both := s.phases[middle]+s.ends[middle]-s.ends[first], s.ends[end]-s.ends[first]
		if phase >= both {
			s.phases[middle], end = phase-both, middle
		} else {
			s.phases[middle], first = phase, middle
		}
	}
	return s, s.services[first].Service
}
