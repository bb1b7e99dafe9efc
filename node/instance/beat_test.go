package instance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWithoutKnown guards against a heartbeat that leaves out what the other node does not know yet.
func TestWithoutKnown(t *testing.T) {
	row := Home{ID: 1, Boot: 2, Version: 3, Age: time.Second}
	cases := map[string]struct {
		other []Home
		kept  bool
	}{
		"unknown":         {kept: true},
		"other home":      {other: []Home{{ID: 9, Boot: 2, Version: 3}}, kept: true},
		"other boot":      {other: []Home{{ID: 1, Boot: 9, Version: 3}}, kept: true},
		"lower version":   {other: []Home{{ID: 1, Boot: 2, Version: 2}}, kept: true},
		"higher version":  {other: []Home{{ID: 1, Boot: 2, Version: 4}}, kept: true},
		"heard earlier":   {other: []Home{{ID: 1, Boot: 2, Version: 3, Age: 2 * time.Second}}, kept: true},
		"heard as late":   {other: []Home{row}},
		"heard later":     {other: []Home{{ID: 1, Boot: 2, Version: 3}}},
		"heard among two": {other: []Home{{ID: 9}, row}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			own := Beat{Name: "a", Evidence: Evidence{Version: 3, Homes: []Home{row}}}
			got := own.WithoutKnown(Beat{Name: "b", Evidence: Evidence{Version: 3, Homes: tc.other}})
			require.Equal(t, []Home{row}, own.Homes)
			if tc.kept {
				require.Equal(t, own, got)
				return
			}
			require.Empty(t, got.Homes)
		})
	}
}
