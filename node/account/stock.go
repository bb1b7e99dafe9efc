package account

import (
	"math"
	"slices"
	"time"
)

const (
	// demandSpan is the time over which demand is averaged.
	demandSpan = time.Second
	// slotSpan groups spent tokens that may still be refunded, so that their number does not grow with the rate.
	slotSpan = 25 * time.Millisecond
	// steadyDemand is the demand from which a node keeps a token between requests, though none is due within Window.
	// At 1.5, two requests that met at one of 1,200 nodes reserved a token, and an account of 5/s was refused.
	steadyDemand = 2
	// renewal is how long before its expiry a token is returned in exchange for a new one.
	renewal = 500 * time.Millisecond
	// silence is how long a home that failed to answer is not asked again.
	silence = time.Second
	// patience is how long a LeaseRequest may be unanswered before another home is asked for the same tokens;
	// a round trip between failure domains takes about 2 ms.
	patience = 50 * time.Millisecond
)

// lot is a number of tokens of one home that expire together.
type lot struct {
	home   string
	tokens int
	until  time.Duration
}

// slot counts spent tokens of one lot that may be refunded until a time.
type slot struct {
	home   string
	lot    time.Duration // expiry of the lot
	until  time.Duration
	tokens int
}

// asked is a LeaseRequest in flight.
type asked struct {
	home string
	seq  uint64
	want int
	sent time.Duration
}

// pauseAt is a home that has no tokens until a time, or that keeps its last ones for requests that wait.
type pauseAt struct {
	home  string
	until time.Duration
	keeps bool
}

// debt is what a home believes the node to hold, as of the last LeaseRequest.
type debt struct {
	home   string
	tokens int
	sent   time.Duration
}

// Token is one spent token: until is the end of its use and of its refund, both on this node's clock.
type Token struct {
	home  string
	lot   time.Duration
	until time.Duration
}

// Usable tells whether a request may still be forwarded on the token.
func (t Token) Usable(now time.Duration) bool { return now < t.until }

// Stock is what a node holds for one account.
type Stock struct {
	homes   []string // in the order in which they are asked
	lots    []lot
	slots   []slot
	asks    []asked
	empty   []pauseAt
	debts   []debt
	demand  float64 // spends within demandSpan, decayed exponentially
	demAt   time.Duration
	spentAt time.Duration
	next    int // position in homes of the next home to ask
}

// NewStock returns a stock without tokens; first tells which home is asked first.
func NewStock(homes []string, first int) Stock {
	s := Stock{homes: homes}
	if len(homes) > 0 {
		s.next = first % len(homes)
	}
	return s
}

// WithHomes returns s with the homes of a new version; tokens of other homes stay valid until they expire.
func (s Stock) WithHomes(homes []string) Stock {
	s.homes = homes
	s.next = 0
	return s
}

// Tokens returns the number of tokens that can be spent.
func (s Stock) Tokens(now time.Duration) int {
	n := 0
	for _, l := range s.lots {
		if now < l.until {
			n += l.tokens
		}
	}
	return n
}

// Hold returns the tokens of a home that the node may still use, including spent ones that may be refunded.
func (s Stock) Hold(now time.Duration, home string) int {
	n := 0
	for _, l := range s.lots {
		if l.home == home && now < l.until {
			n += l.tokens
		}
	}
	for _, p := range s.slots {
		if p.home == home && now < p.until {
			n += p.tokens
		}
	}
	return n
}

// IsIdle tells whether s holds nothing worth keeping.
func (s Stock) IsIdle(now time.Duration) bool {
	return len(s.lots) == 0 && len(s.slots) == 0 && len(s.asks) == 0 && len(s.empty) == 0 && len(s.debts) == 0 && now-s.spentAt > 4*demandSpan
}

// WithoutExpired returns s without tokens and notes whose time has passed.
func (s Stock) WithoutExpired(now time.Duration) Stock {
	lotGone := func(l lot) bool { return l.tokens == 0 || now >= l.until }
	slotGone := func(p slot) bool { return p.tokens == 0 || now >= p.until }
	emptyGone := func(p pauseAt) bool { return now >= p.until }
	debtGone := func(d debt) bool { return now >= d.sent+homeTerm }
	if slices.ContainsFunc(s.debts, debtGone) {
		s.debts = slices.DeleteFunc(slices.Clone(s.debts), debtGone)
	}
	if slices.ContainsFunc(s.lots, lotGone) {
		s.lots = slices.DeleteFunc(slices.Clone(s.lots), lotGone)
	}
	if slices.ContainsFunc(s.slots, slotGone) {
		s.slots = slices.DeleteFunc(slices.Clone(s.slots), slotGone)
	}
	if slices.ContainsFunc(s.empty, emptyGone) {
		s.empty = slices.DeleteFunc(slices.Clone(s.empty), emptyGone)
	}
	return s
}

