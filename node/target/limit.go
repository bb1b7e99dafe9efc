package target

import (
	"slices"
	"time"
)

const (
	slowFactor  = 3   // service time beyond this multiple of the baseline counts as slow
	slowCut     = 3   // slow responses in a row that halve the limit
	slowCold    = 5   // slow responses in a row that mean a cold target
	nearFactor  = 1.5 // median service time up to this multiple of its long-term mean allows growth
	baseWeight  = 64  // responses over which the baseline is averaged
	shortWeight = 8   // responses over which recent values are averaged
	toldWeight  = 32  // the same for targets that tell how fast they work now, whose other variation is that of requests
	// The last four responses or so count, so that a target that recovered is soon used again.
	failWeight = 4
	// Targets that state their slots are not relieved by a lower limit when they fail, so that their ratio may be exact.
	toldFailWeight = 16
	// One failure among four responses is common in applications; two or more point to a failing target.
	failingCut = 0.3
	// Within this time without a response a target can be replaced unnoticed, so that the limit is halved.
	idleCut = 10 * time.Second
	// After a reduction the limit stays below the value that was too high for this time, so that finding the
	// capacity of a target costs it at most one request too many a second.
	holdFor = time.Second
	// A target that restarted gets one more request at most in this time, because nothing shows that a cold target is
	// near its capacity before it is beyond. 12 slots are reached after 11 s; the pace halves when that was too fast.
	coldPace = time.Second
	slowPace = 8 * time.Second
	// Assumed until the first response.
	firstService = 10 * time.Millisecond
)

// Limit is the number of concurrent requests that a target is found to have capacity for; it starts at 1.
type Limit struct {
	told    bool // the target states its slots, so that its capacity need not be found
	slots   int
	value   int
	credit  int // responses at full use since the last change, the good ones less those beyond nearFactor
	ceiling int // largest value until the hold ends, zero for none
	hold    time.Time
	paced   bool          // the target restarted and has not reached its slots since
	pace    time.Duration // shortest time between two steps after a restart, zero for coldPace
	stepped time.Time     // last change after a restart, zero until the first response
	slow    int           // slow responses in a row
	held    time.Duration // sum of the slow responses in a row that are not in the baseline yet
	holding int           // number of these
	seen    int           // responses in the baseline, up to baseWeight
	base    time.Duration
	spread  time.Duration // mean absolute deviation from the baseline
	recent  time.Duration
	window  [shortWeight]time.Duration // last service times since the limit changed, a ring
	filled  int
	next    int
	middle  time.Duration // long-term mean of the window's median
	failing float64
	cut     time.Time // last reduction
	heard   time.Time // last response
	usual   time.Time // latest start of a request that was answered in the usual time
}

// NewLimit returns the limit of a target that was not seen warm.
func NewLimit(slots int) Limit {
	return Limit{slots: max(slots, 1), value: 1}
}

// WithTold returns the limit of a target that states its slots.
func (l Limit) WithTold(slots int) Limit {
	if l.told && l.slots == slots {
		return l
	}
	l.told, l.slots, l.value = true, slots, Usable(slots)
	return l
}

// Value returns the number of concurrent requests.
func (l Limit) Value() int { return l.value }

// Service returns the recent mean service time.
func (l Limit) Service() time.Duration {
	if l.seen == 0 {
		return firstService
	}
	return l.recent
}

// Failing returns the share of recent responses that failed.
func (l Limit) Failing() float64 { return l.failing }

func (l Limit) failWeight() float64 {
	if l.told {
		return toldFailWeight
	}
	return failWeight
}

// WithSlots returns the limit under a new upper bound.
func (l Limit) WithSlots(slots int) Limit {
	l.slots = max(slots, 1)
	l.value = min(l.value, l.slots)
	return l
}

// WithCold returns the limit of a target that started anew.
func (l Limit) WithCold(now time.Time) Limit {
	if l.told {
		return l // a told target is also asked how long it stays cold, and that bounds its requests
	}
	l.slow, l.cut = 0, now
	l.held, l.holding = 0, 0
	return l.withValue(1)
}

