package target

import (
	"slices"
	"time"
)

const (
	// serviceWeight is the number of responses over which the time of a route is averaged.
	serviceWeight = 16
	// maxServices bounds the routes whose times a gate keeps; the one that was not used for the longest time goes first.
	maxServices = 64
)

// serviceTime is the mean time that requests of a route take at the usual pace of the target.
type serviceTime struct {
	route string
	mean  time.Duration
	seen  int
}

// Services holds the times of the routes that a target serves, the least recently used first; it never changes.
type Services struct{ rows []serviceTime }

// WithResponse returns the times after a response.
func (s Services) WithResponse(route string, took time.Duration) Services {
	at := slices.IndexFunc(s.rows, func(r serviceTime) bool { return r.route == route })
	row := serviceTime{route: route}
	rows := slices.Clone(s.rows)
	switch {
	case at >= 0:
		row = rows[at]
		rows = slices.Delete(rows, at, at+1)
	case len(rows) >= maxServices:
		rows = rows[1:]
	}
	row.seen = min(row.seen+1, serviceWeight)
	row.mean += (took - row.mean) / time.Duration(row.seen)
	return Services{rows: append(rows, row)}
}

// Of returns the mean time of a route, or the given one while there was no response of the route.
func (s Services) Of(route string, otherwise time.Duration) time.Duration {
	for i := range s.rows {
		if s.rows[i].route == route {
			return s.rows[i].mean
		}
	}
	return otherwise
}
