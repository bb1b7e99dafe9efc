package account

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"verbenapin.dev/node/config"
)

// fault changes one rule of the scheme; the check of the bound must find each of them.
type fault struct {
	restartFull   bool // a restarted home has a full bucket
	restartNow    bool // a restarted home does not wait for earlier loans
	creditTwice   bool // a Grant is credited twice
	leaseReceipt  bool // a lease counts from the receipt of the Grant
	lateForward   bool // a request is forwarded after its token expired
	lateRefund    bool // a token is refunded after Held no longer reported it
	raiseNow      bool // a higher lowest version counts before earlier loans expired
	ownVersion    bool // a home uses the share of its own version
	backUnbounded bool // a home credits returned tokens that it has no record of
	mintAlways    bool // a home mints without having heard a majority of the homes
}

// mishaps are the adversities of a run.
type mishaps struct {
	seed       uint64
	drift      bool
	loss       float64
	pauses     bool
	crashes    bool
	allCrash   bool
	partitions bool
	versions   bool
	homes      bool
	retire     bool          // a home is terminated for good
	notRun     float64       // share of bursts whose requests are refunded
	again      time.Duration // each message arrives once more after this time, if not zero
}

type stamp struct {
	boot, version int64
}

type fleetEvent struct {
	at  time.Duration
	due time.Duration // before it was delayed by a pause
	seq int
	to  *fleetNode // nil for events of the environment
	run func()
	of  int64 // boot of the node for which it was meant
}

type eventQueue []fleetEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	switch {
	case a.at != b.at:
		return a.at < b.at
	case a.due != b.due:
		return a.due < b.due
	}
	return a.seq < b.seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// fleetNode is one process: its clock runs at speed and starts anew with each boot.
type fleetNode struct {
	f       *fleet
	name    string
	speed   float64
	start   time.Duration
	boot    int64
	version int64
	up      bool
	gone    bool
	paused  time.Duration
	book    *Borrower
	ledger  *Lender
	known   map[string]stamp
	heard   map[string]time.Duration // own time at which the answered ping was sent
	at      map[string]int64         // version at that time
	waiting int
	allowed func() bool // whether the node may mint, if not as in mint
	serves  func() bool // whether the node may serve, if not always
}

type admission struct {
	at time.Duration
}

// usage is the largest rate and burst of the versions in use from a time on.
type usage struct {
	at    time.Duration
	limit Limit
}

// fleet is a simulated network of nodes that share one account.
type fleet struct {
	rnd           *rand.Rand
	m             mishaps
	bad           fault
	now           time.Duration
	queue         eventQueue
	seq           int
	nodes         []*fleetNode
	byName        map[string]*fleetNode
	trees         []config.Tree
	cut           map[[2]string]bool
	admissions    []admission
	usages        []usage
	refused       int
	leaseRequests int
	waits         int
	notRun        float64
	prompt        bool          // forward without delay
	refund        time.Duration // delay of every refund, if not zero
	eager         *eager        // how nodes learn the homes, if they follow from the fleet
}

const fleetAccount = "lombardia"

func fleetTree(version int64, homes, retired []string, limit Limit) config.Tree {
	return config.NewTree(version, config.Fleet{Homes: homes, Retired: retired}, nil,
		[]config.Account{{Name: fleetAccount, Rate: limit.Rate, Burst: limit.Burst}})
}

func newFleet(n int, m mishaps, bad fault, tree config.Tree) *fleet {
	f := &fleet{
		rnd: rand.New(rand.NewPCG(m.seed, 1)), m: m, bad: bad, byName: map[string]*fleetNode{},
		cut: map[[2]string]bool{}, trees: []config.Tree{tree},
	}
	for i := range n {
		node := &fleetNode{f: f, name: fmt.Sprintf("n%d", i), speed: 1}
		if m.drift {
			node.speed = 0.99 + 0.01*float64(f.rnd.IntN(2))
		}
		f.nodes = append(f.nodes, node)
		f.byName[node.name] = node
	}
	for _, node := range f.nodes {
		node.restart(tree.Version())
	}
	return f
}

