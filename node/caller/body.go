package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// bodyWait is how long a caller may pause within the body of a request.
const bodyWait = 10 * time.Second

// takeBody reads a short body at once, so that the next request can be read. A longer one stays on the connection, which
// is then read by whoever serves the request; the returned body tells when that is over.
func (c *conn) takeBody(r *http.Request, w *response) (*connBody, error) {
	expects := r.Header.Get("Expect") != ""
	if r.Body == http.NoBody || (r.ContentLength == 0 && len(r.TransferEncoding) == 0) {
		return nil, nil
	}
	if !expects && r.ContentLength <= replaySize {
		if err := c.raw.SetReadDeadline(time.Now().Add(bodyWait)); err != nil {
			return nil, err
		}
		held, err := io.ReadAll(io.LimitReader(r.Body, replaySize+1))
		if err != nil {
			return nil, err
		}
		if len(held) <= replaySize {
			r.Body = &heldBody{Reader: bytes.NewReader(held), data: held}
			return nil, nil
		}
		r.Body = &rest{Reader: io.MultiReader(bytes.NewReader(held), r.Body), Closer: r.Body}
	}
	b := &connBody{conn: c, source: r.Body, expects: expects, w: w, ended: make(chan struct{})}
	r.Body = b
	w.body = b
	return b, nil
}

// heldBody is a body that was read whole.
type heldBody struct {
	*bytes.Reader
	data []byte
}

// Close does nothing.
func (b *heldBody) Close() error { return nil }

// rest is a body of which a part was read ahead.
type rest struct {
	io.Reader
	io.Closer
}

// connBody is a body that is read from the connection while the request runs.
type connBody struct {
	conn    *conn
	source  io.ReadCloser
	expects bool // the caller waits for 100 Continue
	w       *response
	ended   chan struct{}

	mu     sync.Mutex
	closed bool
	done   bool // the body was read to its end
}

// ClosedError reports the reading of a body whose request has ended.
type ClosedError struct{}

func (ClosedError) Error() string { return "caller: body read after the request" }

// Read asks the caller to go on if it waits for that, and reads.
func (b *connBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, ClosedError{}
	}
	if b.expects {
		b.expects = false
		if err := b.w.proceed(); err != nil {
			return 0, err
		}
	}
	if err := b.conn.raw.SetReadDeadline(time.Now().Add(bodyWait)); err != nil {
		return 0, err
	}
	n, err := b.source.Read(p)
	b.done = b.done || err == io.EOF
	return n, err
}

// unread tells whether a part of the body has not been read.
func (b *connBody) unread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.done
}

// Close leaves the rest of the body to release.
func (b *connBody) Close() error { return nil }

// release ends the reading of the body by the request and reads the rest, so that the next request can be read. It
// reports false if the connection is of no further use.
func (b *connBody) release() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.closed = true
		defer close(b.ended)
	}
	if b.done {
		return true
	}
	if b.expects {
		return false // the caller may send the body or not, so the next bytes have no certain meaning
	}
	_ = b.conn.raw.SetReadDeadline(time.Now().Add(bodyWait))
	n, err := io.Copy(io.Discard, io.LimitReader(b.source, drainSize))
	b.done = err == nil && n < drainSize
	return b.done
}

// wait returns when the request has released the body; false if the connection is of no further use.
func (b *connBody) wait(ctx context.Context) bool {
	select {
	case <-b.ended:
	case <-ctx.Done():
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done
}
