package target

import (
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
)

// TestEndlessInformational guards against a target that sends informational responses without end: net/http does not bound them while
// they are passed on, so that they would flood the caller and both nodes until the deadline.
func TestEndlessInformational(t *testing.T) {
	cases := map[string]struct {
		response string
		passed   int // most that may reach the caller
	}{
		"early hints": {response: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", passed: answer.MaxInformational},
		"continue":    {response: "HTTP/1.1 100 Continue\r\n\r\n"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			base, closed := endlessTarget(t, "", tc.response)
			transport := NewTransport(base, 1)
			defer transport.Close()
			w := statusRecorder{header: http.Header{}}
			trace, _ := answer.DefaultDialect().Informational(&w)
			req, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodGet, "http://service/", http.NoBody)
			require.NoError(t, err)
			_, err = newTestForwarder(transport).Do(Call{Request: req, Route: "r", Deadline: time.Now().Add(2 * time.Second)})
			var refused answer.Refusal
			require.ErrorAs(t, err, &refused)
			require.Equal(t, answer.CodeLost, refused.Code, "not late")
			require.Equal(t, answer.MaybeExecuted, refused.Execution)
			require.LessOrEqual(t, len(w.statuses), tc.passed)
			<-closed
		})
	}
}
