package target

import (
	"slices"
	"time"
)

const (
	activeFor = time.Second // an account counts as active for this long after its last event
	// Idle accounts beyond this number are dropped, oldest first, so that the cost of an event is bounded.
	maxIdleAccounts = 16
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

// OverMaxWait tells whether the request goes on to another target instead of waiting for the given time.
func (r AdmissionRequest) OverMaxWait(w time.Duration) bool { return r.MaxWait >= 0 && w > r.MaxWait }

// Late tells whether a request that starts at the given time is answered after its aim; service returns how long a
// request runs.
func (r AdmissionRequest) Late(start time.Time, service func(AdmissionRequest) time.Duration) bool {
	return !r.SoftDeadline.IsZero() && start.Add(service(r)).After(r.SoftDeadline)
}

type waiter struct {
	request AdmissionRequest
	arrived time.Time
}

type accountState struct {
	name        string
	virtualTime time.Duration // virtual time: service time that the account has used
	running     int
	waiting     int
	lastActive  time.Time
}

// Queue orders waiting tickets by the least served time of their accounts, and by arrival within an account.
type Queue struct {
	waiters  []waiter // by arrival
	accounts []accountState
	floor    time.Duration // virtual time of the last start
}

// Len returns the number of waiting tickets.
func (q Queue) Len() int { return len(q.waiters) }

func (q Queue) find(account string) int {
	for i := range q.accounts {
		if q.accounts[i].name == account {
			return i
		}
	}
	return -1
}

// clone returns a copy that its caller may change until it hands it on; accounts that became idle are dropped.
func (q Queue) clone(now time.Time) Queue {
	accounts := make([]accountState, 0, len(q.accounts)+2)
	idle, oldest := 0, -1
	for i := range q.accounts {
		s := &q.accounts[i]
		if s.running == 0 && s.waiting == 0 {
			if now.Sub(s.lastActive) >= activeFor {
				continue
			}
			idle++
			if oldest < 0 || s.lastActive.Before(accounts[oldest].lastActive) {
				oldest = len(accounts)
			}
		}
		accounts = append(accounts, *s)
	}
	if idle > maxIdleAccounts {
		accounts = slices.Delete(accounts, oldest, oldest+1)
	}
	waiters := make([]waiter, len(q.waiters), len(q.waiters)+2)
	copy(waiters, q.waiters)
	q.accounts, q.waiters = accounts, waiters
	return q
}

// accountState returns the account's share for changes; only for clones.
func (q *Queue) account(now time.Time, name string) *accountState {
	i := q.find(name)
	if i < 0 {
		q.accounts = append(q.accounts, accountState{name: name, virtualTime: q.floor})
		i = len(q.accounts) - 1
	}
	s := &q.accounts[i]
	// An account gets no credit for the time in which it sent nothing, and its debt ends when it counts as idle.
	if s.running == 0 && s.waiting == 0 {
		if now.Sub(s.lastActive) >= activeFor {
			s.virtualTime = q.floor
		}
		s.virtualTime = max(s.virtualTime, q.floor)
	}
	s.lastActive = now
	return s
}

// WithActivity returns the queue after a request of the account was refused, which counts as activity.
func (q Queue) WithActivity(now time.Time, account string) Queue {
	q = q.clone(now)
	q.account(now, account)
	return q
}

// WithRequest returns the queue with one more waiting ticket.
func (q Queue) WithRequest(now time.Time, req AdmissionRequest) Queue {
	q = q.clone(now)
	q.add(now, req)
	return q
}

func (q *Queue) add(now time.Time, req AdmissionRequest) {
	q.account(now, req.Account).waiting++
	q.waiters = append(q.waiters, waiter{request: req, arrived: now})
}

// WithoutRequest returns the queue without a waiting ticket, and whether it was there.
func (q Queue) WithoutRequest(now time.Time, id uint64) (Queue, bool) {
	q = q.clone(now)
	ok := q.remove(now, id)
	return q, ok
}

func (q *Queue) remove(now time.Time, id uint64) bool {
	at := slices.IndexFunc(q.waiters, func(w waiter) bool { return w.request.ID == id })
	if at < 0 {
		return false
	}
	q.account(now, q.waiters[at].request.Account).waiting--
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
	s := q.account(now, account)
	q.floor = max(q.floor, s.virtualTime)
	s.running++
	s.virtualTime += cost
}

// WithEnd returns the queue after a ticket of the account ended; correction is the used time less the expected cost.
func (q Queue) WithEnd(now time.Time, account string, correction time.Duration) Queue {
	q = q.clone(now)
	q.end(now, account, correction)
	return q
}

func (q *Queue) end(now time.Time, account string, correction time.Duration) {
	s := q.account(now, account)
	s.running--
	s.virtualTime += correction
}

// Contended tells whether an account besides the given one waits, runs, or was active within the last second.
func (q Queue) Contended(now time.Time, account string) bool {
	for i := range q.accounts {
		s := &q.accounts[i]
		if s.name != account && (s.waiting > 0 || s.running > 0 || now.Sub(s.lastActive) < activeFor) {
			return true
		}
	}
	return false
}

// HasRoom tells whether the account may hold one more of the limit's slots.
func (q Queue) HasRoom(now time.Time, account string, limit int) bool {
	i := q.find(account)
	if i < 0 || q.accounts[i].running < maxSlotsPerAccount(limit) {
		return true
	}
	return !q.Contended(now, account)
}

// maxSlotsPerAccount returns the slots that one account may hold while others are active.
// It rounds up: below four slots nothing can be reserved without halving the target's use.
func maxSlotsPerAccount(limit int) int {
	return (3*limit + 3) / 4
}

// Next returns the ticket to start next under the limit: of the most urgent rank, of those that can still meet their
// aim, of the account that was served least.
func (q Queue) Next(now time.Time, limit int, service func(AdmissionRequest) time.Duration) (AdmissionRequest, bool) {
	priority, late, any := q.nextPriority(now, limit, service)
	if !any {
		return AdmissionRequest{}, false
	}
	eligible := func(w waiter) bool { return w.request.Priority == priority && w.request.Late(now, service) == late }
	best, first := -1, -1
	for i := range q.accounts {
		s := &q.accounts[i]
		if s.waiting == 0 || (best >= 0 && s.virtualTime > q.accounts[best].virtualTime) || !q.HasRoom(now, s.name, limit) {
			continue
		}
		at := slices.IndexFunc(q.waiters, func(w waiter) bool { return w.request.Account == s.name && eligible(w) })
		if at < 0 {
			continue
		}
		if best < 0 || s.virtualTime < q.accounts[best].virtualTime || at < first {
			best, first = i, at
		}
	}
	if best < 0 {
		return AdmissionRequest{}, false
	}
	return q.waiters[first].request, true
}

// nextPriority returns the rank that is served next, and whether all its tickets are late; false if none may start.
func (q Queue) nextPriority(now time.Time, limit int, service func(AdmissionRequest) time.Duration) (priority Priority, late, any bool) {
	for _, w := range q.waiters {
		req := w.request
		if any && priority.Before(req.Priority) {
			continue
		}
		if !q.HasRoom(now, req.Account, limit) {
			continue
		}
		misses := req.Late(now, service)
		if !any || req.Priority.Before(priority) {
			priority, late, any = req.Priority, misses, true
		}
		late = late && misses
	}
	return priority, late, any
}

// Ahead returns the number of tickets that start before a new one, if all accounts of its rank get equal turns.
func (q Queue) Ahead(req AdmissionRequest) int {
	own := 0
	n := 0
	waiting := map[string]int{}
	for _, w := range q.waiters {
		switch {
		case w.request.Priority.Before(req.Priority):
			n++
		case req.Priority.Before(w.request.Priority):
		case w.request.Account == req.Account:
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
func (q Queue) Displaced(req AdmissionRequest) (AdmissionRequest, bool) {
	least := -1
	for i, w := range q.waiters {
		if req.Priority.Before(w.request.Priority) && (least < 0 || !w.request.Priority.Before(q.waiters[least].request.Priority)) {
			least = i
		}
	}
	if least >= 0 {
		return q.waiters[least].request, true
	}
	own, most := 0, -1
	for i := range q.accounts {
		if q.accounts[i].name == req.Account {
			own = q.accounts[i].waiting
		}
		if most < 0 || q.accounts[i].waiting > q.accounts[most].waiting {
			most = i
		}
	}
	if most < 0 || q.accounts[most].waiting < own+2 {
		return AdmissionRequest{}, false
	}
	for i := len(q.waiters) - 1; i >= 0; i-- {
		if w := q.waiters[i].request; w.Account == q.accounts[most].name && w.Priority == req.Priority {
			return w, true
		}
	}
	return AdmissionRequest{}, false
}
