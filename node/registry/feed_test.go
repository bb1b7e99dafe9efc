package registry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/instance"
)

// fakeRegistry replaces the platform's registry; it answers at once, even a watch without changes.
type fakeRegistry struct {
	mu          sync.Mutex
	log         []Item
	unavailable map[string]bool // nodes whose calls it refuses
	calls       int
	cachedReads int
	fullReads   int   // reads that were not cached
	compactedTo int64 // watches from before this revision fail
	era         int64
}

// restore takes the registry back to a revision, and counts another era.
func (s *fakeRegistry) restore(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = slices.Clone(s.log[:revision])
	s.era++
}

var errUnavailable = errors.New("fakeRegistry: call refused")

func (s *fakeRegistry) put(i Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i.Revision = int64(len(s.log) + 1)
	s.log = append(s.log, i)
}

func (s *fakeRegistry) source(node string) Source {
	return Source{
		Read: func(_ context.Context, cached bool) (Update, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if cached {
				s.cachedReads++
			} else {
				s.calls++
				s.fullReads++
			}
			if s.unavailable[node] {
				return Update{}, errUnavailable
			}
			update := (&model{log: s.log}).fullUpdate()
			update.Era = s.era
			return update, nil
		},
		Watch: func(_ context.Context, after int64, _ time.Duration) (Update, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.calls++
			switch {
			case s.unavailable[node]:
				return Update{}, errUnavailable
			case after < s.compactedTo, after > int64(len(s.log)):
				return Update{}, CompactedError{After: after}
			}
			return Update{Era: s.era, After: after, Revision: int64(len(s.log)), Items: s.log[after:]}, nil
		},
	}
}

// fleet is a set of feeds in one process, between which messages take no time.
type fleet struct {
	t            *testing.T
	store        *fakeRegistry
	manual       *clock.Manual
	feeds        map[string]*Feed
	nodes        []Node
	mu           sync.Mutex
	disconnected map[string]bool // nodes that can send and receive no messages
	// outages holds how long the registry did not answer a node, by node name.
	outages map[string]time.Duration
	// eras holds the era of the last restore that a node reported, by node name.
	eras map[string]int64
}

// newFleet returns a fleet whose nodes know each other.
func newFleet(t *testing.T, n int) *fleet {
	f := newUnstartedFleet(t, n)
	for _, node := range f.nodes {
		feed := f.feeds[node.Name]
		require.NoError(t, feed.cfg.Loop.Call(t.Context(), func(time.Time) { feed.SetNodes(f.othersThan(node, f.nodes)) }))
	}
	f.start()
	return f
}

func (f *fleet) othersThan(node Node, nodes []Node) []Node {
	return slices.DeleteFunc(slices.Clone(nodes), func(o Node) bool { return o.Name == node.Name })
}

func (f *fleet) start() {
	for _, feed := range f.feeds {
		feed.Start()
	}
}

// newUnstartedFleet returns a fleet whose nodes know each other only by the entries of the registry that have their names.
func newUnstartedFleet(t *testing.T, n int) *fleet {
	f := &fleet{
		t: t, store: &fakeRegistry{unavailable: map[string]bool{}}, manual: clock.NewManual(start), feeds: map[string]*Feed{},
		nodes: testNodes(n, 3), disconnected: map[string]bool{}, outages: map[string]time.Duration{}, eras: map[string]int64{},
	}
	for i := range f.nodes {
		f.nodes[i].ControlAddr = f.nodes[i].Name
	}
	f.store.put(put("first", 1))
	c := f.manual.Clock()
	for _, node := range f.nodes {
		f.feeds[node.Name] = New(Settings{
			Name: node.Name, Domain: node.Domain, Loop: startLoop(t, c.Now), Clock: c, Source: f.store.source(node.Name),
			SendBroadcast: func(ctx context.Context, addr string, b Broadcast) (Point, error) {
				return f.deliver(ctx, node.Name, addr, b)
			},
			AllowStaleRead: true,
			Decode:         f.decode,
			OnChange:       func(_ time.Time, s Snapshot, _ []Change) { f.discover(node, s) },
			OnEra: func(from, to Point, took time.Duration) {
				f.mu.Lock()
				defer f.mu.Unlock()
				if from.Era < to.Era && took >= 0 {
					f.eras[node.Name] = to.Era
				}
			},
			OnRecovery: func(_ int, outage time.Duration) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.outages[node.Name] = outage
			},
		})
		t.Cleanup(f.feeds[node.Name].Close)
	}
	return f
}

