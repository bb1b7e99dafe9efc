package config

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/instance/rpc"
)

// step is the resolution of simulated time.
const step = 20 * time.Millisecond

// versionRules are the functions by which simulated nodes adopt versions and decide whether to serve.
type versionRules struct {
	offer func(v State, m Manifest) (State, OfferStatus)
	adopt func(v State, m Manifest, t Tree) State
	serve func(v State, now time.Time) bool
}

var realRules = versionRules{
	offer: State.WithOffer,
	adopt: State.WithTree,
	serve: func(v State, now time.Time) bool { return v.ServeStatus(now).Code == StatusServe },
}

// naiveRules adopt the version offered last, even a lower one, and serve any version.
var naiveRules = versionRules{
	offer: func(v State, m Manifest) (State, OfferStatus) {
		if m.Version == v.Version() {
			return v, OfferKnown
		}
		return v, OfferFetch
	},
	adopt: func(v State, m Manifest, t Tree) State {
		v.held, v.digest, v.tree = m, m.Digest(), t
		return v
	},
	serve: func(v State, _ time.Time) bool { return v.Version() > 0 },
}

type release struct {
	manifest Manifest
	tree     Tree
	size     int
}

// exactTimes holds the exact times of confirmations on the simulated clock; the nodes themselves know only ages.
type exactTimes struct {
	homes   map[int]map[int64]time.Duration // last heartbeat of home i with a version
	service map[int64]time.Duration         // last request that the service answered with a version
}

func (t exactTimes) merge(o exactTimes) {
	for i, versions := range o.homes {
		for version, at := range versions {
			t.recordHome(i, version, at)
		}
	}
	for version, at := range o.service {
		t.service[version] = max(t.service[version], at)
	}
}

func (t exactTimes) recordHome(i int, version int64, at time.Duration) {
	if t.homes[i] == nil {
		t.homes[i] = map[int64]time.Duration{}
	}
	t.homes[i][version] = max(t.homes[i][version], at)
}

func (t exactTimes) clone() exactTimes {
	c := newExactTimes()
	c.merge(t)
	return c
}

func newExactTimes() exactTimes {
	return exactTimes{homes: map[int]map[int64]time.Duration{}, service: map[int64]time.Duration{}}
}

type simNode struct {
	index          int
	name           string
	offset         time.Duration // of the node's clock from the simulated one
	heartbeatPhase int
	boot           uint32
	state          State
	neighbours     instance.Neighbours
	exact          exactTimes
	pausedUntil    time.Duration
	reading        bool
	nextRead       time.Duration
	lastAnswer     serviceAnswer
	fetching       bool
}

// simFleet simulates a fleet: nodes with State and the network and service between them.
type simFleet struct {
	t             require.TestingT
	rules         versionRules
	random        *rand.Rand
	now           time.Duration
	events        map[time.Duration][]func()
	nodes         []*simNode
	homes         int
	view          instance.View
	checkExact    bool // check each serving node against exact times
	countBytes    bool // count the bytes of heartbeats
	delay         time.Duration
	lossRate      float64
	duplicateRate float64
	partition     func(i int) int // network partition of a node; the service is in partition 0

	releases    []release
	serviceDown bool
	serviceLag  int // versions by which the service lags behind
	calls       int
	bytes       int
	violations  []string
}

func newSimFleet(t require.TestingT, r versionRules, n, homes int, seed uint64) *simFleet {
	f := &simFleet{
		t: t, rules: r, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, homes: homes,
		events: map[time.Duration][]func(){}, partition: func(int) int { return 0 }, delay: 2 * step,
	}
	var list []instance.Instance
	for i := range n {
		list = append(list, instance.Instance{Name: fmt.Sprintf("n%d", i), State: instance.StateLive})
		f.nodes = append(f.nodes, &simNode{
			index: i, name: list[i].Name, heartbeatPhase: f.random.IntN(heartbeatSteps),
			offset: time.Duration(f.random.Int64N(int64(1000 * time.Hour))),
		})
		f.restart(i)
	}
	f.view = instance.View{}.WithList(start, list)
	return f
}

// heartbeatSteps is the number of steps between two heartbeats of a node, three a second.
const heartbeatSteps = int(time.Second / 3 / step)

func (f *simFleet) localTime(n *simNode) time.Time { return start.Add(f.now + n.offset) }

