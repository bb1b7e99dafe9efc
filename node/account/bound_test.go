package account

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of generated inputs, so that CI is reproducible, and guards against leaked goroutines.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20261204", "rapid.checks": "60", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	code := m.Run()
	if code == 0 {
		if err := goleak.Find(); err != nil {
			println(err.Error())
			code = 1
		}
	}
	os.Exit(code)
}

var fleetHomes = []string{"n0", "n1", "n2", "n3", "n4"}

// runRandomFaults simulates 30 nodes under the faults of a plan. Quiet periods, in which the buckets fill, alternate with
// larger bursts of requests. Faults are injected during bursts, and the next burst often starts when their effect ends.
func runRandomFaults(plan faultPlan, mut mutation) *fleet {
	limits := []Limit{{Rate: 4, Burst: 60}, {Rate: 20, Burst: 60}, {Rate: 1, Burst: 20}}
	f := newFleet(30, plan, mut, fleetTree(1, fleetHomes, nil, limits[plan.seed%3]))
	var load func()
	load = func() {
		f.notRun = 0
		if f.rnd.Float64() < plan.notRun {
			f.notRun = 0.95
		}
		burst := 5 + f.rnd.IntN(120)
		spread := 1 + f.rnd.IntN(len(f.nodes))
		f.burst(burst, f.nodes[:spread])
		for range f.rnd.IntN(3) {
			window := []int{25, 300}[f.rnd.IntN(2)]
			f.add(f.now+time.Duration(f.rnd.IntN(window))*time.Millisecond, nil, f.injectFault)
		}
		gaps := []int{100, 500, 2500, 5000, 20000}
		f.add(f.now+time.Duration(f.rnd.IntN(gaps[f.rnd.IntN(len(gaps))]))*time.Millisecond, nil, load)
	}
	f.add(8*time.Second, nil, load)
	if plan.retire {
		f.add(40*time.Second, nil, func() { f.nodes[4].up, f.nodes[4].terminated = false, true })
	}
	f.runUntil(150 * time.Second)
	return f
}

// burst sends requests to random ones of the given nodes within 20 ms.
func (f *fleet) burst(count int, nodes []*fleetNode) {
	for range count {
		n := nodes[f.rnd.IntN(len(nodes))]
		f.deliver(time.Duration(f.rnd.IntN(20))*time.Millisecond, n, n.request)
	}
}

// injectFault causes one fault, more often at a home than elsewhere.
func (f *fleet) injectFault() {
	n := f.nodes[f.rnd.IntN(len(f.nodes))]
	if f.rnd.IntN(2) == 0 {
		n = f.nodes[f.rnd.IntN(5)]
	}
	switch f.rnd.IntN(7) {
	case 0:
		if f.plan.pauses {
			f.pause()
		}
	case 1:
		if f.plan.crashes {
			f.crash(n)
		}
	case 2:
		if f.plan.allCrash && f.rnd.IntN(2) == 0 {
			for _, n := range f.nodes[:5+25*f.rnd.IntN(2)] {
				f.crash(n)
			}
		}
	case 3:
		clear(f.cut)
		if f.plan.partitions && f.rnd.IntN(2) == 0 {
			for _, a := range f.nodes {
				for _, b := range f.nodes {
					if f.rnd.IntN(3) == 0 {
						f.cut[[2]string{a.name, b.name}] = true
					}
				}
			}
		}
	case 4:
		if f.plan.partitions {
			side := map[string]bool{}
			for _, a := range f.nodes {
				side[a.name] = f.rnd.IntN(2) == 0
			}
			for _, a := range f.nodes {
				for _, b := range f.nodes {
					f.cut[[2]string{a.name, b.name}] = side[a.name] != side[b.name]
				}
			}
		}
	case 5, 6:
		if f.plan.versions {
			f.publish()
		}
	}
}

// pause stops a few or many nodes until the same time, when a burst of requests arrives.
func (f *fleet) pause() {
	end := f.now + time.Duration(f.rnd.IntN(2000))*time.Millisecond
	if f.rnd.IntN(2) == 0 {
		end += time.Duration(f.rnd.IntN(60)) * time.Second
	}
	share := 1 + f.rnd.IntN(10)
	for _, n := range f.nodes[5*f.rnd.IntN(2):] {
		if f.rnd.IntN(10) < share {
			n.pausedUntil = end
		}
	}
	f.add(end, nil, func() {
		f.notRun = 0
		f.burst(100, f.nodes)
	})
}

