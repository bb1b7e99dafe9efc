package target

import (
	"fmt"
	"time"
)

const (
	// MaxRankWaits bounds the ranks of which a gate reports the expected wait. A service of the largest deployment has three.
	MaxRankWaits = 4
	// rankSeenFor is how long a rank is reported after its last request.
	rankSeenFor = 10 * time.Second
	// maxReportedWait bounds the wait that another node may report, so that sums of waits do not overflow.
	maxReportedWait = time.Hour
	// maxReportedRank bounds the numbers of a rank that another node may report.
	maxReportedRank = 1_000_000
)

// RankWait is the expected wait of a request of one rank that arrives now.
type RankWait struct {
	Priority Priority
	Wait     time.Duration
}

// String returns the text form, with the wait in microseconds.
func (w RankWait) String() string {
	return fmt.Sprintf("%d,%d,%d,%d", w.Priority.Account, w.Priority.Route, w.Priority.Stage, w.Wait.Microseconds())
}

func parseRankWait(text string) (RankWait, error) {
	var w RankWait
	var us int64
	if _, err := fmt.Sscanf(text, "%d,%d,%d,%d", &w.Priority.Account, &w.Priority.Route, &w.Priority.Stage, &us); err != nil {
		return RankWait{}, fmt.Errorf("target: reading a wait by rank: %w", err)
	}
	if us < 0 || us > maxReportedWait.Microseconds() {
		return RankWait{}, RankWaitError{Reason: "a wait is out of range"}
	}
	w.Wait = time.Duration(us) * time.Microsecond
	return w, nil
}

// RankWaitError reports waits by rank that a gate cannot have sent.
type RankWaitError struct{ Reason string }

func (e RankWaitError) Error() string { return "target: invalid waits by rank: " + e.Reason }

// CheckRankWaits returns a RankWaitError if another node's waits by rank are too many or out of range.
func CheckRankWaits(waits []RankWait) error {
	if len(waits) > MaxRankWaits {
		return RankWaitError{Reason: "too many"}
	}
	for _, w := range waits {
		p := w.Priority
		if max(p.Account, -p.Account, p.Route, -p.Route) > maxReportedRank || p.Stage < StageNew || p.Stage > StageNested {
			return RankWaitError{Reason: "a rank is out of range"}
		}
		if w.Wait < 0 || w.Wait > maxReportedWait {
			return RankWaitError{Reason: "a wait is out of range"}
		}
	}
	return nil
}

// WaitOf returns the expected wait of a request with priority p. A rank that is not reported has had no requests lately: it waits at
// least as long as every more urgent one that is. A report without waits by rank, of an earlier release, has one wait for all.
func (l Load) WaitOf(p Priority) time.Duration {
	if len(l.Waits) == 0 {
		return l.ExpectedWait
	}
	var wait time.Duration
	for _, w := range l.Waits {
		if w.Priority == p {
			return w.Wait
		}
		if w.Priority.Before(p) {
			wait = max(wait, w.Wait)
		}
	}
	return wait
}

// seenRank is a rank with the time of its last request.
type seenRank struct {
	priority Priority
	at       time.Time
}

// rankHistory holds the ranks of the latest requests, the most urgent first; it is immutable.
type rankHistory struct {
	ranks [MaxRankWaits]seenRank
	n     int
}

// withRequest returns the history after a request. The rank without requests for longest gives way to a new one.
func (h rankHistory) withRequest(now time.Time, p Priority) rankHistory {
	oldest := 0
	for i := range h.n {
		if h.ranks[i].priority == p {
			h.ranks[i].at = now
			return h
		}
		if h.ranks[i].at.Before(h.ranks[oldest].at) {
			oldest = i
		}
	}
	if h.n == len(h.ranks) {
		copy(h.ranks[oldest:], h.ranks[oldest+1:])
		h.n--
	}
	at := h.n
	for ; at > 0 && p.Before(h.ranks[at-1].priority); at-- {
		h.ranks[at] = h.ranks[at-1]
	}
	h.ranks[at] = seenRank{priority: p, at: now}
	h.n++
	return h
}

// rankWaits returns the expected waits of the ranks that the gate has had requests of, nil unless the fleet uses them.
func (g Gate) rankWaits(now time.Time) []RankWait {
	if !g.reportsRanks || !g.IsSelfReporting() {
		return nil
	}
	var waits []RankWait
	slow := g.state.SlowWait(now, g.limit.ServiceTime())
	busy := g.queue.Len() > 0 || len(g.running) >= g.limit.Value() || !g.state.NextStart(now).IsZero()
	for _, r := range g.ranks.ranks[:g.ranks.n] {
		if now.Sub(r.at) >= rankSeenFor {
			continue
		}
		wait := slow
		if busy {
			wait = max(wait, g.expectedWait(now, AdmissionRequest{Priority: r.priority})+g.fullQueueWait(r.priority))
		}
		if r.priority.Stage == StageNested {
			wait = max(wait, g.calls.NestedWait(now, r.priority))
		}
		if waits == nil {
			waits = make([]RankWait, 0, MaxRankWaits)
		}
		waits = append(waits, RankWait{Priority: r.priority, Wait: min(wait, maxReportedWait)})
	}
	return waits
}

// fullQueueWait returns how much longer than the requests in the queue a request of the given rank must expect to wait because the
// queue is full and none of them gives way to it: its caller has to come back, and by then the queue may have emptied.
func (g Gate) fullQueueWait(p Priority) time.Duration {
	if g.queue.Len() < QueueFactor*g.limit.Value() {
		return 0
	}
	for i := range g.queue.waiters {
		if p.Before(g.queue.waiters[i].request.Priority) {
			return 0
		}
	}
	return time.Duration(QueueFactor * float64(g.limit.ServiceTime()) * g.state.BaseSlowdown())
}
