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

// reportedTokens is the number of tokens that a home counts as held by this node since the last LeaseRequest.
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
	s := TokenPool{homes: homes}
	if len(homes) > 0 {
		s.next = first % len(homes)
	}
	return s
}

// WithHomes returns s with other homes; borrowed tokens stay valid until they expire.
func (s TokenPool) WithHomes(homes []string) TokenPool {
	s.homes = homes
	s.next = 0
	return s
}

// Tokens returns the number of unspent tokens.
func (s TokenPool) Tokens(now time.Duration) int {
	n := 0
	for _, l := range s.batches {
		if now < l.expires {
			n += l.tokens
		}
	}
	return n
}

// Held returns the number of tokens of a home that the node may still use, including spent ones that may be refunded.
func (s TokenPool) Held(now time.Duration, home string) int {
	n := 0
	for _, l := range s.batches {
		if l.home == home && now < l.expires {
			n += l.tokens
		}
	}
	for _, p := range s.refundable {
		if p.home == home && now < p.until {
			n += p.tokens
		}
	}
	return n
}

// IsIdle reports whether s can be dropped: it is empty and the account has had no request for a while.
func (s TokenPool) IsIdle(now time.Duration) bool {
	return len(s.batches) == 0 && len(s.refundable) == 0 && len(s.pending) == 0 && len(s.backoffs) == 0 && len(s.reported) == 0 && now-s.requestedAt > 4*demandPeriod
}

// WithoutExpired returns s without expired tokens, refund slots, backoffs and reported tokens.
func (s TokenPool) WithoutExpired(now time.Duration) TokenPool {
	batchExpired := func(l batch) bool { return l.tokens == 0 || now >= l.expires }
	slotExpired := func(p refundSlot) bool { return p.tokens == 0 || now >= p.until }
	backoffEnded := func(p backoff) bool { return now >= p.until }
	reportExpired := func(d reportedTokens) bool { return now >= d.sent+homeLeaseTerm }
	if slices.ContainsFunc(s.reported, reportExpired) {
		s.reported = slices.DeleteFunc(slices.Clone(s.reported), reportExpired)
	}
	if slices.ContainsFunc(s.batches, batchExpired) {
		s.batches = slices.DeleteFunc(slices.Clone(s.batches), batchExpired)
	}
	if slices.ContainsFunc(s.refundable, slotExpired) {
		s.refundable = slices.DeleteFunc(slices.Clone(s.refundable), slotExpired)
	}
	if slices.ContainsFunc(s.backoffs, backoffEnded) {
		s.backoffs = slices.DeleteFunc(slices.Clone(s.backoffs), backoffEnded)
	}
	return s
}

// WithDemand returns s with one more request counted.
func (s TokenPool) WithDemand(now time.Duration) TokenPool {
	s.demand = s.decayed(now) + 1
	s.demandAt, s.requestedAt = now, now
	return s
}

func (s TokenPool) decayed(now time.Duration) float64 {
	return s.demand * math.Exp(-(now-s.demandAt).Seconds()/demandPeriod.Seconds())
}

// prefetch returns the number of tokens to hold ahead of demand.
func (s TokenPool) prefetch(now time.Duration) int {
	demand, n := s.decayed(now), 0
	if now-s.requestedAt < RefundWindow {
		n = int(demand / demandPeriod.Seconds() * RefundWindow.Seconds())
	}
	if demand >= steadyDemand {
		n = max(1, n)
	}
	return n
}

// WithSpent spends the token that expires first and returns it.
func (s TokenPool) WithSpent(now time.Duration) (TokenPool, Token, bool) {
	best := -1
	for i, l := range s.batches {
		if l.tokens > 0 && now < l.expires && (best < 0 || l.expires < s.batches[best].expires) {
			best = i
		}
	}
	if best < 0 {
		return s, Token{}, false
	}
	s.batches = slices.Clone(s.batches)
	s.batches[best].tokens--
	l := s.batches[best]
	// The end of the slot is rounded down, so that no token is usable for longer than RefundWindow.
	t := Token{home: l.home, expires: l.expires, usableUntil: min(l.expires, (now+RefundWindow)/refundSlotWidth*refundSlotWidth)}
	s.refundable = slices.Clone(s.refundable)
	for i, p := range s.refundable {
		if p.home == t.home && p.expires == t.expires && p.until == t.usableUntil {
			s.refundable[i].tokens++
			return s, t, true
		}
	}
	s.refundable = append(s.refundable, refundSlot{home: t.home, expires: t.expires, until: t.usableUntil, tokens: 1})
	return s, t, true
}

