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
	return []Instance{{Name: "x", Control: "127.0.0.1:1", State: state}}
}

// TestStatus guards against a view that follows the lagging list against what the node observed itself.
func TestStatus(t *testing.T) {
	live := View{}.WithList(at(0), listed(Live))
	leaving := View{}.WithList(at(0), listed(Leaving))
	beat := func(boot uint32, leaving bool) Beat { return Beat{Name: "x", Boot: boot, Leaving: leaving} }
	cases := map[string]struct {
		view View
		now  float64
		want Status
	}{
		"listed":                       {view: live, want: Present},
		"listed as leaving":            {view: leaving, want: Going},
		"not listed":                   {view: View{}.WithList(at(0), nil), want: Unknown},
		"leaving but heard":            {view: leaving.WithBeat(at(0), beat(1, false)), now: 2.9, want: Present},
		"leaving and heard long ago":   {view: leaving.WithBeat(at(0), beat(1, false)), now: 3, want: Going},
		"removed but heard":            {view: live.WithBeat(at(0), beat(1, false)).WithList(at(1), nil), now: 2.9, want: Present},
		"removed and heard long ago":   {view: live.WithBeat(at(0), beat(1, false)).WithList(at(1), nil), now: 3, want: Unknown},
		"removed, never heard":         {view: live.WithList(at(1), nil), now: 1, want: Unknown},
		"announces its leaving":        {view: live.WithBeat(at(0), beat(1, true)), now: 10, want: Going},
		"late beat after leaving":      {view: live.WithBeat(at(0), beat(1, true)).WithBeat(at(1), beat(1, false)), now: 1, want: Going},
		"answer after leaving":         {view: live.WithBeat(at(0), beat(1, true)).WithContact(at(1), "x", Answered), now: 1, want: Going},
		"restarted after leaving":      {view: live.WithBeat(at(0), beat(1, true)).WithBeat(at(1), beat(2, false)), now: 1, want: Present},
		"leaving mark is long past":    {view: live.WithBeat(at(0), beat(1, true)), now: 60, want: Present},
		"response says leaving":        {view: live.WithContact(at(0), "x", Leaves), want: Going},
		"refused":                      {view: live.WithContact(at(0), "x", Refused), now: 0.09, want: Crashed},
		"refused, after the backoff":   {view: live.WithContact(at(0), "x", Refused), now: 0.1, want: Present},
		"refused twice":                {view: refused(live, 2), now: 0.19, want: Crashed},
		"refused again and again":      {view: refused(live, 40), now: 4.9, want: Crashed},
		"longest backoff":              {view: refused(live, 40), now: 5, want: Present},
		"refused, then answered":       {view: live.WithContact(at(0), "x", Refused).WithContact(at(0.05), "x", Answered), now: 0.05, want: Present},
		"refused before an answer":     {view: live.WithContact(at(1), "x", Answered).WithContact(at(0.9), "x", Refused), now: 0.95, want: Present},
		"silent":                       {view: live.WithContact(at(0), "x", Silent), now: 0.05, want: Quiet},
		"listed as leaving, forgotten": {view: leaving.WithBeat(at(0), beat(1, false)).WithBeat(at(70), Beat{Name: "y"}), now: 70, want: Going},
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
		{Name: "a", State: Live}, {Name: "b", State: Live}, {Name: "c", State: Leaving}, {Name: "self", State: Live},
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
		{Name: "a", State: Live},
		{Name: "b", State: Live},
		{Name: "c", State: Leaving},
		{Name: "self", State: Live},
		{Name: "x", State: Live},
		{Name: "q", State: Live},
	})
	v = refused(v, 3).WithContact(at(0), "q", Silent)
	counts := v.Counts(at(0), "self")
	require.Equal(t, map[Status]int{Present: 2, Going: 1, Crashed: 1, Quiet: 1}, counts)
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
