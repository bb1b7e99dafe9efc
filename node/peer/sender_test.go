package peer

import (
	"bytes"
	"crypto/tls"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

// TestSenderGone guards against requests that wait for admission, and then run, although the node that sent them has closed the
// connection: net/http does not notice that before the body has been read.
func TestSenderGone(t *testing.T) {
	donor := httptest.NewTLSServer(http.NotFoundHandler())
	certificates := donor.TLS.Certificates
	donor.Close()
	cases := map[string]struct {
		length  int // of the body, -1 for chunks
		sent    int // bytes of the body
		expects bool
		read    bool // the body is read before the sender leaves
		tls     bool
	}{
		"no body":                    {},
		"short body":                 {length: 300, sent: 300},
		"short body, read":           {length: 300, sent: 300, read: true},
		"short body, half sent":      {length: 300, sent: 150},
		"larger than the buffers":    {length: minHeldBody - 1, sent: minHeldBody - 1},
		"held back":                  {length: 60_000, expects: true},
		"chunks":                     {length: -1, sent: 300},
		"chunks, held back":          {length: -1, expects: true},
		"short body over TLS":        {length: 300, sent: 300, tls: true},
		"held back, over TLS":        {length: 60_000, expects: true, tls: true},
		"half sent, over TLS":        {length: 300, sent: 150, tls: true},
		"short body, read, over TLS": {length: 300, sent: 300, read: true, tls: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var cfg *tls.Config
			if tc.tls {
				cfg = &tls.Config{Certificates: certificates, NextProtos: []string{"http/1.1"}}
			}
			waiting, gone := make(chan struct{}), make(chan bool, 1)
			s := NewServer(time.Now, cfg, func(call target.Call) (target.Reply, error) {
				if tc.read {
					_, _ = io.Copy(io.Discard, call.Request.Body)
				}
				close(waiting)
				select {
				case <-call.Request.Context().Done():
					gone <- true
				case <-time.After(5 * time.Second):
					gone <- false
				}
				return target.Reply{}, answer.NewNotExecuted(answer.CodeLate, "the caller has gone")
			}, func() target.Load { return target.Load{} }, log.New(io.Discard, "", 0))
			c := dialServer(t, s)
			if tc.tls {
				c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
			}
			_, err := c.Write(requestBytes(t, tc.length, tc.sent, tc.expects))
			require.NoError(t, err)
			<-waiting
			require.NoError(t, c.Close())
			require.True(t, <-gone, "the request waited on")
		})
	}
}

// requestBytes returns a request as another node sends it, with the first bytes of its body.
func requestBytes(t *testing.T, length, sent int, expects bool) []byte {
	r := httptest.NewRequest(http.MethodPost, "http://app.example/upload", strings.NewReader(strings.Repeat("x", max(length, 0))))
	encodeCall(r.Header, target.Call{Request: r, Route: "upload", Deadline: time.Now().Add(time.Minute), MaxWait: -1}, time.Now())
	r.ContentLength = int64(length)
	switch {
	case length < 0:
		r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", sent)))
	case length == 0:
		r.Body = http.NoBody
	}
	if expects {
		r.Header.Set("Expect", "100-continue")
	}
	var out bytes.Buffer
	require.NoError(t, r.Write(&out))
	if length < 0 {
		return bytes.TrimSuffix(out.Bytes(), []byte("0\r\n\r\n"))
	}
	return out.Bytes()[:out.Len()-length+sent]
}
