package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writeFirstConn forces the order in which a failure of the connection is reported: once the given text has been read, the next read waits
// until a write has failed, and the failed write returns after that read.
type writeFirstConn struct {
	net.Conn
	until  string
	seen   strings.Builder
	failed chan struct{} // closed when a write has failed
	read   chan struct{} // closed when the read after it has returned
	once   sync.Once
}

func (c *writeFirstConn) Read(p []byte) (int, error) {
	if !strings.Contains(c.seen.String(), c.until) {
		n, err := c.Conn.Read(p)
		c.seen.Write(p[:n])
		return n, err
	}
	<-c.failed
	n, err := c.Conn.Read(p)
	c.once.Do(func() { close(c.read) })
	return n, err
}

func (c *writeFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		close(c.failed)
		<-c.read
	}
	return n, err
}

// endlessBody is a request body that goes on until its connection fails; it counts its bytes.
type endlessBody struct{ bytes atomic.Int64 }

func (b *endlessBody) Read(p []byte) (int, error) {
	b.bytes.Add(int64(len(p)))
	return len(p), nil
}

func (b *endlessBody) Close() error { return nil }

// awaitStall waits until the connection takes no more of the body.
func (b *endlessBody) awaitStall(t *testing.T) {
	last := int64(-1)
	require.Eventually(t, func() bool {
		before := last
		last = b.bytes.Load()
		return last == before
	}, 10*time.Second, 100*time.Millisecond)
}

// TestResetDuringUpload guards against a response without a length that is passed on as whole although its connection was reset: the
// kernel reports a reset once, and the read ends in the ordinary way if the write of the request's body was told first.
func TestResetDuringUpload(t *testing.T) {
	const part = "a part"
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }
	cases := map[string]struct {
		uploaded   bool                 // the request's body ends before the response
		writeFirst bool                 // the write is told before the read
		end        func(c *net.TCPConn) // ends the response, of which the node has read all that was sent
		whole      bool
	}{
		"reset, the write is told first": {writeFirst: true, end: reset},
		"reset after the upload":         {uploaded: true, end: reset},
		"ends, reset later":              {writeFirst: true, end: func(c *net.TCPConn) { _ = c.CloseWrite(); reset(c) }, whole: true},
		"ends and reads no more":         {end: func(c *net.TCPConn) { _ = c.CloseWrite() }, whole: true},
		"ends after the upload":          {uploaded: true, end: func(c *net.TCPConn) { _ = c.Close() }, whole: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			read, done := make(chan struct{}), make(chan struct{})
			defer close(done)
			base, _ := serveOnce(t, func(r *http.Request, c net.Conn) {
				if tc.uploaded {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+part)
				<-read
				tc.end(c.(*net.TCPConn))
				<-done
			})
			transport := NewTransport(base, 1)
			defer transport.Close()
			if dial := transport.Dial; tc.writeFirst {
				transport.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					c, err := dial(ctx, network, addr)
					return &writeFirstConn{Conn: c, until: part, failed: make(chan struct{}), read: make(chan struct{})}, err
				}
			}
			endless := new(endlessBody)
			var upload io.Reader = endless
			if tc.uploaded {
				upload = io.NopCloser(strings.NewReader("upload"))
			}
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://service/", upload)
			require.NoError(t, err)
			f, faults := newTestForwarder(transport), []Fault(nil)
			f.OnFault = func(_ Call, f Fault, _ error) { faults = append(faults, f) }
			reply, err := f.Do(Call{Request: r, Route: "r", Deadline: time.Now().Add(5 * time.Second)})
			require.NoError(t, err)
			_, err = io.ReadFull(reply.Response.Body, make([]byte, len(part)))
			require.NoError(t, err)
			if !tc.uploaded {
				endless.awaitStall(t)
			}
			close(read)
			_, err = io.ReadAll(reply.Response.Body)
			require.Equal(t, tc.whole, err == nil, "the end of the response: %v", err)
			if !tc.whole {
				require.Equal(t, []Fault{FaultReset}, faults)
			}
			require.NoError(t, reply.Response.Body.Close())
		})
	}
}
