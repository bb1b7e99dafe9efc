package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPace guards against two calls for one value at once, and against a service that is called without pause.
func TestPace(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := map[string]struct {
		prepare func(p *Schedule)
		now     int
		want    bool
	}{
		"first":              {prepare: func(*Schedule) {}, want: true},
		"before the first":   {prepare: func(*Schedule) {}, now: -1},
		"under way":          {prepare: func(p *Schedule) { p.TryStart(at(0)) }, now: 60_000},
		"answered at once":   {prepare: func(p *Schedule) { p.TryStart(at(0)); p.Done(at(1), 0, false) }, now: 199},
		"after the minimum":  {prepare: func(p *Schedule) { p.TryStart(at(0)); p.Done(at(1), 0, false) }, now: 200, want: true},
		"after a watch":      {prepare: func(p *Schedule) { p.TryStart(at(0)); p.Done(at(1000), 0, false) }, now: 1000, want: true},
		"within a pause":     {prepare: func(p *Schedule) { p.TryStart(at(0)); p.Done(at(1000), time.Second, false) }, now: 1999},
		"failed once":        {prepare: func(p *Schedule) { p.TryStart(at(0)); p.Done(at(0), 0, true) }, now: 249},
		"failed once, later": {prepare: func(p *Schedule) { p.TryStart(at(0)); p.Done(at(0), 0, true) }, now: 750, want: true},
		"failed often": {prepare: func(p *Schedule) {
			for range 20 {
				p.TryStart(at(0))
				p.Done(at(0), 0, true)
			}
		}, now: 2499},
		"failed often, later": {prepare: func(p *Schedule) {
			for range 20 {
				p.TryStart(at(0))
				p.Done(at(0), 0, true)
			}
		}, now: 7500, want: true},
		"held": {prepare: func(p *Schedule) { p.Postpone(at(0), time.Second) }, now: 999},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := NewPace(start)
			tc.prepare(p)
			require.Equal(t, tc.want, p.TryStart(at(tc.now)))
		})
	}
}
