package daemon

import (
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// connectParams retries a lost connection soon, since a restarted node must be heard within seconds.
func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff: backoff.Config{
			BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff,
		},
		MinConnectTimeout: connectTimeout,
	}
}

func containsRefused(text string) bool { return strings.Contains(text, "connection refused") }
