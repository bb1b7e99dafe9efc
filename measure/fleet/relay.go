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
	// chunkSize and maxChunks bound the bytes that a relay buffers for each direction of a connection.
	chunkSize = 32 << 10
	maxChunks = 128
)

// Relay forwards TCP connections to one address with a delay in each direction.
// While it is blocked, it keeps connections open but forwards no bytes, as in a network partition.
type Relay struct {
	addr  string
	to    string
	delay time.Duration
	loop  *loop.Loop
	bytes atomic.Int64
	wg    sync.WaitGroup

	// The following fields are accessed only on the loop.
	listener  net.Listener
	conns     map[net.Conn]bool
	unblocked chan struct{} // closed while the relay is not blocked
	closing   chan struct{}
}

// NewRelay listens on addr and forwards to another address.
func NewRelay(l *loop.Loop, addr, to string, delay time.Duration) (*Relay, error) {
	unblocked := make(chan struct{})
	close(unblocked)
	r := &Relay{addr: addr, to: to, delay: delay, loop: l, conns: map[net.Conn]bool{}, unblocked: unblocked, closing: make(chan struct{})}
	return r, r.Up()
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.addr }

// Bytes returns the number of bytes forwarded in both directions, including those of a write that failed.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// Up starts listening, unless the relay already listens.
func (r *Relay) Up() error {
	var err error
	loopErr := r.call(func() {
		if r.listener != nil {
			return
		}
		var l net.Listener
		if l, err = net.Listen("tcp", r.addr); err != nil {
			return
		}
		r.listener, r.addr = l, l.Addr().String()
		r.wg.Go(func() { r.accept(l) })
	})
	if err == nil {
		err = loopErr
	}
	if err != nil {
		return fmt.Errorf("fleet: starting a relay: %w", err)
	}
	return nil
}

// Down closes the listener and all connections, as the kernel does when the destination's process ends.
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

// Block holds back all bytes, in both directions, until Unblock.
func (r *Relay) Block() {
	_ = r.call(func() {
		select {
		case <-r.unblocked:
			r.unblocked = make(chan struct{})
		default:
		}
	})
}

// Unblock resumes forwarding.
func (r *Relay) Unblock() {
	_ = r.call(func() {
		select {
		case <-r.unblocked:
		default:
			close(r.unblocked)
		}
	})
}

// Close stops the relay and waits until its connections are closed.
func (r *Relay) Close() {
	r.Down()
	_ = r.call(func() { close(r.closing) })
	r.wg.Wait()
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
		r.wg.Go(func() { r.forward(c) })
	}
}

// forward copies bytes between a client and the destination until both directions have ended.
func (r *Relay) forward(c net.Conn) {
	defer func() { _ = c.Close() }()
	if !r.waitUnblocked() {
		return
	}
	dst, err := net.DialTimeout("tcp", r.to, 2*time.Second)
	if err != nil {
		return
	}
	defer func() { _ = dst.Close() }()
	tracked := false
	_ = r.call(func() {
		if tracked = r.listener != nil; tracked {
			r.conns[c], r.conns[dst] = true, true
		}
	})
	if !tracked {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.copy(dst, c) })
	both.Go(func() { r.copy(c, dst) })
	both.Wait()
	_ = r.call(func() {
		delete(r.conns, c)
		delete(r.conns, dst)
	})
}

// chunk is data read from a connection and the time at which it is forwarded.
type chunk struct {
	data []byte
	due  time.Time
}

// copy forwards one direction; after an EOF it closes only that direction of the destination.
func (r *Relay) copy(to, from net.Conn) {
	queue := make(chan chunk, maxChunks)
	var writer sync.WaitGroup
	writer.Go(func() {
		for k := range queue {
			if !r.sleep(time.Until(k.due)) || !r.waitUnblocked() {
				break
			}
			r.bytes.Add(int64(len(k.data))) // before the receiver can see the bytes and ask for the count
			if _, err := to.Write(k.data); err != nil {
				break
			}
		}
		_ = from.SetReadDeadline(time.Now())
		for range queue { // Discards what can no longer be delivered, so that the reader doesn't block.
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
	writer.Wait()
	if t, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
		_ = t.CloseWrite()
		return
	}
	_ = to.Close()
}

// waitUnblocked waits while the relay is blocked and returns false if the relay is closed.
func (r *Relay) waitUnblocked() bool {
	var unblocked chan struct{}
	if r.call(func() { unblocked = r.unblocked }) != nil {
		return false
	}
	select {
	case <-unblocked:
		return true
	case <-r.closing:
		return false
	}
}

// sleep returns false if the relay is closed during the wait.
func (r *Relay) sleep(d time.Duration) bool {
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
