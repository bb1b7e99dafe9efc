package caller

import (
	"log"
	"net"
	"net/http"
)

// second serves the connections on which a caller speaks HTTP/2, by the library's server.
type second struct {
	http  *http.Server
	conns chan net.Conn
	ended chan struct{}
}

func newSecond(h http.Handler, faults *log.Logger) *second {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &second{
		conns: make(chan net.Conn), ended: make(chan struct{}),
		http: &http.Server{
			Handler: h, Protocols: protocols, ErrorLog: faults,
			ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: readHeadBytes,
		},
	}
}

// start serves in the background; the returned function ends the acceptance of connections and waits for that.
func (s *second) start() func() {
	served := make(chan struct{})
	go func() {
		defer close(served)
		// The listener ends only when it is closed, so there is no other error to report.
		_ = s.http.Serve(secondListener{s})
	}()
	return func() {
		close(s.ended)
		<-served
	}
}

// hand passes a connection on, or returns false if no more are accepted.
func (s *second) hand(c net.Conn) bool {
	select {
	case s.conns <- c:
		return true
	case <-s.ended:
		return false
	}
}

// secondListener gives the library's server the connections that were handed over.
type secondListener struct{ *second }

// Accept returns the next connection.
func (l secondListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

// Close does nothing; the server of the first version closes its own listener.
func (l secondListener) Close() error { return nil }

// Addr names no address, since the connections come from another listener.
func (l secondListener) Addr() net.Addr { return &net.TCPAddr{} }
