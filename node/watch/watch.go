// Package watch reads values over the long-poll protocol of the configuration service and the instance list.
package watch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Times of reading.
const (
	callTimeout = 2 * time.Second // beyond the time that the service may hold a watch
	minPause    = 200 * time.Millisecond
	firstPause  = 500 * time.Millisecond
	maxPause    = 5 * time.Second
)

// NotFoundError reports a value that does not exist.
type NotFoundError struct{ URL string }

func (e NotFoundError) Error() string { return "watch: no value at " + e.URL }

// ResponseError reports a response that cannot be used.
type ResponseError struct{ URL, Reason string }

func (e ResponseError) Error() string { return "watch: " + e.URL + ": " + e.Reason }

// Value is one response.
type Value struct {
	Data    []byte
	Etag    string
	Changed bool // false if the value still has the etag of the call
}

// Reader reads one value.
type Reader struct {
	URL    string
	Client *http.Client
	Limit  int64 // bytes
}

// Get reads the value; with an etag and a positive wait, it waits until the value has another etag.
func (r Reader) Get(ctx context.Context, etag string, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	target := r.URL
	if etag != "" && wait > 0 {
		target += "?" + url.Values{"wait": {wait.String()}, "etag": {etag}}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Value{}, fmt.Errorf("watch: making a request: %w", err)
	}
	res, err := r.Client.Do(req)
	if err != nil {
		return Value{}, fmt.Errorf("watch: calling the service: %w", err)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return Value{Etag: etag}, nil
	case http.StatusNotFound:
		return Value{}, NotFoundError{URL: r.URL}
	default:
		return Value{}, ResponseError{URL: r.URL, Reason: res.Status}
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, r.Limit+1))
	if err != nil {
		return Value{}, fmt.Errorf("watch: reading a value: %w", err)
	}
	if int64(len(data)) > r.Limit {
		return Value{}, ResponseError{URL: r.URL, Reason: fmt.Sprintf("larger than %d bytes", r.Limit)}
	}
	got := res.Header.Get("Etag")
	return Value{Data: data, Etag: got, Changed: etag == "" || got != etag}, nil
}

// Schedule decides when the next call for a value may start, so that no more than one is ever under way.
type Schedule struct {
	busy    bool
	started time.Time
	next    time.Time
	backoff *backoff.ExponentialBackOff
}

// NewPace returns a pace whose first call may start at the given time.
func NewPace(first time.Time) *Schedule {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstPause, maxPause
	b.Reset()
	return &Schedule{next: first, backoff: b}
}

// TryStart reports whether a call may start now, and marks it as started.
func (p *Schedule) TryStart(now time.Time) bool {
	if p.busy || now.Before(p.next) {
		return false
	}
	p.busy, p.started = true, now
	return true
}

// Done marks the end of a call; the next one starts after the pause, or after a growing pause with jitter if it failed.
func (p *Schedule) Done(now time.Time, pause time.Duration, failed bool) {
	p.busy = false
	if failed {
		p.next = now.Add(p.backoff.NextBackOff())
		return
	}
	p.backoff.Reset()
	p.next = laterOf(now.Add(pause), p.started.Add(minPause))
}

// Postpone postpones the next call for at least the pause.
func (p *Schedule) Postpone(now time.Time, pause time.Duration) {
	p.next = laterOf(p.next, now.Add(pause))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
