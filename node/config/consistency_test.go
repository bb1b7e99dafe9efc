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

// TestMain fails if goroutines outlive Close, and fixes the seed, so that runs are reproducible.
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

// runWithFaults runs a fleet through faults drawn by rapid, then without faults, and returns it.
func runWithFaults(t *rapid.T, r versionRules) *simFleet {
	n := rapid.IntRange(8, 30).Draw(t, "nodes")
	f := newSimFleet(t, r, n, rapid.IntRange(1, 5).Draw(t, "homes"), rapid.Uint64().Draw(t, "random"))
	f.checkExact = true
	f.publish()
	f.run(6 * time.Second)
	for range rapid.IntRange(3, 8).Draw(t, "faults") {
		node := f.nodes[rapid.IntRange(0, n-1).Draw(t, "node")]
		switch rapid.SampledFrom([]string{"publish", "down", "stale", "up", "partition", "heal", "pause", "restart", "loss", "delay", "calm"}).Draw(t, "fault") {
		case "publish":
			f.publish()
		case "down":
			f.serviceDown = true
		case "stale":
			f.serviceLag = rapid.IntRange(0, 2).Draw(t, "lag")
		case "up":
			f.serviceDown, f.serviceLag = false, 0
		case "partition":
			cut := rapid.IntRange(1, n-1).Draw(t, "cut")
			f.partition = func(i int) int {
				if i < cut {
					return 1
				}
				return 0
			}
		case "heal":
			f.partition = func(int) int { return 0 }
		case "pause":
			node.pausedUntil = f.now + time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds"))*time.Second
		case "restart":
			f.restart(node.index)
		case "loss":
			f.lossRate, f.duplicateRate = 0.3, 0.2
		case "delay":
			f.delay = time.Second
		case "calm":
			f.lossRate, f.duplicateRate, f.delay = 0, 0, 2*step
		}
		f.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "run")) * time.Second)
	}
	f.serviceDown, f.serviceLag, f.lossRate, f.duplicateRate, f.delay = false, 0, 0, 0, 2*step
	f.partition = func(int) int { return 0 }
	f.publish()
	f.run(20 * time.Second)
	return f
}

// TestVersionsUnderFaults guards against a node that reverts to a lower version, serves without a recent confirmation, or
// does not reach the newest version within 20 s after the faults end.
func TestVersionsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := runWithFaults(t, realRules)
		require.Empty(t, f.violations)
		require.Equal(t, len(f.nodes), f.servingNewest())
	})
}

// TestNaiveRulesViolate checks that TestVersionsUnderFaults can fail: naive rules must cause both kinds of violations.
func TestNaiveRulesViolate(t *testing.T) {
	reverted, unconfirmed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		for _, violation := range runWithFaults(t, naiveRules).violations {
			var at, name string
			var from, to int64
			if n, _ := fmt.Sscanf(violation, "%s %s went from version %d to %d", &at, &name, &from, &to); n == 4 {
				reverted++
			} else {
				unconfirmed++
			}
		}
	})
	require.NotZero(t, reverted)
	require.NotZero(t, unconfirmed)
}

// TestPropagation guards against a change that takes longer than 8 s to reach all nodes, against too many calls
// of the service, and against a fleet without faults whose heartbeats alone do not confirm its versions often enough.
func TestPropagation(t *testing.T) {
	cases := map[string]struct{ nodes, homes int }{
		"14 nodes":    {nodes: 14, homes: 3},
		"200 nodes":   {nodes: 200, homes: 12},
		"1,200 nodes": {nodes: 1200, homes: 24},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newSimFleet(t, realRules, tc.nodes, tc.homes, 1)
			f.publish()
			f.run(8 * time.Second)
			require.Equal(t, tc.nodes, f.servingNewest())
			f.calls, f.bytes, f.countBytes = 0, 0, true
			f.run(4 * time.Second)
			t.Logf("steady: %.1f calls/s of the service, %.0f bytes of heartbeats per node per second sent", float64(f.calls)/4, float64(f.bytes)/4/float64(tc.nodes))
			require.Less(t, f.calls/4, 2000)
			byHeartbeats, oldest := f.oldestConfirmations()
			t.Logf("steady: oldest confirmation %s, by heartbeats alone %s", oldest, byHeartbeats)
			require.Less(t, byHeartbeats, MaxConfirmationAge)
			f.countBytes = false
			f.publish()
			begin := f.now
			for f.servingNewest() < tc.nodes && f.now-begin < 8*time.Second {
				f.run(step)
			}
			t.Logf("propagation: last node after %s", f.now-begin)
			require.Equal(t, tc.nodes, f.servingNewest())
		})
	}
}
