package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"verbenapin.dev/node/http1"
	"verbenapin.dev/node/tcp"
)

const (
	dialTimeout = time.Second
	// idleTimeout closes an unused connection before a target with the customary 60 s keep-alive does,
	// because a request that is sent while the target closes the connection may have run and cannot be retried.
	idleTimeout = 20 * time.Second
	// continueTimeout bounds the wait for a target that ignores Expect: 100-continue.
	continueTimeout = time.Second
	maxHeadBytes    = 64 << 10
)

// SendError reports a request that got no response from the target.
type SendError struct {
	Err     error
	Wrote   bool // at least one byte was written to the target
	Refused bool // the target refused the connection
}

func (e SendError) Error() string { return fmt.Sprintf("target: no response: %v", e.Err) }

// Unwrap returns the cause.
func (e SendError) Unwrap() error { return e.Err }

// Transport sends requests to the target over reused connections and never sends one twice.
type Transport struct {
	// Dial opens a connection to the target; it must not change after the first request.
	Dial tcp.Dial

	base atomic.Pointer[url.URL]
	http http1.Transport
}

// NewTransport returns a transport to the target at base with at most conns connections.
func NewTransport(base *url.URL, conns int) *Transport {
	t := &Transport{Dial: tcp.NewDial(dialTimeout)}
	t.http = http1.NewTransport(&http.Transport{
		DisableCompression:     true,
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}, func(ctx context.Context, network, addr string) (net.Conn, error) { return t.Dial(ctx, network, addr) })
	t.base.Store(base)
	return t
}

// SetBase makes the transport send further requests to the target at another address.
func (t *Transport) SetBase(base *url.URL) {
	t.base.Store(base)
	t.http.CloseIdleConnections()
}

// RoundTrip sends one request and may modify its headers; its error is a SendError.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *http1.Conn
	var writtenBefore int64
	out := r.WithContext(r.Context())
	base := t.base.Load()
	out.URL = RequestURL(r, base.Scheme, base.Host)
	out.RequestURI = ""
	PreventResend(out)
	res, err := t.http.Send(out, func(c *http1.Conn) { conn, writtenBefore = c, c.Written() })
	if err != nil {
		wrote := conn != nil && conn.Written() != writtenBefore
		return nil, SendError{Err: err, Wrote: wrote, Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	return res, nil
}

// Close closes the connections that are not in use.
func (t *Transport) Close() { t.http.CloseIdleConnections() }

// RequestURL returns the URL for sending a received request on to a host. Its path is that of the request line: a path with a character
// that should be encoded would be encoded anew, as a different one.
func RequestURL(r *http.Request, scheme, host string) *url.URL {
	u := *r.URL
	u.Scheme, u.Host = scheme, host
	if path, _, _ := strings.Cut(r.RequestURI, "?"); strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		u.Opaque = path
	}
	return &u
}

// EmptyBody is an empty body that net/http treats as one that it cannot send again.
type EmptyBody struct{}

// Read reports the end of the body.
func (EmptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (EmptyBody) Close() error { return nil }

// PreventResend keeps net/http from sending a request again by itself after a broken connection.
// net/http does so for a request without a body, or with GetBody, if the method is safe or the request has an idempotency
// key under the canonical header name. The header is renamed to lower case, which means the same on the wire.
func PreventResend(r *http.Request) {
	r.GetBody = nil
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := r.Header[name]; ok {
			delete(r.Header, name)
			r.Header[lowercaseHeader[name]] = values
		}
	}
	if r.Body != nil && r.Body != http.NoBody {
		return
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		r.Body, r.ContentLength = EmptyBody{}, 0
	default:
		r.Body, r.ContentLength = http.NoBody, 0
	}
}

var lowercaseHeader = map[string]string{"Idempotency-Key": "idempotency-key", "X-Idempotency-Key": "x-idempotency-key"}
