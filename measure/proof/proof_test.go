package proof

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"go.uber.org/goleak"
)

// binary is the path of the node executable.
var binary string

// TestMain builds the node once and guards against goroutines that leak from a fleet.
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

// TestInvariants runs every case on its own fleet; Case.Guards names the violation that it guards against.
func TestInvariants(t *testing.T) {
	for name, c := range Cases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			t.Log("guards against " + c.Guards)
			if err := c.Run(t.Context(), binary, func(text string) { t.Log(text) }); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestTrial guards against a failed check that Case.Run does not report, and against cleanups that do not run.
func TestTrial(t *testing.T) {
	cases := map[string]struct {
		prove  func(*Trial)
		failed bool
	}{
		"passes":     {prove: func(*Trial) {}},
		"fails":      {prove: func(t *Trial) { t.Errorf("wrong") }, failed: true},
		"ends early": {prove: func(t *Trial) { t.FailNow() }, failed: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			cleaned := 0
			err := Case{prove: func(t *Trial) {
				t.Cleanup(func() { cleaned++ })
				tc.prove(t)
			}}.Run(t.Context(), binary, func(string) {})
			if tc.failed != (err != nil) || cleaned != 1 {
				t.Fatalf("failed: %v, cleaned up %d times", err, cleaned)
			}
			var failed FailedError
			if errors.As(err, &failed) {
				if err := os.RemoveAll(failed.Logs); err != nil || failed.Logs == "" {
					t.Fatalf("logs in %q: %v", failed.Logs, err)
				}
			}
		})
	}
}
