package declare

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/config"
)

// TestCheckHomes guards against a change of homes after which disjoint majorities can confirm two versions, and against
// one that keeps the shares of accounts low for good.
func TestCheckHomes(t *testing.T) {
	three := config.Fleet{Homes: []string{"a", "b", "c"}}
	cases := map[string]struct {
		before, after     config.Fleet
		removed, replaced bool
	}{
		"no change":                    {before: three, after: three},
		"first homes":                  {after: three},
		"one retired":                  {before: three, after: config.Fleet{Homes: []string{"a", "b", "c"}, Retired: []string{"c"}}},
		"a retired one removed":        {before: config.Fleet{Homes: []string{"a", "b", "c"}, Retired: []string{"c"}}, after: config.Fleet{Homes: []string{"a", "b"}}},
		"one removed":                  {before: three, after: config.Fleet{Homes: []string{"a", "b"}}, removed: true},
		"one replaced without retired": {before: three, after: config.Fleet{Homes: []string{"a", "b", "d"}}, removed: true},
		"one retired and one added":    {before: three, after: config.Fleet{Homes: []string{"a", "b", "c", "d"}, Retired: []string{"c"}}},
		"one added":                    {before: three, after: config.Fleet{Homes: []string{"a", "b", "c", "d"}}},
		"two added":                    {before: three, after: config.Fleet{Homes: []string{"a", "b", "c", "d", "e"}}, replaced: true},
		"a single home becomes three":  {before: config.Fleet{Homes: []string{"a"}}, after: three, replaced: true},
		"a single home becomes two":    {before: config.Fleet{Homes: []string{"a"}}, after: config.Fleet{Homes: []string{"a", "b"}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			err := checkHomes(tc.before, tc.after)
			require.Equal(t, tc.removed, errors.As(err, new(HomesRemovedError)))
			require.Equal(t, tc.replaced, errors.As(err, new(HomesReplacedError)))
		})
	}
}

// TestCheckHomesCounts compares checkHomes with an exhaustive search over all pairs of majorities.
func TestCheckHomesCounts(t *testing.T) {
	for old := 1; old <= 5; old++ {
		for added := range 5 {
			for retired := range old {
				var before, after config.Fleet
				for i := range old + added {
					name := fmt.Sprint(i)
					if i < old {
						before.Homes = append(before.Homes, name)
					}
					after.Homes = append(after.Homes, name)
					if i < retired {
						after.Retired = append(after.Retired, name)
					}
				}
				require.Equal(t, disjoint(before, after), checkHomes(before, after) != nil, "%v to %v", before, after)
			}
		}
	}
}

// disjoint reports whether a majority of the old homes, made of running ones only, and a majority of the new homes can
// have no home in common.
func disjoint(before, after config.Fleet) bool {
	n := len(after.Homes)
	members := func(set int, names []string) int {
		count := 0
		for _, name := range names {
			var i int
			_, _ = fmt.Sscan(name, &i)
			count += set >> i & 1
		}
		return count
	}
	for x := range 1 << n {
		if 2*members(x, before.Homes) <= len(before.Homes) || members(x, after.Retired) > 0 {
			continue
		}
		for y := range 1 << n {
			if x&y == 0 && 2*members(y, after.Active()) > len(after.Active()) {
				return true
			}
		}
	}
	return false
}
