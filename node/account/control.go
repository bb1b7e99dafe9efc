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
	// tickEvery is the period in which tokens are returned and loans expire.
	tickEvery = 100 * time.Millisecond
	// sendTimeout bounds one LeaseRequest; a token that arrives later has lost a good part of its lease.
	sendTimeout = 500 * time.Millisecond
	// firstMint is the time in which a home that begins empty mints a token for each account of at least 1/s.
	firstMint = time.Second
	// waitTimeout bounds the time that a request waits for tokens.
	waitTimeout = 500 * time.Millisecond
)

// Limiter admits requests within the rate and burst of their accounts, and serves as a home of accounts.
type Limiter struct {
	// Send asks a home for tokens. It is called outside the control goroutine.
	Send func(ctx context.Context, home string, take LeaseRequest) (Grant, error)
	// MayRefill tells on the control goroutine whether this home may mint (see Ledger.Allow).
	MayRefill func(now time.Time) bool

	self    string
	loop    *loop.Loop
	now     func() time.Time
	start   time.Time
	book    *Book
	ledger  *Ledger
	waiters map[string][]chan Decision
	closed  bool // set on the control goroutine; no LeaseRequest is sent after it
	ctx     context.Context
	cancel  context.CancelFunc
	sends   sync.WaitGroup
	tick    *clock.Subscription
	lends   atomic.Bool
	// lendsFrom is when the wait after the start ended; the control goroutine owns it.
	lendsFrom time.Time
	overage   float64
	fleets    int64 // changes by SetHomes, which number the shares
	placed    []string
	accounts  []named
}

// NewLimiter returns a limiter of the node self, whose state lives on the given loop.
func NewLimiter(self string, l *loop.Loop, c *clock.Clock,
	send func(ctx context.Context, home string, take LeaseRequest) (Grant, error), mint func(now time.Time) bool,
) *Limiter {
	a := newLimiter(self, l, c, send, mint, NewBook(rand.Uint64()), NewLedger(self, 0))
	a.onTicks(c)
	return a
}

// newLimiter returns a limiter that is not yet told of the time.
func newLimiter(self string, l *loop.Loop, c *clock.Clock,
	send func(ctx context.Context, home string, take LeaseRequest) (Grant, error), mint func(now time.Time) bool,
	book *Book, ledger *Ledger,
) *Limiter {
	ctx, cancel := context.WithCancel(context.Background())
	return &Limiter{
		Send: send, MayRefill: mint, self: self, loop: l, now: c.Now, start: c.Now(),
		book: book, ledger: ledger, waiters: map[string][]chan Decision{},
		ctx: ctx, cancel: cancel,
	}
}

// onTicks subscribes the limiter to the timer service, once its state is complete.
func (a *Limiter) onTicks(c *clock.Clock) {
	a.tick = c.Subscribe(tickEvery, func(time.Time) { _ = a.loop.Post(a.ctx, a.onTick) })
}

// NewLimiterWithOverage returns a limiter whose homes follow from the fleet, by SetHomes, and mint the given part more than the rates
// and bursts, which leaves requests inside them unrefused when the tokens lie at the wrong homes.
func NewLimiterWithOverage(self string, l *loop.Loop, c *clock.Clock, overage float64,
	send func(ctx context.Context, home string, take LeaseRequest) (Grant, error),
) *Limiter {
	always := func(time.Time) bool { return true }
	a := newLimiter(self, l, c, send, always, NewLooseBook(rand.Uint64()), NewEagerLedger(self, 0))
	a.overage = overage
	a.onTicks(c)
	return a
}

// named is an account with its limit.
type named struct {
	account string
	limit   Limit
}

func limitsOf(t config.Tree) []named {
	accounts := t.Accounts()
	limits := make([]named, 0, len(accounts))
	for _, a := range accounts {
		limits = append(limits, named{account: a.Name, limit: Limit{Rate: a.Rate, Burst: a.Burst}})
	}
	return limits
}

