package target

import (
	"slices"
	"time"
)

const (
	// serviceWeight is the number of responses over which the time of a route is averaged.
	routeTimeWeight = 16
	// maxServices bounds the routes whose times a gate keeps; the one that was not used for the longest time goes first.
	maxRoutes = 64
)

// routeTime is the mean time that requests of a route take at the usual pace of the target.
type routeTime struct {
	route   string
	mean    time.Duration
	samples int
}

// ServiceTimes holds the times of the routes that a target serves, the least recently used first; it never changes.
type ServiceTimes struct{ routes []routeTime }

// WithResponse returns the times after a response.
func (s ServiceTimes) WithResponse(route string, took time.Duration) ServiceTimes {
	at := slices.IndexFunc(s.routes, func(r routeTime) bool { return r.route == route })
	rt := routeTime{route: route}
	routes := slices.Clone(s.routes)
	switch {
	case at >= 0:
		rt = routes[at]
		routes = slices.Delete(routes, at, at+1)
	case len(routes) >= maxRoutes:
		routes = routes[1:]
	}
	rt.samples = min(rt.samples+1, routeTimeWeight)
	rt.mean += (took - rt.mean) / time.Duration(rt.samples)
	return ServiceTimes{routes: append(routes, rt)}
}

// Mean returns the mean time of a route, or the given one while there was no response of the route.
func (s ServiceTimes) Mean(route string, fallback time.Duration) time.Duration {
	for i := range s.routes {
		if s.routes[i].route == route {
			return s.routes[i].mean
		}
	}
	return fallback
}
