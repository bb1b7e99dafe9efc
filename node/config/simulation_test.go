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

// rule is the way in which simulated nodes adopt versions and decide whether to serve.
type rule struct {
	offer func(v State, m Manifest) (State, Status)
	tree  func(v State, m Manifest, t Tree) State
	serve func(v State, now time.Time) bool
}

var realRule = rule{
	offer: State.WithOffer,
	tree:  State.WithTree,
	serve: func(v State, now time.Time) bool { return v.ServeStatus(now).Code == StatusServe },
}

// naiveRule adopts whatever was said last and always serves.
var naiveRule = rule{
	offer: func(v State, m Manifest) (State, Status) {
		if m.Version == v.Version() {
			return v, Same
		}
		return v, Fetch
	},
	tree: func(v State, m Manifest, t Tree) State {
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

// truth holds exact times of evidence on the simulation's clock; nodes never see it.
type truth struct {
	homes   map[int]map[int64]time.Duration // when home i sent a heartbeat with a version
	service map[int64]time.Duration         // when the service answered with a version
}

func (t truth) merge(o truth) {
	for i, versions := range o.homes {
		for version, at := range versions {
			t.home(i, version, at)
		}
	}
	for version, at := range o.service {
		t.service[version] = max(t.service[version], at)
	}
}

func (t truth) home(i int, version int64, at time.Duration) {
	if t.homes[i] == nil {
		t.homes[i] = map[int64]time.Duration{}
	}
	t.homes[i][version] = max(t.homes[i][version], at)
}

func (t truth) clone() truth {
	c := newTruth()
	c.merge(t)
	return c
}

func newTruth() truth {
	return truth{homes: map[int]map[int64]time.Duration{}, service: map[int64]time.Duration{}}
}

type simNode struct {
	i        int
	name     string
	offset   time.Duration // of the node's clock
	phase    int
	boot     uint32
	state    State
	near     instance.Neighbours
	truth    truth
	paused   time.Duration
	reading  bool
	nextRead time.Duration
	seen     answered
	fetching bool
}

// fleet drives the decisions of many nodes over a simulated network.
type fleet struct {
	t       require.TestingT
	rule    rule
	random  *rand.Rand
	now     time.Duration
	events  map[time.Duration][]func()
	nodes   []*simNode
	homes   int
	view    instance.View
	exact   bool // check against exact times
	size    bool // count bytes
	delay   time.Duration
	lost    float64
	doubled float64
	side    func(i int) int // partition that a node is in; the service is in partition 0

	releases []release
	down     bool
	stale    int // releases by which the service lags
	calls    int
	bytes    int
	broken   []string
}

func newFleet(t require.TestingT, r rule, n, homes int, seed uint64) *fleet {
	f := &fleet{
		t: t, rule: r, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, homes: homes,
		events: map[time.Duration][]func(){}, side: func(int) int { return 0 }, delay: 2 * step,
	}
	var list []instance.Instance
	for i := range n {
		list = append(list, instance.Instance{Name: fmt.Sprintf("n%d", i), State: instance.StateLive})
		f.nodes = append(f.nodes, &simNode{
			i: i, name: list[i].Name, phase: f.random.IntN(beatSteps),
			offset: time.Duration(f.random.Int64N(int64(1000 * time.Hour))),
		})
		f.restart(i)
	}
	f.view = instance.View{}.WithList(start, list)
	return f
}

// beatSteps is the number of steps between two heartbeats of a node, three a second.
const beatSteps = int(time.Second / 3 / step)

func (f *fleet) local(n *simNode) time.Time { return start.Add(f.now + n.offset) }

func (f *fleet) restart(i int) {
	n := f.nodes[i]
	n.boot++
	n.state = NewVersion(n.name, n.boot).WithTrying(f.local(n))
	n.near, n.truth, n.seen = instance.Neighbours{}, newTruth(), answered{}
	n.reading, n.fetching, n.paused = false, false, 0
	n.nextRead = f.now + time.Duration(f.random.Int64N(int64(quietTime)))
}

// publish adds the next version to the service.
func (f *fleet) publish() {
	homes := ""
	for i := range f.homes {
		homes += fmt.Sprintf("n%d,", i)
	}
	version := int64(len(f.releases) + 1)
	m, parts, tree := packed(f.t, version, "homes: ["+homes+"]", fmt.Sprint(version))
	size := len(m.Bytes())
	for _, p := range parts {
		size += len(p)
	}
	f.releases = append(f.releases, release{manifest: m, tree: tree, size: size})
}

func (f *fleet) after(d time.Duration, run func()) {
	due := f.now + max(d.Truncate(step), step)
	f.events[due] = append(f.events[due], run)
}

// onNode runs an event on a node's boot, later if the node is paused.
func (f *fleet) onNode(n *simNode, d time.Duration, run func()) {
	boot := n.boot
	var attempt func()
	attempt = func() {
		switch {
		case n.boot != boot:
		case n.paused > f.now:
			f.after(n.paused-f.now, attempt)
		default:
			run()
		}
	}
	f.after(d, attempt)
}

// send delivers a message late, twice or not at all.
func (f *fleet) send(from, to *simNode, run func()) {
	copies := 1
	if f.random.Float64() < f.doubled {
		copies = 2
	}
	for range copies {
		if f.random.Float64() < f.lost || f.side(from.i) != f.side(to.i) {
			continue
		}
		f.onNode(to, time.Duration(f.random.Int64N(int64(f.delay))), func() {
			if f.side(from.i) == f.side(to.i) {
				run()
			}
		})
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += step
		events := f.events[f.now]
		delete(f.events, f.now)
		f.random.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
		for _, e := range events {
			e()
		}
		for _, n := range f.nodes {
			if n.paused > f.now {
				continue
			}
			f.check(n)
			if (int(f.now/step)+n.phase)%beatSteps == 0 {
				f.beat(n)
			}
			f.tick(n)
		}
	}
}

// check compares a node's verdict with the exact times of its evidence.
func (f *fleet) check(n *simNode) {
	if !f.exact || !f.rule.serve(n.state, f.local(n)) {
		return
	}
	held := n.state.Version()
	if at, ok := n.truth.service[held]; ok && f.now-at < MaxConfirmationAge {
		return
	}
	heard := 0
	for i := range f.homes {
		young := i == n.i
		for version, at := range n.truth.homes[i] {
			young = young || (version <= held && f.now-at < MaxConfirmationAge)
		}
		if young {
			heard++
		}
	}
	if heard*2 <= f.homes {
		f.broken = append(f.broken, fmt.Sprintf("%s: %s serves version %d without evidence", f.now, n.name, held))
	}
}

func (f *fleet) own(n *simNode) (instance.Heartbeat, truth) {
	b := instance.Heartbeat{Name: n.name, BootID: n.boot, VersionReport: n.state.Evidence(f.local(n))}
	if !f.exact {
		return b, truth{}
	}
	t := n.truth.clone()
	if n.i < f.homes && n.state.Version() > 0 {
		t.home(n.i, n.state.Version(), f.now)
	}
	return b, t
}

func (f *fleet) count(b instance.Heartbeat) {
	if f.size {
		f.bytes += proto.Size(rpc.Encode(b))
	}
}

// beat runs the three messages of an exchange.
func (f *fleet) beat(n *simNode) {
	near, peer, ok := n.near.WithNext(start, f.view, n.name, f.random.IntN)
	n.near = near
	if !ok {
		return
	}
	var i int
	_, _ = fmt.Sscanf(peer.Name, "n%d", &i)
	p := f.nodes[i]
	sent := f.local(n)
	f.count(instance.Heartbeat{Name: n.name, BootID: n.boot})
	f.send(n, p, func() {
		answer, answerTruth := f.own(p)
		answered := f.local(p)
		f.count(answer)
		f.send(p, n, func() {
			answer = answer.WithDelay(f.local(n).Sub(sent))
			f.receive(n, p, answer, answerTruth)
			second, secondTruth := f.own(n)
			second = second.WithoutKnown(answer)
			f.count(second)
			f.send(n, p, func() { f.receive(p, n, second.WithDelay(f.local(p).Sub(answered)), secondTruth) })
		})
	})
}

func (f *fleet) receive(n, from *simNode, b instance.Heartbeat, t truth) {
	if f.exact {
		n.truth.merge(t)
	}
	n.state = n.state.WithConfirm(f.local(n), b.VersionReport)
	if b.Version > n.state.Version() {
		f.offer(n, from, f.releases[b.Version-1].manifest)
	}
}

// offer fetches from the node that offered, or from the service if from is nil.
func (f *fleet) offer(n, from *simNode, m Manifest) {
	v, decision := f.rule.offer(n.state, m)
	n.state = v
	if decision != Fetch || n.fetching {
		return
	}
	n.fetching = true
	f.onNode(n, fetchTimeout, func() {
		if n.fetching {
			n.fetching, n.state = false, n.state.WithoutPending(m)
		}
	})
	got := func() {
		if n.fetching {
			f.adopt(n, m)
		}
	}
	if from == nil {
		f.onNode(n, f.delay, got)
		return
	}
	f.send(n, from, func() {
		if from.state.Version() == m.Version {
			f.bytes += f.releases[m.Version-1].size
			f.send(from, n, got)
		}
	})
}

func (f *fleet) adopt(n *simNode, m Manifest) {
	n.fetching = false
	before := n.state.Version()
	n.state = f.rule.tree(n.state, m, f.releases[m.Version-1].tree)
	after := n.state.Version()
	if after < before {
		f.broken = append(f.broken, fmt.Sprintf("%s: %s went from version %d to %d", f.now, n.name, before, after))
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

func (f *fleet) tick(n *simNode) {
	local := f.local(n)
	home := n.state.IsHome()
	if n.reading || f.now < n.nextRead || (!home && local.Sub(n.state.HomeHeard()) < quietTime) {
		return
	}
	n.reading = true
	f.calls++
	latest, up, called := len(f.releases)-f.stale, !f.down && f.side(n.i) == 0, f.now
	wait := step
	if home && n.seen.version == int64(latest) {
		wait = homeWait
	}
	f.onNode(n, wait, func() {
		n.reading = false
		n.nextRead = f.now
		if !home {
			n.nextRead += readEvery/2 + time.Duration(f.random.Int64N(int64(readEvery)))
		}
		if !up || latest < 1 {
			n.nextRead += time.Duration(f.random.Int64N(int64(time.Second)))
			return
		}
		m := f.releases[latest-1].manifest
		n.seen = answered{version: m.Version, digest: m.Digest()}
		n.truth.service[m.Version] = max(n.truth.service[m.Version], called)
		f.offer(n, nil, m)
		n.state = n.state.WithAnswer(local, m.Version, m.Digest())
	})
}

// holding returns how many nodes hold the newest version and serve it.
func (f *fleet) holding() int {
	count := 0
	for _, n := range f.nodes {
		if n.state.Version() == int64(len(f.releases)) && f.rule.serve(n.state, f.local(n)) {
			count++
		}
	}
	return count
}

// ages returns the ages of the oldest evidence that any node has: of heartbeats alone, and of any kind.
func (f *fleet) ages() (heartbeats, any time.Duration) {
	for _, n := range f.nodes {
		now := f.local(n)
		heartbeats = max(heartbeats, now.Sub(n.state.majority))
		any = max(any, n.state.EvidenceAge(now))
	}
	return heartbeats, any
}
