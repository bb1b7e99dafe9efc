package target

import (
	"slices"
	"time"
)

const (
	activeFor = time.Second // an account counts as active for this time after its last event
	// Accounts without requests are dropped beyond this number, longest idle first, so that the cost of an event is bounded.
	maxIdleAccounts = 16
)

// AdmissionRequest describes one request to the gate.
type AdmissionRequest struct {
	ID               uint64
	TargetName       string // name of the instance that must serve the request, empty for any
	Account          string
	Route            string
	Priority         Priority
	MaxWait          time.Duration // longest expected wait before the request goes on to another target, negative for no bound
	SoftDeadline     time.Time     // when the response is wanted, zero if not stated
	LatencyObjective time.Duration // from the arrival of the caller's request to the soft deadline, zero if not stated
	Deadline         time.Time
	RunID            string  // identity of its run, which the calls of the run name; empty if unknown
	Nested           bool    // a running request at another target made it
	AnnouncedRate    float64 // rate that the target has announced to the sender, zero for none
	Retried          bool    // an earlier attempt reached a target of the service
	CallsDraw        float64 // random number from 0 to 1 that decides whether the request is refused for its calls
}

// OverMaxWait reports whether an expected wait is too long, so that the request goes on to another target.
func (r AdmissionRequest) OverMaxWait(w time.Duration) bool { return r.MaxWait >= 0 && w > r.MaxWait }

// Late reports whether a request that starts at the given time misses its soft deadline; service returns the expected
// service time.
func (r AdmissionRequest) Late(start time.Time, service func(AdmissionRequest) time.Duration) bool {
	return !r.SoftDeadline.IsZero() && start.Add(service(r)).After(r.SoftDeadline)
}

type waiter struct {
	request AdmissionRequest
	arrived time.Time
}

// accountState is the state of an account in the queue.
type accountState struct {
	name        string
	virtualTime time.Duration // as in fair queueing: grows with the service time that the account uses
	running     int
	waiting     int
	lastActive  time.Time
}

// Queue orders waiting requests by priority, then those first that can still meet their soft deadline, then by the virtual
// time of their accounts, as in fair queueing, and then by arrival.
type Queue struct {
	waiters  []waiter // ordered by arrival
	accounts []accountState
	floor    time.Duration // highest virtual time at which a request started
}

// Len returns the number of waiting requests.
func (q Queue) Len() int { return len(q.waiters) }

func (q Queue) find(account string) int {
	for i := range q.accounts {
		if q.accounts[i].name == account {
			return i
		}
	}
	return -1
}

// clone returns a copy that the caller may modify until it shares it; accounts that are no longer active are dropped.
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

// account returns the state of an account for modification, adding it if needed; the queue must be a clone.
func (q *Queue) account(now time.Time, name string) *accountState {
	i := q.find(name)
	if i < 0 {
		q.accounts = append(q.accounts, accountState{name: name, virtualTime: q.floor})
		i = len(q.accounts) - 1
	}
	s := &q.accounts[i]
	// An account gets no credit for time in which it sent nothing, and its debt ends when it is no longer active.
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

// WithRequest returns the queue with one more waiting request.
func (q Queue) WithRequest(now time.Time, req AdmissionRequest) Queue {
	q = q.clone(now)
	q.add(now, req)
	return q
}

func (q *Queue) add(now time.Time, req AdmissionRequest) {
	q.account(now, req.Account).waiting++
	q.waiters = append(q.waiters, waiter{request: req, arrived: now})
}

// WithoutRequest returns the queue without a waiting request, and whether it was there.
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

// WithStart returns the queue after a request of the account started; cost is the expected service time.
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

// WithEnd returns the queue after a request of the account ended; correction is the time used less the expected cost.
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

// Contended reports whether another account has waiting or running requests or was active within the last second.
func (q Queue) Contended(now time.Time, account string) bool {
	for i := range q.accounts {
		s := &q.accounts[i]
		if s.name != account && (s.waiting > 0 || s.running > 0 || now.Sub(s.lastActive) < activeFor) {
			return true
		}
	}
	return false
}

// HasRoom reports whether the account may use one more slot of the limit.
func (q Queue) HasRoom(now time.Time, account string, limit int) bool {
	i := q.find(account)
	if i < 0 || q.accounts[i].running < maxSlotsPerAccount(limit) {
		return true
	}
	return !q.Contended(now, account)
}

// maxSlotsPerAccount returns the slots that one account may use while others are active: three quarters of the limit.
// It rounds up, because below four slots a reserved slot would cost a third of the target's capacity or more.
func maxSlotsPerAccount(limit int) int {
	return (3*limit + 3) / 4
}

// Next returns the request to start next under the limit. Only requests of the highest priority are eligible, and of these
// only the ones that can still meet their soft deadline, if there are any; the account with the lowest virtual time is
// served first.
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

// nextPriority returns the priority to serve next, and whether all its requests are late; any is false if none may start.
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

// Ahead returns the number of requests that start before a new one, if all accounts of its priority take equal turns.
func (q Queue) Ahead(req AdmissionRequest) int {
	own := 0
	n := 0
	var waiting map[string]int // allocated only for other accounts, since each load report counts
	for _, w := range q.waiters {
		switch {
		case w.request.Priority.Before(req.Priority):
			n++
		case req.Priority.Before(w.request.Priority):
		case w.request.Account == req.Account:
			own++
		default:
			if waiting == nil {
				waiting = map[string]int{}
			}
			waiting[w.request.Account]++
		}
	}
	for _, other := range waiting {
		n += min(other, own+1)
	}
	return n + own
}

// Displaced returns the waiting request that is removed for a new one when the queue is full: the youngest of the lowest
// priority if that is below the new one's; otherwise the youngest with the new one's priority of the account with the most
// waiting requests, if that account has at least two more than the new one's.
func (q Queue) Displaced(req AdmissionRequest) (AdmissionRequest, bool) {
	lowest := -1
	for i, w := range q.waiters {
		if req.Priority.Before(w.request.Priority) && (lowest < 0 || !w.request.Priority.Before(q.waiters[lowest].request.Priority)) {
			lowest = i
		}
	}
	if lowest >= 0 {
		return q.waiters[lowest].request, true
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
