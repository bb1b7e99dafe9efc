package caller

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/memory"
	"verbenapin.dev/node/target"
)

// http2Preface is the start of an HTTP/2 connection without TLS.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// http2Server serves the HTTP/2 connections of callers with net/http.
type http2Server struct {
	http    *http.Server
	streams int // that a connection may open
	conns   chan net.Conn
	closed  chan struct{}
}

func newHTTP2Server(h http.Handler, errorLog *log.Logger) *http2Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http2Server{
		conns: make(chan net.Conn), closed: make(chan struct{}),
		http: &http.Server{
			Handler: h, Protocols: protocols, ErrorLog: errorLog,
			ReadHeaderTimeout: headTimeout,
			ConnState:         recordStreams, ConnContext: withConn,
		},
	}
}

const (
	// minStreams and maxStreams bound the streams of a connection; callers learn the number, and wait or open another connection. 100 is
	// the least that RFC 9113 recommends where memory is not short.
	minStreams, maxStreams = 16, 100
	// streamShare is the part of a connection's share, in bytes, for which it gets another stream.
	streamShare = 48 << 10
	// streamBytes is what net/http takes for a stream before its request is admitted: a goroutine, buffers and the parsed head.
	streamBytes = 12 << 10
	// minListBytes is enough for a head of 16 KB with maxHeaderLines lines, since the size of a header list counts 32 bytes for each
	// line. maxListBytes leaves a margin above maxHeadBytes, so that such a head gets a refusal of this node.
	minListBytes, maxListBytes = 24 << 10, 84 << 10
	// minReceiveBytes is the smallest window that net/http accepts for a connection, maxReceiveBytes its default.
	minReceiveBytes, maxReceiveBytes = 64 << 10, 1 << 20
	// maxResets is how many streams of a connection may be cancelled beyond as many as were answered. Callers cancel a few at a timeout;
	// those that cancel most of them make targets begin work for nothing.
	maxResets = 100
)

// setMemory derives the limits of HTTP/2 connections from the share of a connection.
func (s *http2Server) setMemory(b memory.Budget) {
	share := int(b.PerConn())
	s.streams = min(max(share/streamShare, minStreams), maxStreams)
	s.http.MaxHeaderBytes = min(max(share/minStreams, minListBytes), maxListBytes)
	window := min(max(share, minReceiveBytes), maxReceiveBytes)
	s.http.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams:          s.streams,
		MaxReceiveBufferPerConnection: window,
		MaxReceiveBufferPerStream:     window,
		WriteByteTimeout:              writeTimeout,
	}
}

// claimStreams takes the memory for the streams of a connection when the first of them begins; without it, the connection is closed.
// net/http calls it before it starts the stream.
func (c *conn) claimStreams(state http.ConnState) {
	c.mu.Lock()
	c.streaming = state == http.StateActive
	if c.streaming && c.reserved == 0 {
		if bytes := int64(c.server.http2.streams * streamBytes); c.claim(memory.KindStreams, bytes, 0) == memory.Grant {
			c.reserved = bytes
		}
	}
	refused := c.streaming && c.reserved == 0
	if state == http.StateClosed {
		c.releaseStreams()
	}
	c.mu.Unlock()
	if refused {
		c.shed(ShedMemory)
	}
}

// releaseIdleStreams returns the memory for streams if none is open and no request of one runs. It is called at intervals: requests of
// streams that were reset may run, or wait to be run, after the last stream has ended.
func (c *conn) releaseIdleStreams() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.streaming && c.usage.streams.Load() == 0 {
		c.releaseStreams()
	}
}

// releaseStreams returns the memory for streams; c.mu must be held.
func (c *conn) releaseStreams() {
	c.release(memory.KindStreams, c.reserved)
	c.reserved = 0
}

// headOnly writes no body, so that a refusal does not wait for the caller's flow-control window.
type headOnly struct{ http.ResponseWriter }

func (w headOnly) Write(p []byte) (int, error) { return len(p), nil }

// serveStream serves a request of an HTTP/2 connection if there is memory for it.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		panic(http.ErrAbortHandler) // all connections are handed over by serveHTTP2
	}
	c.beginStream(s.now())
	defer func() { c.endStream(s.now(), r.Context().Err() != nil) }()
	lines := headerLines(r.Header)
	if lines > maxHeaderLines {
		s.events.OnShed(ShedHeaderLines, c.client())
		s.refuse(headOnly{w}, s.newRequest(w, r), answer.NewNotExecuted(answer.CodeLarge, "the request head has too many lines"))
		r.Header = nil // the stream may stay open for longer
		return
	}
	kept, ok := c.claimStream(r, lines)
	defer c.releaseHold(kept)
	if !ok {
		s.events.OnShed(ShedMemory, c.client())
		s.refuseForMemory(headOnly{w}, r)
		r.Header = nil
		return
	}
	s.serve(w, r)
}

func headerLines(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// claimStream takes the memory for a request and its body, if that is kept for another attempt; false means that there is none.
func (c *conn) claimStream(r *http.Request, lines int) (hold, bool) {
	others, cost := c.usage.requests.Load(), requestCost(headSize(r), lines)
	if c.claim(memory.KindRequest, cost, others) != memory.Grant {
		return hold{}, false
	}
	kept := hold{request: cost}
	if target.HasNoBody(r) || r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return kept, true
	}
	if c.claim(memory.KindBody, r.ContentLength, others) != memory.Grant {
		return kept, false
	}
	kept.body = r.ContentLength
	return kept, true
}

