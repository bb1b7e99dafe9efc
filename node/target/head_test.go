package target

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHeadResponse guards against a HEAD request that is refused or waits because its response announces the length of a body that it
// does not have.
func TestHeadResponse(t *testing.T) {
	cases := map[string]int{"empty": 0, "short": 10, "read whole": chunkSize, "long": chunkSize + 1}
	for name, length := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(length))
			}))
			defer server.Close()
			base, err := url.Parse(server.URL)
			require.NoError(t, err)
			transport := NewTransport(base, 1)
			defer transport.Close()
			outcomes := make(chan Outcome, 1)
			for range 2 { // the connection is used again
				req, err := http.NewRequestWithContext(t.Context(), http.MethodHead, "http://service/", http.NoBody)
				require.NoError(t, err)
				res, err := newTestForwarder(transport).forward(
					Call{Request: req, Route: "r", Deadline: time.Now().Add(5 * time.Second)}, func(o Outcome) { outcomes <- o })
				require.NoError(t, err)
				require.Equal(t, strconv.Itoa(length), res.Header.Get("Content-Length"))
				require.Equal(t, OutcomeSuccess, (<-outcomes).Kind, "the slot is free")
				body, err := io.ReadAll(res.Body)
				require.NoError(t, err)
				require.Empty(t, body)
				require.NoError(t, res.Body.Close())
			}
		})
	}
}
