// Package demo starts both deployments on loopback and sends real requests to them.
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
	// limit is how long the demo may take in all.
	limit = 55 * time.Second
	// timeout bounds one request, of which the largest transfers 64 MB.
	timeout = 20 * time.Second
	// settle is how long a fleet that started all at once may refuse accounts: its homes mint nothing for the 2 s
	// of a lease, because tokens of an earlier run could still be spent, and then start with no tokens.
	settle = 10 * time.Second
	// settlePause is the time between two tries of a request meanwhile.
	settlePause = 200 * time.Millisecond
)

// Demo runs the steps for each deployment.
type Demo struct {
	Binary string
	Out    io.Writer
	// Start starts a fleet; tests replace it.
	Start func(context.Context, fleet.Settings) (*fleet.Fleet, error)
}

// New returns a demo that runs the given node program and prints to out.
func New(binary string, out io.Writer) Demo {
	return Demo{Binary: binary, Out: out, Start: fleet.Start}
}

// Run returns an error if any answer was wrong.
func (d Demo) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
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
	caller := load.NewCaller(timeout)
	defer caller.Close()
	wrong := d.steps(ctx, s, caller, f.EntryAddrs(), time.Now().Add(settle))
	wrong += d.check("no target saw a key or an internal header", checkHeaders(f))
	wrong += d.check("each check-in or reservation ran once", checkOnce(f, s))
	wrong += d.check("all nodes shut down gracefully", f.Stop())
	if wrong > 0 {
		return fmt.Errorf("demo: %d wrong answers from %s", wrong, s.deployment.Name)
	}
	return nil
}

// steps sends each step's requests one after the other, and returns the number of wrong answers.
func (d Demo) steps(ctx context.Context, s script, caller load.Caller, entries []string, settled time.Time) int {
	wrong := 0
	for i, step := range s.steps {
		var answers []load.Response
		for n := range step.times {
			r := step.request
			r.ID = fmt.Sprintf("%s-%d-%d", s.deployment.Name, i, n)
			r.Host = s.deployment.Host
			send := func() load.Response { return caller.Do(ctx, entries[(i+n)%len(entries)], r, time.Now()) }
			if step.times > 1 {
				settled = time.Time{}
			}
			answers = append(answers, whenSettled(ctx, settled, send))
		}
		last := answers[len(answers)-1]
		text := fmt.Sprintf("%s: %s %s → %s", step.name, step.request.Method, step.request.Path, describe(last))
		wrong += d.check(text, step.verify(answers))
	}
	return wrong
}

// whenSettled sends a request again while its account has no tokens yet.
func whenSettled(ctx context.Context, settled time.Time, send func() load.Response) load.Response {
	for {
		a := send()
		if a.Status != http.StatusTooManyRequests || time.Now().After(settled) {
			return a
		}
		select {
		case <-ctx.Done():
			return a
		case <-time.After(settlePause):
		}
	}
}

func describe(a load.Response) string {
	switch {
	case a.Err != nil:
		return "no answer"
	case a.Code != "":
		return fmt.Sprintf("%d %s, run %s, %.1f ms", a.Status, a.Code, a.Execution, ms(a.Latency()))
	default:
		return fmt.Sprintf("%d from %s, %d bytes, %.1f ms", a.Status, a.Target, a.Size, ms(a.Latency()))
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

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
		if r := f.Target(n.Name).Stats(); r.RequestsWithKey > 0 || r.RequestsWithInternalHeader > 0 {
			return fmt.Errorf("demo: target %s saw %d keys and %d internal headers", n.Name, r.RequestsWithKey, r.RequestsWithInternalHeader)
		}
	}
	return nil
}

func checkOnce(f *fleet.Fleet, s script) error {
	ran := map[string]int{}
	for _, e := range f.Executions("") {
		ran[e.ID]++
	}
	var failed []error
	for i, step := range s.steps {
		id := fmt.Sprintf("%s-%d-0", s.deployment.Name, i)
		if step.request.Method == "POST" && ran[id] != 1 {
			failed = append(failed, fmt.Errorf("demo: request %s ran %d times", id, ran[id]))
		}
	}
	return errors.Join(failed...)
}
