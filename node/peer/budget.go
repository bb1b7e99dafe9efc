package peer

import "time"

const (
	budgetRate   = 1.0  // retries a second that a route with few calls always has
	budgetBurst  = 10   // highest number of retries that a route can accumulate
	tokenEpsilon = 1e-9 // absorbs rounding errors: ten tenths of a token count as a token
)

// Budget is a token bucket that limits retries or hedges to a ratio of the calls.
type Budget struct {
	ratio  float64
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

// RetryAllowance is the rate and burst of retries that a node may send beyond a ratio of its calls, where the fleet as a
// whole has a limit.
type RetryAllowance struct {
	Rate  float64 // retries a second
	Burst float64 // retries that can be accumulated
}

const (
	// refillShare is the part of a fleet's allowance that all nodes refill in a window. The rest is left for the bursts, which all
	// nodes use at once when they meet the same fault, and for nodes that are not listed yet.
	refillShare   = 0.5
	maxRetryBurst = 2 // failures come in groups
	minRetryBurst = 1 // below it a node could never retry
)

// NewRetryAllowance returns one node's part of the retries that a fleet of the given size may send in each window beyond the ratio.
func NewRetryAllowance(retries float64, window time.Duration, nodes int) RetryAllowance {
	part := retries / float64(max(nodes, 1))
	return RetryAllowance{Rate: refillShare * part / window.Seconds(), Burst: max(minRetryBurst, min(part, maxRetryBurst))}
}

// NewBudget returns the budget for retries: a ratio of the calls, and a small rate so that a route with few calls can retry.
func NewBudget(now time.Time, ratio float64) Budget {
	return Budget{ratio: ratio, rate: budgetRate, burst: budgetBurst, tokens: 1, last: now}
}

// WithAllowance returns the budget with another rate and burst.
func (b Budget) WithAllowance(a RetryAllowance) Budget {
	b.rate, b.burst = a.Rate, a.Burst
	b.tokens = min(b.tokens, b.burst)
	return b
}

// WithRatio returns the budget with another ratio.
func (b Budget) WithRatio(ratio float64) Budget {
	b.ratio = ratio
	return b
}

// WithCall returns the budget after a first attempt. retried is the probability that the call is made by a run that is itself a retry:
// it then counts as a retry of its service as well, so that the retries of services that call each other stay within the ratio. The
// budget may owe up to its burst.
func (b Budget) WithCall(now time.Time, retried float64) Budget {
	b = b.withRefill(now)
	b.tokens = max(min(b.tokens+b.ratio-retried, b.burst), -b.burst)
	return b
}

// WithRetry returns the budget after a retry, or false if no retry is left.
func (b Budget) WithRetry(now time.Time) (Budget, bool) {
	b = b.withRefill(now)
	if b.ratio <= 0 || b.tokens < 1-tokenEpsilon {
		return b, false
	}
	b.tokens = max(b.tokens-1, 0)
	return b, true
}

// WithRefund returns the budget after a retry that reached no target.
func (b Budget) WithRefund() Budget {
	b.tokens = min(b.tokens+1, b.burst)
	return b
}

func (b Budget) withRefill(now time.Time) Budget {
	if d := now.Sub(b.last); d > 0 {
		// The rate accumulates one retry at most; more tokens come from calls only.
		b.tokens = max(b.tokens, min(b.tokens+b.rate*d.Seconds(), 1, b.burst))
		b.last = now
	}
	return b
}
