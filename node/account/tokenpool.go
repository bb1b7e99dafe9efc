package account

import (
	"math"
	"slices"
	"time"
)

const (
	// demandPeriod is the time constant of the moving average of demand.
	demandPeriod = time.Second
	// refundSlotWidth is the interval by which spent tokens are grouped, so that the number of slots does not grow with the rate.
	refundSlotWidth = 25 * time.Millisecond
	// steadyDemand is the demand from which a node keeps a token even if no request is expected within RefundWindow.
	// At 1.5, two close requests at one of 1,200 nodes reserved a token, and requests of an account with 5/s were refused.
	steadyDemand = 2
	// renewBefore is how long before its expiry an unused token is exchanged for a new one.
	renewBefore = 500 * time.Millisecond
	// failedHomeBackoff is how long no LeaseRequest is sent to a home that failed to answer one.
	failedHomeBackoff = time.Second
	// overdueAfter is the age from which the tokens of an unanswered LeaseRequest are requested from another home as well;
	// a round trip between failure domains takes about 2 ms.
	overdueAfter = 50 * time.Millisecond
)

// batch is a number of tokens of one home with the same expiry.
type batch struct {
	home    string
	tokens  int
	expires time.Duration
}

// refundSlot counts the spent tokens of one batch that may be refunded until the same time.
type refundSlot struct {
	home    string
	expires time.Duration // expiry of the batch
	until   time.Duration
	tokens  int
}

// pendingRequest is a LeaseRequest in flight.
type pendingRequest struct {
	home      string
	seq       uint64
	requested int
	sent      time.Duration
}

// backoff delays LeaseRequests to a home that lacks tokens or did not answer. With keepsTokens, the home has tokens left,
// but lends them only for requests that already wait.
type backoff struct {
	home        string
	until       time.Duration
	keepsTokens bool
}

// reportedTokens is the number of tokens that a home records as held by this node, as of the last LeaseRequest.
type reportedTokens struct {
	home   string
	tokens int
	sent   time.Duration
}

// Token is one spent token. It can be used or refunded until usableUntil on this node's clock.
type Token struct {
	home        string
	expires     time.Duration
	usableUntil time.Duration
}

// Usable reports whether a request may still be forwarded on the token.
func (t Token) Usable(now time.Duration) bool { return now < t.usableUntil }

// TokenPool holds the tokens that a node has borrowed for one account.
type TokenPool struct {
	homes       []string // in the order of LeaseRequests
	batches     []batch
	refundable  []refundSlot
	pending     []pendingRequest
	backoffs    []backoff
	reported    []reportedTokens
	demand      float64 // requests within demandPeriod, decayed exponentially
	demandAt    time.Duration
	requestedAt time.Duration
	next        int // index in homes of the next LeaseRequest
}

// NewTokenPool returns an empty pool; first, modulo the number of homes, is the index of the first home to use.
func NewTokenPool(homes []string, first int) TokenPool {
	p := TokenPool{homes: homes}
	if len(homes) > 0 {
		p.next = first % len(homes)
	}
	return p
}

// WithHomes returns p with other homes; borrowed tokens stay valid until they expire.
func (p TokenPool) WithHomes(homes []string) TokenPool {
	p.homes = homes
	p.next = 0
	return p
}

// Tokens returns the number of unspent tokens.
func (p TokenPool) Tokens(now time.Duration) int {
	n := 0
	for _, b := range p.batches {
		if now < b.expires {
			n += b.tokens
		}
	}
	return n
}

// Held returns the number of tokens of a home that the node may still use, including spent ones that may be refunded.
func (p TokenPool) Held(now time.Duration, home string) int {
	n := 0
	for _, b := range p.batches {
		if b.home == home && now < b.expires {
			n += b.tokens
		}
	}
	for _, r := range p.refundable {
		if r.home == home && now < r.until {
			n += r.tokens
		}
	}
	return n
}

