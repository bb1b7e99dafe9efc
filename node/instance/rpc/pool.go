package rpc

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
)

// maxConns bounds the open connections. A node needs about 8 to neighbours and at most 24 to homes.
const maxConns = 48

type pooledConn struct {
	conn     *grpc.ClientConn
	lastUsed time.Time
}

// Pool keeps gRPC connections to other nodes and closes the least recently used one beyond maxConns.
type Pool struct {
	mu      sync.Mutex
	conns   map[string]pooledConn
	options []grpc.DialOption
	closed  bool
}

// NewPool returns a pool that dials with the options, which include the transport credentials.
func NewPool(options ...grpc.DialOption) *Pool {
	return &Pool{conns: map[string]pooledConn{}, options: options}
}

// ClosedError reports the use of a closed pool.
type ClosedError struct{}

func (ClosedError) Error() string { return "instance: connection pool closed" }

// Conn returns a connection to the address; gRPC connects it in the background.
func (p *Pool) Conn(addr string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ClosedError{}
	}
	if c, ok := p.conns[addr]; ok {
		p.conns[addr] = pooledConn{conn: c.conn, lastUsed: time.Now()}
		return c.conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, p.options...)
	if err != nil {
		return nil, fmt.Errorf("instance: creating a gRPC client for %s: %w", addr, err)
	}
	p.conns[addr] = pooledConn{conn: conn, lastUsed: time.Now()}
	if len(p.conns) > maxConns {
		oldest := addr
		for a, c := range p.conns {
			if c.lastUsed.Before(p.conns[oldest].lastUsed) {
				oldest = a
			}
		}
		_ = p.conns[oldest].conn.Close()
		delete(p.conns, oldest)
	}
	return conn, nil
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		_ = c.conn.Close()
	}
	p.conns = map[string]pooledConn{}
}
