package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
)

// TestRoom guards against a new caller that gets no answer because others hold connections, and against closing a connection that
// is in use or too new for its first request.
func TestRoom(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		room Room
		want RoomAction
	}{
		"any number":                    {room: Room{Open: 1_000_000}, want: RoomServe},
		"room":                          {room: Room{Open: 59, Max: 80, IdleFor: time.Hour}, want: RoomServe},
		"an idle one":                   {room: Room{Open: 60, Max: 80, IdleFor: minWait, PartialHead: time.Hour}, want: RoomCloseIdle},
		"an incomplete head":            {room: Room{Open: 60, Max: 80, IdleFor: minWait - ms, PartialHead: minWait}, want: RoomCloseHead},
		"all are new or busy":           {room: Room{Open: 60, Max: 80, IdleFor: minWait - ms, PartialHead: minWait - ms}, want: RoomRefuse},
		"no room for refusals":          {room: Room{Open: 70, Max: 80}, want: RoomClose},
		"no room for refusals, an idle": {room: Room{Open: 70, Max: 80, IdleFor: time.Second}, want: RoomCloseIdle},
		"some are giving way":           {room: Room{Open: 70, Closing: 9, Max: 80, IdleFor: time.Second}, want: RoomCloseIdle},
		"many are giving way":           {room: Room{Open: 70, Closing: 10, Max: 80, IdleFor: time.Second}, want: RoomClose},
		"a single connection":           {room: Room{Open: 1, Max: 1}, want: RoomClose},
		"a single connection, idle":     {room: Room{Open: 1, Max: 1, IdleFor: time.Second}, want: RoomCloseIdle},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, tc.room.Decide()) })
	}
}

// TestHeldConnections guards against callers that hold connections and keep all others from being answered.
func TestHeldConnections(t *testing.T) {
	cases := map[string]struct {
		send string
		kept bool // reads a response first
	}{
		"idle":                    {},
		"with an unfinished head": {send: "GET / HTTP/1.1\r\nHost: a"},
		"kept after a response":   {send: get("/"), kept: true},
		"with HTTP/2":             {send: http2Preface + emptySettings, kept: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, config.CallerLimits{IdleTimeout: time.Minute, HeadTimeout: time.Minute},
				func(*http.Request) (*http.Response, error) { return text("done") })
			s.SetMaxConns(16)
			for range 60 {
				c := s.dial()
				_, _ = io.WriteString(c, tc.send)
				if tc.kept {
					_, _ = bufio.NewReader(c).ReadByte()
				}
			}
			require.Eventually(t, func() bool { return s.answers() }, 5*time.Second, 100*time.Millisecond)
			for range 20 {
				require.True(t, s.answers())
			}
			require.LessOrEqual(t, len(s.conns.all()), 16)
		})
	}
}

// emptySettings is the frame that follows the preface of an HTTP/2 connection.
const emptySettings = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"

// answers reports whether a new caller gets a response with status 200.
func (s *testServer) answers() bool {
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c, get("/"))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// TestBusyConnections guards against a request that is cut off to make room for another caller, and against a caller that hears
// nothing while all connections are in use.
func TestBusyConnections(t *testing.T) {
	started, finish := make(chan struct{}, 16), make(chan struct{})
	s := newTestServer(t, config.CallerLimits{}, func(*http.Request) (*http.Response, error) {
		started <- struct{}{}
		<-finish
		return text("done")
	})
	s.SetMaxConns(8)
	var busy []*bufio.Reader
	for range 6 {
		c := s.dial()
		_, _ = io.WriteString(c, get("/"))
		busy = append(busy, bufio.NewReader(c))
		<-started
	}
	refused := s.dial()
	_, _ = io.WriteString(refused, get("/"))
	res, err := http.ReadResponse(bufio.NewReader(refused), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.Equal(t, string(answer.NotExecuted), res.Header.Get(answer.HeaderExecution))
	require.NotEmpty(t, res.Header.Get("Retry-After"))
	require.True(t, res.Close)
	close(finish)
	for _, br := range busy {
		require.Equal(t, "200 done", readResponse(t, br))
	}
	require.Eventually(t, s.answers, 5*time.Second, 10*time.Millisecond)
}