// IsIdle reports whether p can be dropped: it is empty and the account has had no request for a while.
func (p TokenPool) IsIdle(now time.Duration) bool {
	return len(p.batches) == 0 && len(p.refundable) == 0 && len(p.pending) == 0 && len(p.backoffs) == 0 && len(p.reported) == 0 && now-p.requestedAt > 4*demandPeriod
}

// WithoutExpired returns p without expired tokens, refund slots, backoffs and reported tokens.
func (p TokenPool) WithoutExpired(now time.Duration) TokenPool {
	batchExpired := func(b batch) bool { return b.tokens == 0 || now >= b.expires }
	slotExpired := func(r refundSlot) bool { return r.tokens == 0 || now >= r.until }
	backoffEnded := func(r backoff) bool { return now >= r.until }
	reportExpired := func(d reportedTokens) bool { return now >= d.sent+homeLeaseTerm }
	if slices.ContainsFunc(p.reported, reportExpired) {
		p.reported = slices.DeleteFunc(slices.Clone(p.reported), reportExpired)
	}
	if slices.ContainsFunc(p.batches, batchExpired) {
		p.batches = slices.DeleteFunc(slices.Clone(p.batches), batchExpired)
	}
	if slices.ContainsFunc(p.refundable, slotExpired) {
		p.refundable = slices.DeleteFunc(slices.Clone(p.refundable), slotExpired)
	}
	if slices.ContainsFunc(p.backoffs, backoffEnded) {
		p.backoffs = slices.DeleteFunc(slices.Clone(p.backoffs), backoffEnded)
	}
	return p
}

// WithDemand returns p with one more request counted.
func (p TokenPool) WithDemand(now time.Duration) TokenPool {
	p.demand = p.decayedDemand(now) + 1
	p.demandAt, p.requestedAt = now, now
	return p
}

func (p TokenPool) decayedDemand(now time.Duration) float64 {
	return p.demand * math.Exp(-(now-p.demandAt).Seconds()/demandPeriod.Seconds())
}

// prefetch returns the number of tokens to hold ahead of demand.
func (p TokenPool) prefetch(now time.Duration) int {
	demand, n := p.decayedDemand(now), 0
	if now-p.requestedAt < RefundWindow {
		n = int(demand / demandPeriod.Seconds() * RefundWindow.Seconds())
	}
	if demand >= steadyDemand {
		n = max(1, n)
	}
	return n
}

// WithSpent spends the token that expires first and returns it.
func (p TokenPool) WithSpent(now time.Duration) (TokenPool, Token, bool) {
	best := -1
	for i, b := range p.batches {
		if b.tokens > 0 && now < b.expires && (best < 0 || b.expires < p.batches[best].expires) {
			best = i
		}
	}
	if best < 0 {
		return p, Token{}, false
	}
	p.batches = slices.Clone(p.batches)
	p.batches[best].tokens--
	b := p.batches[best]
	// The end of the slot is rounded down, so that no token is usable for longer than RefundWindow.
	t := Token{home: b.home, expires: b.expires, usableUntil: min(b.expires, (now+RefundWindow)/refundSlotWidth*refundSlotWidth)}
	p.refundable = slices.Clone(p.refundable)
	for i, r := range p.refundable {
		if r.home == t.home && r.expires == t.expires && r.until == t.usableUntil {
			p.refundable[i].tokens++
			return p, t, true
		}
	}
	p.refundable = append(p.refundable, refundSlot{home: t.home, expires: t.expires, until: t.usableUntil, tokens: 1})
	return p, t, true
}

// WithCommitted returns p after the request of a token ran: the token no longer counts as held.
// It returns false if the token was committed or refunded before, or can no longer be refunded.
func (p TokenPool) WithCommitted(now time.Duration, t Token) (TokenPool, bool) {
	for i, r := range p.refundable {
		if r.home == t.home && r.expires == t.expires && r.until == t.usableUntil && r.tokens > 0 && now < r.until {
			p.refundable = slices.Clone(p.refundable)
			p.refundable[i].tokens--
			return p, true
		}
	}
	return p, false
}

