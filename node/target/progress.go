package target

import (
	"context"
	"io"
	"sync"
	"time"
)

// minProgress is how many bytes of a response must arrive in a sampling interval after its deadline. A response that gets a fiftieth of
// a link of 10 Mbit/s receives several times as much in a quarter of a second.
const minProgress = 1 << 10

// Progress decides whether a response hangs once its deadline has passed: its reader only waits, and next to nothing arrives. A response
// whose own reader is slow does not hang. It is immutable.
type Progress struct {
	interval time.Duration // between samples
	at       time.Time     // of the last sample
	bytes    int64
	waited   time.Duration
}

// NewProgress returns the state when the head of a response has arrived.
func NewProgress(now time.Time, interval time.Duration) Progress {
	return Progress{interval: interval, at: now}
}

// WithSample returns the state after a sample of the bytes read so far and of the time for which the reader has waited for them, and
// reports whether the response hangs.
func (p Progress) WithSample(now time.Time, bytes int64, waited time.Duration) (Progress, bool) {
	elapsed := now.Sub(p.at)
	hangs := elapsed >= p.interval && waited-p.waited >= elapsed*9/10 && bytes-p.bytes < minProgress
	p.at, p.bytes, p.waited = now, bytes, waited
	return p, hangs
}

// NextSample returns when to take the next sample of a response with the given deadline: one interval before the deadline, at the
// deadline, and then after each interval.
func (p Progress) NextSample(deadline time.Time) time.Time {
	next := p.at.Add(p.interval)
	if before := deadline.Add(-p.interval); before.After(p.at) {
		return before
	}
	if next.Before(deadline) {
		return deadline
	}
	return next
}

// HungError reports a response that had stopped arriving when its deadline passed, or after it.
type HungError struct{}

func (HungError) Error() string {
	return "target: the response stopped arriving and its deadline passed"
}

// monitoredBody is a response body that ends with a HungError if the response hangs after its deadline.
type monitoredBody struct {
	io.ReadCloser
	deadline time.Time
	cancel   context.CancelCauseFunc

	mu       sync.Mutex
	progress Progress
	timer    *time.Timer
	bytes    int64
	waited   time.Duration
	reading  time.Time // start of the current read, zero if there is none
	hung     bool
	closed   bool
}

// MonitorBody returns a body that calls cancel, which must end a read of body, if the response hangs after its deadline; see Progress.
func MonitorBody(body io.ReadCloser, deadline time.Time, interval time.Duration, cancel context.CancelCauseFunc) io.ReadCloser {
	now := time.Now()
	b := &monitoredBody{ReadCloser: body, deadline: deadline, cancel: cancel, progress: NewProgress(now, interval)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = time.AfterFunc(b.progress.NextSample(deadline).Sub(now), b.sample)
	return b
}

// sample takes a sample, and cancels the response if it hangs.
func (b *monitoredBody) sample() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	now, waited := time.Now(), b.waited
	if !b.reading.IsZero() {
		waited += now.Sub(b.reading)
	}
	var hangs bool
	b.progress, hangs = b.progress.WithSample(now, b.bytes, waited)
	if hangs && !now.Before(b.deadline) {
		b.hung = true
		b.cancel(HungError{})
		return
	}
	b.timer.Reset(b.progress.NextSample(b.deadline).Sub(now))
}

// Read reads the body; its error is a HungError if the response hangs.
func (b *monitoredBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	b.reading = time.Now()
	b.mu.Unlock()
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waited += time.Since(b.reading)
	b.bytes += int64(n)
	b.reading = time.Time{}
	if err == nil {
		return n, nil
	}
	b.stop()
	if b.hung {
		err = HungError{}
	}
	return n, err
}

// stop ends the sampling; b.mu must be held.
func (b *monitoredBody) stop() {
	b.closed = true
	b.timer.Stop()
}

// Close ends the sampling and closes the body.
func (b *monitoredBody) Close() error {
	b.mu.Lock()
	b.stop()
	b.mu.Unlock()
	return b.ReadCloser.Close()
}
