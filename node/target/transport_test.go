package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// newClosingTarget starts a target that answers the first request of a connection and closes the connection after reading
// the next one, as a target does that exits while it handles a request.
func newClosingTarget(t *testing.T, received *atomic.Int64) *url.URL {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerOnce(c, received)
		}
	}()
	return &url.URL{Scheme: "http", Host: l.Addr().String()}
}

func answerOnce(c net.Conn, received *atomic.Int64) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if received.Add(1); n == 1 {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func drain(res *http.Response, err error) error {
	if err == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	return err
}

// TestTransportNoResend guards against a request that runs twice because net/http sends it again by itself when a reused
// connection breaks.
func TestTransportNoResend(t *testing.T) {
	cases := map[string]struct {
		method, header, body string
	}{
		"GET":                          {method: http.MethodGet},
		"HEAD":                         {method: http.MethodHead},
		"OPTIONS":                      {method: http.MethodOptions},
		"POST":                         {method: http.MethodPost},
		"POST with body":               {method: http.MethodPost, body: "x"},
		"POST with key, without body":  {method: http.MethodPost, header: "Idempotency-Key"},
		"POST with key and body":       {method: http.MethodPost, header: "Idempotency-Key", body: "x"},
		"DELETE with experimental key": {method: http.MethodDelete, header: "X-Idempotency-Key"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var received atomic.Int64
			base := newClosingTarget(t, &received)
			tr := NewTransport(base, 1)
			defer tr.Close()
			send := func() error {
				r, err := http.NewRequestWithContext(context.Background(), tc.method, "http://ignored/", strings.NewReader(tc.body))
				require.NoError(t, err)
				if tc.header != "" {
					r.Header.Set(tc.header, "1")
				}
				return drain(tr.RoundTrip(r))
			}
			require.NoError(t, send())
			var failed SendError
			require.True(t, errors.As(send(), &failed))
			require.True(t, failed.Wrote)
			require.EqualValues(t, 2, received.Load())
		})
	}
}

// TestNetHTTPResends checks that net/http resends a plain request here; otherwise TestTransportNoResend would prove nothing.
func TestNetHTTPResends(t *testing.T) {
	var received atomic.Int64
	base := newClosingTarget(t, &received)
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	for range 2 {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, base.String(), nil)
		require.NoError(t, err)
		require.NoError(t, drain(tr.RoundTrip(r)))
	}
	require.EqualValues(t, 3, received.Load())
}

// TestConnectionRefused guards against a refused connection that is reported as if the request may have run.
func TestConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	base := &url.URL{Scheme: "http", Host: l.Addr().String()}
	require.NoError(t, l.Close())
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://ignored/", strings.NewReader("x"))
	require.NoError(t, err)
	_, err = NewTransport(base, 1).RoundTrip(r)
	var failed SendError
	require.True(t, errors.As(err, &failed))
	require.False(t, failed.Wrote)
	require.True(t, failed.Refused)
}
