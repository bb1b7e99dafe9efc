package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func listWith(state State) []Instance {
	return []Instance{{Name: "x", ControlAddr: "127.0.0.1:1", State: state}}
}

// TestStatus guards against a view that follows the list, which lags, where the node observed something else.
func TestStatus(t *testing.T) {
	live := View{}.WithList(at(0), listWith(StateLive))
	leaving := View{}.WithList(at(0), listWith(StateLeaving))
	hb := func(boot uint32, leaving bool) Heartbeat { return Heartbeat{Name: "x", BootID: boot, Leaving: leaving} }
	cases := map[string]struct {
		view View
		now  float64
		want Status
	}{
		"listed":                                 {view: live, want: StatusLive},
		"listed as leaving":                      {view: leaving, want: StatusLeaving},
		"not listed":                             {view: View{}.WithList(at(0), nil), want: StatusUnknown},
		"leaving but recent contact":             {view: leaving.WithHeartbeat(at(0), hb(1, false)), now: 2.9, want: StatusLive},
		"leaving and old contact":                {view: leaving.WithHeartbeat(at(0), hb(1, false)), now: 3, want: StatusLeaving},
		"removed but recent contact":             {view: live.WithHeartbeat(at(0), hb(1, false)).WithList(at(1), nil), now: 2.9, want: StatusLive},
		"removed and old contact":                {view: live.WithHeartbeat(at(0), hb(1, false)).WithList(at(1), nil), now: 3, want: StatusUnknown},
		"removed, no contact":                    {view: live.WithList(at(1), nil), now: 1, want: StatusUnknown},
		"announces that it is leaving":           {view: live.WithHeartbeat(at(0), hb(1, true)), now: 10, want: StatusLeaving},
		"late heartbeat after leaving":           {view: live.WithHeartbeat(at(0), hb(1, true)).WithHeartbeat(at(1), hb(1, false)), now: 1, want: StatusLeaving},
		"answer after leaving":                   {view: live.WithHeartbeat(at(0), hb(1, true)).WithOutcome(at(1), "x", Answered), now: 1, want: StatusLeaving},
		"restarted after leaving":                {view: live.WithHeartbeat(at(0), hb(1, true)).WithHeartbeat(at(1), hb(2, false)), now: 1, want: StatusLive},
		"announced leaving long ago":             {view: live.WithHeartbeat(at(0), hb(1, true)), now: 60, want: StatusLive},
		"response says leaving":                  {view: live.WithOutcome(at(0), "x", AnsweredLeaving), want: StatusLeaving},
		"refused":                                {view: live.WithOutcome(at(0), "x", Refused), now: 0.09, want: StatusCrashed},
		"refused, after the backoff":             {view: live.WithOutcome(at(0), "x", Refused), now: 0.1, want: StatusLive},
		"refused twice":                          {view: withRefusals(live, 2), now: 0.19, want: StatusCrashed},
		"refused 40 times":                       {view: withRefusals(live, 40), now: 4.9, want: StatusCrashed},
		"longest backoff":                        {view: withRefusals(live, 40), now: 5, want: StatusLive},
		"refused, then answered":                 {view: live.WithOutcome(at(0), "x", Refused).WithOutcome(at(0.05), "x", Answered), now: 0.05, want: StatusLive},
		"refused before an answer":               {view: live.WithOutcome(at(1), "x", Answered).WithOutcome(at(0.9), "x", Refused), now: 0.95, want: StatusLive},
		"unanswered":                             {view: live.WithOutcome(at(0), "x", Unanswered), now: 0.05, want: StatusUnresponsive},
		"listed as leaving, observation dropped": {view: leaving.WithHeartbeat(at(0), hb(1, false)).WithHeartbeat(at(70), Heartbeat{Name: "y"}), now: 70, want: StatusLeaving},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, tc.view.Status(at(tc.now), "x"))
		})
	}
}

func withRefusals(v View, n int) View {
	for range n {
		v = v.WithOutcome(at(0), "x", Refused)
	}
	return v
}

// TestPickDistinct guards against a selection that contains an instance twice, the node itself or an instance that is not live.
func TestPickDistinct(t *testing.T) {
	v := View{}.WithList(at(0), []Instance{
		{Name: "a", State: StateLive}, {Name: "b", State: StateLive}, {Name: "c", State: StateLeaving}, {Name: "self", State: StateLive},
	})
	got := v.Pick(at(0), 5, "self", func(int) int { return 0 })
	require.Len(t, got, 2)
	require.NotEqual(t, got[0].Name, got[1].Name)
	for _, i := range got {
		require.Contains(t, []string{"a", "b"}, i.Name)
	}
}

// TestCounts guards against counts that differ from the lists of instances by status, or contain the node itself.
func TestCounts(t *testing.T) {
	v := View{}.WithList(at(0), []Instance{
		{Name: "a", State: StateLive},
		{Name: "b", State: StateLive},
		{Name: "c", State: StateLeaving},
		{Name: "self", State: StateLive},
		{Name: "x", State: StateLive},
		{Name: "q", State: StateLive},
	})
	v = withRefusals(v, 3).WithOutcome(at(0), "q", Unanswered)
	counts := v.Counts(at(0), "self")
	require.Equal(t, map[Status]int{StatusLive: 2, StatusLeaving: 1, StatusCrashed: 1, StatusUnresponsive: 1}, counts)
	for status, n := range v.Counts(at(0), "") {
		require.Len(t, v.Instances(at(0), status), n)
	}
}

// TestParseList guards against an invalid list that is accepted and replaces a valid one.
func TestParseList(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"good":      {text: `[{"name":"a","state":"live"},{"name":"b","state":"leaving"}]`},
		"cut off":   {text: `[{"name":"a"`, want: "decoding the list"},
		"no name":   {text: `[{"state":"live"}]`, want: "a row has no name"},
		"duplicate": {text: `[{"name":"a","state":"live"},{"name":"a","state":"live"}]`, want: `duplicate name "a"`},
		"bad state": {text: `[{"name":"a","state":"gone"}]`, want: `instance "a" has state "gone"`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseList([]byte(tc.text))
			if tc.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, tc.want)
		})
	}
}
