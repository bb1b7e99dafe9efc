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

// Loan is what one borrower session owes to a home for one account.
type Loan struct {
	tokens  int
	seq     uint64
	expires time.Duration
}

// Home is one account's minted share at a home: level is available, lent is on loan, and together they never exceed the burst.
type Home struct {
	loose bool // tokens on loan do not count against the burst
	limit Limit
	level float64
	lent  int
	loans int // borrower sessions of the last homeTerm
	at    time.Duration
}

// NewHome returns a home without tokens.
func NewHome(now time.Duration) Home {
	return Home{at: now}
}

// NewLooseHome returns a home without tokens whose loans do not count against its burst, so that borrowers need not say
// that they spent them. Tokens that lie unspent at borrowers can then add to the burst, which the promise with an overage
// allows.
func NewLooseHome(now time.Duration) Home {
	return Home{at: now, loose: true}
}

// room returns how many tokens may be available for lending.
func (h Home) room() float64 {
	if h.loose {
		return h.limit.Burst
	}
	return h.limit.Burst - float64(h.lent)
}

// Level returns the tokens available for lending.
func (h Home) Level() float64 { return h.level }

// Lent returns the tokens on loan.
func (h Home) Lent() int { return h.lent }

// WithMint returns h with the tokens minted up to now.
func (h Home) WithMint(now time.Duration) Home {
	if now > h.at {
		h.level += h.limit.Rate * (now - h.at).Seconds()
		h.at = now
	}
	h.level = max(0, min(h.level, h.room()))
	return h
}

// WithIdle returns h with the time up to now passed without minting.
func (h Home) WithIdle(now time.Duration) Home {
	h.at = max(h.at, now)
	return h
}

// WithLimit returns h with a new limit from its current time on.
func (h Home) WithLimit(limit Limit) Home {
	h.limit = limit
	h.level = max(0, min(h.level, h.room()))
	return h
}

// WithExpired returns h without a loan that has expired; its tokens are lost.
func (h Home) WithExpired(l Loan) Home {
	h.lent -= l.tokens
	h.loans--
	return h
}

// WithTake returns the state of the home and of the borrower's loan after a row of a LeaseRequest.
// A row that is not newer than the loan is a duplicate or late, and changes nothing.
// Held and Returned count only up to the recorded loan: a late LeaseRequest must not create tokens.
func (h Home) WithTake(now time.Duration, l Loan, seq uint64, row LeaseRow, lend bool) (Home, Loan, GrantRow) {
	grant := GrantRow{Account: row.Account}
	if seq <= l.seq {
		return h, l, grant
	}
	if lend {
		h = h.WithMint(now)
	} else {
		h = h.WithIdle(now)
	}
	if l.seq == 0 {
		h.loans++
	}
	hold := max(0, min(row.Held, l.tokens))
	back := max(0, min(row.Returned, l.tokens-hold))
	h.lent += hold - l.tokens
	h.level = max(0, min(h.level+float64(back), h.room()))
	if lend {
		// Half of the level stays for other nodes unless requests wait for it.
		available := math.Floor(h.level)
		grant.Tokens = int(max(0, min(float64(row.Requested), available, max(float64(row.Waiting), math.Ceil(available/2)))))
	}
	h.level -= float64(grant.Tokens)
	h.lent += grant.Tokens
	if grant.Tokens < row.Requested {
		grant.RetryAfter = h.after(lend)
	}
	return h, Loan{tokens: hold + grant.Tokens, seq: seq, expires: now + homeTerm}, grant
}

const (
	// takeSpan is the least time between two LeaseRequests for which an empty home asks its borrowers together, so that the LeaseRequests
	// for an account beyond its rate do not grow with the number of nodes: at 2 ms each of 74 nodes sent 150 a second.
	takeSpan = 20 * time.Millisecond
	// maxTakePause bounds the pause of one borrower, which refuses requests meanwhile although tokens may have come.
	maxTakePause = time.Second
)

// after estimates when the home can lend the next token.
func (h Home) after(lend bool) time.Duration {
	least := min(time.Duration(h.loans)*takeSpan, maxTakePause)
	switch {
	case h.level >= 1:
		return 0
	case !lend || h.limit.Rate <= 0 || h.limit.Burst < 1:
		return max(least, Window)
	case h.room() < 1:
		return max(least, Window/5)
	}
	missing := min((1-h.level)/h.limit.Rate, time.Minute.Seconds())
	return max(least, time.Duration(missing*float64(time.Second))+time.Millisecond)
}
