package caller

import (
	"log"
	"net"
	"net/http"
)

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
