package registry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/loop"
)

// startLoop returns a running loop that ends with the test, after what the test starts later has been closed.
func startLoop(t *testing.T, now func() time.Time) *loop.Loop {
	l := loop.New(now)
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = l.Serve(ctx) })
	t.Cleanup(func() {
		l.Close()
		cancel()
		serving.Wait()
	})
	return l
}

// startFeed starts a feed on its own control goroutine and stops both with the test.
func startFeed(t *testing.T, s Settings, nodes []Node) *Feed {
	s.Loop = startLoop(t, s.Clock.Now)
	f := New(s)
	t.Cleanup(f.Close)
	require.NoError(t, s.Loop.Call(t.Context(), func(time.Time) { f.SetNodes(nodes) }))
	f.Start()
	return f
}

// TestSendsAreBounded guards against a sender whose messages pile up while other nodes do not answer: at 295 nodes that start together
// a process had 876 of them in flight and used 433 MB.
func TestSendsAreBounded(t *testing.T) {
	manual := clock.NewManual(start)
	registry := &fakeRegistry{unavailable: map[string]bool{}}
	registry.put(put("first", 1))
	var inFlight, most atomic.Int64
	nodes := testNodes(300, 5)
	reader := ReaderOrder(nodes)[0]
	startFeed(t, Settings{
		Name: reader.Name, Domain: reader.Domain, Clock: manual.Clock(), Source: registry.source(reader.Name),
		SendBroadcast: func(ctx context.Context, _ string, _ Broadcast) (Point, error) {
			n := inFlight.Add(1)
			defer inFlight.Add(-1)
			for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
			}
			<-ctx.Done()
			return Point{}, ctx.Err()
		},
		Decode:   func(Item) (DecodedItem, error) { return DecodedItem{Target: &instance.Instance{}}, nil },
		OnChange: func(time.Time, Snapshot, []Change) {},
	}, nodes)
	for i := range 100 {
		registry.put(put("key", int64(i)))
		manual.Advance(tickInterval)
		time.Sleep(5 * time.Millisecond) // for the goroutines of a tick
	}
	require.Positive(t, most.Load())
	require.LessOrEqual(t, most.Load(), int64(maxSends))
}

// TestSlowDecoding guards against a control goroutine that waits until a burst of changes has been decoded: nothing else of the node
// runs meanwhile, and the decoder in turn waits for the control goroutine once the queue of events is full.
func TestSlowDecoding(t *testing.T) {
	manual := clock.NewManual(start)
	registry := &fakeRegistry{unavailable: map[string]bool{"self": true}}
	release := make(chan struct{})
	defer close(release)
	f := startFeed(t, Settings{
		Name: "self", Domain: "d0", Clock: manual.Clock(), Source: registry.source("self"),
		Decode: func(Item) (DecodedItem, error) {
			<-release
			return DecodedItem{}, nil
		},
		OnChange: func(time.Time, Snapshot, []Change) {},
	}, nil)
	for i := range int64(200) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		held, err := f.Receive(ctx, Broadcast{Update: Update{After: i, Revision: i + 1, Items: []Item{{Key: "key", Revision: i + 1}}}, Last: true})
		cancel()
		require.NoError(t, err)
		require.Equal(t, Point{Revision: i + 1}, held)
	}
}

// TestStateBeforeFirstRead guards against a node that takes a state without confirmation for one that is late, because it got it from
// another node before its own first read: it called the registry at once, and spread the result as the readers do.
func TestStateBeforeFirstRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		manual, registry := clock.NewManual(start), &fakeRegistry{}
		nodes := testNodes(12, 3)
		self := ReaderOrder(nodes)[readerCount]
		others := slices.DeleteFunc(nodes, func(n Node) bool { return n == self })
		f := New(Settings{
			Name: self.Name, Domain: self.Domain, Loop: startLoop(t, manual.Now), Clock: manual.Clock(), Source: registry.source(self.Name),
			SendBroadcast: func(context.Context, string, Broadcast) (Point, error) { return Point{}, nil },
			Decode:        func(Item) (DecodedItem, error) { return DecodedItem{Target: &instance.Instance{}}, nil },
			OnChange:      func(time.Time, Snapshot, []Change) {},
		})
		t.Cleanup(f.Close)
		require.NoError(t, f.cfg.Loop.Call(t.Context(), func(time.Time) { f.SetNodes(others) }))
		_, err := f.Receive(t.Context(), Broadcast{Update: Update{Age: Unconfirmed, Revision: 1, Items: []Item{{Key: "key", Revision: 1}}}, Last: true})
		require.NoError(t, err)
		f.Start()
		for range int(lateAfter/tickInterval) - 1 {
			synctest.Wait()
			manual.Advance(tickInterval)
		}
		synctest.Wait()
		require.Zero(t, registry.calls)
		manual.Advance(2 * tickInterval)
		synctest.Wait()
		require.Positive(t, registry.calls, "the readers have confirmed nothing")
	})
}
