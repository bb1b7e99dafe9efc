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
	// eagerOverage is the part beyond rate and burst that the homes mint, and allowedOverage the part that may be
	// admitted, with allowedSlack requests more, in each eagerWindow.
	eagerOverage   = 0.15
	allowedOverage = 0.25
	allowedSlack   = 20
	eagerWindow    = 5 * time.Second
	// adoptWithin is the time in which nodes that read the registry follow it.
	adoptWithin = 2 * time.Second
)

// eager is a registry from which the nodes learn the homes and the limit of the account.
type eager struct {
	f       *fleet
	limit   Limit
	limits  []usage // the limits of the registry from a time on
	listed  []string
	frozen  map[string]time.Duration // until when a node does not read the registry
	fleets  map[string]int64
	overage float64
}

func newEagerFleet(n int, m mishaps, limit Limit, overage float64) *fleet {
	e := &eager{limit: limit, limits: []usage{{limit: limit}}, frozen: map[string]time.Duration{}, fleets: map[string]int64{}, overage: overage}
	f := newFleet(0, m, fault{}, fleetTree(1, nil, nil, limit))
	e.f, f.eager = f, e
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
func (e *eager) restart(n *fleetNode) {
	n.book, n.ledger = NewOverageBorrower(e.f.rnd.Uint64()), NewOverageLender(n.name, 0)
	e.fleets[n.name] = 0
	delete(e.frozen, n.name)
	e.tell(n)
}

// tell lets a node adopt the registry.
func (e *eager) tell(n *fleetNode) {
	e.fleets[n.name]++
	tree := config.NewTree(1, config.Fleet{Homes: e.listed}, nil,
		[]config.Account{{Name: fleetAccount, Rate: e.limit.Rate, Burst: e.limit.Burst}})
	n.ledger.SetShares(n.time(), NewShares(n.name, tree, HomesOf(tree)).WithVersion(e.fleets[n.name]).WithOverage(e.overage))
	n.book.SetHomes(HomesOf(tree))
}

// changed lets each node that runs adopt the registry within adoptWithin, or when it reads the registry again.
func (e *eager) changed() {
	for _, n := range e.f.nodes {
		at := max(e.f.now, e.frozen[n.name]) + time.Duration(e.f.rnd.Int64N(int64(adoptWithin)))
		if n.up {
			e.f.add(at, n, func() { e.tell(n) })
		}
	}
}

// crash stops a node, which starts again after a while; the registry drops it if that requests long.
func (e *eager) crash(n *fleetNode) {
	if !n.up {
		return
	}
	n.up = false
	down := time.Duration(100+e.f.rnd.IntN(8000)) * time.Millisecond
	lapse := 3 * time.Second
	if down > lapse {
		e.f.add(e.f.now+lapse, nil, func() {
			e.listed = slices.DeleteFunc(slices.Clone(e.listed), func(s string) bool { return s == n.name })
			e.changed()
		})
	}
	e.f.add(e.f.now+down, nil, func() {
		if !slices.Contains(e.listed, n.name) {
			e.listed = append(slices.Clone(e.listed), n.name)
			slices.Sort(e.listed)
			e.changed()
		}
		n.restart(1)
	})
}

// freeze cuts some nodes off the registry for a while.
func (e *eager) freeze() {
	until := e.f.now + time.Duration(1+e.f.rnd.IntN(30))*time.Second
	for _, n := range e.f.nodes {
		if e.f.rnd.IntN(3) == 0 {
			e.frozen[n.name] = until
		}
	}
}

// split cuts the nodes into two sides that do not hear each other.
func (e *eager) split() {
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

// change sets another limit of the account.
func (e *eager) change() {
	limits := []Limit{{Rate: 4, Burst: 60}, {Rate: 30, Burst: 20}, {Rate: 100, Burst: 200}, {Rate: 10, Burst: 10}}
	e.limit = limits[e.f.rnd.IntN(len(limits))]
	e.limits = append(e.limits, usage{at: e.f.now, limit: e.limit})
	e.changed()
}

// strike causes one mishap.
func (e *eager) strike() {
	n := e.f.nodes[e.f.rnd.IntN(len(e.f.nodes))]
	switch e.f.rnd.IntN(7) {
	case 0:
		if e.f.m.pauses {
			e.f.pause()
		}
	case 1, 2:
		if e.f.m.crashes {
			e.crash(n)
		}
	case 3:
		if e.f.m.allCrash && e.f.rnd.IntN(3) == 0 {
			for _, n := range e.f.nodes {
				e.crash(n)
			}
		}
	case 4:
		if e.f.m.partitions {
			e.split()
		}
	case 5:
		if e.f.m.homes {
			e.freeze()
		}
	case 6:
		if e.f.m.versions {
			e.change()
		}
	}
}

// allowance returns the largest limit in force within the window that ends at a time, or shortly before it, when
// nodes may not have adopted the registry.
func (e *eager) allowance(t time.Duration) Limit {
	frozen := time.Duration(0)
	if e.f.m.homes {
		frozen = 31 * time.Second
	}
	var limit Limit
	for i, u := range e.limits {
		if u.at <= t && (i+1 == len(e.limits) || e.limits[i+1].at > t-2*eagerWindow-adoptWithin-frozen) {
			limit = Limit{Rate: max(limit.Rate, u.limit.Rate), Burst: max(limit.Burst, u.limit.Burst)}
		}
	}
	return limit
}

// excess returns by how many requests the worst window exceeds the promise with its overage, without the slack.
func (e *eager) excess() float64 {
	worst, first := -1e9, 0
	for i, a := range e.f.admissions {
		for e.f.admissions[first].at <= a.at-eagerWindow {
			first++
		}
		limit := e.allowance(a.at)
		worst = max(worst, float64(i-first+1)-(1+allowedOverage)*(limit.Rate*eagerWindow.Seconds()+limit.Burst))
	}
	return worst
}

// eagerStorm sends far more than the limit allows to a few dozen nodes through the mishaps.
func eagerStorm(m mishaps, overage float64) *fleet {
	limits := []Limit{{Rate: 4, Burst: 60}, {Rate: 20, Burst: 60}, {Rate: 120, Burst: 60}, {Rate: 6, Burst: 12}}
	f := newEagerFleet(30, m, limits[m.seed%4], overage)
	var load func()
	load = func() {
		spread := f.nodes[:1+f.rnd.IntN(len(f.nodes))]
		f.burst(5+f.rnd.IntN(200), spread)
		for range f.rnd.IntN(2) {
			f.eager.strike()
		}
		gaps := []int{100, 500, 2500, 5000}
		f.add(f.now+time.Duration(f.rnd.IntN(gaps[f.rnd.IntN(len(gaps))]))*time.Millisecond, nil, load)
	}
	f.add(8*time.Second, nil, load)
	f.runUntil(70 * time.Second)
	return f
}

// TestEagerBound guards against an account that gets more in a window than its promise with overage and slack, when
// homes follow views of the fleet that differ between nodes and borrowers do not report spent tokens.
func TestEagerBound(t *testing.T) {
	admitted, worst := 0, -1e9
	rapid.Check(t, func(t *rapid.T) {
		f := eagerStorm(mishaps{
			seed:       rapid.Uint64().Draw(t, "seed"),
			loss:       rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss"),
			pauses:     rapid.Bool().Draw(t, "pauses"),
			crashes:    rapid.Bool().Draw(t, "crashes"),
			allCrash:   rapid.Bool().Draw(t, "allCrash"),
			partitions: rapid.Bool().Draw(t, "partitions"),
			homes:      rapid.Bool().Draw(t, "frozen"),
			versions:   rapid.Bool().Draw(t, "limits"),
			notRun:     rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "notRun"),
		}, eagerOverage)
		admitted += len(f.admissions)
		e := f.eager.excess()
		worst = max(worst, e)
		if e > allowedSlack {
			t.Fatalf("%.2f requests beyond the bound", e)
		}
	})
	require.Greater(t, admitted, 1000, "too few admissions for a check")
	t.Logf("%d admitted, worst excess %.1f", admitted, worst)
}

// TestEagerBoundFindsFaults guards against a check of the bound that no wrong scheme can fail.
func TestEagerBoundFindsFaults(t *testing.T) {
	worst := -1e9
	for seed := uint64(1); seed <= 20 && worst <= allowedSlack; seed++ {
		worst = max(worst, eagerStorm(mishaps{seed: seed, crashes: true}, 1).eager.excess())
	}
	require.Greater(t, worst, float64(allowedSlack))
}

// TestEagerCalm guards against refusals of an account that stays inside its rate.
func TestEagerCalm(t *testing.T) {
	cases := map[string]struct {
		nodes  int
		limit  Limit
		part   float64 // of the rate that is sent
		most   float64 // share of requests that may be refused
		next   func(f *fleet, i int) int
		strike bool
	}{
		"at one node": {
			nodes: 30, limit: Limit{Rate: 50, Burst: 100}, part: 0.9,
			next: func(*fleet, int) int { return 9 },
		},
		"at random nodes": {
			nodes: 30, limit: Limit{Rate: 50, Burst: 100}, part: 0.9,
			next: func(f *fleet, _ int) int { return f.rnd.IntN(30) },
		},
		"a small account at random nodes": {
			nodes: 100, limit: Limit{Rate: 5, Burst: 10}, part: 0.8, most: 0.01,
			next: func(f *fleet, _ int) int { return f.rnd.IntN(100) },
		},
		"at random nodes while nodes restart": {
			nodes: 30, limit: Limit{Rate: 50, Burst: 100}, part: 0.8, strike: true, most: 0.01,
			next: func(f *fleet, _ int) int { return f.rnd.IntN(30) },
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newEagerFleet(tc.nodes, mishaps{seed: 7}, tc.limit, eagerOverage)
			sent, end := 0, 72*time.Second
			for at := 12 * time.Second; at < end; {
				at += time.Duration(f.rnd.ExpFloat64() / tc.limit.Rate / tc.part * float64(time.Second))
				n := f.nodes[tc.next(f, sent)]
				sent++
				f.add(at, nil, func() {
					if n.up {
						n.request()
					}
				})
			}
			for at := 15 * time.Second; tc.strike && at < end; at += 4 * time.Second {
				f.add(at, nil, func() { f.eager.crash(f.nodes[f.rnd.IntN(len(f.nodes))]) })
			}
			f.runUntil(end + time.Second)
			t.Logf("%d sent, %d refused, %d lease requests", sent, f.refused, f.leaseRequests)
			require.LessOrEqual(t, float64(f.refused), tc.most*float64(sent))
		})
	}
}