func (f *fleet) add(at time.Duration, to *fleetNode, run func()) {
	f.seq++
	e := fleetEvent{at: at, due: at, seq: f.seq, to: to, run: run}
	if to != nil {
		e.of = to.boot
	}
	heap.Push(&f.queue, e)
}

func (f *fleet) runUntil(end time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(fleetEvent)
		if e.to != nil {
			if e.to.boot != e.of || !e.to.up {
				continue
			}
			if e.at < e.to.paused {
				e.at = e.to.paused
				heap.Push(&f.queue, e)
				continue
			}
		}
		f.now = e.at
		e.run()
	}
	f.now = end
}

// use records the versions in use; a version stays in use until the loans given under it have expired.
func (f *fleet) use() {
	var limit Limit
	for _, n := range f.nodes {
		if n.up && n.version > 0 {
			a, _ := f.trees[n.version-1].Account(fleetAccount)
			limit = Limit{Rate: max(limit.Rate, a.Rate), Burst: max(limit.Burst, a.Burst)}
		}
	}
	f.usages = append(f.usages, usage{at: f.now, limit: limit})
}

// allowed returns the largest rate and burst in use shortly before or at a time.
func (f *fleet) allowed(t time.Duration) Limit {
	var limit Limit
	for i, u := range f.usages {
		if u.at <= t && (i+1 == len(f.usages) || f.usages[i+1].at > t-silentHomeTerm) {
			limit = Limit{Rate: max(limit.Rate, u.limit.Rate), Burst: max(limit.Burst, u.limit.Burst)}
		}
	}
	return limit
}

// excess returns by how many requests the worst interval exceeds rate*t + burst.
// A bucket that drains at the rate and never goes below zero holds the maximum over all intervals that end now.
// It is run once for each burst, over the periods in which no larger burst was in use.
func (f *fleet) excess() float64 {
	limits := make([]Limit, len(f.admissions))
	for i, a := range f.admissions {
		limits[i] = f.allowed(a.at)
	}
	worst := -1e9
	bursts := map[float64]bool{}
	for _, l := range limits {
		bursts[l.Burst] = true
	}
	for burst := range bursts {
		level := 0.0
		for i, a := range f.admissions {
			if limits[i].Burst > burst {
				level = 0
				continue
			}
			if i > 0 {
				rate := max(limits[i].Rate, limits[i-1].Rate)
				level = max(0, level-rate*(a.at-f.admissions[i-1].at).Seconds())
			}
			level++
			worst = max(worst, level-burst)
		}
	}
	return worst
}

// carry delivers a message with loss, duplication, delay and reordering.
func (f *fleet) carry(from, to *fleetNode, run func()) {
	copies := 1
	if f.rnd.Float64() < f.m.loss {
		copies = 2 * f.rnd.IntN(2)
	}
	if f.cut[[2]string{from.name, to.name}] {
		return
	}
	if f.m.again > 0 {
		f.deliver(f.m.again, to, run)
	}
	for range copies {
		delay := time.Duration(500+f.rnd.IntN(1500)) * time.Microsecond
		if f.rnd.Float64() < f.m.loss {
			delay = time.Duration(f.rnd.IntN(500)) * time.Millisecond
			if f.rnd.IntN(4) == 0 {
				delay = time.Duration(f.rnd.IntN(15000)) * time.Millisecond
			}
		}
		f.deliver(delay, to, run)
	}
}

// deliver hands over a message to the process that runs then; a message outlives restarts of its receiver.
func (f *fleet) deliver(delay time.Duration, to *fleetNode, run func()) {
	f.add(f.now+delay, nil, func() {
		if to.up {
			f.add(f.now, to, run)
		}
	})
}

// time returns the monotonic time of the process.
func (n *fleetNode) time() time.Duration {
	return time.Duration(float64(n.f.now-n.start) * n.speed)
}

