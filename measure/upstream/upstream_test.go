package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// TestMain fails if requests or connections outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestState guards against a simulated target that withstands more than a real one: in cold starts, in overload and with each fault.
func TestState(t *testing.T) {
	start := time.Unix(100, 0)
	settings := Settings{Slots: 10, ServiceTime: time.Millisecond, ColdStart: 10 * time.Second}
	cases := map[string]struct {
		state    State
		after    time.Duration
		arrivals int
		status   int
		excess   int
		took     time.Duration
		capacity int // after the arrivals
	}{
		"warm":               {state: NewState(settings), arrivals: 10, status: 200, took: time.Millisecond, capacity: 10},
		"beyond its slots":   {state: NewState(settings), arrivals: 15, status: 200, excess: 5, took: 1500 * time.Microsecond, capacity: 10},
		"far beyond":         {state: NewState(settings), arrivals: 31, status: 503, excess: 21, capacity: 10},
		"cold, within":       {state: NewState(settings).WithCold(start), after: 5 * time.Second, arrivals: 5, status: 200, took: time.Millisecond, capacity: 5},
		"cold, falls over":   {state: NewState(settings).WithCold(start), after: 5 * time.Second, arrivals: 6, status: 503, excess: 1, capacity: 1},
		"cold start is over": {state: NewState(settings).WithCold(start), after: 10 * time.Second, arrivals: 10, status: 200, took: time.Millisecond, capacity: 10},
		"slow":               {state: NewState(settings).WithFault(Fault{Slow: 4}), arrivals: 1, status: 200, took: 4 * time.Millisecond, capacity: 10},
		"fails":              {state: NewState(settings).WithFault(Fault{Fail: true}), arrivals: 1, status: 500, capacity: 10},
		"sheds":              {state: NewState(settings).WithFault(Fault{Shed: true}), arrivals: 1, status: 503, capacity: 10},
		"drains":             {state: NewState(settings).WithFault(Fault{Drain: true}), arrivals: 1, status: 503, capacity: 10},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := tc.state, start.Add(tc.after)
			var v Verdict
			for range tc.arrivals {
				s, v = s.WithArrival(now, 1)
			}
			require.Equal(t, tc.status, v.Status)
			require.Equal(t, tc.excess, v.Excess())
			require.Equal(t, tc.took, v.ServiceTime)
			require.Equal(t, tc.capacity, s.Capacity(now))
			for range tc.arrivals {
				s = s.WithDone()
			}
			require.Zero(t, s.running)
		})
	}
}

// TestServe guards against responses that ignore the query parameters, and against requests, keys and headers that are not recorded.
func TestServe(t *testing.T) {
	settings := DefaultSettings("t1")
	settings.ServiceTime, settings.ProbeTime = time.Microsecond, time.Microsecond
	s := New(settings)
	defer s.Close()
	defer http.DefaultClient.CloseIdleConnections()
	addr, err := s.Listen("127.0.0.1:0")
	require.NoError(t, err)
	admin, err := s.ListenAdmin("127.0.0.1:0")
	require.NoError(t, err)
	cases := map[string]struct {
		method, path, body string
		header             http.Header
		size               int64
		early, trailer     bool
	}{
		"read":        {method: "GET", path: "/x", size: 16},
		"HEAD":        {method: "HEAD", path: "/x?bytes=1000"},
		"write":       {method: "POST", path: "/x", body: "check-in", size: 16},
		"archive":     {method: "GET", path: "/x?bytes=3000000", size: 3_000_000},
		"chunked":     {method: "GET", path: "/x?bytes=100000&trailer=1", size: 100_000, trailer: true},
		"early hints": {method: "GET", path: "/x?early=1", size: 16, early: true},
		"leaked key":  {method: "GET", path: "/x", header: http.Header{"X-Other": {KeyPrefix + "anna-1"}, "Verbenapin-Key": {"1"}}, size: 16},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(tc.method, "http://"+addr+tc.path, strings.NewReader(tc.body))
			require.NoError(t, err)
			for n, v := range tc.header {
				req.Header[n] = v
			}
			req.Header.Set(HeaderID, "7")
			early := false
			req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
				Got1xxResponse: func(int, textproto.MIMEHeader) error {
					early = true
					return nil
				},
			}))
			res, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			defer res.Body.Close()
			sum := sha256.New()
			n, err := io.Copy(sum, res.Body)
			require.NoError(t, err)
			require.Equal(t, tc.size, n)
			require.Equal(t, tc.early, early)
			require.Equal(t, tc.trailer, res.Trailer.Get("X-Digest") != "")
			require.Equal(t, "7", res.Header.Get(HeaderID))
			if n > 16 {
				require.Equal(t, Digest("7", n), hex.EncodeToString(sum.Sum(nil)))
			}
		})
	}
	_, err = http.Get("http://" + addr + "/probe")
	require.NoError(t, err)
	res, err := http.Get("http://" + admin + "/state")
	require.NoError(t, err)
	defer res.Body.Close()
	var st Stats
	require.NoError(t, json.NewDecoder(res.Body).Decode(&st))
	require.Equal(t, len(cases), st.Executed)
	require.Len(t, s.Executions(), len(cases))
	require.Equal(t, 1, st.RequestsWithKey)
	require.Equal(t, 1, st.RequestsWithInternalHeader)
	require.Equal(t, 1, st.Probes)
	require.Positive(t, st.ProbeTime)
	require.True(t, st.Headers["X-Other"])
}

// TestMaxConns guards against a target that accepts connections beyond its limit.
func TestMaxConns(t *testing.T) {
	settings := DefaultSettings("t1")
	settings.MaxConns = 2
	s := New(settings)
	defer s.Close()
	addr, err := s.Listen("127.0.0.1:0")
	require.NoError(t, err)
	var conns []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer c.Close()
		conns = append(conns, c)
	}
	_, err = conns[2].Read(make([]byte, 1))
	require.Error(t, err)
	require.Equal(t, 1, s.Stats().RejectedConns)
	require.NoError(t, conns[0].Close())
	require.Eventually(t, func() bool { return s.Stats().Conns == 1 }, 10*time.Second, time.Millisecond)
}

// TestCloseBusy guards against a listener that stays open when the machine is so busy that the loop takes longer than closeTimeout to
// answer: the next start of the target then failed with "address already in use".
func TestCloseBusy(t *testing.T) {
	s := New(Settings{Name: "a1", Slots: 1})
	addr, err := s.Listen("127.0.0.1:0")
	require.NoError(t, err)
	busy := make(chan struct{})
	go func() { _ = s.loop.Post(t.Context(), func(time.Time) { close(busy); time.Sleep(2 * closeTimeout) }) }()
	<-busy
	s.Close()
	l, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	_ = l.Close()
}
