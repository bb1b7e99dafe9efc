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

// AdmissionRequest stands for one request at the gate.
type AdmissionRequest struct {
	ID               uint64
	Target           string // that the request is meant for, empty for any
	Account          string
	Route            string
	Priority         Priority
	MaxWait          time.Duration // longest expected wait here before the request goes on to another target, negative for any
	SoftDeadline     time.Time     // the response is wanted by then, zero if nothing is stated
	LatencyObjective time.Duration // the time from the caller's request to its aim, zero likewise
	Deadline         time.Time
}

// MovesOn tells whether the request goes on to another target instead of waiting for the given time.
func (t AdmissionRequest) MovesOn(wait time.Duration) bool { return t.MaxWait >= 0 && wait > t.MaxWait }

// Late tells whether a request that starts at the given time is answered after its aim; service returns how long a
// request runs.
func (t AdmissionRequest) Late(start time.Time, service func(AdmissionRequest) time.Duration) bool {
	return !t.SoftDeadline.IsZero() && start.Add(service(t)).After(t.SoftDeadline)
}

type waiter struct {
	request AdmissionRequest
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
func (q Queue) WithTicket(now time.Time, t AdmissionRequest) Queue {
	q = q.clone(now)
	q.add(now, t)
	return q
}

func (q *Queue) add(now time.Time, t AdmissionRequest) {
	q.share(now, t.Account).waiting++
	q.waiters = append(q.waiters, waiter{request: t, arrived: now})
}

// WithoutTicket returns the queue without a waiting ticket, and whether it was there.
func (q Queue) WithoutTicket(now time.Time, id uint64) (Queue, bool) {
	q = q.clone(now)
	ok := q.remove(now, id)
	return q, ok
}

func (q *Queue) remove(now time.Time, id uint64) bool {
	at := slices.IndexFunc(q.waiters, func(w waiter) bool { return w.request.ID == id })
	if at < 0 {
		return false
	}
	q.share(now, q.waiters[at].request.Account).waiting--
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

// Next returns the ticket to start next under the limit: of the most urgent rank, of those that can still meet their
// aim, of the account that was served least.
func (q Queue) Next(now time.Time, limit int, service func(AdmissionRequest) time.Duration) (AdmissionRequest, bool) {
	rank, late, any := q.class(now, limit, service)
	if !any {
		return AdmissionRequest{}, false
	}
	in := func(w waiter) bool { return w.request.Priority == rank && w.request.Late(now, service) == late }
	best, first := -1, -1
	for i := range q.shares {
		s := &q.shares[i]
		if s.waiting == 0 || (best >= 0 && s.served > q.shares[best].served) || !q.Room(now, s.account, limit) {
			continue
		}
		at := slices.IndexFunc(q.waiters, func(w waiter) bool { return w.request.Account == s.account && in(w) })
		if at < 0 {
			continue
		}
		if best < 0 || s.served < q.shares[best].served || at < first {
			best, first = i, at
		}
	}
	if best < 0 {
		return AdmissionRequest{}, false
	}
	return q.waiters[first].request, true
}

// class returns the rank that is served next, and whether all its tickets are late; false if none may start.
func (q Queue) class(now time.Time, limit int, service func(AdmissionRequest) time.Duration) (rank Priority, late, any bool) {
	for _, w := range q.waiters {
		t := w.request
		if any && rank.Before(t.Priority) {
			continue
		}
		if !q.Room(now, t.Account, limit) {
			continue
		}
		tardy := t.Late(now, service)
		if !any || t.Priority.Before(rank) {
			rank, late, any = t.Priority, tardy, true
		}
		late = late && tardy
	}
	return rank, late, any
}

// Ahead returns the number of tickets that start before a new one, if all accounts of its rank get equal turns.
func (q Queue) Ahead(t AdmissionRequest) int {
	own := 0
	n := 0
	waiting := map[string]int{}
	for _, w := range q.waiters {
		switch {
		case w.request.Priority.Before(t.Priority):
			n++
		case t.Priority.Before(w.request.Priority):
		case w.request.Account == t.Account:
			own++
		default:
			waiting[w.request.Account]++
		}
	}
	for _, other := range waiting {
		n += min(other, own+1)
	}
	return n + own
}

// Displaced returns the waiting ticket that gives way to a new one when the queue is full: the youngest of the least
// urgent rank if that is less urgent than the new one's, otherwise the youngest of the account with most waiting tickets,
// if that has at least two more than the new one's.
func (q Queue) Displaced(t AdmissionRequest) (AdmissionRequest, bool) {
	least := -1
	for i, w := range q.waiters {
		if t.Priority.Before(w.request.Priority) && (least < 0 || !w.request.Priority.Before(q.waiters[least].request.Priority)) {
			least = i
		}
	}
	if least >= 0 {
		return q.waiters[least].request, true
	}
	own, most := 0, -1
	for i := range q.shares {
		if q.shares[i].account == t.Account {
			own = q.shares[i].waiting
		}
		if most < 0 || q.shares[i].waiting > q.shares[most].waiting {
			most = i
		}
	}
	if most < 0 || q.shares[most].waiting < own+2 {
		return AdmissionRequest{}, false
	}
	for i := len(q.waiters) - 1; i >= 0; i-- {
		if w := q.waiters[i].request; w.Account == q.shares[most].account && w.Priority == t.Priority {
			return w, true
		}
	}
	return AdmissionRequest{}, false
}
