package answer

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRefusalRoundTrip guards against a refusal that is altered between two nodes, and against a target that forges one.
func TestRefusalRoundTrip(t *testing.T) {
	cases := map[string]struct {
		refusal Refusal
		status  int
	}{
		"rate with retry time": {refusal: NewNotExecuted(CodeRate, "beyond its rate").WithRetryAfter(120 * time.Millisecond), status: 429},
		"lost":                 {refusal: NewMaybeExecuted(CodeLost, "connection broke"), status: 502},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			WriteRefusal(w, tc.refusal, "id")
			res := w.Result()
			require.Equal(t, tc.status, res.StatusCode)
			got, ok, err := ReadRefusal(res)
			require.NoError(t, err)
			require.True(t, ok)
			require.Equal(t, tc.refusal, got)
		})
	}
	forged := http.Header{"Verbenapin-Run": {"no"}, "verbenapin-run": {"no"}, "Content-Type": {"text/plain"}}
	StripInternal(forged)
	require.Equal(t, http.Header{"Content-Type": {"text/plain"}}, forged)
}
