package loop

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestCall guards against an event that does not run, a panic that Call or Serve does not return, and a closed loop that
// accepts events.
func TestCall(t *testing.T) {
	cases := map[string]struct {
		event Event
		want  error
	}{
		"runs":   {event: func(time.Time) {}},
		"panics": {event: func(time.Time) { panic("broken") }, want: PanicError{Value: "broken"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l := New(time.Now)
			serveErr := make(chan error, 1)
			go func() { serveErr <- l.Serve(context.Background()) }()
			require.Equal(t, tc.want, l.Call(context.Background(), tc.event))
			l.Close()
			require.Equal(t, tc.want, <-serveErr)
			require.ErrorIs(t, l.Post(context.Background(), tc.event), ClosedError{})
		})
	}
}

// TestServeAfterPanic guards against events that are lost when a supervisor restarts the loop after a panic.
func TestServeAfterPanic(t *testing.T) {
	l := New(time.Now)
	defer l.Close()
	ctx := context.Background()
	ran := false
	require.NoError(t, l.Post(ctx, func(time.Time) { panic("broken") }))
	require.NoError(t, l.Post(ctx, func(time.Time) { ran = true }))
	var panicErr PanicError
	require.True(t, errors.As(l.Serve(ctx), &panicErr))
	go func() { _ = l.Serve(ctx) }()
	require.NoError(t, l.Call(ctx, func(time.Time) {}))
	require.True(t, ran)
}

// TestGroup guards against a goroutine that outlives Close, or starts after it.
func TestGroup(t *testing.T) {
	var g Group
	release, ended := make(chan struct{}), false
	g.Go(func() {
		<-release
		ended = true
	})
	close(release)
	g.Close()
	require.True(t, ended)
	g.Go(func() { t.Error("started after Close") })
	g.Close()
}
