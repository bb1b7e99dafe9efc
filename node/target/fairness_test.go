package target

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type event struct {
	at      time.Time
	id      uint64
	kind    int // 0 arrival, 1 end, 2 tick
	request AdmissionRequest
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// results is what the accounts other than the large one got.
type results struct {
	calls, refused int
	p99            time.Duration // wait until the start
	large          int           // requests of the large account that ran
}

// simulate runs 8 accounts on a warm target of 12 slots with exponential service times of 6 ms (2,000 calls/s) for 20 s.
// Seven accounts send 160 calls/s each, which is 64% of an eighth; the large one sends the given rate.
func simulate(t *testing.T, arrive func(Gate, time.Time, AdmissionRequest) (Gate, Decision), largeRate float64, largeCost float64) results {
	r := rand.New(rand.NewPCG(1, 2))
	g, begin := warmGate(t, 12)
	var queue events
	id := uint64(0)
	for a := range 8 {
		rate := 160.0
		if a == 0 {
			rate = largeRate
		}
		for at := begin; at.Before(begin.Add(20 * time.Second)); {
			at = at.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
			id++
			queue = append(queue, event{at: at, id: id, request: AdmissionRequest{ID: id, Account: fmt.Sprint("a", a), Deadline: at.Add(time.Second)}})
		}
	}
	heap.Init(&queue)
	tickets, arrived := map[uint64]AdmissionRequest{}, map[uint64]time.Time{}
	var out results
	var waits []time.Duration
	record := func(now time.Time, d Decision) {
		small := tickets[d.ID].Account != "a0"
		switch d.Action {
		case ActionStart:
			mean := float64(ms(6))
			if small {
				waits = append(waits, now.Sub(arrived[d.ID]))
			} else {
				out.large++
				mean *= largeCost
			}
			// Half of the time varies, so that the limit isn't the subject here.
			service := time.Duration(mean * (0.5 + 0.5*min(r.ExpFloat64(), 4)))
			heap.Push(&queue, event{at: now.Add(service), id: d.ID, kind: 1, request: AdmissionRequest{Deadline: now}})
		case ActionWait:
			heap.Push(&queue, event{at: now.Add(maxQueueTime), kind: 2})
		case ActionRefuse:
			if small {
				out.refused++
			}
		}
	}
	for queue.Len() > 0 {
		e := heap.Pop(&queue).(event)
		var decisions []Decision
		switch e.kind {
		case 0:
			tickets[e.id], arrived[e.id] = e.request, e.at
			if e.request.Account != "a0" {
				out.calls++
			}
			var d Decision
			g, d = arrive(g, e.at, e.request)
			decisions = []Decision{d}
		case 1:
			g, decisions = g.WithDone(e.at, e.id, Outcome{Latency: e.at.Sub(e.request.Deadline)})
		default:
			g, decisions = g.WithTick(e.at)
		}
		for _, d := range decisions {
			record(e.at, d)
		}
	}
	slices.Sort(waits)
	out.p99 = waits[len(waits)*99/100]
	return out
}

// TestLargeAccount guards against an account at five times its share, by count or by cost, that worsens the rest.
func TestLargeAccount(t *testing.T) {
	usual := simulate(t, Gate.WithArrival, 160, 1)
	cases := map[string]struct{ rate, cost float64 }{
		"five times the calls": {rate: 5 * 250, cost: 1},
		"five times the cost":  {rate: 250, cost: 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			fair := simulate(t, Gate.WithArrival, tc.rate, tc.cost)
			naive := simulate(t, AdmitSlots, tc.rate, tc.cost)
			t.Logf("usual %+v, fair %+v, slots only %+v", usual, fair, naive)
			// A waiting request gives way to at most one running request, which lasts 15 ms (times the cost) at most.
			require.LessOrEqual(t, fair.p99, usual.p99+time.Duration(15*tc.cost)*time.Millisecond)
			require.Less(t, fair.refused, naive.refused)
			require.LessOrEqual(t, fair.refused, fair.calls/100)
			require.Positive(t, fair.large)
		})
	}
}