// WithDemand returns s with one more request counted.
func (s Stock) WithDemand(now time.Duration) Stock {
	s.demand = s.decayed(now) + 1
	s.demAt, s.spentAt = now, now
	return s
}

func (s Stock) decayed(now time.Duration) float64 {
	return s.demand * math.Exp(-(now-s.demAt).Seconds()/demandSpan.Seconds())
}

// ahead returns the number of tokens to hold in advance.
func (s Stock) ahead(now time.Duration) int {
	demand, n := s.decayed(now), 0
	if now-s.spentAt < Window {
		n = int(demand / demandSpan.Seconds() * Window.Seconds())
	}
	if demand >= steadyDemand {
		n = max(1, n)
	}
	return n
}

// WithSpend returns s without one token, the one that expires first, and the token.
func (s Stock) WithSpend(now time.Duration) (Stock, Token, bool) {
	best := -1
	for i, l := range s.lots {
		if l.tokens > 0 && now < l.until && (best < 0 || l.until < s.lots[best].until) {
			best = i
		}
	}
	if best < 0 {
		return s, Token{}, false
	}
	s.lots = slices.Clone(s.lots)
	s.lots[best].tokens--
	l := s.lots[best]
	// The end of the slot is rounded down, so a token is never of use for longer than Window.
	t := Token{home: l.home, lot: l.until, until: min(l.until, (now+Window)/slotSpan*slotSpan)}
	s.slots = slices.Clone(s.slots)
	for i, p := range s.slots {
		if p.home == t.home && p.lot == t.lot && p.until == t.until {
			s.slots[i].tokens++
			return s, t, true
		}
	}
	s.slots = append(s.slots, slot{home: t.home, lot: t.lot, until: t.until, tokens: 1})
	return s, t, true
}

// WithSettled returns s after the request of a token ran: the token is used up and no longer part of Held.
func (s Stock) WithSettled(now time.Duration, t Token) (Stock, bool) {
	for i, p := range s.slots {
		if p.home == t.home && p.lot == t.lot && p.until == t.until && p.tokens > 0 && now < p.until {
			s.slots = slices.Clone(s.slots)
			s.slots[i].tokens--
			return s, true
		}
	}
	return s, false
}

// WithRefund returns s after the request of a token did not run.
// Only a token that every LeaseRequest has reported in Held until now returns to its lot.
func (s Stock) WithRefund(now time.Duration, t Token) Stock {
	s, ok := s.WithSettled(now, t)
	if !ok {
		return s
	}
	return s.withLot(lot{home: t.home, tokens: 1, until: t.lot})
}

func (s Stock) withLot(n lot) Stock {
	s.lots = slices.Clone(s.lots)
	for i, l := range s.lots {
		if l.home == n.home && l.until == n.until {
			s.lots[i].tokens += n.tokens
			return s
		}
	}
	s.lots = append(s.lots, n)
	return s
}

// isAsked tells whether a LeaseRequest to the home is in flight.
func (s Stock) isAsked(home string) bool {
	return slices.ContainsFunc(s.asks, func(a asked) bool { return a.home == home })
}

// emptyUntil returns the time until which a home is known to have no tokens.
func (s Stock) emptyUntil(home string) time.Duration {
	for _, p := range s.empty {
		if p.home == home {
			return p.until
		}
	}
	return 0
}

// keeps tells whether a home that lent fewer tokens than wanted has more for requests that wait.
func (s Stock) keeps(home string) bool {
	return slices.ContainsFunc(s.empty, func(p pauseAt) bool { return p.home == home && p.keeps })
}

// wanted returns the tokens already asked for and likely to come.
func (s Stock) wanted(now time.Duration) int {
	n := 0
	for _, a := range s.asks {
		if now-a.sent < patience {
			n += a.want
		}
	}
	return n
}

// Pending tells whether a LeaseRequest is in flight.
func (s Stock) Pending() bool { return len(s.asks) > 0 }

// Ask returns the home to ask and the number of tokens to ask for, given the requests that wait.
func (s Stock) Ask(now time.Duration, waiting int) (home string, want int) {
	ahead := s.ahead(now)
	have := s.Tokens(now) + s.wanted(now)
	if waiting+ahead <= have || (waiting <= have && 2*have > ahead) {
		return "", 0
	}
	for i := range s.homes {
		home := s.homes[(s.next+i)%len(s.homes)]
		if !s.isAsked(home) && (s.emptyUntil(home) <= now || (waiting > have && s.keeps(home))) {
			return home, waiting + ahead - have
		}
	}
	return "", 0
}

