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
	r := &overageRegistry{limit: limit, limits: []usage{{limit: limit}}, frozen: map[string]time.Duration{}, versions: map[string]int64{}, overage: overage}
	f := newFleet(0, plan, mutation{}, fleetTree(1, nil, nil, limit))
	r.f, f.registry = f, r
	for i := range n {
		node := &fleetNode{f: f, name: "n" + string(rune('A'+i/26)) + string(rune('a'+i%26)), speed: 1}
		f.nodes = append(f.nodes, node)
		f.byName[node.name] = node
		r.listed = append(r.listed, node.name)
	}
	for _, node := range f.nodes {
		node.restart(1)
	}
	return f
}

// restart gives a process new state; it reads the whole registry before it serves.
func (r *overageRegistry) restart(n *fleetNode) {
	n.borrower, n.lender = NewOverageBorrower(r.f.rnd.Uint64()), NewOverageLender(n.name, 0)
	r.versions[n.name] = 0
	delete(r.frozen, n.name)
	r.update(n)
}

// update makes a node adopt the registry.
func (r *overageRegistry) update(n *fleetNode) {
	r.versions[n.name]++
	tree := config.NewTree(1, config.Fleet{Homes: r.listed}, nil,
		[]config.Account{{Name: fleetAccount, Rate: r.limit.Rate, Burst: r.limit.Burst}})
	n.lender.SetShares(n.time(), NewShares(n.name, tree, HomesOf(tree)).WithVersion(r.versions[n.name]).WithOverage(r.overage))
	n.borrower.SetHomes(HomesOf(tree))
}

// notifyAll makes each running node adopt the registry within maxAdoptDelay from now or from the end of its freeze.
func (r *overageRegistry) notifyAll() {
	for _, n := range r.f.nodes {
		at := max(r.f.now, r.frozen[n.name]) + time.Duration(r.f.rnd.Int64N(int64(maxAdoptDelay)))
		if n.up {
			r.f.add(at, n, func() { r.update(n) })
		}
	}
}

// crash stops a node for up to 8.1 s; the registry drops it after entryExpiry.
func (r *overageRegistry) crash(n *fleetNode) {
	if !n.up {
		return
	}
	n.up = false
	down := time.Duration(100+r.f.rnd.IntN(8000)) * time.Millisecond
	entryExpiry := 3 * time.Second
	if down > entryExpiry {
		r.f.add(r.f.now+entryExpiry, nil, func() {
			r.listed = slices.DeleteFunc(slices.Clone(r.listed), func(s string) bool { return s == n.name })
			r.notifyAll()
		})
	}
	r.f.add(r.f.now+down, nil, func() {
		if !slices.Contains(r.listed, n.name) {
			r.listed = append(slices.Clone(r.listed), n.name)
			slices.Sort(r.listed)
			r.notifyAll()
		}
		n.restart(1)
	})
}

// freeze cuts some nodes off the registry for up to 30 s.
func (r *overageRegistry) freeze() {
	until := r.f.now + time.Duration(1+r.f.rnd.IntN(30))*time.Second
	for _, n := range r.f.nodes {
		if r.f.rnd.IntN(3) == 0 {
			r.frozen[n.name] = until
		}
	}
}

// partition splits the nodes into two sides that cannot reach each other, or heals the network.
func (r *overageRegistry) partition() {
	clear(r.f.cut)
	if r.f.rnd.IntN(3) == 0 {
		return
	}
	side := map[string]bool{}
	for _, n := range r.f.nodes {
		side[n.name] = r.f.rnd.IntN(2) == 0
	}
	for _, a := range r.f.nodes {
		for _, b := range r.f.nodes {
			r.f.cut[[2]string{a.name, b.name}] = side[a.name] != side[b.name]
		}
	}
}

// changeLimit sets another limit of the account.
func (r *overageRegistry) changeLimit() {
	limits := []Limit{{Rate: 4, Burst: 60}, {Rate: 30, Burst: 20}, {Rate: 100, Burst: 200}, {Rate: 10, Burst: 10}}
	r.limit = limits[r.f.rnd.IntN(len(limits))]
	r.limits = append(r.limits, usage{at: r.f.now, limit: r.limit})
	r.notifyAll()
}

// injectFault causes one fault.
func (r *overageRegistry) injectFault() {
	n := r.f.nodes[r.f.rnd.IntN(len(r.f.nodes))]
	switch r.f.rnd.IntN(7) {
	case 0:
		if r.f.plan.pauses {
			r.f.pause()
		}
	case 1, 2:
		if r.f.plan.crashes {
			r.crash(n)
		}
	case 3:
		if r.f.plan.allCrash && r.f.rnd.IntN(3) == 0 {
			for _, n := range r.f.nodes {
				r.crash(n)
			}
		}
	case 4:
		if r.f.plan.partitions {
			r.partition()
		}
	case 5:
		if r.f.plan.homes {
			r.freeze()
		}
	case 6:
		if r.f.plan.versions {
			r.changeLimit()
		}
	}
}

// allowedLimit returns the largest limit in force within the window that ends at a time, or shortly before it, when
// nodes may not have adopted the registry.
func (r *overageRegistry) allowedLimit(t time.Duration) Limit {
	frozen := time.Duration(0)
	if r.f.plan.homes {
		frozen = 31 * time.Second
	}
	var limit Limit
	for i, u := range r.limits {
		if u.at <= t && (i+1 == len(r.limits) || r.limits[i+1].at > t-2*overageWindow-maxAdoptDelay-frozen) {
			limit = Limit{Rate: max(limit.Rate, u.limit.Rate), Burst: max(limit.Burst, u.limit.Burst)}
		}
	}
	return limit
}

// excess returns by how many requests the worst window exceeds the limit with its overage, without the slack.
func (r *overageRegistry) excess() float64 {
	worst, first := -1e9, 0
	for i, a := range r.f.admissions {
		for r.f.admissions[first].at <= a.at-overageWindow {
			first++
		}
		limit := r.allowedLimit(a.at)
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
