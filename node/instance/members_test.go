package instance

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/loop"
)

// TestMain guards against calls and ticks that outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errRefused = errors.New("connection refused")

// TestMembers guards against a node that does not notice a peer's state, and against list reads that overlap.
func TestMembers(t *testing.T) {
	manual := clock.NewManual(start)
	l := loop.New(manual.Now)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = l.Serve(context.Background())
	}()
	var open, most, leaving, drawn atomic.Int64
	beaten := make(chan Heartbeat, 100)
	m := NewMembers(Settings{
		Name: "self", BootID: 1, Loop: l, Clock: manual.Clock(),
		Random: func(n int) int { return int(drawn.Add(1)) % n },
		List: func(ctx context.Context, etag string, _ time.Duration) ([]Instance, string, error) {
			most.Store(max(most.Load(), open.Add(1)))
			defer open.Add(-1)
			if etag == "" {
				return []Instance{{Name: "self", State: StateLive}, {Name: "p", ControlAddr: "p", State: StateLive}, {Name: "q", ControlAddr: "q", State: StateLive}}, "1", nil
			}
			<-ctx.Done()
			return nil, etag, ctx.Err()
		},
		Exchange: func(_ context.Context, addr string, own Heartbeat) (Heartbeat, error) {
			if addr == "q" {
				return Heartbeat{}, errRefused
			}
			if own.Leaving {
				leaving.Add(1)
			}
			return Heartbeat{Name: "p", BootID: 7, Leaving: leaving.Load() > 0}, nil
		},
		Refused:  func(err error) bool { return errors.Is(err, errRefused) },
		Evidence: func(time.Time) VersionReport { return VersionReport{Version: 3} },
	})
	m.OnHeartbeat(func(_ time.Time, b Heartbeat) {
		select {
		case beaten <- b:
		default:
		}
	})
	crashed := make(chan struct{}, 1)
	m.OnChange(func(now time.Time, v View) {
		if v.Status(now, "q") == StatusCrashed {
			select {
			case crashed <- struct{}{}:
			default:
			}
		}
	})
	m.Start()
	until := func(condition func() bool) {
		require.Eventually(t, func() bool {
			manual.Advance(100 * time.Millisecond)
			return condition()
		}, 20*time.Second, time.Millisecond)
	}
	until(func() bool { return m.Snapshot().HasList() && len(beaten) > 0 && len(crashed) > 0 })
	require.Equal(t, uint32(7), (<-beaten).BootID)
	own, err := m.OwnHeartbeat(context.Background())
	require.NoError(t, err)
	require.Equal(t, Heartbeat{Name: "self", BootID: 1, VersionReport: VersionReport{Version: 3}}, own)
	require.NoError(t, m.Contact(context.Background(), "p", Answered))
	require.NoError(t, m.Receive(context.Background(), manual.Now(), Heartbeat{Name: "q", BootID: 2}))
	require.NoError(t, m.Leave(context.Background()))
	until(func() bool { return m.Snapshot().Status(manual.Now(), "p") == StatusLeaving })
	require.Equal(t, int64(1), most.Load())
	m.Close()
	l.Close()
	<-served
}

// TestMembersWatch guards against reads of the whole list at each heartbeat: a read must name the list that is held,
// so that the service answers it only after a change.
func TestMembersWatch(t *testing.T) {
	manual := clock.NewManual(start)
	l := loop.New(manual.Now)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = l.Serve(context.Background())
	}()
	var got []string // etags of the reads; reads never overlap, and Close waits for the last one
	reads, lists := make(chan struct{}, 100), []string{"1", "2", "2"}
	m := NewMembers(Settings{
		Name: "self", Loop: l, Clock: manual.Clock(), Random: func(int) int { return 0 },
		List: func(ctx context.Context, etag string, _ time.Duration) ([]Instance, string, error) {
			got = append(got, etag)
			reads <- struct{}{}
			if len(got) > len(lists) {
				<-ctx.Done()
				return nil, etag, ctx.Err()
			}
			return []Instance{{Name: "self", State: StateLive}}, lists[len(got)-1], nil
		},
	})
	m.Start()
	require.Eventually(t, func() bool {
		manual.Advance(100 * time.Millisecond)
		return len(reads) == len(lists)+1
	}, 20*time.Second, time.Millisecond)
	m.Close()
	l.Close()
	<-served
	require.Equal(t, []string{"", "1", "2", "2"}, got)
}

// TestNear guards against heartbeats to absent peers, and against a set of neighbours that never changes.
func TestNear(t *testing.T) {
	var list []Instance
	for _, n := range "abcdefghijklmnopqrst" {
		list = append(list, Instance{Name: string(n), State: StateLive})
	}
	v := View{}.WithList(at(0), list)
	first := func(int) int { return 0 }
	near, peer, ok := Neighbours{}.WithNext(at(0), v, "a", first)
	require.True(t, ok)
	require.Len(t, near.names, neighbours)
	require.NotContains(t, near.names, "a")

	without, _, _ := near.WithNext(at(1), v.WithBeat(at(1), Heartbeat{Name: peer.Name, Leaving: true}), "a", first)
	require.NotContains(t, without.names, peer.Name)
	require.Len(t, without.names, neighbours)

	later, _, _ := near.WithNext(at(11), v, "a", func(n int) int { return n - 1 })
	require.Len(t, later.names, neighbours)
	require.NotEqual(t, near.names, later.names)

	_, _, ok = Neighbours{}.WithNext(at(0), View{}, "a", first)
	require.False(t, ok)
}
