package caller

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/target"
)

// testServer is a Server on loopback whose targets are replaced by a function.
type testServer struct {
	*Server
	t        *testing.T
	addr     string
	limits   config.CallerLimits
	mu       sync.Mutex
	errorLog bytes.Buffer
}

// newTestServer serves requests with handle until the test ends.
func newTestServer(t *testing.T, limits config.CallerLimits, handle func(r *http.Request) (*http.Response, error)) *testServer {
	t.Helper()
	s := &testServer{t: t, limits: limits}
	tree := config.NewTree(1, config.Fleet{CallerLimits: limits}, []config.Route{{
		Name: "read", Host: "app.example", Path: "/", Service: "app", AuthExempt: true, Idempotent: true, Deadline: time.Minute,
	}}, nil)
	send := func(call target.Call, _ config.Route, _ []string, _ func() *http.Request) ([]string, target.Reply, error) {
		res, err := handle(call.Request)
		return []string{"a"}, target.Reply{Response: res}, err
	}
	s.Server = NewServer(time.Now, func() (config.Tree, error) { return tree, nil }, nil,
		Dispatch{Send: send, AllowRetry: func(config.Route) bool { return false }}, noopEvents(), log.New(s, "", 0))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.addr = l.Addr().String()
	var serving sync.WaitGroup
	serving.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() {
		s.Close()
		serving.Wait()
	})
	return s
}

// Write records the server's error log.
func (s *testServer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.errorLog.Write(p)
}

// dial returns a connection of a caller.
func (s *testServer) dial() net.Conn {
	c, err := net.Dial("tcp", s.addr)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	return c
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: app.example\r\n\r\n" }

// text returns a response with status 200 and a body.
func text(body string) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
		Header: http.Header{"Content-Length": {fmt.Sprint(len(body))}},
	}, nil
}

// readResponse returns the status and the body of the next response.
func readResponse(t *testing.T, br *bufio.Reader) string {
	t.Helper()
	res, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return fmt.Sprint(res.StatusCode, " ", string(body))
}

// TestPipelining guards against pipelined requests that wait for the responses before them, and against responses in another
// order than the requests: no request is answered before the last one has started.
func TestPipelining(t *testing.T) {
	lastStarted := make(chan struct{})
	s := newTestServer(t, config.CallerLimits{}, func(r *http.Request) (*http.Response, error) {
		if r.URL.Path == "/5" {
			close(lastStarted)
		}
		select {
		case <-lastStarted:
			return text(r.URL.Path)
		case <-r.Context().Done():
			return nil, answer.NewMaybeExecuted(answer.CodeLost, "cancelled")
		}
	})
	c := s.dial()
	var all strings.Builder
	for n := 1; n <= 5; n++ {
		all.WriteString(get(fmt.Sprint("/", n)))
	}
	_, err := io.WriteString(c, all.String())
	require.NoError(t, err)
	br := bufio.NewReader(c)
	for n := 1; n <= 5; n++ {
		require.Equal(t, fmt.Sprint("200 /", n), readResponse(t, br))
	}
}

// TestCallerDisconnect guards against requests that keep running after their caller has closed the connection.
func TestCallerDisconnect(t *testing.T) {
	running, cancelled := make(chan struct{}, 2), make(chan struct{}, 2)
	s := newTestServer(t, config.CallerLimits{}, func(r *http.Request) (*http.Response, error) {
		running <- struct{}{}
		<-r.Context().Done()
		cancelled <- struct{}{}
		return nil, answer.NewMaybeExecuted(answer.CodeLost, "cancelled")
	})
	c := s.dial()
	_, err := io.WriteString(c, get("/1")+get("/2"))
	require.NoError(t, err)
	<-running
	<-running
	require.NoError(t, c.Close())
	<-cancelled
	<-cancelled
}

// TestBrokenBeforeTurn guards against responses that are written at the same time: a response that breaks before its turn must not pass
// the turn on while the one before it is still written.
func TestBrokenBeforeTurn(t *testing.T) {
	s := newTestServer(t, config.CallerLimits{}, func(*http.Request) (*http.Response, error) { return text("late") })
	served, other := net.Pipe()
	defer other.Close()
	c := newConn(s.Server, served)
	c.cancel()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(get("/"))))
	require.NoError(t, err)
	turn, done, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	w := newResponse(c, r, turn, done)
	require.NoError(t, c.beginRequest())
	c.takeSlot()
	go func() {
		c.handle(w, r)
		close(ended)
	}()
	require.Eventually(t, func() bool { return len(c.slots) == 0 }, 5*time.Second, time.Millisecond)
	select {
	case <-done:
		t.Fatal("the turn was passed on")
	case <-time.After(20 * time.Millisecond):
	}
	close(turn)
	<-done
	<-ended
}

