package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

// brokenNode speaks HTTP/2 and ends each request with the given frames instead of a response.
func brokenNode(t *testing.T, heads *atomic.Int64, end func(f *http2.Framer, stream uint32) error) string {
	t.Helper()
	donor := httptest.NewTLSServer(http.NotFoundHandler())
	cfg := &tls.Config{Certificates: donor.TLS.Certificates, NextProtos: []string{"h2"}}
	donor.Close()
	l, err := tls.Listen("tcp", "127.0.0.1:0", cfg)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveBroken(c, heads, end)
		}
	}()
	return l.Addr().String()
}

func serveBroken(c net.Conn, heads *atomic.Int64, end func(f *http2.Framer, stream uint32) error) {
	defer func() { _ = c.Close() }()
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	f := http2.NewFramer(c, c)
	_ = f.WriteSettings()
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			return
		}
		switch frame := frame.(type) {
		case *http2.SettingsFrame:
			if !frame.IsAck() {
				_ = f.WriteSettingsAck()
			}
		case *http2.HeadersFrame:
			heads.Add(1)
			if end(f, frame.StreamID) != nil {
				return
			}
		}
	}
}

// TestNoResend guards against a request that the HTTP/2 transport repeats by itself after GOAWAY or REFUSED_STREAM,
// and against an attempt that may have run but is reported as not run.
func TestNoResend(t *testing.T) {
	refuse := func(f *http2.Framer, stream uint32) error {
		return f.WriteRSTStream(stream, http2.ErrCodeRefusedStream)
	}
	leave := func(f *http2.Framer, _ uint32) error {
		_ = f.WriteGoAway(0, http2.ErrCodeNo, nil)
		return io.EOF
	}
	drop := func(*http2.Framer, uint32) error { return io.EOF }
	cases := map[string]struct {
		method, body string
		end          func(f *http2.Framer, stream uint32) error
	}{
		"GET refused":    {method: http.MethodGet, end: refuse},
		"POST refused":   {method: http.MethodPost, body: "x", end: refuse},
		"GET going away": {method: http.MethodGet, end: leave},
		"GET dropped":    {method: http.MethodGet, end: drop},
		"POST dropped":   {method: http.MethodPost, body: "x", end: drop},
		"empty POST":     {method: http.MethodPost, end: refuse},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var heads atomic.Int64
			addr := brokenNode(t, &heads, tc.end)
			client := NewClient(time.Now, &tls.Config{InsecureSkipVerify: true}, func(string) (string, bool) { return addr, true })
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, tc.method, "http://ignored/", strings.NewReader(tc.body))
			require.NoError(t, err)
			_, err = client.Do("a1", target.Call{Request: r, Route: "history", Deadline: time.Now().Add(time.Second)})
			var refused answer.Refusal
			require.True(t, errors.As(err, &refused))
			require.Equal(t, answer.RunMaybe, refused.Run)
			require.EqualValues(t, 1, heads.Load())
		})
	}
}

// TestNoConnection guards against an attempt that never left the node and is reported as one that may have run.
func TestNoConnection(t *testing.T) {
	cases := map[string]struct {
		address string
		known   bool
	}{
		"unknown instance":   {},
		"connection refused": {address: "127.0.0.1:1", known: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			client := NewClient(time.Now, &tls.Config{}, func(string) (string, bool) { return tc.address, tc.known })
			defer client.Close()
			r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://ignored/", strings.NewReader("x"))
			require.NoError(t, err)
			_, err = client.Do("a1", target.Call{Request: r, Route: "history", Deadline: time.Now().Add(time.Second)})
			var refused answer.Refusal
			require.True(t, errors.As(err, &refused))
			require.Equal(t, answer.RunNo, refused.Run)
		})
	}
}
