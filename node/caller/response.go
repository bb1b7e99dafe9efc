package caller

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// response writes one response when all responses before it on the connection are written.
type response struct {
	conn *conn
	r    *http.Request
	body *connBody       // nil if the body does not lie on the connection
	turn <-chan struct{} // closed when the response before is written
	done chan struct{}   // to be closed when this one is written

	header  http.Header
	status  int // zero until the head is written
	chunked bool
	bare    bool  // the response has no body
	left    int64 // bytes that the announced length still promises, negative if no length was announced
	last    bool  // the connection closes after this response
	broken  error
}

// BrokenError reports a response that can no longer be written.
type BrokenError struct{}

func (BrokenError) Error() string { return "caller: connection broke before the response" }

// LengthError reports a body that differs from the announced length.
type LengthError struct{}

func (LengthError) Error() string { return "caller: body differs from its announced length" }

func newResponse(c *conn, r *http.Request, turn <-chan struct{}, done chan struct{}) *response {
	return &response{conn: c, r: r, turn: turn, done: done, header: http.Header{}}
}

// Header returns the headers of the response.
func (w *response) Header() http.Header { return w.header }

// await waits until the responses before are written.
func (w *response) await() error {
	if w.broken != nil {
		return w.broken
	}
	select {
	case <-w.turn:
		return nil
	default:
	}
	select {
	case <-w.turn:
	case <-w.conn.ctx.Done():
		w.broken = BrokenError{}
	}
	return w.broken
}

// proceed asks the caller for the body of its request.
func (w *response) proceed() error {
	if err := w.await(); err != nil {
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

// WriteHeader writes the head of the response, or of an informational one.
func (w *response) WriteHeader(status int) {
	if w.status != 0 || w.await() != nil {
		return
	}
	if status >= 100 && status < 200 {
		if w.r.ProtoAtLeast(1, 1) {
			w.head(status)
			w.fail(w.conn.writer.Flush())
		}
		return
	}
	w.status = status
	w.frame()
	w.head(status)
}

// frame decides how the end of the body is marked.
func (w *response) frame() {
	h := w.header
	w.left = -1
	noBody := status(w.status).noBody()
	w.bare = noBody || w.r.Method == http.MethodHead
	if length := h.Get("Content-Length"); length != "" && !noBody {
		if n, err := strconv.ParseInt(length, 10, 64); err == nil && n >= 0 {
			w.left = n
		} else {
			h.Del("Content-Length")
		}
	}
	if noBody {
		h.Del("Content-Length")
	}
	w.last = w.last || w.r.Close || (strings.EqualFold(h.Get("Connection"), "close") && w.conn.endsHere())
	h.Del("Connection")
	switch {
	case w.bare || w.left >= 0:
	case w.r.ProtoAtLeast(1, 1):
		w.chunked = true
		h.Set("Transfer-Encoding", "chunked")
	default:
		w.last = true // the end of the connection is the end of the body
	}
	if w.body != nil && w.body.unread() {
		// The rest of the request's body may take longer than its response, so the connection ends with it.
		w.last = true
	}
	switch {
	case w.last:
		h.Set("Connection", "close")
	case !w.r.ProtoAtLeast(1, 1):
		h.Set("Connection", "keep-alive")
	}
}

// status tells what its number implies.
type status int

func (s status) noBody() bool { return s == http.StatusNoContent || s == http.StatusNotModified }

// endsHere tells whether the connection may close after the response whose turn it is: no later request was read, whose
// response would be lost, and from now on none will be.
func (c *conn) endsHere() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open > 1 {
		return false
	}
	c.closing = true
	return true
}

func (w *response) head(status int) {
	_, err := fmt.Fprintf(w.conn.writer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if err == nil {
		err = w.header.WriteSubset(w.conn.writer, omitted(w.header))
	}
	if err == nil {
		_, err = io.WriteString(w.conn.writer, "\r\n")
	}
	w.fail(err)
}

// omitted returns the names that stand for trailers or were switched off.
func omitted(h http.Header) map[string]bool {
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

func (w *response) fail(err error) {
	if err != nil && w.broken == nil {
		w.broken = err
		w.conn.cancel()
	}
}

// Write writes a part of the body.
func (w *response) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	switch {
	case w.broken != nil:
		return 0, w.broken
	case w.bare:
		return len(p), nil
	case len(p) == 0:
		return 0, nil
	case w.left >= 0 && int64(len(p)) > w.left:
		return 0, LengthError{}
	}
	if w.left >= 0 {
		w.left -= int64(len(p))
	}
	if w.chunked {
		_, err := fmt.Fprintf(w.conn.writer, "%x\r\n", len(p))
		w.fail(err)
	}
	n, err := w.conn.writer.Write(p)
	if err == nil && w.chunked {
		_, err = io.WriteString(w.conn.writer, "\r\n")
	}
	w.fail(err)
	return n, err
}

// FlushError sends what was written so far.
func (w *response) FlushError() error {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.broken == nil {
		w.fail(w.conn.writer.Flush())
	}
	return w.broken
}

// finish ends the response. One that is shorter than announced breaks the connection off.
func (w *response) finish() {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.broken == nil && !w.bare && w.left > 0 {
		w.broken = LengthError{}
	}
	if w.broken == nil && w.chunked {
		w.fail(w.trailers())
	}
	if w.broken == nil {
		w.fail(w.conn.writer.Flush())
	}
	reusable := w.body == nil || w.body.release()
	if w.broken != nil {
		w.abort()
		return
	}
	if w.last || !reusable {
		w.conn.stop()
	}
}

// trailers writes the end of a chunked body.
func (w *response) trailers() error {
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
		if rest, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			out[http.CanonicalHeaderKey(rest)] = values
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

// abort breaks the connection off.
func (w *response) abort() {
	// What was written is sent, so that the caller sees how far the response came before it broke off.
	if w.status != 0 && w.broken == nil {
		_ = w.conn.writer.Flush()
	}
	if w.broken == nil {
		w.broken = BrokenError{}
	}
	if w.body != nil {
		_ = w.body.release()
	}
	w.conn.close(true)
}

// stop ends the reading of requests; the connection closes after the responses to those that were read.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	_ = c.raw.SetReadDeadline(time.Now())
}
