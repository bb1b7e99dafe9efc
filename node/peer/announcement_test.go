package peer

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

// TestAnnouncedLeaving guards against a request to a target that has told this node that it is leaving: its gate may have started
// since and not know, or no other target may be left.
func TestAnnouncedLeaving(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	one := []Candidate{{Name: "a", Domain: "near", StartedAt: start}}
	again := []Candidate{{Name: "a", Domain: "near", StartedAt: at(5000)}}
	served := TargetTable{}.WithSent(start, one[0]).WithDone(start, "a").WithResponse(start, "a", loadOf(1, 12), 0)
	leaving := served.WithAnnouncement(start, "a", answer.TargetReport{Leaving: true})
	cases := map[string]struct {
		table      TargetTable
		candidates []Candidate
		at         int
		want       bool
	}{
		"not announced":               {table: served, candidates: one, want: true},
		"announced":                   {table: leaving, candidates: one},
		"a second later":              {table: leaving, candidates: one, at: 1000},
		"its gate does not know":      {table: leaving.WithLoadReport(at(3000), LoadReport{Target: "a", BootID: 2, Number: 1, Load: loadOf(0, 12)}), candidates: one, at: 3000},
		"its gate was lost":           {table: leaving.WithLost(at(10), "a"), candidates: one, at: 9000},
		"a response before it":        {table: leaving.WithAnnouncement(at(100), "a", answer.TargetReport{}), candidates: one, at: 200},
		"it takes requests again":     {table: leaving.WithAnnouncement(at(1000), "a", answer.TargetReport{}), candidates: one, at: 1000, want: true},
		"another start":               {table: leaving, candidates: again, at: 6000, want: true},
		"a request is not answered":   {table: TargetTable{}.WithSent(start, one[0]).WithAnnouncement(start, "a", answer.TargetReport{Leaving: true}), candidates: one, at: 10},
		"sent to after another start": {table: leaving.WithSent(at(6000), again[0]).WithDone(at(6000), "a"), candidates: again, at: 6000, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got, ok := tc.table.Choose(at(tc.at), r, tc.candidates, "near", nil, nil)
			require.Equal(t, tc.want, ok)
			if !tc.want {
				require.Equal(t, ReasonLeaving, got.Reason)
			}
		})
	}
}

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
