package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// TestMain guards against a ticker goroutine that outlives Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestManual guards against a ticker that skips a tick, fires twice in one period or fires after Close.
func TestManual(t *testing.T) {
	cases := map[string]struct {
		period, advance time.Duration
		want            int
	}{
		"none due":    {period: time.Second, advance: 999 * time.Millisecond, want: 0},
		"exactly due": {period: time.Second, advance: time.Second, want: 1},
		"several":     {period: 300 * time.Millisecond, advance: time.Second, want: 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := NewManual(time.Unix(0, 0))
			n := 0
			s := m.Clock().Subscribe(tc.period, func(time.Time) { n++ })
			m.Advance(tc.advance)
			require.Equal(t, tc.want, n)
			s.Close()
			m.Advance(tc.advance)
			require.Equal(t, tc.want, n)
		})
	}
}

// TestTicker guards against a ticker that never fires, a Close that never returns and a second Close that panics.
func TestTicker(t *testing.T) {
	c := New()
	ticked := make(chan struct{}, 1)
	s := c.Subscribe(time.Millisecond, func(time.Time) {
		select {
		case ticked <- struct{}{}:
		default:
		}
	})
	<-ticked
	s.Close()
	s.Close()
}

// TestAfterFunc guards against a timer that fires twice, early or after Close.
func TestAfterFunc(t *testing.T) {
	m := NewManual(time.Unix(0, 0))
	n := 0
	closed := m.Clock().AfterFunc(time.Second, func(time.Time) { n += 10 })
	m.Clock().AfterFunc(time.Second, func(time.Time) { n++ })
	closed.Close()
	m.Advance(999 * time.Millisecond)
	require.Zero(t, n)
	m.Advance(time.Hour)
	require.Equal(t, 1, n)
	fired := make(chan struct{})
	s := New().AfterFunc(time.Nanosecond, func(time.Time) { close(fired) })
	<-fired
	s.Close()
}
