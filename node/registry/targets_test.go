package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/instance"
)

// TestRemovalAfterOutage guards against dropping targets that could not renew their entries during an outage, and against keeping
// targets that are gone.
func TestRemovalAfterOutage(t *testing.T) {
	live := instance.Instance{Name: "i", State: instance.StateLive}
	leaving := instance.Instance{Name: "i", State: instance.StateLeaving}
	cases := map[string]struct {
		target      instance.Instance
		recoveredAt time.Time // end of the outage
		removed     int       // ms
		after       int       // ms, when the list is asked for
		want        bool
	}{
		"no outage":               {target: live, removed: 1000, after: 1000},
		"long after an outage":    {target: live, recoveredAt: at(0), removed: 3000, after: 3000},
		"expired in an outage":    {target: live, recoveredAt: at(1000), removed: 1000, after: 3000, want: true},
		"did not return":          {target: live, recoveredAt: at(1000), removed: 1000, after: 3300},
		"removed after the grace": {target: live, recoveredAt: at(1000), removed: 3500, after: 3500},
		"was leaving":             {target: leaving, recoveredAt: at(1000), removed: 1000, after: 1000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			targets := Targets{}.WithTarget("k", tc.target, 1).WithRemoval(at(tc.removed), "k", tc.recoveredAt)
			targets, _ = targets.WithoutExpired(at(tc.after))
			require.Equal(t, tc.want, len(targets.List()) == 1)
		})
	}
}

// TestEntryReturns guards against dropping a target at the end of its grace although its entry is back.
func TestEntryReturns(t *testing.T) {
	live := instance.Instance{Name: "i", State: instance.StateLive}
	targets := Targets{}.WithTarget("k", live, 1).WithRemoval(at(1000), "k", at(1000)).WithTarget("k", live, 1)
	targets, changed := targets.WithoutExpired(at(60_000))
	require.False(t, changed)
	require.Len(t, targets.List(), 1)
}

// TestReplacedTarget guards against requests to a target that another one has replaced at its address, since its entry stays for
// three heartbeats. An entry of another service does not replace it, since it may come from another writer.
func TestReplacedTarget(t *testing.T) {
	inst := func(name, node, service string) instance.Instance {
		return instance.Instance{Name: name, Node: node, Service: service, State: instance.StateLive}
	}
	type write struct {
		target   instance.Instance
		revision int64
	}
	cases := map[string]struct {
		writes []write
		want   []string
	}{
		"one":              {writes: []write{{inst("i", "n", "s"), 5}}, want: []string{"i"}},
		"two nodes":        {writes: []write{{inst("i", "n", "s"), 5}, {inst("j", "m", "s"), 9}}, want: []string{"i", "j"}},
		"replaced":         {writes: []write{{inst("i", "n", "s"), 5}, {inst("h", "n", "s"), 9}}, want: []string{"h"}},
		"read in no order": {writes: []write{{inst("h", "n", "s"), 9}, {inst("i", "n", "s"), 5}}, want: []string{"h"}},
		"another service":  {writes: []write{{inst("i", "n", "s"), 5}, {inst("j", "n", "r"), 9}}, want: []string{"i", "j"}},
		"same name again":  {writes: []write{{inst("i", "n", "s"), 5}, {inst("h", "n", "s"), 9}, {inst("i", "n", "s"), 12}}, want: []string{"i"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var targets Targets
			for _, w := range tc.writes {
				targets = targets.WithTarget(w.target.Name, w.target, w.revision)
			}
			var got []string
			for _, i := range targets.List() {
				got = append(got, i.Name)
			}
			require.Equal(t, tc.want, got)
		})
	}
}