// TestCallerLeavesUnread guards against requests that wait and then run although their caller has left, because nothing is read from its
// connection meanwhile.
func TestCallerLeavesUnread(t *testing.T) {
	post := func(headers string, body int) string {
		return "POST / HTTP/1.1\r\nHost: app.example\r\n" + headers + "\r\n" + strings.Repeat("x", body)
	}
	cases := map[string]struct {
		send    string
		running int
	}{
		"short body":               {post("Content-Length: 300\r\n", 300), 1},
		"long body, half sent":     {post("Content-Length: 100000\r\n", 50_000), 1},
		"long body":                {post("Content-Length: 66000\r\n", 66_000), 1},
		"chunks":                   {post("Transfer-Encoding: chunked\r\n", 0) + "11170\r\n" + strings.Repeat("x", 70_000), 1},
		"body held back":           {post("Content-Length: 300\r\nExpect: 100-continue\r\n", 0), 1},
		"as many as may run":       {strings.Repeat(get("/"), maxPipelined), maxPipelined},
		"more than may run":        {strings.Repeat(get("/"), maxPipelined+4), maxPipelined},
		"the last one has a body":  {get("/") + post("Content-Length: 100000\r\n", 0), 2},
		"body held back, then one": {get("/") + post("Content-Length: 300\r\nExpect: 100-continue\r\nConnection: close\r\n", 0), 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			running, ended := make(chan struct{}, 2*maxPipelined), make(chan bool, 2*maxPipelined)
			s := newTestServer(t, config.CallerLimits{}, func(r *http.Request) (*http.Response, error) {
				running <- struct{}{}
				select {
				case <-r.Context().Done():
					ended <- true
				case <-time.After(5 * time.Second):
					ended <- false
				}
				return nil, answer.NewNotExecuted(answer.CodeLate, "cancelled")
			})
			c := s.dial()
			_, err := io.WriteString(c, tc.send)
			require.NoError(t, err)
			for range tc.running {
				<-running
			}
			require.NoError(t, c.Close())
			for range tc.running {
				require.True(t, <-ended, "a request waited on")
			}
		})
	}
}

// TestRequests guards against requests that are handled differently from net/http.
func TestRequests(t *testing.T) {
	echo := func(r *http.Request) (*http.Response, error) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, answer.NewMaybeExecuted(answer.CodeLost, err.Error())
		}
		return text(fmt.Sprintf("%s %s %d", r.Method, body, r.ContentLength))
	}
	long := strings.Repeat("x", 100_000)
	cases := map[string]struct {
		request string
		want    []string // the responses, an empty one for the end of the connection
	}{
		"body":                {request: "POST / HTTP/1.1\r\nHost: app.example\r\nContent-Length: 3\r\n\r\nabc" + get("/"), want: []string{"200 POST abc 3", "200 GET  0"}},
		"chunked body":        {request: "POST / HTTP/1.1\r\nHost: app.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get("/"), want: []string{"200 POST abc -1", "200 GET  0"}},
		"long body":           {request: "POST / HTTP/1.1\r\nHost: app.example\r\nContent-Length: 100000\r\n\r\n" + long + get("/"), want: []string{"200 POST " + long + " 100000", "200 GET  0"}},
		"long chunked body":   {request: "POST / HTTP/1.1\r\nHost: app.example\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + long + "\r\n0\r\n\r\n" + get("/"), want: []string{"200 POST " + long + " -1", "200 GET  0"}},
		"close requested":     {request: "GET / HTTP/1.1\r\nHost: app.example\r\nConnection: close\r\n\r\n" + get("/"), want: []string{"200 GET  0", ""}},
		"HTTP/1.0":            {request: "GET / HTTP/1.0\r\nHost: app.example\r\n\r\n", want: []string{"200 GET  0", ""}},
		"no host":             {request: "GET / HTTP/1.1\r\n\r\n", want: []string{"400 ", ""}},
		"not HTTP":            {request: "hello\r\n\r\n", want: []string{"400 ", ""}},
		"invalid header":      {request: "GET / HTTP/1.1\r\nHost: app.example\r\nX-A: a\x00b\r\n\r\n", want: []string{"400 ", ""}},
		"invalid after valid": {request: get("/") + "GET / HTTP/1.1\r\n\r\n", want: []string{"200 GET  0", "400 ", ""}},
		"length and chunks":   {request: "POST / HTTP/1.1\r\nHost: app.example\r\nContent-Length: 30\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", want: []string{"200 POST abc -1"}},
		"two lengths":         {request: "POST / HTTP/1.1\r\nHost: app.example\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", want: []string{"400 ", ""}},
		"large head":          {request: "GET / HTTP/1.1\r\nHost: app.example\r\nX-A: " + strings.Repeat("a", 8*maxHeadBytes) + "\r\n\r\n", want: []string{"431 ", ""}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, config.CallerLimits{}, echo)
			c := s.dial()
			go func() { _, _ = io.WriteString(c, tc.request) }()
			br := bufio.NewReader(c)
			for _, want := range tc.want {
				if want == "" {
					// The connection may end with a reset, since the server does not read what follows a refusal.
					_, err := br.ReadByte()
					require.Error(t, err)
					continue
				}
				require.Equal(t, want, readResponse(t, br))
			}
		})
	}
}

