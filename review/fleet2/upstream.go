package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Settings of the stand-in services.
const (
	slots      = 12
	queueSize  = 24
	heartbeat  = 1500 * time.Millisecond
	idleClose  = 10 * time.Second
	coldFor    = 3 * time.Second
	coldFactor = 2 // how much longer work takes while cold
)

// run is a request that an upstream began to work on.
type run struct {
	id, upstream string
	at           time.Time
	cold         bool
}

// records collects what upstreams have run, in order.
type records struct {
	mu   sync.Mutex
	runs []run
}

func (r *records) add(e run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, e)
}

// upstream is one incarnation of a server beside a node.
type upstream struct {
	id, service, zone, addr string
	work                    time.Duration
	extra                   float64 // part of the answers that are sent a second time, late
	store                   *store
	records                 *records
	rng                     *rand.Rand

	mu        sync.Mutex
	running   int
	queued    int
	slotFree  *sync.Cond
	coldUntil time.Time
	state     string
	seq       int
	born      time.Time
	ended     bool
	listener  net.Listener
	conns     map[net.Conn]bool
	stop      chan struct{}
	coldLimit int         // requests in one second at which it crashes while cold, zero for none
	coldRuns  []time.Time // starts of requests while cold
}

// setExtra sets the part of the answers that are sent a second time.
func (u *upstream) setExtra(part float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.extra = part
}

// overloaded records a start and reports whether there were more in the last second than a cold upstream bears.
func (u *upstream) overloaded(now time.Time) bool {
	if u.coldLimit == 0 || u.coldLeft() == 0 {
		return false
	}
	u.coldRuns = append(u.coldRuns, now)
	for now.Sub(u.coldRuns[0]) >= time.Second {
		u.coldRuns = u.coldRuns[1:]
	}
	return len(u.coldRuns) > u.coldLimit
}

// start begins to listen and registers the upstream.
func (u *upstream) start(cold bool) error {
	l, err := net.Listen("tcp", u.addr)
	if err != nil {
		return err
	}
	u.listener, u.conns, u.stop, u.state, u.born = l, map[net.Conn]bool{}, make(chan struct{}), "ready", time.Now()
	u.slotFree = sync.NewCond(&u.mu)
	if cold {
		u.coldUntil = u.born.Add(coldFor)
	}
	u.beat()
	go u.heartbeats()
	go u.accept()
	return nil
}

// beat writes the upstream's entry.
func (u *upstream) beat() {
	u.mu.Lock()
	u.seq++
	value, _ := json.Marshal(map[string]any{
		"address": u.addr, "born": u.born.UnixMilli(),
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": slots},
		"status": map[string]any{"state": u.state, "seq": u.seq, "coldMs": u.coldLeft().Milliseconds()},
	})
	u.mu.Unlock()
	u.store.put("servers/"+u.id, value)
}

func (u *upstream) heartbeats() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-u.stop:
			return
		case <-t.C:
			if u.coldLeft() > 0 {
				u.beat()
			}
		}
	}
}

// coldLeft returns how long the upstream stays cold.
func (u *upstream) coldLeft() time.Duration { return max(time.Until(u.coldUntil), 0) }

// crash ends the upstream without a word; its entry expires after three heartbeat intervals.
func (u *upstream) crash() {
	u.mu.Lock()
	if u.ended {
		u.mu.Unlock()
		return
	}
	u.ended = true
	close(u.stop)
	_ = u.listener.Close()
	for c := range u.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	u.slotFree.Broadcast()
	u.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { u.store.put("servers/"+u.id, nil) })
}

func (u *upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()
		go u.serve(c)
	}
}

func (u *upstream) load() string {
	return fmt.Sprintf("%d,%d,%d,%d", u.running, u.queued, slots, 100*u.factor())
}

func (u *upstream) factor() int {
	if u.coldLeft() > 0 {
		return coldFactor
	}
	return 1
}

// serve answers the requests of a connection one after the other. An extra answer is sent where the next one is due.
func (u *upstream) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	late := ""
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleClose))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != "" {
			_, _ = io.WriteString(c, late)
			late = ""
		}
		answer := u.answer(req, body)
		if answer == "" {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if strings.HasPrefix(answer, "HTTP/1.1 200") && req.URL.Path != healthPath {
			u.mu.Lock()
			if u.rng.Float64() < u.extra {
				late = answer
			}
			u.mu.Unlock()
		}
	}
}

const healthPath = "/healthz"

func message(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

// answer runs a request and returns its answer, empty if the connection ends instead.
func (u *upstream) answer(req *http.Request, body []byte) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return ""
	}
	load := "Verbenapin-Server-Load: " + u.load() + "\r\n"
	if req.URL.Path == healthPath {
		h := "Verbenapin-Instance-Id: " + u.id + "\r\n" + load
		if left := u.coldLeft(); left > 0 {
			h += "Verbenapin-Cold-Remaining-Ms: " + strconv.FormatInt(left.Milliseconds(), 10) + "\r\n"
		}
		return message(200, h, "")
	}
	id := req.Header.Get("Verbenapin-Request-Id")
	echo := "Verbenapin-Request-Id: " + id + "\r\n"
	if want := req.Header.Get("Verbenapin-Expected-Instance"); want != "" && want != u.id {
		return message(421, echo+"Verbenapin-Instance-Id: "+u.id+"\r\n", "")
	}
	if id == "" {
		return message(400, "Verbenapin-Not-Executed: 1\r\n", "")
	}
	if u.queued >= queueSize {
		return message(503, echo+load+"Verbenapin-Not-Executed: 1\r\n", "")
	}
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.Atoi(req.Header.Get("Verbenapin-Request-Deadline")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	u.queued++
	for u.running >= slots && !u.ended {
		u.slotFree.Wait()
	}
	u.queued--
	if u.ended {
		return ""
	}
	if time.Now().After(deadline) {
		return message(503, echo+load+"Verbenapin-Not-Executed: 1\r\n", "")
	}
	u.running++
	now := time.Now()
	u.records.add(run{id: id, upstream: u.id, at: now, cold: u.coldLeft() > 0})
	if u.overloaded(now) {
		go u.crash()
	}
	work := u.work * time.Duration(u.factor())
	u.mu.Unlock()
	time.Sleep(work)
	u.mu.Lock()
	u.running--
	u.slotFree.Signal()
	if u.ended {
		return ""
	}
	if time.Now().After(deadline) {
		return message(504, echo+load, "")
	}
	return message(200, echo+"Verbenapin-Server-Load: "+u.load()+"\r\nVerbenapin-Response-Signature: sig."+id+"\r\n", "answer of "+id)
}
