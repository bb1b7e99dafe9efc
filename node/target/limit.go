package target

import (
	"slices"
	"time"
)

const (
	slowFactor     = 3   // service time beyond this multiple of the baseline counts as slow
	halveAfterSlow = 3   // slow responses in a row that halve the limit
	coldAfterSlow  = 5   // slow responses in a row that mean a cold target
	growthFactor   = 1.5 // median service time up to this multiple of its long-term mean allows growth
	baselineWeight = 64  // responses over which the baseline is averaged
	recentWeight   = 8   // responses over which recent values are averaged
	declaredWeight = 32  // the same for targets that tell how fast they work now, whose other variation is that of requests
	// The last four responses or so count, so that a target that recovered is soon used again.
	failureWeight = 4
	// Targets that state their slots are not relieved by a lower limit when they fail, so that their ratio may be exact.
	declaredFailureWeight = 16
	// One failure among four responses is common in applications; two or more point to a failing target.
	halveAtFailureRate = 0.3
	// Within this time without a response a target can be replaced unnoticed, so that the limit is halved.
	idleHalvingInterval = 10 * time.Second
	// After a reduction the limit stays below the value that was too high for this time, so that finding the
	// capacity of a target costs it at most one request too many a second.
	reductionHold = time.Second
	// A target that restarted gets one more request at most in this time, because nothing shows that a cold target is
	// near its capacity before it is beyond. 12 slots are reached after 11 s; the pace halves when that was too fast.
	minGrowthInterval = time.Second
	maxGrowthInterval = 8 * time.Second
	// Assumed until the first response.
	initialServiceTime = 10 * time.Millisecond
)

// Limit is the number of concurrent requests that a target is found to have capacity for; it starts at 1.
type Limit struct {
	declared       bool // the target states its slots, so that its capacity need not be found
	slots          int
	value          int
	credit         int // responses at full use since the last change, the good ones less those beyond nearFactor
	ceiling        int // largest value until the hold ends, zero for none
	ceilingUntil   time.Time
	restarted      bool          // the target restarted and has not reached its slots since
	growthInterval time.Duration // shortest time between two steps after a restart, zero for coldPace
	lastGrowth     time.Time     // last change after a restart, zero until the first response
	slowInRow      int           // slow responses in a row
	pendingSlow    time.Duration // sum of the slow responses in a row that are not in the baseline yet
	pendingCount   int           // number of these
	samples        int           // responses in the baseline, up to baseWeight
	baseline       time.Duration
	deviation      time.Duration // mean absolute deviation from the baseline
	recentMean     time.Duration
	window         [recentWeight]time.Duration // last service times since the limit changed, a ring
	filled         int
	next           int
	medianMean     time.Duration // long-term mean of the window's median
	failureRate    float64
	reducedAt      time.Time // last reduction
	lastResponse   time.Time // last response
	lastUsualStart time.Time // latest start of a request that was answered in the usual time
}

// NewLimit returns the limit of a target that was not seen warm.
func NewLimit(slots int) Limit {
	return Limit{slots: max(slots, 1), value: 1}
}

// WithDeclaredSlots returns the limit of a target that states its slots.
func (l Limit) WithDeclaredSlots(slots int) Limit {
	if l.declared && l.slots == slots {
		return l
	}
	l.declared, l.slots, l.value = true, slots, UsableSlots(slots)
	return l
}

// Value returns the number of concurrent requests.
func (l Limit) Value() int { return l.value }

// ServiceTime returns the recent mean service time.
func (l Limit) ServiceTime() time.Duration {
	if l.samples == 0 {
		return initialServiceTime
	}
	return l.recentMean
}

// FailureRate returns the share of recent responses that failed.
func (l Limit) FailureRate() float64 { return l.failureRate }

func (l Limit) failureWeightOf() float64 {
	if l.declared {
		return declaredFailureWeight
	}
	return failureWeight
}

// WithSlots returns the limit under a new upper bound.
func (l Limit) WithSlots(slots int) Limit {
	l.slots = max(slots, 1)
	l.value = min(l.value, l.slots)
	return l
}

// WithCold returns the limit of a target that started anew.
func (l Limit) WithCold(now time.Time) Limit {
	if l.declared {
		return l // a told target is also asked how long it stays cold, and that bounds its requests
	}
	l.slowInRow, l.reducedAt = 0, now
	l.pendingSlow, l.pendingCount = 0, 0
	return l.withValue(1)
}

