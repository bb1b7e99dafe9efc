package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/instance"
)

func withTarget(t Targets, key string, target instance.Instance, revision int64) Targets {
	t, _ = t.WithChanges(start, []TargetChange{{Key: key, Revision: revision, Target: &target}}, time.Time{})
	return t
}

func withRemoval(t Targets, now time.Time, key string, recoveredAt time.Time) Targets {
	t, _ = t.WithChanges(now, []TargetChange{{Key: key}}, recoveredAt)
	return t
}

// TestUnchangedEntry guards against work for each heartbeat of each target: an entry that was only written again changes nothing that
// is decided, and at 295 targets that start together hundreds are written every second.
func TestUnchangedEntry(t *testing.T) {
	target := instance.Instance{Name: "i", State: instance.StateLive, Slots: 6}
	leaving := target
	leaving.State = instance.StateLeaving
	cases := map[string]struct {
		change TargetChange
		want   bool
	}{
		"written again":    {change: TargetChange{Key: "k", Revision: 2, Target: &target}},
		"another state":    {change: TargetChange{Key: "k", Revision: 2, Target: &leaving}, want: true},
		"removed":          {change: TargetChange{Key: "k", Revision: 2}, want: true},
		"another target":   {change: TargetChange{Key: "l", Revision: 2, Target: &instance.Instance{Name: "j", Node: "n"}}, want: true},
		"unknown, removed": {change: TargetChange{Key: "l", Revision: 2}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, changed := withTarget(Targets{}, "k", target, 1).WithChanges(start, []TargetChange{tc.change}, time.Time{})
			require.Equal(t, tc.want, changed)
		})
	}
}

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
			targets := withRemoval(withTarget(Targets{}, "k", tc.target, 1), at(tc.removed), "k", tc.recoveredAt)
			targets, _ = targets.WithoutExpired(at(tc.after))
			require.Equal(t, tc.want, len(targets.List()) == 1)
		})
	}
}

// TestEntryReturns guards against dropping a target at the end of its grace although its entry is back.
func TestEntryReturns(t *testing.T) {
	live := instance.Instance{Name: "i", State: instance.StateLive}
	targets := withTarget(withRemoval(withTarget(Targets{}, "k", live, 1), at(1000), "k", at(1000)), "k", live, 1)
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
				targets = withTarget(targets, w.target.Name, w.target, w.revision)
			}
			var got []string
			for _, i := range targets.List() {
				got = append(got, i.Name)
			}
			require.Equal(t, tc.want, got)
		})
	}
}
