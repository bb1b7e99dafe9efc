package peer

import (
	"context"
	"flag"
	"os"
	"sync"
	"testing"
	"time"

	"verbenapin.dev/node/loop"
)

// TestMain fixes the seed of generated inputs, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func at(n int) time.Time { return start.Add(ms(n)) }

// startLoop returns a running loop that ends with the test.
func startLoop(t *testing.T) *loop.Loop {
	l := loop.New(time.Now)
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
