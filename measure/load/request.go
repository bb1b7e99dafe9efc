// Package load sends requests at a rate that doesn't depend on the responses, and verifies each response.
package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"verbenapin.dev/measure/history"
	"verbenapin.dev/measure/upstream"
)

// maxRefusal bounds the body of a refusal.
const maxRefusal = 4096

// Request is one request to the fleet.
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

// asks returns the size of the archive that the request asks for, or zero, and whether it asks for a trailer.
func (r Request) asks() (int64, bool) {
	_, query, _ := strings.Cut(r.Path, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		return 0, false
	}
	n, _ := strconv.ParseInt(values.Get("bytes"), 10, 64)
	return n, values.Has("trailer")
}

// Response is what the caller got.
type Response struct {
	Request   Request
	Entry     string // address that the request was sent to
	Intended  time.Time
	Started   time.Time
	Ended     time.Time
	Status    int
	Code      string // code of the refusal
	Execution string // run mark of the refusal
	After     int64  // milliseconds until a retry is useful
	Target    string
	AnswerID  string
	Size      int64
	Early     bool // a 103 came first
	Err       error
}

// Latency counts from the intended start, so that a stall of the generator or the fleet is not hidden.
func (a Response) Latency() time.Duration { return a.Ended.Sub(a.Intended) }

// OK tells whether a target answered the request successfully and completely.
func (a Response) OK() bool { return a.Err == nil && a.Code == "" && a.Status < 400 }

// Call returns the answer as an element of a history.
func (a Response) Call() history.Call {
	c := history.Call{
		ID: a.Request.ID, Account: a.Request.Account, Idempotent: a.Request.Idempotent, AnswerID: a.AnswerID, Started: a.Started, Limited: a.Code == "rate",
	}
	switch {
	case a.Err != nil:
		c.Outcome = history.Broken
	case a.Execution == "no":
		c.Outcome = history.NotRun
	case a.Execution != "":
		c.Outcome = history.MaybeRun
	case a.Status >= 400:
		// A target's own error; the target records only the requests that it serves.
		c.Outcome = history.MaybeRun
	default:
		c.Outcome = history.Answered
	}
	return c
}

// Caller sends requests.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller that gives up on a request after timeout.
func NewCaller(timeout time.Duration) Caller {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	return Caller{client: &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 512, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close ends the idle connections.
func (c Caller) Close() { c.client.CloseIdleConnections() }

// Do sends a request to the entry address and verifies its response.
func (c Caller) Do(ctx context.Context, entry string, r Request, intended time.Time) Response {
	a := Response{Request: r, Entry: entry, Intended: intended}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
		a.Early = a.Early || code == http.StatusEarlyHints
		return nil
	}})
	// A body without GetBody keeps the transport from repeating the request on its own.
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+entry+r.Path, io.NopCloser(strings.NewReader(r.Body)))
	if err != nil {
		a.Started, a.Ended, a.Err = time.Now(), time.Now(), fmt.Errorf("load: building a request: %w", err)
		return a
	}
	req.ContentLength = int64(len(r.Body))
	if r.Host != "" {
		req.Host = r.Host
	}
	req.Header.Set(upstream.HeaderID, r.ID)
	if r.Key != "" {
		req.Header.Set("X-Api-Key", r.Key)
	}
	a.Started = time.Now()
	res, err := c.client.Do(req)
	if err != nil {
		a.Ended, a.Err = time.Now(), fmt.Errorf("load: sending a request: %w", err)
		return a
	}
	defer func() { _ = res.Body.Close() }()
	a.Status, a.Execution = res.StatusCode, res.Header.Get("Verbenapin-Run")
	a.Target, a.AnswerID = res.Header.Get("X-Target"), res.Header.Get(upstream.HeaderID)
	a.Err = a.read(res)
	a.Ended = time.Now()
	return a
}

// read consumes the body and checks that it is whole.
func (a *Response) read(res *http.Response) error {
	if a.Execution != "" {
		var b struct {
			Code  string
			After int64
		}
		if res.Request.Method == http.MethodHead {
			a.Code = "refused"
			return nil
		}
		if err := json.NewDecoder(io.LimitReader(res.Body, maxRefusal)).Decode(&b); err != nil {
			return fmt.Errorf("load: reading a refusal: %w", err)
		}
		a.Code, a.After = b.Code, b.After
		return nil
	}
	sum := sha256.New()
	n, err := io.Copy(sum, res.Body)
	a.Size = n
	if err != nil {
		return fmt.Errorf("load: reading a response: %w", err)
	}
	if res.StatusCode >= 400 {
		return nil
	}
	if res.Request.Method == http.MethodHead {
		if method := res.Header.Get("X-Method"); method != http.MethodHead {
			return fmt.Errorf("load: target saw method %q instead of HEAD", method)
		}
		return nil
	}
	want := res.Header.Get("X-Digest")
	if size, trailer := a.Request.asks(); size > 0 {
		// The response's own length says nothing: a node that cuts a response may declare the shorter one.
		want = upstream.Digest(a.Request.ID, size)
		if got := res.Trailer.Get("X-Digest"); trailer && got != want {
			return fmt.Errorf("load: trailer has digest %.12q, want %.12s", got, want)
		}
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != want {
		return fmt.Errorf("load: response of %d bytes has digest %.12s, want %.12s", n, got, want)
	}
	body := sha256.Sum256([]byte(a.Request.Body))
	if got := res.Header.Get("X-Body-Digest"); got != hex.EncodeToString(body[:]) {
		return fmt.Errorf("load: target got another request body")
	}
	return nil
}
