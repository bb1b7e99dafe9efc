package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/config"
)

// TestCloseWithUnreadRequest guards against a response that its caller never gets whole, because the connection is closed after it
// while a further request is unread, so that the kernel resets it and drops what is not delivered yet.
func TestCloseWithUnreadRequest(t *testing.T) {
	body := strings.Repeat("x", 1<<20)
	started, release := make(chan struct{}), make(chan struct{})
	s := newTestServer(t, config.CallerLimits{}, func(*http.Request) (*http.Response, error) {
		close(started)
		<-release
		return text(body)
	})
	c := s.dial()
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(64<<10))
	_, err := io.WriteString(c, get("/1"))
	require.NoError(t, err)
	<-started
	s.Leave()
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	served := s.conns.all()
	require.Len(t, served, 1)
	require.Eventually(t, served[0].isClosing, 5*time.Second, time.Millisecond)
	// The first of these ends the reading of requests, and the second stays unread.
	for _, path := range []string{"/2", "/3"} {
		_, err = io.WriteString(c, get(path))
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	close(release)
	br := bufio.NewReader(c)
	res, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	require.True(t, res.Close)
	time.Sleep(100 * time.Millisecond) // for the server to write the rest and close
	got, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Len(t, got, len(body))
	_, err = br.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, c.Close())
	require.NoError(t, <-ended)
}
