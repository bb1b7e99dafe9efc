package target

import (
	"slices"
	"time"
)

const (
	slowFactor     = 3   // a service time up to this multiple of the baseline is not slow
	halveAfterSlow = 3   // slow responses in a row that halve the limit
	coldAfterSlow  = 5   // slow responses in a row that indicate a cold target
	growthFactor   = 1.5 // median service time up to this multiple of its long-term mean allows growth
	baselineWeight = 64  // responses over which the baseline is averaged
	recentWeight   = 8   // responses over which recent values are averaged
	declaredWeight = 32  // recentWeight for declared slots, where the slowdown is already taken out of the service times
	// About the last four responses count, so that a target that has recovered is soon used again.
	failureWeight = 4
	// With declared slots a failing target gets no lower limit, so that its failure rate need not react fast and can be averaged
	// over more responses.
	declaredFailureWeight = 16
	// One failure among four responses is common in applications; two or more point to a failing target.
	halveAtFailureRate = 0.3
	// The limit is halved for each such interval without a response, because the target may have been replaced unnoticed.
	idleHalvingInterval = 10 * time.Second
	// For this time after a reduction the limit stays below the value that was too high, so that finding the capacity of
	// a target overloads it by at most one request per second.
	reductionHold = time.Second
	// After a restart the limit grows by at most one per interval, because a cold target shows no sign of overload before
	// it is overloaded. 12 slots are reached after 11 s. The interval doubles, up to the maximum, when the target
	// sheds a request or breaks a connection during this growth.
	minGrowthInterval = time.Second
	maxGrowthInterval = 8 * time.Second
	// latencyFloor is the latency below which differences are noise of the scheduler and the network, which would lower the limit of a
	// fast target again and again.
	latencyFloor = 2 * time.Millisecond
	// initialServiceTime is assumed until the first response.
	initialServiceTime = 10 * time.Millisecond
)

// Limit is the number of concurrent requests that a target has capacity for. It follows from the slots that the platform
// declares; without a declaration it starts at 1 and adapts to service times and failures.
type Limit struct {
	declared       bool // the platform declares the slots, so that the capacity need not be found
	slots          int
	value          int
	credit         int // responses at the limit since it last changed: those within growthFactor less those beyond
	ceiling        int // largest value until ceilingUntil, zero for none
	ceilingUntil   time.Time
	restarted      bool          // the target restarted and the limit has not reached the slots since
	growthInterval time.Duration // shortest time between two steps after a restart, zero for minGrowthInterval
	lastGrowth     time.Time     // last step after a restart, or the first response; zero until then
	slowInRow      int           // slow responses since the last usual one
	pendingSlow    time.Duration // sum of the slow service times that are not in the baseline yet
	pendingCount   int           // number of responses in pendingSlow
	samples        int           // successful responses, counted up to baselineWeight
	baseline       time.Duration
	deviation      time.Duration // mean absolute deviation from the baseline
	recentMean     time.Duration
	window         [recentWeight]time.Duration // ring of the last service times since the limit changed
	filled         int
	next           int
	medianMean     time.Duration // long-term mean of the window's median
	failureRate    float64
	reducedAt      time.Time // last time the limit was halved or set to 1
	lastResponse   time.Time // last response, moved on when the limit is halved for idleness
	lastUsualStart time.Time // latest start of a request whose response was not slow
}

// NewLimit returns the limit of a target that may be cold.
func NewLimit(slots int) Limit {
	return Limit{slots: max(slots, 1), value: 1}
}

// WithDeclaredSlots returns the limit of a target with the slots that the platform declares.
func (l Limit) WithDeclaredSlots(slots int) Limit {
	if l.declared && l.slots == slots {
		return l
	}
	l.declared, l.slots, l.value = true, slots, UsableSlots(slots)
	return l
}

// Value returns the largest number of concurrent requests.
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

func (l Limit) currentFailureWeight() float64 {
	if l.declared {
		return declaredFailureWeight
	}
	return failureWeight
}

// WithSlots returns the limit with another upper bound.
func (l Limit) WithSlots(slots int) Limit {
	l.slots = max(slots, 1)
	l.value = min(l.value, l.slots)
	return l
}

// WithCold returns the limit of a target that appears to be cold.
func (l Limit) WithCold(now time.Time) Limit {
	if l.declared {
		return l // such a target reports how long it stays cold, and the gate bounds its requests by the cold rate
	}
	l.slowInRow, l.reducedAt = 0, now
	l.pendingSlow, l.pendingCount = 0, 0
	return l.withValue(1)
}

// WithRestart returns the limit of a target that is known to have restarted; it grows slowly from there.
func (l Limit) WithRestart(now time.Time) Limit {
	l.restarted, l.lastGrowth = true, time.Time{}
	return l.WithCold(now)
}