// WithCommitted returns s after the request of a token ran: the token no longer counts as held.
// It returns false if the token was committed or refunded before, or can no longer be refunded.
func (s TokenPool) WithCommitted(now time.Duration, t Token) (TokenPool, bool) {
	for i, p := range s.refundable {
		if p.home == t.home && p.expires == t.expires && p.until == t.usableUntil && p.tokens > 0 && now < p.until {
			s.refundable = slices.Clone(s.refundable)
			s.refundable[i].tokens--
			return s, true
		}
	}
	return s, false
}

// WithRefund returns s after the request of a token did not run.
// Only a token that has counted as held until now returns to its batch; the home may have refilled any other one.
func (s TokenPool) WithRefund(now time.Duration, t Token) TokenPool {
	s, ok := s.WithCommitted(now, t)
	if !ok {
		return s
	}
	return s.withBatch(batch{home: t.home, tokens: 1, expires: t.expires})
}

func (s TokenPool) withBatch(n batch) TokenPool {
	s.batches = slices.Clone(s.batches)
	for i, l := range s.batches {
		if l.home == n.home && l.expires == n.expires {
			s.batches[i].tokens += n.tokens
			return s
		}
	}
	s.batches = append(s.batches, n)
	return s
}

// isRequested reports whether a LeaseRequest to the home is in flight.
func (s TokenPool) isRequested(home string) bool {
	return slices.ContainsFunc(s.pending, func(a pendingRequest) bool { return a.home == home })
}

// backoffUntil returns the end of the backoff of a home.
func (s TokenPool) backoffUntil(home string) time.Duration {
	for _, p := range s.backoffs {
		if p.home == home {
			return p.until
		}
	}
	return 0
}

// keepsTokens reports whether a home that lent fewer tokens than requested has more for waiting requests.
func (s TokenPool) keepsTokens(home string) bool {
	return slices.ContainsFunc(s.backoffs, func(p backoff) bool { return p.home == home && p.keepsTokens })
}

// incoming returns the number of requested tokens whose Grant is not overdue.
func (s TokenPool) incoming(now time.Duration) int {
	n := 0
	for _, a := range s.pending {
		if now-a.sent < overdueAfter {
			n += a.requested
		}
	}
	return n
}

// HasPending reports whether a LeaseRequest is in flight.
func (s TokenPool) HasPending() bool { return len(s.pending) > 0 }

// NextRequest returns the home for the next LeaseRequest and the number of tokens to request, given the number of waiting
// requests. The home is empty if no LeaseRequest is due.
func (s TokenPool) NextRequest(now time.Duration, waiting int) (home string, tokens int) {
	prefetch := s.prefetch(now)
	have := s.Tokens(now) + s.incoming(now)
	if waiting+prefetch <= have || (waiting <= have && 2*have > prefetch) {
		return "", 0
	}
	for i := range s.homes {
		home := s.homes[(s.next+i)%len(s.homes)]
		if !s.isRequested(home) && (s.backoffUntil(home) <= now || (waiting > have && s.keepsTokens(home))) {
			return home, waiting + prefetch - have
		}
	}
	return "", 0
}

// NextReturn returns a home to which tokens or a report are due, and the number of tokens to return: unused ones, ones that
// expire soon, or none if the home only has to learn that tokens were spent. The home refills nothing while it counts its
// whole burst as lent, except in overage mode, where spent tokens are not reported.
func (s TokenPool) NextReturn(now time.Duration, overage bool) (home string, tokens int) {
	for _, d := range s.reported {
		if overage {
			break
		}
		if now-d.sent >= RefundWindow && !s.isRequested(d.home) && s.Held(now, d.home) < d.tokens {
			return d.home, s.expiring(now, d.home)
		}
	}
	keep := 0
	if prefetch := s.prefetch(now); prefetch > 0 || now-s.requestedAt < RefundWindow {
		keep = 2*prefetch + 1
	}
	surplus := s.Tokens(now) - keep
	for _, l := range s.batches {
		if l.tokens == 0 || now >= l.expires || s.isRequested(l.home) {
			continue
		}
		if l.expires-now < renewBefore {
			return l.home, s.expiring(now, l.home)
		}
		if surplus > 0 {
			return l.home, min(surplus, l.tokens)
		}
	}
	return "", 0
}

