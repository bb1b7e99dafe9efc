package account

import (
	"slices"
	"time"
)

// maxWaiting bounds the requests of one account that wait for tokens at one node.
const maxWaiting = 1024

// Verdict states whether a request is admitted.
type Verdict int

// Verdicts on a request.
const (
	Refuse Verdict = iota
	Admit
	Wait
)

// Decision is the outcome of Acquire or Resume: a token, or a time after which to retry.
type Decision struct {
	Verdict    Verdict
	Token      Token
	RetryAfter time.Duration
}

// OutgoingRequest is a LeaseRequest to send to a home.
type OutgoingRequest struct {
	Home    string
	Request LeaseRequest
}

// Borrower holds the tokens that a node has borrowed, by account. The control goroutine owns it.
type Borrower struct {
	overage  bool // overage mode: spent tokens are not reported to homes
	session  uint64
	seq      uint64
	homes    map[string][]string
	pools    map[string]TokenPool
	waiting  map[string]int
	inFlight map[uint64][]string // accounts of each LeaseRequest in flight
}

// NewBorrower returns a borrower without tokens; session must differ for each start of the process.
func NewBorrower(session uint64) *Borrower {
	return &Borrower{
		session: session, homes: map[string][]string{}, pools: map[string]TokenPool{},
		waiting: map[string]int{}, inFlight: map[uint64][]string{},
	}
}

// NewOverageBorrower returns a borrower of homes in overage mode (see NewOverageLender).
func NewOverageBorrower(session uint64) *Borrower {
	b := NewBorrower(session)
	b.overage = true
	return b
}

// SetHomes sets the homes of each account. Tick returns the tokens of accounts that are no longer listed.
func (b *Borrower) SetHomes(homes map[string][]string) {
	b.homes = homes
	for name, p := range b.pools {
		if !slices.Equal(p.homes, homes[name]) {
			b.pools[name] = p.WithHomes(homes[name])
		}
	}
}

func (b *Borrower) pool(now time.Duration, account string) TokenPool {
	p, ok := b.pools[account]
	if !ok {
		return NewTokenPool(b.homes[account], int(b.session%1024))
	}
	return p.WithoutExpired(now)
}

// Acquire admits a request if a token is available, lets it wait for a Grant, or refuses it because too many requests wait or
// no home has tokens.
func (b *Borrower) Acquire(now time.Duration, account string) (Decision, []OutgoingRequest) {
	p := b.pool(now, account).WithDemand(now)
	p, token, ok := p.WithSpent(now)
	b.pools[account] = p
	if ok {
		return Decision{Verdict: Admit, Token: token}, b.nextRequests(now, account)
	}
	if b.waiting[account] >= maxWaiting {
		return Decision{RetryAfter: p.RetryAfter(now)}, nil
	}
	b.waiting[account]++
	reqs := b.nextRequests(now, account)
	if !b.pools[account].HasPending() {
		b.CancelWait(account)
		return Decision{RetryAfter: p.RetryAfter(now)}, nil
	}
	return Decision{Verdict: Wait}, reqs
}

// Resume decides again on a waiting request, which waits on while a LeaseRequest of the account is in flight.
func (b *Borrower) Resume(now time.Duration, account string) Decision {
	p := b.pool(now, account)
	p, token, ok := p.WithSpent(now)
	b.pools[account] = p
	switch {
	case ok:
		b.CancelWait(account)
		return Decision{Verdict: Admit, Token: token}
	case p.HasPending():
		return Decision{Verdict: Wait}
	}
	b.CancelWait(account)
	return Decision{RetryAfter: p.RetryAfter(now)}
}

// CancelWait removes one request from the count of waiting ones.
func (b *Borrower) CancelWait(account string) {
	if b.waiting[account] <= 1 {
		delete(b.waiting, account)
		return
	}
	b.waiting[account]--
}

// Refund returns the token of a request that did not run.
func (b *Borrower) Refund(now time.Duration, account string, t Token) {
	b.pools[account] = b.pool(now, account).WithRefund(now, t)
}

// Commit discards the token of a request that ran, which can no longer be refunded.
func (b *Borrower) Commit(now time.Duration, account string, t Token) {
	b.pools[account], _ = b.pool(now, account).WithCommitted(now, t)
}

// Grant adds the tokens of a Grant and returns the LeaseRequests to send next.
func (b *Borrower) Grant(now time.Duration, home string, g Grant) []OutgoingRequest {
	var reqs []OutgoingRequest
	names := b.inFlight[g.Seq]
	delete(b.inFlight, g.Seq)
	for _, row := range g.Rows {
		if slices.Contains(names, row.Account) {
			b.pools[row.Account] = b.pool(now, row.Account).WithGrant(now, home, g.Seq, row)
		}
	}
	for _, name := range names {
		// An account without a row in the Grant counts as not answered.
		b.pools[name] = b.pools[name].WithFailure(now, home, g.Seq)
		reqs = append(reqs, b.nextRequests(now, name)...)
	}
	return reqs
}

// Fail records that a LeaseRequest was not answered and returns the LeaseRequests to send next.
func (b *Borrower) Fail(now time.Duration, home string, seq uint64) []OutgoingRequest {
	return b.Grant(now, home, Grant{Seq: seq})
}

// nextRequests returns the LeaseRequests to send for the account now.
func (b *Borrower) nextRequests(now time.Duration, account string) []OutgoingRequest {
	var reqs []OutgoingRequest
	for {
		p := b.pools[account]
		waiting := b.waiting[account]
		home, tokens := p.NextRequest(now, waiting)
		if home == "" {
			return reqs
		}
		b.seq++
		p, row := p.WithRequest(now, home, b.seq, 0, tokens, waiting)
		row.Account = account
		b.pools[account] = p
		b.inFlight[b.seq] = []string{account}
		reqs = append(reqs, OutgoingRequest{Home: home, Request: LeaseRequest{Session: b.session, Seq: b.seq, Rows: []LeaseRequestRow{row}}})
	}
}

// Tick returns unused tokens, renews those that expire soon, drops idle pools, and requests tokens for waiting requests.
// Returns and renewals of all accounts share one LeaseRequest per home.
func (b *Borrower) Tick(now time.Duration) []OutgoingRequest {
	reqsByHome := map[string]OutgoingRequest{}
	var homes []string
	for account := range b.pools {
		p := b.pool(now, account)
		if p.IsIdle(now) && b.waiting[account] == 0 {
			delete(b.pools, account)
			continue
		}
		for {
			home, tokens := p.NextReturn(now, b.overage)
			if home == "" {
				break
			}
			o, ok := reqsByHome[home]
			if !ok {
				b.seq++
				o = OutgoingRequest{Home: home, Request: LeaseRequest{Session: b.session, Seq: b.seq}}
				homes = append(homes, home)
			}
			var row LeaseRequestRow
			p, row = p.WithRequest(now, home, o.Request.Seq, tokens, max(0, p.prefetch(now)-p.Tokens(now)-p.incoming(now)+tokens), 0)
			row.Account = account
			o.Request.Rows = append(o.Request.Rows, row)
			reqsByHome[home] = o
			b.inFlight[o.Request.Seq] = append(b.inFlight[o.Request.Seq], account)
		}
		b.pools[account] = p
	}
	slices.Sort(homes)
	var reqs []OutgoingRequest
	for account := range b.waiting {
		reqs = append(reqs, b.nextRequests(now, account)...)
	}
	for _, home := range homes {
		reqs = append(reqs, reqsByHome[home])
	}
	return reqs
}
