package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/memory"
	"verbenapin.dev/node/tcp"
)

const (
	// maxPipelined bounds the requests of one connection that run at the same time; further ones are not read.
	maxPipelined = 16
	// readBufferSize is enough for the head of an ordinary request.
	readBufferSize = 4 << 10
	// writeBufferSize is enough for the head and a short body of a response, so that both leave in one packet.
	writeBufferSize = 4 << 10
	// writeTimeout bounds each write to a caller, so that a caller that stopped reading does not hold a connection forever.
	writeTimeout = 30 * time.Second
	// maxDrainBytes bounds what is read of the unread rest of a request body to keep the connection open.
	maxDrainBytes = 256 << 10
)

// HeadError reports a request that cannot be read, with the status that is sent to the caller.
type HeadError struct {
	Status int
	Reason string
	Shed   ShedReason // empty unless the request exceeds what a caller may make the node keep
}

func (e HeadError) Error() string { return "caller: request head: " + e.Reason }

// limitedConn bounds the bytes that are read from a connection.
type limitedConn struct {
	net.Conn
	remaining int
}

func (c *limitedConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, HeadError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "too large"}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, err
}

// conn is an HTTP/1 connection of a caller. One goroutine reads its requests one after the other, and each of them runs on a
// goroutine of its own, so that pipelined requests do not wait for the responses before them. Responses are written in the
// order of the requests.
type conn struct {
	server *Server
	raw    *limitedConn
	// watched is the connection below raw.
	watched *tcp.WatchedConn
	reader  *bufio.Reader
	writer  *bufio.Writer // used by the response that is being written
	ctx     context.Context
	cancel  context.CancelFunc

	refusing bool // there is no room for the connection, so that its requests are refused; does not change once it is served
	usage    usage
	parallel bool // the requests are HTTP/2 streams

	mu        sync.Mutex
	pending   int       // requests that have begun to arrive and are not yet answered
	inHead    bool      // a head has begun to arrive and is incomplete
	http2     bool      // net/http serves the connection
	streams   bool      // the HTTP/2 connection has streams
	streaming bool      // it has streams that were not reset
	reserved  int64     // bytes for its streams
	closing   bool      // no further requests are read
	yielded   bool      // the connection gives way for another one
	answered  time.Time // end of the last response
	handlers  sync.WaitGroup
	slots     chan struct{}
}

func newConn(s *Server, raw net.Conn) *conn {
	watched := tcp.NewWatchedConn(raw)
	c := &conn{server: s, raw: &limitedConn{Conn: watched, remaining: math.MaxInt}, watched: watched, slots: make(chan struct{}, maxPipelined)}
	c.reader = bufio.NewReaderSize(c.raw, readBufferSize)
	c.writer = bufio.NewWriterSize(deadlineWriter{raw: raw, since: &c.usage.writing}, writeBufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// deadlineWriter sets a write deadline before each write, and records since when the write waits.
type deadlineWriter struct {
	raw   net.Conn
	since *atomic.Int64
}

func (w deadlineWriter) Write(p []byte) (int, error) {
	now := time.Now()
	if err := w.raw.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return 0, err
	}
	w.since.Store(now.UnixNano())
	defer w.since.Store(0)
	return w.raw.Write(p)
}

// serve reads requests until the connection ends, and waits for those that run. They are cancelled if the caller closes the
// connection.
func (c *conn) serve() {
	defer func() {
		c.handlers.Wait()
		c.linger()
		c.cancel()
		_ = c.raw.Close()
		c.release(memory.KindHead, int64(c.reader.Size()-readBufferSize))
	}()
	turn := make(chan struct{})
	close(turn)
	for c.mayRead() {
		r, kept, err := c.readRequest(turn)
		if err != nil {
			c.handleReadError(err, turn)
			return
		}
		if c.serveHTTP2(r, kept) {
			return
		}
		next := make(chan struct{})
		w := newResponse(c, r, turn, next)
		w.kept, w.noMemory = hold{request: kept}, kept == 0
		c.takeSlot()
		body, err := c.prepareBody(r, w)
		if err != nil {
			c.releaseHold(w.kept)
			c.endRequest()
			c.handleReadError(bodyError(err), turn)
			return
		}
		c.handlers.Go(func() { c.handle(w, r) })
		turn = next
		if body != nil && !body.wait(c.ctx) {
			return
		}
		if r.Close {
			c.awaitDisconnect()
			break
		}
	}
	<-turn // the last response must be written before the connection closes
}

// watch cancels the requests of the connection if the caller disconnects before stop is called, unless more than limit bytes are unread
// by then. It is for times in which nothing is read from the connection.
func (c *conn) watch(limit int) (stop func()) { return c.watched.Watch(limit, c.cancel) }

// takeSlot waits until one of maxPipelined requests may run.
func (c *conn) takeSlot() {
	select {
	case c.slots <- struct{}{}:
		return
	default:
	}
	defer c.watch(readBufferSize)()
	c.slots <- struct{}{}
}

// mayRead reports whether another request may be read. If no request is pending, it sets the idle timeout.
func (c *conn) mayRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	if c.pending == 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.idleWait()))
	}
	return true
}

// readRequest reads the head of a request and takes the memory for it, zero if there is none. A pipelined request may have to wait for
// those before it.
func (c *conn) readRequest(turn <-chan struct{}) (*http.Request, int64, error) {
	c.shrinkReader()
	if _, err := c.reader.Peek(1); err != nil {
		return nil, 0, err
	}
	if err := c.beginRequest(); err != nil {
		return nil, 0, err
	}
	r, kept, err := c.parseHead(turn)
	if err == nil {
		err = c.raw.SetReadDeadline(time.Time{})
	}
	if err != nil {
		c.release(memory.KindRequest, kept)
		c.endRequest()
		return nil, 0, err
	}
	return r, kept, nil
}

