package caller

import (
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// http2Preface is the start of an HTTP/2 connection without TLS.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// http2Server serves the HTTP/2 connections of callers with net/http.
type http2Server struct {
	http   *http.Server
	conns  chan net.Conn
	closed chan struct{}
}

func newHTTP2Server(h http.Handler, errorLog *log.Logger) *http2Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http2Server{
		conns: make(chan net.Conn), closed: make(chan struct{}),
		http: &http.Server{
			Handler: h, Protocols: protocols, ErrorLog: errorLog,
			ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxReadHeadBytes,
			ConnState: recordStreams,
		},
	}
}

// recordStreams tells an HTTP/2 connection whether it has streams.
func recordStreams(c net.Conn, state http.ConnState) {
	if replayed, ok := c.(*replayedConn); ok && state != http.StateClosed {
		replayed.owner.setStreams(state != http.StateIdle)
	}
}

// start serves in the background; the returned function stops accepting connections and waits until Serve has returned.
func (s *http2Server) start() func() {
	served := make(chan struct{})
	go func() {
		defer close(served)
		// The listener ends only when it is closed, so there is no other error to report.
		_ = s.http.Serve(http2Listener{s})
	}()
	return func() {
		close(s.closed)
		<-served
	}
}

// handOver passes a connection to net/http, or returns false if no more are accepted.
func (s *http2Server) handOver(c net.Conn) bool {
	select {
	case s.conns <- c:
		return true
	case <-s.closed:
		return false
	}
}

// http2Listener is the net.Listener from which net/http accepts the connections that were handed over.
type http2Listener struct{ *http2Server }

// Accept returns the next connection.
func (l http2Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close does nothing; Server closes the listener that accepted the connections.
func (l http2Listener) Close() error { return nil }

// Addr returns an empty address, since another listener accepted the connections.
func (l http2Listener) Addr() net.Addr { return &net.TCPAddr{} }

// serveHTTP2 hands an HTTP/2 connection to net/http and waits for its end. It reports whether r begins such a connection.
func (c *conn) serveHTTP2(r *http.Request) bool {
	if r.Method != "PRI" || r.RequestURI != "*" || r.ProtoMajor != 2 {
		return false
	}
	if c.refusing {
		c.endRequest()
		return true
	}
	c.beginHTTP2()
	_ = c.raw.SetReadDeadline(time.Time{})
	// http.ReadRequest has consumed the preface up to the empty line, and net/http expects it.
	consumed := http2Preface[:len("PRI * HTTP/2.0\r\n\r\n")]
	replayed := &replayedConn{
		Conn: c.raw.Conn, owner: c, reader: io.MultiReader(strings.NewReader(consumed), c.reader), closed: make(chan struct{}),
	}
	if c.server.http2.handOver(replayed) {
		<-replayed.closed
	}
	return true
}

// beginHTTP2 ends the request that began the HTTP/2 connection.
func (c *conn) beginHTTP2() {
	c.mu.Lock()
	c.http2, c.streams = true, true
	c.mu.Unlock()
	c.endRequest()
}

// setStreams records whether the HTTP/2 connection has streams.
func (c *conn) setStreams(streams bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams = streams
	c.recordState()
}

// replayedConn is a connection whose first bytes were already read; its reader returns them again.
type replayedConn struct {
	net.Conn
	owner  *conn
	reader io.Reader
	once   sync.Once
	closed chan struct{}
}

func (c *replayedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Close closes the connection and wakes the goroutine that handed it over.
func (c *replayedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
