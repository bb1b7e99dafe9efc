package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/loop"
	"verbenapin.dev/node/target"
)

// TestAudience guards against senders that hear of a change too late, and against a datagram for each request.
func TestAudience(t *testing.T) {
	usual := target.Load{Limit: 10, Slowdown: 1, Running: 2, Queued: 1}
	with := func(change func(l *target.Load)) target.Load {
		l := usual
		change(&l)
		return l
	}
	cases := map[string]struct {
		load  target.Load
		after int // ms since the last notice
		want  bool
	}{
		"nothing new":        {load: usual, after: 200},
		"a sign of life":     {load: usual, after: 300, want: true},
		"slow":               {load: with(func(l *target.Load) { l.Slowdown = 4 }), after: 1, want: true},
		"a little slower":    {load: with(func(l *target.Load) { l.Slowdown = 1.2 }), after: 200},
		"leaving":            {load: with(func(l *target.Load) { l.Leaving = true }), after: 1, want: true},
		"down":               {load: with(func(l *target.Load) { l.Down = true }), after: 1, want: true},
		"cold":               {load: with(func(l *target.Load) { l.Cold = true }), after: 1, want: true},
		"two requests more":  {load: with(func(l *target.Load) { l.Running = 4 }), after: 100},
		"three more":         {load: with(func(l *target.Load) { l.Running = 5 }), after: 100, want: true},
		"three more at once": {load: with(func(l *target.Load) { l.Running = 5 }), after: 10},
		"three less":         {load: with(func(l *target.Load) { l.Running, l.Queued = 0, 0 }), after: 100, want: true},
		"a wait":             {load: with(func(l *target.Load) { l.ExpectedWait = 50 * time.Millisecond }), after: 100, want: true},
		"another limit":      {load: with(func(l *target.Load) { l.Limit = 9 }), after: 100, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a, fresh := Receivers{}.WithReceiver(start, "n1")
			require.True(t, fresh)
			a, to := a.WithLoad(start, usual)
			require.Equal(t, []string{"n1"}, to)
			_, to = a.WithLoad(at(tc.after), tc.load)
			require.Equal(t, tc.want, len(to) == 1)
		})
	}
}

// TestAudienceForgets guards against notices to nodes that send no requests any more.
func TestAudienceForgets(t *testing.T) {
	a, _ := Receivers{}.WithReceiver(start, "old")
	a, fresh := a.WithReceiver(at(2000), "new")
	require.True(t, fresh)
	a, fresh = a.WithReceiver(at(2500), "new")
	require.False(t, fresh)
	a, to := a.WithLoad(at(2900), target.Load{Limit: 1})
	require.Equal(t, []string{"new", "old"}, to)
	a, to = a.WithLoad(at(3200), target.Load{Limit: 1})
	require.Equal(t, []string{"new"}, to)
	a, to = a.WithLoad(at(6000), target.Load{Limit: 1})
	require.Empty(t, to)
	_, to = a.WithLoad(at(7000), target.Load{Limit: 2})
	require.Empty(t, to)
}

// TestBoardNotices guards against requests to targets that are known to be slow, down or silent, and against old notices
// that replace newer ones.
func TestBoardNotices(t *testing.T) {
	all := []Candidate{{Name: "a", Domain: "near"}, {Name: "b", Domain: "near"}, {Name: "c", Domain: "far"}}
	fast := target.Load{Limit: 9, Slowdown: 1, MeanSlowdown: 1, ServiceTime: 200 * time.Millisecond}
	with := func(change func(l *target.Load)) target.Load {
		l := fast
		change(&l)
		return l
	}
	slow := with(func(l *target.Load) { l.Slowdown = 4 })
	cases := map[string]struct {
		notices map[string][]LoadReport
		at      int
		want    map[string]bool
	}{
		"all fast, the near ones":  {want: map[string]bool{"a": true, "b": true}},
		"near ones slow":           {notices: map[string][]LoadReport{"a": {{Number: 2, Load: slow}}, "b": {{Number: 2, Load: slow}}}, want: map[string]bool{"c": true}},
		"down":                     {notices: map[string][]LoadReport{"a": {{Number: 2, Load: with(func(l *target.Load) { l.Down = true })}}}, want: map[string]bool{"b": true}},
		"a wait":                   {notices: map[string][]LoadReport{"a": {{Number: 2, Load: with(func(l *target.Load) { l.ExpectedWait = 100 * time.Millisecond })}}}, want: map[string]bool{"b": true}},
		"cold":                     {notices: map[string][]LoadReport{"a": {{Number: 2, Load: with(func(l *target.Load) { l.Cold = true })}}}, want: map[string]bool{"b": true}},
		"failing":                  {notices: map[string][]LoadReport{"a": {{Number: 2, Load: with(func(l *target.Load) { l.FailureRate = 0.4 })}}}, want: map[string]bool{"b": true}},
		"a late duplicate":         {notices: map[string][]LoadReport{"a": {{Number: 3, Load: slow}, {Number: 2, Load: fast}}}, want: map[string]bool{"b": true}},
		"another boot counts anew": {notices: map[string][]LoadReport{"a": {{Number: 9, Load: fast}, {BootID: 5, Number: 1, Load: slow}}}, want: map[string]bool{"b": true}},
		"silent ones come last":    {notices: map[string][]LoadReport{"c": {{Number: 2, Load: fast}}}, at: 1000, want: map[string]bool{"c": true}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := TargetTable{}
			for _, c := range all {
				b = b.WithSent(start, c).WithResponse(start, c.Name, fast, 0).WithDone(start, c.Name)
				b = b.WithLoadReport(start, LoadReport{Target: c.Name, BootID: 1, Number: 1, Load: fast})
			}
			for name, list := range tc.notices {
				for _, n := range list {
					n.Target = name
					if n.BootID == 0 {
						n.BootID = 1
					}
					b = b.WithLoadReport(at(max(tc.at-10, 1)), n)
				}
			}
			if tc.at > 0 {
				for _, c := range all {
					b = b.WithSent(at(tc.at-5), c).WithDone(at(tc.at-5), c.Name)
				}
			}
			random := rand.New(rand.NewPCG(1, 2))
			got := map[string]bool{}
			for range 200 {
				choice, ok := b.Choose(at(max(tc.at, 2)), random, all, "near", nil, nil)
				require.True(t, ok)
				got[choice.Instance] = true
			}
			require.Equal(t, tc.want, got)
		})
	}
}

