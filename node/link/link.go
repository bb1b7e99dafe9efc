// Package link throttles large responses so that other traffic keeps some bandwidth of the instance's network link.
package link

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// largeFraction is the fraction of the link's speed that large responses may use. Unthrottled, they fill the send queue of
	// a slow link, and new connections, leases and messages of other nodes wait behind them: up to 1.2 s at 10 Mbit/s.
	largeFraction = 0.8
	// minLargeSize is the size in bytes from which a response is throttled; shorter ones are sent before a delay could help other traffic.
	minLargeSize = 16 << 10
	// chunkSize is the most bytes read at once, so that large responses alternate; a chunk occupies a 10 Mbit/s link for 13 ms.
	chunkSize = 16 << 10
)

// BytesPerMegabit converts Mbit/s to bytes per second.
const BytesPerMegabit = 125_000

// Link is the network link of one instance; its methods may be called from any goroutine, and a nil Link does not throttle.
type Link struct {
	limiter *rate.Limiter
	speed   float64      // bytes per second for large responses
	pending atomic.Int64 // bytes of large responses still to be read, by Content-Length
}

// New returns a link with the given speed in bytes per second, or nil if the speed is not positive.
func New(speed float64) *Link {
	if speed <= 0 {
		return nil
	}
	speed *= largeFraction
	return &Link{limiter: rate.NewLimiter(rate.Limit(speed), chunkSize), speed: speed}
}

// Backlog returns the time that the open large responses still need; those of unknown length are not counted.
func (l *Link) Backlog() time.Duration {
	if l == nil {
		return 0
	}
	return time.Duration(float64(l.pending.Load()) / l.speed * float64(time.Second))
}

// Throttle returns the response with a body that is read no faster than the link allows; short responses are not throttled.
func (l *Link) Throttle(ctx context.Context, res *http.Response) *http.Response {
	if l == nil || (0 <= res.ContentLength && res.ContentLength < minLargeSize) {
		return res
	}
	out := *res
	remaining := max(res.ContentLength, 0)
	l.pending.Add(remaining)
	out.Body = &throttledBody{ReadCloser: res.Body, ctx: ctx, link: l, remaining: remaining}
	return &out
}

// throttledBody is a response body that is read no faster than the link allows.
type throttledBody struct {
	io.ReadCloser
	ctx       context.Context
	link      *Link
	remaining int64 // bytes of Content-Length that are not read yet
	closed    atomic.Bool
}

// Read reads at most one chunk of the body and returns it when the rate limiter allows.
func (t *throttledBody) Read(b []byte) (int, error) {
	n, err := t.ReadCloser.Read(b[:min(len(b), chunkSize)])
	if n > 0 {
		if waitErr := t.wait(n); waitErr != nil {
			return 0, waitErr
		}
		t.deductBacklog(int64(n))
	}
	return n, err
}

func (t *throttledBody) wait(n int) error {
	now := time.Now()
	delay := t.link.limiter.ReserveN(now, n).DelayFrom(now)
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-t.ctx.Done():
		return fmt.Errorf("link: waiting for bandwidth: %w", t.ctx.Err())
	}
}

// deductBacklog removes n bytes from the backlog, at most the rest of the Content-Length.
func (t *throttledBody) deductBacklog(n int64) {
	n = min(n, t.remaining)
	t.remaining -= n
	t.link.pending.Add(-n)
}

// Close closes the body and removes its unread bytes from the backlog.
func (t *throttledBody) Close() error {
	if !t.closed.Swap(true) {
		t.deductBacklog(t.remaining)
	}
	return t.ReadCloser.Close()
}
