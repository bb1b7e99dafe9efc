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
func (h Bucket) maxLevel() float64 {
	if h.overage {
		return h.limit.Burst
	}
	return h.limit.Burst - float64(h.lent)
}

// Level returns the tokens available for lending.
func (h Bucket) Level() float64 { return h.level }

// Lent returns the tokens lent to borrowers and not known to be spent or returned.
func (h Bucket) Lent() int { return h.lent }

// WithRefill returns h refilled up to now.
func (h Bucket) WithRefill(now time.Duration) Bucket {
	if now > h.refilledAt {
		h.level += h.limit.Rate * (now - h.refilledAt).Seconds()
		h.refilledAt = now
	}
	h.level = max(0, min(h.level, h.maxLevel()))
	return h
}

// WithoutRefill returns h with the time up to now skipped, without a refill.
func (h Bucket) WithoutRefill(now time.Duration) Bucket {
	h.refilledAt = max(h.refilledAt, now)
	return h
}

// WithLimit returns h with a new limit, which applies from the last refill on.
func (h Bucket) WithLimit(limit Limit) Bucket {
	h.limit = limit
	h.level = max(0, min(h.level, h.maxLevel()))
	return h
}

// WithExpired returns h without an expired lease; its tokens are lost.
func (h Bucket) WithExpired(l Lease) Bucket {
	h.lent -= l.tokens
	h.sessions--
	return h
}

// WithRequest returns the bucket, the borrower's lease and the answer after a row of a LeaseRequest.
// A row that is not newer than the lease is a duplicate or late, and changes nothing.
// Held and Returned count only up to the recorded lease: a late LeaseRequest must not create tokens.
func (h Bucket) WithRequest(now time.Duration, l Lease, seq uint64, row LeaseRow, lend bool) (Bucket, Lease, GrantRow) {
	grant := GrantRow{Account: row.Account}
	if seq <= l.seq {
		return h, l, grant
	}
	if lend {
		h = h.WithRefill(now)
	} else {
		h = h.WithoutRefill(now)
	}
	if l.seq == 0 {
		h.sessions++
	}
	held := max(0, min(row.Held, l.tokens))
	returned := max(0, min(row.Returned, l.tokens-held))
	h.lent += held - l.tokens
	h.level = max(0, min(h.level+float64(returned), h.maxLevel()))
	if lend {
		// Half of the level is kept for other nodes unless requests already wait for it.
		available := math.Floor(h.level)
		grant.Tokens = int(max(0, min(float64(row.Requested), available, max(float64(row.Waiting), math.Ceil(available/2)))))
	}
	h.level -= float64(grant.Tokens)
	h.lent += grant.Tokens
	if grant.Tokens < row.Requested {
		grant.RetryAfter = h.retryAfter(lend)
	}
	return h, Lease{tokens: held + grant.Tokens, seq: seq, expires: now + homeLeaseTerm}, grant
}

const (
	// requestSpacing is the minimum mean interval between the LeaseRequests of all borrowers of an empty bucket, so that
	// their rate does not grow with the number of nodes: at 2 ms, each of 74 nodes sent 150 per second.
	requestSpacing = 20 * time.Millisecond
	// maxRequestPause bounds the pause of one borrower, which refuses requests meanwhile although the bucket may have refilled.
	maxRequestPause = time.Second
)

// retryAfter estimates the time until the next token can be lent.
func (h Bucket) retryAfter(lend bool) time.Duration {
	least := min(time.Duration(h.sessions)*requestSpacing, maxRequestPause)
	switch {
	case h.level >= 1:
		return 0
	case !lend || h.limit.Rate <= 0 || h.limit.Burst < 1:
		return max(least, RefundWindow)
	case h.maxLevel() < 1:
		return max(least, RefundWindow/5)
	}
	missing := min((1-h.level)/h.limit.Rate, time.Minute.Seconds())
	return max(least, time.Duration(missing*float64(time.Second))+time.Millisecond)
}
