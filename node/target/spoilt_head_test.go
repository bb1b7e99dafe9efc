package target

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
)

// TestSpoiltHead guards against a response with a malformed head that is passed on: a field whose name or line is spoilt is lost, and with
// it the length of the body, so that what comes until the end of the connection is taken for the body.
func TestSpoiltHead(t *testing.T) {
	const length, body = "Content-Length: 4\r\n", "\r\nbody"
	cases := map[string]struct {
		early    string // informational response before it
		response string // after the status line of a 200
		whole    bool
	}{
		"fields with odd names":         {response: "X-!#$%&'*+.^_`|~9: 1\r\nx: \r\n" + length + body, whole: true},
		"blanks around a value":         {response: "X-Run:\t 1 \t\r\nX-Note: a  b\r\n" + length + body, whole: true},
		"bare line feeds":               {response: "X-Run: 1\nContent-Length: 4\n\nbody", whole: true},
		"trailer":                       {response: "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n", whole: true},
		"blank in a name":               {response: "X Run: 1\r\n" + length + body},
		"blank in the length's name":    {response: "Content Length: 4\r\n" + body},
		"blank behind the length":       {response: "Content-Length : 4\r\n" + body},
		"blank behind the coding":       {response: "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		"tab behind a name":             {response: "X-Run\t: 1\r\n" + length + body},
		"control byte":                  {response: "X-\x01Run: 1\r\n" + length + body},
		"NUL":                           {response: "X-Run\x00: 1\r\n" + length + body},
		"delete":                        {response: "X-Run\x7f: 1\r\n" + length + body},
		"byte above 127":                {response: "X-R\xfcn: 1\r\n" + length + body},
		"carriage return":               {response: "X-Run\r: 1\r\n" + length + body},
		"no name":                       {response: ": 1\r\n" + length + body},
		"no colon":                      {response: "X-Run\r\n" + length + body},
		"first line begins blank":       {response: " X-Run: 1\r\n" + length + body},
		"length on a folded line":       {response: "X-Run: 1\r\n " + length + body},
		"length folded by a tab":        {response: "X-Run: 1\r\n\t" + length + body},
		"folded value":                  {response: "X-Run: 1,\r\n 2\r\n" + length + body},
		"line of blanks":                {response: "X-Run: 1\r\n  \r\n" + length + body},
		"blank in a trailer":            {response: "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Sum: 1\r\n\r\n"},
		"blank in an informational":     {early: "X Run: 1\r\n", response: "X-Run: 1\r\n" + length + body},
		"blank behind an informational": {early: "X-Run: 1\r\n", response: "X Run: 1\r\n" + length + body},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			base, closed := serveOnce(t, func(_ *http.Request, c net.Conn) {
				if tc.early != "" {
					_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n"+tc.early+"\r\n")
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+tc.response)
				_ = c.(*net.TCPConn).CloseWrite()
			})
			transport := NewTransport(base, 1)
			defer transport.Close()
			trace, _ := answer.DefaultDialect().Informational(&statusRecorder{header: http.Header{}})
			req, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodGet, "http://service/", nil)
			require.NoError(t, err)
			f, faults := newTestForwarder(transport), []Fault(nil)
			f.OnFault = func(_ Call, f Fault, _ error) { faults = append(faults, f) }
			reply, err := f.Do(Call{Request: req, Route: "r", Deadline: time.Now().Add(5 * time.Second)})
			if err != nil {
				var refused answer.Refusal
				require.ErrorAs(t, err, &refused)
				require.Equal(t, answer.CodeLost, refused.Code)
				require.Equal(t, answer.MaybeExecuted, refused.Execution)
			} else {
				var got []byte
				got, err = io.ReadAll(reply.Response.Body)
				require.Equal(t, "body", string(got))
				require.NoError(t, reply.Response.Body.Close())
			}
			require.Equal(t, tc.whole, err == nil, "error of the response: %v", err)
			if !tc.whole {
				require.Equal(t, []Fault{FaultHead}, faults)
			}
			transport.Close()
			<-closed
		})
	}
}
