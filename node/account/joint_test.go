package account

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/instance"
)

// jointRule derives from config.State whether a node may serve and refill and which versions other homes hold.
type jointRule struct {
	mayServe      func(v config.State, now time.Time) bool
	mayRefill     func(v config.State, now time.Time) bool
	known         func(v config.State, now time.Time) map[string]int64
	mut           mutation
	addsManyHomes bool // operators add many homes at once
}

// daemonRule is the rule of the daemon.
var daemonRule = jointRule{
	mayServe: func(v config.State, now time.Time) bool { return v.ServeStatus(now).Code == config.StatusServe },
	mayRefill: func(v config.State, now time.Time) bool {
		return v.ServeStatus(now).Code == config.StatusServe && v.HasQuorum(now)
	},
	known: config.State.HomeVersions,
}

// jointNode is a simulated node whose versions, confirmations and heartbeats come from config.State.
type jointNode struct {
	*fleetNode
	state   config.State
	bootID  uint32
	readyAt time.Duration // when a restarted home counts as running again, so that another one may crash
}

// joint is a simulated fleet of jointNodes with a configuration service that may return old versions.
type joint struct {
	*fleet
	rule     jointRule
	members  []*jointNode
	homes    []string
	retired  []string
	nextHome int // index of the node that becomes a home next
	limit    Limit
	staleBy  int64
	cutOff   map[string]bool // nodes that cannot reach the configuration service
	boots    uint32
}

const jointNodes, jointHomes = 14, 4

func newJoint(seed uint64, drift bool, loss float64, rule jointRule, limit Limit) *joint {
	f := &fleet{
		rnd: rand.New(rand.NewPCG(seed, 2)), plan: faultPlan{loss: loss}, mut: rule.mut, byName: map[string]*fleetNode{}, cut: map[[2]string]bool{},
	}
	j := &joint{fleet: f, rule: rule, limit: limit, nextHome: jointHomes, cutOff: map[string]bool{}}
	for i := range jointNodes {
		n := &fleetNode{f: f, name: "n" + string(rune('a'+i)), speed: 1}
		if drift {
			n.speed = 0.99 + 0.01*float64(f.rnd.IntN(2))
		}
		f.nodes = append(f.nodes, n)
		f.byName[n.name] = n
		j.members = append(j.members, &jointNode{fleetNode: n})
		if i < jointHomes {
			j.homes = append(j.homes, n.name)
		}
	}
	j.publish()
	for _, n := range j.members {
		j.restart(n)
	}
	return j
}

func (j *joint) publish() {
	version := int64(len(j.trees) + 1)
	j.trees = append(j.trees, fleetTree(version, slices.Clone(j.homes), slices.Clone(j.retired), j.limit))
}

func (j *joint) at(n *jointNode) time.Time { return time.Unix(1000, 0).Add(n.time()) }

func (j *joint) restart(n *jointNode) {
	j.boots++
	n.bootID = j.boots
	n.boot++
	n.up, n.pausedUntil, n.start, n.version, n.waiting = true, 0, j.now, 0, 0
	n.borrower, n.lender = NewBorrower(j.rnd.Uint64()), NewLender(n.name, 0)
	n.state = config.NewState(n.name, n.bootID).WithContactStarted(j.at(n))
	n.refillAllowed = func() bool { return j.rule.mayRefill(n.state, j.at(n)) }
	n.mayServe = func() bool { return j.rule.mayServe(n.state, j.at(n)) }
	n.readyAt = j.now + 8*time.Second
	n.tick()
	j.readConfig(n)
	j.exchangeHeartbeats(n)
}

func (j *joint) adopt(n *jointNode, version int64) {
	if version <= n.version {
		return
	}
	tree := j.trees[version-1]
	n.version = version
	n.state = n.state.WithTree(config.Manifest{Version: version}, tree)
	n.lender.SetShares(n.time(), NewShares(n.name, tree, HomesOf(tree)))
	n.borrower.SetHomes(HomesOf(tree))
	n.lender.SetHomeVersions(n.time(), j.rule.known(n.state, j.at(n)))
	j.recordUsage()
}

