package peer

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

// TestAnnouncedRate guards against a sender that passes on a rate which the target announced long ago, and against one that loses or
// alters it on the way to the gate.
func TestAnnouncedRate(t *testing.T) {
	table := TargetTable{}.WithAnnouncement(start, "a", answer.TargetReport{HasRateLimit: true, RateLimit: 4.4})
	require.Equal(t, 4.4, table.AnnouncedRate(at(9999), "a"))
	require.Zero(t, table.AnnouncedRate(at(10_000), "a"))
	require.Zero(t, table.AnnouncedRate(start, "b"))
	cases := map[string]struct {
		header string
		want   float64
		failed bool
	}{
		"rate":      {header: "4.4", want: 4.4},
		"none":      {},
		"zero":      {header: "0", failed: true},
		"negative":  {header: "-1", failed: true},
		"no number": {header: "NaN", failed: true},
		"too large": {header: "1e300", failed: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r, err := http.NewRequest(http.MethodGet, "/", nil)
			require.NoError(t, err)
			encodeCall(r.Header, target.Call{Request: r, Route: "r", AnnouncedRate: tc.want, Deadline: start.Add(time.Second)}, start)
			require.Equal(t, tc.want > 0, r.Header.Get(answer.HeaderAnnouncedRate) != "")
			if tc.header != "" {
				r.Header.Set(answer.HeaderAnnouncedRate, tc.header)
			}
			c, err := decodeCall(r, start)
			require.Equal(t, tc.failed, err != nil)
			if !tc.failed {
				require.Equal(t, tc.want, c.AnnouncedRate)
				require.Empty(t, r.Header.Get(answer.HeaderAnnouncedRate), "the target must not see it")
			}
		})
	}
}
