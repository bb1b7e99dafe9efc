package account

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenapin.dev/node/config"
)

const (
	// refillOverage is the fraction beyond rate and burst that the homes refill. In each overageWindow, the fraction
	// allowedOverage and allowedSlack more requests may be admitted.
	refillOverage  = 0.15
	allowedOverage = 0.25
	allowedSlack   = 20
	overageWindow  = 5 * time.Second
	// maxAdoptDelay is the maximum delay with which nodes adopt a change of the registry.
	maxAdoptDelay = 2 * time.Second
)

// overageRegistry is a registry from which the nodes learn the homes and the limit of the account.
type overageRegistry struct {
	f        *fleet
	limit    Limit
	limits   []usage // limits with the time from which each is in force
	listed   []string
	frozen   map[string]time.Duration // time until which a node does not read the registry
	versions map[string]int64
	overage  float64
}

func newOverageFleet(n int, plan faultPlan, limit Limit, overage float64) *fleet {
	e := &overageRegistry{limit: limit, limits: []usage{{limit: limit}}, frozen: map[string]time.Duration{}, versions: map[string]int64{}, overage: overage}
	f := newFleet(0, plan, mutation{}, fleetTree(1, nil, nil, limit))
	e.f, f.registry = f, e
	for i := range n {
		node := &fleetNode{f: f, name: "n" + string(rune('A'+i/26)) + string(rune('a'+i%26)), speed: 1}
		f.nodes = append(f.nodes, node)
		f.byName[node.name] = node
		e.listed = append(e.listed, node.name)
	}
	for _, node := range f.nodes {
		node.restart(1)
	}
	return f
}

// restart gives a process new state; it reads the whole registry before it serves.
func (e *overageRegistry) restart(n *fleetNode) {
	n.borrower, n.lender = NewOverageBorrower(e.f.rnd.Uint64()), NewOverageLender(n.name, 0)
	e.versions[n.name] = 0
	delete(e.frozen, n.name)
	e.update(n)
}

// update makes a node adopt the registry.
func (e *overageRegistry) update(n *fleetNode) {
	e.versions[n.name]++
	tree := config.NewTree(1, config.Fleet{Homes: e.listed}, nil,
		[]config.Account{{Name: fleetAccount, Rate: e.limit.Rate, Burst: e.limit.Burst}})
	n.lender.SetShares(n.time(), NewShares(n.name, tree, HomesOf(tree)).WithVersion(e.versions[n.name]).WithOverage(e.overage))
	n.borrower.SetHomes(HomesOf(tree))
}

// notifyAll makes each running node adopt the registry within maxAdoptDelay from now or from the end of its freeze.
func (e *overageRegistry) notifyAll() {
	for _, n := range e.f.nodes {
		at := max(e.f.now, e.frozen[n.name]) + time.Duration(e.f.rnd.Int64N(int64(maxAdoptDelay)))
		if n.up {
			e.f.add(at, n, func() { e.update(n) })
		}
	}
}

// crash stops a node for up to 8.1 s; the registry drops it after entryExpiry.
func (e *overageRegistry) crash(n *fleetNode) {
	if !n.up {
		return
	}
	n.up = false
	down := time.Duration(100+e.f.rnd.IntN(8000)) * time.Millisecond
	entryExpiry := 3 * time.Second
	if down > entryExpiry {
		e.f.add(e.f.now+entryExpiry, nil, func() {
			e.listed = slices.DeleteFunc(slices.Clone(e.listed), func(s string) bool { return s == n.name })
			e.notifyAll()
		})
	}
	e.f.add(e.f.now+down, nil, func() {
		if !slices.Contains(e.listed, n.name) {
			e.listed = append(slices.Clone(e.listed), n.name)
			slices.Sort(e.listed)
			e.notifyAll()
		}
		n.restart(1)
	})
}

// freeze cuts some nodes off the registry for up to 30 s.
func (e *overageRegistry) freeze() {
	until := e.f.now + time.Duration(1+e.f.rnd.IntN(30))*time.Second
	for _, n := range e.f.nodes {
		if e.f.rnd.IntN(3) == 0 {
			e.frozen[n.name] = until
		}
	}
}

