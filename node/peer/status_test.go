package peer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

// TestUnusableResponse guards against a response of another node whose status no final response may have or whose head is malformed:
// neither the client nor the server between nodes may take it for a response of the target.
func TestUnusableResponse(t *testing.T) {
	cases := map[string]string{
		"switching protocols": "101 x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
		"zero":                "000 x\r\nContent-Length: 0\r\n\r\n",
		"600":                 "600 x\r\nContent-Length: 0\r\n\r\n",
		"blank in a name":     "200 OK\r\nX Run: 1\r\nContent-Length: 0\r\n\r\n",
		"blank behind a name": "200 OK\r\nContent-Length : 0\r\n\r\n",
		"folded line":         "200 OK\r\nX-Run: 1\r\n Content-Length: 0\r\n\r\n",
	}
	for name, response := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				br := bufio.NewReader(c)
				if _, err = http.ReadRequest(br); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 "+response)
					_, _ = io.Copy(io.Discard, br) // until the client closes the connection
				}
			}()
			client := NewClient(time.Now, nil, func(name string) (string, bool) { return name, true })
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://service/", http.NoBody)
			require.NoError(t, err)
			_, err = client.Do(l.Addr().String(), target.Call{Request: req, Route: "r", Deadline: time.Now().Add(5 * time.Second)})
			var refused answer.Refusal
			require.ErrorAs(t, err, &refused)
			require.Equal(t, answer.CodeLost, refused.Code)
			require.Equal(t, answer.MaybeExecuted, refused.Execution)
			client.Close()
			<-closed
		})
	}
}
