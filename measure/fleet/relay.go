package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"verbenapin.dev/node/loop"
)

const (
	// chunkSize and chunks bound what a relay holds for each direction of a connection.
	chunkSize = 32 << 10
	chunks    = 128
)

// Relay forwards connections to one address with a delay in each direction; a cut relay holds back all bytes.
type Relay struct {
	addr  string
	to    string
	delay time.Duration
	loop  *loop.Loop
	bytes atomic.Int64
	ended sync.WaitGroup

	// The loop owns the following fields.
	listener net.Listener
	conns    map[net.Conn]bool
	open     chan struct{} // closed while bytes pass
	closing  chan struct{}
}

// NewRelay listens on addr and forwards to another address.
func NewRelay(l *loop.Loop, addr, to string, delay time.Duration) (*Relay, error) {
	open := make(chan struct{})
	close(open)
	r := &Relay{addr: addr, to: to, delay: delay, loop: l, conns: map[net.Conn]bool{}, open: open, closing: make(chan struct{})}
	return r, r.Up()
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.addr }

// Bytes returns the number of bytes forwarded in both directions.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// Up listens, if the relay does not listen yet.
func (r *Relay) Up() error {
	var err error
	fatal := r.call(func() {
		if r.listener != nil {
			return
		}
		var l net.Listener
		if l, err = net.Listen("tcp", r.addr); err != nil {
			return
		}
		r.listener, r.addr = l, l.Addr().String()
		r.ended.Go(func() { r.accept(l) })
	})
	if err == nil {
		err = fatal
	}
	if err != nil {
		return fmt.Errorf("fleet: starting a relay: %w", err)
	}
	return nil
}

// Down refuses new connections and breaks the open ones, as when the destination's process is gone.
func (r *Relay) Down() {
	_ = r.call(func() {
		if r.listener == nil {
			return
		}
		_ = r.listener.Close()
		r.listener = nil
		for c := range r.conns {
			_ = c.Close()
		}
	})
}

// Cut holds back all bytes until Restore.
func (r *Relay) Cut() {
	_ = r.call(func() {
		select {
		case <-r.open:
			r.open = make(chan struct{})
		default:
		}
	})
}

// Restore lets bytes pass again.
func (r *Relay) Restore() {
	_ = r.call(func() {
		select {
		case <-r.open:
		default:
			close(r.open)
		}
	})
}

// Close ends the relay and waits for its connections.
func (r *Relay) Close() {
	r.Down()
	_ = r.call(func() { close(r.closing) })
	r.ended.Wait()
}

func (r *Relay) call(f func()) error {
	return r.loop.Call(context.Background(), func(time.Time) { f() })
}

func (r *Relay) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.ended.Go(func() { r.forward(c) })
	}
}

// forward connects a caller with the destination until one side ends.
func (r *Relay) forward(c net.Conn) {
	defer func() { _ = c.Close() }()
	if !r.passes() {
		return
	}
	d, err := net.DialTimeout("tcp", r.to, 2*time.Second)
	if err != nil {
		return
	}
	defer func() { _ = d.Close() }()
	tracked := false
	_ = r.call(func() {
		if tracked = r.listener != nil; tracked {
			r.conns[c], r.conns[d] = true, true
		}
	})
	if !tracked {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.copy(d, c) })
	both.Go(func() { r.copy(c, d) })
	both.Wait()
	_ = r.call(func() {
		delete(r.conns, c)
		delete(r.conns, d)
	})
}

type chunk struct {
	data []byte
	due  time.Time
}

// copy forwards one direction; a half-closed connection stays open in the other direction.
func (r *Relay) copy(to, from net.Conn) {
	queue := make(chan chunk, chunks)
	var written sync.WaitGroup
	written.Go(func() {
		for k := range queue {
			if !r.wait(time.Until(k.due)) || !r.passes() {
				break
			}
			if _, err := to.Write(k.data); err != nil {
				break
			}
			r.bytes.Add(int64(len(k.data)))
		}
		_ = from.SetReadDeadline(time.Now())
		for range queue { // Drops what can no longer be delivered.
		}
	})
	var err error
	for err == nil {
		buf := make([]byte, chunkSize)
		var n int
		if n, err = from.Read(buf); n > 0 {
			queue <- chunk{data: buf[:n], due: time.Now().Add(r.delay)}
		}
	}
	close(queue)
	written.Wait()
	if t, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
		_ = t.CloseWrite()
		return
	}
	_ = to.Close()
}

// passes waits while the relay is cut and returns false if it ends.
func (r *Relay) passes() bool {
	var open chan struct{}
	if r.call(func() { open = r.open }) != nil {
		return false
	}
	select {
	case <-open:
		return true
	case <-r.closing:
		return false
	}
}

func (r *Relay) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.closing:
		return false
	}
}