// partition splits the nodes into two sides that cannot reach each other, or heals the network.
func (e *overageRegistry) partition() {
	clear(e.f.cut)
	if e.f.rnd.IntN(3) == 0 {
		return
	}
	side := map[string]bool{}
	for _, n := range e.f.nodes {
		side[n.name] = e.f.rnd.IntN(2) == 0
	}
	for _, a := range e.f.nodes {
		for _, b := range e.f.nodes {
			e.f.cut[[2]string{a.name, b.name}] = side[a.name] != side[b.name]
		}
	}
}

// changeLimit sets another limit of the account.
func (e *overageRegistry) changeLimit() {
	limits := []Limit{{Rate: 4, Burst: 60}, {Rate: 30, Burst: 20}, {Rate: 100, Burst: 200}, {Rate: 10, Burst: 10}}
	e.limit = limits[e.f.rnd.IntN(len(limits))]
	e.limits = append(e.limits, usage{at: e.f.now, limit: e.limit})
	e.notifyAll()
}

// injectFault causes one fault.
func (e *overageRegistry) injectFault() {
	n := e.f.nodes[e.f.rnd.IntN(len(e.f.nodes))]
	switch e.f.rnd.IntN(7) {
	case 0:
		if e.f.plan.pauses {
			e.f.pause()
		}
	case 1, 2:
		if e.f.plan.crashes {
			e.crash(n)
		}
	case 3:
		if e.f.plan.allCrash && e.f.rnd.IntN(3) == 0 {
			for _, n := range e.f.nodes {
				e.crash(n)
			}
		}
	case 4:
		if e.f.plan.partitions {
			e.partition()
		}
	case 5:
		if e.f.plan.homes {
			e.freeze()
		}
	case 6:
		if e.f.plan.versions {
			e.changeLimit()
		}
	}
}

// allowedLimit returns the largest limit in force within the window that ends at a time, or shortly before it, when
// nodes may not have adopted the registry.
func (e *overageRegistry) allowedLimit(t time.Duration) Limit {
	frozen := time.Duration(0)
	if e.f.plan.homes {
		frozen = 31 * time.Second
	}
	var limit Limit
	for i, u := range e.limits {
		if u.at <= t && (i+1 == len(e.limits) || e.limits[i+1].at > t-2*overageWindow-maxAdoptDelay-frozen) {
			limit = Limit{Rate: max(limit.Rate, u.limit.Rate), Burst: max(limit.Burst, u.limit.Burst)}
		}
	}
	return limit
}

// excess returns by how many requests the worst window exceeds the limit with its overage, without the slack.
func (e *overageRegistry) excess() float64 {
	worst, first := -1e9, 0
	for i, a := range e.f.admissions {
		for e.f.admissions[first].at <= a.at-overageWindow {
			first++
		}
		limit := e.allowedLimit(a.at)
		worst = max(worst, float64(i-first+1)-(1+allowedOverage)*(limit.Rate*overageWindow.Seconds()+limit.Burst))
	}
	return worst
}

// runOverageFaults simulates 30 nodes under the faults of a plan while requests far beyond the limit arrive.
func runOverageFaults(plan faultPlan, overage float64) *fleet {
	limits := []Limit{{Rate: 4, Burst: 60}, {Rate: 20, Burst: 60}, {Rate: 120, Burst: 60}, {Rate: 6, Burst: 12}}
	f := newOverageFleet(30, plan, limits[plan.seed%4], overage)
	var load func()
	load = func() {
		spread := f.nodes[:1+f.rnd.IntN(len(f.nodes))]
		f.burst(5+f.rnd.IntN(200), spread)
		for range f.rnd.IntN(2) {
			f.registry.injectFault()
		}
		gaps := []int{100, 500, 2500, 5000}
		f.add(f.now+time.Duration(f.rnd.IntN(gaps[f.rnd.IntN(len(gaps))]))*time.Millisecond, nil, load)
	}
	f.add(8*time.Second, nil, load)
	f.runUntil(70 * time.Second)
	return f
}