// parseHead awaits a whole head, takes the memory for its request and parses it.
func (c *conn) parseHead(turn <-chan struct{}) (*http.Request, int64, error) {
	scan, err := c.awaitHead()
	c.endHead()
	if err != nil {
		return nil, 0, err
	}
	kept := scan.cost()
	if c.claimInTurn(memory.KindRequest, kept, 0, turn) != memory.Grant {
		kept = 0
	}
	r, err := http.ReadRequest(c.reader)
	if err == nil {
		err = checkHead(r)
	}
	return r, kept, err
}

// ClosingError reports a request that is not read, because the connection ends after those before it.
type ClosingError struct{}

func (ClosingError) Error() string { return "caller: the connection is closing" }

// beginRequest counts a request as pending from its first byte on, so that a graceful shutdown waits for it. It returns a ClosingError
// for one that begins once the connection is closing, since the time left may not suffice for it.
func (c *conn) beginRequest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return ClosingError{}
	}
	c.pending++
	c.inHead = true
	c.recordState()
	return c.raw.SetReadDeadline(time.Now().Add(c.server.headWait()))
}

// endHead records that no further part of a head is awaited.
func (c *conn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
	c.recordState()
}

// state returns what the connection is doing; c.mu must be held.
func (c *conn) state() connState {
	switch {
	case c.http2 && c.streams:
		return stateBusy
	case c.pending == 0:
		return stateIdle
	case c.pending == 1 && c.inHead:
		return stateHead
	default:
		return stateBusy
	}
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// recordState tells the server's table what the connection is doing; c.mu must be held.
func (c *conn) recordState() { c.server.conns.setState(c.server.now(), c, c.state()) }

// yield closes the connection for another one, unless a request has arrived meanwhile.
func (c *conn) yield() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state() == stateBusy {
		return
	}
	c.closing, c.yielded = true, true
	_ = c.raw.SetReadDeadline(time.Now()) // wakes the reading goroutine
}

// endRequest removes a request from the pending ones, and sets the idle timeout if it was the last of them.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.answered = time.Now()
	c.recordState()
	if c.pending > 0 {
		return
	}
	wait := c.server.idleWait()
	if c.closing {
		wait = 0 // wakes the reading goroutine
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(wait))
}

// checkHead refuses request heads that http.ReadRequest accepts and http.Server refuses.
func checkHead(r *http.Request) error {
	bad := func(reason string) error { return HeadError{Status: http.StatusBadRequest, Reason: reason} }
	switch {
	case r.ProtoMajor != 1 && r.Method != "PRI":
		return HeadError{Status: http.StatusHTTPVersionNotSupported, Reason: "unsupported protocol version"}
	case r.ProtoAtLeast(1, 1) && r.Host == "" && r.Method != "PRI":
		return bad("no host")
	case !httpguts.ValidHostHeader(r.Host):
		return bad("malformed host")
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return bad("malformed header name")
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return bad("malformed header value")
			}
		}
	}
	return nil
}

// bodyError returns the error for a body that could not be read; a timeout becomes a HeadError with status 408.
func bodyError(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return HeadError{Status: http.StatusRequestTimeout, Reason: "the body took too long"}
	}
	return err
}

// handleReadError handles a request that could not be read. If the caller has disconnected, it cancels the running requests; if the
// request was malformed or too large, it writes an error response after the responses before it.
func (c *conn) handleReadError(err error, turn <-chan struct{}) {
	var headErr HeadError
	var netErr net.Error
	switch {
	case errors.As(err, &headErr):
		if headErr.Shed != "" {
			c.server.events.OnShed(headErr.Shed, c.client())
		}
	case errors.As(err, &ClosingError{}):
		return
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		c.cancel() // the caller has disconnected, so nobody waits for the responses
		return
	case errors.As(err, &netErr):
		if !netErr.Timeout() {
			c.cancel()
		}
		return
	default:
		headErr = HeadError{Status: http.StatusBadRequest, Reason: "malformed"}
	}
	select {
	case <-turn:
		_, _ = fmt.Fprintf(c.writer, "HTTP/1.1 %d %s\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
			headErr.Status, http.StatusText(headErr.Status), answer.HeaderExecution, answer.NotExecuted)
		_ = c.writer.Flush()
	case <-c.ctx.Done():
	}
}

// handle serves one request. If the handler panics, the connection is closed, so that the caller does not take a truncated
// response for a complete one. A panic with http.ErrAbortHandler does this on purpose and is not logged.
func (c *conn) handle(w *response, r *http.Request) {
	defer func() {
		v := recover()
		if v != nil {
			w.abort()
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				c.server.errorLog.Printf("caller: panic while serving: %v\n%s", v, debug.Stack())
			}
		} else {
			w.finish()
		}
		<-c.slots
		c.releaseHold(w.kept)
		c.endRequest()
		<-w.turn // also if the response was broken before its turn, since the one before it may still be written
		close(w.done)
	}()
	if c.refusing {
		c.server.refuseForRoom(w, r.WithContext(c.ctx))
		return
	}
	if w.noMemory {
		c.server.events.OnShed(ShedMemory, c.client())
		c.server.refuseForMemory(w, r.WithContext(c.ctx))
		return
	}
	c.server.serve(w, r.WithContext(c.ctx))
}

// close closes the connection once no request is pending, or at once if force is set.
func (c *conn) close(force bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if force {
		c.cancel()
		_ = c.raw.Close()
		return
	}
	// An HTTP/2 connection is closed by the shutdown of its own server, once its streams have ended.
	if c.pending == 0 && !c.http2 {
		_ = c.raw.SetReadDeadline(time.Now())
	}
}
