// Package peer is the side of a node that faces other nodes: choice of target, retries and the requests between nodes.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 90 * time.Second
	// continueTimeout exceeds the longest wait in a gate's queue, so that a body is sent only after admission.
	continueTimeout = time.Second
	maxIdle         = 32
	// bufferSize holds the head of an ordinary request or response; longer bodies pass it by. A node keeps a connection for
	// each request that it has sent at once, and at 16 KB these buffers were a tenth of its memory.
	bufferSize   = 4 << 10
	maxHeadBytes = 80 << 10
)

// UnknownError reports an instance whose address is not known.
type UnknownError struct{ Name string }

func (e UnknownError) Error() string { return fmt.Sprintf("peer: no address of instance %s", e.Name) }

// Client sends requests to other nodes; it never repeats one by itself.
type Client struct {
	// From is the name of this node, under which it gets notices; empty for none.
	From string

	http   *http.Transport
	scheme string
	now    func() time.Time
}

// NewClient returns a client; address tells where a node accepts requests of other nodes. Without cfg the connections
// are plain.
func NewClient(now func() time.Time, cfg *tls.Config, address func(name string) (string, bool)) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	scheme := "https"
	if cfg == nil {
		scheme = "http"
	}
	return &Client{now: now, scheme: scheme, http: &http.Transport{
		DialContext: func(ctx context.Context, network, hostport string) (net.Conn, error) {
			name, _, err := net.SplitHostPort(hostport)
			if err != nil {
				return nil, fmt.Errorf("peer: reading an address: %w", err)
			}
			if cfg == nil {
				name = hostport // plain nodes are named by their addresses
			}
			addr, ok := address(name)
			if !ok {
				return nil, UnknownError{Name: name}
			}
			return dialer.DialContext(ctx, network, addr)
		},
		TLSClientConfig:        cfg,
		TLSHandshakeTimeout:    dialTimeout,
		Protocols:              protocols,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		MaxIdleConnsPerHost:    maxIdle,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}}
}

// Do sends one attempt to the node of instance name; it may change the attempt's headers. Its error is an answer.Refusal.
func (c *Client) Do(name string, call target.Call) (target.Reply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out := call.Request.WithContext(httptrace.WithClientTrace(call.Request.Context(), trace))
	out.RequestURI = ""
	out.URL = &url.URL{
		Scheme: c.scheme, Host: name,
		Path: call.Request.URL.Path, RawPath: call.Request.URL.RawPath,
		RawQuery: call.Request.URL.RawQuery, ForceQuery: call.Request.URL.ForceQuery,
	}
	encode(out.Header, call, c.now())
	if c.From != "" {
		out.Header.Set(answer.HeaderSender, c.From)
	}
	target.PreventResend(out)
	res, err := c.http.RoundTrip(out)
	if err != nil {
		if cause := context.Cause(call.Request.Context()); cause != nil {
			err = cause
		}
		return target.Reply{}, refusal(err, connected.Load())
	}
	return reply(res)
}

// refusal tells whether a failed attempt can have run: without a connection no byte was sent.
func refusal(err error, connected bool) answer.Refusal {
	// The texts name no cause, since callers must not learn addresses inside the fleet.
	late := errors.Is(err, context.DeadlineExceeded)
	switch {
	case !connected && late:
		return answer.NewNotExecuted(answer.CodeLate, "the deadline passed before the target's node was connected")
	case !connected:
		return answer.NewNotExecuted(answer.CodeBusy, "no connection to the target's node")
	case late:
		return answer.NewMaybeExecuted(answer.CodeLate, "the deadline passed while the request was running")
	}
	return answer.NewMaybeExecuted(answer.CodeLost, "the connection to the target's node broke")
}

func reply(res *http.Response) (target.Reply, error) {
	r := target.Reply{}
	if load, err := target.ParseLoad(res.Header.Get(answer.HeaderLoad)); err == nil {
		r.Load, r.HasLoad = load, true
	}
	r.NodeTime = microseconds(res.Header, answer.HeaderNodeTime)
	r.Stages.QueueTime = microseconds(res.Header, answer.HeaderQueueTime)
	r.Stages.TargetTime = max(0, r.NodeTime-r.Stages.QueueTime)
	refused, ok, err := answer.ReadRefusal(res)
	if !ok {
		r.Response = res
		return r, nil
	}
	_ = res.Body.Close()
	if err != nil {
		return r, answer.NewMaybeExecuted(answer.CodeLost, fmt.Sprintf("unreadable refusal: %v", err))
	}
	return r, refused
}

// microseconds returns the time in a header, zero if there is none.
func microseconds(h http.Header, name string) time.Duration {
	us, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil || us < 0 {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.http.CloseIdleConnections() }
