package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/http1"
	"verbenapin.dev/node/target"
	"verbenapin.dev/node/tcp"
)

const (
	dialTimeout = 500 * time.Millisecond
	// connectDivisor is the part of the time left that an attempt may wait for a connection, so that another target can still answer
	// while a machine is cut off. minConnectTime leaves a connection time to be established between distant nodes.
	connectDivisor = 4
	minConnectTime = 50 * time.Millisecond
	idleTimeout    = 90 * time.Second
	// continueTimeout exceeds the longest wait in a gate's queue, so that a body is sent only after admission.
	continueTimeout = time.Second
	// minHeldBody is the size in bytes from which the body of a request waits for admission. Sent along, the body of a request that the
	// gate refuses occupies the links of both nodes: 60 KB take 44 ms at 11 Mbit/s. Waiting costs a round trip.
	minHeldBody  = 8 << 10
	maxIdleConns = 32 // to one node
	// noRoomRetryAfter is the retry delay of a request for which there is no connection; most requests end within it.
	noRoomRetryAfter = 500 * time.Millisecond
	// bufferSize holds the head of an ordinary request or response; large body reads and writes bypass the buffer. A node has
	// a connection for each concurrent request, and buffers of 16 KB used a tenth of its memory.
	bufferSize     = 4 << 10
	maxHeaderBytes = 80 << 10
)

// AddressError reports an instance whose address is not known.
type AddressError struct{ Name string }

func (e AddressError) Error() string { return fmt.Sprintf("peer: no address of instance %s", e.Name) }

// Client sends requests to other nodes; it never resends one by itself.
type Client struct {
	// SenderName is the name of this node, to which other nodes send load reports; empty for none.
	SenderName string
	// Dial opens a connection to another node; it must not change after the first request.
	Dial tcp.Dial

	http   http1.Transport
	scheme string
	now    func() time.Time
}

// NewClient returns a client; address returns the address where a node accepts requests of other nodes. If cfg is nil, the
// connections use no TLS.
func NewClient(now func() time.Time, cfg *tls.Config, address func(name string) (string, bool)) *Client {
	scheme := "https"
	if cfg == nil {
		scheme = "http"
	}
	c := &Client{Dial: tcp.NewDial(dialTimeout), now: now, scheme: scheme}
	dial := func(ctx context.Context, network, hostport string) (net.Conn, error) {
		name, _, err := net.SplitHostPort(hostport)
		if err != nil {
			return nil, fmt.Errorf("peer: reading an address: %w", err)
		}
		if cfg == nil {
			name = hostport // without TLS, nodes are named by their addresses
		}
		addr, ok := address(name)
		if !ok {
			return nil, AddressError{Name: name}
		}
		return c.Dial(ctx, network, addr)
	}
	c.http = http1.NewTransport(&http.Transport{
		TLSClientConfig:        cfg,
		TLSHandshakeTimeout:    dialTimeout,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		MaxIdleConnsPerHost:    maxIdleConns,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}, dial)
	return c
}

// SetMaxIdle sets how many connections without a request may stay open, to all nodes together; it must be called before Do.
func (c *Client) SetMaxIdle(n int) { c.http.MaxIdleConns = n }

// Do sends one attempt to the node with the given name; it may change the headers of the request. Its error is an
// answer.Refusal.
func (c *Client) Do(name string, call target.Call) (target.Reply, error) {
	var connected atomic.Bool
	// The context ends with that of the attempt; it is cancelled earlier only while there is no connection.
	ctx, cancel := context.WithCancelCause(call.Request.Context())
	timer := time.AfterFunc(connectTimeout(call.Deadline.Sub(c.now())), func() {
		if !connected.Load() {
			cancel(ConnectTimeoutError{Name: name})
		}
	})
	defer timer.Stop()
	out := call.Request.WithContext(ctx)
	out.RequestURI = ""
	out.URL = target.RequestURL(call.Request, c.scheme, name)
	encodeCall(out.Header, call, c.now())
	if c.SenderName != "" {
		out.Header.Set(answer.HeaderSender, c.SenderName)
	}
	if out.ContentLength >= minHeldBody {
		out.Header.Set("Expect", "100-continue")
	}
	target.PreventResend(out)
	res, err := c.http.Send(out, func(*http1.Conn) { connected.Store(true) })
	if err != nil {
		if cause := context.Cause(call.Request.Context()); cause != nil {
			err = cause
		}
		var full tcp.FullError
		if errors.As(err, &full) {
			return target.Reply{}, NoRoomError{Err: full}
		}
		return target.Reply{}, refusalFor(err, connected.Load())
	}
	return decodeReply(res)
}

// ConnectTimeoutError is the cause of the cancellation of an attempt that got no connection in time.
type ConnectTimeoutError struct{ Name string }

func (e ConnectTimeoutError) Error() string { return "peer: no connection in time to " + e.Name }

// connectTimeout returns how long an attempt with the given time left may wait for a connection.
func connectTimeout(left time.Duration) time.Duration {
	return min(max(left/connectDivisor, minConnectTime), dialTimeout)
}

// NoRoomError reports an attempt that was not sent, because this node has no room for another connection. It says nothing about the
// target.
type NoRoomError struct{ Err error }

func (e NoRoomError) Error() string { return "peer: no room for a connection: " + e.Err.Error() }

// Unwrap returns the refusal of the attempt.
func (e NoRoomError) Unwrap() error {
	return answer.NewNotExecuted(answer.CodeBusy, "the node has no room for more connections to other nodes").WithRetryAfter(noRoomRetryAfter)
}

// refusalFor returns a refusal that states whether a failed attempt may have run: without a connection no byte was sent.
func refusalFor(err error, connected bool) answer.Refusal {
	// The texts leave out err, since callers must not see addresses inside the fleet.
	deadlinePassed := errors.Is(err, context.DeadlineExceeded)
	var head http1.HeadError
	switch {
	case errors.As(err, &head):
		return answer.NewMaybeExecuted(answer.CodeLost, "the target's node sent a response with a malformed head: "+head.Reason)
	case !connected && deadlinePassed:
		return answer.NewNotExecuted(answer.CodeLate, "the deadline passed before the target's node was connected")
	case !connected:
		return answer.NewNotExecuted(answer.CodeBusy, "no connection to the target's node")
	case deadlinePassed:
		return answer.NewMaybeExecuted(answer.CodeLate, "the deadline passed while the request was running")
	}
	return answer.NewMaybeExecuted(answer.CodeLost, "the connection to the target's node broke")
}

// decodeReply returns the reply to an attempt, or the refusal that the other node sent as its error.
func decodeReply(res *http.Response) (target.Reply, error) {
	r := target.Reply{}
	if load, err := target.ParseLoad(res.Header.Get(answer.HeaderLoad)); err == nil {
		r.Load, r.HasLoad = load, true
	}
	r.NodeTime = parseMicroseconds(res.Header, answer.HeaderNodeTime)
	r.Timings.QueueTime = parseMicroseconds(res.Header, answer.HeaderQueueTime)
	r.Timings.TargetTime = max(0, r.NodeTime-r.Timings.QueueTime)
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

// parseMicroseconds returns the time in a header, zero if it is missing or invalid.
func parseMicroseconds(h http.Header, name string) time.Duration {
	us, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil || us < 0 {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