// tooEarlyToGrow reports whether the limit of a restarted target must not grow yet.
func (l Limit) tooEarlyToGrow(now time.Time) bool {
	return l.restarted && now.Sub(l.lastGrowth) < max(l.growthInterval, minGrowthInterval)
}

// WithHalf returns the limit at half of its value.
func (l Limit) WithHalf(now time.Time) Limit {
	l.reducedAt = now
	return l.withValue(max(l.value/2, 1))
}

// withReduction halves the limit and keeps it below its present value for reductionHold.
func (l Limit) withReduction(now time.Time) Limit {
	l.ceiling, l.ceilingUntil = max(l.value-1, 1), now.Add(reductionHold)
	return l.WithHalf(now)
}

// WithIdle returns the limit halved for each idleHalvingInterval since the last response.
func (l Limit) WithIdle(now time.Time) Limit {
	if l.declared || l.lastResponse.IsZero() {
		return l
	}
	for ; l.value > 1 && now.Sub(l.lastResponse) >= idleHalvingInterval; l.lastResponse = l.lastResponse.Add(idleHalvingInterval) {
		l = l.WithHalf(now)
	}
	return l
}

// SlowThreshold returns the service time beyond which a response counts as slow, or zero while there is no baseline.
func (l Limit) SlowThreshold() time.Duration {
	if l.declared || l.samples < coldAfterSlow {
		return 0
	}
	return max(slowFactor*l.baseline, l.baseline+2*l.deviation)
}

// WithSuccess returns the limit after a successful response; limitReached is set if the limit was reached while the
// request ran.
func (l Limit) WithSuccess(now, started time.Time, latency time.Duration, limitReached bool) Limit {
	l.lastResponse = now
	l.failureRate -= l.failureRate / l.currentFailureWeight()
	if l.declared {
		return l.withDeclaredSuccess(now, latency)
	}
	afterReduction := !started.Before(l.reducedAt)
	latency = max(latency, latencyFloor)
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
	// At a limit of 1 no other admitted request can have slowed this one. Its larger weight lets the baseline follow a lasting
	// change fast.
	case l.value == 1 && afterReduction:
		l = l.withBaseline(latency, 1, recentWeight)
	// Slow responses enter the baseline only when a usual one follows: until then they may come from a cold target.
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
	// If a later request was answered in the usual time, this request was expensive and the target is not slow.
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
	// Requests that started before the reduction ran under a higher limit, so the present one is not changed for them.
	if !limitReached || !afterReduction {
		return l
	}
	// The median ignores a few expensive requests; an overloaded target slows down all requests.
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

// withDeclaredSuccess returns the limit of a target with declared slots after a response. A limit below the usable slots
// grows by one per response.
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

// withDebit counts a response beyond growthFactor and lowers the limit by one when these outnumber the others by the
// limit.
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

// withValue returns the limit with another value and resets the counts of responses.
func (l Limit) withValue(value int) Limit {
	l.value, l.credit, l.filled, l.next = value, 0, 0, 0
	return l
}

// withBaseline adds n responses with the given mean to the baseline, in which the first responses have more weight.
func (l Limit) withBaseline(latency time.Duration, n, weight int) Limit {
	// The factor of 4 makes the baseline lag behind the recent mean if a target slows down during its first responses.
	w := max(min(4*l.samples, weight), n)
	l.deviation += ((latency - l.baseline).Abs() - l.deviation) * time.Duration(n) / time.Duration(w)
	l.baseline += (latency - l.baseline) * time.Duration(n) / time.Duration(w)
	l.medianMean += (l.median() - l.medianMean) * time.Duration(n) / time.Duration(w)
	return l
}

// WithSlow returns the limit after a slow response, or with overdue above zero while that many running requests exceed the
// slow threshold.
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

// WithCancelled returns the limit after a request was cancelled; latency is a lower bound of its service time. If
// cancelled requests did not count, hedging would hide a slow target, because it cancels the slow requests.
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
	l.failureRate += (1 - l.failureRate) / l.currentFailureWeight()
	if !l.declared && l.failureRate >= halveAtFailureRate && 2*latency < l.baseline {
		return l.withReduction(now)
	}
	return l
}

// WithShed returns the limit after the target shed a request or broke its connection.
func (l Limit) WithShed(now time.Time) Limit {
	l.lastResponse = now
	l.failureRate += (1 - l.failureRate) / l.currentFailureWeight()
	if l.declared {
		// The gate keeps such a target below its slots, so that load is not the reason.
		return l
	}
	if l.restarted {
		// An overloaded cold target may have to warm up from the beginning.
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
	l.failureRate += (1 - l.failureRate) / l.currentFailureWeight()
	return l.WithRestart(now)
}
