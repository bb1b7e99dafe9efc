package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic of playHang.
const (
	hangLength   = 20 * time.Second
	hangClients  = 24
	hangWork     = 60 * time.Millisecond // of the upstream
	hangAnswer   = 90_000                // bytes, the mean of the downloads in the site file
	hangDeadline = 4 * time.Second       // of the clients
	hangTimeout  = 1500 * time.Millisecond
	hangSlack    = 500 * time.Millisecond // after the timeout of the route, by which there has to be a final answer
	hangTargets  = 7                      // upstreams of the service, of which one hangs
	// The upstream hangs for hangFor after hangAt, in four of nine requests.
	hangAt  = 2 * time.Second
	hangFor = 6500 * time.Millisecond
)

// playHang sends safe requests to a service of which one upstream hangs in the middle of some answers, and looks for requests that have
// no end half a second after the timeout of their route.
func playHang(root string, trouble bool, rec *record) error {
	services := []string{"front"}
	for range hangTargets {
		services = append(services, "archive")
	}
	f, err := newFleet(root, services...)
	if err != nil {
		return err
	}
	defer f.close()
	page := bytes.Repeat([]byte("0123456789"), hangAnswer/10)
	var hangs atomic.Bool
	var requests atomic.Int64 // of the upstream that hangs, while it does
	done := make(chan struct{})
	defer close(done)
	for i, m := range f.machines {
		u, faulty := m.upstream, i == 3 // in the zone of the clients
		u.handle = func(c *upstreamConn, r *http.Request) bool {
			if !faulty || !hangs.Load() || !failsNth(requests.Add(1)-1) {
				return u.serveDefault(c, r, hangWork, page)
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return false
			}
			u.begin(r, body)
			defer u.end()
			time.Sleep(hangWork)
			u.note("hangs in the answer to %s", r.Header.Get("Verbenapin-Request-Id"))
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", c.head(r, http.StatusOK, u.signature()), len(page), page[:len(page)/2])
			ended := make(chan struct{})
			go func() {
				_, _ = c.reader.Peek(1) // returns when the node closes the connection
				close(ended)
			}()
			select {
			case <-ended:
			case <-done:
			}
			return false
		}
	}
	f.configure(route{
		prefix: "/archive/", kind: "download", service: "archive", timeoutMs: int(hangTimeout.Milliseconds()), objectiveMs: 600, attempts: 2,
	})
	if err := f.startAll(); err != nil {
		return err
	}
	var mu sync.Mutex
	var late, unanswered int // requests that took longer than the timeout, and those without an end hangSlack after it
	var wg sync.WaitGroup
	end := time.Now().Add(hangLength)
	wg.Go(func() {
		time.Sleep(hangAt)
		hangs.Store(trouble)
		time.Sleep(hangFor)
		hangs.Store(false)
	})
	for w := range hangClients {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id, sent := fmt.Sprintf("%04x%012x", w, n), time.Now()
				_, err := sendFinal(rec, f.machines[0], http.MethodGet, "/archive/2f", id, hangDeadline)
				took := time.Since(sent)
				mu.Lock()
				if took > hangTimeout {
					late++
				}
				if took > hangTimeout+hangSlack {
					unanswered++
					rec.line("%s had no final answer %s after it was sent: %v", id, took.Round(time.Millisecond), err)
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	rec.runs(f)
	rec.line("%d requests took longer than the timeout of their route; %d of them had no final answer %s after it", late, unanswered, hangSlack)
	if late >= 8 && 2*unanswered > late {
		rec.breaks("CONFIG: %d of %d requests that took longer than %s had no final answer %s after it", unanswered, late, hangTimeout, hangSlack)
	}
	return nil
}
