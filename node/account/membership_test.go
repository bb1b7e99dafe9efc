package account

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/config"
)

// TestMembership guards against a node that leaves the list without notice and is forgotten while it may lend its shares, and against one
// that counts as absent although it left as announced, returned, or has been away for long.
func TestMembership(t *testing.T) {
	type list struct {
		at              time.Duration
		listed, leaving []string
	}
	s := time.Second
	cases := map[string]struct {
		lists []list
		at    time.Duration
		all   []string
	}{
		"left without notice":   {lists: []list{{listed: []string{"c", "a", "b"}}, {at: s, listed: []string{"a", "c"}}}, at: 2 * s, all: []string{"a", "b", "c"}},
		"left as announced":     {lists: []list{{listed: []string{"a", "b"}, leaving: []string{"b"}}, {at: s, listed: []string{"a"}}}, at: 2 * s, all: []string{"a"}},
		"stays after all":       {lists: []list{{listed: []string{"a", "b"}, leaving: []string{"b"}}, {listed: []string{"a", "b"}}, {at: s, listed: []string{"a"}}}, at: 2 * s, all: []string{"a", "b"}},
		"returned":              {lists: []list{{listed: []string{"a", "b"}}, {at: s, listed: []string{"a"}}, {at: 2 * s, listed: []string{"a", "b"}}}, at: 3 * s, all: []string{"a", "b"}},
		"away for long":         {lists: []list{{listed: []string{"a", "b"}}, {at: s, listed: []string{"a"}}}, at: s + absenceTerm, all: []string{"a"}},
		"away, then others are": {lists: []list{{listed: []string{"a", "b", "c"}}, {at: s, listed: []string{"a", "c"}}, {at: 2 * s, listed: []string{"a"}}}, at: s + absenceTerm, all: []string{"a", "c"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var m Membership
			for _, l := range tc.lists {
				before := m
				all := before.All()
				m = m.WithList(l.at, l.listed, l.leaving)
				require.Equal(t, all, before.All(), "the earlier value changed")
			}
			m, _ = m.WithoutGone(tc.at)
			require.Equal(t, tc.all, m.All())
			require.Equal(t, len(m.All()) > len(m.Listed()), m.HasAbsent())
		})
	}
}

// TestParts guards against shares of absent nodes that are lent twice beyond what the overage covers, and against an account that misses
// more of its limit than needed.
func TestParts(t *testing.T) {
	o := Overage{Refilled: 0.25, Takeover: 0.05, Slack: 10, Window: 5 * time.Second}
	homes := []string{"a", "b", "c", "d"}
	cases := map[string]struct {
		limit  Limit
		listed []string
		part   float64
	}{
		"none is absent":     {limit: Limit{Rate: 50, Burst: 50}, listed: homes, part: 1},
		"half are absent":    {limit: Limit{Rate: 34, Burst: 30}, listed: homes[:2], part: 0.5 + 0.04 + 0.04}, // 200 in a window
		"all are absent":     {limit: Limit{Rate: 34, Burst: 30}, listed: nil, part: 0.04 + 0.04},
		"a small account":    {limit: Limit{Rate: 1, Burst: 3}, listed: homes[:2], part: 1},
		"an account of none": {limit: Limit{}, listed: homes[:2], part: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tree := config.NewTree(1, config.Fleet{}, nil, []config.Account{{Name: fleetAccount, Rate: tc.limit.Rate, Burst: tc.limit.Burst}})
			m := Membership{}.WithList(0, homes, nil).WithList(time.Second, tc.listed, nil)
			part, ok := m.Parts(tree, map[string][]string{fleetAccount: homes}, o)[fleetAccount]
			require.Equal(t, tc.part < 1, ok)
			if ok {
				require.InDelta(t, tc.part, part, 1e-9)
			}
		})
	}
}
