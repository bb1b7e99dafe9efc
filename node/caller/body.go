package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"verbenapin.dev/node/memory"
)

// bodyReadTimeout bounds each read of a long request body, and the reading of a short one as a whole.
const bodyReadTimeout = 10 * time.Second

// prepareBody reads a short body into memory, so that the next request can be read. A longer one, or one whose caller waits for
// 100 Continue, stays on the connection and is read while the request is served. It is then returned, so that the
// goroutine that reads requests can wait until it is released.
func (c *conn) prepareBody(r *http.Request, w *response) (*connBody, error) {
	expects := r.Header.Get("Expect") != ""
	if r.Body == http.NoBody || (r.ContentLength == 0 && len(r.TransferEncoding) == 0) {
		return nil, nil
	}
	if !expects && r.ContentLength <= maxBufferedBody && c.claimBody(r, w) {
		data, err := c.readShortBody(r)
		if err != nil {
			return nil, err
		}
		if len(data) <= maxBufferedBody {
			r.Body = &bufferedBody{Reader: bytes.NewReader(data), data: data}
			return nil, nil
		}
		r.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(data), r.Body), Closer: r.Body}
	}
	b := &connBody{conn: c, source: r.Body, expectsContinue: expects, w: w, released: make(chan struct{})}
	r.Body = b
	w.body = b
	b.stopWatch = c.watch(c.claimAhead(r, w))
	return b, nil
}

// claimAhead takes memory for reading ahead in a body that stays on the connection, and returns how many bytes may be read ahead.
func (c *conn) claimAhead(r *http.Request, w *response) int {
	size := int64(maxBufferedBody)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	if w.kept.body == 0 && c.decide(memory.Claim{Kind: memory.KindBody, Bytes: size, Conn: c.usage.requests.Load() - w.kept.request, Optional: true}) == memory.Grant {
		w.kept.body = size
	}
	return int(w.kept.body)
}

// claimBody takes the memory for a short body. Without it, the request is refused and its body stays on the connection.
func (c *conn) claimBody(r *http.Request, w *response) bool {
	if w.noMemory {
		return false
	}
	size := r.ContentLength
	if size < 0 {
		size = maxBufferedBody
	}
	if c.claimInTurn(memory.KindBody, size, w.kept.request, w.turn) != memory.Grant {
		w.noMemory = true
		return false
	}
	w.kept.body = size
	return true
}

// readShortBody reads at most one byte more than a short body has.
func (c *conn) readShortBody(r *http.Request) ([]byte, error) {
	now := time.Now()
	if err := c.raw.SetReadDeadline(now.Add(bodyReadTimeout)); err != nil {
		return nil, err
	}
	c.usage.reading.Store(now.UnixNano())
	defer c.usage.reading.Store(0)
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody+1))
	if err != nil {
		return nil, err
	}
	return data, checkTrailers(r)
}

// bufferedBody is a body that was read completely.
type bufferedBody struct {
	*bytes.Reader
	data []byte
}

// Close does nothing, since the body is in memory.
func (b *bufferedBody) Close() error { return nil }

// prefixedBody is a body whose first part was already read into memory.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// connBody is a body that is read from the connection while the request runs.
type connBody struct {
	conn            *conn
	source          io.ReadCloser
	expectsContinue bool // the caller waits for 100 Continue
	w               *response
	released        chan struct{}
	stopWatch       func() // ends the watch for the end of the connection

	mu     sync.Mutex
	closed bool // the request has ended
	atEOF  bool
}

// ClosedError reports a read of a body whose request has ended.
type ClosedError struct{}

func (ClosedError) Error() string { return "caller: body read after the request" }

// Read reads from the body. The first read sends 100 Continue if the caller waits for it.
func (b *connBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, ClosedError{}
	}
	if b.expectsContinue {
		b.expectsContinue = false
		if err := b.w.writeContinue(); err != nil {
			return 0, err
		}
	}
	now := time.Now()
	if err := b.conn.raw.SetReadDeadline(now.Add(bodyReadTimeout)); err != nil {
		return 0, err
	}
	b.conn.usage.reading.Store(now.UnixNano())
	defer b.conn.usage.reading.Store(0)
	n, err := b.source.Read(p)
	b.atEOF = b.atEOF || err == io.EOF
	if b.atEOF {
		if err := checkTrailers(b.w.r); err != nil {
			return n, err
		}
	}
	return n, err
}

// unread reports whether a part of the body has not been read.
func (b *connBody) unread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.atEOF
}

// Close does nothing; release reads the rest of the body.
func (b *connBody) Close() error { return nil }

// release makes further reads by the request fail and discards the rest of the body, so that the next request can be read. It
// reports whether the connection can be used for another request.
func (b *connBody) release() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.closed = true
		defer close(b.released)
	}
	if b.atEOF {
		return true
	}
	if b.expectsContinue {
		return false // the next bytes may be the body or another request
	}
	_ = b.conn.raw.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(b.source, maxDrainBytes))
	b.atEOF = err == nil && n < maxDrainBytes
	return b.atEOF
}

// wait returns when the request has released the body; it reports whether the connection can be used for another request.
func (b *connBody) wait(ctx context.Context) bool {
	defer b.stopWatch()
	select {
	case <-b.released:
	case <-ctx.Done():
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.atEOF
}
