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

// event is an action at a point of simulated time.
type event struct {
	at  time.Time
	seq int // orders events at the same time
	do  func(now time.Time)
}

// events is a heap by time.
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
	admitFunc  func(target.Gate, time.Time, target.AdmissionRequest) (target.Gate, target.Decision)
)

// simTarget is a simulated target that sheds requests beyond its capacity, or slows down under them.
type simTarget struct {
	gate      target.Gate
	capacity  func(now time.Time) int
	service   time.Duration
	slowsDown bool
	failing   func(now time.Time) bool // whether requests fail within 1 ms
	running   int
	calls     int
	lateCalls int         // calls after 14 s, when the failures are over
	excess    []time.Time // start times of requests beyond the capacity
	maxExcess int         // highest number of concurrent requests beyond the capacity
	waiting   map[uint64]func(now time.Time, d target.Decision)
}

// simulation is a discrete-event simulation of 21 senders and 7 targets, with a network delay of 100 µs one way.
type simulation struct {
	t          *testing.T
	r          *rand.Rand
	queue      events
	seq        int
	id         uint64
	targets    []*simTarget
	tables     []TargetTable // one per sender
	candidates []Candidate
	choose     chooseFunc
	admit      admitFunc
	latency    []time.Duration
	refused    int
	failed     int
}

const oneWay = 100 * time.Microsecond

func newSimulation(t *testing.T, choose chooseFunc, admit admitFunc) *simulation {
	s := &simulation{t: t, r: rand.New(rand.NewPCG(3, 4)), choose: choose, admit: admit, tables: make([]TargetTable, 21)}
	for i := range 7 {
		s.candidates = append(s.candidates, Candidate{Name: fmt.Sprint("t", i), Domain: "d"})
		s.targets = append(s.targets, &simTarget{
			gate:     target.NewGate(12),
			capacity: func(time.Time) int { return 12 },
			service:  ms(20),
			failing:  func(time.Time) bool { return false },
			waiting:  map[uint64]func(time.Time, target.Decision){},
		})
	}
	return s
}

func (s *simulation) after(now time.Time, d time.Duration, do func(time.Time)) {
	s.seq++
	heap.Push(&s.queue, event{at: now.Add(d), seq: s.seq, do: do})
}

