package account

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/loop"
)

const (
	// tickInterval is the interval at which tokens are returned and expired leases dropped.
	tickInterval = 100 * time.Millisecond
	// leaseRequestTimeout bounds one LeaseRequest; a token that arrives later has lost a quarter of its lease.
	leaseRequestTimeout = 500 * time.Millisecond
	// firstRefillTime is how long an empty home takes to refill one token of each account whose share is at least 1/s.
	firstRefillTime = time.Second
	// waitTimeout bounds the time that a request waits for tokens.
	waitTimeout = 500 * time.Millisecond
)

// Limiter admits requests within the rate and burst of their accounts, and serves as a home of accounts.
type Limiter struct {
	// Send sends a LeaseRequest to a home. It is called outside the control goroutine.
	Send func(ctx context.Context, home string, req LeaseRequest) (Grant, error)
	// MayRefill reports whether this home may refill (see Lender.SetMayRefill). It is called on the control goroutine.
	MayRefill func(now time.Time) bool

	self     string
	loop     *loop.Loop
	now      func() time.Time
	start    time.Time
	borrower *Borrower
	lender   *Lender
	waiters  map[string][]chan Decision
	closed   bool // set on the control goroutine; no LeaseRequest is sent after it
	ctx      context.Context
	cancel   context.CancelFunc
	sends    sync.WaitGroup
	tick     *clock.Subscription
	canGrant atomic.Bool
	// mayLendSince is when the lender's wait after the start ended; the control goroutine owns it.
	mayLendSince  time.Time
	overage       Overage
	sharesVersion int64 // incremented for each change of the shares
	tree          config.Tree
	membership    Membership
	limits        []accountLimit
	placement     Placement // on the listed nodes
}

// NewLimiter returns the limiter of the node self, whose state is owned by the given loop.
func NewLimiter(self string, l *loop.Loop, c *clock.Clock,
	send func(ctx context.Context, home string, req LeaseRequest) (Grant, error), mayRefill func(now time.Time) bool,
) *Limiter {
	limiter := newLimiter(self, l, c, send, mayRefill, NewBorrower(rand.Uint64()), NewLender(self, 0))
	limiter.subscribe(c)
	return limiter
}

// newLimiter returns a limiter that does not receive ticks yet.
func newLimiter(self string, l *loop.Loop, c *clock.Clock,
	send func(ctx context.Context, home string, req LeaseRequest) (Grant, error), mayRefill func(now time.Time) bool,
	borrower *Borrower, lender *Lender,
) *Limiter {
	ctx, cancel := context.WithCancel(context.Background())
	return &Limiter{
		Send: send, MayRefill: mayRefill, self: self, loop: l, now: c.Now, start: c.Now(),
		borrower: borrower, lender: lender, waiters: map[string][]chan Decision{},
		ctx: ctx, cancel: cancel,
	}
}

// subscribe starts the ticks; the state of the limiter must be complete.
func (l *Limiter) subscribe(c *clock.Clock) {
	l.tick = c.Subscribe(tickInterval, func(time.Time) { _ = l.loop.Post(l.ctx, l.onTick) })
}

// NewLimiterWithOverage returns a limiter whose homes are set by SetHomes and refill more than the rates and bursts, so that requests
// within the configured limits are not refused when the tokens are at other homes.
func NewLimiterWithOverage(self string, l *loop.Loop, c *clock.Clock, overage Overage,
	send func(ctx context.Context, home string, req LeaseRequest) (Grant, error),
) *Limiter {
	always := func(time.Time) bool { return true }
	limiter := newLimiter(self, l, c, send, always, NewOverageBorrower(rand.Uint64()), NewOverageLender(self, 0))
	limiter.overage = overage
	limiter.subscribe(c)
	return limiter
}

// accountLimit is the limit of an account.
type accountLimit struct {
	account string
	limit   Limit
}

func limitsOf(t config.Tree) []accountLimit {
	accounts := t.Accounts()
	limits := make([]accountLimit, 0, len(accounts))
	for _, a := range accounts {
		limits = append(limits, accountLimit{account: a.Name, limit: Limit{Rate: a.Rate, Burst: a.Burst}})
	}
	return limits
}

