package target

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenapin.dev/node/answer"
)

// limited is the report of a target that announces a rate.
func limited(rate float64) answer.TargetReport {
	return answer.TargetReport{HasLoad: true, Slowdown: 1, HasRateLimit: true, RateLimit: rate}
}

// usual is the report of a target that announces nothing.
var usual = answer.TargetReport{HasLoad: true, Slowdown: 1}

// TestAnnouncedRate guards against a target that gets more requests than it has announced to take, and against one that gets far
// fewer. The target may get half more than it announced, and five requests, in any four seconds.
func TestAnnouncedRate(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const window, span = 4 * time.Second, 10 * time.Second
		rate := rapid.Float64Range(0.5, 40).Draw(r, "rate")
		arrivals := rapid.Float64Range(0.5, 4).Draw(r, "arrivals") * rate
		work := time.Duration(rapid.IntRange(1, 300).Draw(r, "work")) * time.Millisecond
		g := NewGate(1).WithRegistration(Registration{Name: "i", Slots: 100}).WithReport(start, limited(rate), false)
		var starts []time.Time
		running := map[uint64]time.Time{}
		record := func(now time.Time, id uint64) {
			starts = append(starts, now)
			running[id] = now.Add(work)
		}
		arrived, id := 0.0, uint64(0)
		for now := start; now.Before(start.Add(span)); now = now.Add(5 * time.Millisecond) {
			var decisions []Decision
			for done, end := range running {
				if !end.After(now) {
					delete(running, done)
					g, decisions = g.WithDone(now, done, Outcome{Latency: work})
					for _, d := range decisions {
						record(now, d.ID)
					}
				}
			}
			g = g.WithReport(now, limited(rate), false)
			g, decisions = g.WithTick(now)
			for _, d := range decisions {
				if d.Action == ActionStart {
					record(now, d.ID)
				}
			}
			for arrived += arrivals * 0.005; arrived >= 1; arrived-- {
				id++
				var d Decision
				g, d = g.WithArrival(now, AdmissionRequest{ID: id, Account: "a", Route: "r", MaxWait: -1, SoftDeadline: now.Add(time.Second), LatencyObjective: time.Second, Deadline: now.Add(2 * time.Second)})
				if d.Action == ActionStart {
					record(now, id)
				}
			}
		}
		for i := range starts {
			n := 0
			for _, at := range starts[i:] {
				if at.Sub(starts[i]) < window {
					n++
				}
			}
			require.LessOrEqual(r, float64(n), 1.5*rate*window.Seconds()+5, "at %v", starts[i].Sub(start))
		}
		if arrivals >= 2*rate {
			require.GreaterOrEqual(r, float64(len(starts)), 0.9*rate*span.Seconds()-1, "the target is left idle")
		}
	})
}

// TestAnnouncement guards against an announcement that outlasts the responses that make it, and against one that a probe, a late
// response or another target ends.
func TestAnnouncement(t *testing.T) {
	type event struct {
		at     int // milliseconds since the start
		report answer.TargetReport
		probed bool
		start  bool // the target starts again
	}
	other := usual
	other.Instance = "j"
	otherLimited := limited(3)
	otherLimited.Instance = "j"
	cases := map[string]struct {
		events []event
		want   float64
	}{
		"announced":               {events: []event{{report: limited(4.5)}}, want: 4.5},
		"by a probe":              {events: []event{{report: limited(4.5), probed: true}}, want: 4.5},
		"changed":                 {events: []event{{report: limited(4.5)}, {at: 10, report: limited(6)}}, want: 6},
		"none":                    {events: []event{{report: usual}}},
		"zero":                    {events: []event{{report: limited(0)}}, want: minAnnouncedRate},
		"out of order":            {events: []event{{report: limited(4.5)}, {at: 999, report: usual}}, want: 4.5},
		"no longer":               {events: []event{{report: limited(4.5)}, {at: 1000, report: usual}}},
		"a probe does not end it": {events: []event{{report: limited(4.5)}, {at: 9000, report: usual, probed: true}}, want: 4.5},
		"of another target":       {events: []event{{report: otherLimited}}},
		"another target is usual": {events: []event{{report: limited(4.5)}, {at: 9000, report: other}}, want: 4.5},
		"another start":           {events: []event{{report: limited(4.5)}, {at: 10, start: true}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := Registration{Name: "i", Slots: 10}
			g := NewGate(1).WithRegistration(r)
			for _, e := range tc.events {
				if e.start {
					r.StartedAt = start.Add(ms(e.at))
					g = g.WithRegistration(r)
					continue
				}
				g = g.WithReport(start.Add(ms(e.at)), e.report, e.probed)
			}
			require.Equal(t, tc.want, g.Announced().Rate())
		})
	}
}

// TestRateFromSender guards against a gate that has just started and sends a target in need a full load, although the senders know
// the rate that it has announced.
func TestRateFromSender(t *testing.T) {
	arrive := func(g Gate, rate float64) (Gate, int) {
		started := 0
		for n := range uint64(8) {
			req := newRequest(n+1, 600)
			req.AnnouncedRate = rate
			var d Decision
			if g, d = g.WithArrival(start, req); d.Action == ActionStart {
				started++
			}
		}
		return g, started
	}
	fresh := NewGate(1).WithRegistration(Registration{Name: "i", Slots: 10}).WithReport(start, usual, true)
	_, started := arrive(fresh, 0)
	require.Equal(t, 8, started, "nothing is announced")
	g, started := arrive(fresh, 2)
	require.Equal(t, 2, started)
	g = g.WithReport(start, limited(3), false)
	require.Equal(t, 3.0, g.Announced().Rate(), "the target itself knows better")
	_, started = arrive(fresh.WithReport(start, usual, false), 2)
	require.Equal(t, 8, started, "the target takes any number again")
}

// TestReportedLimit guards against senders that take a target in need for one with free slots.
func TestReportedLimit(t *testing.T) {
	g := selfReportingGate(1) // 10 slots, 100 ms a request
	require.Equal(t, 8, g.Load(start).Limit)
	require.Equal(t, 2, g.WithReport(start, limited(15), false).Load(start).Limit)
	require.Equal(t, 1, g.WithReport(start, limited(0), false).Load(start).Limit)
	require.Equal(t, 8, g.WithReport(start, limited(1000), false).Load(start).Limit)
}

// TestAnnouncedLeaving guards against new requests to a target that says that it is leaving while its registration does not, and
// against refusing those that wait already.
func TestAnnouncedLeaving(t *testing.T) {
	leaving := usual
	leaving.Leaving = true
	g, d := fillGate(selfReportingGate(1)).WithArrival(start, newRequest(1, 600))
	require.Equal(t, ActionWait, d.Action)
	g = g.WithReport(start, leaving, false)
	require.True(t, g.Load(start).Leaving)
	_, d = g.WithArrival(start, newRequest(2, 600))
	require.Equal(t, ActionRefuse, d.Action)
	require.Equal(t, answer.CodeLeaving, d.Refusal.Code)
	done, decisions := g.WithDone(start, 100, Outcome{Latency: ms(100)})
	require.Len(t, decisions, 1)
	require.Equal(t, ActionStart, decisions[0].Action)
	require.True(t, done.WithLeaving(false).Load(start).Leaving, "the registration does not know")
	require.False(t, g.WithReport(start.Add(announcementHold), usual, false).Load(start).Leaving, "the target stays")
	require.False(t, g.WithRegistration(Registration{Name: "i", StartedAt: start, Slots: 10}).Load(start).Leaving, "another start")
}
