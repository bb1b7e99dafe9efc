// Command rig plays the cases of this review: it starts nodes of this project as separate processes, with stand-ins of the platform's
// store, of upstreams and of clients on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitFailed = 2 // the case could not run
)

// record collects what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	start  time.Time
	lines  []string
	broken []string
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f  ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

// breaks records a break of the rule.
func (r *record) breaks(format string, args ...any) {
	r.line("BREAK "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// runs records what the upstreams of a fleet have run.
func (r *record) runs(f *fleet) map[string][]run {
	byID := map[string][]run{}
	for _, m := range f.machines {
		runs, notes := m.upstream.records()
		for _, x := range runs {
			byID[x.id] = append(byID[x.id], x)
			r.line("run %s at %s (%s): %s %s, body of %d bytes %s", x.id, x.upstream, m.service, x.method, x.path, x.size, x.body)
		}
		for _, n := range notes {
			r.line("upstream %s: %s", m.upstream.id, n)
		}
	}
	return byID
}

func main() {
	cases := map[string]func(root string, trouble bool, r *record) error{
		"failing":  playFailing,
		"garble":   playGarble,
		"hang":     playHang,
		"path":     playPath,
		"pipeline": playPipeline,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT RECORD")
		os.Exit(exitFailed)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	r := &record{start: time.Now()}
	err = cases[os.Args[1]](root, os.Getenv("TROUBLE") != "0", r)
	if err != nil {
		r.line("the case could not run: %v", err)
	}
	if werr := r.write(os.Args[3]); werr != nil {
		err = werr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	case len(r.broken) > 0:
		fmt.Printf("broken: %d times; the first: %s\n", len(r.broken), r.broken[0])
		os.Exit(exitBroken)
	}
	fmt.Println("held")
	os.Exit(exitHeld)
}