// TestOverageBound guards against an account that gets more in a window than its limit with overage and slack, when
// nodes see different fleets and so different homes, and borrowers do not report spent tokens.
func TestOverageBound(t *testing.T) {
	admitted, worst := 0, -1e9
	rapid.Check(t, func(t *rapid.T) {
		f := runOverageFaults(faultPlan{
			seed:       rapid.Uint64().Draw(t, "seed"),
			loss:       rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss"),
			pauses:     rapid.Bool().Draw(t, "pauses"),
			crashes:    rapid.Bool().Draw(t, "crashes"),
			allCrash:   rapid.Bool().Draw(t, "allCrash"),
			partitions: rapid.Bool().Draw(t, "partitions"),
			homes:      rapid.Bool().Draw(t, "frozen"),
			versions:   rapid.Bool().Draw(t, "limits"),
			notRun:     rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "notRun"),
		}, refillOverage)
		admitted += len(f.admissions)
		e := f.registry.excess()
		worst = max(worst, e)
		if e > allowedSlack {
			t.Fatalf("%.2f requests beyond the bound", e)
		}
	})
	require.Greater(t, admitted, 1000, "too few admissions for a check")
	t.Logf("%d admitted, worst excess %.1f", admitted, worst)
}

// TestOverageBoundDetectsExcess guards against a check of the bound that passes for any overage.
func TestOverageBoundDetectsExcess(t *testing.T) {
	worst := -1e9
	for seed := uint64(1); seed <= 20 && worst <= allowedSlack; seed++ {
		worst = max(worst, runOverageFaults(faultPlan{seed: seed, crashes: true}, 1).registry.excess())
	}
	require.Greater(t, worst, float64(allowedSlack))
}

// TestOverageNoRefusalWithinRate guards against refusals of an account that stays within its rate.
func TestOverageNoRefusalWithinRate(t *testing.T) {
	cases := map[string]struct {
		nodes      int
		limit      Limit
		load       float64 // requests sent, as a fraction of the rate
		maxRefused float64 // fraction of requests that may be refused
		next       func(f *fleet, i int) int
		crashes    bool
	}{
		"at one node": {
			nodes: 30, limit: Limit{Rate: 50, Burst: 100}, load: 0.9,
			next: func(*fleet, int) int { return 9 },
		},
		"at random nodes": {
			nodes: 30, limit: Limit{Rate: 50, Burst: 100}, load: 0.9,
			next: func(f *fleet, _ int) int { return f.rnd.IntN(30) },
		},
		"a small account at random nodes": {
			nodes: 100, limit: Limit{Rate: 5, Burst: 10}, load: 0.8, maxRefused: 0.01,
			next: func(f *fleet, _ int) int { return f.rnd.IntN(100) },
		},
		"at random nodes while nodes restart": {
			nodes: 30, limit: Limit{Rate: 50, Burst: 100}, load: 0.8, crashes: true, maxRefused: 0.01,
			next: func(f *fleet, _ int) int { return f.rnd.IntN(30) },
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newOverageFleet(tc.nodes, faultPlan{seed: 7}, tc.limit, refillOverage)
			sent, end := 0, 72*time.Second
			for at := 12 * time.Second; at < end; {
				at += time.Duration(f.rnd.ExpFloat64() / tc.limit.Rate / tc.load * float64(time.Second))
				n := f.nodes[tc.next(f, sent)]
				sent++
				f.add(at, nil, func() {
					if n.up {
						n.request()
					}
				})
			}
			for at := 15 * time.Second; tc.crashes && at < end; at += 4 * time.Second {
				f.add(at, nil, func() { f.registry.crash(f.nodes[f.rnd.IntN(len(f.nodes))]) })
			}
			f.runUntil(end + time.Second)
			t.Logf("%d sent, %d refused, %d lease requests", sent, f.refused, f.leaseRequests)
			require.LessOrEqual(t, float64(f.refused), tc.maxRefused*float64(sent))
		})
	}
}