// run sends the given number of calls a second for 20 s.
func (s *simulation) run(rate float64) {
	end := start.Add(20 * time.Second)
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		s.attempt(now, now, s.r.IntN(len(s.tables)), nil)
		if now.Before(end) {
			s.after(now, time.Duration(s.r.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
	}
	s.after(start, 0, arrive)
	for n := 0; s.queue.Len() > 0; n++ {
		if n > 10_000_000 {
			s.t.Fatal("the simulation does not end")
		}
		e := heap.Pop(&s.queue).(event)
		e.do(e.at)
	}
	slices.Sort(s.latency)
}

// measured reports whether a request counts in the results; those of the first 2 s, in which all limits grow from 1, do not.
func (s *simulation) measured(sent time.Time) bool { return sent.After(start.Add(2 * time.Second)) }

func (s *simulation) p99() time.Duration { return s.latency[len(s.latency)*99/100] }

func (s *simulation) attempt(now, sent time.Time, sender int, tried []string) {
	choice, ok := s.choose(s.tables[sender], now, s.r, s.candidates, "d", nil, tried)
	if !ok || len(tried) == 3 {
		if s.measured(sent) {
			s.refused++
		}
		return
	}
	at := slices.IndexFunc(s.candidates, func(c Candidate) bool { return c.Name == choice.Instance })
	st := s.targets[at]
	s.tables[sender] = s.tables[sender].WithSent(now, s.candidates[at])
	s.id++
	id := s.id
	account := fmt.Sprint("a", id%8)
	onDecision := func(now time.Time, d target.Decision) {
		switch d.Action {
		case target.ActionStart:
			s.serve(now, sent, sender, at, id)
		case target.ActionRefuse:
			load := st.gate.Load(now)
			s.after(now, oneWay, func(now time.Time) {
				s.tables[sender] = s.tables[sender].WithRefusal(now, choice.Instance, d.Refusal, load).WithDone(now, choice.Instance)
				s.attempt(now, sent, sender, append(slices.Clone(tried), choice.Instance))
			})
		}
	}
	s.after(now, oneWay, func(now time.Time) {
		var d target.Decision
		st.gate, d = s.admit(st.gate, now, target.AdmissionRequest{ID: id, Account: account, Deadline: now.Add(time.Second)})
		if d.Action == target.ActionWait {
			st.waiting[id] = onDecision
			s.after(now, ms(50), func(now time.Time) {
				var decisions []target.Decision
				st.gate, decisions = st.gate.WithTick(now)
				st.deliver(now, decisions)
			})
			return
		}
		onDecision(now, d)
	})
}

func (st *simTarget) deliver(now time.Time, decisions []target.Decision) {
	for _, d := range decisions {
		st.waiting[d.ID](now, d)
		delete(st.waiting, d.ID)
	}
}

func (s *simulation) serve(now, sent time.Time, sender, at int, id uint64) {
	st := s.targets[at]
	st.calls++
	if now.After(start.Add(14 * time.Second)) {
		st.lateCalls++
	}
	st.running++
	kind := target.OutcomeSuccess
	service := time.Duration(float64(st.service) * (0.5 + 0.5*min(s.r.ExpFloat64(), 4)))
	if over := st.running - st.capacity(now); over > 0 {
		st.maxExcess = max(st.maxExcess, over)
		st.excess = append(st.excess, now)
		if st.slowsDown {
			service = service * time.Duration(st.running) / time.Duration(st.capacity(now))
		} else {
			kind, service = target.OutcomeShed, ms(1)
		}
	} else if st.failing(now) {
		kind, service = target.OutcomeFailure, ms(1)
	}
	s.after(now, service, func(now time.Time) {
		st.running--
		var decisions []target.Decision
		st.gate, decisions = st.gate.WithDone(now, id, target.Outcome{Kind: kind, Latency: service})
		load := st.gate.Load(now)
		st.deliver(now, decisions)
		s.after(now, oneWay, func(now time.Time) {
			name := s.candidates[at].Name
			s.tables[sender] = s.tables[sender].WithResponse(now, name, load, 2*oneWay).WithDone(now, name)
			if kind != target.OutcomeSuccess {
				s.failed++
				return
			}
			if s.measured(sent) {
				s.latency = append(s.latency, now.Sub(sent))
			}
		})
	})
}

// TestColdTarget guards against an overload of a cold target that sheds requests: several senders together exceed its
// capacity, at the start or when it turns cold without warning.
func TestColdTarget(t *testing.T) { checkColdTarget(t, false) }

// TestColdTargetSlows guards against an overload of a cold target by several senders when it slows down instead of shedding.
func TestColdTargetSlows(t *testing.T) { checkColdTarget(t, true) }

func checkColdTarget(t *testing.T, slowsDown bool) {
	// Capacity 1 at first, one more each 500 ms; cold again at 10 s.
	capacity := func(now time.Time) int {
		d := now.Sub(start)
		if d >= 10*time.Second {
			d -= 10 * time.Second
		}
		return min(1+int(d/(500*time.Millisecond)), 12)
	}
	simulate := func(admit admitFunc) *simulation {
		s := newSimulation(t, TargetTable.Choose, admit)
		s.targets[0].capacity, s.targets[0].slowsDown = capacity, slowsDown
		s.run(2700) // 64% of what seven warm targets serve
		return s
	}
	s, slots, all := simulate(target.Gate.WithArrival), simulate(target.AdmitSlots), simulate(target.AdmitAll)
	cold := s.targets[0]
	t.Logf("excess %d of %d, at most %d at once, refused %d, p99 %v", len(cold.excess), cold.calls, cold.maxExcess, s.refused, s.p99())
	t.Logf("slots only: excess %d, admit all: excess %d", len(slots.targets[0].excess), len(all.targets[0].excess))
	excessAtCold := 0
	for _, at := range cold.excess {
		if d := at.Sub(start); d >= 10*time.Second && d < 10*time.Second+ms(20) {
			excessAtCold++
		}
	}
	// The gate probes the capacity by admitting one request beyond it at most once a second. When the target turns cold, each
	// shed request halves the limit (12, 6, 3, 1), so at most four more are shed.
	require.LessOrEqual(t, excessAtCold, 4)
	require.LessOrEqual(t, len(cold.excess)-excessAtCold, 20)
	require.Less(t, len(cold.excess), len(slots.targets[0].excess))
	require.Less(t, len(cold.excess), len(all.targets[0].excess))
	require.Greater(t, cold.calls, 2000, "the target gets too few requests")
}

// TestSlowTarget guards against a slow target that raises the p99 latency as much as with round robin.
func TestSlowTarget(t *testing.T) {
	simulate := func(choose chooseFunc) *simulation {
		s := newSimulation(t, choose, target.Gate.WithArrival)
		s.targets[0].service = ms(200)
		s.run(2000)
		return s
	}
	s, robin := simulate(TargetTable.Choose), simulate(RoundRobin)
	t.Logf("p99 %v, refused %d; round robin p99 %v, refused %d", s.p99(), s.refused, robin.p99(), robin.refused)
	require.Less(t, s.p99(), robin.p99())
	require.LessOrEqual(t, s.refused, robin.refused)
}

// TestFastFailures guards against a target that attracts requests because it fails fast, and against one that never
// gets requests again after it recovered.
func TestFastFailures(t *testing.T) {
	simulate := func(choose chooseFunc) *simulation {
		s := newSimulation(t, choose, target.Gate.WithArrival)
		s.targets[0].failing = func(now time.Time) bool {
			return now.After(start.Add(5*time.Second)) && now.Before(start.Add(12*time.Second))
		}
		s.run(2000)
		return s
	}
	s, robin, least := simulate(TargetTable.Choose), simulate(RoundRobin), simulate(LeastReported)
	t.Logf("failed %d of %d, round robin %d, least reported %d, calls after the recovery %d and %d",
		s.failed, len(s.latency), robin.failed, least.failed, s.targets[0].lateCalls, s.targets[1].lateCalls)
	require.Less(t, s.failed, robin.failed)
	require.Less(t, s.failed, least.failed)
	require.Greater(t, s.targets[0].lateCalls, s.targets[1].lateCalls/4)
}

// TestHerd guards against herding: senders with the same load reports that all choose the one idle target.
func TestHerd(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	s := newSimulation(t, TargetTable.Choose, target.Gate.WithArrival)
	choices := map[string]int{}
	for i := range 1000 {
		var table TargetTable
		for j, c := range s.candidates {
			running := 8
			if j == 0 {
				running = 0
			}
			table = table.WithSent(start, c).WithDone(start, c.Name)
			table = table.WithResponse(start, c.Name, target.Load{Running: running, Limit: 12, ServiceTime: ms(6)}, 2*oneWay)
		}
		choice, ok := table.Choose(at(i%3), r, s.candidates, "d", nil, nil)
		require.True(t, ok)
		choices[choice.Instance]++
	}
	// Two random samples of seven contain the idle one in 2 of 7 choices.
	require.Less(t, choices["t0"], 400)
	require.Greater(t, choices["t0"], 1000/7)

	// Of two targets with nearly the same load, the more loaded one is chosen at times.
	choices = map[string]int{}
	table := tableOf(loadOf(11, 12), loadOf(12, 12), loadOf(12, 12))
	for range 1000 {
		choice, _ := table.Choose(start, r, []Candidate{{Name: "a", Domain: "near"}, {Name: "b", Domain: "near"}}, "near", nil, nil)
		choices[choice.Instance]++
	}
	require.Greater(t, choices["a"], choices["b"])
	require.Greater(t, choices["b"], 50)
}
