package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/instance"
)

// TestRemoval guards against targets that are dropped because they could not renew their entries during an outage, and
// against targets that stay in use after they are gone.
func TestRemoval(t *testing.T) {
	live := instance.Instance{Name: "i", State: instance.StateLive}
	leaving := instance.Instance{Name: "i", State: instance.StateLeaving}
	cases := map[string]struct {
		target   instance.Instance
		returned time.Time // of the registry
		removed  int       // ms
		after    int       // ms, when the list is asked for
		want     bool
	}{
		"no outage":                  {target: live, removed: 1000, after: 1000},
		"long after an outage":       {target: live, returned: at(0), removed: 3000, after: 3000},
		"lapsed in an outage":        {target: live, returned: at(1000), removed: 1000, after: 3000, want: true},
		"did not return":             {target: live, returned: at(1000), removed: 1000, after: 3300},
		"removed after the grace":    {target: live, returned: at(1000), removed: 3500, after: 3500},
		"had announced that it goes": {target: leaving, returned: at(1000), removed: 1000, after: 1000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			targets := Targets{}.WithTarget("k", tc.target, 1).WithRemoval(at(tc.removed), "k", tc.returned)
			targets, _ = targets.WithoutExpired(at(tc.after))
			require.Equal(t, tc.want, len(targets.List()) == 1)
		})
	}
}

// TestReturn guards against the grace of a lapsed entry ending a target whose entry is back.
func TestReturn(t *testing.T) {
	live := instance.Instance{Name: "i", State: instance.StateLive}
	targets := Targets{}.WithTarget("k", live, 1).WithRemoval(at(1000), "k", at(1000)).WithTarget("k", live, 1)
	targets, changed := targets.WithoutExpired(at(60_000))
	require.False(t, changed)
	require.Len(t, targets.List(), 1)
}

// TestReplaced guards against requests for a target that another one has replaced at its address: its entry stays for
// three heartbeats. An entry of another service says nothing of it, since it may come from another writer.
func TestReplaced(t *testing.T) {
	at := func(name, node, service string) instance.Instance {
		return instance.Instance{Name: name, Node: node, Service: service, State: instance.StateLive}
	}
	type written struct {
		target   instance.Instance
		revision int64
	}
	cases := map[string]struct {
		written []written
		want    []string
	}{
		"one":              {written: []written{{at("i", "n", "s"), 5}}, want: []string{"i"}},
		"two nodes":        {written: []written{{at("i", "n", "s"), 5}, {at("j", "m", "s"), 9}}, want: []string{"i", "j"}},
		"replaced":         {written: []written{{at("i", "n", "s"), 5}, {at("h", "n", "s"), 9}}, want: []string{"h"}},
		"read in no order": {written: []written{{at("h", "n", "s"), 9}, {at("i", "n", "s"), 5}}, want: []string{"h"}},
		"another service":  {written: []written{{at("i", "n", "s"), 5}, {at("j", "n", "r"), 9}}, want: []string{"i", "j"}},
		"same name again":  {written: []written{{at("i", "n", "s"), 5}, {at("h", "n", "s"), 9}, {at("i", "n", "s"), 12}}, want: []string{"i"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var targets Targets
			for _, w := range tc.written {
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
