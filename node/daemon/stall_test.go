package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTickMonitor guards against a pause of the process that leaves no trace in the log.
func TestTickMonitor(t *testing.T) {
	cases := map[string]struct {
		gap, want time.Duration
	}{
		"in time":                {gap: time.Second},
		"early after a late one": {gap: 400 * time.Millisecond},
		"paused":                 {gap: 4 * time.Second, want: 3 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			m, late := tickMonitor{}.WithTick(start, time.Second)
			require.Zero(t, late, "nothing is known before the first tick")
			_, late = m.WithTick(start.Add(tc.gap), time.Second)
			require.Equal(t, tc.want, late)
		})
	}
}
