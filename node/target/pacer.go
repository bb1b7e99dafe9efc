package target

import "time"

// minPacerBurst is how many requests may start at once after a pause at a low rate. One would leave the target idle between the end of
// a pause and the next request.
const minPacerBurst = 2

// pacer spaces the starts of requests so that they keep to a rate, with bursts of as many as the rate allows in a second; it is
// immutable.
type pacer struct {
	rate   float64 // starts per second, zero for any number
	tokens float64 // starts that were possible at the given time
	at     time.Time
}

// burst returns how many requests may start at once after a pause.
func (p pacer) burst() float64 { return max(p.rate, minPacerBurst) }

// withRate returns the pacer with another rate. If there was none, a burst may start.
func (p pacer) withRate(now time.Time, rate float64) pacer {
	if p.rate == 0 {
		p = pacer{rate: rate, at: now}
		p.tokens = p.burst()
		return p
	}
	p = p.refilled(now)
	p.rate = rate
	return p
}

func (p pacer) refilled(now time.Time) pacer {
	p.tokens = min(p.tokens+p.rate*max(now.Sub(p.at), 0).Seconds(), p.burst())
	p.at = laterOf(now, p.at)
	return p
}

// withStart returns the pacer after a request started.
func (p pacer) withStart(now time.Time) pacer {
	if p.rate == 0 {
		return p
	}
	p = p.refilled(now)
	p.tokens--
	return p
}

// next returns the earliest time at which another request may start, zero if one may start now.
func (p pacer) next(now time.Time) time.Time {
	if p.rate == 0 {
		return time.Time{}
	}
	missing := 1 - p.refilled(now).tokens
	if missing <= 0 {
		return time.Time{}
	}
	// Rounded up, so that a request that starts then does not come a fraction of a nanosecond too early.
	return now.Add(time.Duration(missing/p.rate*float64(time.Second)) + 1)
}
