package caller

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/config"
)

// TestUnexpectedStatus guards against a success that no target has sent: the writer of a response takes a status that it does not
// expect for an informational one or for none, and completes the response with 200.
func TestUnexpectedStatus(t *testing.T) {
	protocols := map[string]bool{"HTTP/1.1": false, "HTTP/2": true}
	for name, http2 := range protocols {
		for _, status := range []int{0, 1, 99, 100, 101, 103, 199, 600, 999} {
			for _, body := range []string{"", "body"} {
				t.Run(name+" "+strconv.Itoa(status)+" "+body, func(t *testing.T) {
					s := newTestServer(t, config.CallerLimits{}, func(*http.Request) (*http.Response, error) {
						return &http.Response{
							StatusCode: status, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
							Header: http.Header{"X-Signature": {"s"}},
						}, nil
					})
					p := new(http.Protocols)
					p.SetUnencryptedHTTP2(http2)
					p.SetHTTP1(!http2)
					transport := &http.Transport{Protocols: p}
					defer transport.CloseIdleConnections()
					r, err := http.NewRequest(http.MethodGet, "http://"+s.addr+"/x", http.NoBody)
					require.NoError(t, err)
					r.Host = "app.example"
					res, err := transport.RoundTrip(r)
					if err == nil {
						_ = res.Body.Close()
					}
					require.Error(t, err, "the connection or stream ends without a response, but got %+v", res)
				})
			}
		}
	}
}

// TestNoStatus guards against a handler that writes no status: the response must not become a success.
func TestNoStatus(t *testing.T) {
	handlers := map[string]func(w *response){
		"nothing":  func(*response) {},
		"body":     func(w *response) { _, _ = w.Write([]byte("body")) },
		"flush":    func(w *response) { _ = w.FlushError() },
		"unusable": func(w *response) { w.WriteHeader(http.StatusSwitchingProtocols) },
	}
	for name, handle := range handlers {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, config.CallerLimits{}, nil)
			client, served := net.Pipe()
			c := newConn(s.Server, served)
			turn := make(chan struct{})
			close(turn)
			w := newResponse(c, &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}, turn, make(chan struct{}))
			go func() {
				handle(w)
				w.finish()
				_ = served.Close()
			}()
			got, err := io.ReadAll(client)
			require.NoError(t, err)
			require.Empty(t, string(got))
		})
	}
}