// WithRestart returns the limit of a target that was seen to start anew, which grows slowly from there.
func (l Limit) WithRestart(now time.Time) Limit {
	l.paced, l.stepped = true, time.Time{}
	return l.WithCold(now)
}

// early tells whether a restarted target may not get more requests at once yet.
func (l Limit) early(now time.Time) bool {
	return l.paced && now.Sub(l.stepped) < max(l.pace, coldPace)
}

// WithHalf returns half of the limit.
func (l Limit) WithHalf(now time.Time) Limit {
	l.cut = now
	return l.withValue(max(l.value/2, 1))
}

// withCut returns half of the limit and holds it below the present value.
func (l Limit) withCut(now time.Time) Limit {
	l.ceiling, l.hold = max(l.value-1, 1), now.Add(holdFor)
	return l.WithHalf(now)
}

// WithIdle returns the limit after a time without responses.
func (l Limit) WithIdle(now time.Time) Limit {
	if l.told || l.heard.IsZero() {
		return l
	}
	for ; l.value > 1 && now.Sub(l.heard) >= idleCut; l.heard = l.heard.Add(idleCut) {
		l = l.WithHalf(now)
	}
	return l
}

// Slow returns the service time from which a response counts as slow, or zero while no baseline exists.
func (l Limit) Slow() time.Duration {
	if l.told || l.seen < slowCold {
		return 0
	}
	return max(slowFactor*l.base, l.base+2*l.spread)
}

// WithGood returns the limit after a response; full tells that the limit was reached while the request ran.
func (l Limit) WithGood(now, started time.Time, latency time.Duration, full bool) Limit {
	l.heard = now
	l.failing -= l.failing / l.failWeight()
	if l.told {
		return l.withTold(now, latency)
	}
	after := !started.Before(l.cut)
	latency = max(latency, time.Microsecond)
	if l.seen == 0 {
		l.base, l.recent, l.middle = latency, latency, latency
	}
	l.window[l.next] = latency
	l.next = (l.next + 1) % shortWeight
	l.filled = min(l.filled+1, shortWeight)
	slow := l.Slow() > 0 && latency > l.Slow()
	l.seen = min(l.seen+1, baseWeight)
	l.recent += (latency - l.recent) / time.Duration(min(l.seen, shortWeight))
	switch {
	// At a limit of 1 the target has no load of ours besides this request, so a lasting change is adopted.
	case l.value == 1 && after:
		l = l.withBase(latency, 1, shortWeight)
	// Slow responses enter the baseline when a usual one follows: until then they may show a cold target.
	case slow:
		l.held += latency
		l.holding++
	default:
		l = l.withBase(latency, 1, baseWeight)
		if l.holding > 0 {
			l = l.withBase(l.held/time.Duration(l.holding), l.holding, baseWeight)
			l.held, l.holding = 0, 0
		}
	}
	// Where a later request was answered in the usual time, the request was slow and not the target.
	if slow && started.After(l.usual) {
		return l.WithSlow(now, 0)
	}
	if slow {
		return l
	}
	l.slow = 0
	if started.After(l.usual) {
		l.usual = started
	}
	// Requests that started under a higher limit say nothing about the present one.
	if !full || !after {
		return l
	}
	// The median leaves expensive requests of a mixed load aside; an overloaded target makes all of them slower.
	if median := l.median(); float64(median) > nearFactor*float64(l.middle) {
		return l.withDebit(now)
	}
	if l.paced && l.stepped.IsZero() {
		l.stepped = now
	}
	if l.value >= l.slots || l.early(now) || (l.ceiling > 0 && l.value >= l.ceiling && now.Before(l.hold)) {
		l.credit = min(l.credit+1, 0)
		return l
	}
	l.credit++
	if l.credit < l.value {
		return l
	}
	l = l.withValue(l.value + 1)
	l.stepped, l.paced = now, l.paced && l.value < l.slots
	return l
}

