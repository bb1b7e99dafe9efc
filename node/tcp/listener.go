// Package tcp accepts and counts the TCP connections of a node, and divides the descriptors of its process among them.
package tcp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"verbenapin.dev/node/clock"
)

// Kind states what a connection is for.
type Kind string

// Kinds of connections.
const (
	KindCaller  Kind = "caller"  // of callers
	KindPeer    Kind = "peer"    // of other nodes, for requests
	KindHop     Kind = "hop"     // to other nodes, for requests
	KindTarget  Kind = "target"  // to the target beside the node
	KindControl Kind = "control" // to and of other nodes, for control messages
	KindAdmin   Kind = "admin"   // of operators
	KindReady   Kind = "ready"   // of readiness checks
)

// Kinds returns all kinds of connections.
func Kinds() []Kind {
	return []Kind{KindCaller, KindPeer, KindHop, KindTarget, KindControl, KindAdmin, KindReady}
}

// Counts holds the number of open connections of each kind and the bytes sent on them; its methods may be called from any goroutine.
type Counts struct{ kinds map[Kind]*kindCounts }

// kindCounts are the counts of one kind.
type kindCounts struct{ open, sent atomic.Int64 }

// NewCounts returns counts of zero.
func NewCounts() *Counts {
	c := &Counts{kinds: map[Kind]*kindCounts{}}
	for _, k := range Kinds() {
		c.kinds[k] = new(kindCounts)
	}
	return c
}

// Open returns the number of open connections of a kind.
func (c *Counts) Open(k Kind) int { return int(c.kinds[k].open.Load()) }

// Sent returns the bytes that were sent on connections of a kind, without those of TLS and TCP headers.
func (c *Counts) Sent(k Kind) int64 { return c.kinds[k].sent.Load() }

// countedConn is a connection that is counted until it is closed.
type countedConn struct {
	net.Conn
	counts  *kindCounts
	onClose func()
}

// newCountedConn returns a connection that is counted as open already.
func newCountedConn(raw net.Conn, counts *kindCounts) net.Conn {
	return &countedConn{Conn: raw, counts: counts, onClose: sync.OnceFunc(func() { counts.open.Add(-1) })}
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counts.sent.Add(int64(n))
	return n, err
}

// CloseWrite closes the writing side of a connection; its error is errors.ErrUnsupported for one that is not of TCP.
func CloseWrite(c net.Conn) error {
	if raw := tcpConn(c); raw != nil {
		return raw.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Reset closes a connection so that the other side sees a reset and not an end; what is not delivered yet is dropped.
func Reset(c net.Conn) error {
	if raw := tcpConn(c); raw != nil {
		_ = raw.SetLinger(0)
	}
	return c.Close()
}

// tcpConn returns the TCP connection below c, or nil if there is none.
func tcpConn(c net.Conn) *net.TCPConn {
	switch c := c.(type) {
	case *countedConn:
		return tcpConn(c.Conn)
	case *WatchedConn:
		return tcpConn(c.Conn)
	case *dialedConn:
		return tcpConn(c.Conn)
	case *net.TCPConn:
		return c
	}
	return nil
}

// Close closes the connection.
func (c *countedConn) Close() error {
	defer c.onClose()
	return c.Conn.Close()
}

// FullError reports a connection that is not opened, because as many of its kind are open as may be.
type FullError struct {
	Kind Kind
	Max  int
}

func (e FullError) Error() string {
	return fmt.Sprintf("tcp: %d connections of kind %s are open", e.Max, e.Kind)
}

// Dial returns dial with its connections counted. Beyond limit, zero for none, it returns a FullError.
func (c *Counts) Dial(k Kind, limit int, dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		counts := c.kinds[k]
		if n := counts.open.Add(1); limit > 0 && n > int64(limit) {
			counts.open.Add(-1)
			return nil, FullError{Kind: k, Max: limit}
		}
		raw, err := dial(ctx, network, addr)
		if err != nil {
			counts.open.Add(-1)
			return nil, err
		}
		return newCountedConn(raw, counts), nil
	}
}

// Delays after a failed accept, for example while no descriptor is free. The longest one is a tenth of the time for which callers
// wait for a connection.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 100 * time.Millisecond
)

// Listener accepts connections until it is closed. A failed accept concerns one connection or a lack of resources, whatever its
// error is, so that it is tried again: a server that ends its listener leaves a process that runs and cannot be reached.
type Listener struct {
	net.Listener

	kind      Kind
	counts    *Counts
	clock     *clock.Clock
	onError   func(k Kind, err error)
	closing   chan struct{}
	closeOnce sync.Once

	mu       sync.Mutex
	failures failures
}

// NewListener returns a listener of connections of a kind. onError takes the cause if a connection could not be accepted.
func NewListener(l net.Listener, k Kind, c *Counts, timers *clock.Clock, onError func(k Kind, err error)) *Listener {
	return &Listener{Listener: l, kind: k, counts: c, clock: timers, onError: onError, closing: make(chan struct{})}
}

// Accept returns the next connection; its only error is net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for delay := minAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		raw, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.recordFailures(failures{})
			counts := l.counts.kinds[l.kind]
			counts.open.Add(1)
			return newCountedConn(raw, counts), nil
		case errors.Is(err, net.ErrClosed), l.isClosed():
			return nil, net.ErrClosed
		}
		l.recordFailures(l.failures.withFailure(l.clock.Now()))
		l.onError(l.kind, err)
		l.wait(delay)
	}
}

// failures is a series of failed accepts; it is immutable.
type failures struct{ first, last time.Time }

// withFailure returns the series with another failure; one that comes after a pause, in which no connection waited, begins a new
// series.
func (f failures) withFailure(now time.Time) failures {
	if f.lasted(now) == 0 {
		f.first = now
	}
	f.last = now
	return f
}

// lasted returns for how long accepting has failed, zero if it does not fail now.
func (f failures) lasted(now time.Time) time.Duration {
	if f.last.IsZero() || now.Sub(f.last) > 3*maxAcceptDelay {
		return 0
	}
	return now.Sub(f.first)
}

func (l *Listener) recordFailures(f failures) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = f
}

// FailingFor returns for how long no connection could be accepted, zero if the last one was accepted or none has waited since.
func (l *Listener) FailingFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures.lasted(l.clock.Now())
}

// wait returns after the given time or when the listener is closed.
func (l *Listener) wait(d time.Duration) {
	passed := make(chan struct{})
	timer := l.clock.AfterFunc(d, func(time.Time) { close(passed) })
	defer timer.Close()
	select {
	case <-passed:
	case <-l.closing:
	}
}

func (l *Listener) isClosed() bool {
	select {
	case <-l.closing:
		return true
	default:
		return false
	}
}

// Close closes the listener and ends Accept.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closing) })
	return l.Listener.Close()
}
