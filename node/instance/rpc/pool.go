package rpc

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// maxConns bounds the open connections. A node needs about 8 to neighbours and at most 24 to homes.
const maxConns = 48

// maxTimeouts is how many messages in a row may end at their time-outs before the connection is replaced. A connection may go silent for
// good, while a new one works; the kernel notices only many minutes later.
const maxTimeouts = 2

type pooledConn struct {
	conn     *grpc.ClientConn
	lastUsed time.Time
	timeouts int // messages in a row that ended at their time-outs
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
		c.lastUsed = time.Now()
		p.conns[addr] = c
		return c.conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, append(slices.Clip(p.options), p.observe(addr)...)...)
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

// observe returns the options that pass the outcome of each message to an address to recordOutcome.
func (p *Pool) observe(addr string) []grpc.DialOption {
	unary := func(ctx context.Context, method string, req, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		err := invoke(ctx, method, req, reply, conn, opts...)
		p.recordOutcome(addr, conn, err)
		return err
	}
	stream := func(ctx context.Context, desc *grpc.StreamDesc, conn *grpc.ClientConn, method string, open grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
		s, err := open(ctx, desc, conn, method, opts...)
		if err != nil {
			p.recordOutcome(addr, conn, err)
			return nil, err
		}
		return &observedStream{ClientStream: s, onReceive: func(err error) { p.recordOutcome(addr, conn, err) }}, nil
	}
	return []grpc.DialOption{grpc.WithChainUnaryInterceptor(unary), grpc.WithChainStreamInterceptor(stream)}
}

// observedStream is a stream that reports each received message or its error.
type observedStream struct {
	grpc.ClientStream
	onReceive func(err error)
}

// RecvMsg receives a message.
func (s *observedStream) RecvMsg(m any) error {
	err := s.ClientStream.RecvMsg(m)
	s.onReceive(err)
	return err
}

// recordOutcome closes a connection after maxTimeouts messages that ended at their time-outs; the next message opens another one.
func (p *Pool) recordOutcome(addr string, conn *grpc.ClientConn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.conns[addr]
	if !ok || c.conn != conn {
		return
	}
	c.timeouts++
	if status.Code(err) != codes.DeadlineExceeded {
		c.timeouts = 0
	}
	p.conns[addr] = c
	if c.timeouts >= maxTimeouts {
		delete(p.conns, addr)
		_ = conn.Close()
	}
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