// expiring returns the number of tokens of a home that expire within renewBefore.
func (s TokenPool) expiring(now time.Duration, home string) int {
	n := 0
	for _, l := range s.batches {
		if l.home == home && now < l.expires && l.expires-now < renewBefore {
			n += l.tokens
		}
	}
	return n
}

// WithRequest returns s with a LeaseRequest to a home in flight, and the row to send. It removes the returned tokens.
func (s TokenPool) WithRequest(now time.Duration, home string, seq uint64, toReturn, requested, waiting int) (TokenPool, LeaseRow) {
	s = s.WithoutExpired(now)
	s.batches = slices.Clone(s.batches)
	slices.SortStableFunc(s.batches, func(a, b batch) int { return int((a.expires - b.expires) / time.Microsecond) })
	returned := 0
	for i, l := range s.batches {
		if l.home == home {
			n := min(l.tokens, toReturn-returned)
			s.batches[i].tokens -= n
			returned += n
		}
	}
	s.pending = append(slices.Clone(s.pending), pendingRequest{home: home, seq: seq, requested: requested, sent: now})
	if i := slices.Index(s.homes, home); i >= 0 && requested > 0 {
		s.next = (i + 1) % len(s.homes)
	}
	s = s.withReported(reportedTokens{home: home, tokens: s.Held(now, home), sent: now})
	return s, LeaseRow{Held: s.Held(now, home), Returned: returned, Requested: requested, Waiting: min(waiting, requested)}
}

// WithGrant returns s with the tokens of a Grant. Their lease starts when the LeaseRequest was sent; the home
// counts it from the receipt, which is later.
// A Grant that answers no LeaseRequest in flight is a duplicate or late, and changes nothing.
func (s TokenPool) WithGrant(now time.Duration, home string, seq uint64, row GrantRow) TokenPool {
	i := slices.IndexFunc(s.pending, func(a pendingRequest) bool { return a.home == home && a.seq == seq })
	if i < 0 {
		return s
	}
	a := s.pending[i]
	s.pending = slices.Delete(slices.Clone(s.pending), i, i+1)
	if tokens := min(row.Tokens, a.requested); tokens > 0 && now < a.sent+LeaseTerm {
		s = s.withBatch(batch{home: home, tokens: tokens, expires: a.sent + LeaseTerm})
		s = s.withReported(reportedTokens{home: home, tokens: s.Held(now, home), sent: a.sent})
	}
	if row.Tokens < a.requested {
		s = s.withBackoff(backoff{home: home, until: now + max(row.RetryAfter, time.Millisecond), keepsTokens: row.RetryAfter == 0 && row.Tokens > 0})
	}
	return s
}

// WithFailure returns s after a LeaseRequest was not answered; it may have reached the home.
func (s TokenPool) WithFailure(now time.Duration, home string, seq uint64) TokenPool {
	i := slices.IndexFunc(s.pending, func(a pendingRequest) bool { return a.home == home && a.seq == seq })
	if i < 0 {
		return s
	}
	s.pending = slices.Delete(slices.Clone(s.pending), i, i+1)
	return s.withBackoff(backoff{home: home, until: now + failedHomeBackoff})
}

func (s TokenPool) withReported(d reportedTokens) TokenPool {
	s.reported = slices.DeleteFunc(slices.Clone(s.reported), func(o reportedTokens) bool { return o.home == d.home })
	if d.tokens > 0 {
		s.reported = append(s.reported, d)
	}
	return s
}

func (s TokenPool) withBackoff(n backoff) TokenPool {
	s.backoffs = slices.DeleteFunc(slices.Clone(s.backoffs), func(p backoff) bool { return p.home == n.home })
	s.backoffs = append(s.backoffs, n)
	return s
}

// RetryAfter returns the time until a LeaseRequest can be sent to some home again, or a second if there are no homes.
func (s TokenPool) RetryAfter(now time.Duration) time.Duration {
	if len(s.homes) == 0 {
		return time.Second
	}
	first := s.backoffUntil(s.homes[0])
	for _, home := range s.homes[1:] {
		first = min(first, s.backoffUntil(home))
	}
	return max(time.Millisecond, first-now)
}