// decode returns a target for each item but the empty one, with which the registry starts.
func (f *fleet) decode(i Item) (DecodedItem, error) {
	if i.Key == emptyKey {
		return DecodedItem{}, nil
	}
	return DecodedItem{Target: &instance.Instance{}}, nil
}

// discover sets the nodes that a node knows to those that have entries, once there are any.
func (f *fleet) discover(node Node, s Snapshot) {
	var listed []Node
	for _, other := range f.nodes {
		if _, ok := s.items[other.Name]; ok {
			listed = append(listed, other)
		}
	}
	if len(listed) > 0 {
		f.feeds[node.Name].SetNodes(f.othersThan(node, listed))
	}
}

// emptyKey is the key of an item that is no target.
const emptyKey = "empty"

// TestFeedStart guards against a fleet that starts together and calls the registry with every node until all targets are listed: on
// a day of 295 nodes 1,600 of 1,850 calls came from nodes that knew no other one and took themselves for readers.
func TestFeedStart(t *testing.T) { synctest.Test(t, testFeedStart) }

func testFeedStart(t *testing.T) {
	const n = 60
	f := newUnstartedFleet(t, n)
	f.store.log = nil
	f.store.put(put(emptyKey, 1))
	f.start()
	f.settle(800 * time.Millisecond)
	for _, node := range f.nodes {
		f.store.put(put(node.Name, 1))
	}
	f.settle(1200 * time.Millisecond)
	f.store.mu.Lock()
	calls, cached := f.store.calls, f.store.cachedReads
	f.store.mu.Unlock()
	t.Logf("%d calls and %d cached reads", calls, cached)
	require.LessOrEqual(t, calls, readerCount*int(2*time.Second/tickInterval), "only readers call")
	require.LessOrEqual(t, cached, 3*n)
	f.eventually(3*time.Second, "all targets", f.allAt(n+1, f.nodes...))
}

func (f *fleet) deliver(ctx context.Context, from, to string, b Broadcast) (Point, error) {
	f.mu.Lock()
	lost := f.disconnected[from] || f.disconnected[to]
	f.mu.Unlock()
	if lost {
		return Point{}, fmt.Errorf("fleet: %s does not reach %s", from, to)
	}
	return f.feeds[to].Receive(ctx, b)
}

func (f *fleet) disconnect(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disconnected = map[string]bool{}
	for _, name := range names {
		f.disconnected[name] = true
	}
}

// settle advances the manual clock by d. After each tick it waits until all that the tick causes is done, messages between nodes included:
// ones that arrive ticks later look like readers that have failed. The test must run in a bubble of synctest.
func (f *fleet) settle(d time.Duration) {
	for range int(d / tickInterval) {
		f.manual.Advance(tickInterval)
		synctest.Wait()
	}
}

