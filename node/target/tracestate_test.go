package target

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTraceState guards against a retry mark that is lost, duplicated or falsely detected.
func TestTraceState(t *testing.T) {
	cases := map[string]struct {
		state, marked string
		retried       bool
	}{
		"empty":          {marked: "verbenapin=r"},
		"other members":  {state: "a=1, b=2", marked: "verbenapin=r,a=1,b=2"},
		"already marked": {state: "a=1,verbenapin=r", marked: "verbenapin=r,a=1", retried: true},
		"other value":    {state: "verbenapin=x", marked: "verbenapin=r"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.retried, IsRetried(tc.state))
			require.Equal(t, tc.marked, MarkRetried(tc.state))
			require.True(t, IsRetried(MarkRetried(tc.state)))
		})
	}
}
