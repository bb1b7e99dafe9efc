package tcp

import (
	"errors"
	"net"
	"sync"
)

// watchChunk is how many bytes are read ahead at a time, once there are any.
const watchChunk = 4 << 10

// WatchedConn is a connection whose end can be noticed while nobody reads from it. The bytes that arrive before the end are kept for
// later reads.
type WatchedConn struct {
	net.Conn

	mu     sync.Mutex
	change sync.Cond
	ahead  []byte // read ahead and not yet returned
	err    error  // that ended the connection, returned after ahead
	failed error  // of the last read ahead, if the connection goes on; for the reads that waited for it
	behind bool   // a read ahead is in progress
	direct bool   // a read of the reader itself is in progress
	limit  int    // of ahead
	onEnd  func() // nil if nobody watches
}

// NewWatchedConn returns a connection that nobody watches yet.
func NewWatchedConn(raw net.Conn) *WatchedConn {
	c := &WatchedConn{Conn: raw}
	c.change.L = &c.mu
	return c
}

// WatchedListener returns WatchedConns.
type WatchedListener struct{ net.Listener }

// Accept returns the next connection.
func (l WatchedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewWatchedConn(raw), nil
}

// Watch calls onEnd, on another goroutine, if the other side closes the connection before stop is called. An end that is behind more
// than limit unread bytes, at least one, is not noticed. A read that is in progress notices the end itself, and Watch does nothing.
func (c *WatchedConn) Watch(limit int, onEnd func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.direct || c.onEnd != nil {
		return func() {}
	}
	c.onEnd, c.limit = onEnd, max(limit, 1)
	switch {
	case c.err != nil:
		go onEnd()
	case !c.behind && len(c.ahead) < c.limit:
		c.behind = true
		go c.readAhead()
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.onEnd = nil
	}
}

// readAhead reads until the connection ends, nobody watches it or the limit is reached. The read that is in progress when Watch is
// stopped goes on, for the next reader.
func (c *WatchedConn) readAhead() {
	// The first byte is awaited without a larger buffer, since most connections stay silent while they are watched.
	buf := make([]byte, 1)
	for more := true; more; {
		n, err := c.Conn.Read(buf)
		more = c.addAhead(buf[:n], err)
		if len(buf) == 1 && more {
			buf = make([]byte, watchChunk)
		}
	}
}

// addAhead keeps the result of a read and reports whether to read on.
func (c *WatchedConn) addAhead(b []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead = append(c.ahead, b...)
	var netErr net.Error
	switch {
	case err == nil:
		c.behind = c.onEnd != nil && len(c.ahead) < c.limit
	case errors.As(err, &netErr) && netErr.Timeout():
		c.behind, c.failed = false, err
	default:
		c.behind, c.err = false, err
		if c.onEnd != nil {
			go c.onEnd()
		}
	}
	c.change.Broadcast()
	return c.behind
}

// Read returns what was read ahead, or reads from the connection.
func (c *WatchedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	for c.failed = nil; c.behind && len(c.ahead) == 0; {
		c.change.Wait()
	}
	if n, err, ok := c.takeAhead(p); ok {
		c.mu.Unlock()
		return n, err
	}
	c.direct = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.direct = false
	return n, err
}

// takeAhead returns the result of an earlier read, or false if there is none; c.mu must be held.
func (c *WatchedConn) takeAhead(p []byte) (int, error, bool) {
	switch {
	case len(c.ahead) > 0:
		n := copy(p, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
		return n, nil, true
	case c.err != nil:
		return 0, c.err, true
	case c.failed != nil:
		return 0, c.failed, true
	}
	return 0, nil, false
}