// WithRestart returns the limit of a target that was seen to start anew, which grows slowly from there.
func (l Limit) WithRestart(now time.Time) Limit {
	l.restarted, l.lastGrowth = true, time.Time{}
	return l.WithCold(now)
}

// tooEarlyToGrow tells whether a restarted target may not get more requests at once yet.
func (l Limit) tooEarlyToGrow(now time.Time) bool {
	return l.restarted && now.Sub(l.lastGrowth) < max(l.growthInterval, minGrowthInterval)
}

// WithHalf returns half of the limit.
func (l Limit) WithHalf(now time.Time) Limit {
	l.reducedAt = now
	return l.withValue(max(l.value/2, 1))
}

// withReduction returns half of the limit and holds it below the present value.
func (l Limit) withReduction(now time.Time) Limit {
	l.ceiling, l.ceilingUntil = max(l.value-1, 1), now.Add(reductionHold)
	return l.WithHalf(now)
}

// WithIdle returns the limit after a time without responses.
func (l Limit) WithIdle(now time.Time) Limit {
	if l.declared || l.lastResponse.IsZero() {
		return l
	}
	for ; l.value > 1 && now.Sub(l.lastResponse) >= idleHalvingInterval; l.lastResponse = l.lastResponse.Add(idleHalvingInterval) {
		l = l.WithHalf(now)
	}
	return l
}

// SlowThreshold returns the service time from which a response counts as slow, or zero while no baseline exists.
func (l Limit) SlowThreshold() time.Duration {
	if l.declared || l.samples < coldAfterSlow {
		return 0
	}
	return max(slowFactor*l.baseline, l.baseline+2*l.deviation)
}

// WithSuccess returns the limit after a response; full tells that the limit was reached while the request ran.
func (l Limit) WithSuccess(now, started time.Time, latency time.Duration, limitReached bool) Limit {
	l.lastResponse = now
	l.failureRate -= l.failureRate / l.failureWeightOf()
	if l.declared {
		return l.withDeclaredSuccess(now, latency)
	}
	afterReduction := !started.Before(l.reducedAt)
	latency = max(latency, time.Microsecond)
	if l.samples == 0 {
		l.baseline, l.recentMean, l.medianMean = latency, latency, latency
	}
	l.window[l.next] = latency
	l.next = (l.next + 1) % recentWeight
	l.filled = min(l.filled+1, recentWeight)
	slow := l.SlowThreshold() > 0 && latency > l.SlowThreshold()
	l.samples = min(l.samples+1, baselineWeight)
	l.recentMean += (latency - l.recentMean) / time.Duration(min(l.samples, recentWeight))
	switch {
	// At a limit of 1 the target has no load of ours besides this request, so a lasting change is adopted.
	case l.value == 1 && afterReduction:
		l = l.withBaseline(latency, 1, recentWeight)
	// Slow responses enter the baseline when a usual one follows: until then they may show a cold target.
	case slow:
		l.pendingSlow += latency
		l.pendingCount++
	default:
		l = l.withBaseline(latency, 1, baselineWeight)
		if l.pendingCount > 0 {
			l = l.withBaseline(l.pendingSlow/time.Duration(l.pendingCount), l.pendingCount, baselineWeight)
			l.pendingSlow, l.pendingCount = 0, 0
		}
	}
	// Where a later request was answered in the usual time, the request was slow and not the target.
	if slow && started.After(l.lastUsualStart) {
		return l.WithSlow(now, 0)
	}
	if slow {
		return l
	}
	l.slowInRow = 0
	if started.After(l.lastUsualStart) {
		l.lastUsualStart = started
	}
	// Requests that started under a higher limit say nothing about the present one.
	if !limitReached || !afterReduction {
		return l
	}
	// The median leaves expensive requests of a mixed load aside; an overloaded target makes all of them slower.
	if median := l.median(); float64(median) > growthFactor*float64(l.medianMean) {
		return l.withDebit(now)
	}
	if l.restarted && l.lastGrowth.IsZero() {
		l.lastGrowth = now
	}
	if l.value >= l.slots || l.tooEarlyToGrow(now) || (l.ceiling > 0 && l.value >= l.ceiling && now.Before(l.ceilingUntil)) {
		l.credit = min(l.credit+1, 0)
		return l
	}
	l.credit++
	if l.credit < l.value {
		return l
	}
	l = l.withValue(l.value + 1)
	l.lastGrowth, l.restarted = now, l.restarted && l.value < l.slots
	return l
}