// SetHomes adopts the homes of a fleet, or the accounts of another tree; it must be called on the control goroutine.
func (a *Limiter) SetHomes(now time.Time, t config.Tree, homes []string) {
	t = t.WithHomes(homes)
	accounts := limitsOf(t)
	if slices.Equal(homes, a.placed) && slices.Equal(accounts, a.accounts) {
		return // most versions change routes
	}
	a.placed, a.accounts = homes, accounts
	a.fleets++
	places := HomesOf(t)
	a.ledger.SetShares(a.since(now), NewShares(a.self, t, places).WithVersion(a.fleets).WithOverage(a.overage))
	a.book.SetHomes(places)
}

// since returns the monotonic time since the start.
func (a *Limiter) since(now time.Time) time.Duration { return now.Sub(a.start) }

// Close ends the ticks and the LeaseRequests in flight and waits for them; requests that wait are refused.
// It must be called before the loop is closed.
func (a *Limiter) Close() {
	a.cancel()
	a.tick.Close()
	_ = a.loop.Call(context.Background(), func(time.Time) {
		a.closed = true
		for account, waiting := range a.waiters {
			for _, w := range waiting {
				w <- Decision{}
			}
			delete(a.waiters, account)
		}
	})
	a.sends.Wait()
}

// SetConfig adopts a version; it must be called on the control goroutine, before the version is announced.
func (a *Limiter) SetConfig(now time.Time, t config.Tree) {
	places := HomesOf(t)
	a.ledger.SetShares(a.since(now), NewShares(a.self, t, places))
	a.book.SetHomes(places)
}

// SetHomeVersions adopts the versions known of other homes; it must be called on the control goroutine.
func (a *Limiter) SetHomeVersions(now time.Time, known map[string]int64) {
	a.ledger.SetKnown(a.since(now), known)
}

// CanGrant tells whether this node, if it is a home, has waited long enough after its start to have tokens to lend.
func (a *Limiter) CanGrant() bool { return a.lends.Load() }

// GrantLease serves a LeaseRequest as a home.
func (a *Limiter) GrantLease(ctx context.Context, take LeaseRequest) (Grant, error) {
	grants := make(chan Grant, 1)
	err := a.loop.Call(ctx, func(now time.Time) {
		a.ledger.Allow(a.since(now), a.MayRefill(now))
		grants <- a.ledger.Take(a.since(now), take)
	})
	if err != nil {
		return Grant{}, fmt.Errorf("account: serving a take: %w", err)
	}
	return <-grants, nil
}

// Permit is the permission for one request.
type Permit struct {
	limiter *Limiter
	account string
	token   Token
	once    *sync.Once
}

// Validate must be called immediately before a request is forwarded: after a pause of the process, the token
// may have expired and been minted again elsewhere.
func (p Permit) Validate() error {
	if p.token.Usable(p.limiter.since(p.limiter.now())) {
		return nil
	}
	return answer.NewNotExecuted(answer.CodeRate, "the token expired before the request was forwarded").WithRetryAfter(time.Millisecond)
}

// Refund returns the token of a request that did not run; it has no effect after the refund window or after Commit.
func (p Permit) Refund() {
	p.end(func(now time.Time) {
		p.limiter.book.Refund(p.limiter.since(now), p.account, p.token)
		p.limiter.resume(now, p.account)
	})
}

// Commit tells that the request ran or may have run, so that its token is not kept for a refund.
func (p Permit) Commit() {
	p.end(func(now time.Time) { p.limiter.book.Settle(p.limiter.since(now), p.account, p.token) })
}

func (p Permit) end(event loop.Event) {
	p.once.Do(func() { _ = p.limiter.loop.Post(p.limiter.ctx, event) })
}

