// Package proof tests the invariants of the design page over node processes on loopback.
package proof

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"go.uber.org/goleak"
)

// binary is the node's program.
var binary string

// TestMain builds the node once, and guards against goroutines that outlive a fleet.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "node")
	build := exec.Command("go", "build", "-o", binary, ".")
	build.Dir = filepath.Join("..", "..", "node")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "proof: building the node: %v\n%s", err, out)
		return 1
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return code
}

// TestInvariants runs each case on a fleet of its own; a case states the failure that it guards against.
func TestInvariants(t *testing.T) {
	cases := map[string]struct {
		guards string
		prove  func(*testing.T)
	}{
		"fifty at once": {
			guards: "a request that is lost, gets the answer to another one, runs twice, or runs although it was refused as not run, while targets and nodes are killed, restarted and paused",
			prove:  fiftyAtOnce,
		},
		"key revoked": {
			guards: "a revoked key that works for longer than 8 s for a caller that stays connected",
			prove:  keyRevoked,
		},
		"key revoked, service down": {
			guards: "a change that stays with the one home that read it before the configuration service went down",
			prove:  keyRevokedServiceDown,
		},
		"key revoked, node cut off": {
			guards: "a node that cannot hear of a revoked key and still serves by it after 8 s",
			prove:  keyRevokedCutOff,
		},
		"older version served": {
			guards: "a node that goes back to a version that the configuration service serves again, also by a restart",
			prove:  olderVersionServed,
		},
		"paused node": {
			guards: "a node that resumes after a pause and serves by a version that was replaced meanwhile",
			prove:  pausedNode,
		},
		"links cut": {
			guards: "a minority that serves without evidence, and an account that gets more than its rate and burst during a partition, after it, and after a restart of all nodes",
			prove:  linksCut,
		},
		"domain out": {
			guards: "a failure domain that gets new work 8 s after it was taken out, or none after its return",
			prove:  func(t *testing.T) { domainOut(t) },
		},
		"domain out, nodes paused": {
			guards: "a node that was paused while a failure domain was taken out and sends work to it, or accepts work in it, after it resumes",
			prove:  func(t *testing.T) { domainOut(t, "a2", "b2") },
		},
		"domain returns": {
			guards: "cold targets that get more than their capacity when their failure domain is brought back",
			prove:  domainReturns,
		},
		"shutdown": {
			guards: "a graceful shutdown, of an entry or beside a target, that cuts a request off",
			prove:  shutdown,
		},
		"service outage": {
			guards: "a plain outage of the configuration service that stops a node",
			prove:  serviceOutage,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			t.Log("guards against " + tc.guards)
			tc.prove(t)
		})
	}
}