// withDeclaredSuccess returns the limit of a target that states its slots after a response. After a reduction it returns to what the
// slots allow by one for each response.
func (l Limit) withDeclaredSuccess(now time.Time, latency time.Duration) Limit {
	if l.samples == 0 {
		l.recentMean = latency
	}
	l.samples = min(l.samples+1, baselineWeight)
	l.recentMean += (latency - l.recentMean) / time.Duration(min(l.samples, declaredWeight))
	if l.value < UsableSlots(l.slots) && now.Sub(l.reducedAt) >= reductionHold {
		l.value++
	}
	return l
}

// withDebit lowers the limit by one after as many responses as the limit while service times are above the baseline.
func (l Limit) withDebit(now time.Time) Limit {
	l.credit--
	if l.value > 1 && -l.credit >= l.value {
		l.ceiling, l.ceilingUntil = l.value-1, now.Add(reductionHold)
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

// withBaseline takes n responses of the given mean into the baseline, whose first values count more than later ones.
func (l Limit) withBaseline(latency time.Duration, n, weight int) Limit {
	// A factor of 4 keeps the baseline behind the recent mean while a target slows down during its first responses.
	w := max(min(4*l.samples, weight), n)
	l.deviation += ((latency - l.baseline).Abs() - l.deviation) * time.Duration(n) / time.Duration(w)
	l.baseline += (latency - l.baseline) * time.Duration(n) / time.Duration(w)
	l.medianMean += (l.median() - l.medianMean) * time.Duration(n) / time.Duration(w)
	return l
}

// WithSlow returns the limit after one more slow response while overdue requests still run.
func (l Limit) WithSlow(now time.Time, overdue int) Limit {
	if overdue == 0 {
		l.slowInRow++
	}
	switch n := l.slowInRow + overdue; {
	case n >= coldAfterSlow:
		if l.value > 1 {
			return l.WithCold(now)
		}
	case n == halveAfterSlow && overdue == 0:
		return l.withReduction(now)
	}
	return l
}

// WithCancelled returns the limit after a request was cancelled, whose service time is at least the given time.
// Without it the slowness of a target is hidden by hedges, which cancel its slow requests.
func (l Limit) WithCancelled(now, started time.Time, latency time.Duration) Limit {
	if l.declared || l.samples == 0 || latency <= l.recentMean {
		return l
	}
	l.recentMean += (latency - l.recentMean) / time.Duration(min(l.samples, recentWeight))
	if l.SlowThreshold() > 0 && latency > l.SlowThreshold() && !started.Before(l.reducedAt) && started.After(l.lastUsualStart) {
		return l.WithSlow(now, 0)
	}
	return l
}

// WithFailed returns the limit after a failed response.
func (l Limit) WithFailed(now time.Time, latency time.Duration) Limit {
	l.lastResponse = now
	l.failureRate += (1 - l.failureRate) / l.failureWeightOf()
	if !l.declared && l.failureRate >= halveAtFailureRate && 2*latency < l.baseline {
		return l.withReduction(now)
	}
	return l
}

// WithShed returns the limit after the target shed a request or broke its connection.
func (l Limit) WithShed(now time.Time) Limit {
	l.lastResponse = now
	l.failureRate += (1 - l.failureRate) / l.failureWeightOf()
	if l.declared {
		// The gate keeps such a target below its slots, so that it fails for another reason than load.
		return l
	}
	if l.restarted {
		// A cold target that gets too much may start again from the beginning.
		if l.value > 1 {
			l.growthInterval = min(2*max(l.growthInterval, minGrowthInterval), maxGrowthInterval)
		}
		return l.WithRestart(now)
	}
	return l.withReduction(now)
}

// WithRefused returns the limit after the target refused a connection.
func (l Limit) WithRefused(now time.Time) Limit {
	l.lastResponse = now
	l.failureRate += (1 - l.failureRate) / l.failureWeightOf()
	return l.WithRestart(now)
}