func (f *simFleet) restart(i int) {
	n := f.nodes[i]
	n.boot++
	n.state = NewState(n.name, n.boot).WithContactStarted(f.localTime(n))
	n.neighbours, n.exact, n.lastAnswer = instance.Neighbours{}, newExactTimes(), serviceAnswer{}
	n.reading, n.fetching, n.pausedUntil = false, false, 0
	n.nextRead = f.now + time.Duration(f.random.Int64N(int64(homeContactTimeout)))
}

// publish adds the next version to the configuration service.
func (f *simFleet) publish() {
	homes := ""
	for i := range f.homes {
		homes += fmt.Sprintf("n%d,", i)
	}
	version := int64(len(f.releases) + 1)
	m, parts, tree := packVersion(f.t, version, "homes: ["+homes+"]", fmt.Sprint(version))
	size := len(m.Bytes())
	for _, p := range parts {
		size += len(p)
	}
	f.releases = append(f.releases, release{manifest: m, tree: tree, size: size})
}

func (f *simFleet) schedule(d time.Duration, run func()) {
	due := f.now + max(d.Truncate(step), step)
	f.events[due] = append(f.events[due], run)
}

// onNode runs an event on a node after d, or once the node is no longer paused; a restart cancels it.
func (f *simFleet) onNode(n *simNode, d time.Duration, run func()) {
	boot := n.boot
	var attempt func()
	attempt = func() {
		switch {
		case n.boot != boot:
		case n.pausedUntil > f.now:
			f.schedule(n.pausedUntil-f.now, attempt)
		default:
			run()
		}
	}
	f.schedule(d, attempt)
}

// send delivers a message after a random delay; it may duplicate or lose it, and a partition drops it.
func (f *simFleet) send(from, to *simNode, run func()) {
	copies := 1
	if f.random.Float64() < f.duplicateRate {
		copies = 2
	}
	for range copies {
		if f.random.Float64() < f.lossRate || f.partition(from.index) != f.partition(to.index) {
			continue
		}
		f.onNode(to, time.Duration(f.random.Int64N(int64(f.delay))), func() {
			if f.partition(from.index) == f.partition(to.index) {
				run()
			}
		})
	}
}

func (f *simFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += step
		events := f.events[f.now]
		delete(f.events, f.now)
		f.random.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
		for _, e := range events {
			e()
		}
		for _, n := range f.nodes {
			if n.pausedUntil > f.now {
				continue
			}
			f.checkServing(n)
			if (int(f.now/step)+n.heartbeatPhase)%heartbeatSteps == 0 {
				f.exchange(n)
			}
			f.tick(n)
		}
	}
}

// checkServing records a violation if a node serves without a confirmation younger than MaxConfirmationAge by exact times.
func (f *simFleet) checkServing(n *simNode) {
	if !f.checkExact || !f.rules.serve(n.state, f.localTime(n)) {
		return
	}
	held := n.state.Version()
	if at, ok := n.exact.service[held]; ok && f.now-at < MaxConfirmationAge {
		return
	}
	confirmed := 0
	for i := range f.homes {
		recent := i == n.index
		for version, at := range n.exact.homes[i] {
			recent = recent || (version <= held && f.now-at < MaxConfirmationAge)
		}
		if recent {
			confirmed++
		}
	}
	if confirmed*2 <= f.homes {
		f.violations = append(f.violations, fmt.Sprintf("%s: %s serves version %d without a recent confirmation", f.now, n.name, held))
	}
}

func (f *simFleet) heartbeat(n *simNode) (instance.Heartbeat, exactTimes) {
	b := instance.Heartbeat{Name: n.name, BootID: n.boot, VersionReport: n.state.VersionReport(f.localTime(n))}
	if !f.checkExact {
		return b, exactTimes{}
	}
	t := n.exact.clone()
	if n.index < f.homes && n.state.Version() > 0 {
		t.recordHome(n.index, n.state.Version(), f.now)
	}
	return b, t
}

func (f *simFleet) countHeartbeat(b instance.Heartbeat) {
	if f.countBytes {
		f.bytes += proto.Size(rpc.Encode(b))
	}
}

