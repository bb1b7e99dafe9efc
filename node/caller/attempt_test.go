package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/target"
)

// TestMayHedge guards against a request that runs twice although it must not, and against hedges that multiply through
// nested calls.
func TestMayHedge(t *testing.T) {
	for name, c := range map[string]struct {
		idempotent bool
		body       io.Reader
		length     int64
		state      string
		refused    int // attempts that are refused first
		want       bool
	}{
		"no body":               {idempotent: true, want: true},
		"short body":            {idempotent: true, body: strings.NewReader("abc"), length: 3, want: true},
		"body of any length":    {idempotent: true, body: strings.NewReader("abc"), length: -1},
		"not idempotent":        {},
		"a caller is retrying":  {idempotent: true, state: "a=1,verbenapin=r"},
		"other trace state":     {idempotent: true, state: "a=1", want: true},
		"second attempt itself": {idempotent: true, refused: 1},
	} {
		t.Run(name, func(t *testing.T) {
			var again func() *http.Request
			calls := 0
			s := &Server{now: time.Now, tries: Tries{Try: func(call target.Call, _ config.Route, _ []string, repeat func() *http.Request) ([]string, target.Reply, error) {
				calls++
				if calls <= c.refused {
					return []string{"x"}, target.Reply{}, answer.NotRun(answer.Busy, "full")
				}
				again = repeat
				return []string{"y"}, target.Reply{Response: &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}}, nil
			}}}
			r := httptest.NewRequest(http.MethodPut, "/x", c.body)
			r.ContentLength = c.length
			if c.state != "" {
				r.Header.Set("Tracestate", c.state)
			}
			q := request{Request: r, begun: time.Now(), pass: free(), route: config.Route{Idempotent: c.idempotent, Deadline: time.Second}}
			_, err := s.attempt(&q)
			require.NoError(t, err)
			require.Equal(t, c.want, again != nil)
			if again != nil {
				out := again()
				require.True(t, IsRetried(out.Header.Get("Tracestate")), "targets below may retry a hedge")
				text, err := io.ReadAll(out.Body)
				require.NoError(t, err)
				require.EqualValues(t, c.length, len(text))
			}
		})
	}
}
