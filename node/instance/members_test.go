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

// TestMain guards against goroutines that outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errRefused = errors.New("connection refused")

// TestMembers guards against a node that does not notice the status of a peer, and against list reads that overlap.
func TestMembers(t *testing.T) {
	manual := clock.NewManual(start)
	l := loop.New(manual.Now)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = l.Serve(context.Background())
	}()
	var openReads, maxOpenReads, leaving, draws atomic.Int64
	received := make(chan Heartbeat, 100)
	m := NewMembers(Settings{
		Name: "self", BootID: 1, Loop: l, Clock: manual.Clock(),
		Random: func(n int) int { return int(draws.Add(1)) % n },
		List: func(ctx context.Context, etag string, _ time.Duration) ([]Instance, string, error) {
			maxOpenReads.Store(max(maxOpenReads.Load(), openReads.Add(1)))
			defer openReads.Add(-1)
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
		IsRefused:     func(err error) bool { return errors.Is(err, errRefused) },
		VersionReport: func(time.Time) VersionReport { return VersionReport{Version: 3} },
	})
	m.OnHeartbeat(func(_ time.Time, hb Heartbeat) {
		select {
		case received <- hb:
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
	advanceUntil := func(condition func() bool) {
		require.Eventually(t, func() bool {
			manual.Advance(100 * time.Millisecond)
			return condition()
		}, 20*time.Second, time.Millisecond)
	}
	advanceUntil(func() bool { return m.Snapshot().HasList() && len(received) > 0 && len(crashed) > 0 })
	require.Equal(t, uint32(7), (<-received).BootID)
	own, err := m.OwnHeartbeat(context.Background())
	require.NoError(t, err)
	require.Equal(t, Heartbeat{Name: "self", BootID: 1, VersionReport: VersionReport{Version: 3}}, own)
	require.NoError(t, m.ReportOutcome(context.Background(), "p", Answered))
	require.NoError(t, m.Receive(context.Background(), manual.Now(), Heartbeat{Name: "q", BootID: 2}))
	require.NoError(t, m.Leave(context.Background()))
	advanceUntil(func() bool { return m.Snapshot().Status(manual.Now(), "p") == StatusLeaving })
	require.Equal(t, int64(1), maxOpenReads.Load())
	m.Close()
	l.Close()
	<-stopped
}

// TestMembersPassesEtag guards against full reads of an unchanged list: a read must carry the etag of the current list, so
// that the service answers only after a change.
func TestMembersPassesEtag(t *testing.T) {
	manual := clock.NewManual(start)
	l := loop.New(manual.Now)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = l.Serve(context.Background())
	}()
	var got []string // etags of the reads; needs no lock, since reads never overlap and Close waits for the last one
	reads, etags := make(chan struct{}, 100), []string{"1", "2", "2"}
	m := NewMembers(Settings{
		Name: "self", Loop: l, Clock: manual.Clock(), Random: func(int) int { return 0 },
		List: func(ctx context.Context, etag string, _ time.Duration) ([]Instance, string, error) {
			got = append(got, etag)
			reads <- struct{}{}
			if len(got) > len(etags) {
				<-ctx.Done()
				return nil, etag, ctx.Err()
			}
			return []Instance{{Name: "self", State: StateLive}}, etags[len(got)-1], nil
		},
	})
	m.Start()
	require.Eventually(t, func() bool {
		manual.Advance(100 * time.Millisecond)
		return len(reads) == len(etags)+1
	}, 20*time.Second, time.Millisecond)
	m.Close()
	l.Close()
	<-stopped
	require.Equal(t, []string{"", "1", "2", "2"}, got)
}

// TestNeighbours guards against heartbeats to peers that are not live, and against neighbours that are never replaced.
func TestNeighbours(t *testing.T) {
	var list []Instance
	for _, n := range "abcdefghijklmnopqrst" {
		list = append(list, Instance{Name: string(n), State: StateLive})
	}
	v := View{}.WithList(at(0), list)
	first := func(int) int { return 0 }
	set, peer, ok := Neighbours{}.WithNext(at(0), v, "a", first)
	require.True(t, ok)
	require.Len(t, set.names, maxNeighbours)
	require.NotContains(t, set.names, "a")

	without, _, _ := set.WithNext(at(1), v.WithHeartbeat(at(1), Heartbeat{Name: peer.Name, Leaving: true}), "a", first)
	require.NotContains(t, without.names, peer.Name)
	require.Len(t, without.names, maxNeighbours)

	later, _, _ := set.WithNext(at(11), v, "a", func(n int) int { return n - 1 })
	require.Len(t, later.names, maxNeighbours)
	require.NotEqual(t, set.names, later.names)

	_, _, ok = Neighbours{}.WithNext(at(0), View{}, "a", first)
	require.False(t, ok)
}
