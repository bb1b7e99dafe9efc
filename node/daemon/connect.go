package daemon

import (
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// connectParams returns a short backoff, since heartbeats must reach a restarted node within seconds.
func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff: backoff.Config{
			BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxConnectBackoff,
		},
		MinConnectTimeout: minConnectTimeout,
	}
}

func containsRefused(text string) bool { return strings.Contains(text, "connection refused") }