// SetHomes sets the listed nodes, those of them that have announced that they leave, and the accounts of a tree; it must be called on the
// control goroutine.
func (l *Limiter) SetHomes(now time.Time, t config.Tree, listed, leaving []string) {
	limits := limitsOf(t)
	m := l.membership.WithList(l.elapsed(now), listed, leaving)
	unchanged := slices.Equal(m.Listed(), l.membership.Listed()) && slices.Equal(limits, l.limits)
	l.tree, l.limits, l.membership = t, limits, m
	if !unchanged { // most versions change only routes
		l.updateShares(now)
	}
}

// updateShares computes the shares of the accounts that this node lends as a home, and the homes from which it borrows.
func (l *Limiter) updateShares(now time.Time) {
	t := l.tree.WithHomes(l.membership.Listed())
	l.placement = l.placement.WithTree(t)
	byAccount := l.placement.Homes()
	var parts map[string]float64
	if l.membership.HasAbsent() {
		all := l.placement.WithTree(t.WithHomes(l.membership.All()))
		parts = l.membership.Parts(t, all.Homes(), l.overage)
	}
	l.sharesVersion++
	shares := NewShares(l.self, t, byAccount).WithVersion(l.sharesVersion)
	l.lender.SetShares(l.elapsed(now), shares.WithParts(parts).WithOverage(l.overage.Refilled))
	l.borrower.SetHomes(byAccount)
}

// elapsed returns the monotonic time since the start.
func (l *Limiter) elapsed(now time.Time) time.Duration { return now.Sub(l.start) }

// Close stops the ticks, cancels the LeaseRequests in flight and waits for them; waiting requests are refused.
// It must be called before the loop is closed.
func (l *Limiter) Close() {
	l.cancel()
	l.tick.Close()
	_ = l.loop.Call(context.Background(), func(time.Time) {
		l.closed = true
		for account, waiting := range l.waiters {
			for _, w := range waiting {
				w <- Decision{}
			}
			delete(l.waiters, account)
		}
	})
	l.sends.Wait()
}

// SetTree adopts a configuration version; it must be called on the control goroutine, before the version is announced.
func (l *Limiter) SetTree(now time.Time, t config.Tree) {
	byAccount := HomesOf(t)
	l.lender.SetShares(l.elapsed(now), NewShares(l.self, t, byAccount))
	l.borrower.SetHomes(byAccount)
}

// SetHomeVersions updates the versions that other homes hold; it must be called on the control goroutine.
func (l *Limiter) SetHomeVersions(now time.Time, known map[string]int64) {
	l.lender.SetHomeVersions(l.elapsed(now), known)
}

// CanGrant reports whether this node, if it is a home, has refilled long enough since its start to have tokens to lend.
func (l *Limiter) CanGrant() bool { return l.canGrant.Load() }

// GrantLease answers a LeaseRequest as a home.
func (l *Limiter) GrantLease(ctx context.Context, req LeaseRequest) (Grant, error) {
	grants := make(chan Grant, 1)
	err := l.loop.Call(ctx, func(now time.Time) {
		l.lender.SetMayRefill(l.elapsed(now), l.MayRefill(now))
		grants <- l.lender.Grant(l.elapsed(now), req)
	})
	if err != nil {
		return Grant{}, fmt.Errorf("account: granting a lease: %w", err)
	}
	return <-grants, nil
}

// Permit allows one request to be forwarded.
type Permit struct {
	limiter *Limiter
	account string
	token   Token
	once    *sync.Once
}

// Validate must be called immediately before a request is forwarded: after a pause of the process, the token
// may have expired and been refilled at its home.
func (p Permit) Validate() error {
	if p.token.Usable(p.limiter.elapsed(p.limiter.now())) {
		return nil
	}
	return answer.NewNotExecuted(answer.CodeRate, "the token expired before the request was forwarded").WithRetryAfter(time.Millisecond)
}

// Refund returns the token of a request that did not run; it has no effect after the refund window or after Commit.
func (p Permit) Refund() {
	p.finish(func(now time.Time) {
		p.limiter.borrower.Refund(p.limiter.elapsed(now), p.account, p.token)
		p.limiter.resume(now, p.account)
	})
}

// Commit records that the request ran or may have run, so that its token is not kept for a refund.
func (p Permit) Commit() {
	p.finish(func(now time.Time) { p.limiter.borrower.Commit(p.limiter.elapsed(now), p.account, p.token) })
}

func (p Permit) finish(event loop.Event) {
	p.once.Do(func() { _ = p.limiter.loop.Post(p.limiter.ctx, event) })
}