// WithRefund returns p after the request of a token did not run.
// Only a token that has counted as held until now returns to its batch; the home may have refilled any other one.
func (p TokenPool) WithRefund(now time.Duration, t Token) TokenPool {
	p, ok := p.WithCommitted(now, t)
	if !ok {
		return p
	}
	return p.withBatch(batch{home: t.home, tokens: 1, expires: t.expires})
}

func (p TokenPool) withBatch(n batch) TokenPool {
	p.batches = slices.Clone(p.batches)
	for i, b := range p.batches {
		if b.home == n.home && b.expires == n.expires {
			p.batches[i].tokens += n.tokens
			return p
		}
	}
	p.batches = append(p.batches, n)
	return p
}

// isRequested reports whether a LeaseRequest to the home is in flight.
func (p TokenPool) isRequested(home string) bool {
	return slices.ContainsFunc(p.pending, func(r pendingRequest) bool { return r.home == home })
}

// backoffUntil returns the end of the backoff of a home.
func (p TokenPool) backoffUntil(home string) time.Duration {
	for _, r := range p.backoffs {
		if r.home == home {
			return r.until
		}
	}
	return 0
}

// keepsTokens reports whether a home that lent fewer tokens than requested has more for waiting requests.
func (p TokenPool) keepsTokens(home string) bool {
	return slices.ContainsFunc(p.backoffs, func(r backoff) bool { return r.home == home && r.keepsTokens })
}

// incoming returns the number of requested tokens whose Grant is not overdue.
func (p TokenPool) incoming(now time.Duration) int {
	n := 0
	for _, req := range p.pending {
		if now-req.sent < overdueAfter {
			n += req.requested
		}
	}
	return n
}

// HasPending reports whether a LeaseRequest is in flight.
func (p TokenPool) HasPending() bool { return len(p.pending) > 0 }

// NextRequest returns the home for the next LeaseRequest and the number of tokens to request, given the number of waiting
// requests. The home is empty if no LeaseRequest is due.
func (p TokenPool) NextRequest(now time.Duration, waiting int) (home string, tokens int) {
	prefetch := p.prefetch(now)
	have := p.Tokens(now) + p.incoming(now)
	if waiting+prefetch <= have || (waiting <= have && 2*have > prefetch) {
		return "", 0
	}
	for i := range p.homes {
		home := p.homes[(p.next+i)%len(p.homes)]
		if !p.isRequested(home) && (p.backoffUntil(home) <= now || (waiting > have && p.keepsTokens(home))) {
			return home, waiting + prefetch - have
		}
	}
	return "", 0
}

// NextReturn returns the home for the next LeaseRequest that returns tokens or reports spent ones, and the number of tokens to
// return: unused ones, ones that expire soon, or none if it only reports spent tokens. The report is needed because a home
// refills nothing while it counts its whole burst as lent; in overage mode spent tokens are not reported.
func (p TokenPool) NextReturn(now time.Duration, overage bool) (home string, tokens int) {
	for _, d := range p.reported {
		if overage {
			break
		}
		if now-d.sent >= RefundWindow && !p.isRequested(d.home) && p.Held(now, d.home) < d.tokens {
			return d.home, p.expiring(now, d.home)
		}
	}
	keep := 0
	if prefetch := p.prefetch(now); prefetch > 0 || now-p.requestedAt < RefundWindow {
		keep = 2*prefetch + 1
	}
	surplus := p.Tokens(now) - keep
	for _, b := range p.batches {
		if b.tokens == 0 || now >= b.expires || p.isRequested(b.home) {
			continue
		}
		if b.expires-now < renewBefore {
			return b.home, p.expiring(now, b.home)
		}
		if surplus > 0 {
			return b.home, min(surplus, b.tokens)
		}
	}
	return "", 0
}

// expiring returns the number of tokens of a home that expire within renewBefore.
func (p TokenPool) expiring(now time.Duration, home string) int {
	n := 0
	for _, b := range p.batches {
		if b.home == home && now < b.expires && b.expires-now < renewBefore {
			n += b.tokens
		}
	}
	return n
}

