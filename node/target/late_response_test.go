package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
)

// TestLateSecondResponse guards against a caller that gets the response to an earlier request: a target sends a second copy of a
// response, late, on a connection that is in use again.
func TestLateSecondResponse(t *testing.T) {
	cases := map[string]struct {
		idle bool // the copy arrives while the connection is idle
	}{
		"while the next request runs":  {},
		"while the connection is idle": {idle: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			copied := make(chan struct{}, 1)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go serveTwice(c, tc.idle, copied)
				}
			}()
			transport := NewTransport(&url.URL{Scheme: "http", Host: l.Addr().String()}, 4)
			defer transport.Close()
			f := newTestForwarder(transport)
			f.Dialect.EchoRequestID = true
			send := func(id string) (string, error) {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://service/", nil)
				require.NoError(t, err)
				req.Header.Set(f.Dialect.RequestIDHeader, id)
				reply, err := f.Do(Call{Request: req, Route: "r", Deadline: time.Now().Add(5 * time.Second)})
				if err != nil {
					return "", err
				}
				defer reply.Response.Body.Close()
				body, err := io.ReadAll(reply.Response.Body)
				return string(body), err
			}
			got, err := send("one")
			require.NoError(t, err)
			require.Equal(t, "one", got)
			if tc.idle {
				<-copied
				time.Sleep(20 * time.Millisecond) // for the copy to arrive
			}
			got, err = send("two")
			if tc.idle {
				require.NoError(t, err)
				require.Equal(t, "two", got)
			} else {
				var refused answer.Refusal
				require.ErrorAs(t, err, &refused)
				require.Equal(t, answer.MaybeExecuted, refused.Execution, "the target ran the request")
			}
			got, err = send("three")
			require.NoError(t, err)
			require.Equal(t, "three", got, "the connection is used again")
		})
	}
}

// newTestForwarder returns a forwarder that admits every attempt on the route r.
func newTestForwarder(t *Transport) *Forwarder {
	return NewForwarder(time.Now, func() (config.Tree, error) {
		return config.NewTree(1, config.Fleet{}, []config.Route{{Name: "r", AuthExempt: true}}, nil), nil
	}, func(context.Context, AdmissionRequest) (func(Outcome), error) { return func(Outcome) {}, nil },
		func() Load { return Load{} }, t.RoundTrip)
}

// serveTwice answers each request with its id, and the first one a second time: before the answer to the second request, or while
// the connection is idle.
func serveTwice(c net.Conn, idle bool, copied chan<- struct{}) {
	defer c.Close()
	r := bufio.NewReader(c)
	first := ""
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get(answer.DefaultDialect().RequestIDHeader)
		res := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", answer.DefaultDialect().RequestIDHeader, id, len(id), id)
		if n == 2 && !idle {
			res = first + res
		}
		first = res
		if _, err := io.WriteString(c, res); err != nil {
			return
		}
		if n == 1 && idle && id == "one" {
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(c, first)
			copied <- struct{}{}
		}
	}
}

// TestRepeatedRefusal guards against a request that counts as not run, and so runs again elsewhere, because a target wrote the refusal
// of an earlier request once more on a connection that is in use again, and against a connection that stays in use although its
// responses are off by one.
func TestRepeatedRefusal(t *testing.T) {
	cases := map[string]string{
		"not executed":      "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n%sContent-Length: 0\r\n\r\n",
		"of another target": "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n",
	}
	for name, refusal := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go repeatRefusal(c, refusal)
				}
			}()
			transport := NewTransport(&url.URL{Scheme: "http", Host: l.Addr().String()}, 1)
			defer transport.Close()
			f := newTestForwarder(transport)
			f.Dialect.EchoRequestID, f.Dialect.TargetHeader = true, "X-For"
			f.Dialect.NotExecuted = func(res *http.Response) bool { return res.Header.Get("X-Not-Run") != "" }
			send := func(id string) (string, error) {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://service/", nil)
				require.NoError(t, err)
				req.Header.Set(f.Dialect.RequestIDHeader, id)
				reply, err := f.Do(Call{Request: req, Route: "r", TargetName: "i", Deadline: time.Now().Add(5 * time.Second)})
				if err != nil {
					return "", err
				}
				defer reply.Response.Body.Close()
				body, err := io.ReadAll(reply.Response.Body)
				return string(body), err
			}
			var refused answer.Refusal
			_, err = send("refused")
			require.ErrorAs(t, err, &refused)
			require.Equal(t, answer.NotExecuted, refused.Execution)
			_, err = send("run")
			require.ErrorAs(t, err, &refused)
			require.Equal(t, answer.MaybeExecuted, refused.Execution, "the target ran the request")
			got, err := send("next")
			require.NoError(t, err)
			require.Equal(t, "next", got)
		})
	}
}

// repeatRefusal refuses the request with the id refused, writes that refusal again before the response to the next request on the
// connection, and answers all others with their ids.
func repeatRefusal(c net.Conn, refusal string) {
	defer c.Close()
	r, again := bufio.NewReader(c), ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		name := answer.DefaultDialect().RequestIDHeader
		id := req.Header.Get(name)
		if id == "refused" {
			again = fmt.Sprintf(refusal, name+": "+id+"\r\n")
			_, _ = io.WriteString(c, again)
			continue
		}
		_, _ = io.WriteString(c, again)
		time.Sleep(10 * time.Millisecond) // the response follows while the next request may be on its way
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", name, id, len(id), id); err != nil {
			return
		}
		again = ""
	}
}