// TestProxyMethods guards against TRACE and CONNECT reaching a target: a target that answers TRACE reveals the headers that were
// added on the way.
func TestProxyMethods(t *testing.T) {
	for _, method := range []string{http.MethodTrace, http.MethodConnect} {
		t.Run(method, func(t *testing.T) {
			s := newTestServer(t, config.CallerLimits{}, func(*http.Request) (*http.Response, error) { return text("reached a target") })
			c := s.dial()
			_, err := io.WriteString(c, method+" /read HTTP/1.1\r\nHost: app.example\r\n\r\n")
			require.NoError(t, err)
			got := readResponse(t, bufio.NewReader(c))
			require.Contains(t, got, "400 ")
			require.Contains(t, got, "is not passed on")
		})
	}
}

// TestExpectContinue guards against 100 Continue before an attempt reads the body, and against a connection that is reused although
// the body may still follow.
func TestExpectContinue(t *testing.T) {
	head := "POST /%s HTTP/1.1\r\nHost: app.example\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"
	s := newTestServer(t, config.CallerLimits{}, func(r *http.Request) (*http.Response, error) {
		if r.URL.Path == "/refuse" {
			return nil, answer.NewNotExecuted(answer.CodeBusy, "full")
		}
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		return text(string(body))
	})
	c := s.dial()
	_, _ = fmt.Fprintf(c, head, "take")
	br := bufio.NewReader(c)
	line, err := br.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
	_, err = br.ReadString('\n')
	require.NoError(t, err)
	_, _ = io.WriteString(c, "abc")
	require.Equal(t, "200 abc", readResponse(t, br))

	_, _ = fmt.Fprintf(c, head, "refuse")
	res, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	_, err = io.Copy(io.Discard, res.Body)
	require.NoError(t, err)
	_, err = br.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// TestBrokenResponse guards against a truncated response that looks complete to the caller.
func TestBrokenResponse(t *testing.T) {
	broken := io.MultiReader(strings.NewReader("half"), errReader{})
	cases := map[string]struct {
		header  http.Header
		version string
	}{
		"of known length":             {http.Header{"Content-Length": {"8"}}, "1.1"},
		"of unknown length":           {http.Header{}, "1.1"},
		"of known length, HTTP/1.0":   {http.Header{"Content-Length": {"8"}}, "1.0"},
		"of unknown length, HTTP/1.0": {http.Header{}, "1.0"},
	}
	for name, tc := range cases {
		h := tc.header
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, config.CallerLimits{}, func(*http.Request) (*http.Response, error) {
				length := int64(-1)
				if len(h) > 0 {
					length = 8
				}
				return &http.Response{StatusCode: 200, ContentLength: length, Header: h.Clone(), Body: io.NopCloser(broken)}, nil
			})
			c := s.dial()
			_, _ = io.WriteString(c, strings.Replace(get("/"), "HTTP/1.1", "HTTP/"+tc.version, 1))
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if tc.version == "1.1" {
				require.NoError(t, err)
			}
			if err == nil {
				_, err = io.ReadAll(res.Body)
			}
			require.Error(t, err)
		})
	}
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestLeaving guards against pipelined requests that are read and not answered when a leaving node asks callers to close.
func TestLeaving(t *testing.T) {
	second := make(chan struct{})
	s := newTestServer(t, config.CallerLimits{}, func(r *http.Request) (*http.Response, error) {
		if r.URL.Path == "/2" {
			close(second)
		}
		<-second
		return text(r.URL.Path)
	})
	s.Leave()
	c := s.dial()
	_, _ = io.WriteString(c, get("/1")+get("/2"))
	br := bufio.NewReader(c)
	for n := 1; n <= 2; n++ {
		res, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, res.Body)
		require.Equal(t, n == 2, res.Close, "response %d", n)
	}
	_, err := br.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// TestShutdown guards against a shutdown that aborts a running request, waits for an idle connection, or still accepts connections.