// withTold returns the limit of a target that states its slots after a response. After a reduction it returns to what the
// slots allow by one for each response.
func (l Limit) withTold(now time.Time, latency time.Duration) Limit {
	if l.seen == 0 {
		l.recent = latency
	}
	l.seen = min(l.seen+1, baseWeight)
	l.recent += (latency - l.recent) / time.Duration(min(l.seen, toldWeight))
	if l.value < Usable(l.slots) && now.Sub(l.cut) >= holdFor {
		l.value++
	}
	return l
}

// withDebit lowers the limit by one after as many responses as the limit while service times are above the baseline.
func (l Limit) withDebit(now time.Time) Limit {
	l.credit--
	if l.value > 1 && -l.credit >= l.value {
		l.ceiling, l.hold = l.value-1, now.Add(holdFor)
		return l.withValue(l.value - 1)
	}
	l.credit = max(l.credit, -l.value)
	return l
}

func (l Limit) median() time.Duration {
	window := l.window
	sorted := window[:l.filled]
	slices.Sort(sorted)
	return (sorted[(l.filled-1)/2] + sorted[l.filled/2]) / 2
}

// withValue returns the limit with another value, for which responses are counted anew.
func (l Limit) withValue(value int) Limit {
	l.value, l.credit, l.filled, l.next = value, 0, 0, 0
	return l
}

// withBase takes n responses of the given mean into the baseline, whose first values count more than later ones.
func (l Limit) withBase(latency time.Duration, n, weight int) Limit {
	// A factor of 4 keeps the baseline behind the recent mean while a target slows down during its first responses.
	w := max(min(4*l.seen, weight), n)
	l.spread += ((latency - l.base).Abs() - l.spread) * time.Duration(n) / time.Duration(w)
	l.base += (latency - l.base) * time.Duration(n) / time.Duration(w)
	l.middle += (l.median() - l.middle) * time.Duration(n) / time.Duration(w)
	return l
}

// WithSlow returns the limit after one more slow response while overdue requests still run.
func (l Limit) WithSlow(now time.Time, overdue int) Limit {
	if overdue == 0 {
		l.slow++
	}
	switch n := l.slow + overdue; {
	case n >= slowCold:
		if l.value > 1 {
			return l.WithCold(now)
		}
	case n == slowCut && overdue == 0:
		return l.withCut(now)
	}
	return l
}

// WithCancelled returns the limit after a request was cancelled, whose service time is at least the given time.
// Without it the slowness of a target is hidden by hedges, which cancel its slow requests.
func (l Limit) WithCancelled(now, started time.Time, latency time.Duration) Limit {
	if l.told || l.seen == 0 || latency <= l.recent {
		return l
	}
	l.recent += (latency - l.recent) / time.Duration(min(l.seen, shortWeight))
	if l.Slow() > 0 && latency > l.Slow() && !started.Before(l.cut) && started.After(l.usual) {
		return l.WithSlow(now, 0)
	}
	return l
}

// WithFailed returns the limit after a failed response.
func (l Limit) WithFailed(now time.Time, latency time.Duration) Limit {
	l.heard = now
	l.failing += (1 - l.failing) / l.failWeight()
	if !l.told && l.failing >= failingCut && 2*latency < l.base {
		return l.withCut(now)
	}
	return l
}

// WithShed returns the limit after the target shed a request or broke its connection.
func (l Limit) WithShed(now time.Time) Limit {
	l.heard = now
	l.failing += (1 - l.failing) / l.failWeight()
	if l.told {
		// The gate keeps such a target below its slots, so that it fails for another reason than load.
		return l
	}
	if l.paced {
		// A cold target that gets too much may start again from the beginning.
		if l.value > 1 {
			l.pace = min(2*max(l.pace, coldPace), slowPace)
		}
		return l.WithRestart(now)
	}
	return l.withCut(now)
}

// WithRefused returns the limit after the target refused a connection.
func (l Limit) WithRefused(now time.Time) Limit {
	l.heard = now
	l.failing += (1 - l.failing) / l.failWeight()
	return l.WithRestart(now)
}