// TestBulk guards against large responses that cross the border of a failure domain for a small gain, and against ones
// that wait for long at a near target.
func TestBulk(t *testing.T) {
	all := []Candidate{{Name: "near", Domain: "x"}, {Name: "far", Domain: "y", Penalty: bulkRemotePenalty}}
	fast := target.Load{Limit: 9, Slowdown: 1, MeanSlowdown: 1, ServiceTime: 200 * time.Millisecond}
	for name, tc := range map[string]struct {
		wait time.Duration
		want string
	}{
		"small gain": {wait: 150 * time.Millisecond, want: "near"},
		"large gain": {wait: 500 * time.Millisecond, want: "far"},
	} {
		t.Run(name, func(t *testing.T) {
			b := TargetTable{}
			for _, c := range all {
				l := fast
				if c.Name == "near" {
					l.ExpectedWait = tc.wait
				}
				b = b.WithSent(start, c).WithDone(start, c.Name).WithResponse(start, c.Name, l, 0).
					WithLoadReport(start, LoadReport{Target: c.Name, BootID: 1, Number: 1, Load: l})
			}
			choice, _ := b.Choose(start, rand.New(rand.NewPCG(1, 2)), all, "x", nil, nil)
			require.Equal(t, tc.want, choice.Instance)
		})
	}
}

// TestNoticeForm guards against reports that change on their way, and against datagrams of others that count.
func TestNoticeForm(t *testing.T) {
	n := LoadReport{Target: "i-7f", BootID: 7, Number: 3, Load: target.Load{
		Running: 3, Queued: 2, Limit: 9, ServiceTime: 120 * time.Millisecond, FailureRate: 0.25, Leaving: true, Slowdown: 4, MeanSlowdown: 1.75,
		Down: true, Cold: true, ExpectedWait: 90 * time.Millisecond,
	}}
	data, err := n.encode()
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), maxReportBytes)
	got, err := decodeLoadReport(data)
	require.NoError(t, err)
	require.Equal(t, n, got)
	for name, bad := range map[string][]byte{"empty": nil, "text": []byte("GET / HTTP/1.1\r\n\r\n")} {
		t.Run(name, func(t *testing.T) {
			_, err := decodeLoadReport(bad)
			require.Error(t, err)
		})
	}
}

// TestNotices guards against senders that hear nothing of a changed report.
func TestNotices(t *testing.T) {
	listen := func() *net.UDPConn {
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		return socket
	}
	l := loop.New(time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = l.Serve(ctx) })
	heard := make(chan LoadReport, 16)
	c := clock.New()
	load := target.Load{Limit: 9, Slowdown: 1}
	gate, sender := listen(), listen()
	faults := func(err error) { t.Error(err) }
	at := NewLoadExchange(gate, l, c, 1, func() (string, target.Load) { return "i", load }, func(time.Time, LoadReport) {}, faults)
	from := NewLoadExchange(sender, l, c, 2, func() (string, target.Load) { return "", target.Load{} },
		func(_ time.Time, n LoadReport) { heard <- n }, faults)
	at.AddReceiver(sender.LocalAddr().String())
	require.Equal(t, 1.0, (<-heard).Load.Slowdown)
	require.NoError(t, l.Call(ctx, func(now time.Time) {
		load.Slowdown = 4
		at.ReportIfChanged(now)
	}))
	for n := range heard {
		if n.Load.Slowdown == 4 {
			break
		}
	}
	at.Close()
	from.Close()
	l.Close()
	cancel()
	serving.Wait()
}
