package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval in which an upstream writes its entry.
const heartbeat = 1500 * time.Millisecond

// run is a request that an upstream has begun to work on.
type run struct {
	id, tenant string
	at         time.Time
	cold       bool
}

// upstream imitates an upstream of the platform: it runs as many requests at once as it has slots, queues twice as many, tells its load,
// and says in the responses to health checks how long it stays cold. Its work takes twice as long while it is cold.
type upstream struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	born                       int64 // Unix milliseconds

	store *store
	log   *record
	stop  chan struct{}
	free  chan struct{} // holds a value for each free slot

	mu        sync.Mutex
	seq       int
	running   int
	waiting   int
	coldUntil time.Time
	runs      []run
	arrivals  []run
	server    *http.Server
}

func newUpstream(id, service, zone, address string, slots int, work time.Duration, s *store, log *record) *upstream {
	u := &upstream{
		id: id, service: service, zone: zone, address: address, slots: slots, work: work, born: time.Now().UnixMilli(),
		store: s, log: log, stop: make(chan struct{}), free: make(chan struct{}, slots),
	}
	for range slots {
		u.free <- struct{}{}
	}
	return u
}

// register writes the entry once, and again at each heartbeat while it changes, until the upstream ends.
func (u *upstream) register() {
	last := u.write("")
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-u.stop:
				return
			case <-ticker.C:
				last = u.write(last)
			}
		}
	}()
}

// write writes the entry unless only its number would change; it returns what was written without the number.
func (u *upstream) write(last string) string {
	u.mu.Lock()
	u.seq++
	seq, cold := u.seq, max(time.Until(u.coldUntil), 0).Milliseconds()
	u.mu.Unlock()
	entry := func(seq int) string {
		data, _ := json.Marshal(map[string]any{
			"address": u.address, "born": u.born,
			"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": u.slots},
			"status": map[string]any{"state": "ready", "seq": seq, "coldMs": cold},
		})
		return string(data)
	}
	if now := entry(0); now != last {
		u.store.put("servers/"+u.id, []byte(entry(seq)))
		return now
	}
	return last
}

// setCold makes the upstream cold for a time.
func (u *upstream) setCold(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.coldUntil = time.Now().Add(d)
}

// history returns what the upstream has run so far, and what has arrived there and got no 421.
func (u *upstream) history() (runs, arrivals []run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]run(nil), u.runs...), append([]run(nil), u.arrivals...)
}

// listen serves the upstream at its address.
func (u *upstream) listen() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return fmt.Errorf("upstream %s: %w", u.id, err)
	}
	u.server = &http.Server{Handler: u.handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = u.server.Serve(l) }()
	return nil
}

// crash ends the upstream without notice. The store removes its entry after three heartbeat intervals.
func (u *upstream) crash() {
	close(u.stop)
	_ = u.server.Close()
	u.log.line(time.Now(), "crash upstream=%s", u.id)
	time.AfterFunc(3*heartbeat, func() {
		u.store.remove("servers/" + u.id)
		u.log.line(time.Now(), "entry of upstream=%s removed", u.id)
	})
}

// report adds the load header, and to the response to a health check how long the upstream stays cold; the caller holds mu.
func (u *upstream) report(h http.Header, health bool) {
	h.Set("Verbenapin-Server-Load", fmt.Sprintf("%d,%d,%d,100", u.running, u.waiting, u.slots))
	if !health {
		return
	}
	h.Set("Verbenapin-Instance-Id", u.id)
	if left := time.Until(u.coldUntil); left > 0 {
		h.Set("Verbenapin-Cold-Remaining-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
}

func (u *upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.report(w.Header(), true)
	})
	mux.HandleFunc("/", u.serve)
	return mux
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id, h := r.Header.Get("Verbenapin-Request-Id"), w.Header()
	h.Set("Verbenapin-Request-Id", id)
	ctx, cancel := r.Context(), context.CancelFunc(func() {})
	if ms, err := strconv.Atoi(r.Header.Get("Verbenapin-Request-Deadline")); err == nil {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	}
	defer cancel()
	if status := u.enter(r, h); status != 0 {
		w.WriteHeader(status)
		return
	}
	select {
	case <-u.free:
	case <-ctx.Done():
		u.leave(func() { u.waiting-- })
		h.Set("Verbenapin-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	work := u.begin(id, r.Header.Get("Verbenapin-Tenant"))
	timer := time.NewTimer(work)
	defer timer.Stop()
	status := http.StatusOK
	select {
	case <-timer.C:
	case <-ctx.Done():
		status = http.StatusGatewayTimeout
	}
	u.leave(func() { u.running-- })
	u.free <- struct{}{}
	u.mu.Lock()
	u.report(h, false)
	u.mu.Unlock()
	h.Set("Verbenapin-Response-Signature", u.id+"."+id)
	body := []byte("answer to " + id)
	if strings.HasSuffix(r.URL.Path, "/bytes") && status == http.StatusOK {
		body = bytes.Repeat([]byte("x"), downloadBytes)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// enter queues a request, or returns the status of one that is not run.
func (u *upstream) enter(r *http.Request, h http.Header) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.report(h, false)
	if expected := r.Header.Get("Verbenapin-Expected-Instance"); expected != "" && expected != u.id {
		return http.StatusMisdirectedRequest
	}
	now := time.Now()
	u.arrivals = append(u.arrivals, run{id: r.Header.Get("Verbenapin-Request-Id"), at: now, cold: now.Before(u.coldUntil)})
	if u.waiting >= 2*u.slots {
		h.Set("Verbenapin-Not-Executed", "1")
		return http.StatusServiceUnavailable
	}
	u.waiting++
	return 0
}

// begin records that a request runs, and returns how long its work takes.
func (u *upstream) begin(id, tenant string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
	u.running++
	now := time.Now()
	cold := now.Before(u.coldUntil)
	u.runs = append(u.runs, run{id: id, tenant: tenant, at: now, cold: cold})
	u.log.line(now, "run id=%s upstream=%s tenant=%s cold=%t", id, u.id, tenant, cold)
	if cold {
		return 2 * u.work
	}
	return u.work
}

func (u *upstream) leave(change func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change()
}