func (n *fleetNode) restart(version int64) {
	f := n.f
	n.boot++
	n.up, n.paused, n.start, n.version, n.waiting = true, 0, f.now, 0, 0
	n.book, n.ledger = NewBorrower(f.rnd.Uint64()), NewLender(n.name, 0)
	n.known, n.heard, n.at = map[string]stamp{}, map[string]time.Duration{}, map[string]int64{}
	if f.eager != nil {
		f.eager.restart(n)
		n.tick()
		return
	}
	n.adopt(version)
	n.tick()
	n.ping()
}

func (n *fleetNode) adopt(version int64) {
	if version <= n.version {
		return
	}
	f := n.f
	tree := f.trees[version-1]
	n.version = version
	n.ledger.SetShares(n.time(), NewShares(n.name, tree, HomesOf(tree)))
	n.book.SetHomes(HomesOf(tree))
	if f.bad.restartFull || f.bad.restartNow || f.bad.raiseNow {
		n.rush(f.bad.restartFull && n.time() == 0)
	}
	f.use()
}

// rush makes the versions known now count at once.
func (n *fleetNode) rush(full bool) {
	l := n.ledger
	if l.effective > 0 || n.f.bad.restartFull || n.f.bad.restartNow {
		l.effective = l.lowestKnown
	}
	l.applyLimits(n.time())
	if full {
		for name, h := range l.buckets {
			h.level = h.limit.Burst
			l.buckets[name] = h
		}
	}
}

func (n *fleetNode) mint() bool {
	if n.allowed != nil {
		return n.allowed()
	}
	if n.f.eager != nil {
		return true
	}
	if n.f.bad.mintAlways {
		return true
	}
	homes := n.f.trees[n.version-1].Fleet().Homes
	count := 0
	for _, name := range homes {
		sent, ok := n.heard[name]
		if name == n.name || (ok && n.time()-sent < MaxHeartbeatAge && n.at[name] <= n.version) {
			count++
		}
	}
	return 2*count > len(homes)
}

// ping tells all homes the versions known here and learns theirs; evidence counts from the sending of the ping.
func (n *fleetNode) ping() {
	f := n.f
	sent, boot := n.time(), n.boot
	for _, peer := range f.nodes[:min(6, len(f.nodes))] {
		if peer == n || !slices.Contains(f.nodes[:min(6, len(f.nodes))], n) {
			continue
		}
		mine := n.table()
		f.carry(n, peer, func() {
			peer.learn(mine)
			theirs, version := peer.table(), peer.version
			f.carry(peer, n, func() {
				if n.boot == boot {
					if old, ok := n.heard[peer.name]; !ok || old <= sent {
						n.heard[peer.name], n.at[peer.name] = sent, version
					}
				}
				n.learn(theirs)
			})
		})
	}
	f.add(f.now+time.Second, n, n.ping)
}

func (n *fleetNode) table() map[string]stamp {
	t := map[string]stamp{n.name: {boot: n.boot, version: n.version}}
	for name, s := range n.known {
		t[name] = s
	}
	return t
}

func (n *fleetNode) learn(table map[string]stamp) {
	versions := map[string]int64{}
	newest := n.version
	for name, s := range table {
		old := n.known[name]
		if name != n.name && (s.boot > old.boot || (s.boot == old.boot && s.version > old.version)) {
			n.known[name] = s
		}
		newest = max(newest, s.version)
	}
	for name, s := range n.known {
		versions[name] = s.version
	}
	if n.f.bad.ownVersion {
		versions = nil
	}
	n.ledger.SetHomeVersions(n.time(), versions)
	if n.f.bad.raiseNow {
		n.rush(false)
	}
	if newest > n.version && n.f.rnd.IntN(60) == 0 {
		n.adopt(newest)
	}
}

func (n *fleetNode) tick() {
	n.ledger.SetMayRefill(n.time(), n.mint())
	n.ledger.Tick(n.time())
	if n.f.bad.ownVersion {
		n.ledger.lowestKnownSince = -time.Hour
	}
	n.send(n.book.Tick(n.time()))
	n.f.add(n.f.now+tickInterval, n, n.tick)
}

