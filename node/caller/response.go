package caller

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/tcp"
)

// response is an http.ResponseWriter that writes to the connection once all responses before it are written.
type response struct {
	conn *conn
	r    *http.Request
	body *connBody // nil if the request's body is not read from the connection
	kept hold      // until the response has ended
	// noMemory is whether the request is refused, since there is no memory for it.
	noMemory bool
	turn     <-chan struct{} // closed when the response before this one is written
	done     chan struct{}   // closed when this response is written

	header     http.Header
	status     int // zero until the head of the final response is written
	chunked    bool
	omitBody   bool  // no body is written, since the status or the HEAD method allows none
	remaining  int64 // bytes of the body still to be written, negative without Content-Length
	closeAfter bool  // the connection closes after this response
	err        error
}

// BrokenError reports a response that cannot be written, because the connection has ended.
type BrokenError struct{}

func (BrokenError) Error() string { return "caller: connection broke before the response" }

// ContentLengthError reports a body whose length differs from its Content-Length.
type ContentLengthError struct{}

func (ContentLengthError) Error() string { return "caller: body differs from its announced length" }

func newResponse(c *conn, r *http.Request, turn <-chan struct{}, done chan struct{}) *response {
	return &response{conn: c, r: r, turn: turn, done: done, header: http.Header{}}
}

// Header returns the headers of the response.
func (w *response) Header() http.Header { return w.header }

// awaitTurn waits until the responses before this one are written.
func (w *response) awaitTurn() error {
	if w.err != nil {
		return w.err
	}
	select {
	case <-w.turn:
		return nil
	default:
	}
	select {
	case <-w.turn:
	case <-w.conn.ctx.Done():
		w.err = BrokenError{}
	}
	return w.err
}

// writeContinue writes 100 Continue, unless the response has begun.
func (w *response) writeContinue() error {
	if err := w.awaitTurn(); err != nil {
		return err
	}
	if w.status != 0 {
		return nil
	}
	if _, err := io.WriteString(w.conn.writer, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return w.conn.writer.Flush()
}

// StatusError reports a status that cannot be written, zero if the handler of a request wrote none.
type StatusError struct{ Status int }

func (e StatusError) Error() string {
	return fmt.Sprintf("caller: no response with status %d", e.Status)
}

// WriteHeader writes the head of the response, or an informational response. A status that no response may have breaks the response,
// so that no other status takes its place.
func (w *response) WriteHeader(status int) {
	if w.status != 0 || w.awaitTurn() != nil {
		return
	}
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols || status > answer.MaxStatus {
		w.err = StatusError{Status: status}
		return
	}
	if status < http.StatusOK {
		if w.r.ProtoAtLeast(1, 1) {
			w.writeHead(status)
			w.setError(w.conn.writer.Flush())
		}
		return
	}
	w.status = status
	w.frame()
	w.writeHead(status)
}

// frame decides how the body is delimited and whether the connection closes after it, and sets the headers for that.
func (w *response) frame() {
	h := w.header
	w.remaining = -1
	noBody := statusCode(w.status).noBody()
	w.omitBody = noBody || w.r.Method == http.MethodHead
	if length := h.Get("Content-Length"); length != "" && !noBody {
		if n, err := strconv.ParseInt(length, 10, 64); err == nil && n >= 0 {
			w.remaining = n
		} else {
			h.Del("Content-Length")
		}
	}
	if noBody {
		h.Del("Content-Length")
	}
	w.closeAfter = w.closeAfter || w.r.Close || (w.wantsClose() && w.conn.closeIfLast())
	h.Del("Connection")
	switch {
	case w.omitBody || w.remaining >= 0:
	case w.r.ProtoAtLeast(1, 1):
		w.chunked = true
		h.Set("Transfer-Encoding", "chunked")
	default:
		w.closeAfter = true // HTTP/1.0 marks the end of a body without a length by the end of the connection
	}
	if w.body != nil && w.body.unread() {
		// The rest of the request's body may arrive long after the response, so the connection closes instead of waiting for it.
		w.closeAfter = true
	}
	switch {
	case w.closeAfter:
		h.Set("Connection", "close")
	case !w.r.ProtoAtLeast(1, 1):
		h.Set("Connection", "keep-alive")
	}
}

// wantsClose reports whether the connection should close after this response unless further requests are pending.
func (w *response) wantsClose() bool {
	return strings.EqualFold(w.header.Get("Connection"), "close") || w.conn.server.leaving.Load() || w.conn.isClosing()
}

// statusCode is the status of a response.
type statusCode int

func (s statusCode) noBody() bool { return s == http.StatusNoContent || s == http.StatusNotModified }

// closeIfLast stops the reading of requests if no further one is pending, and reports whether it did: the connection may then
// close after the current response without losing another one.
func (c *conn) closeIfLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 1 {
		return false
	}
	c.closing = true
	return true
}

