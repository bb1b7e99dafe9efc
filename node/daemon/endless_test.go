package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endlessHandler responds on a path until the other side closes the connection; it counts the bytes, and closes ended when the first
// such response has ended.
func endlessHandler(path string, written *atomic.Int64, ended chan<- struct{}) http.HandlerFunc {
	var once sync.Once
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			return
		}
		block := []byte(strings.Repeat("x", 16<<10))
		for {
			n, err := w.Write(block)
			written.Add(int64(n))
			if err != nil {
				break
			}
		}
		once.Do(func() { close(ended) })
	}
}

// maxEndless is more than the buffers of all sockets and nodes on the way hold, in bytes.
const maxEndless = 64 << 20

// TestEndlessToSlowCaller guards against nodes that buffer a response without end while its caller does not read, and against a target
// that goes on sending after the caller has left.
func TestEndlessToSlowCaller(t *testing.T) {
	t.Parallel()
	protocols := map[string]bool{"HTTP/1.1": false, "HTTP/2": true}
	for name, http2 := range protocols {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			ended := make(chan struct{})
			entry, _ := twoNodes(t, endlessHandler("/read", &written, ended))
			p := new(http.Protocols)
			p.SetUnencryptedHTTP2(http2)
			p.SetHTTP1(!http2)
			transport := &http.Transport{Protocols: p, DialContext: (&net.Dialer{}).DialContext}
			defer transport.CloseIdleConnections()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			r := newRequest(t, http.MethodGet, entry.url("/read"), http.NoBody)
			r.URL.Scheme = "http"
			res, err := transport.RoundTrip(r.WithContext(ctx))
			require.NoError(t, err)
			last := int64(-1)
			require.Eventually(t, func() bool {
				n := written.Load()
				stopped := n == last
				last = n
				return stopped
			}, 10*time.Second, 200*time.Millisecond, "the target can write without end")
			require.Less(t, last, int64(maxEndless))
			cancel()
			_ = res.Body.Close()
			select {
			case <-ended:
			case <-time.After(10 * time.Second):
				require.Fail(t, "the target goes on after the caller has left")
			}
		})
	}
}

// TestEndlessToReader guards against a response without end that outlasts its deadline for as long as its caller reads: the caller must not
// take it for whole, and the target must see the connection end.
func TestEndlessToReader(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		http2 bool
		local bool // the target is beside the entry node
		pause time.Duration
	}{
		"HTTP/1.1, full speed":  {},
		"HTTP/1.1, in pieces":   {pause: 20 * time.Millisecond},
		"HTTP/1.1, same node":   {pause: 20 * time.Millisecond, local: true},
		"HTTP/2, full speed":    {http2: true},
		"HTTP/2, in pieces":     {http2: true, pause: 20 * time.Millisecond},
		"HTTP/2, the same node": {http2: true, pause: 20 * time.Millisecond, local: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			ended := make(chan struct{})
			endless := endlessHandler("/read", &written, ended)
			entry, targetNode := twoNodes(t, func(w http.ResponseWriter, r *http.Request) {
				endless(pausingWriter{w, tc.pause}, r)
			})
			if tc.local {
				entry = targetNode
			}
			p := new(http.Protocols)
			p.SetUnencryptedHTTP2(tc.http2)
			p.SetHTTP1(!tc.http2)
			transport := &http.Transport{Protocols: p, DialContext: (&net.Dialer{}).DialContext}
			defer transport.CloseIdleConnections()
			r := newRequest(t, http.MethodGet, entry.url("/read"), http.NoBody)
			r.URL.Scheme = "http"
			r.Header.Set("Verbenapin-Deadline", "300")
			res, err := transport.RoundTrip(r)
			require.NoError(t, err)
			broken := make(chan error, 1)
			go func() {
				_, err := io.Copy(io.Discard, res.Body)
				broken <- err
			}()
			for range 2 {
				select {
				case err := <-broken:
					require.Error(t, err, "the response looks whole")
					broken = nil
				case <-ended:
					ended = nil
				case <-time.After(10 * time.Second):
					require.Fail(t, "the response goes on")
				}
			}
			_ = res.Body.Close()
			require.Eventually(t, func() bool { return targetNode.admission.Load().Running == 0 }, 10*time.Second, time.Millisecond, "the slot is not free")
		})
	}
}

// pausingWriter pauses after each write, which it sends at once.
type pausingWriter struct {
	http.ResponseWriter
	pause time.Duration
}

func (w pausingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	if w.pause > 0 {
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		time.Sleep(w.pause)
	}
	return n, err
}

// TestEndlessProbe guards against a probe that reads bytes without end for as long as it may take.
func TestEndlessProbe(t *testing.T) {
	t.Parallel()
	var written atomic.Int64
	ended := make(chan struct{})
	server := httptest.NewServer(endlessHandler(defaultProbePath, &written, ended))
	defer server.Close()
	base, err := url.Parse(server.URL)
	require.NoError(t, err)
	_, targetNode := twoNodes(t, http.NotFound)
	targetNode.transport.SetBase(base)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = targetNode.probe(ctx)
	require.NoError(t, err, "the head of the response shows that the target answers")
	require.NoError(t, ctx.Err(), "the probe lasts as long as it may")
	<-ended
}
