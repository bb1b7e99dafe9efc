package answer

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRoundTrip guards against a refusal that changes between two nodes, and against a target that forges one.
func TestRoundTrip(t *testing.T) {
	cases := map[string]struct {
		refusal Refusal
		status  int
	}{
		"rate with a time": {refusal: NewNotExecuted(CodeRate, "beyond its rate").WithRetryAfter(120 * time.Millisecond), status: 429},
		"lost":             {refusal: NewMaybeExecuted(CodeLost, "connection broke"), status: 502},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			WriteRefusal(w, tc.refusal, "id")
			res := w.Result()
			require.Equal(t, tc.status, res.StatusCode)
			got, refused, err := ReadRefusal(res)
			require.NoError(t, err)
			require.True(t, refused)
			require.Equal(t, tc.refusal, got)
		})
	}
	forged := http.Header{"Verbenapin-Run": {"no"}, "verbenapin-run": {"no"}, "Content-Type": {"text/plain"}}
	StripInternal(forged)
	require.Equal(t, http.Header{"Content-Type": {"text/plain"}}, forged)
}
