package peer

import (
	"context"
	"maps"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/target"
)

// maxCalendars bounds the calendars that a node keeps. Those without reservations are dropped for others; if there are none, callers of
// another account or service get no reservation.
const maxCalendars = 256

// IsReturn reports whether a request comes from a caller that was refused before and returned as told, and counts it as returned.
func (d *Dispatcher) IsReturn(route config.Route, account string, p target.Priority, deadline time.Time) bool {
	if !d.refusesEarly() {
		return false
	}
	returned := false
	// Call fails only if the loop is closed, and then the request is refused anyway.
	_ = d.loop.Call(context.Background(), func(now time.Time) { returned = d.withReturn(now, route, account, p, deadline) })
	return returned
}

// withReturn is IsReturn on the control goroutine.
func (d *Dispatcher) withReturn(now time.Time, route config.Route, account string, p target.Priority, deadline time.Time) bool {
	key := calendarKey(route, account, p)
	c, returned := d.calendars[key]
	if returned {
		d.calendars[key], returned = c.WithReturn(now, route.Name, deadline)
	}
	return returned
}

// Reserve returns the refusal of a request with the time at which its caller should return, and whether that is reserved for it.
func (d *Dispatcher) Reserve(route config.Route, account string, p target.Priority, deadline time.Time, refused answer.Refusal) (answer.Refusal, bool) {
	if !d.refusesEarly() {
		return refused, false
	}
	reserved := false
	// If the loop is closed, the refusal stays as it is.
	_ = d.loop.Call(context.Background(), func(now time.Time) { refused, reserved = d.withReservation(now, route, account, p, deadline, refused) })
	return refused, reserved
}

// withReservation is Reserve on the control goroutine.
func (d *Dispatcher) withReservation(now time.Time, route config.Route, account string, p target.Priority, deadline time.Time, refused answer.Refusal) (answer.Refusal, bool) {
	key := calendarKey(route, account, p)
	if _, ok := d.calendars[key]; !ok && len(d.calendars) >= maxCalendars {
		maps.DeleteFunc(d.calendars, func(_ shortageKey, c Calendar) bool { return len(c.withoutExpired(now).reservations) == 0 })
		if len(d.calendars) >= maxCalendars {
			return refused, false
		}
	}
	c, wait, reserved := d.calendars[key].WithReservation(now, route.Name, deadline, d.acceptedRate(now, key))
	d.calendars[key] = c
	if !reserved {
		wait = max(wait, refused.RetryAfter)
	}
	return refused.WithRetryAfter(wait), reserved
}

// calendarKey returns the key of the calendar for requests of a route: those of one account and rank share it whatever their stage.
func calendarKey(route config.Route, account string, p target.Priority) shortageKey {
	p.Stage = target.StageNew
	return shortageKey{route.Service, account, p}
}

// acceptedRate returns the requests per second of a service, an account and a rank that gates have accepted from this node of late.
func (d *Dispatcher) acceptedRate(now time.Time, key shortageKey) float64 {
	sum := 0.0
	for _, stage := range []target.Stage{target.StageNew, target.StageReturned} {
		key.rank.Stage = stage
		sum += d.shortages[key].acceptedRate(now)
	}
	return sum
}
