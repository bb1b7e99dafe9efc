// Package tcp counts the TCP connections of a node and reports why one could not be accepted.
package tcp

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
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

// Counts holds the number of open connections of each kind; its methods may be called from any goroutine.
type Counts struct{ open map[Kind]*atomic.Int64 }

// NewCounts returns counts of zero.
func NewCounts() *Counts {
	c := &Counts{open: map[Kind]*atomic.Int64{}}
	for _, k := range Kinds() {
		c.open[k] = new(atomic.Int64)
	}
	return c
}

// Open returns the number of open connections of a kind.
func (c *Counts) Open(k Kind) int { return int(c.open[k].Load()) }

// track counts a connection until it is closed.
func (c *Counts) track(k Kind, raw net.Conn) net.Conn {
	c.open[k].Add(1)
	return &countedConn{Conn: raw, onClose: sync.OnceFunc(func() { c.open[k].Add(-1) })}
}

// countedConn is a connection that is counted until it is closed.
type countedConn struct {
	net.Conn
	onClose func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	defer c.onClose()
	return c.Conn.Close()
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns dial with its connections counted.
func (c *Counts) Dial(k Kind, dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return c.track(k, raw), nil
	}
}

// Listener counts the connections that it accepts.
type Listener struct {
	net.Listener

	kind    Kind
	counts  *Counts
	onError func(k Kind, err error)
}

// NewListener returns a listener of connections of a kind. onError takes the cause if a connection could not be accepted.
func NewListener(l net.Listener, k Kind, c *Counts, onError func(k Kind, err error)) *Listener {
	return &Listener{Listener: l, kind: k, counts: c, onError: onError}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err == nil {
		return l.counts.track(l.kind, raw), nil
	}
	if !errors.Is(err, net.ErrClosed) {
		l.onError(l.kind, err)
	}
	return nil, err
}
