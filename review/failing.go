package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic of playFailing.
const (
	failingLength  = 20 * time.Second
	failingClients = 24
	failingWork    = 60 * time.Millisecond // of the upstream
	failingTimeout = 3 * time.Second
	failingTargets = 7 // upstreams of the service, of which one fails
	// The upstream fails for failingFor after failingAt, four of nine requests.
	failingAt  = 2 * time.Second
	failingFor = 6500 * time.Millisecond
)

// failsNth reports whether a failing upstream fails its nth request, counted from zero.
func failsNth(n int64) bool { return n%9 < 8 && n%2 == 0 }

// playFailing sends unsafe requests to a service of which one upstream runs some requests and answers 503 then, without the header that
// says that it has not run them.
func playFailing(root string, trouble bool, rec *record) error {
	services := []string{"front"}
	for range failingTargets {
		services = append(services, "ledger")
	}
	f, err := newFleet(root, services...)
	if err != nil {
		return err
	}
	defer f.close()
	var fails atomic.Bool
	var requests atomic.Int64 // of the failing upstream, while it fails
	for i, m := range f.machines {
		u, faulty := m.upstream, i == 1
		u.handle = func(c *upstreamConn, r *http.Request) bool {
			if !faulty || !fails.Load() || !failsNth(requests.Add(1)-1) {
				return u.serveDefault(c, r, failingWork, []byte("recorded"))
			}
			return u.serveStatus(c, r, failingWork, http.StatusServiceUnavailable, []byte("recorded, but the points could not be updated"))
		}
	}
	f.configure(route{prefix: "/entry/", kind: "unsafe", service: "ledger", timeoutMs: 1500, objectiveMs: 800, attempts: 2})
	if err := f.startAll(); err != nil {
		return err
	}
	statuses := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(failingLength)
	wg.Go(func() {
		time.Sleep(failingAt)
		fails.Store(trouble)
		rec.line("%s fails some requests: %v", f.machines[1].upstream.id, trouble)
		time.Sleep(failingFor)
		fails.Store(false)
		rec.line("%s fails no more requests", f.machines[1].upstream.id)
	})
	for w := range failingClients {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("%04x%012x", w, n)
				a, _ := sendFinal(rec, f.machines[0], http.MethodPost, "/entry/2f", id, failingTimeout) // zero without an answer
				mu.Lock()
				statuses[id] = a.status
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	ran := rec.runs(f)
	for id, status := range statuses {
		switch status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			for _, x := range ran[id] {
				rec.breaks("REFUSED: %s was answered %d, which promises that it has not run, and ran at %s", id, status, x.upstream)
			}
		}
		if len(ran[id]) > 1 {
			rec.breaks("TWICE: %s ran %d times", id, len(ran[id]))
		}
	}
	return nil
}