// Acquire admits a request of the account, waits a bounded time for tokens, or returns an answer.Refusal.
func (a *Limiter) Acquire(ctx context.Context, account string) (Permit, error) {
	decided := make(chan Decision, 1)
	err := a.loop.Call(ctx, func(now time.Time) {
		if a.closed {
			decided <- Decision{}
			return
		}
		d, orders := a.book.Spend(a.since(now), account)
		if d.Verdict == Wait {
			a.waiters[account] = append(a.waiters[account], decided)
		} else {
			decided <- d
		}
		a.send(orders)
	})
	if err != nil {
		a.abandon(account, decided)
		return Permit{}, fmt.Errorf("account: spending: %w", err)
	}
	timer := time.NewTimer(waitTimeout)
	defer timer.Stop()
	select {
	case d := <-decided:
		return a.permit(account, d)
	case <-ctx.Done():
		err = fmt.Errorf("account: waiting for a token: %w", ctx.Err())
	case <-timer.C:
		err = refused(silence)
	}
	a.abandon(account, decided)
	return Permit{}, err
}

func (a *Limiter) permit(account string, d Decision) (Permit, error) {
	if d.Verdict != Admit && a.ctx.Err() != nil {
		return Permit{}, answer.NewNotExecuted(answer.CodeLeaving, "the node is shutting down")
	}
	if d.Verdict != Admit {
		return Permit{}, refused(d.After)
	}
	return Permit{limiter: a, account: account, token: d.Token, once: &sync.Once{}}, nil
}

func refused(after time.Duration) error {
	return answer.NewNotExecuted(answer.CodeRate, "the account is beyond its rate and burst").WithRetryAfter(after)
}

// abandon ends the waiting of a request that has left, and refunds a token that it may have received meanwhile.
func (a *Limiter) abandon(account string, decided chan Decision) {
	_ = a.loop.Post(a.ctx, func(now time.Time) {
		select {
		case d := <-decided:
			if d.Verdict == Admit {
				a.book.Refund(a.since(now), account, d.Token)
				a.resume(now, account)
			}
			return
		default:
		}
		waiting := a.waiters[account]
		for i, w := range waiting {
			if w == decided {
				a.waiters[account] = append(waiting[:i:i], waiting[i+1:]...)
				a.book.Leave(account)
			}
		}
		if len(a.waiters[account]) == 0 {
			delete(a.waiters, account)
		}
	})
}

// resume decides on the requests of an account that wait, the oldest first.
func (a *Limiter) resume(now time.Time, account string) {
	waiting := a.waiters[account]
	for len(waiting) > 0 {
		d := a.book.Resume(a.since(now), account)
		if d.Verdict == Wait {
			break
		}
		waiting[0] <- d
		waiting = waiting[1:]
	}
	if len(waiting) == 0 {
		delete(a.waiters, account)
		return
	}
	a.waiters[account] = waiting
}

// send runs on the control goroutine; each LeaseRequest is sent on its own goroutine and its outcome comes back as an event.
func (a *Limiter) send(orders []Order) {
	for _, o := range orders {
		if a.closed {
			return
		}
		a.sends.Add(1)
		go func() {
			defer a.sends.Done()
			ctx, cancel := context.WithTimeout(a.ctx, sendTimeout)
			defer cancel()
			grant, err := a.Send(ctx, o.Home, o.Take)
			if err != nil {
				grant = Grant{Seq: o.Take.Seq}
			}
			_ = a.loop.Post(a.ctx, func(now time.Time) {
				a.send(a.book.Grant(a.since(now), o.Home, grant))
				for _, row := range o.Take.Rows {
					a.resume(now, row.Account)
				}
			})
		}()
	}
}

func (a *Limiter) onTick(now time.Time) {
	a.ledger.Allow(a.since(now), a.MayRefill(now))
	a.ledger.Tick(a.since(now))
	if a.lendsFrom.IsZero() && a.ledger.Lends() {
		a.lendsFrom = now
	}
	a.lends.Store(!a.lendsFrom.IsZero() && now.Sub(a.lendsFrom) >= firstMint)
	a.send(a.book.Tick(a.since(now)))
}
