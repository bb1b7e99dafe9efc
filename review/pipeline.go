package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Traffic of playPipeline.
const (
	pipelineLength  = 30 * time.Second
	pipelineClients = 6
	pipelineDepth   = 4                      // most requests of a client that are not answered yet
	pipelineAnswer  = 480_000                // bytes; the site file has downloads of up to 540,000
	pipelineWork    = 60 * time.Millisecond  // of the upstream
	pipelinePause   = 60 * time.Millisecond  // mean time between two requests of a client
	pipelineThink   = 100 * time.Millisecond // that a client takes for an answer before it reads the next one
	pipelineTimeout = 3 * time.Second        // of the client and of the route
	restartEvery    = 6 * time.Second
	// pipelineWindow is the client's receive buffer in bytes. The platform's links have small windows.
	pipelineWindow = 64 << 10
)

// pipelined is a request of a client in playPipeline.
type pipelined struct {
	id   string
	sent time.Time
}

// pipelineRun is the state that the clients of playPipeline share.
type pipelineRun struct {
	rec     *record
	front   *machine
	end     time.Time
	mu      sync.Mutex
	stopped []time.Time // SIGTERMs of the front node
	cut     map[string]string
}

// playPipeline stops and starts a node while its clients send safe requests before earlier ones are answered.
func playPipeline(root string, trouble bool, rec *record) error {
	f, err := newFleet(root, "front", "archive", "archive")
	if err != nil {
		return err
	}
	defer f.close()
	page := bytes.Repeat([]byte("0123456789abcdef"), pipelineAnswer/16)
	for _, m := range f.machines {
		u := m.upstream
		u.handle = func(c *upstreamConn, r *http.Request) bool { return u.serveDefault(c, r, pipelineWork, page) }
	}
	f.configure(route{
		prefix: "/archive/", kind: "download", service: "archive", timeoutMs: int(pipelineTimeout.Milliseconds()), objectiveMs: 1000, attempts: 2,
	})
	if err := f.startAll(); err != nil {
		return err
	}
	p := &pipelineRun{rec: rec, front: f.machines[0], end: time.Now().Add(pipelineLength), cut: map[string]string{}}
	var wg sync.WaitGroup
	for w := range pipelineClients {
		wg.Go(func() { p.client(w) })
	}
	for time.Until(p.end) > restartEvery {
		time.Sleep(restartEvery / 3)
		if !trouble {
			continue
		}
		rec.line("SIGTERM of %s", p.front.name)
		p.mu.Lock()
		p.stopped = append(p.stopped, time.Now())
		p.mu.Unlock()
		p.front.terminate()
		rec.line("the process has ended: %v", p.front.exit)
		if err := f.start(p.front); err != nil {
			return err
		}
		if err := p.front.awaitReady(); err != nil {
			return err
		}
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	ran := rec.runs(f)
	for id, why := range p.cut {
		if len(ran[id]) > 0 {
			rec.breaks("LOST: %s was passed on to an upstream, and its connection ended without a complete answer: %s", id, why)
		} else {
			rec.line("%s was not passed on, which is allowed: %s", id, why)
		}
	}
	return nil
}

// client sends requests over one connection after the other until the end; it opens one only while the node is ready.
func (p *pipelineRun) client(w int) {
	for n := 0; time.Now().Before(p.end); n++ {
		if p.front.isReady() {
			if c, err := dialNode(p.front); err == nil {
				_ = c.Conn.(*net.TCPConn).SetReadBuffer(pipelineWindow)
				(&pipelineConn{run: p, conn: c, name: fmt.Sprintf("%02x%04x", w, n)}).serve()
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// pipelineConn is a connection of a client.
type pipelineConn struct {
	run  *pipelineRun
	conn *clientConn
	name string

	mu      sync.Mutex
	pending []pipelined
	closing bool // an answer has said that the connection closes, or the connection has ended
}

// serve sends requests until an answer says that the connection closes, and reads their answers.
func (c *pipelineConn) serve() {
	defer func() { _ = c.conn.Close() }()
	go c.read()
	for n := 0; ; n++ {
		c.mu.Lock()
		closing, done := c.closing, len(c.pending) == 0 && !time.Now().Before(c.run.end)
		if !closing && len(c.pending) < pipelineDepth && time.Now().Before(c.run.end) {
			id := fmt.Sprintf("%s%010x", c.name, n)
			c.run.rec.line("sent %s: GET /archive/2f from %s", id, c.conn.LocalAddr())
			c.pending = append(c.pending, pipelined{id: id, sent: time.Now()})
			if err := c.conn.send(http.MethodGet, "/archive/2f", id, pipelineTimeout); err != nil {
				c.run.rec.line("sending %s: %v", id, err)
			}
		}
		c.mu.Unlock()
		if done || (closing && c.isDrained()) {
			return
		}
		time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(pipelinePause)))
	}
}

// isDrained reports whether no answer is due any more.
func (c *pipelineConn) isDrained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0
}

// read reads the answers.
func (c *pipelineConn) read() {
	for {
		if c.isDrained() {
			time.Sleep(time.Millisecond)
			if !time.Now().Before(c.run.end) {
				return
			}
			continue
		}
		a, err := c.conn.receive(http.MethodGet, pipelineTimeout, func(a answer) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.closing = c.closing || a.closes
		})
		c.mu.Lock()
		if err != nil {
			c.run.recordCut(c.pending, a, err)
			c.pending, c.closing = nil, true
			c.mu.Unlock()
			return
		}
		c.run.rec.line("answer %s: %d, %d bytes, connection closes: %v", c.pending[0].id, a.status, len(a.body), a.closes)
		c.pending = c.pending[1:]
		if a.closes {
			c.pending = nil // those behind it count as not read
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		time.Sleep(pipelineThink)
	}
}

// recordCut records the unanswered requests of a connection that has ended, unless their time was up, or no SIGTERM explains it.
func (p *pipelineRun) recordCut(pending []pipelined, a answer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i, r := range pending {
		bytes := 0
		if i == 0 {
			bytes = len(a.body)
		}
		took := now.Sub(r.sent)
		p.rec.line("answer %s: none, %d bytes of it, after %s: %v", r.id, bytes, took.Round(time.Millisecond), err)
		planned := false
		for _, at := range p.stopped {
			planned = planned || (now.After(at) && now.Sub(at) < graceTime+time.Second)
		}
		if planned && took < pipelineTimeout*7/10 {
			p.cut[r.id] = fmt.Sprintf("%d bytes of it came, after %s: %v", bytes, took.Round(time.Millisecond), err)
		}
	}
}
