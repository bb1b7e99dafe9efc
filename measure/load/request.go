// Package load sends requests at a rate that doesn't depend on the responses, and verifies each response.
package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"verbenapin.dev/measure/history"
	"verbenapin.dev/measure/upstream"
	"verbenapin.dev/node/http1"
	"verbenapin.dev/node/tcp"
)

// maxRefusalBody bounds the bytes of a refusal's body.
const maxRefusalBody = 4096

// Request describes one request to the fleet.
type Request struct {
	ID         string
	Account    string
	Key        string
	Method     string
	Host       string
	Path       string // with query
	Body       string
	Idempotent bool
}

// archiveOptions returns the size of the requested archive, or zero, and whether its digest is requested as a trailer.
func (r Request) archiveOptions() (int64, bool) {
	_, query, _ := strings.Cut(r.Path, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		return 0, false
	}
	n, _ := strconv.ParseInt(values.Get("bytes"), 10, 64)
	return n, values.Has("trailer")
}

// Response records the outcome of a request and its times.
type Response struct {
	Request      Request
	Entry        string    // address to which the request was sent
	Intended     time.Time // arrival time in the plan
	Started      time.Time
	Ended        time.Time
	Status       int
	Code         string // code of the refusal
	Execution    string // Verbenapin-Run header of a refusal: whether the request was executed
	RetryAfterMs int64  // milliseconds until a retry is useful
	Target       string // name of the target that answered
	AnswerID     string // ID of the request that the response belongs to
	Size         int64
	Early        bool // a 103 response came first
	Err          error
}

// Latency is measured from the intended start, so that it includes delays of the generator and the fleet.
func (r Response) Latency() time.Duration { return r.Ended.Sub(r.Intended) }

// OK reports whether a target answered the request successfully and the response is complete.
func (r Response) OK() bool { return r.Err == nil && r.Code == "" && r.Status < 400 }

// Call returns the response as an element of a history.
func (r Response) Call() history.Call {
	c := history.Call{
		ID: r.Request.ID, Account: r.Request.Account, Idempotent: r.Request.Idempotent, AnswerID: r.AnswerID, Started: r.Started, Limited: r.Code == "rate",
	}
	switch {
	case r.Err != nil:
		c.Outcome = history.Broken
	case r.Execution == "no":
		c.Outcome = history.NotRun
	case r.Execution != "":
		c.Outcome = history.MaybeRun
	case r.Status >= 400:
		// An error of the target, which records only the requests that it serves.
		c.Outcome = history.MaybeRun
	default:
		c.Outcome = history.Answered
	}
	return c
}

// Caller is a client that sends requests to nodes and verifies the responses.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller that aborts a request after the timeout.
func NewCaller(timeout time.Duration) Caller {
	return Caller{client: &http.Client{
		Timeout: timeout,
		Transport: http1.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: 512, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		}, tcp.NewDial(2*time.Second)),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes the idle connections.
func (c Caller) Close() { c.client.CloseIdleConnections() }

// Do sends a request to the entry address and verifies its response.
func (c Caller) Do(ctx context.Context, entry string, r Request, intended time.Time) Response {
	resp := Response{Request: r, Entry: entry, Intended: intended}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
		resp.Early = resp.Early || code == http.StatusEarlyHints
		return nil
	}})
	// The body has no GetBody, so that the transport cannot retry the request on its own.
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+entry+r.Path, io.NopCloser(strings.NewReader(r.Body)))
	if err != nil {
		resp.Started, resp.Ended, resp.Err = time.Now(), time.Now(), fmt.Errorf("load: building a request: %w", err)
		return resp
	}
	req.ContentLength = int64(len(r.Body))
	if r.Host != "" {
		req.Host = r.Host
	}
	req.Header.Set(upstream.HeaderID, r.ID)
	if r.Key != "" {
		req.Header.Set("X-Api-Key", r.Key)
	}
	resp.Started = time.Now()
	res, err := c.client.Do(req)
	if err != nil {
		resp.Ended, resp.Err = time.Now(), fmt.Errorf("load: sending a request: %w", err)
		return resp
	}
	defer func() { _ = res.Body.Close() }()
	resp.Status, resp.Execution = res.StatusCode, res.Header.Get("Verbenapin-Run")
	resp.Target, resp.AnswerID = res.Header.Get("X-Target"), res.Header.Get(upstream.HeaderID)
	resp.Err = resp.read(res)
	resp.Ended = time.Now()
	return resp
}

// read consumes the body and checks that it is complete and unaltered, and that the target received the request's body.
func (r *Response) read(res *http.Response) error {
	if r.Execution != "" {
		var b struct {
			Code  string
			After int64
		}
		if res.Request.Method == http.MethodHead {
			r.Code = "refused"
			return nil
		}
		if err := json.NewDecoder(io.LimitReader(res.Body, maxRefusalBody)).Decode(&b); err != nil {
			return fmt.Errorf("load: reading a refusal: %w", err)
		}
		r.Code, r.RetryAfterMs = b.Code, b.After
		return nil
	}
	sum := sha256.New()
	n, err := io.Copy(sum, res.Body)
	r.Size = n
	if err != nil {
		return fmt.Errorf("load: reading a response: %w", err)
	}
	if res.StatusCode >= 400 {
		return nil
	}
	if res.Request.Method == http.MethodHead {
		if method := res.Header.Get("X-Method"); method != http.MethodHead {
			return fmt.Errorf("load: target received method %q instead of HEAD", method)
		}
		return nil
	}
	want := res.Header.Get("X-Digest")
	if size, trailer := r.Request.archiveOptions(); size > 0 {
		// The response's Content-Length proves nothing: a node that truncates a response may declare the shorter length.
		want = upstream.Digest(r.Request.ID, size)
		if got := res.Trailer.Get("X-Digest"); trailer && got != want {
			return fmt.Errorf("load: trailer has digest %.12q, want %.12s", got, want)
		}
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != want {
		return fmt.Errorf("load: response of %d bytes has digest %.12s, want %.12s", n, got, want)
	}
	body := sha256.Sum256([]byte(r.Request.Body))
	if got := res.Header.Get("X-Body-Digest"); got != hex.EncodeToString(body[:]) {
		return fmt.Errorf("load: target received another request body")
	}
	return nil
}
