package peer

import "time"

const (
	budgetRate  = 1.0  // retries a second that a quiet route always has
	budgetBurst = 10   // retries at most that a route can save up
	rounding    = 1e-9 // ten times a tenth of a token is a token
)

// Budget is a token bucket that limits retries or hedges to a share of the calls.
type Budget struct {
	share  float64
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

// RetryAllowance is what a node may repeat beyond a share of its calls, where the fleet as a whole has a bound.
type RetryAllowance struct {
	Rate  float64 // repeats a second
	Burst float64 // repeats that can be saved up
}

// NewBudget returns the budget for retries: a share of the calls, and a small rate so that a quiet route can retry.
func NewBudget(now time.Time, share float64) Budget {
	return Budget{share: share, rate: budgetRate, burst: budgetBurst, tokens: 1, last: now}
}

// WithAllowance returns the budget under another allowance.
func (b Budget) WithAllowance(a RetryAllowance) Budget {
	b.rate, b.burst = a.Rate, a.Burst
	b.tokens = min(b.tokens, b.burst)
	return b
}

// WithShare returns the budget under another share.
func (b Budget) WithShare(share float64) Budget {
	b.share = share
	return b
}

// WithCall returns the budget after a first attempt.
func (b Budget) WithCall(now time.Time) Budget {
	b = b.withTime(now)
	b.tokens = min(b.tokens+b.share, b.burst)
	return b
}

// WithRetry returns the budget after a retry, or false if there is none left.
func (b Budget) WithRetry(now time.Time) (Budget, bool) {
	b = b.withTime(now)
	if b.share <= 0 || b.tokens < 1-rounding {
		return b, false
	}
	b.tokens = max(b.tokens-1, 0)
	return b, true
}

func (b Budget) withTime(now time.Time) Budget {
	if d := now.Sub(b.last); d > 0 {
		// The rate saves up one retry at most; more comes from calls only.
		b.tokens = max(b.tokens, min(b.tokens+b.rate*d.Seconds(), 1, b.burst))
		b.last = now
	}
	return b
}
