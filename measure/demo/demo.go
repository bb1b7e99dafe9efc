// Package demo runs both deployments on loopback addresses, sends requests to them and verifies the responses.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/fleet"
	"verbenapin.dev/measure/load"
)

const (
	// totalTimeout bounds the whole demo.
	totalTimeout = 55 * time.Second
	// requestTimeout bounds one request; the largest response has 64 MB.
	requestTimeout = 20 * time.Second
	// startupTimeout bounds the time for which a fleet whose homes all start at once may refuse requests because of the
	// rate: a home refills nothing for the 2 s of a lease, because tokens of an earlier run could still be spent, and then
	// starts with no tokens.
	startupTimeout = 10 * time.Second
	// retryInterval is the delay before a refused request is retried in that time.
	retryInterval = 200 * time.Millisecond
)

// Demo runs a script of requests against each deployment.
type Demo struct {
	Binary string
	Out    io.Writer
	// Start starts a fleet, by default fleet.Start.
	Start func(context.Context, fleet.Settings) (*fleet.Fleet, error)
}

// New returns a demo that runs the given node executable and prints its results to out.
func New(binary string, out io.Writer) Demo {
	return Demo{Binary: binary, Out: out, Start: fleet.Start}
}

// Run runs the script of each deployment and returns an error if one of its checks fails.
func (d Demo) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "verbenapin-demo-")
	if err != nil {
		return fmt.Errorf("demo: creating a directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for _, s := range []script{abitudini(), chueDee()} {
		if err := d.runScript(ctx, filepath.Join(dir, s.deployment.Name), s); err != nil {
			return err
		}
	}
	return nil
}

func (d Demo) runScript(ctx context.Context, dir string, s script) error {
	started := time.Now()
	f, err := d.Start(ctx, fleet.Settings{Binary: d.Binary, Dir: dir, Deployment: s.deployment})
	if err != nil {
		return err
	}
	defer f.Close()
	d.printf("%s: %d nodes and targets in %d failure domains are ready after %.1f s\n",
		s.deployment.Name, len(f.Instances()), len(deployment.Domains), time.Since(started).Seconds())
	caller := load.NewCaller(requestTimeout)
	defer caller.Close()
	failed := d.runSteps(ctx, s, caller, f.EntryAddrs(), time.Now().Add(startupTimeout))
	failed += d.check("no target saw a key or an internal header", checkHeaders(f))
	failed += d.check("each check-in or reservation ran once", checkExecutedOnce(f, s))
	failed += d.check("all nodes shut down gracefully", f.Stop())
	if failed > 0 {
		return fmt.Errorf("demo: %d wrong answers from %s", failed, s.deployment.Name)
	}
	return nil
}

// runSteps sends each step's requests one after the other and returns the number of failed steps.
// Requests that are refused because of the rate are retried until retryUntil or the first step with several requests.
func (d Demo) runSteps(ctx context.Context, s script, caller load.Caller, entries []string, retryUntil time.Time) int {
	failed := 0
	for i, step := range s.steps {
		var responses []load.Response
		for n := range step.times {
			r := step.request
			r.ID = fmt.Sprintf("%s-%d-%d", s.deployment.Name, i, n)
			r.Host = s.deployment.Host
			send := func() load.Response { return caller.Do(ctx, entries[(i+n)%len(entries)], r, time.Now()) }
			if step.times > 1 {
				retryUntil = time.Time{}
			}
			responses = append(responses, sendUntilAdmitted(ctx, retryUntil, send))
		}
		last := responses[len(responses)-1]
		text := fmt.Sprintf("%s: %s %s → %s", step.name, step.request.Method, step.request.Path, describe(last))
		failed += d.check(text, step.verify(responses))
	}
	return failed
}

// sendUntilAdmitted retries a request while it is refused because of the rate, until retryUntil.
func sendUntilAdmitted(ctx context.Context, retryUntil time.Time, send func() load.Response) load.Response {
	for {
		r := send()
		if r.Status != http.StatusTooManyRequests || time.Now().After(retryUntil) {
			return r
		}
		select {
		case <-ctx.Done():
			return r
		case <-time.After(retryInterval):
		}
	}
}

func describe(r load.Response) string {
	switch {
	case r.Err != nil:
		return "no answer"
	case r.Code != "":
		return fmt.Sprintf("%d %s, run %s, %.1f ms", r.Status, r.Code, r.Execution, ms(r.Latency()))
	default:
		return fmt.Sprintf("%d from %s, %d bytes, %.1f ms", r.Status, r.Target, r.Size, ms(r.Latency()))
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// check prints the result of a check and returns the number of failures, 0 or 1.
func (d Demo) check(text string, err error) int {
	if err != nil {
		d.printf("WRONG %s: %v\n", text, err)
		return 1
	}
	d.printf("ok    %s\n", text)
	return 0
}

func (d Demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.Out, format, args...) }

func checkHeaders(f *fleet.Fleet) error {
	for _, n := range f.Instances() {
		if s := f.Target(n.Name).Stats(); s.RequestsWithKey > 0 || s.RequestsWithInternalHeader > 0 {
			return fmt.Errorf("demo: target %s received %d requests with a key and %d with an internal header", n.Name, s.RequestsWithKey, s.RequestsWithInternalHeader)
		}
	}
	return nil
}

func checkExecutedOnce(f *fleet.Fleet, s script) error {
	executions := map[string]int{}
	for _, e := range f.Executions("") {
		executions[e.ID]++
	}
	var errs []error
	for i, step := range s.steps {
		id := fmt.Sprintf("%s-%d-0", s.deployment.Name, i)
		if step.request.Method == "POST" && executions[id] != 1 {
			errs = append(errs, fmt.Errorf("demo: request %s ran %d times", id, executions[id]))
		}
	}
	return errors.Join(errs...)
}