// exchange simulates the three messages of a heartbeat exchange.
func (f *simFleet) exchange(n *simNode) {
	neighbours, peer, ok := n.neighbours.WithNext(start, f.view, n.name, f.random.IntN)
	n.neighbours = neighbours
	if !ok {
		return
	}
	var i int
	_, _ = fmt.Sscanf(peer.Name, "n%d", &i)
	p := f.nodes[i]
	sent := f.localTime(n)
	f.countHeartbeat(instance.Heartbeat{Name: n.name, BootID: n.boot})
	f.send(n, p, func() {
		answer, answerTimes := f.heartbeat(p)
		answered := f.localTime(p)
		f.countHeartbeat(answer)
		f.send(p, n, func() {
			answer = answer.WithDelay(f.localTime(n).Sub(sent))
			f.receive(n, p, answer, answerTimes)
			second, secondTimes := f.heartbeat(n)
			second = second.WithoutKnown(answer)
			f.countHeartbeat(second)
			f.send(n, p, func() { f.receive(p, n, second.WithDelay(f.localTime(p).Sub(answered)), secondTimes) })
		})
	})
}

func (f *simFleet) receive(n, from *simNode, b instance.Heartbeat, t exactTimes) {
	if f.checkExact {
		n.exact.merge(t)
	}
	n.state = n.state.WithVersionReport(f.localTime(n), b.VersionReport)
	if b.Version > n.state.Version() {
		f.offer(n, from, f.releases[b.Version-1].manifest)
	}
}

// offer handles an offer and fetches the version from the offering node, or from the service if from is nil.
func (f *simFleet) offer(n, from *simNode, m Manifest) {
	v, decision := f.rules.offer(n.state, m)
	n.state = v
	if decision != OfferFetch || n.fetching {
		return
	}
	n.fetching = true
	f.onNode(n, fetchTimeout, func() {
		if n.fetching {
			n.fetching, n.state = false, n.state.WithoutPending(m)
		}
	})
	fetched := func() {
		if n.fetching {
			f.adopt(n, m)
		}
	}
	if from == nil {
		f.onNode(n, f.delay, fetched)
		return
	}
	f.send(n, from, func() {
		if from.state.Version() == m.Version {
			f.bytes += f.releases[m.Version-1].size
			f.send(from, n, fetched)
		}
	})
}

func (f *simFleet) adopt(n *simNode, m Manifest) {
	n.fetching = false
	before := n.state.Version()
	n.state = f.rules.adopt(n.state, m, f.releases[m.Version-1].tree)
	after := n.state.Version()
	if after < before {
		f.violations = append(f.violations, fmt.Sprintf("%s: %s went from version %d to %d", f.now, n.name, before, after))
	}
	if after == before {
		return
	}
	for _, peer := range f.view.Pick(start, fanout, n.name, f.random.IntN) {
		var i int
		_, _ = fmt.Sscanf(peer.Name, "n%d", &i)
		f.bytes += len(m.Bytes())
		f.send(n, f.nodes[i], func() { f.offer(f.nodes[i], n, m) })
	}
}

func (f *simFleet) tick(n *simNode) {
	local := f.localTime(n)
	home := n.state.IsHome()
	if n.reading || f.now < n.nextRead || (!home && local.Sub(n.state.LastHomeContact()) < homeContactTimeout) {
		return
	}
	n.reading = true
	f.calls++
	latest, up, called := len(f.releases)-f.serviceLag, !f.serviceDown && f.partition(n.index) == 0, f.now
	wait := step
	if home && n.lastAnswer.version == int64(latest) {
		wait = homePollWait
	}
	f.onNode(n, wait, func() {
		n.reading = false
		n.nextRead = f.now
		if !home {
			n.nextRead += readInterval/2 + time.Duration(f.random.Int64N(int64(readInterval)))
		}
		if !up || latest < 1 {
			n.nextRead += time.Duration(f.random.Int64N(int64(time.Second)))
			return
		}
		m := f.releases[latest-1].manifest
		n.lastAnswer = serviceAnswer{version: m.Version, digest: m.Digest()}
		n.exact.service[m.Version] = max(n.exact.service[m.Version], called)
		f.offer(n, nil, m)
		n.state = n.state.WithServiceAnswer(local, m.Version, m.Digest())
	})
}

// servingNewest returns how many nodes hold the newest version and serve it.
func (f *simFleet) servingNewest() int {
	count := 0
	for _, n := range f.nodes {
		if n.state.Version() == int64(len(f.releases)) && f.rules.serve(n.state, f.localTime(n)) {
			count++
		}
	}
	return count
}

// oldestConfirmations returns the highest confirmation age of all nodes: by heartbeats alone, and by any source.
func (f *simFleet) oldestConfirmations() (heartbeats, any time.Duration) {
	for _, n := range f.nodes {
		now := f.localTime(n)
		heartbeats = max(heartbeats, now.Sub(n.state.quorumAt))
		any = max(any, n.state.ConfirmationAge(now))
	}
	return heartbeats, any
}