// WithRequest returns p with a LeaseRequest to a home in flight, and the row to send. It removes the returned tokens.
func (p TokenPool) WithRequest(now time.Duration, home string, seq uint64, toReturn, requested, waiting int) (TokenPool, LeaseRequestRow) {
	p = p.WithoutExpired(now)
	p.batches = slices.Clone(p.batches)
	slices.SortStableFunc(p.batches, func(a, b batch) int { return int((a.expires - b.expires) / time.Microsecond) })
	returned := 0
	for i, b := range p.batches {
		if b.home == home {
			n := min(b.tokens, toReturn-returned)
			p.batches[i].tokens -= n
			returned += n
		}
	}
	p.pending = append(slices.Clone(p.pending), pendingRequest{home: home, seq: seq, requested: requested, sent: now})
	if i := slices.Index(p.homes, home); i >= 0 && requested > 0 {
		p.next = (i + 1) % len(p.homes)
	}
	p = p.withReported(reportedTokens{home: home, tokens: p.Held(now, home), sent: now})
	return p, LeaseRequestRow{Held: p.Held(now, home), Returned: returned, Requested: requested, Waiting: min(waiting, requested)}
}

// WithGrant returns p with the tokens of a Grant. Their lease starts when the LeaseRequest was sent; the home counts
// it from the receipt, which is later.
// A Grant that answers no LeaseRequest in flight is a duplicate or late, and changes nothing.
func (p TokenPool) WithGrant(now time.Duration, home string, seq uint64, row GrantRow) TokenPool {
	i := slices.IndexFunc(p.pending, func(r pendingRequest) bool { return r.home == home && r.seq == seq })
	if i < 0 {
		return p
	}
	req := p.pending[i]
	p.pending = slices.Delete(slices.Clone(p.pending), i, i+1)
	if tokens := min(row.Tokens, req.requested); tokens > 0 && now < req.sent+LeaseTerm {
		p = p.withBatch(batch{home: home, tokens: tokens, expires: req.sent + LeaseTerm})
		p = p.withReported(reportedTokens{home: home, tokens: p.Held(now, home), sent: req.sent})
	}
	if row.Tokens < req.requested {
		p = p.withBackoff(backoff{home: home, until: now + max(row.RetryAfter, time.Millisecond), keepsTokens: row.RetryAfter == 0 && row.Tokens > 0})
	}
	return p
}

// WithFailure returns p after a LeaseRequest was not answered; it may have reached the home.
func (p TokenPool) WithFailure(now time.Duration, home string, seq uint64) TokenPool {
	i := slices.IndexFunc(p.pending, func(r pendingRequest) bool { return r.home == home && r.seq == seq })
	if i < 0 {
		return p
	}
	p.pending = slices.Delete(slices.Clone(p.pending), i, i+1)
	return p.withBackoff(backoff{home: home, until: now + failedHomeBackoff})
}

func (p TokenPool) withReported(d reportedTokens) TokenPool {
	p.reported = slices.DeleteFunc(slices.Clone(p.reported), func(o reportedTokens) bool { return o.home == d.home })
	if d.tokens > 0 {
		p.reported = append(p.reported, d)
	}
	return p
}

func (p TokenPool) withBackoff(n backoff) TokenPool {
	p.backoffs = slices.DeleteFunc(slices.Clone(p.backoffs), func(r backoff) bool { return r.home == n.home })
	p.backoffs = append(p.backoffs, n)
	return p
}

// RetryAfter returns the time until a LeaseRequest can be sent to some home again, or a second if there are no homes.
func (p TokenPool) RetryAfter(now time.Duration) time.Duration {
	if len(p.homes) == 0 {
		return time.Second
	}
	first := p.backoffUntil(p.homes[0])
	for _, home := range p.homes[1:] {
		first = min(first, p.backoffUntil(home))
	}
	return max(time.Millisecond, first-now)
}