// readConfig asks the configuration service, which may answer with an old version.
func (j *joint) readConfig(n *jointNode) {
	sent := j.at(n)
	if !j.cutOff[n.name] {
		version := max(1, int64(len(j.trees))-j.staleBy)
		j.add(j.now+time.Duration(j.rnd.IntN(500))*time.Millisecond, n.fleetNode, func() {
			j.adopt(n, version)
			n.state = n.state.WithServiceAnswer(sent, version, config.Manifest{Version: version}.Digest())
		})
	}
	j.add(j.now+time.Second+time.Duration(j.rnd.IntN(500))*time.Millisecond, n.fleetNode, func() { j.readConfig(n) })
}

// exchangeHeartbeats exchanges heartbeats with three nodes.
func (j *joint) exchangeHeartbeats(n *jointNode) {
	for range 3 {
		p := j.members[j.rnd.IntN(len(j.members))]
		if p == n {
			continue
		}
		sent, boot := j.at(n), n.bootID
		j.transmit(n.fleetNode, p.fleetNode, func() {
			answer, answered, peerBoot := j.ownHeartbeat(p), j.at(p), p.bootID
			j.transmit(p.fleetNode, n.fleetNode, func() {
				if n.bootID != boot {
					return
				}
				j.receiveHeartbeat(n, answer.WithDelay(j.at(n).Sub(sent)))
				second := j.ownHeartbeat(n)
				j.transmit(n.fleetNode, p.fleetNode, func() {
					if p.bootID == peerBoot {
						j.receiveHeartbeat(p, second.WithDelay(j.at(p).Sub(answered)))
					}
				})
			})
		})
	}
	j.add(j.now+time.Second, n.fleetNode, func() { j.exchangeHeartbeats(n) })
}

func (j *joint) ownHeartbeat(n *jointNode) instance.Heartbeat {
	return instance.Heartbeat{Name: n.name, BootID: n.bootID, VersionReport: n.state.VersionReport(j.at(n))}
}

func (j *joint) receiveHeartbeat(n *jointNode, b instance.Heartbeat) {
	n.state = n.state.WithHeartbeat(j.at(n), b)
	n.lender.SetHomeVersions(n.time(), j.rule.known(n.state, j.at(n)))
	if b.Version > n.version && j.rnd.IntN(4) == 0 {
		j.adopt(n, b.Version)
	}
}

// homesUpToDate reports whether all homes run the newest version, which operators check before they change the homes.
func (j *joint) homesUpToDate() bool {
	for _, n := range j.members {
		if slices.Contains(j.homes, n.name) && !n.terminated && (!n.up || n.version < int64(len(j.trees)) || j.now < n.readyAt) {
			return false
		}
	}
	return true
}

// replaceHome adds a home, or retires one that is terminated for good and adds another one, or drops retired homes from
// both lists; these are the changes that verbctl pack accepts.
func (j *joint) replaceHome() {
	if j.rule.addsManyHomes {
		for range min(4, jointNodes-j.nextHome) {
			j.homes = append(j.homes, j.members[j.nextHome].name)
			j.nextHome++
		}
		j.publishHomes()
		return
	}
	if !j.homesUpToDate() || j.staleBy > 0 {
		return
	}
	if len(j.retired) > 0 {
		j.homes = slices.DeleteFunc(j.homes, func(name string) bool { return slices.Contains(j.retired, name) })
		j.retired = nil
	} else if j.nextHome < jointNodes-4 {
		if j.rnd.IntN(2) == 0 {
			j.homes = append(j.homes, j.members[j.nextHome].name)
			j.nextHome++
			j.publishHomes()
			return
		}
		i := j.rnd.IntN(len(j.homes))
		name := j.homes[i]
		j.byName[name].up, j.byName[name].terminated = false, true
		j.retired = []string{name}
		j.homes = append(j.homes, j.members[j.nextHome].name)
		j.nextHome++
	}
	j.publishHomes()
}

// publishHomes publishes a version with the current homes, often just before the nodes are separated or
// the old homes are cut off.
func (j *joint) publishHomes() {
	old := j.trees[len(j.trees)-1].Fleet().Homes
	j.publish()
	switch j.rnd.IntN(4) {
	case 0:
		j.add(j.now+time.Duration(j.rnd.IntN(700))*time.Millisecond, nil, j.split)
	case 1, 2:
		j.separate(func(name string) bool { return slices.Contains(old, name) })
	}
}

// crash restarts a node; at most one home is down at a time, since the bound does not hold if
// all homes restart while the service returns old versions.
func (j *joint) crash(n *jointNode) {
	if !n.up || (slices.Contains(j.homes, n.name) && !j.homesUpToDate()) {
		return
	}
	n.up = false
	j.add(j.now+time.Duration(j.rnd.IntN(1500))*time.Millisecond, nil, func() {
		if !n.terminated {
			j.restart(n)
		}
	})
}

