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

func listed(state State) []Instance {
	return []Instance{{Name: "x", ControlAddr: "127.0.0.1:1", State: state}}
}

// TestStatus guards against a view that follows the lagging list against what the node observed itself.
func TestStatus(t *testing.T) {
	live := View{}.WithList(at(0), listed(StateLive))
	leaving := View{}.WithList(at(0), listed(StateLeaving))
	beat := func(boot uint32, leaving bool) Heartbeat { return Heartbeat{Name: "x", BootID: boot, Leaving: leaving} }
	cases := map[string]struct {
		view View
		now  float64
		want Status
	}{
		"listed":                       {view: live, want: StatusLive},
		"listed as leaving":            {view: leaving, want: StatusLeaving},
		"not listed":                   {view: View{}.WithList(at(0), nil), want: StatusUnknown},
		"leaving but heard":            {view: leaving.WithBeat(at(0), beat(1, false)), now: 2.9, want: StatusLive},
		"leaving and heard long ago":   {view: leaving.WithBeat(at(0), beat(1, false)), now: 3, want: StatusLeaving},
		"removed but heard":            {view: live.WithBeat(at(0), beat(1, false)).WithList(at(1), nil), now: 2.9, want: StatusLive},
		"removed and heard long ago":   {view: live.WithBeat(at(0), beat(1, false)).WithList(at(1), nil), now: 3, want: StatusUnknown},
		"removed, never heard":         {view: live.WithList(at(1), nil), now: 1, want: StatusUnknown},
		"announces its leaving":        {view: live.WithBeat(at(0), beat(1, true)), now: 10, want: StatusLeaving},
		"late beat after leaving":      {view: live.WithBeat(at(0), beat(1, true)).WithBeat(at(1), beat(1, false)), now: 1, want: StatusLeaving},
		"answer after leaving":         {view: live.WithBeat(at(0), beat(1, true)).WithContact(at(1), "x", Answered), now: 1, want: StatusLeaving},
		"restarted after leaving":      {view: live.WithBeat(at(0), beat(1, true)).WithBeat(at(1), beat(2, false)), now: 1, want: StatusLive},
		"leaving mark is long past":    {view: live.WithBeat(at(0), beat(1, true)), now: 60, want: StatusLive},
		"response says leaving":        {view: live.WithContact(at(0), "x", Leaves), want: StatusLeaving},
		"refused":                      {view: live.WithContact(at(0), "x", Refused), now: 0.09, want: StatusCrashed},
		"refused, after the backoff":   {view: live.WithContact(at(0), "x", Refused), now: 0.1, want: StatusLive},
		"refused twice":                {view: refused(live, 2), now: 0.19, want: StatusCrashed},
		"refused again and again":      {view: refused(live, 40), now: 4.9, want: StatusCrashed},
		"longest backoff":              {view: refused(live, 40), now: 5, want: StatusLive},
		"refused, then answered":       {view: live.WithContact(at(0), "x", Refused).WithContact(at(0.05), "x", Answered), now: 0.05, want: StatusLive},
		"refused before an answer":     {view: live.WithContact(at(1), "x", Answered).WithContact(at(0.9), "x", Refused), now: 0.95, want: StatusLive},
		"silent":                       {view: live.WithContact(at(0), "x", Silent), now: 0.05, want: StatusUnresponsive},
		"listed as leaving, forgotten": {view: leaving.WithBeat(at(0), beat(1, false)).WithBeat(at(70), Heartbeat{Name: "y"}), now: 70, want: StatusLeaving},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, tc.view.Status(at(tc.now), "x"))
		})
	}
}

func refused(v View, n int) View {
	for range n {
		v = v.WithContact(at(0), "x", Refused)
	}
	return v
}

// TestPick guards against a choice that repeats an instance or contains the node itself or absent ones.
func TestPick(t *testing.T) {
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
	v = refused(v, 3).WithContact(at(0), "q", Silent)
	counts := v.Counts(at(0), "self")
	require.Equal(t, map[Status]int{StatusLive: 2, StatusLeaving: 1, StatusCrashed: 1, StatusUnresponsive: 1}, counts)
	for status, n := range v.Counts(at(0), "") {
		require.Len(t, v.Instances(at(0), status), n)
	}
}

// TestParseList guards against a bad list that replaces a good one.
func TestParseList(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"good":      {text: `[{"name":"a","state":"live"},{"name":"b","state":"leaving"}]`},
		"cut off":   {text: `[{"name":"a"`, want: "reading the list"},
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