// eventually advances the manual clock until the condition holds, and fails once limit has passed on that clock.
func (f *fleet) eventually(limit time.Duration, what string, condition func() bool) {
	f.t.Helper()
	for end := f.manual.Now().Add(limit); f.manual.Now().Before(end); {
		f.manual.Advance(tickInterval)
		// Other goroutines handle the messages, so they get some real time before the manual clock advances again.
		deadline := time.Now().Add(40 * time.Millisecond)
		for time.Now().Before(deadline) {
			if condition() {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	require.Fail(f.t, "not within "+limit.String(), what)
}

// allEqual returns whether nodes hold what the registry holds.
func (f *fleet) allEqual(nodes ...Node) func() bool {
	return func() bool {
		f.store.mu.Lock()
		point, want := Point{Era: f.store.era, Revision: int64(len(f.store.log))}, (&model{log: f.store.log}).at(int64(len(f.store.log)))
		f.store.mu.Unlock()
		for _, node := range nodes {
			s := f.feeds[node.Name].Snapshot()
			if s.Point() != point || !maps.Equal(want, values(s)) {
				return false
			}
		}
		return true
	}
}

func (f *fleet) allAt(revision int64, nodes ...Node) func() bool {
	return func() bool {
		for _, node := range nodes {
			if f.feeds[node.Name].Snapshot().Revision() < revision {
				return false
			}
		}
		return true
	}
}

// readersOf returns the nodes that read the registry regularly, and the others.
func (f *fleet) readersOf() (readers, others []Node) {
	order := ReaderOrder(f.nodes)
	return order[:readerCount], order[readerCount:]
}

// TestFeedSpreads guards against changes that do not reach every node in time, and against nodes that all call the registry.
func TestFeedSpreads(t *testing.T) { synctest.Test(t, testFeedSpreads) }

func testFeedSpreads(t *testing.T) {
	f := newFleet(t, 30)
	f.eventually(2*time.Second, "the first read", f.allAt(1, f.nodes...))
	f.store.put(put("second", 2))
	f.eventually(1500*time.Millisecond, "a change", f.allAt(2, f.nodes...))
	f.store.mu.Lock()
	before := f.store.calls
	f.store.mu.Unlock()
	f.settle(20 * tickInterval)
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	// The fake registry answers watches at once, so each reader may call on each tick.
	require.LessOrEqual(t, f.store.calls-before, 20*readerCount)
}

// TestFeedFailures guards against nodes that miss a change because the registry refuses the readers, the readers or the nodes are cut
// off, or the history has been compacted.
func TestFeedFailures(t *testing.T) {
	cases := map[string]struct {
		fault func(f *fleet, readers, others []Node)
		want  func(f *fleet, readers, others []Node) []Node // nodes that must get the change
	}{
		"calls of readers refused": {
			fault: func(f *fleet, readers, _ []Node) {
				f.store.mu.Lock()
				defer f.store.mu.Unlock()
				for _, node := range readers {
					f.store.unavailable[node.Name] = true
				}
			},
			want: func(_ *fleet, readers, others []Node) []Node { return append(others, readers...) },
		},
		"readers cut off from the nodes": {
			fault: func(f *fleet, readers, _ []Node) {
				f.disconnect(readers[0].Name, readers[1].Name, readers[2].Name)
			},
			want: func(_ *fleet, readers, others []Node) []Node { return append(others, readers...) },
		},
		"one node cut off from the others": {
			fault: func(f *fleet, _, others []Node) { f.disconnect(others[0].Name) },
			want:  func(_ *fleet, _, others []Node) []Node { return others[:1] },
		},
		"history compacted": {
			fault: func(f *fleet, _, _ []Node) {
				f.store.mu.Lock()
				defer f.store.mu.Unlock()
				f.store.compactedTo = 2
			},
			want: func(_ *fleet, readers, others []Node) []Node { return append(others, readers...) },
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 12)
			f.eventually(2*time.Second, "the first read", f.allAt(1, f.nodes...))
			readers, others := f.readersOf()
			tc.fault(f, readers, others)
			f.store.put(put("second", 2))
			f.store.put(put("third", 3))
			// Changes have to be in force within two seconds.
			f.eventually(2*time.Second, "the change", f.allAt(3, tc.want(f, readers, others)...))
		})
	}
}

// TestFeedOutage guards against a fleet that keeps calling a registry that is down for all, since each call is charged, and against an
// outage that is not reported.
func TestFeedOutage(t *testing.T) { synctest.Test(t, testFeedOutage) }

func testFeedOutage(t *testing.T) {
	f := newFleet(t, 60)
	f.eventually(2*time.Second, "the first read", f.allAt(1, f.nodes...))
	f.store.mu.Lock()
	for _, node := range f.nodes {
		f.store.unavailable[node.Name] = true
	}
	before := f.store.calls
	f.store.mu.Unlock()
	const outage = 5 * time.Second
	f.settle(outage)
	f.store.mu.Lock()
	calls := f.store.calls - before
	clear(f.store.unavailable)
	f.store.mu.Unlock()
	// Each reader calls every 400 ms. Six nodes join them, and eighteen more 2.5 s later, with growing delays between their calls.
	require.LessOrEqual(t, calls, readerCount*13+6*5+18*4)
	f.store.put(put("second", 2))
	f.eventually(time.Second, "the change after the outage", f.allAt(2, f.nodes...))
	readers, _ := f.readersOf()
	f.eventually(time.Second, "the end of the outage in the log", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		logged := f.outages[readers[0].Name]
		return logged >= outage-watchWait && logged <= outage+time.Second
	})
}
