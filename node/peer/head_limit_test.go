package peer

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

// TestHeadLimit guards against request heads with very many lines on a plain listener for other nodes, and against counting the lines of
// a body or of an earlier request.
func TestHeadLimit(t *testing.T) {
	lines := func(n int) string { return "Host: a\r\n" + strings.Repeat("X-A: 1\r\n", n-1) + "\r\n" }
	body := strings.Repeat("\n", 1000)
	ordinary := "POST / HTTP/1.1\r\nContent-Length: 1000\r\n" + lines(250) + body
	cases := map[string]struct {
		send []string
		want []string // status of this node's refusal and whether it says that the request has not run
	}{
		"ordinary requests": {send: []string{ordinary, ordinary, ordinary}, want: []string{"400 no", "400 no", "400 no"}}, // they hold no attempt
		"too many lines":    {send: []string{"GET / HTTP/1.1\r\n" + lines(2000)}, want: []string{"closed"}},
		"later":             {send: []string{ordinary, "GET / HTTP/1.1\r\n" + lines(2000)}, want: []string{"400 no", "closed"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewServer(time.Now, nil, nil, func() target.Load { return target.Load{} }, log.New(io.Discard, "", 0))
			c := dialServer(t, s)
			defer c.Close()
			br := bufio.NewReader(c)
			for i, request := range tc.send {
				_, err := io.WriteString(c, request)
				require.NoError(t, err)
				got := "closed"
				// net/http answers 400 and closes, which may reset the connection before the response is read.
				if res, err := http.ReadResponse(br, nil); err == nil && res.Header.Get(answer.HeaderExecution) != "" {
					_, _ = io.Copy(io.Discard, res.Body)
					got = fmt.Sprint(res.StatusCode, " ", res.Header.Get(answer.HeaderExecution))
				}
				require.Equal(t, tc.want[i], got)
			}
		})
	}
}
