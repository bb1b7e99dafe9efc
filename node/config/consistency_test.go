package config

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

// TestMain guards against goroutines that outlive Close, and fixes the seed, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	if f := flag.Lookup("test.fuzzworker"); f != nil && f.Value.String() == "true" {
		os.Exit(m.Run())
	}
	goleak.VerifyTestMain(m)
}

// disturb runs a fleet through faults that rapid draws, and returns what went wrong.
func disturb(t *rapid.T, r rule) *fleet {
	n := rapid.IntRange(8, 30).Draw(t, "nodes")
	f := newFleet(t, r, n, rapid.IntRange(1, 5).Draw(t, "homes"), rapid.Uint64().Draw(t, "random"))
	f.exact = true
	f.publish()
	f.run(6 * time.Second)
	for range rapid.IntRange(3, 8).Draw(t, "faults") {
		node := f.nodes[rapid.IntRange(0, n-1).Draw(t, "node")]
		switch rapid.SampledFrom([]string{"publish", "down", "stale", "up", "partition", "heal", "pause", "restart", "loss", "delay", "calm"}).Draw(t, "fault") {
		case "publish":
			f.publish()
		case "down":
			f.down = true
		case "stale":
			f.stale = rapid.IntRange(0, 2).Draw(t, "lag")
		case "up":
			f.down, f.stale = false, 0
		case "partition":
			cut := rapid.IntRange(1, n-1).Draw(t, "cut")
			f.side = func(i int) int {
				if i < cut {
					return 1
				}
				return 0
			}
		case "heal":
			f.side = func(int) int { return 0 }
		case "pause":
			node.paused = f.now + time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds"))*time.Second
		case "restart":
			f.restart(node.i)
		case "loss":
			f.lost, f.doubled = 0.3, 0.2
		case "delay":
			f.delay = time.Second
		case "calm":
			f.lost, f.doubled, f.delay = 0, 0, 2*step
		}
		f.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "run")) * time.Second)
	}
	f.down, f.stale, f.lost, f.doubled, f.delay = false, 0, 0, 0, 2*step
	f.side = func(int) int { return 0 }
	f.publish()
	f.run(20 * time.Second)
	return f
}

// TestFleet guards against a node that goes back, serves without evidence, or stays behind once faults end.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := disturb(t, realRule)
		require.Empty(t, f.broken)
		require.Equal(t, len(f.nodes), f.holding())
	})
}

// TestFleetNaive guards against a test of the fleet that no rule can fail.
func TestFleetNaive(t *testing.T) {
	backward, blind := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		for _, b := range disturb(t, naiveRule).broken {
			var at, name string
			var from, to int64
			if n, _ := fmt.Sscanf(b, "%s %s went from version %d to %d", &at, &name, &from, &to); n == 4 {
				backward++
			} else {
				blind++
			}
		}
	})
	require.NotZero(t, backward)
	require.NotZero(t, blind)
}

// TestSpread guards against a change that takes longer than 8 s to reach all nodes, against too many calls
// on the service, and against heartbeats too few to keep the evidence of a calm fleet young without the service.
func TestSpread(t *testing.T) {
	cases := map[string]struct{ nodes, homes int }{
		"14 nodes":    {nodes: 14, homes: 3},
		"200 nodes":   {nodes: 200, homes: 12},
		"1,200 nodes": {nodes: 1200, homes: 24},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, realRule, tc.nodes, tc.homes, 1)
			f.publish()
			f.run(8 * time.Second)
			require.Equal(t, tc.nodes, f.holding())
			f.calls, f.bytes, f.size = 0, 0, true
			f.run(4 * time.Second)
			t.Logf("steady: %.1f calls/s on the service, %.0f bytes of heartbeats per node per second sent", float64(f.calls)/4, float64(f.bytes)/4/float64(tc.nodes))
			require.Less(t, f.calls/4, 2000)
			heard, oldest := f.ages()
			t.Logf("steady: oldest evidence %s, by heartbeats alone %s", oldest, heard)
			require.Less(t, heard, MaxConfirmationAge)
			f.size = false
			f.publish()
			begin := f.now
			for f.holding() < tc.nodes && f.now-begin < 8*time.Second {
				f.run(step)
			}
			t.Logf("spread: last node after %s", f.now-begin)
			require.Equal(t, tc.nodes, f.holding())
		})
	}
}
