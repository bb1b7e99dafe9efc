package daemon

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReadyNeedsCallers guards against a node that says it is ready while it cannot accept connections of callers.
func TestReadyNeedsCallers(t *testing.T) {
	t.Parallel()
	n := startFleet(t, testInstance{name: "a1", domain: "a", service: "app", target: http.NotFound}).nodes["a1"]
	require.Eventually(t, func() bool { ok, _ := n.ready(); return ok }, 10*time.Second, 10*time.Millisecond)
	accepting := n.listeners.callerFailure
	n.listeners.callerFailure = func() time.Duration { return maxCallerFailure }
	ok, reason := n.ready()
	n.listeners.callerFailure = accepting
	require.False(t, ok)
	require.Contains(t, reason, "callers")
}
