package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWithoutKnown guards against a heartbeat that omits a home report which the other node does not have yet.
func TestWithoutKnown(t *testing.T) {
	report := HomeReport{ID: 1, BootID: 2, Version: 3, Age: time.Second}
	cases := map[string]struct {
		other []HomeReport
		kept  bool
	}{
		"unknown":        {kept: true},
		"other home":     {other: []HomeReport{{ID: 9, BootID: 2, Version: 3}}, kept: true},
		"other boot ID":  {other: []HomeReport{{ID: 1, BootID: 9, Version: 3}}, kept: true},
		"lower version":  {other: []HomeReport{{ID: 1, BootID: 2, Version: 2}}, kept: true},
		"higher version": {other: []HomeReport{{ID: 1, BootID: 2, Version: 4}}, kept: true},
		"other is older": {other: []HomeReport{{ID: 1, BootID: 2, Version: 3, Age: 2 * time.Second}}, kept: true},
		"same age":       {other: []HomeReport{report}},
		"other is newer": {other: []HomeReport{{ID: 1, BootID: 2, Version: 3}}},
		"same among two": {other: []HomeReport{{ID: 9}, report}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			own := Heartbeat{Name: "a", VersionReport: VersionReport{Version: 3, Homes: []HomeReport{report}}}
			got := own.WithoutKnown(Heartbeat{Name: "b", VersionReport: VersionReport{Version: 3, Homes: tc.other}})
			require.Equal(t, []HomeReport{report}, own.Homes)
			if tc.kept {
				require.Equal(t, own, got)
				return
			}
			require.Empty(t, got.Homes)
		})
	}
}
