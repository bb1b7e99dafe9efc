package registry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/loop"
)

// store stands for the platform's registry; it answers at once.
type store struct {
	mu    sync.Mutex
	log   []Item
	down  map[string]bool // nodes that it turns away
	calls int
	floor int64 // history before it is gone
}

var errDown = errors.New("store: turned away")

func (s *store) put(i Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i.Revision = int64(len(s.log) + 1)
	s.log = append(s.log, i)
}

func (s *store) source(node string) Source {
	return Source{
		Read: func(context.Context, bool) (Update, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.calls++
			if s.down[node] {
				return Update{}, errDown
			}
			return (&naive{log: s.log}).whole(), nil
		},
		Watch: func(_ context.Context, after int64, _ time.Duration) (Update, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.calls++
			switch {
			case s.down[node]:
				return Update{}, errDown
			case after < s.floor:
				return Update{}, CompactedError{After: after}
			}
			return Update{After: after, Revision: int64(len(s.log)), Items: s.log[after:]}, nil
		},
	}
}

// fleet is a number of feeds in one process, whose messages take no time.
type fleet struct {
	t      *testing.T
	store  *store
	manual *clock.Manual
	feeds  map[string]*Feed
	names  []Node
	mu     sync.Mutex
	cut    map[string]bool // nodes that no message reaches
	// outages are the times for which nodes had no answer of the registry, by their names.
	outages map[string]time.Duration
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{
		t: t, store: &store{down: map[string]bool{}}, manual: clock.NewManual(start), feeds: map[string]*Feed{},
		names: members(n, 3), cut: map[string]bool{}, outages: map[string]time.Duration{},
	}
	for i := range f.names {
		f.names[i].ControlAddr = f.names[i].Name
	}
	f.store.put(put("first", 1))
	c := f.manual.Clock()
	for _, m := range f.names {
		l := loop.New(c.Now)
		ctx, cancel := context.WithCancel(context.Background())
		var serving sync.WaitGroup
		serving.Go(func() { _ = l.Serve(ctx) })
		feed := New(Settings{
			Name: m.Name, Domain: m.Domain, Loop: l, Clock: c, Source: f.store.source(m.Name),
			Send: func(ctx context.Context, addr string, t Broadcast) (int64, error) {
				return f.tell(ctx, m.Name, addr, t)
			},
			Decode:   func(Item) (DecodedItem, error) { return DecodedItem{Target: &instance.Instance{}}, nil },
			OnChange: func(time.Time, Snapshot, []Change) {},
			OnRecovery: func(_ int, outage time.Duration) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.outages[m.Name] = outage
			},
		})
		f.feeds[m.Name] = feed
		others := slices.DeleteFunc(slices.Clone(f.names), func(o Node) bool { return o.Name == m.Name })
		require.NoError(t, l.Call(ctx, func(time.Time) { feed.SetNodes(others) }))
		t.Cleanup(func() {
			feed.Close()
			l.Close()
			cancel()
			serving.Wait()
		})
	}
	for _, feed := range f.feeds {
		feed.Start()
	}
	return f
}

func (f *fleet) tell(ctx context.Context, from, to string, t Broadcast) (int64, error) {
	f.mu.Lock()
	lost := f.cut[from] || f.cut[to]
	f.mu.Unlock()
	if lost {
		return 0, fmt.Errorf("fleet: %s does not reach %s", from, to)
	}
	return f.feeds[to].Receive(ctx, t)
}

func (f *fleet) setCut(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = map[string]bool{}
	for _, name := range names {
		f.cut[name] = true
	}
}

