package peer

import (
	"math/bits"
	"time"
)

const (
	hedgeBuckets = 80   // four to each power of two, from 16 µs to about 17 s
	hedgeWindow  = 1024 // responses after which older ones count half
	hedgeFrom    = 32   // responses without which the p95 is unknown
	hedgeFloor   = 4    // log2 of the shortest latency in µs
)

// Hedge tracks the latency of a route and decides when a second attempt is worth its cost.
type Hedge struct {
	counts [hedgeBuckets]uint16
	total  int
	budget Budget
}

// NewHedge returns the state of a route that hedges at most the given share of its calls.
func NewHedge(now time.Time, share float64) Hedge {
	return Hedge{budget: Budget{share: share, burst: budgetBurst, last: now}}
}

// WithShare returns the state under another share.
func (h Hedge) WithShare(share float64) Hedge {
	h.budget = h.budget.WithShare(share)
	return h
}

// WithCall returns the state after a first attempt.
func (h Hedge) WithCall(now time.Time) Hedge {
	h.budget = h.budget.WithCall(now)
	return h
}

// WithAnswer returns the state after a response to a first attempt.
func (h Hedge) WithAnswer(latency time.Duration) Hedge {
	h.counts[bucket(latency)]++
	h.total++
	if h.total < hedgeWindow {
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

// After returns the p95, after which to send a second attempt, or false while it is unknown or hedging is off.
func (h Hedge) After() (time.Duration, bool) {
	if h.total < hedgeFrom || h.budget.share <= 0 {
		return 0, false
	}
	n := 0
	for i := range h.counts {
		if n += int(h.counts[i]); n*20 >= h.total*19 {
			return upper(i), true
		}
	}
	return upper(hedgeBuckets - 1), true
}

func bucket(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 1<<hedgeFloor))
	exp := bits.Len64(us) - 1
	return min((exp-hedgeFloor)*4+int(us>>(exp-2)&3), hedgeBuckets-1)
}

// upper returns the upper bound of a bucket.
func upper(i int) time.Duration {
	exp := i/4 + hedgeFloor
	return time.Duration(uint64(i%4+5)<<(exp-2)) * time.Microsecond
}
