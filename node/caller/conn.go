package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxAhead bounds the requests of one connection that run at once; further ones stay unread.
	maxAhead = 16
	// readBuffer holds the head of an ordinary request.
	readBuffer = 4 << 10
	// writeBuffer holds the head and a short body of a response, so that these leave in one packet.
	writeBuffer = 4 << 10
	// writeTimeout bounds each write to a caller, so that one that stopped reading holds a connection for no longer.
	writeTimeout = 30 * time.Second
	// drainSize is what is read of a body that no attempt wanted, to keep the connection.
	drainSize = 256 << 10
	// preface begins a connection of HTTP/2 without TLS.
	preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
)

// HeadError reports a request head that is refused before it becomes a request.
type HeadError struct {
	Status int
	Reason string
}

func (e HeadError) Error() string { return "caller: request head: " + e.Reason }

// limitedConn bounds the bytes that are read of a connection.
type limitedConn struct {
	net.Conn
	left int
}

func (c *limitedConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, HeadError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "too large"}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// conn is a connection of a caller. Its own goroutine reads requests one after the other, and each of them runs on
// another goroutine, so that requests sent ahead do not wait for the responses before them. Responses are written in
// the order of the requests.
type conn struct {
	server *Server
	raw    *limitedConn
	reader *bufio.Reader
	writer *bufio.Writer // used by the response whose turn it is
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	open    int  // requests that are read and not yet answered
	closing bool // no further request is read
	running sync.WaitGroup
	slots   chan struct{}
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: &limitedConn{Conn: raw}, slots: make(chan struct{}, maxAhead)}
	c.reader = bufio.NewReaderSize(c.raw, readBuffer)
	c.writer = bufio.NewWriterSize(deadlineWriter{raw}, writeBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// deadlineWriter gives each write a time limit of its own.
type deadlineWriter struct{ raw net.Conn }

func (w deadlineWriter) Write(p []byte) (int, error) {
	if err := w.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return w.raw.Write(p)
}

// serve reads requests until the connection ends, and waits for those that run. A caller that closed the connection
// cancels them.
func (c *conn) serve() {
	defer func() {
		c.running.Wait()
		c.cancel()
		_ = c.raw.Close()
	}()
	turn := make(chan struct{})
	close(turn)
	for c.mayRead() {
		r, err := c.next()
		if err != nil {
			c.failed(err, turn)
			return
		}
		if c.upgrade(r) {
			return
		}
		next := make(chan struct{})
		w := newResponse(c, r, turn, next)
		c.slots <- struct{}{}
		body, err := c.takeBody(r, w)
		if err != nil {
			c.end()
			c.failed(bodyError(err), turn)
			return
		}
		c.running.Go(func() { c.run(w, r) })
		turn = next
		if body != nil && !body.wait(c.ctx) {
			return
		}
		if r.Close {
			c.awaitEnd()
			break
		}
	}
	<-turn // the connection closes after the last response
}

// awaitEnd notices a caller that goes away before the response to its last request; what it sends behind that request is
// not read.
func (c *conn) awaitEnd() {
	c.raw.left = 1
	_, err := c.reader.Peek(1)
	var network net.Error
	if err != nil && (!errors.As(err, &network) || !network.Timeout()) {
		c.cancel()
	}
}

// mayRead begins the wait for another request, or returns false if the connection is to be closed.
func (c *conn) mayRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	if c.open == 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.idle()))
	}
	return true
}

// next reads the head of a request.
func (c *conn) next() (*http.Request, error) {
	c.raw.left = readHeadBytes + readBuffer
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	if err := c.begin(); err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(c.reader)
	c.raw.left = int(^uint(0) >> 1)
	if err == nil {
		err = checkHead(r)
	}
	if err != nil {
		c.end()
		return nil, err
	}
	if err := c.raw.SetReadDeadline(time.Time{}); err != nil {
		c.end()
		return nil, err
	}
	return r, nil
}

// begin counts a request from its first byte on, so that a graceful end waits for it.
func (c *conn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
	return c.raw.SetReadDeadline(time.Now().Add(c.server.headWait()))
}

// end counts a request as answered.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if c.open > 0 {
		return
	}
	wait := c.server.idle()
	if c.closing {
		wait = 0 // wakes the reading goroutine
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(wait))
}

// checkHead refuses what http.ReadRequest lets pass and http.Server refuses.
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

// bodyError returns why a body that ended early ends the connection.
func bodyError(err error) error {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return HeadError{Status: http.StatusRequestTimeout, Reason: "the body took too long"}
	}
	return err
}

// failed ends the connection after a request that could not be read, and tells the caller why if there is a reason.
func (c *conn) failed(err error, turn <-chan struct{}) {
	var head HeadError
	var network net.Error
	switch {
	case errors.As(err, &head):
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		c.cancel() // the caller has gone, and with it whoever waits for the responses
		return
	case errors.As(err, &network):
		if !network.Timeout() {
			c.cancel()
		}
		return
	default:
		head = HeadError{Status: http.StatusBadRequest, Reason: "malformed"}
	}
	select {
	case <-turn:
		_, _ = fmt.Fprintf(c.writer, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", head.Status, http.StatusText(head.Status))
		_ = c.writer.Flush()
	case <-c.ctx.Done():
	}
}

// upgrade hands a connection of HTTP/2 to the library's server and tells whether it did.
func (c *conn) upgrade(r *http.Request) bool {
	if r.Method != "PRI" || r.RequestURI != "*" || r.ProtoMajor != 2 {
		return false
	}
	c.end()
	_ = c.raw.SetReadDeadline(time.Time{})
	// http.ReadRequest has read the preface up to the empty line.
	head := preface[:len("PRI * HTTP/2.0\r\n\r\n")]
	whole := &replayedConn{
		Conn: c.raw.Conn, reader: io.MultiReader(strings.NewReader(head), c.reader), closed: make(chan struct{}),
	}
	if c.server.second.hand(whole) {
		<-whole.closed
	}
	return true
}

// replayedConn is a connection of which some bytes were already read.
type replayedConn struct {
	net.Conn
	reader io.Reader
	once   sync.Once
	closed chan struct{}
}

func (c *replayedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Close closes the connection and tells the goroutine that handed it over.
func (c *replayedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// run serves one request. A handler that panics with http.ErrAbortHandler breaks the connection off, so that the caller
// does not take a part of a response for the whole.
func (c *conn) run(w *response, r *http.Request) {
	defer func() {
		v := recover()
		if v != nil {
			w.abort()
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				c.server.faults.Printf("caller: panic while serving: %v\n%s", v, debug.Stack())
			}
		} else {
			w.finish()
		}
		<-c.slots
		c.end()
		close(w.done)
	}()
	c.server.serve(w, r.WithContext(c.ctx))
}

// close ends the connection as soon as no request is open, or at once.
func (c *conn) close(now bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if now {
		c.cancel()
		_ = c.raw.Close()
		return
	}
	if c.open == 0 {
		_ = c.raw.SetReadDeadline(time.Now())
	}
}