// within lets time pass until the condition holds, and fails after the given time of the fleet.
func (f *fleet) within(limit time.Duration, what string, holds func() bool) {
	f.t.Helper()
	for end := f.manual.Now().Add(limit); f.manual.Now().Before(end); {
		f.manual.Advance(tickEvery)
		// Messages run on other goroutines, so that the fleet's time stands still while they do.
		deadline := time.Now().Add(40 * time.Millisecond)
		for time.Now().Before(deadline) {
			if holds() {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	require.Fail(f.t, "not within "+limit.String(), what)
}

func (f *fleet) all(revision int64, names ...Node) func() bool {
	return func() bool {
		for _, m := range names {
			if f.feeds[m.Name].Snapshot().Revision() < revision {
				return false
			}
		}
		return true
	}
}

// readersOf returns the nodes that read while all is well, and the others.
func (f *fleet) readersOf() (reading, others []Node) {
	order := Order(f.names)
	return order[:readers], order[readers:]
}

// TestFeedSpreads guards against changes that do not reach every node in time, and against every node reading for itself.
func TestFeedSpreads(t *testing.T) {
	f := newFleet(t, 30)
	f.within(2*time.Second, "the first read", f.all(1, f.names...))
	f.store.put(put("second", 2))
	f.within(1500*time.Millisecond, "a change", f.all(2, f.names...))
	f.store.mu.Lock()
	before := f.store.calls
	f.store.mu.Unlock()
	for range 20 {
		f.manual.Advance(tickEvery)
		time.Sleep(2 * time.Millisecond)
	}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	// The store of this test answers watches at once, so each reader may call on each tick.
	require.LessOrEqual(t, f.store.calls-before, 20*readers)
}

// TestFeedFailures guards against nodes that hear of no change because the readers are turned away, cut off or gone, or
// because the history that they need is no longer there.
func TestFeedFailures(t *testing.T) {
	cases := map[string]struct {
		harm func(f *fleet, reading, others []Node)
		want func(f *fleet, reading, others []Node) []Node // who must hear
	}{
		"readers turned away": {
			harm: func(f *fleet, reading, _ []Node) {
				f.store.mu.Lock()
				defer f.store.mu.Unlock()
				for _, m := range reading {
					f.store.down[m.Name] = true
				}
			},
			want: func(_ *fleet, reading, others []Node) []Node { return append(others, reading...) },
		},
		"readers cut off from the nodes": {
			harm: func(f *fleet, reading, _ []Node) {
				f.setCut(reading[0].Name, reading[1].Name, reading[2].Name)
			},
			want: func(_ *fleet, reading, others []Node) []Node { return append(others, reading...) },
		},
		"one node cut off from the others": {
			harm: func(f *fleet, _, others []Node) { f.setCut(others[0].Name) },
			want: func(_ *fleet, _, others []Node) []Node { return others[:1] },
		},
		"history gone": {
			harm: func(f *fleet, _, _ []Node) {
				f.store.mu.Lock()
				defer f.store.mu.Unlock()
				f.store.floor = 2
			},
			want: func(_ *fleet, reading, others []Node) []Node { return append(others, reading...) },
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 12)
			f.within(2*time.Second, "the first read", f.all(1, f.names...))
			reading, others := f.readersOf()
			tc.harm(f, reading, others)
			f.store.put(put("second", 2))
			f.store.put(put("third", 3))
			// Two seconds are the shortest time in which a change has to be in force.
			f.within(2*time.Second, "the change", f.all(3, tc.want(f, reading, others)...))
		})
	}
}

// TestFeedOutage guards against a fleet that asks a store which is down for all again and again, since each call is charged,
// and against an outage that nobody can find in the log.
func TestFeedOutage(t *testing.T) {
	f := newFleet(t, 60)
	f.within(2*time.Second, "the first read", f.all(1, f.names...))
	f.store.mu.Lock()
	for _, m := range f.names {
		f.store.down[m.Name] = true
	}
	before := f.store.calls
	f.store.mu.Unlock()
	const outage = 5 * time.Second
	for range int(outage / tickEvery) {
		f.manual.Advance(tickEvery)
		time.Sleep(5 * time.Millisecond) // the messages of a tick
	}
	f.store.mu.Lock()
	calls := f.store.calls - before
	clear(f.store.down)
	f.store.mu.Unlock()
	// Each reader asks each 400 ms; the first to join are six, and eighteen more 2.5 s later, each less and less often.
	require.LessOrEqual(t, calls, readers*13+6*5+18*4)
	f.store.put(put("second", 2))
	f.within(time.Second, "the change after the outage", f.all(2, f.names...))
	reading, _ := f.readersOf()
	f.within(time.Second, "the end of the outage in the log", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		logged := f.outages[reading[0].Name]
		return logged >= outage-watchWait && logged <= outage+time.Second
	})
}
