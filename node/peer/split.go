package peer

import (
	"cmp"
	"slices"

	"verbenapin.dev/node/config"
)

// Split divides the requests of a route among services in proportion to their shares, by smooth weighted round robin. Each service stays
// within about one request of its proportion, so that the few requests of a single node keep the proportions too.
type Split struct {
	services []config.WeightedService
	credits  []int64 // what each service is behind its proportion, in parts of config.TotalShare of a request; their sum is 0
}

// settlingSteps is how many requests a random state is moved on, until services are next as often as their shares say. States that are
// never reached by requests favour small shares.
const settlingSteps = 64

// NewSplit returns a random state of a route, so that the nodes of a fleet start at different positions of the sequence, since each of them
// may see few requests only. random returns a number from 0 to less than n.
func NewSplit(services []config.WeightedService, random func(n int64) int64) Split {
	s := Split{services: services, credits: randomCredits(len(services), random)}
	for range settlingSteps {
		s.advance(s.credits)
	}
	return s
}

// randomCredits returns credits between -1 and 1 request whose sum is 0. Fractions of a request are drawn, the last of which makes the sum a
// whole number of requests; so many services are then taken for served, those that are furthest behind.
func randomCredits(n int, random func(n int64) int64) []int64 {
	credits, byCredit := make([]int64, n), make([]int, n)
	var fraction int64
	for i := range n {
		byCredit[i] = i
		if i < n-1 {
			credits[i] = random(config.TotalShare)
			fraction = (fraction + credits[i]) % config.TotalShare
		}
	}
	credits[n-1] = (config.TotalShare - fraction) % config.TotalShare
	slices.SortStableFunc(byCredit, func(a, b int) int { return cmp.Compare(credits[b], credits[a]) })
	var sum int64
	for _, c := range credits {
		sum += c
	}
	for _, i := range byCredit[:sum/config.TotalShare] {
		credits[i] -= config.TotalShare
	}
	return credits
}

// Matches reports whether the state belongs to the given services and shares.
func (s Split) Matches(other []config.WeightedService) bool { return slices.Equal(s.services, other) }

// WithNext returns the state after a request, and the service to which it goes.
func (s Split) WithNext() (Split, string) {
	s.credits = slices.Clone(s.credits)
	return s, s.services[s.advance(s.credits)].Service
}

// advance changes the credits by a request, and returns the index of the service to which it goes.
func (s Split) advance(credits []int64) int {
	next := 0
	for i, service := range s.services {
		credits[i] += service.Share
		if credits[i] > credits[next] {
			next = i
		}
	}
	credits[next] -= config.TotalShare
	return next
}
