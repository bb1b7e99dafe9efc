package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic of playGarble.
const (
	garbleLength  = 20 * time.Second
	garbleClients = 12
	garbleWork    = 20 * time.Millisecond // of the upstream
	garbleTimeout = 3 * time.Second
	garbleEvery   = 50 // an upstream that garbles answers spoils one of so many, 2 in 100
	// The upstreams garble answers for garbleFor after garbleAt.
	garbleAt  = 2 * time.Second
	garbleFor = 5500 * time.Millisecond
)

// playGarble sends requests to a service of which one upstream of three spoils a byte in the status of some answers.
func playGarble(root string, trouble bool, rec *record) error {
	f, err := newFleet(root, "front", "ledger", "ledger", "ledger")
	if err != nil {
		return err
	}
	defer f.close()
	var garbles atomic.Bool
	var answers atomic.Int64 // of the upstream that garbles, while it does
	var mu sync.Mutex
	given := map[string]string{} // statuses that upstreams gave, by request
	for i, m := range f.machines {
		u, faulty := m.upstream, i == 1
		u.handle = func(c *upstreamConn, r *http.Request) bool {
			id, status := r.Header.Get("Verbenapin-Request-Id"), http.StatusCreated
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return false
			}
			u.begin(r, body)
			time.Sleep(garbleWork)
			u.end()
			if faulty && garbles.Load() && answers.Add(1)%garbleEvery == 1 {
				status = http.StatusSwitchingProtocols // 101, from 201
				u.note("spoilt the status of its answer to %s: %d", id, status)
			}
			mu.Lock()
			given[id] = fmt.Sprint(status)
			mu.Unlock()
			return c.respond(r, status, u.signature(), []byte("recorded"))
		}
	}
	f.configure(route{prefix: "/entry/", kind: "unsafe", service: "ledger", timeoutMs: 1500, objectiveMs: 800, attempts: 2})
	if err := f.startAll(); err != nil {
		return err
	}
	var wg sync.WaitGroup
	end := time.Now().Add(garbleLength)
	wg.Go(func() {
		time.Sleep(garbleAt)
		garbles.Store(trouble)
		time.Sleep(garbleFor)
		garbles.Store(false)
	})
	for w := range garbleClients {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("%04x%012x", w, n)
				a, err := sendFinal(rec, f.machines[0], http.MethodPost, "/entry/2f", id, garbleTimeout)
				mu.Lock()
				status, body := given[id], string(a.body)
				mu.Unlock()
				if err == nil && a.status/100 == 2 && (status != fmt.Sprint(a.status) || body != "recorded") {
					rec.breaks("MIXED: %s was answered %d with body %q and signature %q, but its upstream gave %s",
						id, a.status, body, a.header.Get("Verbenapin-Response-Signature"), status)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	rec.runs(f)
	return nil
}

// sendFinal sends a request with a short body on a connection of its own, and returns its final answer: those of 1xx come before it.
func sendFinal(rec *record, m *machine, method, path, id string, timeout time.Duration) (answer, error) {
	c, err := dialNode(m)
	if err != nil {
		rec.line("sending %s: %v", id, err)
		return answer{}, err
	}
	defer func() { _ = c.Close() }()
	rec.line("sent %s: %s %s", id, method, path)
	if _, err := fmt.Fprintf(c, "%sContent-Length: 2\r\n\r\nok", requestHead(method, path, id, timeout)); err != nil {
		rec.line("sending %s: %v", id, err)
		return answer{}, err
	}
	for {
		a, err := c.receive(method, timeout, func(answer) {})
		if err != nil {
			rec.line("answer %s: none: %v", id, err)
			return answer{}, err
		}
		rec.line("answer %s: %d, signature %q, %d bytes %.40q", id, a.status, a.header.Get("Verbenapin-Response-Signature"), len(a.body), a.body)
		if a.status >= 200 {
			return a, nil
		}
	}
}
