package peer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/target"
)

type event struct {
	at  time.Time
	seq int // keeps the order of events at one time
	do  func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type (
	chooseFunc func(TargetTable, time.Time, *rand.Rand, []Candidate, string, []string, []string) (Choice, bool)
	arriveFunc func(target.Gate, time.Time, target.AdmissionRequest) (target.Gate, target.Decision)
)

// box is a target that sheds what exceeds its capacity, or slows down by it.
type box struct {
	gate     target.Gate
	capacity func(now time.Time) int
	service  time.Duration
	slows    bool
	failing  func(now time.Time) bool // fails fast
	running  int
	calls    int
	late     int         // calls after 14 s
	excess   []time.Time // requests beyond the capacity
	over     int         // largest number of these at one time
	waiting  map[uint64]func(now time.Time, v target.Decision)
}

// scene runs 21 senders and 7 targets with trips of 100 µs one way, 20 s long.
type scene struct {
	t       *testing.T
	r       *rand.Rand
	queue   events
	seq     int
	id      uint64
	boxes   []*box
	boards  []TargetTable
	all     []Candidate
	choose  chooseFunc
	arrive  arriveFunc
	latency []time.Duration
	refused int
	failed  int
}

const oneWay = 100 * time.Microsecond

func newScene(t *testing.T, choose chooseFunc, arrive arriveFunc) *scene {
	s := &scene{t: t, r: rand.New(rand.NewPCG(3, 4)), choose: choose, arrive: arrive, boards: make([]TargetTable, 21)}
	for i := range 7 {
		s.all = append(s.all, Candidate{Name: fmt.Sprint("t", i), Domain: "d"})
		s.boxes = append(s.boxes, &box{
			gate:     target.NewGate(12),
			capacity: func(time.Time) int { return 12 },
			service:  ms(20),
			failing:  func(time.Time) bool { return false },
			waiting:  map[uint64]func(time.Time, target.Decision){},
		})
	}
	return s
}

func (s *scene) after(now time.Time, d time.Duration, do func(time.Time)) {
	s.seq++
	heap.Push(&s.queue, event{at: now.Add(d), seq: s.seq, do: do})
}

// run sends the given number of calls a second for 20 s.
func (s *scene) run(rate float64) {
	end := start.Add(20 * time.Second)
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		s.attempt(now, now, s.r.IntN(len(s.boards)), nil)
		if now.Before(end) {
			s.after(now, time.Duration(s.r.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
	}
	s.after(start, 0, arrive)
	for n := 0; s.queue.Len() > 0; n++ {
		if n > 10_000_000 {
			s.t.Fatal("events that never end")
		}
		e := heap.Pop(&s.queue).(event)
		e.do(e.at)
	}
	slices.Sort(s.latency)
}

// counts leaves out the first 2 s, in which all limits grow from 1.
func (s *scene) counts(began time.Time) bool { return began.After(start.Add(2 * time.Second)) }

func (s *scene) p99() time.Duration { return s.latency[len(s.latency)*99/100] }

func (s *scene) attempt(now, began time.Time, sender int, tried []string) {
	choice, ok := s.choose(s.boards[sender], now, s.r, s.all, "d", nil, tried)
	if !ok || len(tried) == 3 {
		if s.counts(began) {
			s.refused++
		}
		return
	}
	at := slices.IndexFunc(s.all, func(c Candidate) bool { return c.Name == choice.Instance })
	b := s.boxes[at]
	s.boards[sender] = s.boards[sender].WithSent(now, s.all[at])
	s.id++
	id := s.id
	account := fmt.Sprint("a", id%8)
	verdict := func(now time.Time, v target.Decision) {
		switch v.Action {
		case target.ActionStart:
			s.serve(now, began, sender, at, id)
		case target.ActionRefuse:
			load := b.gate.Load(now)
			s.after(now, oneWay, func(now time.Time) {
				s.boards[sender] = s.boards[sender].WithRefusal(now, choice.Instance, v.Refusal, load).WithDone(now, choice.Instance)
				s.attempt(now, began, sender, append(slices.Clone(tried), choice.Instance))
			})
		}
	}
	s.after(now, oneWay, func(now time.Time) {
		var v target.Decision
		b.gate, v = s.arrive(b.gate, now, target.AdmissionRequest{ID: id, Account: account, Deadline: now.Add(time.Second)})
		if v.Action == target.ActionWait {
			b.waiting[id] = verdict
			s.after(now, ms(50), func(now time.Time) {
				var verdicts []target.Decision
				b.gate, verdicts = b.gate.WithTick(now)
				b.deliver(now, verdicts)
			})
			return
		}
		verdict(now, v)
	})
}

func (b *box) deliver(now time.Time, verdicts []target.Decision) {
	for _, v := range verdicts {
		b.waiting[v.ID](now, v)
		delete(b.waiting, v.ID)
	}
}

func (s *scene) serve(now, began time.Time, sender, at int, id uint64) {
	b := s.boxes[at]
	b.calls++
	if now.After(start.Add(14 * time.Second)) {
		b.late++
	}
	b.running++
	kind := target.OutcomeSuccess
	service := time.Duration(float64(b.service) * (0.5 + 0.5*min(s.r.ExpFloat64(), 4)))
	if over := b.running - b.capacity(now); over > 0 {
		b.over = max(b.over, over)
		b.excess = append(b.excess, now)
		if b.slows {
			service = service * time.Duration(b.running) / time.Duration(b.capacity(now))
		} else {
			kind, service = target.OutcomeShed, ms(1)
		}
	} else if b.failing(now) {
		kind, service = target.OutcomeFailure, ms(1)
	}
	s.after(now, service, func(now time.Time) {
		b.running--
		var verdicts []target.Decision
		b.gate, verdicts = b.gate.WithDone(now, id, target.Outcome{Kind: kind, Latency: service})
		load := b.gate.Load(now)
		b.deliver(now, verdicts)
		s.after(now, oneWay, func(now time.Time) {
			name := s.all[at].Name
			s.boards[sender] = s.boards[sender].WithResponse(now, name, load, 2*oneWay).WithDone(now, name)
			if kind != target.OutcomeSuccess {
				s.failed++
				return
			}
			if s.counts(began) {
				s.latency = append(s.latency, now.Sub(began))
			}
		})
	})
}

// TestColdTarget guards against n senders that overload a cold target that sheds, or one that turns cold without warning.
func TestColdTarget(t *testing.T) { checkCold(t, false) }

// TestColdTargetSlows guards against n senders that overload a cold target that slows down instead of shedding.
func TestColdTargetSlows(t *testing.T) { checkCold(t, true) }

func checkCold(t *testing.T, slows bool) {
	// Capacity 1 at first, one more each 500 ms; cold again at 10 s.
	capacity := func(now time.Time) int {
		d := now.Sub(start)
		if d >= 10*time.Second {
			d -= 10 * time.Second
		}
		return min(1+int(d/(500*time.Millisecond)), 12)
	}
	build := func(arrive arriveFunc) *scene {
		s := newScene(t, TargetTable.Choose, arrive)
		s.boxes[0].capacity, s.boxes[0].slows = capacity, slows
		s.run(2700) // 64% of what seven warm targets serve
		return s
	}
	s, slots, all := build(target.Gate.WithArrival), build(target.AdmitSlots), build(target.AdmitAll)
	cold := s.boxes[0]
	t.Logf("excess %d of %d, at most %d at once, refused %d, p99 %v", len(cold.excess), cold.calls, cold.over, s.refused, s.p99())
	t.Logf("slots only: excess %d, admit all: excess %d", len(slots.boxes[0].excess), len(all.boxes[0].excess))
	sudden := 0
	for _, at := range cold.excess {
		if d := at.Sub(start); d >= 10*time.Second && d < 10*time.Second+ms(20) {
			sudden++
		}
	}
	// The gate finds the capacity by trying one more than that at most once a second; when the target turns cold, each
	// request that it sheds halves the limit, so that 12, 6, 3 and 1 allow four more at most.
	require.LessOrEqual(t, sudden, 4)
	require.LessOrEqual(t, len(cold.excess)-sudden, 20)
	require.Less(t, len(cold.excess), len(slots.boxes[0].excess))
	require.Less(t, len(cold.excess), len(all.boxes[0].excess))
	require.Greater(t, cold.calls, 2000, "the target is hardly used")
}

// TestSlowTarget guards against a slow target that worsens the tail as much as with round robin.
func TestSlowTarget(t *testing.T) {
	build := func(choose chooseFunc) *scene {
		s := newScene(t, choose, target.Gate.WithArrival)
		s.boxes[0].service = ms(200)
		s.run(2000)
		return s
	}
	s, naive := build(TargetTable.Choose), build(RoundRobin)
	t.Logf("p99 %v, refused %d; round robin p99 %v, refused %d", s.p99(), s.refused, naive.p99(), naive.refused)
	require.Less(t, s.p99(), naive.p99())
	require.LessOrEqual(t, s.refused, naive.refused)
}

// TestFastFailures guards against a target that attracts requests because it fails fast, and against one that never
// gets requests again after it recovered.
func TestFastFailures(t *testing.T) {
	build := func(choose chooseFunc) *scene {
		s := newScene(t, choose, target.Gate.WithArrival)
		s.boxes[0].failing = func(now time.Time) bool {
			return now.After(start.Add(5*time.Second)) && now.Before(start.Add(12*time.Second))
		}
		s.run(2000)
		return s
	}
	s, robin, least := build(TargetTable.Choose), build(RoundRobin), build(LeastReported)
	t.Logf("failed %d of %d, round robin %d, least reported %d, calls after the recovery %d and %d",
		s.failed, len(s.latency), robin.failed, least.failed, s.boxes[0].late, s.boxes[1].late)
	require.Less(t, s.failed, robin.failed)
	require.Less(t, s.failed, least.failed)
	require.Greater(t, s.boxes[0].late, s.boxes[1].late/4)
}

// TestHerd guards against senders that all choose the one target that looks free.
func TestHerd(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	s := newScene(t, TargetTable.Choose, target.Gate.WithArrival)
	count := map[string]int{}
	for i := range 1000 {
		var b TargetTable
		for j, c := range s.all {
			running := 8
			if j == 0 {
				running = 0
			}
			b = b.WithSent(start, c).WithDone(start, c.Name)
			b = b.WithResponse(start, c.Name, target.Load{Running: running, Limit: 12, ServiceTime: ms(6)}, 2*oneWay)
		}
		choice, ok := b.Choose(at(i%3), r, s.all, "d", nil, nil)
		require.True(t, ok)
		count[choice.Instance]++
	}
	// Two random samples of seven hold the free one in 2 of 7 choices.
	require.Less(t, count["t0"], 400)
	require.Greater(t, count["t0"], 1000/7)

	// Of two targets with nearly the same load, some choose the other one.
	count = map[string]int{}
	b := known(report(11, 12), report(12, 12), report(12, 12))
	for range 1000 {
		choice, _ := b.Choose(start, r, []Candidate{{Name: "a", Domain: "near"}, {Name: "b", Domain: "near"}}, "near", nil, nil)
		count[choice.Instance]++
	}
	require.Greater(t, count["a"], count["b"])
	require.Greater(t, count["b"], 50)
}
