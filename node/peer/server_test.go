package peer

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

// dialServer serves s on loopback until the test ends and returns a connection to it.
func dialServer(t *testing.T, s *Server) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		_ = s.Serve(l)
		close(ended)
	}()
	t.Cleanup(func() {
		s.Close()
		<-ended
	})
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	return c
}

// TestCrowdedServer guards against idle connections of other nodes that stay open although there is hardly room for more, and
// against closing them while a request may be on its way.
func TestCrowdedServer(t *testing.T) {
	cases := map[string]struct {
		crowded bool
		err     error
	}{
		"room":               {},
		"crowded":            {crowded: true},
		"crowded, a refusal": {crowded: true, err: answer.NewNotExecuted(answer.CodeBusy, "full")},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewServer(time.Now, nil, func(target.Call) (target.Reply, error) {
				return target.Reply{Response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("done"))}}, tc.err
			}, func() target.Load { return target.Load{} }, nil)
			s.Crowded = func() bool { return tc.crowded }
			server := httptest.NewServer(s.http.Handler)
			defer server.Close()
			r, err := http.NewRequest(http.MethodGet, server.URL, nil)
			require.NoError(t, err)
			encodeCall(r.Header, target.Call{Request: r, Route: "r", Deadline: time.Now().Add(time.Minute)}, time.Now())
			res, err := server.Client().Do(r)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, res.Body)
			require.NoError(t, err)
			_ = res.Body.Close()
			require.Equal(t, tc.crowded, res.Close)
		})
	}
}