func TestShutdown(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	s := newTestServer(t, config.CallerLimits{}, func(r *http.Request) (*http.Response, error) {
		close(running)
		<-finish
		return text("done")
	})
	idle, busy := s.dial(), s.dial()
	_, _ = io.WriteString(busy, get("/"))
	<-running
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	_, err := bufio.NewReader(idle).ReadByte()
	require.ErrorIs(t, err, io.EOF)
	select {
	case <-ended:
		require.Fail(t, "the shutdown did not wait")
	default:
	}
	close(finish)
	require.Equal(t, "200 done", readResponse(t, bufio.NewReader(busy)))
	require.NoError(t, <-ended)
	_, err = net.Dial("tcp", s.addr)
	require.Error(t, err)
}

// TestConnTimeouts guards against callers that hold a connection without a request or with an incomplete one.
func TestConnTimeouts(t *testing.T) {
	const short = 30 * time.Millisecond
	cases := map[string]struct {
		limits config.CallerLimits
		send   string
		want   string
	}{
		"idle":      {limits: config.CallerLimits{IdleTimeout: short}},
		"half head": {limits: config.CallerLimits{IdleTimeout: time.Minute, HeadTimeout: short}, send: "GET / HTTP/1.1\r\nHost: a"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, tc.limits, func(*http.Request) (*http.Response, error) { return text("") })
			c := s.dial()
			_, _ = io.WriteString(c, tc.send)
			got, err := io.ReadAll(c)
			require.NoError(t, err)
			require.Equal(t, tc.want, string(got))
		})
	}
}

// TestHTTP2 guards against refusing callers that use HTTP/2 without TLS.
func TestHTTP2(t *testing.T) {
	s := newTestServer(t, config.CallerLimits{}, func(r *http.Request) (*http.Response, error) { return text(r.URL.Path) })
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	for range 2 {
		r, err := http.NewRequest(http.MethodGet, "http://"+s.addr+"/x", nil)
		require.NoError(t, err)
		r.Host = "app.example"
		res, err := transport.RoundTrip(r)
		require.NoError(t, err)
		body, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		_ = res.Body.Close()
		require.Equal(t, 2, res.ProtoMajor)
		require.Equal(t, "/x", string(body))
	}
}

// TestHTTP2Shutdown guards against a graceful shutdown that cuts off the requests of HTTP/2 connections.
func TestHTTP2Shutdown(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	s := newTestServer(t, config.CallerLimits{}, func(r *http.Request) (*http.Response, error) {
		close(running)
		select {
		case <-finish:
			return text("done")
		case <-r.Context().Done():
			return nil, answer.NewMaybeExecuted(answer.CodeLost, "cancelled")
		}
	})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	got := make(chan string, 1)
	go func() {
		r, _ := http.NewRequest(http.MethodGet, "http://"+s.addr+"/x", nil)
		r.Host = "app.example"
		res, err := transport.RoundTrip(r)
		if err != nil {
			got <- err.Error()
			return
		}
		body, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		got <- string(body)
	}()
	<-running
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool { return s.isClosed() }, 5*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond) // for a cancellation to arrive
	close(finish)
	require.Equal(t, "done", <-got)
	require.NoError(t, <-ended)
}

// TestRequestDuringShutdown guards against a request that is taken from a connection in use while the node stops: at the end of the
// grace period it would be cut off.
func TestRequestDuringShutdown(t *testing.T) {
	running, finished, late := make(chan struct{}), make(chan struct{}), make(chan struct{}, 1)
	finish := sync.OnceFunc(func() { close(finished) })
	s := newTestServer(t, config.CallerLimits{}, func(r *http.Request) (*http.Response, error) {
		if r.URL.Path == "/late" {
			late <- struct{}{}
			return text("late")
		}
		close(running)
		<-finished
		return text("done")
	})
	t.Cleanup(finish)
	c := s.dial()
	_, _ = io.WriteString(c, get("/first"))
	<-running
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	require.Eventually(t, s.conns.all()[0].isClosing, 5*time.Second, time.Millisecond)
	_, _ = io.WriteString(c, get("/late"))
	select {
	case <-late:
		require.Fail(t, "the request was taken")
	case <-time.After(50 * time.Millisecond): // for the request to be read
	}
	finish()
	br := bufio.NewReader(c)
	res, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, "done", string(body))
	require.True(t, res.Close, "the caller must know that the next request was not read")
	_, err = br.ReadByte()
	require.Error(t, err)
	require.NoError(t, <-ended)
	require.Empty(t, late)
}