func (w *response) writeHead(status int) {
	_, err := fmt.Fprintf(w.conn.writer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if err == nil {
		err = w.header.WriteSubset(w.conn.writer, omittedHeaders(w.header))
	}
	if err == nil {
		_, err = io.WriteString(w.conn.writer, "\r\n")
	}
	w.setError(err)
}

// omittedHeaders returns the names of headers that are trailers or have a nil value, which suppresses them as in net/http.
func omittedHeaders(h http.Header) map[string]bool {
	var names map[string]bool
	for name, values := range h {
		if values == nil || strings.HasPrefix(name, http.TrailerPrefix) {
			if names == nil {
				names = map[string]bool{}
			}
			names[name] = true
		}
	}
	return names
}

func (w *response) setError(err error) {
	if err != nil && w.err == nil {
		w.err = err
		w.conn.cancel()
	}
}

// requireStatus breaks a response without a status. net/http would send 200, a success that no target has sent.
func (w *response) requireStatus() {
	if w.status == 0 && w.err == nil {
		w.err = StatusError{}
	}
}

// Write writes a part of the body.
func (w *response) Write(p []byte) (int, error) {
	w.requireStatus()
	switch {
	case w.err != nil:
		return 0, w.err
	case w.omitBody:
		return len(p), nil
	case len(p) == 0:
		return 0, nil
	case w.remaining >= 0 && int64(len(p)) > w.remaining:
		return 0, ContentLengthError{}
	}
	if w.remaining >= 0 {
		w.remaining -= int64(len(p))
	}
	if w.chunked {
		_, err := fmt.Fprintf(w.conn.writer, "%x\r\n", len(p))
		w.setError(err)
	}
	n, err := w.conn.writer.Write(p)
	if err == nil && w.chunked {
		_, err = io.WriteString(w.conn.writer, "\r\n")
	}
	w.setError(err)
	return n, err
}

// FlushError sends what was written so far; http.ResponseController calls it.
func (w *response) FlushError() error {
	w.requireStatus()
	if w.err == nil {
		w.setError(w.conn.writer.Flush())
	}
	return w.err
}

// finish completes the response. If its body is shorter than its Content-Length, the connection is closed.
func (w *response) finish() {
	w.requireStatus()
	if w.err == nil && !w.omitBody && w.remaining > 0 {
		w.err = ContentLengthError{}
	}
	if w.err == nil && w.chunked {
		w.setError(w.writeTrailers())
	}
	if w.err == nil {
		w.setError(w.conn.writer.Flush())
	}
	reusable := w.body == nil || w.body.release()
	if w.err != nil {
		w.abort()
		return
	}
	if w.closeAfter || !reusable {
		w.conn.stopReading()
	}
}

// writeTrailers writes the last chunk and the trailers of a chunked body.
func (w *response) writeTrailers() error {
	out := http.Header{}
	for _, line := range w.header["Trailer"] {
		for name := range strings.SplitSeq(line, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if values, ok := w.header[name]; ok {
				out[name] = values
			}
		}
	}
	for name, values := range w.header {
		if trailer, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			out[http.CanonicalHeaderKey(trailer)] = values
		}
	}
	_, err := io.WriteString(w.conn.writer, "0\r\n")
	if err == nil {
		err = out.Write(w.conn.writer)
	}
	if err == nil {
		_, err = io.WriteString(w.conn.writer, "\r\n")
	}
	return err
}

// endsWithConn reports whether only the end of the connection marks the end of the body, so that an ordinary end looks like a whole
// response.
func (w *response) endsWithConn() bool {
	return w.status != 0 && !w.chunked && !w.omitBody && w.remaining < 0
}

// abort closes the connection before the response is complete.
func (w *response) abort() {
	// The buffered part is sent, so that the caller sees how much of the response there was.
	if w.status != 0 && w.err == nil {
		_ = w.conn.writer.Flush()
	}
	if w.err == nil {
		w.err = BrokenError{}
	}
	if w.body != nil {
		_ = w.body.release()
	}
	if w.endsWithConn() {
		_ = tcp.Reset(w.conn.raw.Conn)
	}
	w.conn.close(true)
}

// stopReading stops the reading of requests; the connection closes after the responses to those already read.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	_ = c.raw.SetReadDeadline(time.Now())
}
