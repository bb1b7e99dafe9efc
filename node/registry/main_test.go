package registry

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of the generated inputs, and fails if a closed feed leaves goroutines running.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	goleak.VerifyTestMain(m)
}

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
