package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRequestURL guards against a target that runs a request with another path or query than its caller sent, because the URL was
// decoded and encoded anew.
func TestRequestURL(t *testing.T) {
	cases := map[string]string{
		"plain":             "/entry/7",
		"query":             "/entry/7?a=1&b",
		"empty query":       "/entry/7?",
		"encoded":           "/entry/2f%7Cgold%3Bv=1/a%2Bb",
		"encoded needless":  "/entry/%41",
		"unencoded":         "/entry/2f|gold%3Bv=1/a%2Bb",
		"brackets":          "/entry/[1]{2}^\\",
		"beyond ASCII":      "/entry/caff\xc3\xa8/%41",
		"hash":              "/entry/7#part?a=#1",
		"query beyond path": "/entry/7?next=/a//b?c|d",
	}
	for name, uri := range cases {
		t.Run(name, func(t *testing.T) {
			received := make(chan string, 1)
			base, _ := serveOnce(t, func(r *http.Request, c net.Conn) {
				received <- r.RequestURI
				_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
			})
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + uri + " HTTP/1.1\r\nHost: service\r\n\r\n")))
			require.NoError(t, err)
			transport := NewTransport(base, 1)
			defer transport.Close()
			res, err := transport.RoundTrip(r.WithContext(t.Context()))
			require.NoError(t, err)
			require.NoError(t, res.Body.Close())
			require.Equal(t, uri, <-received)
		})
	}
}
