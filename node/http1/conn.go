package http1

import (
	"net"
	"sync"
	"sync/atomic"
)

// Conn is a connection to a server on which the heads of responses are checked as they are read.
type Conn struct {
	net.Conn

	written atomic.Int64

	mu   sync.Mutex
	scan HeadScan
	err  error // HeadError of the first malformed head, after which nothing more is read
}

// Written returns the bytes that were handed to the connection. They show whether the request of a failed attempt may have run.
func (c *Conn) Written() int64 { return c.written.Load() }

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Read reads from the connection. Its error is a HeadError behind the last byte before the fault of a malformed head.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.headError(); err != nil {
		return 0, err // textproto reads on after an error behind a whole line
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scan, n, c.err = c.scan.WithBytes(p[:n])
	if c.err != nil {
		return n, c.err
	}
	return n, err
}

// expectResponse makes the next bytes those of a response.
func (c *Conn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scan = NewHeadScan()
}

// headError returns the HeadError of a malformed head, nil if there was none.
func (c *Conn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
