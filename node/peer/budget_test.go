package peer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenapin.dev/node/target"
)

// TestBudget guards against a route with few calls that can't retry, and against one that accumulates retries without limit.
func TestBudget(t *testing.T) {
	cases := map[string]struct {
		ratio float64
		calls int
		now   time.Time
		want  int
	}{
		"at once":              {ratio: 0.1, now: start, want: 1},
		"quiet for long":       {ratio: 0.1, now: at(60_000), want: 1},
		"fifty calls":          {ratio: 0.1, calls: 50, now: start, want: 6},
		"many calls":           {ratio: 0.1, calls: 100_000, now: start, want: budgetBurst},
		"retries switched off": {ratio: 0, calls: 50, now: at(60_000), want: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(start, tc.ratio)
			for range tc.calls {
				b = b.WithCall(tc.now, 0)
			}
			got := 0
			for ok := true; ok; {
				if b, ok = b.WithRetry(tc.now); ok {
					got++
				}
			}
			require.Equal(t, tc.want, got)
		})
	}
}

// TestBudgetRatio guards against retries beyond the ratio of calls plus the small rate.
func TestBudgetRatio(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		ratio := rapid.SampledFrom([]float64{0.01, 0.1, 0.5}).Draw(r, "ratio")
		b, now := NewBudget(start, ratio), start
		calls, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(r, "events") {
			now = now.Add(ms(rapid.SampledFrom([]int{-5, 0, 0, 1, 100}).Draw(r, "pause")))
			if rapid.Bool().Draw(r, "call") {
				b, calls = b.WithCall(now, 0), calls+1
				continue
			}
			var ok bool
			if b, ok = b.WithRetry(now); ok {
				retries++
			}
			// Time that passes again after the clock was set back adds no tokens, so the bound uses the latest time.
			most := 1 + ratio*float64(calls) + budgetRate*b.last.Sub(start).Seconds()
			require.LessOrEqual(t, float64(retries), most+1e-6)
		}
	})
}

// TestNestedRetries guards against retries that multiply over 20 levels of nested calls while the last level fails.
func TestNestedRetries(t *testing.T) {
	const depth, roots, ratio = 20, 20_000, 0.1
	budgets, calls, retries := make([]Budget, depth), make([]int, depth), make([]int, depth)
	for i := range budgets {
		budgets[i] = NewBudget(start, ratio)
	}
	lastLevelCalls := 0
	var call func(level int, retry bool)
	call = func(level int, retry bool) {
		if level == depth {
			lastLevelCalls++
			return
		}
		// Calls below a retry neither retry nor add to the budget.
		if retry {
			call(level+1, true)
			return
		}
		calls[level]++
		budgets[level] = budgets[level].WithCall(start, 0)
		call(level+1, false)
		var ok bool
		if budgets[level], ok = budgets[level].WithRetry(start); ok {
			retries[level]++
			call(level+1, true)
		}
	}
	for range roots {
		call(0, false)
	}
	for level := range depth {
		require.LessOrEqual(t, float64(retries[level]), ratio*float64(calls[level])+1)
		require.GreaterOrEqual(t, float64(retries[level]), ratio*float64(calls[level])/2, "level %d can't retry", level)
	}
	t.Logf("calls at the last level for each root: %.2f", float64(lastLevelCalls)/roots)
	require.LessOrEqual(t, float64(lastLevelCalls), roots*(1+depth*ratio)+depth)
}

// TestRetriesOfCallingServices guards against a fleet that sends more retries to a service than its ratio of the requests allows, because
// runs that were retries make their calls again: in a fleet of 66 nodes a service that shed all its requests got 2,123 of them in 10 s,
// 4 more than allowed.
func TestRetriesOfCallingServices(t *testing.T) {
	const roots, ratio, burst = 20_000, 0.15, 2
	cases := map[string]struct{ directCalls int }{
		"only calls":                {},
		"as many requests as calls": {directCalls: 1},
		"mostly requests":           {directCalls: 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			allowance := RetryAllowance{Burst: burst}
			outer, inner := NewBudget(start, ratio).WithAllowance(allowance), NewBudget(start, ratio).WithAllowance(allowance)
			gate := target.NewGate(1).WithRegistration(target.Registration{Name: "outer", Slots: 100})
			requests, retries := 0, 0
			send := func(retried float64) {
				requests++
				inner = inner.WithCall(start, retried)
				var ok bool
				if inner, ok = inner.WithRetry(start); ok {
					retries++
				}
			}
			run := func(id uint64, retried bool) {
				gate, _ = gate.WithArrival(start, target.AdmissionRequest{ID: id, Retried: retried})
				if retried {
					retries++
				}
				send(gate.RetriedShare())
				gate, _ = gate.WithDone(start, id, target.Outcome{})
			}
			for id := range uint64(roots) {
				outer = outer.WithCall(start, 0)
				run(2*id, false)
				var ok bool
				if outer, ok = outer.WithRetry(start); ok {
					run(2*id+1, true)
				}
				for range tc.directCalls {
					send(0)
				}
			}
			// The share of retried runs follows them with a delay of retriedWeight (32) runs, in which ratio*32 retries are not counted.
			require.LessOrEqual(t, float64(retries), ratio*float64(requests)+burst+1+32*ratio)
			require.GreaterOrEqual(t, float64(retries), 0.9*ratio*float64(requests), "the ratio is not used")
		})
	}
}