// split partitions the nodes at random; one side cannot reach the configuration service.
func (j *joint) split() { j.separate(func(string) bool { return j.rnd.IntN(2) == 0 }) }

// separate cuts the chosen nodes off from the others and from the configuration service.
func (j *joint) separate(chosen func(name string) bool) {
	side := map[string]bool{}
	for _, n := range j.nodes {
		side[n.name] = chosen(n.name)
	}
	for _, a := range j.nodes {
		j.cutOff[a.name] = side[a.name]
		for _, b := range j.nodes {
			j.cut[[2]string{a.name, b.name}] = side[a.name] != side[b.name]
		}
	}
}

// runJointFaults simulates a fleet under random faults while bursts beyond the limit arrive at all nodes.
func runJointFaults(seed uint64, drift bool, loss float64, rule jointRule) *joint {
	j := newJoint(seed, drift, loss, rule, Limit{Rate: 20, Burst: 40})
	limits := []Limit{{Rate: 20, Burst: 40}, {Rate: 20, Burst: 40}, {Rate: 40, Burst: 20}}
	var load, injectFault func()
	load = func() {
		j.burst(20+j.rnd.IntN(180), j.nodes)
		j.add(j.now+time.Duration(200+j.rnd.IntN(6000))*time.Millisecond, nil, load)
	}
	injectFault = func() {
		n := j.members[j.rnd.IntN(len(j.members))]
		switch j.rnd.IntN(8) {
		case 0:
			n.pausedUntil = j.now + time.Duration(j.rnd.IntN(12000))*time.Millisecond
		case 1, 2:
			j.crash(n)
		case 3:
			j.split()
		case 4:
			clear(j.cut)
			clear(j.cutOff)
		case 5:
			j.staleBy = int64(j.rnd.IntN(3))
		case 6:
			j.limit = limits[j.rnd.IntN(len(limits))]
			j.publish()
		case 7:
			clear(j.cut)
			clear(j.cutOff)
			j.staleBy = 0
			j.add(j.now+3*time.Second, nil, j.replaceHome)
		}
		j.add(j.now+time.Duration(j.rnd.IntN(6000))*time.Millisecond, nil, injectFault)
	}
	j.add(10*time.Second, nil, load)
	j.add(10*time.Second, nil, injectFault)
	j.runUntil(45 * time.Second)
	return j
}

// TestJointBound guards against version rules and leases that keep the bound separately but not together,
// while homes restart, are paused, cut off and replaced, and the configuration service serves old versions.
func TestJointBound(t *testing.T) {
	t.Parallel()
	admitted, replaced := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		j := runJointFaults(rapid.Uint64().Draw(t, "seed"), rapid.Bool().Draw(t, "drift"),
			rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss"), daemonRule)
		admitted += len(j.admissions)
		replaced += j.nextHome - jointHomes
		if e := j.excess(); e > 1e-6 {
			t.Fatalf("%.2f requests beyond the bound", e)
		}
	})
	t.Logf("%d admissions, %d homes replaced", admitted, replaced)
	require.Greater(t, admitted, 2000, "too few admissions for a check")
	require.Greater(t, replaced, 10, "too few changes of homes for a check")
}

// TestJointBoundDetectsWrongRule guards against a check of the bound that passes even if the rules are wrong.
func TestJointBoundDetectsWrongRule(t *testing.T) {
	t.Parallel()
	always := func(config.State, time.Time) bool { return true }
	cases := map[string]jointRule{
		"no confirmations, own version only, many homes added at once": {
			mayServe: always, mayRefill: always, known: func(config.State, time.Time) map[string]int64 { return nil },
			mut: mutation{useOwnVersion: true}, addsManyHomes: true,
		},
	}
	for name, rule := range cases {
		t.Run(name, func(t *testing.T) {
			worst, found := -1e9, 0
			for seed := uint64(1); seed <= 10; seed++ {
				e := runJointFaults(seed, true, 0.1, rule).excess()
				worst = max(worst, e)
				if e > 0 {
					found++
				}
			}
			t.Logf("%d of 10 runs exceed the bound, the worst by %.2f", found, worst)
			require.Greater(t, worst, 0.0)
		})
	}
}