// Acquire returns a permit for a request of the account. It waits for tokens up to waitTimeout and returns an answer.Refusal
// if there are none.
func (l *Limiter) Acquire(ctx context.Context, account string) (Permit, error) {
	decided := make(chan Decision, 1)
	err := l.loop.Call(ctx, func(now time.Time) {
		if l.closed {
			decided <- Decision{}
			return
		}
		d, reqs := l.borrower.Acquire(l.elapsed(now), account)
		if d.Verdict == Wait {
			l.waiters[account] = append(l.waiters[account], decided)
		} else {
			decided <- d
		}
		l.send(reqs)
	})
	if err != nil {
		l.abort(account, decided)
		return Permit{}, fmt.Errorf("account: acquiring a permit: %w", err)
	}
	timer := time.NewTimer(waitTimeout)
	defer timer.Stop()
	select {
	case d := <-decided:
		return l.newPermit(account, d)
	case <-ctx.Done():
		err = fmt.Errorf("account: waiting for a token: %w", ctx.Err())
	case <-timer.C:
		err = rateRefusal(failedHomeBackoff)
	}
	l.abort(account, decided)
	return Permit{}, err
}

func (l *Limiter) newPermit(account string, d Decision) (Permit, error) {
	if d.Verdict != Admit && l.ctx.Err() != nil {
		return Permit{}, answer.NewNotExecuted(answer.CodeLeaving, "the node is shutting down")
	}
	if d.Verdict != Admit {
		return Permit{}, rateRefusal(d.RetryAfter)
	}
	return Permit{limiter: l, account: account, token: d.Token, once: &sync.Once{}}, nil
}

func rateRefusal(after time.Duration) error {
	return answer.NewNotExecuted(answer.CodeRate, "the account is beyond its rate and burst").WithRetryAfter(after)
}

// abort ends the wait of a request whose caller has given up, and refunds a token that it may have received meanwhile.
func (l *Limiter) abort(account string, decided chan Decision) {
	_ = l.loop.Post(l.ctx, func(now time.Time) {
		select {
		case d := <-decided:
			if d.Verdict == Admit {
				l.borrower.Refund(l.elapsed(now), account, d.Token)
				l.resume(now, account)
			}
			return
		default:
		}
		waiting := l.waiters[account]
		for i, w := range waiting {
			if w == decided {
				l.waiters[account] = append(waiting[:i:i], waiting[i+1:]...)
				l.borrower.CancelWait(account)
			}
		}
		if len(l.waiters[account]) == 0 {
			delete(l.waiters, account)
		}
	})
}

// resume decides on the waiting requests of an account, the oldest first.
func (l *Limiter) resume(now time.Time, account string) {
	waiting := l.waiters[account]
	for len(waiting) > 0 {
		d := l.borrower.Resume(l.elapsed(now), account)
		if d.Verdict == Wait {
			break
		}
		waiting[0] <- d
		waiting = waiting[1:]
	}
	if len(waiting) == 0 {
		delete(l.waiters, account)
		return
	}
	l.waiters[account] = waiting
}

// send sends each LeaseRequest on its own goroutine, which posts the outcome to the control goroutine.
func (l *Limiter) send(reqs []OutgoingRequest) {
	for _, o := range reqs {
		if l.closed {
			return
		}
		l.sends.Add(1)
		go func() {
			defer l.sends.Done()
			ctx, cancel := context.WithTimeout(l.ctx, leaseRequestTimeout)
			defer cancel()
			grant, err := l.Send(ctx, o.Home, o.Request)
			if err != nil {
				grant = Grant{Seq: o.Request.Seq}
			}
			_ = l.loop.Post(l.ctx, func(now time.Time) {
				l.send(l.borrower.Grant(l.elapsed(now), o.Home, grant))
				for _, row := range o.Request.Rows {
					l.resume(now, row.Account)
				}
			})
		}()
	}
}

func (l *Limiter) onTick(now time.Time) {
	if m, changed := l.membership.WithoutGone(l.elapsed(now)); changed {
		l.membership = m
		l.updateShares(now)
	}
	l.lender.SetMayRefill(l.elapsed(now), l.MayRefill(now))
	l.lender.Tick(l.elapsed(now))
	if l.mayLendSince.IsZero() && l.lender.MayLend() {
		l.mayLendSince = now
	}
	l.canGrant.Store(!l.mayLendSince.IsZero() && now.Sub(l.mayLendSince) >= firstRefillTime)
	l.send(l.borrower.Tick(l.elapsed(now)))
}