// beginStream counts an open stream.
func (c *conn) beginStream(now time.Time) {
	if c.usage.streams.Add(1) == 1 {
		c.usage.progress.Store(now.UnixNano())
	}
}

// endStream counts the end of a stream, and closes the connection if its caller resets most of them.
func (c *conn) endStream(now time.Time, reset bool) {
	c.usage.streams.Add(-1)
	if !reset {
		c.usage.ended.Add(1)
		c.usage.progress.Store(now.UnixNano())
		return
	}
	if c.usage.resets.Add(1) > maxResets+c.usage.ended.Load() {
		c.shed(ShedResets)
	}
}

// recordStreams tells an HTTP/2 connection whether it has streams.
func recordStreams(c net.Conn, state http.ConnState) {
	replayed, ok := c.(*replayedConn)
	if !ok {
		return
	}
	if state != http.StateClosed {
		replayed.owner.setStreams(state != http.StateIdle)
	}
	replayed.awaitNext(state)
	replayed.owner.claimStreams(state)
}

// start serves in the background; the returned function stops accepting connections and waits until Serve has returned.
func (s *http2Server) start() func() {
	served := make(chan struct{})
	go func() {
		defer close(served)
		// The listener ends only when it is closed, so there is no other error to report.
		_ = s.http.Serve(http2Listener{s})
	}()
	return func() {
		close(s.closed)
		<-served
	}
}

// handOver passes a connection to net/http, or returns false if no more are accepted.
func (s *http2Server) handOver(c net.Conn) bool {
	select {
	case s.conns <- c:
		return true
	case <-s.closed:
		return false
	}
}

// http2Listener is the net.Listener from which net/http accepts the connections that were handed over.
type http2Listener struct{ *http2Server }

// Accept returns the next connection.
func (l http2Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close does nothing; Server closes the listener that accepted the connections.
func (l http2Listener) Close() error { return nil }

// Addr returns an empty address, since another listener accepted the connections.
func (l http2Listener) Addr() net.Addr { return &net.TCPAddr{} }

// serveHTTP2 hands an HTTP/2 connection to net/http and waits for its end. It reports whether r begins such a connection.
func (c *conn) serveHTTP2(r *http.Request, kept int64) bool {
	if r.Method != "PRI" || r.RequestURI != "*" || r.ProtoMajor != 2 {
		return false
	}
	c.release(memory.KindRequest, kept)
	if c.refusing {
		c.endRequest()
		return true
	}
	c.parallel = true
	c.beginHTTP2()
	_ = c.raw.SetReadDeadline(time.Time{})
	// http.ReadRequest has consumed the preface up to the empty line, and net/http expects it.
	consumed := http2Preface[:len("PRI * HTTP/2.0\r\n\r\n")]
	replayed := &replayedConn{
		Conn: c.raw.Conn, owner: c, reader: io.MultiReader(strings.NewReader(consumed), c.reader), closed: make(chan struct{}),
	}
	if c.server.http2.handOver(replayed) {
		<-replayed.closed
	}
	return true
}

// beginHTTP2 ends the request that began the HTTP/2 connection.
func (c *conn) beginHTTP2() {
	c.mu.Lock()
	c.http2, c.streams = true, true
	c.mu.Unlock()
	c.endRequest()
}

// setStreams records whether the HTTP/2 connection has streams.
func (c *conn) setStreams(streams bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams = streams
	c.recordState()
}

// replayedConn is a connection whose first bytes were already read; its reader returns them again.
type replayedConn struct {
	net.Conn
	owner   *conn
	reader  io.Reader
	leaving bool // GOAWAY was sent, because the connection was idle; used by the reading goroutine
	once    sync.Once
	closed  chan struct{}
}

// goAway is a GOAWAY frame without an error, which says that no streams will be accepted after those on their way.
var goAway = []byte("\x00\x00\x08\x07\x00\x00\x00\x00\x00" + "\x7f\xff\xff\xff" + "\x00\x00\x00\x00")

// goAwayWait bounds the time in which streams that were on their way may arrive; it is net/http's.
const goAwayWait = time.Second

// awaitNext bounds how long the connection may wait for a stream. The idle timer of net/http is not used: it is started again when a
// connection ends with open streams, and keeps all that the connection has allocated until it fires.
func (c *replayedConn) awaitNext(state http.ConnState) {
	switch state {
	case http.StateIdle:
		_ = c.SetReadDeadline(time.Now().Add(c.owner.server.idleWait()))
	case http.StateActive:
		_ = c.SetReadDeadline(time.Time{})
	}
}

// Read reads from the connection. After the idle timeout it announces the end of the connection and waits for streams that were on
// their way. No stream can begin meanwhile, since net/http handles each frame before it reads the next one.
func (c *replayedConn) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	var netErr net.Error
	if n > 0 || c.leaving || !errors.As(err, &netErr) || !netErr.Timeout() {
		return n, err
	}
	c.leaving = true
	// Nothing else is written to an idle connection but short frames, each at once.
	if _, err := c.Write(goAway); err != nil {
		return 0, err
	}
	_ = c.SetReadDeadline(time.Now().Add(goAwayWait))
	return c.reader.Read(p)
}

// Close closes the connection and wakes the goroutine that handed it over.
func (c *replayedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