// Return returns a home to which a LeaseRequest is due without need of tokens, and the tokens to give back:
// unused ones, or ones that expire soon, or none if the home only has to learn that tokens were spent,
// since it mints nothing while it believes its whole burst to be on loan, unless it lends loosely.
func (s Stock) Return(now time.Duration, loose bool) (home string, back int) {
	for _, d := range s.debts {
		if loose {
			break
		}
		if now-d.sent >= Window && !s.isAsked(d.home) && s.Hold(now, d.home) < d.tokens {
			return d.home, s.expiring(now, d.home)
		}
	}
	keep := 0
	if ahead := s.ahead(now); ahead > 0 || now-s.spentAt < Window {
		keep = 2*ahead + 1
	}
	surplus := s.Tokens(now) - keep
	for _, l := range s.lots {
		if l.tokens == 0 || now >= l.until || s.isAsked(l.home) {
			continue
		}
		if l.until-now < renewal {
			return l.home, s.expiring(now, l.home)
		}
		if surplus > 0 {
			return l.home, min(surplus, l.tokens)
		}
	}
	return "", 0
}

// expiring returns the tokens of a home that expire soon.
func (s Stock) expiring(now time.Duration, home string) int {
	n := 0
	for _, l := range s.lots {
		if l.home == home && now < l.until && l.until-now < renewal {
			n += l.tokens
		}
	}
	return n
}

// WithTake returns s with a LeaseRequest to a home in flight, and its row. Tokens that go back are debited here.
func (s Stock) WithTake(now time.Duration, home string, seq uint64, back, want, need int) (Stock, LeaseRow) {
	s = s.WithoutExpired(now)
	s.lots = slices.Clone(s.lots)
	slices.SortStableFunc(s.lots, func(a, b lot) int { return int((a.until - b.until) / time.Microsecond) })
	returned := 0
	for i, l := range s.lots {
		if l.home == home {
			n := min(l.tokens, back-returned)
			s.lots[i].tokens -= n
			returned += n
		}
	}
	s.asks = append(slices.Clone(s.asks), asked{home: home, seq: seq, want: want, sent: now})
	if i := slices.Index(s.homes, home); i >= 0 && want > 0 {
		s.next = (i + 1) % len(s.homes)
	}
	s = s.withDebt(debt{home: home, tokens: s.Hold(now, home), sent: now})
	return s, LeaseRow{Held: s.Hold(now, home), Returned: returned, Requested: want, Waiting: min(need, want)}
}

// WithGrant returns s with the tokens of a Grant. Their lease counts from the sending of the LeaseRequest.
// A Grant that answers no LeaseRequest in flight is a duplicate or late, and changes nothing.
func (s Stock) WithGrant(now time.Duration, home string, seq uint64, row GrantRow) Stock {
	i := slices.IndexFunc(s.asks, func(a asked) bool { return a.home == home && a.seq == seq })
	if i < 0 {
		return s
	}
	a := s.asks[i]
	s.asks = slices.Delete(slices.Clone(s.asks), i, i+1)
	if tokens := min(row.Tokens, a.want); tokens > 0 && now < a.sent+LeaseTerm {
		s = s.withLot(lot{home: home, tokens: tokens, until: a.sent + LeaseTerm})
		s = s.withDebt(debt{home: home, tokens: s.Hold(now, home), sent: a.sent})
	}
	if row.Tokens < a.want {
		s = s.withEmpty(pauseAt{home: home, until: now + max(row.RetryAfter, time.Millisecond), keeps: row.RetryAfter == 0 && row.Tokens > 0})
	}
	return s
}

// WithFailure returns s after a LeaseRequest was not answered; it may have reached the home.
func (s Stock) WithFailure(now time.Duration, home string, seq uint64) Stock {
	i := slices.IndexFunc(s.asks, func(a asked) bool { return a.home == home && a.seq == seq })
	if i < 0 {
		return s
	}
	s.asks = slices.Delete(slices.Clone(s.asks), i, i+1)
	return s.withEmpty(pauseAt{home: home, until: now + silence})
}

func (s Stock) withDebt(d debt) Stock {
	s.debts = slices.DeleteFunc(slices.Clone(s.debts), func(o debt) bool { return o.home == d.home })
	if d.tokens > 0 {
		s.debts = append(s.debts, d)
	}
	return s
}

func (s Stock) withEmpty(n pauseAt) Stock {
	s.empty = slices.DeleteFunc(slices.Clone(s.empty), func(p pauseAt) bool { return p.home == n.home })
	s.empty = append(s.empty, n)
	return s
}

// After returns the time until a home can be asked again.
func (s Stock) After(now time.Duration) time.Duration {
	if len(s.homes) == 0 {
		return time.Second
	}
	first := s.emptyUntil(s.homes[0])
	for _, home := range s.homes[1:] {
		first = min(first, s.emptyUntil(home))
	}
	return max(time.Millisecond, first-now)
}
