package proof

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

// Trial is one run of a case; it implements the testing interface that testify's assertions need.
type Trial struct {
	ctx    context.Context
	binary string
	dir    string
	log    func(text string)

	mu       sync.Mutex
	failures []string
	cleanups []func()
}

// FailedError reports the checks that a case failed, and the directory with the logs of its nodes.
type FailedError struct {
	Failures []string
	Logs     string
}

func (e FailedError) Error() string {
	return fmt.Sprintf("proof: failed: %s; the logs of the nodes are in %s", e.Failures, e.Logs)
}

// Run runs the case with the given node executable and reports observations to log. The logs of a failed case are kept.
func (c Case) Run(ctx context.Context, binary string, log func(text string)) error {
	dir, err := os.MkdirTemp("", "verbenapin-proof-")
	if err != nil {
		return fmt.Errorf("proof: creating a directory: %w", err)
	}
	t := &Trial{ctx: ctx, binary: binary, dir: dir, log: log}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer t.cleanup()
		c.prove(t) // FailNow ends this goroutine
	}()
	<-ended
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.failures) > 0 {
		return FailedError{Failures: t.failures, Logs: dir}
	}
	if err := os.RemoveAll(dir); err != nil {
		return fmt.Errorf("proof: removing the logs of a case that passed: %w", err)
	}
	return nil
}

func (t *Trial) cleanup() {
	for i := len(t.cleanups) - 1; i >= 0; i-- {
		t.cleanups[i]()
	}
}

// Helper does nothing, because a trial reports no source lines.
func (t *Trial) Helper() {}

// Errorf records a failed check.
func (t *Trial) Errorf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = append(t.failures, fmt.Sprintf(format, args...))
}

// FailNow ends the case; it must be called from the goroutine that runs the case.
func (t *Trial) FailNow() {
	t.mu.Lock()
	if len(t.failures) == 0 {
		t.failures = append(t.failures, "ended early")
	}
	t.mu.Unlock()
	runtime.Goexit()
}

// Log reports an observation.
func (t *Trial) Log(args ...any) { t.log(fmt.Sprint(args...)) }

// Logf reports an observation.
func (t *Trial) Logf(format string, args ...any) { t.log(fmt.Sprintf(format, args...)) }

// Context returns the context of the run.
func (t *Trial) Context() context.Context { return t.ctx }

// TempDir returns the case's directory.
func (t *Trial) TempDir() string { return t.dir }

// Cleanup registers a function to call when the case ends, in last-in, first-out order.
func (t *Trial) Cleanup(f func()) { t.cleanups = append(t.cleanups, f) }

// Wait waits for the given duration or until the context is done.
func (t *Trial) Wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.ctx.Done():
	}
}
