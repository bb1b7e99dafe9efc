package target

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
)

// TestListing guards against requests that reach a target after it has left the list, because their senders know it late or because they
// have waited at its gate, and against refusing them at a target whose entry has only lapsed.
func TestListing(t *testing.T) {
	type event struct {
		at      int // milliseconds
		listing Listing
		health  string // of a probe: well, ill
	}
	cases := map[string]struct {
		events []event
		want   Action // of a request at 10 ms
		waits  int    // milliseconds until a request that was waiting at 0 ms is refused, zero if it is not
	}{
		"not known yet":                 {want: ActionWait},
		"present":                       {events: []event{{0, ListingPresent, ""}}, want: ActionWait},
		"leaving":                       {events: []event{{5, ListingLeaving, ""}}, want: ActionRefuse, waits: 505},
		"removed":                       {events: []event{{0, ListingPresent, ""}, {5, ListingGone, ""}}, want: ActionRefuse, waits: 505},
		"leaving, then removed":         {events: []event{{0, ListingLeaving, ""}, {5, ListingGone, ""}}, want: ActionRefuse, waits: 500},
		"listed again":                  {events: []event{{0, ListingGone, ""}, {5, ListingPresent, ""}}, want: ActionWait},
		"lapsed":                        {events: []event{{5, ListingLapsed, ""}}, want: ActionWait},
		"lapsed and well":               {events: []event{{0, "", "ill"}, {2, "", "well"}, {5, ListingLapsed, ""}}, want: ActionWait},
		"lapsed and ill":                {events: []event{{0, "", "ill"}, {5, ListingLapsed, ""}}, want: ActionRefuse, waits: 505},
		"lapsed, then ill":              {events: []event{{0, ListingLapsed, ""}, {7, "", "ill"}}, want: ActionRefuse, waits: 507},
		"lapsed, ill, then well":        {events: []event{{0, ListingLapsed, "ill"}, {7, "", "well"}}, want: ActionWait},
		"present and ill":               {events: []event{{0, ListingPresent, "ill"}}, want: ActionWait},
		"lapsed, back while it was ill": {events: []event{{0, ListingLapsed, "ill"}, {7, ListingPresent, ""}}, want: ActionWait},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := fillGate(selfReportingGate(1))
			waiting := newRequest(500, 5000)
			waiting.SoftDeadline, waiting.LatencyObjective, waiting.Deadline = at(4000), ms(4000), at(5000)
			g.queue = g.queue.WithRequest(start, waiting)
			for _, e := range tc.events {
				if e.listing != "" {
					g = g.WithListing(at(e.at), e.listing)
				}
				if e.health != "" {
					g = g.WithHealth(at(e.at), e.health == "well")
				}
			}
			request := newRequest(501, 5000)
			request.SoftDeadline, request.LatencyObjective, request.Deadline = at(4000), ms(4000), at(5000)
			_, d := g.WithArrival(at(10), request)
			require.Equal(t, tc.want, d.Action, d.Refusal.Text)
			if tc.want == ActionRefuse {
				require.Equal(t, answer.CodeLeaving, d.Refusal.Code)
				require.Equal(t, answer.NotExecuted, d.Refusal.Execution)
			}
			due, ok := g.NextTick(at(10))
			require.True(t, ok)
			if tc.waits == 0 {
				_, decisions := g.WithTick(at(3000))
				require.Empty(t, decisions)
				return
			}
			require.False(t, due.After(at(tc.waits)), "nothing ends the wait in time")
			g, decisions := g.WithTick(at(tc.waits - 1))
			require.Empty(t, decisions)
			_, decisions = g.WithTick(at(tc.waits))
			require.Len(t, decisions, 1)
			require.Equal(t, answer.CodeLeaving, decisions[0].Refusal.Code)
			require.Equal(t, answer.NotExecuted, decisions[0].Refusal.Execution)
		})
	}
}