func (n *fleetNode) send(reqs []OutgoingRequest) {
	f := n.f
	for _, o := range reqs {
		f.leaseRequests++
		home := f.byName[o.Home]
		seq := o.Request.Seq
		session := n.book.session
		if home == n {
			n.ledger.SetMayRefill(n.time(), n.mint())
			n.credit(o.Home, n.ledger.Grant(n.time(), o.Request))
			continue
		}
		f.carry(n, home, func() {
			home.ledger.SetMayRefill(home.time(), home.mint())
			if f.bad.backUnbounded {
				for _, row := range o.Request.Rows {
					if h, ok := home.ledger.buckets[row.Account]; ok && row.Returned > 0 {
						h.level = min(h.limit.Burst-float64(h.lent), h.level+float64(row.Returned))
						home.ledger.buckets[row.Account] = h
					}
				}
			}
			grant := home.ledger.Grant(home.time(), o.Request)
			f.carry(home, n, func() {
				if n.book.session == session {
					n.credit(o.Home, grant)
				}
			})
		})
		f.add(f.now+leaseRequestTimeout, n, func() { n.credit(o.Home, Grant{Seq: seq}) })
	}
}

func (n *fleetNode) credit(home string, g Grant) {
	s := n.book.pools[fleetAccount]
	i := slices.IndexFunc(s.pending, func(a pendingRequest) bool { return a.seq == g.Seq })
	if i >= 0 && len(g.Rows) > 0 {
		if n.f.bad.leaseReceipt {
			s.pending = slices.Clone(s.pending)
			s.pending[i].sent = n.time()
		}
		if n.f.bad.creditTwice && n.f.rnd.IntN(4) == 0 {
			s = s.withBatch(batch{home: home, tokens: g.Rows[0].Tokens, expires: s.pending[i].sent + LeaseTerm})
		}
		n.book.pools[fleetAccount] = s
	}
	n.send(n.book.Grant(n.time(), home, g))
	n.resume()
}

func (n *fleetNode) resume() {
	for n.waiting > 0 {
		d := n.book.Resume(n.time(), fleetAccount)
		if d.Verdict == Wait {
			return
		}
		n.waiting--
		n.decided(d)
	}
}

func (n *fleetNode) request() {
	if n.serves != nil && !n.serves() {
		n.f.refused++
		return
	}
	d, reqs := n.book.Acquire(n.time(), fleetAccount)
	if d.Verdict == Wait {
		n.waiting++
		n.f.waits++
	} else {
		n.decided(d)
	}
	n.send(reqs)
	n.resume()
}

// decided forwards a request after a short time, in which the process may be paused.
func (n *fleetNode) decided(d Decision) {
	f := n.f
	if d.Verdict != Admit {
		f.refused++
		return
	}
	delay := time.Duration(f.rnd.IntN(200)) * time.Microsecond
	if f.rnd.IntN(5) == 0 && !f.prompt {
		delay = time.Duration(f.rnd.IntN(100)) * time.Millisecond
	}
	notRun := f.rnd.Float64() < f.notRun
	f.add(f.now+delay, n, func() {
		if !d.Token.Usable(n.time()) && !f.bad.lateForward {
			f.refused++
			return
		}
		if notRun {
			refund := func() {
				if f.bad.lateRefund {
					n.book.pools[fleetAccount] = n.book.pool(n.time(), fleetAccount).
						withBatch(batch{home: d.Token.home, tokens: 1, expires: d.Token.expires})
					return
				}
				n.book.Refund(n.time(), fleetAccount, d.Token)
				n.resume()
			}
			delay := time.Duration(f.rnd.IntN(30)) * time.Millisecond
			switch {
			case f.refund > 0:
				delay = f.refund
			case f.rnd.IntN(4) == 0 && !f.prompt:
				delay = time.Duration(f.rnd.IntN(1500)) * time.Millisecond
			}
			f.add(f.now+delay, n, refund)
			return
		}
		f.admissions = append(f.admissions, admission{at: f.now})
		f.add(f.now+time.Duration(f.rnd.IntN(50))*time.Millisecond, n, func() {
			n.book.Commit(n.time(), fleetAccount, d.Token)
		})
	})
}
