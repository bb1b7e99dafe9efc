package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// minProgress is how many bytes of a response must arrive in a sampling interval after its deadline. A response that gets a fiftieth
	// of a link of 10 Mbit/s receives several times as much in a quarter of a second.
	minProgress = 1 << 10
	// fastReader is the rate, in bytes per second, from which the reader of a response doesn't count as slow: 128 Mbit/s.
	fastReader = 16 << 20
	// minSampling keeps samples apart that approach the end of a response's overtime.
	minSampling = 10 * time.Millisecond
)

// Pace states how a response must arrive after its deadline.
type Pace struct {
	Interval time.Duration // between samples
	// Overtime is how long its reader may wait for it after the deadline, in all; zero for any time. Time in which the response waits for
	// a slow reader does not count.
	Overtime time.Duration
	// MaxLate is how many bytes may arrive after the deadline, zero for any number.
	MaxLate int64
}

// Progress decides whether a response ends once its deadline has passed, because it hangs or goes on for too long: what counts is the time
// that its reader has waited for it. It is immutable.
type Progress struct {
	pace      Pace
	deadline  time.Time
	at        time.Time // of the last sample
	bytes     int64
	waited    time.Duration
	late      time.Duration // part of the overtime that is used up
	lateBytes int64
}

// NewProgress returns the state when the head of a response has arrived.
func NewProgress(now, deadline time.Time, pace Pace) Progress {
	return Progress{pace: pace, deadline: deadline, at: now}
}

// WithSample returns the state after a sample of the bytes read so far and of the time for which the reader has waited for them, and why
// the response ends, nil if it goes on: a HungError if its reader only waits and next to nothing arrives, an OverrunError if its overtime
// is used up or too much has arrived.
func (p Progress) WithSample(now time.Time, bytes int64, waited time.Duration) (Progress, error) {
	elapsed, arrived, waits := now.Sub(p.at), bytes-p.bytes, waited-p.waited
	hangs := elapsed >= p.pace.Interval && waits >= elapsed*9/10 && arrived < minProgress
	if !p.at.Before(p.deadline) {
		p.lateBytes += arrived
		if float64(arrived) >= fastReader*elapsed.Seconds() {
			waits = elapsed
		}
		p.late += waits
	}
	p.at, p.bytes, p.waited = now, bytes, waited
	switch {
	case now.Before(p.deadline):
		return p, nil
	case hangs:
		return p, HungError{}
	case p.pace.Overtime > 0 && p.late >= p.pace.Overtime, p.pace.MaxLate > 0 && p.lateBytes > p.pace.MaxLate:
		return p, OverrunError{Bytes: bytes, Late: now.Sub(p.deadline)}
	}
	return p, nil
}

// NextSample returns when to take the next sample: one interval before the deadline, at the deadline, and then after each interval, or
// sooner if the overtime may be used up by then.
func (p Progress) NextSample() time.Time {
	next := p.at.Add(p.pace.Interval)
	if before := p.deadline.Add(-p.pace.Interval); before.After(p.at) {
		return before
	}
	if next.Before(p.deadline) {
		return p.deadline
	}
	if left := p.pace.Overtime - p.late; p.pace.Overtime > 0 && !p.at.Before(p.deadline) && left < p.pace.Interval {
		return p.at.Add(max(left, minSampling))
	}
	return next
}

// HungError reports a response that had stopped arriving when its deadline passed, or after it.
type HungError struct{}

func (HungError) Error() string {
	return "target: the response stopped arriving and its deadline passed"
}

// OverrunError reports a response that was still arriving too long after its deadline.
type OverrunError struct {
	Bytes int64         // of its body that had arrived
	Late  time.Duration // since the deadline
}

func (e OverrunError) Error() string {
	return fmt.Sprintf("target: the response went on for %s after its deadline (%d bytes in all)", e.Late.Round(time.Millisecond), e.Bytes)
}

// IsLate reports whether an error states that a response was ended because of its deadline.
func IsLate(err error) bool {
	return errors.As(err, &HungError{}) || errors.As(err, &OverrunError{})
}

// monitoredBody is a response body that ends with the error of its Progress.
type monitoredBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	progress Progress
	timer    *time.Timer
	bytes    int64
	waited   time.Duration
	reading  time.Time // start of the current read, zero if there is none
	late     error     // why the response was ended, nil if it was not
	closed   bool
}

// MonitorBody returns a body that calls cancel, which must end a read of body, if the response hangs or goes on for too long after its
// deadline; see Progress.
func MonitorBody(body io.ReadCloser, deadline time.Time, pace Pace, cancel context.CancelCauseFunc) io.ReadCloser {
	now := time.Now()
	b := &monitoredBody{ReadCloser: body, cancel: cancel, progress: NewProgress(now, deadline, pace)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = time.AfterFunc(b.progress.NextSample().Sub(now), b.sample)
	return b
}

// sample takes a sample, and cancels the response if it ends.
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
	b.progress, b.late = b.progress.WithSample(now, b.bytes, waited)
	if b.late != nil {
		b.cancel(b.late)
		return
	}
	b.timer.Reset(b.progress.NextSample().Sub(now))
}

// Read reads the body; its error is that of Progress if the response was ended.
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
	if b.late != nil {
		err = b.late
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
