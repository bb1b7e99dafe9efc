package target

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFastTarget replays callers that each send their next request when the last one is answered, at a target with more slots than
// callers. It guards against refusals of a fast target with free slots: at a millisecond a request, differences between latencies are
// noise of the scheduler, which lowered the limit again and again.
func TestFastTarget(t *testing.T) {
	const callers, slots = 8, 12
	cases := map[string]time.Duration{
		"0.2 ms": 200 * time.Microsecond,
		"0.5 ms": 500 * time.Microsecond,
		"1 ms":   time.Millisecond,
		"5 ms":   5 * time.Millisecond,
	}
	for name, service := range cases {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(7, 8))
			g := NewGate(slots)
			var queue events
			refused, id := 0, uint64(0)
			arrive := func(at time.Time) {
				id++
				heap.Push(&queue, event{at: at, id: id})
			}
			apply := func(now time.Time, decisions ...Decision) {
				for _, d := range decisions {
					switch d.Action {
					case ActionStart:
						took := time.Duration(float64(service) * (0.5 + r.ExpFloat64())) // noise of the scheduler
						heap.Push(&queue, event{at: now.Add(took), id: d.ID, kind: 1, request: AdmissionRequest{Deadline: now}})
					case ActionRefuse:
						refused++
						arrive(now.Add(max(d.Refusal.RetryAfter, time.Millisecond)))
					}
				}
			}
			for caller := range callers {
				arrive(start.Add(time.Duration(caller) * 100 * time.Microsecond))
			}
			for len(queue) > 0 && queue[0].at.Before(start.Add(5*time.Second)) {
				e := heap.Pop(&queue).(event)
				var decisions []Decision
				if e.kind == 1 {
					g, decisions = g.WithDone(e.at, e.id, Outcome{Latency: e.at.Sub(e.request.Deadline)})
					arrive(e.at.Add(50 * time.Microsecond))
				} else {
					var d Decision
					g, d = g.WithArrival(e.at, AdmissionRequest{ID: e.id, Account: "a", Route: "r", MaxWait: -1, Deadline: e.at.Add(2 * time.Second)})
					apply(e.at, d)
					g, decisions = g.WithTick(e.at)
				}
				apply(e.at, decisions...)
			}
			t.Logf("%d of %d requests refused, limit %d", refused, id, g.limit.Value())
			// Before the first response the target may be cold, and its queue is short.
			require.LessOrEqual(t, refused, callers)
		})
	}
}
