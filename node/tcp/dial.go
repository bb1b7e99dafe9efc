package tcp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// NewDial returns a Dial that waits up to the timeout, zero for no limit. A read of its connections returns io.EOF only if the other side
// has ended the connection in the ordinary way.
func NewDial(timeout time.Duration) Dial {
	dialer := &net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &dialedConn{Conn: raw}, nil
	}
}

// dialedConn tells its reader of a failure that the kernel has reported to its writer. The kernel reports a reset or a time-out to one
// system call only: if that is a write, later reads end as if the other side had closed the connection.
type dialedConn struct {
	net.Conn

	writing sync.Mutex // held while a write is in progress
	failure error      // reported to a write; guarded by writing
}

// Write writes to the connection.
func (c *dialedConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if isFailure(err) {
		c.failure = err
	}
	return n, err
}

// isFailure reports whether an error of a write states why the connection failed. EPIPE does not: it means that the failure was reported
// before, or that it came after the end of the other side.
func isFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Read reads from the connection.
func (c *dialedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	return n, err
}

// end returns io.EOF, or why the connection failed. It ends the write that is in progress, which may have been told and not have returned
// yet, or may wait for a peer that reads no more; the other side does not respond to what is written after its end.
func (c *dialedConn) end() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil {
		return fmt.Errorf("tcp: the connection failed: %w", c.failure)
	}
	return io.EOF
}
