package target

import (
	"slices"
	"time"
)

const (
	activeFor = time.Second // an account counts as active for this long after its last event
	// Idle accounts beyond this number are dropped, oldest first, so that the cost of an event is bounded.
	idleAccounts = 16
)

// Ticket stands for one request at the gate.
type Ticket struct {
	ID       uint64
	Account  string
	Deadline time.Time
}

type waiter struct {
	ticket  Ticket
	arrived time.Time
}

type share struct {
	account string
	served  time.Duration // virtual time: service time that the account has used
	running int
	waiting int
	active  time.Time
}

// Queue orders waiting tickets by the least served time of their accounts, and by arrival within an account.
type Queue struct {
	waiters []waiter // by arrival
	shares  []share
	floor   time.Duration // virtual time of the last start
}

// Len returns the number of waiting tickets.
func (q Queue) Len() int { return len(q.waiters) }

func (q Queue) find(account string) int {
	for i := range q.shares {
		if q.shares[i].account == account {
			return i
		}
	}
	return -1
}

// clone returns a copy that its caller may change until it hands it on; accounts that became idle are dropped.
func (q Queue) clone(now time.Time) Queue {
	shares := make([]share, 0, len(q.shares)+2)
	idle, oldest := 0, -1
	for i := range q.shares {
		s := &q.shares[i]
		if s.running == 0 && s.waiting == 0 {
			if now.Sub(s.active) >= activeFor {
				continue
			}
			idle++
			if oldest < 0 || s.active.Before(shares[oldest].active) {
				oldest = len(shares)
			}
		}
		shares = append(shares, *s)
	}
	if idle > idleAccounts {
		shares = slices.Delete(shares, oldest, oldest+1)
	}
	waiters := make([]waiter, len(q.waiters), len(q.waiters)+2)
	copy(waiters, q.waiters)
	q.shares, q.waiters = shares, waiters
	return q
}

// share returns the account's share for changes; only for clones.
func (q *Queue) share(now time.Time, account string) *share {
	i := q.find(account)
	if i < 0 {
		q.shares = append(q.shares, share{account: account, served: q.floor})
		i = len(q.shares) - 1
	}
	s := &q.shares[i]
	// An account gets no credit for the time in which it sent nothing, and its debt ends when it counts as idle.
	if s.running == 0 && s.waiting == 0 {
		if now.Sub(s.active) >= activeFor {
			s.served = q.floor
		}
		s.served = max(s.served, q.floor)
	}
	s.active = now
	return s
}

// WithSeen returns the queue after a request of the account was refused, which counts as activity.
func (q Queue) WithSeen(now time.Time, account string) Queue {
	q = q.clone(now)
	q.share(now, account)
	return q
}

// WithTicket returns the queue with one more waiting ticket.
func (q Queue) WithTicket(now time.Time, t Ticket) Queue {
	q = q.clone(now)
	q.add(now, t)
	return q
}

func (q *Queue) add(now time.Time, t Ticket) {
	q.share(now, t.Account).waiting++
	q.waiters = append(q.waiters, waiter{ticket: t, arrived: now})
}

// WithoutTicket returns the queue without a waiting ticket, and whether it was there.
func (q Queue) WithoutTicket(now time.Time, id uint64) (Queue, bool) {
	q = q.clone(now)
	ok := q.remove(now, id)
	return q, ok
}

func (q *Queue) remove(now time.Time, id uint64) bool {
	at := slices.IndexFunc(q.waiters, func(w waiter) bool { return w.ticket.ID == id })
	if at < 0 {
		return false
	}
	q.share(now, q.waiters[at].ticket.Account).waiting--
	q.waiters = slices.Delete(q.waiters, at, at+1)
	return true
}

// WithStart returns the queue after a ticket of the account started; cost is the expected service time.
func (q Queue) WithStart(now time.Time, account string, cost time.Duration) Queue {
	q = q.clone(now)
	q.begin(now, account, cost)
	return q
}

func (q *Queue) begin(now time.Time, account string, cost time.Duration) {
	s := q.share(now, account)
	q.floor = max(q.floor, s.served)
	s.running++
	s.served += cost
}

// WithEnd returns the queue after a ticket of the account ended; correction is the used time less the expected cost.
func (q Queue) WithEnd(now time.Time, account string, correction time.Duration) Queue {
	q = q.clone(now)
	q.end(now, account, correction)
	return q
}

func (q *Queue) end(now time.Time, account string, correction time.Duration) {
	s := q.share(now, account)
	s.running--
	s.served += correction
}

// Contended tells whether an account besides the given one waits, runs, or was active within the last second.
func (q Queue) Contended(now time.Time, account string) bool {
	for i := range q.shares {
		s := &q.shares[i]
		if s.account != account && (s.waiting > 0 || s.running > 0 || now.Sub(s.active) < activeFor) {
			return true
		}
	}
	return false
}

// Room tells whether the account may hold one more of the limit's slots.
func (q Queue) Room(now time.Time, account string, limit int) bool {
	i := q.find(account)
	if i < 0 || q.shares[i].running < shareOf(limit) {
		return true
	}
	return !q.Contended(now, account)
}

// shareOf returns the slots that one account may hold while others are active.
// It rounds up: below four slots nothing can be reserved without halving the target's use.
func shareOf(limit int) int {
	return (3*limit + 3) / 4
}

// Next returns the ticket to start next under the limit.
func (q Queue) Next(now time.Time, limit int) (Ticket, bool) {
	best := -1
	for i := range q.shares {
		s := &q.shares[i]
		if s.waiting == 0 || (best >= 0 && s.served > q.shares[best].served) || !q.Room(now, s.account, limit) {
			continue
		}
		if best < 0 || s.served < q.shares[best].served || q.first(s.account) < q.first(q.shares[best].account) {
			best = i
		}
	}
	if best < 0 {
		return Ticket{}, false
	}
	return q.waiters[q.first(q.shares[best].account)].ticket, true
}

func (q Queue) first(account string) int {
	return slices.IndexFunc(q.waiters, func(w waiter) bool { return w.ticket.Account == account })
}

// Ahead returns the number of tickets that start before a new one of the account, if all accounts get equal turns.
func (q Queue) Ahead(account string) int {
	own := 0
	if i := q.find(account); i >= 0 {
		own = q.shares[i].waiting
	}
	n := 0
	for i := range q.shares {
		n += min(q.shares[i].waiting, own+1)
	}
	return n
}

// Displaced returns the waiting ticket that gives way to a new one of the account when the queue is full:
// the youngest of the account with most waiting tickets, if that has at least two more than the new one's.
func (q Queue) Displaced(account string) (Ticket, bool) {
	own, most := 0, -1
	for i := range q.shares {
		if q.shares[i].account == account {
			own = q.shares[i].waiting
		}
		if most < 0 || q.shares[i].waiting > q.shares[most].waiting {
			most = i
		}
	}
	if most < 0 || q.shares[most].waiting < own+2 {
		return Ticket{}, false
	}
	for i := len(q.waiters) - 1; i >= 0; i-- {
		if q.waiters[i].ticket.Account == q.shares[most].account {
			return q.waiters[i].ticket, true
		}
	}
	return Ticket{}, false
}
