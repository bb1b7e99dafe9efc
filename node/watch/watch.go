// Package watch reads values from the configuration service and the instance list by HTTP long polling.
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

// Limits of requests and of the intervals between them.
const (
	callTimeout    = 2 * time.Second        // added to the time for which the service may hold a long poll
	minInterval    = 200 * time.Millisecond // between the starts of two requests, also if the service answers at once
	initialBackoff = 500 * time.Millisecond // mean of the first pause after a failure
	maxBackoff     = 5 * time.Second        // mean of the longest pause after failures
)

// NotFoundError is returned for a value that does not exist.
type NotFoundError struct{ URL string }

func (e NotFoundError) Error() string { return "watch: no value at " + e.URL }

// ResponseError is returned for a response with an unexpected status or a body beyond the limit.
type ResponseError struct{ URL, Reason string }

func (e ResponseError) Error() string { return "watch: " + e.URL + ": " + e.Reason }

// Value is the result of one request; Data is nil if the service answered 304 Not Modified.
type Value struct {
	Data    []byte
	Etag    string
	Changed bool // false if the value still has the etag that the caller passed
}

// Reader reads one value from its URL.
type Reader struct {
	URL    string
	Client *http.Client
	Limit  int64 // maximum size of the body in bytes
}

// Get reads the value; with an etag and a positive wait, the service responds once the etag differs or the wait has passed.
func (r Reader) Get(ctx context.Context, etag string, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	requestURL := r.URL
	if etag != "" && wait > 0 {
		requestURL += "?" + url.Values{"wait": {wait.String()}, "etag": {etag}}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return Value{}, fmt.Errorf("watch: creating the request: %w", err)
	}
	res, err := r.Client.Do(req)
	if err != nil {
		return Value{}, fmt.Errorf("watch: sending the request: %w", err)
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

// Schedule decides when the next request for a value may start; at most one is in flight.
type Schedule struct {
	inFlight bool
	started  time.Time // start of the last request
	next     time.Time // earliest start of the next request
	backoff  *backoff.ExponentialBackOff
}

// NewSchedule returns a schedule whose first request may start at the given time.
func NewSchedule(first time.Time) *Schedule {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialBackoff, maxBackoff
	b.Reset()
	return &Schedule{next: first, backoff: b}
}

// TryStart reports whether a request may start now and, if so, marks it as in flight.
func (s *Schedule) TryStart(now time.Time) bool {
	if s.inFlight || now.Before(s.next) {
		return false
	}
	s.inFlight, s.started = true, now
	return true
}

// Done records the end of a request; the next may start after the pause, or after exponential backoff with jitter if it failed.
func (s *Schedule) Done(now time.Time, pause time.Duration, failed bool) {
	s.inFlight = false
	if failed {
		s.next = now.Add(s.backoff.NextBackOff())
		return
	}
	s.backoff.Reset()
	s.next = laterTime(now.Add(pause), s.started.Add(minInterval))
}

// Postpone delays the next request until at least the pause has passed.
func (s *Schedule) Postpone(now time.Time, pause time.Duration) {
	s.next = laterTime(s.next, now.Add(pause))
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
