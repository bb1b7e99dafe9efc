package target

import (
	"slices"
	"time"
)

const (
	// routeTimeWeight is the number of responses over which the service time of a route is averaged.
	routeTimeWeight = 16
	// maxRoutes bounds the routes whose service times a gate keeps; the least recently used one is dropped first.
	maxRoutes = 64
)

// routeTime is the mean service time of the requests of a route at slowdown 1.
type routeTime struct {
	route   string
	mean    time.Duration
	samples int
}

// ServiceTimes holds the mean service times of a target's routes, the least recently used first; it is immutable.
type ServiceTimes struct{ routes []routeTime }

// WithResponse returns the service times after a response on the route.
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

// Mean returns the mean service time of a route, or fallback if there was no response on the route.
func (s ServiceTimes) Mean(route string, fallback time.Duration) time.Duration {
	for i := range s.routes {
		if s.routes[i].route == route {
			return s.routes[i].mean
		}
	}
	return fallback
}
