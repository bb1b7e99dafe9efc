package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// slots is how many requests an upstream runs at once.
const slots = 12

// run is a request that an upstream has run.
type run struct {
	id, upstream, method, path string
	caller, tenant             string
	body                       string // digest
	size                       int    // of the body in bytes
	at                         time.Time
}

// upstream imitates an upstream of the platform. It serves one request at a time on each connection.
type upstream struct {
	id, service, address string
	born                 time.Time
	// handle serves a request whose body is unread, and reports whether the connection is kept; nil for serveDefault.
	handle func(c *upstreamConn, r *http.Request) bool

	mu      sync.Mutex
	running int
	runs    []run
	notes   []string
}

// upstreamConn is a connection of a node to an upstream.
type upstreamConn struct {
	net.Conn
	reader   *bufio.Reader
	upstream *upstream
}

func startUpstream(id, service, address string) (*upstream, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u := &upstream{id: id, service: service, address: address, born: time.Now()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(&upstreamConn{Conn: c, reader: bufio.NewReader(c), upstream: u})
		}
	}()
	return u, nil
}

func (u *upstream) serve(c *upstreamConn) {
	defer func() { _ = c.Close() }()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if !u.serveOne(c, r) {
			return
		}
	}
}

// serveOne answers health checks and requests for other upstreams itself, and passes all others on to handle.
func (u *upstream) serveOne(c *upstreamConn, r *http.Request) bool {
	expected := r.Header.Get("Verbenapin-Expected-Instance")
	switch {
	case r.URL.Path == "/healthz":
		return c.respond(r, http.StatusOK, "Verbenapin-Instance-Id: "+u.id+"\r\n", nil)
	case expected != "" && expected != u.id:
		_, _ = io.Copy(io.Discard, r.Body)
		return c.respond(r, http.StatusMisdirectedRequest, "Verbenapin-Instance-Id: "+u.id+"\r\n", nil)
	case u.handle != nil:
		return u.handle(c, r)
	default:
		return u.serveDefault(c, r, 0, []byte("ok"))
	}
}

// serveDefault reads the body, runs the request for a time and answers with the given body.
func (u *upstream) serveDefault(c *upstreamConn, r *http.Request, work time.Duration, answer []byte) bool {
	return u.serveStatus(c, r, work, http.StatusOK, answer)
}

// serveStatus is serveDefault with another status.
func (u *upstream) serveStatus(c *upstreamConn, r *http.Request, work time.Duration, status int, answer []byte) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	u.begin(r, body)
	time.Sleep(work)
	u.end()
	return c.respond(r, status, u.signature(), answer)
}

func (u *upstream) signature() string { return "Verbenapin-Response-Signature: 3e1b." + u.id + "\r\n" }

// begin records that the upstream begins to run a request.
func (u *upstream) begin(r *http.Request, body []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	u.runs = append(u.runs, run{
		id: r.Header.Get("Verbenapin-Request-Id"), upstream: u.id, method: r.Method, path: r.RequestURI, body: digest(body), size: len(body),
		caller: r.Header.Get("Verbenapin-Caller-Service"), tenant: r.Header.Get("Verbenapin-Tenant"), at: time.Now(),
	})
}

func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

func (u *upstream) note(format string, args ...any) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.notes = append(u.notes, fmt.Sprintf(format, args...))
}

// records returns the requests that the upstream has run, and its notes.
func (u *upstream) records() ([]run, []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]run{}, u.runs...), append([]string{}, u.notes...)
}

// head returns the head of an answer, with the headers that each answer has.
func (c *upstreamConn) head(r *http.Request, status int, headers string) string {
	c.upstream.mu.Lock()
	running := c.upstream.running
	c.upstream.mu.Unlock()
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nVerbenapin-Request-Id: %s\r\nVerbenapin-Server-Load: %d,0,%d,100\r\n%s",
		status, http.StatusText(status), r.Header.Get("Verbenapin-Request-Id"), running, slots, headers)
}

// respond sends an answer and reports whether the connection is kept.
func (c *upstreamConn) respond(r *http.Request, status int, headers string, body []byte) bool {
	head := c.head(r, status, headers) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	if r.Method == http.MethodHead {
		body = nil
	}
	_, err := c.Write(append([]byte(head), body...))
	return err == nil && !strings.EqualFold(r.Header.Get("Connection"), "close")
}

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}
