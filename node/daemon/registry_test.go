package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/registry"
	"verbenapin.dev/node/target"
)

// TestNodeInstances guards against a node that does not exist and becomes the home of an account, and against a node that is
// counted twice because two targets have its address.
func TestNodeInstances(t *testing.T) {
	inst := func(name, node, service string) instance.Instance {
		return instance.Instance{Name: name, Node: node, Service: service}
	}
	services := config.NewTree(1, config.Fleet{}, nil, nil).WithServices([]config.Service{{Name: "read"}, {Name: "write"}})
	cases := map[string]struct {
		targets []instance.Instance
		tree    config.Tree
		want    []string
	}{
		"none":               {tree: services},
		"in order":           {targets: []instance.Instance{inst("a", "n2", "read"), inst("b", "n1", "write")}, tree: services, want: []string{"n1", "n2"}},
		"two at one address": {targets: []instance.Instance{inst("a", "n1", "read"), inst("b", "n1", "write")}, tree: services, want: []string{"n1"}},
		"unknown service":    {targets: []instance.Instance{inst("a", "n1", "odd"), inst("b", "n2", "write")}, tree: services, want: []string{"n2"}},
		"unknown beside known": {
			targets: []instance.Instance{inst("a", "n1", "odd"), inst("b", "n1", "write")}, tree: services, want: []string{"n1"},
		},
		"no configuration yet": {targets: []instance.Instance{inst("a", "n1", "odd")}, want: []string{"n1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, h := range nodeInstances(tc.targets, tc.tree) {
				got = append(got, h.NodeName())
			}
			require.Equal(t, tc.want, got)
		})
	}
}

// TestLeavingNodes guards against a node that counts as leaving while another target at its address stays.
func TestLeavingNodes(t *testing.T) {
	inst := func(node string, state instance.State) instance.Instance {
		return instance.Instance{Name: node + string(state), Node: node, State: state}
	}
	live, leaving := inst("n1", instance.StateLive), inst("n1", instance.StateLeaving)
	cases := map[string]struct {
		targets []instance.Instance
		want    []string
	}{
		"none":           {},
		"live":           {targets: []instance.Instance{live}},
		"leaving":        {targets: []instance.Instance{inst("n2", instance.StateLive), leaving}, want: []string{"n1"}},
		"replaced":       {targets: []instance.Instance{leaving, live}},
		"replaced, live": {targets: []instance.Instance{live, leaving}},
		"both leaving":   {targets: []instance.Instance{leaving, leaving}, want: []string{"n1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, leavingNodes(tc.targets)) })
	}
}

// TestColdRate guards against a cold target that gets more than the platform allows, and against a bound on targets without one.
func TestColdRate(t *testing.T) {
	cases := map[string]struct {
		platform   Platform
		configured float64
		want       float64
	}{
		"no bound":             {platform: Platform{ColdRateFactor: 1.45, ColdSlack: 5}},
		"as configured":        {platform: Platform{ColdRateFactor: 1}, configured: 8, want: 8},
		"overage":              {platform: Platform{ColdRateFactor: 1.5}, configured: 8, want: 12},
		"overage and slack":    {platform: Platform{ColdRateFactor: 1.5, ColdSlack: 5}, configured: 8, want: 17},
		"less than one second": {platform: Platform{ColdRateFactor: 1.5}, configured: 0.5, want: 0.75},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, tc.platform.coldRate(tc.configured)) })
	}
}

// TestListingOf guards against a gate that does not know that the entry of its target was removed, and against one that refuses requests at
// a target whose entry may only have expired while the registry was down, or that it has not heard of yet.
func TestListingOf(t *testing.T) {
	now := time.Unix(1000, 0)
	const key = "servers/i"
	own := instance.Instance{Name: "i", Node: "n", Service: "s"}
	leaving := own
	leaving.State = instance.StateLeaving
	present := registry.TargetChange{Key: key, Revision: 1, Target: &own}
	removed := registry.TargetChange{Key: key, Revision: 2}
	cases := map[string]struct {
		changes     []registry.TargetChange
		recoveredAt time.Time
		known       bool
		want        target.Listing
	}{
		"before the first read":  {want: target.ListingUnknown},
		"listed":                 {changes: []registry.TargetChange{present}, want: target.ListingPresent},
		"leaving":                {changes: []registry.TargetChange{{Key: key, Revision: 1, Target: &leaving}}, known: true, want: target.ListingLeaving},
		"removed":                {changes: []registry.TargetChange{present, removed}, known: true, want: target.ListingGone},
		"removed after a gap":    {changes: []registry.TargetChange{present, removed}, recoveredAt: now.Add(-time.Second), known: true, want: target.ListingLapsed},
		"back after a gap":       {changes: []registry.TargetChange{present, removed, {Key: key, Revision: 3, Target: &own}}, recoveredAt: now.Add(-time.Second), known: true, want: target.ListingPresent},
		"removed long after one": {changes: []registry.TargetChange{present, removed}, recoveredAt: now.Add(-time.Minute), known: true, want: target.ListingGone},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var targets registry.Targets
			for _, c := range tc.changes {
				targets, _ = targets.WithChanges(now, []registry.TargetChange{c}, tc.recoveredAt)
			}
			var inst instance.Instance
			list := targets.List()
			if len(list) > 0 {
				inst = list[0]
			}
			require.Equal(t, tc.want, listingOf(targets, inst, len(list) > 0, tc.known))
		})
	}
}