func (f *fleet) crash(n *fleetNode) {
	if !n.up {
		return
	}
	n.up = false
	f.recordUsage()
	delay := time.Duration(f.rnd.IntN(100)) * time.Millisecond
	if f.rnd.IntN(3) == 0 {
		delay = time.Duration(f.rnd.IntN(3000)) * time.Millisecond
	}
	f.add(f.now+delay, nil, func() {
		// The configuration service that the new process reads may be stale.
		version := int64(len(f.trees))
		if f.rnd.IntN(4) == 0 {
			version = max(1, version-int64(f.rnd.IntN(3)))
		}
		if !n.terminated {
			n.restart(version)
		}
	})
}

func (f *fleet) publish() {
	limits := []Limit{{Rate: 4, Burst: 60}, {Rate: 4, Burst: 60}, {Rate: 1, Burst: 9}, {Rate: 40, Burst: 15}, {Rate: 2, Burst: 80}}
	homes := fleetHomes
	if f.plan.homes && f.rnd.IntN(2) == 0 {
		// The homes of versions in use differ by one home at most, so that their majorities share a home.
		homes = fleetHomes[:4]
	}
	var retired []string
	if f.nodes[4].terminated {
		retired = fleetHomes[4:]
	}
	version := int64(len(f.trees) + 1)
	f.trees = append(f.trees, fleetTree(version, homes, retired, limits[f.rnd.IntN(len(limits))]))
	for _, n := range f.nodes {
		if n.up {
			f.add(f.now+time.Duration(f.rnd.IntN(5000))*time.Millisecond, n, func() { n.adopt(version) })
		}
	}
}

// TestBound guards against an account that gets more than rate*t + burst in any interval,
// whatever happens to processes, the network, clocks and versions.
func TestBound(t *testing.T) {
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		plan := faultPlan{
			seed:       rapid.Uint64().Draw(t, "seed"),
			drift:      rapid.Bool().Draw(t, "drift"),
			loss:       rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss"),
			pauses:     rapid.Bool().Draw(t, "pauses"),
			crashes:    rapid.Bool().Draw(t, "crashes"),
			allCrash:   rapid.Bool().Draw(t, "allCrash"),
			partitions: rapid.Bool().Draw(t, "partitions"),
			versions:   rapid.Bool().Draw(t, "versions"),
			homes:      rapid.Bool().Draw(t, "homes"),
			retire:     rapid.Bool().Draw(t, "retire"),
			notRun:     rapid.SampledFrom([]float64{0, 0.1, 0.8}).Draw(t, "notRun"),
		}
		f := runRandomFaults(plan, mutation{})
		admitted += len(f.admissions)
		if e := f.excess(); e > 1e-6 {
			t.Fatalf("%.2f requests beyond the bound", e)
		}
	})
	require.Greater(t, admitted, 1000, "too few admissions for a check")
}

// TestBoundDetectsMutations guards against a check of the bound that passes even if the protocol is wrong.
func TestBoundDetectsMutations(t *testing.T) {
	all := faultPlan{drift: true, notRun: 0.5, pauses: true, crashes: true, allCrash: true}
	cases := map[string]struct {
		plan faultPlan
		mut  mutation
	}{
		"a restarted home has a full bucket": {plan: all, mut: mutation{restartFull: true}},
		"a grant is credited twice":          {plan: all, mut: mutation{creditTwice: true}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			worst := -1e9
			for seed := uint64(1); seed <= 40 && worst <= 0; seed++ {
				tc.plan.seed = seed
				worst = max(worst, runRandomFaults(tc.plan, tc.mut).excess())
			}
			require.Greater(t, worst, 0.0)
		})
	}
}

// borrowAndPause lets the nodes beyond the homes borrow the whole burst, pauses them before they return it, and has them spend
// it at the given time, before anything else.
func (f *fleet) borrowAndPause(until time.Duration) {
	f.forwardAtOnce = true
	f.add(8*time.Second, nil, func() {
		f.notRun = 1
		f.burst(300, f.nodes[10:])
	})
	f.add(8205*time.Millisecond, nil, func() {
		f.notRun = 0
		for _, n := range f.nodes[10:] {
			n.pausedUntil = until
		}
		f.burst(300, f.nodes[10:])
	})
}

// publishTo publishes a version with the given homes at a time, when the given nodes adopt it.
func (f *fleet) publishTo(at time.Duration, homes []string, limit Limit, nodes []*fleetNode) {
	f.add(at, nil, func() {
		version := int64(len(f.trees) + 1)
		f.trees = append(f.trees, fleetTree(version, homes, nil, limit))
		for _, n := range nodes {
			n.adopt(version)
		}
	})
}

