package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/instance"
)

// respond starts a server that sends the same bytes to each request and then closes the connection.
func respond(t *testing.T, response string) *url.URL {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err = http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, response)
			}
			_ = c.Close()
		}
	}()
	return &url.URL{Scheme: "http", Host: l.Addr().String()}
}

// TestReadersOfResponses guards against a node that acts on a response with an impossible status or a malformed head, whoever sent it: a
// probe would find the target healthy, and a list would be read again and again without its etag.
func TestReadersOfResponses(t *testing.T) {
	t.Parallel()
	_, targetNode := twoNodes(t, http.NotFound)
	const list = `[{"name":"a1","state":"live"}]`
	responses := map[string]struct {
		head   string
		usable bool
	}{
		"whole":               {head: "200 OK\r\nEtag: one\r\n", usable: true},
		"status 000":          {head: "000 OK\r\nEtag: one\r\n"},
		"blank behind a name": {head: "200 OK\r\nEtag : one\r\n"},
		"folded line":         {head: "200 OK\r\nX-Run: 1\r\n Etag: one\r\n"},
	}
	readers := map[string]func(ctx context.Context, u *url.URL) error{
		"probe": func(ctx context.Context, u *url.URL) error {
			targetNode.transport.SetBase(u)
			_, err := targetNode.probe(ctx)
			return err
		},
		"instance list": func(ctx context.Context, u *url.URL) error {
			client := newServiceClient()
			defer client.CloseIdleConnections()
			_, _, err := instance.ListReader{URL: u.String(), Client: client}.Read(ctx, "", 0)
			return err
		},
		"configuration service": func(ctx context.Context, u *url.URL) error {
			client := newServiceClient()
			defer client.CloseIdleConnections()
			_, err := config.ServiceReader{URL: u.String(), Client: client}.Part(ctx, config.Digest{})
			return err
		},
	}
	for reader, read := range readers {
		for name, tc := range responses {
			t.Run(reader+" "+name, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				err := read(ctx, respond(t, "HTTP/1.1 "+tc.head+"\r\n"+list))
				require.Equal(t, tc.usable, err == nil, "error of the reader: %v", err)
			})
		}
	}
}
