package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSchedule guards against two concurrent requests for one value, and against requests without a pause to a service that
// answers at once or fails.
func TestSchedule(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := map[string]struct {
		prepare func(s *Schedule)
		now     int
		want    bool
	}{
		"first":              {prepare: func(*Schedule) {}, want: true},
		"before the first":   {prepare: func(*Schedule) {}, now: -1},
		"in flight":          {prepare: func(s *Schedule) { s.TryStart(at(0)) }, now: 60_000},
		"answered at once":   {prepare: func(s *Schedule) { s.TryStart(at(0)); s.Done(at(1), 0, false) }, now: 199},
		"after the minimum":  {prepare: func(s *Schedule) { s.TryStart(at(0)); s.Done(at(1), 0, false) }, now: 200, want: true},
		"after a long poll":  {prepare: func(s *Schedule) { s.TryStart(at(0)); s.Done(at(1000), 0, false) }, now: 1000, want: true},
		"within a pause":     {prepare: func(s *Schedule) { s.TryStart(at(0)); s.Done(at(1000), time.Second, false) }, now: 1999},
		"failed once, early": {prepare: func(s *Schedule) { s.TryStart(at(0)); s.Done(at(0), 0, true) }, now: 249},
		"failed once, later": {prepare: func(s *Schedule) { s.TryStart(at(0)); s.Done(at(0), 0, true) }, now: 750, want: true},
		"failed often, early": {prepare: func(s *Schedule) {
			for range 20 {
				s.TryStart(at(0))
				s.Done(at(0), 0, true)
			}
		}, now: 2499},
		"failed often, later": {prepare: func(s *Schedule) {
			for range 20 {
				s.TryStart(at(0))
				s.Done(at(0), 0, true)
			}
		}, now: 7500, want: true},
		"postponed": {prepare: func(s *Schedule) { s.Postpone(at(0), time.Second) }, now: 999},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewSchedule(start)
			tc.prepare(s)
			require.Equal(t, tc.want, s.TryStart(at(tc.now)))
		})
	}
}
