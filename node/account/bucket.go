package account

import (
	"math"
	"time"
)

// Limit is a rate in tokens per second and a burst in tokens.
type Limit struct {
	Rate  float64
	Burst float64
}

// lower returns the lower rate and the lower burst of two limits.
func (l Limit) lower(o Limit) Limit {
	return Limit{Rate: min(l.Rate, o.Rate), Burst: min(l.Burst, o.Burst)}
}

// Lease records the tokens of one account that a home has lent to one borrower session.
type Lease struct {
	tokens  int
	seq     uint64
	expires time.Duration
}

// Bucket is the token bucket of one account at a home. Except in overage mode, level and lent together never exceed the burst.
type Bucket struct {
	overage    bool // overage mode: lent tokens do not count against the burst
	limit      Limit
	level      float64
	lent       int
	sessions   int // borrower sessions with a lease
	refilledAt time.Duration
}

// NewBucket returns a bucket without tokens.
func NewBucket(now time.Duration) Bucket {
	return Bucket{refilledAt: now}
}

// NewOverageBucket returns a bucket without tokens whose lent tokens do not count against the burst, so that borrowers need
// not report spent tokens. Unspent tokens at borrowers can then add to the burst, within what the overage allows.
func NewOverageBucket(now time.Duration) Bucket {
	return Bucket{refilledAt: now, overage: true}
}

// maxLevel returns the upper bound of the level.
func (b Bucket) maxLevel() float64 {
	if b.overage {
		return b.limit.Burst
	}
	return b.limit.Burst - float64(b.lent)
}

// Level returns the tokens available for lending.
func (b Bucket) Level() float64 { return b.level }

// Lent returns the tokens lent to borrowers and not known to be spent or returned.
func (b Bucket) Lent() int { return b.lent }

// WithRefill returns b refilled up to now.
func (b Bucket) WithRefill(now time.Duration) Bucket {
	if now > b.refilledAt {
		b.level += b.limit.Rate * (now - b.refilledAt).Seconds()
		b.refilledAt = now
	}
	b.level = max(0, min(b.level, b.maxLevel()))
	return b
}

// WithoutRefill returns b with the time up to now skipped, without a refill.
func (b Bucket) WithoutRefill(now time.Duration) Bucket {
	b.refilledAt = max(b.refilledAt, now)
	return b
}

// WithLimit returns b with a new limit, which applies from the last refill on.
func (b Bucket) WithLimit(limit Limit) Bucket {
	b.limit = limit
	b.level = max(0, min(b.level, b.maxLevel()))
	return b
}

// WithExpired returns b without an expired lease; its tokens are lost.
func (b Bucket) WithExpired(l Lease) Bucket {
	b.lent -= l.tokens
	b.sessions--
	return b
}

// WithRequest returns the bucket, the borrower's lease and the answer after a row of a LeaseRequest.
// A row that is not newer than the lease is a duplicate or late, and changes nothing.
// Held and Returned count only up to the recorded lease: a late LeaseRequest must not create tokens.
func (b Bucket) WithRequest(now time.Duration, l Lease, seq uint64, row LeaseRequestRow, lend bool) (Bucket, Lease, GrantRow) {
	grant := GrantRow{Account: row.Account}
	if seq <= l.seq {
		return b, l, grant
	}
	if lend {
		b = b.WithRefill(now)
	} else {
		b = b.WithoutRefill(now)
	}
	if l.seq == 0 {
		b.sessions++
	}
	held := max(0, min(row.Held, l.tokens))
	returned := max(0, min(row.Returned, l.tokens-held))
	b.lent += held - l.tokens
	b.level = max(0, min(b.level+float64(returned), b.maxLevel()))
	if lend {
		// Half of the level is kept for other nodes unless requests already wait for it.
		available := math.Floor(b.level)
		grant.Tokens = int(max(0, min(float64(row.Requested), available, max(float64(row.Waiting), math.Ceil(available/2)))))
	}
	b.level -= float64(grant.Tokens)
	b.lent += grant.Tokens
	if grant.Tokens < row.Requested {
		grant.RetryAfter = b.retryAfter(lend)
	}
	return b, Lease{tokens: held + grant.Tokens, seq: seq, expires: now + homeLeaseTerm}, grant
}

const (
	// requestSpacing is the minimum mean interval between the LeaseRequests of all borrowers of an empty bucket, so that
	// their rate does not grow with the number of nodes: at 2 ms, each of 74 nodes sent 150 per second.
	requestSpacing = 20 * time.Millisecond
	// maxRequestPause bounds the pause of one borrower, which refuses requests meanwhile although the bucket may have refilled.
	maxRequestPause = time.Second
)

// retryAfter estimates the time until the next token can be lent.
func (b Bucket) retryAfter(lend bool) time.Duration {
	minWait := min(time.Duration(b.sessions)*requestSpacing, maxRequestPause)
	switch {
	case b.level >= 1:
		return 0
	case !lend || b.limit.Rate <= 0 || b.limit.Burst < 1:
		return max(minWait, RefundWindow)
	case b.maxLevel() < 1:
		return max(minWait, RefundWindow/5)
	}
	missing := min((1-b.level)/b.limit.Rate, time.Minute.Seconds())
	return max(minWait, time.Duration(missing*float64(time.Second))+time.Millisecond)
}