// TestFleetRetries guards against nodes that together send more retries in a window than the fleet may, when all of them meet a fault
// at the same moment with full bursts, and against leaving a large part unused while targets shed most of their requests.
func TestFleetRetries(t *testing.T) {
	const allowed, own, window = 0.2, 0.15, 10
	cases := map[string]struct {
		nodes    int
		slack    float64
		requests int // a second, in the whole fleet
	}{
		"15 nodes":                {nodes: 15, slack: 64, requests: 70},
		"66 nodes":                {nodes: 66, slack: 172, requests: 400},
		"295 nodes":               {nodes: 295, slack: 630, requests: 900},
		"295 nodes, few requests": {nodes: 295, slack: 630, requests: 300},
		"1,213 nodes":             {nodes: 1213, slack: 2600, requests: 4000},
		"less slack than nodes":   {nodes: 295, slack: 150, requests: 4000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			allowance := NewRetryAllowance(tc.slack, window*time.Second, tc.nodes)
			budgets := make([]Budget, tc.nodes)
			for i := range budgets {
				budgets[i] = NewBudget(start, own).WithAllowance(allowance)
			}
			var retries []float64 // by second
			for second := range 40 {
				retries = append(retries, 0)
				for n := range tc.requests {
					now := start.Add(time.Duration(second)*time.Second + time.Duration(n)*time.Second/time.Duration(tc.requests))
					i := r.IntN(tc.nodes)
					budgets[i] = budgets[i].WithCall(now, 0)
					if second < 20 {
						continue
					}
					var ok bool
					if budgets[i], ok = budgets[i].WithRetry(now); ok {
						retries[second]++
					}
				}
			}
			limit := allowed*float64(tc.requests*window) + tc.slack
			for from := range len(retries) - window {
				sum := 0.0
				for _, n := range retries[from : from+window] {
					sum += n
				}
				require.LessOrEqual(t, sum, limit)
				if from == 20 {
					require.GreaterOrEqual(t, sum, 0.6*limit)
				}
			}
		})
	}
}

// TestHedge guards against a p95 that is wrong by more than a bucket, and against hedges beyond their budget.
func TestHedge(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	h := NewHedge(start, 0.05)
	_, ok := h.Delay()
	require.False(t, ok, "hedges without knowing the latency")
	var window []time.Duration
	hedges := 0
	for range 1000 {
		d := time.Duration(r.ExpFloat64() * float64(ms(6)))
		window = append(window, d)
		h = h.WithCall(start).WithLatency(d)
		if h, ok = h.WithHedge(start); ok {
			hedges++
		}
	}
	require.Equal(t, 50, hedges)
	slices.Sort(window)
	got, ok := h.Delay()
	require.True(t, ok)
	exact := window[len(window)*95/100]
	require.GreaterOrEqual(t, got, exact)
	require.LessOrEqual(t, got, exact*5/4)
	for range 60_000 {
		h = h.WithLatency(ms(1))
	}
	for range 2 * latencyWindow {
		h = h.WithLatency(ms(100))
	}
	got, _ = h.Delay()
	require.GreaterOrEqual(t, got, ms(100), "keeps old latencies")
	_, ok = h.WithRatio(0).Delay()
	require.False(t, ok)
}

// TestHedgeBucket guards against latencies outside their bucket.
func TestHedgeBucket(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		d := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(r, "latency"))
		i := latencyBucket(d)
		require.Less(t, d.Truncate(time.Microsecond), bucketUpperBound(i))
		if i > 0 {
			require.GreaterOrEqual(t, d, bucketUpperBound(i-1))
		}
	})
}
