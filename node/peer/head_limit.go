package peer

import (
	"net"
	"net/http"
	"sync"
)

// maxHeaderLines bounds the header lines of a request of another node: the 256 that a caller may send, and those that nodes add.
const maxHeaderLines = 320

// HeadLines counts the lines of a request head in the bytes of a connection; it is immutable.
type HeadLines struct {
	lines int
	begun bool // the current line has other bytes than its end
	done  bool // the head has ended
}

// WithBytes returns the count after further bytes, up to the end of the head.
func (h HeadLines) WithBytes(b []byte) HeadLines {
	for _, c := range b {
		switch {
		case h.done:
			return h
		case c != '\n':
			h.begun = h.begun || c != '\r'
		case h.begun:
			h.lines, h.begun = h.lines+1, false
		default:
			h.done = true
		}
	}
	return h
}

// HeadLinesError reports a request head with too many lines.
type HeadLinesError struct{}

func (HeadLinesError) Error() string { return "peer: a request head has too many lines" }

// headLimitListener bounds the lines of request heads before they are parsed, where anybody may connect. With TLS the bytes are
// encrypted, and only nodes of the fleet can connect.
type headLimitListener struct{ net.Listener }

// Accept returns the next connection.
func (l headLimitListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headLimitConn{Conn: raw}, nil
}

type headLimitConn struct {
	net.Conn
	mu   sync.Mutex
	head HeadLines
}

func (c *headLimitConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = c.head.WithBytes(p[:n])
	if c.head.lines > maxHeaderLines {
		return 0, HeadLinesError{}
	}
	return n, err
}

// onConnState begins a new head once the response before it has ended. A head that has arrived by then, of which net/http holds at
// most 4 KB, is counted only from there on.
func onConnState(c net.Conn, state http.ConnState) {
	if limited, ok := c.(*headLimitConn); ok && state == http.StateIdle {
		limited.mu.Lock()
		defer limited.mu.Unlock()
		limited.head = HeadLines{}
	}
}
