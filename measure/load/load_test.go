package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"verbenapin.dev/measure/history"
	"verbenapin.dev/measure/upstream"
	"verbenapin.dev/node/answer"
)

// TestMain fails if a request outlives its run.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestVerify guards against a caller that accepts a truncated or altered response, or the response to another request.
func TestVerify(t *testing.T) {
	settings := upstream.DefaultSettings("t1")
	settings.ServiceTime = time.Microsecond
	target := upstream.New(settings)
	defer target.Close()
	addr, err := target.Listen("127.0.0.1:0")
	require.NoError(t, err)
	forward := func(change func(http.ResponseWriter, *http.Response)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			out, _ := http.NewRequest(r.Method, "http://"+addr+r.URL.RequestURI(), r.Body)
			out.Header, out.ContentLength = r.Header, r.ContentLength
			res, err := http.DefaultTransport.RoundTrip(out)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			defer res.Body.Close()
			for n, v := range res.Header {
				w.Header()[n] = v
			}
			change(w, res)
		}
	}
	cases := map[string]struct {
		handler http.HandlerFunc
		want    history.Outcome
		crossed bool
	}{
		"whole": {handler: forward(func(w http.ResponseWriter, res *http.Response) { _, _ = io.Copy(w, res.Body) }), want: history.Answered},
		"cut": {handler: forward(func(w http.ResponseWriter, res *http.Response) {
			_, _ = io.CopyN(w, res.Body, 100)
			panic(http.ErrAbortHandler)
		}), want: history.Broken},
		"cut, but ended cleanly": {handler: forward(func(w http.ResponseWriter, res *http.Response) {
			w.Header().Del("Content-Length")
			_, _ = io.CopyN(w, res.Body, 100)
		}), want: history.Broken},
		"other content": {handler: forward(func(w http.ResponseWriter, res *http.Response) {
			_, _ = w.Write(make([]byte, res.ContentLength))
		}), want: history.Broken},
		"other request": {handler: forward(func(w http.ResponseWriter, res *http.Response) {
			w.Header().Set(upstream.HeaderID, "other")
			_, _ = io.Copy(w, res.Body)
		}), want: history.Answered, crossed: true},
		"not run": {handler: func(w http.ResponseWriter, _ *http.Request) {
			answer.WriteRefusal(w, answer.NewNotExecuted(answer.CodeBusy, ""), "")
		}, want: history.NotRun},
		"maybe run": {handler: func(w http.ResponseWriter, _ *http.Request) {
			answer.WriteRefusal(w, answer.NewMaybeExecuted(answer.CodeLost, ""), "")
		}, want: history.MaybeRun},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			defer http.DefaultClient.CloseIdleConnections()
			s := httptest.NewServer(tc.handler)
			defer s.Close()
			c := NewCaller(10 * time.Second)
			defer c.Close()
			r := Request{ID: "1", Method: "POST", Path: "/x?bytes=1000", Body: "check-in"}
			call := c.Do(context.Background(), s.Listener.Addr().String(), r, time.Now()).Call()
			require.Equal(t, tc.want, call.Outcome)
			require.Equal(t, tc.crossed, call.AnswerID == "other")
		})
	}
}

// TestRun guards against arrivals that wait for responses. The server answers no request before a number of them has arrived.
func TestRun(t *testing.T) {
	const concurrent = 20
	var arrived atomic.Int64
	allArrived := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if arrived.Add(1) == concurrent {
			close(allArrived)
		}
		<-allArrived
		answer.WriteRefusal(w, answer.NewNotExecuted(answer.CodeBusy, ""), "")
	}))
	defer s.Close()
	c := NewCaller(20 * time.Second)
	defer c.Close()
	r := c.Run(context.Background(), Plan{Duration: 500 * time.Millisecond, Seed: 1, Sources: []Source{{
		Rate: 200, Entries: []string{s.Listener.Addr().String()}, Next: func(int) Request { return Request{Method: "GET", Path: "/", Account: "a"} },
	}}})
	require.GreaterOrEqual(t, len(r.Responses()), concurrent)
	require.Zero(t, r.Skipped())
	require.Equal(t, 1.0, r.Account("a").Fraction(func(resp Response) bool { return resp.Code == "busy" }))
}

// TestNoTransportRetry guards against a transport that retries a request on its own: the server breaks a reused
// connection without a response.
func TestNoTransportRetry(t *testing.T) {
	var arrived atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if arrived.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		answer.WriteRefusal(w, answer.NewNotExecuted(answer.CodeBusy, ""), "")
	}))
	defer s.Close()
	c := NewCaller(10 * time.Second)
	defer c.Close()
	for range 2 {
		c.Do(context.Background(), s.Listener.Addr().String(), Request{Method: "GET", Path: "/"}, time.Now())
	}
	require.Equal(t, int64(2), arrived.Load())
}

// TestEntry guards against requests that spread over all entries although the source rotates between them.
func TestEntry(t *testing.T) {
	s := Source{Entries: []string{"x", "y"}, RotateEvery: time.Second}
	cases := map[string]struct {
		elapsed time.Duration
		want    string
	}{
		"at the start":      {want: "x"},
		"before the hop":    {elapsed: 999 * time.Millisecond, want: "x"},
		"after the hop":     {elapsed: time.Second, want: "y"},
		"back at the first": {elapsed: 2500 * time.Millisecond, want: "x"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, s.entry(tc.elapsed, nil)) })
	}
}
