package daemon

import (
	"context"
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