// TestBoundScenarios guards against sequences of events that random faults rarely produce. Each sequence must also exceed
// the bound if the rule that it tests is broken.
func TestBoundScenarios(t *testing.T) {
	limit := Limit{Rate: 20, Burst: 60}
	cases := map[string]struct {
		plan     faultPlan
		mut      mutation
		scenario func(f *fleet)
	}{
		"a home restarts while its leases are unspent": {
			mut: mutation{restartWithoutWait: true},
			scenario: func(f *fleet) {
				f.borrowAndPause(9900 * time.Millisecond)
				f.add(8250*time.Millisecond, nil, func() {
					for _, n := range f.nodes[:5] {
						n.restart(1)
					}
				})
			},
		},
		"a home leaves while its leases are unspent": {
			mut: mutation{raiseVersionNow: true},
			scenario: func(f *fleet) {
				f.borrowAndPause(9900 * time.Millisecond)
				f.publishTo(8250*time.Millisecond, fleetHomes[:1], limit, f.nodes[:10])
			},
		},
		"a home is removed and added again": {
			mut: mutation{raiseVersionNow: true},
			scenario: func(f *fleet) {
				f.publishTo(time.Second, fleetHomes[:1], limit, f.nodes)
				f.borrowAndPause(9900 * time.Millisecond)
				f.publishTo(8204*time.Millisecond, fleetHomes, limit, f.nodes)
			},
		},
		"a new home starts while the old ones hold an older version": {
			mut: mutation{useOwnVersion: true},
			scenario: func(f *fleet) {
				f.publishTo(8*time.Second, []string{"n5"}, limit, append(f.nodes[10:20:20], f.nodes[5]))
				f.add(11500*time.Millisecond, nil, func() { f.burst(300, f.nodes[10:]) })
			},
		},
		"a token is refunded after it was reported as spent": {
			mut: mutation{lateRefund: true},
			scenario: func(f *fleet) {
				f.forwardAtOnce, f.refundDelay = true, 1500*time.Millisecond
				f.add(8*time.Second, nil, func() {
					f.notRun = 1
					f.burst(300, f.nodes[10:])
				})
				f.add(9500*time.Millisecond, nil, func() {
					f.notRun = 0
					for range 5 {
						f.burst(100, f.nodes[10:])
					}
				})
			},
		},
		"a process is paused between spending and forwarding": {
			mut: mutation{lateForward: true},
			scenario: func(f *fleet) {
				f.add(8*time.Second, nil, func() { f.burst(600, f.nodes[10:20]) })
				f.add(8020*time.Millisecond, nil, func() {
					for _, n := range f.nodes[10:20] {
						n.pausedUntil = 20 * time.Second
					}
				})
				f.add(20*time.Second, nil, func() { f.burst(300, f.nodes[20:]) })
			},
		},
		"a grant is received after a pause": {
			mut: mutation{leaseFromReceipt: true},
			scenario: func(f *fleet) {
				f.forwardAtOnce = true
				f.add(8*time.Second, nil, func() { f.burst(600, f.nodes[10:20]) })
				f.add(8002*time.Millisecond, nil, func() {
					for _, n := range f.nodes[10:20] {
						n.pausedUntil = 20 * time.Second
					}
				})
				f.add(20*time.Second, nil, func() { f.burst(300, f.nodes[20:]) })
			},
		},
		"a home is cut off when all others restart without it": {
			mut: mutation{refillAlways: true},
			scenario: func(f *fleet) {
				rest := slices.Concat(f.nodes[:4], f.nodes[15:])
				f.add(8*time.Second, nil, func() {
					for _, a := range rest {
						for _, b := range f.nodes {
							f.cut[[2]string{a.name, b.name}] = !slices.Contains(rest, b)
							f.cut[[2]string{b.name, a.name}] = !slices.Contains(rest, b)
						}
					}
					f.trees = append(f.trees, fleetTree(2, fleetHomes[:4], nil, limit))
					for _, n := range rest {
						n.restart(2)
					}
				})
				f.add(23*time.Second, nil, func() {
					f.burst(300, rest[4:])
					f.burst(100, f.nodes[10:15])
				})
			},
		},
		"a lease request with returned tokens arrives again": {
			plan: faultPlan{duplicateAfter: 10 * time.Second},
			mut:  mutation{creditUnknownReturns: true},
			scenario: func(f *fleet) {
				f.add(8*time.Second, nil, func() {
					f.notRun = 1
					f.burst(300, f.nodes[10:])
				})
				for _, at := range []time.Duration{17900, 18800} {
					f.add(at*time.Millisecond, nil, func() {
						f.notRun = 0
						f.burst(300, f.nodes[10:])
					})
				}
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for _, mut := range []mutation{{}, tc.mut} {
				worst := -1e9
				for seed := uint64(1); seed <= 5; seed++ {
					tc.plan.seed = seed
					f := newFleet(30, tc.plan, mut, fleetTree(1, fleetHomes, nil, limit))
					tc.scenario(f)
					f.runUntil(25 * time.Second)
					worst = max(worst, f.excess())
				}
				require.Equal(t, mut != mutation{}, worst > 1e-6, "excess %f", worst)
			}
		})
	}
}
