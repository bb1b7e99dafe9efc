package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/loop"
)

// TestShouldProbe guards against probes despite a fresh response, an exhausted budget or a pending probe.
func TestShouldProbe(t *testing.T) {
	fresh := NewProbeState(start)
	cases := map[string]struct {
		state  ProbeState
		now    time.Time
		budget float64
		want   bool
	}{
		"right after the start":     {state: fresh, now: at(1199), budget: 0.005},
		"first probe":               {state: fresh, now: at(1200), budget: 0.005, want: true},
		"no budget":                 {state: fresh, now: at(100_000)},
		"fresh response":            {state: fresh.WithResponse(at(1000)), now: at(1900), budget: 0.005},
		"old response":              {state: fresh.WithResponse(at(1000)), now: at(2000), budget: 0.005, want: true},
		"pending probe":             {state: fresh.WithProbe(at(1200)), now: at(3000), budget: 0.005},
		"lost probe":                {state: fresh.WithProbe(at(1200)), now: at(6200), budget: 0.005, want: true},
		"expensive probe":           {state: fresh.WithProbe(at(1200)).WithResult(ms(60)), now: at(13_199), budget: 0.005},
		"after an expensive probe":  {state: fresh.WithProbe(at(1200)).WithResult(ms(60)), now: at(13_200), budget: 0.005, want: true},
		"shortest pause":            {state: fresh.WithProbe(at(1200)).WithResult(0), now: at(1399), budget: 1},
		"pause after a cheap probe": {state: fresh.WithProbe(at(1200)).WithResult(0), now: at(2100), budget: 0.005, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, ShouldProbe(tc.now, tc.state, tc.budget))
		})
	}
}

// TestProbeBudget guards against probes that use more than their share of the target's time, also when the node restarts.
func TestProbeBudget(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		budget := rapid.SampledFrom([]float64{0.001, 0.005, 0.05}).Draw(r, "budget")
		s, now := NewProbeState(start), start
		spent, most := time.Duration(0), initialProbeCost
		for range rapid.IntRange(1, 100).Draw(r, "events") {
			now = now.Add(ms(rapid.IntRange(1, 2000).Draw(r, "pause")))
			if rapid.IntRange(0, 9).Draw(r, "restart") == 0 {
				s = NewProbeState(now)
			}
			if ShouldProbe(now, s, budget) {
				cost := ms(rapid.IntRange(1, 6).Draw(r, "cost"))
				s = s.WithProbe(now).WithResult(cost)
				spent += cost
			}
			require.LessOrEqual(t, float64(spent), budget*float64(now.Sub(start))+float64(most))
		}
	})
}

// TestProbeResponse guards against a cold target that counts as warm, or an unreachable one as reachable, because the response to an
// earlier request, or one that says nothing of it, is taken for what a probe has found.
func TestProbeResponse(t *testing.T) {
	const ok, end = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", "\r\n"
	restarted := coldRegistration
	restarted.StartedAt = start.Add(time.Hour)
	cases := map[string]struct {
		response string
		event    func(a *Admission) // between the probe and its response
		warm     bool
		closed   bool // the connection
	}{
		"warm":                       {response: ok + "X-Name: i\r\n" + end, warm: true},
		"cold":                       {response: ok + "X-Name: i\r\nX-Cold: 1\r\n" + end},
		"of another request":         {response: ok + "X-Id: r1\r\nX-Load: 1\r\n" + end, closed: true},
		"another request, and named": {response: ok + "X-Id: r1\r\nX-Name: i\r\n" + end, closed: true},
		"refused as full":            {response: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n" + end},
		"load only":                  {response: ok + "X-Load: 1\r\n" + end},
		"of an earlier start": {response: ok + "X-Name: i\r\n" + end, event: func(a *Admission) {
			a.gate = a.gate.WithRegistration(restarted)
		}},
		"of before it was unreachable": {response: ok + "X-Name: i\r\n" + end, event: func(a *Admission) {
			a.gate = a.gate.WithUnreachable(start)
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			asked, answered, closed := make(chan struct{}), make(chan struct{}), make(chan struct{})
			base, _ := serveOnce(t, func(_ *http.Request, c net.Conn) {
				close(asked)
				<-answered
				_, _ = io.WriteString(c, tc.response)
				_, _ = c.Read(make([]byte, 1)) // until the connection is closed
				close(closed)
			})
			transport := NewTransport(base, 1)
			manual := clock.NewManual(start)
			l := loop.New(manual.Now)
			ctx, stop := context.WithCancel(context.Background())
			served := make(chan error, 1)
			go func() { served <- l.Serve(ctx) }()
			a := NewAdmission(l, manual.Clock(), Gate.WithArrival, func() float64 { return 0 }, func(ctx context.Context) (ProbeResult, error) {
				return sendTestProbe(ctx, transport, base)
			})
			require.NoError(t, l.Call(ctx, func(time.Time) { a.gate = a.gate.WithRegistration(coldRegistration) }))
			go func() {
				<-asked
				_ = l.Call(ctx, func(time.Time) {
					if tc.event != nil {
						tc.event(a)
					}
				})
				close(answered)
			}()
			manual.Advance(probeCheckInterval)
			cold, unreachable := false, false
			require.NoError(t, l.Call(ctx, func(now time.Time) { cold, unreachable = a.gate.state.IsCold(now), a.gate.unreachable }))
			require.Equal(t, !tc.warm, cold)
			require.False(t, unreachable)
			if tc.closed {
				<-closed
			}
			a.Close()
			transport.Close()
			<-closed
			stop()
			<-served
		})
	}
}

// sendTestProbe sends a probe in a dialect in which targets return request IDs and name themselves to probes.
func sendTestProbe(ctx context.Context, transport *Transport, base *url.URL) (ProbeResult, error) {
	d := answer.DefaultDialect()
	d.RequestIDHeader, d.EchoRequestID, d.ProbesNameTarget = "X-Id", true, true
	d.Report = func(h http.Header) answer.TargetReport {
		r := answer.TargetReport{Instance: h.Get("X-Name"), HasLoad: h.Get("X-Load") != "", Slowdown: 1}
		if h.Get("X-Cold") != "" {
			r.ColdRemaining = time.Hour
		}
		return r
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base.String(), nil)
	if err != nil {
		return ProbeResult{}, err
	}
	res, err := transport.RoundTrip(r)
	if err != nil {
		return ProbeResult{}, err
	}
	return ReadProbe(d, res)
}
