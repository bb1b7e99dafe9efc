package peer

import (
	"slices"
	"time"
)

const (
	// returnShare is the part of the starts that returning callers may take from new ones of the same rank.
	returnShare = 0.5
	// minReturnWait is the shortest time after which a refused caller is asked to return: reports of what it was refused for need it.
	minReturnWait = 50 * time.Millisecond
	// returnTolerance is by how much the deadline of a returning caller may differ from that of its first request, and by how much it may
	// come early: callers round both to milliseconds.
	returnTolerance = 10 * time.Millisecond
	// returnGrace is how late a caller may return, which connects anew.
	returnGrace = 200 * time.Millisecond
	// honouredPart is the part of the time they have left for which callers wait at most.
	honouredPart = 3
	// maxReservations bounds a calendar: 64 for a third of a deadline of 3 s suffice for 128 starts a second.
	maxReservations = 64
)

// reservation is the time at which a refused caller returns. Its next request has another ID, but the same route and deadline.
type reservation struct {
	route    string
	deadline time.Time
	at       time.Time
}

// Calendar holds the times at which refused callers of a service and a rank return, so that they find capacity then. It addresses demand
// above the capacity of a service for seconds, in which refused callers return at once, are refused again and give up. It is immutable.
type Calendar struct {
	reservations []reservation // ordered by time
	nextFree     time.Time
}

// WithReservation returns the calendar after a request was refused, the time after which its caller should return, and whether that is
// reserved for it. rate is the number of requests per second that gates have accepted of late. A caller that would not wait as long gets
// no reservation, and so takes none of the others' capacity.
func (c Calendar) WithReservation(now time.Time, route string, deadline time.Time, rate float64) (Calendar, time.Duration, bool) {
	at := now.Add(minReturnWait)
	if c.nextFree.After(at) {
		at = c.nextFree
	}
	wait := at.Sub(now)
	c = c.withoutExpired(now)
	if rate <= 0 || wait > deadline.Sub(now)/honouredPart || len(c.reservations) >= maxReservations {
		return c, wait, false
	}
	c.reservations = append(slices.Clip(c.reservations), reservation{route: route, deadline: deadline, at: at})
	c.nextFree = at.Add(time.Duration(float64(time.Second) / (returnShare * rate)))
	return c, wait, true
}

// WithReturn returns the calendar after a request arrived, and whether its caller returned as told.
func (c Calendar) WithReturn(now time.Time, route string, deadline time.Time) (Calendar, bool) {
	c = c.withoutExpired(now)
	at := slices.IndexFunc(c.reservations, func(r reservation) bool {
		return r.route == route && r.deadline.Sub(deadline).Abs() <= returnTolerance && r.at.Sub(now) <= returnTolerance
	})
	if at < 0 {
		return c, false
	}
	c.reservations = slices.Concat(c.reservations[:at], c.reservations[at+1:])
	return c, true
}

// withoutExpired returns the calendar without callers that have not returned in time.
func (c Calendar) withoutExpired(now time.Time) Calendar {
	expired := 0
	for expired < len(c.reservations) && now.Sub(c.reservations[expired].at) > returnGrace {
		expired++
	}
	c.reservations = c.reservations[expired:]
	return c
}
