package rpc

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
)

// maxConns bounds the connections kept; a node has about eight neighbours and 24 homes at most.
const maxConns = 48

type pooled struct {
	conn *grpc.ClientConn
	used time.Time
}

// Pool keeps gRPC connections to other nodes and closes the least recently used beyond its bound.
type Pool struct {
	mu      sync.Mutex
	conns   map[string]pooled
	options []grpc.DialOption
	closed  bool
}

// NewPool returns a pool that dials with the options, which include the transport credentials.
func NewPool(options ...grpc.DialOption) *Pool {
	return &Pool{conns: map[string]pooled{}, options: options}
}

// ClosedError reports the use of a closed pool.
type ClosedError struct{}

func (ClosedError) Error() string { return "instance: pool of connections closed" }

// Conn returns a connection to the address; gRPC connects it in the background.
func (p *Pool) Conn(addr string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ClosedError{}
	}
	if c, ok := p.conns[addr]; ok {
		p.conns[addr] = pooled{conn: c.conn, used: time.Now()}
		return c.conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, p.options...)
	if err != nil {
		return nil, fmt.Errorf("instance: dialing %s: %w", addr, err)
	}
	p.conns[addr] = pooled{conn: conn, used: time.Now()}
	if len(p.conns) > maxConns {
		oldest := addr
		for a, c := range p.conns {
			if c.used.Before(p.conns[oldest].used) {
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
	p.conns = map[string]pooled{}
}
