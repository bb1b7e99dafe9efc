package peer

import (
	"math/bits"
	"time"
)

const (
	latencyBuckets  = 80   // four per power of two, from 16 µs to about 17 s
	latencyWindow   = 1024 // number of responses after which all counts are halved
	minHedgeSamples = 32   // below this number of responses the p95 is unknown
	minLatencyLog2  = 4    // log2 of the shortest latency in µs
)

// Hedge holds the latency histogram and the hedge budget of a route, which decide when a second attempt is sent.
type Hedge struct {
	counts [latencyBuckets]uint16
	total  int
	budget Budget
}

// NewHedge returns the state of a route that hedges at most the given ratio of its calls.
func NewHedge(now time.Time, ratio float64) Hedge {
	return Hedge{budget: Budget{ratio: ratio, burst: budgetBurst, last: now}}
}

// WithRatio returns the state with another ratio.
func (h Hedge) WithRatio(ratio float64) Hedge {
	h.budget = h.budget.WithRatio(ratio)
	return h
}

// WithCall returns the state after a first attempt.
func (h Hedge) WithCall(now time.Time) Hedge {
	h.budget = h.budget.WithCall(now, 0)
	return h
}

// WithLatency returns the state with the latency of a first attempt added to the histogram.
func (h Hedge) WithLatency(latency time.Duration) Hedge {
	h.counts[latencyBucket(latency)]++
	h.total++
	if h.total < latencyWindow {
		return h
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += int(h.counts[i])
	}
	return h
}

// WithHedge returns the state after a second attempt was sent, or false if the budget is used up.
func (h Hedge) WithHedge(now time.Time) (Hedge, bool) {
	var ok bool
	h.budget, ok = h.budget.WithRetry(now)
	return h, ok
}

// Delay returns the time after which to send a second attempt, the p95 of the latency, or false while that is unknown or
// hedging is off.
func (h Hedge) Delay() (time.Duration, bool) {
	if h.budget.ratio <= 0 {
		return 0, false
	}
	return h.Quantile(lateQuantile)
}

// Quantile returns a quantile of the latency, or false while it is unknown.
func (h Hedge) Quantile(q float64) (time.Duration, bool) {
	if h.total < minHedgeSamples {
		return 0, false
	}
	n := 0
	for i := range h.counts {
		if n += int(h.counts[i]); float64(n) >= q*float64(h.total) {
			return bucketUpperBound(i), true
		}
	}
	return bucketUpperBound(latencyBuckets - 1), true
}

// latencyBucket returns the index of the histogram bucket that holds d.
func latencyBucket(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 1<<minLatencyLog2))
	exp := bits.Len64(us) - 1
	return min((exp-minLatencyLog2)*4+int(us>>(exp-2)&3), latencyBuckets-1)
}

// bucketUpperBound returns the upper bound of a bucket.
func bucketUpperBound(i int) time.Duration {
	exp := i/4 + minLatencyLog2
	return time.Duration(uint64(i%4+5)<<(exp-2)) * time.Microsecond
}
