package daemon

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"
)

// TestRestartAfterFailures guards against a part of the node that rests for many seconds after it has failed several times, while the
// node says that it is ready.
func TestRestartAfterFailures(t *testing.T) {
	const failures = 12
	served := make(chan struct{})
	runs := 0
	s := newSupervisor(func(suture.Event) {}, time.Second)
	s.Add(service{name: "part", serve: func(ctx context.Context) error {
		if runs++; runs <= failures {
			return errors.New("failed")
		}
		close(served)
		<-ctx.Done()
		return ctx.Err()
	}})
	ctx, stop := context.WithCancel(t.Context())
	ended := s.ServeBackground(ctx)
	select {
	case <-served:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the part was not started again")
	}
	stop()
	require.ErrorIs(t, <-ended, context.Canceled)
}
