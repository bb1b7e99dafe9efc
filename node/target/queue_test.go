package target

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// naiveQueue is a reference model of Queue that keeps all accounts and sorts all waiting requests for each decision.
type naiveQueue struct {
	waiting     []AdmissionRequest
	virtualTime map[string]time.Duration
	running     map[string]int
	lastActive  map[string]time.Time
	floor       time.Duration
}

func (q *naiveQueue) queued(account string) int {
	n := 0
	for _, req := range q.waiting {
		if req.Account == account {
			n++
		}
	}
	return n
}

func (q *naiveQueue) recordActivity(now time.Time, account string) {
	if q.running[account] == 0 && q.queued(account) == 0 {
		last, seen := q.lastActive[account]
		if !seen || now.Sub(last) >= time.Second || q.virtualTime[account] < q.floor {
			q.virtualTime[account] = q.floor
		}
	}
	q.lastActive[account] = now
}

func (q *naiveQueue) hasRoom(now time.Time, account string, limit int) bool {
	if 4*q.running[account] < 3*limit {
		return true
	}
	for other, last := range q.lastActive {
		if other != account && (q.running[other] > 0 || q.queued(other) > 0 || now.Sub(last) < time.Second) {
			return false
		}
	}
	return true
}

func (q *naiveQueue) next(now time.Time, limit int) (AdmissionRequest, bool) {
	var eligible []AdmissionRequest
	for _, req := range q.waiting {
		if q.hasRoom(now, req.Account, limit) {
			eligible = append(eligible, req)
		}
	}
	sort.SliceStable(eligible, func(i, j int) bool { return q.virtualTime[eligible[i].Account] < q.virtualTime[eligible[j].Account] })
	if len(eligible) == 0 {
		return AdmissionRequest{}, false
	}
	return eligible[0], true
}

func (q *naiveQueue) remove(id uint64) {
	for i, req := range q.waiting {
		if req.ID == id {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			return
		}
	}
}

// TestQueueOrder guards against a wrong order between accounts or within one, and against an account that uses more than
// its part of the slots.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var q Queue
		naive := naiveQueue{virtualTime: map[string]time.Duration{}, running: map[string]int{}, lastActive: map[string]time.Time{}}
		now, id := start, uint64(0)
		var runs []AdmissionRequest
		for range rapid.IntRange(1, 150).Draw(r, "events") {
			now = now.Add(ms(rapid.SampledFrom([]int{0, 1, 5, 20, 400, 1100}).Draw(r, "pause")))
			limit := rapid.IntRange(1, 12).Draw(r, "limit")
			switch rapid.IntRange(0, 5).Draw(r, "event") {
			case 0, 1:
				id++
				req := AdmissionRequest{ID: id, Account: fmt.Sprint("a", rapid.IntRange(0, 4).Draw(r, "account"))}
				q = q.WithRequest(now, req)
				naive.recordActivity(now, req.Account)
				naive.waiting = append(naive.waiting, req)
			case 2, 3:
				got, ok := q.Next(now, limit, nil)
				want, wantOK := naive.next(now, limit)
				require.Equal(t, wantOK, ok)
				require.Equal(t, want, got)
				if !ok {
					continue
				}
				cost := ms(rapid.IntRange(1, 20).Draw(r, "cost"))
				q, _ = q.WithoutRequest(now, got.ID)
				q = q.WithStart(now, got.Account, cost)
				naive.recordActivity(now, got.Account)
				naive.remove(got.ID)
				naive.recordActivity(now, got.Account)
				naive.floor = max(naive.floor, naive.virtualTime[got.Account])
				naive.virtualTime[got.Account] += cost
				naive.running[got.Account]++
				runs = append(runs, got)
			case 4:
				if len(runs) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(runs)-1).Draw(r, "run")
				correction := ms(rapid.IntRange(-1, 30).Draw(r, "correction"))
				q = q.WithEnd(now, runs[i].Account, correction)
				naive.recordActivity(now, runs[i].Account)
				naive.running[runs[i].Account]--
				naive.virtualTime[runs[i].Account] += correction
				runs = append(runs[:i], runs[i+1:]...)
			case 5:
				if len(naive.waiting) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(naive.waiting)-1).Draw(r, "waiting")
				req := naive.waiting[i]
				var ok bool
				q, ok = q.WithoutRequest(now, req.ID)
				require.True(t, ok)
				naive.recordActivity(now, req.Account)
				naive.remove(req.ID)
			}
			require.Equal(t, len(naive.waiting), q.Len())
		}
	})
}

// TestQueueAccountsBounded guards against memory that grows with the number of accounts ever seen.
func TestQueueAccountsBounded(t *testing.T) {
	var q Queue
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * time.Microsecond)
		q = q.WithStart(now, fmt.Sprint(i), ms(6)).WithEnd(now, fmt.Sprint(i), 0)
	}
	require.LessOrEqual(t, len(q.accounts), maxIdleAccounts+1)
	q = q.WithActivity(start.Add(time.Minute), "last")
	require.Len(t, q.accounts, 1)
}
