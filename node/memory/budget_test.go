package memory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const mb = 1 << 20

// TestDecide guards against pipelined requests that use up the memory of others, and against refusing the only request of a connection
// while there is room.
func TestDecide(t *testing.T) {
	b := NewBudget(184 * mb) // 46 MB for callers, 17.25 MB for requests
	cases := map[string]struct {
		claim Claim
		want  Verdict
	}{
		"first of a connection":            {Claim{Kind: KindRequest, Bytes: 24 << 10}, Grant},
		"pipelined":                        {Claim{Kind: KindRequest, Bytes: 24 << 10, Kept: mb, Conn: 15 * 24 << 10}, Grant},
		"beyond the connection's share":    {Claim{Kind: KindRequest, Bytes: 24 << 10, Kept: mb, Conn: 730 << 10}, Wait},
		"pipelined, half in use":           {Claim{Kind: KindRequest, Bytes: 24 << 10, Kept: 9 * mb, Conn: 24 << 10}, Wait},
		"first of a connection, half full": {Claim{Kind: KindRequest, Bytes: 24 << 10, Kept: 9 * mb}, Grant},
		"ordinary, nearly full":            {Claim{Kind: KindRequest, Bytes: 24 << 10, Kept: 17 * mb}, Grant},
		"large, nearly full":               {Claim{Kind: KindRequest, Bytes: 100 << 10, Kept: 13 * mb}, Refuse},
		"ordinary, full":                   {Claim{Kind: KindRequest, Bytes: 24 << 10, Kept: 17*mb + 250_000}, Refuse},
		"stream beyond the share":          {Claim{Kind: KindRequest, Bytes: 24 << 10, Kept: mb, Conn: 730 << 10, Parallel: true}, Grant},
		"stream, half in use":              {Claim{Kind: KindRequest, Bytes: 24 << 10, Kept: 9 * mb, Conn: 24 << 10, Parallel: true}, Refuse},
		"optional":                         {Claim{Kind: KindBody, Bytes: 60_000, Kept: 2 * mb, Optional: true}, Grant},
		"optional, half in use":            {Claim{Kind: KindBody, Bytes: 60_000, Kept: 3 * mb, Optional: true}, Refuse},
		"body, full":                       {Claim{Kind: KindBody, Bytes: 60_000, Kept: 5 * mb}, Refuse},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, b.Decide(tc.claim)) })
	}
}

// TestShed guards against closing the connections of callers that make progress instead of those that hold memory.
func TestShed(t *testing.T) {
	b := NewBudget(184 * mb)
	cases := map[string]struct {
		usages []Usage
		want   int
	}{
		"none":                    {nil, -1},
		"progress":                {[]Usage{{"a", mb, time.Second}}, -1},
		"nothing kept":            {[]Usage{{"a", 0, time.Hour}}, -1},
		"most bytes and time":     {[]Usage{{"a", 10, 9 * time.Second}, {"b", 100, 3 * time.Second}}, 1},
		"caller over half first":  {[]Usage{{"a", mb, time.Hour}, {"b", 13 * mb, 3 * time.Second}, {"b", 13 * mb, 2 * time.Second}}, 1},
		"caller over half is new": {[]Usage{{"a", mb, 3 * time.Second}, {"b", 30 * mb, time.Second}}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, b.Shed(tc.usages)) })
	}
}

// TestBudget guards against kinds that together exceed the budget, and against a budget that leaves nothing to the rest of the process.
func TestBudget(t *testing.T) {
	cases := map[string]struct{ process, total int64 }{
		"unknown":       {0, maxTotal},
		"tiny":          {mb, minTotal},
		"small machine": {184 * mb, 46 * mb},
		"large machine": {64 << 30, maxTotal},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b, sum := NewBudget(tc.process), int64(0)
			for _, k := range Kinds() {
				sum += b.Max(k)
			}
			require.Equal(t, tc.total, b.Total())
			require.LessOrEqual(t, sum, b.Total())
		})
	}
}

// TestRelease guards against memory that stays with the process after a surge, and against a collection without one.
func TestRelease(t *testing.T) {
	b, start := NewBudget(184*mb), time.Unix(0, 0)
	var r Release
	var released []time.Duration
	for _, s := range []struct {
		at   time.Duration
		kept int64
		shed bool
	}{
		{0, mb, false},
		{time.Second, 40 * mb, false},
		{2 * time.Second, 0, false},
		{2500 * time.Millisecond, mb, false},
		{3 * time.Second, 0, false},
		{4 * time.Second, 0, false},
		{6 * time.Second, 0, false},
		{7 * time.Second, 0, false},
		{8 * time.Second, 0, true},
		{9 * time.Second, 0, false},
		{13 * time.Second, 0, false},
		{20 * time.Second, 0, false},
	} {
		var now bool
		if r, now = r.WithKept(start.Add(s.at), s.kept, s.shed, b); now {
			released = append(released, s.at)
		}
	}
	require.Equal(t, []time.Duration{6 * time.Second, 13 * time.Second}, released)
}
