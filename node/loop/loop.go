// Package loop runs the control events of a process one at a time on a single goroutine.
package loop

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// queueSize is the maximum number of queued events; Post and Call block while the queue is full.
const queueSize = 1024

// ClosedError is returned by Post and Call when the loop is closed; the event of a waiting Call may still complete.
type ClosedError struct{}

func (ClosedError) Error() string { return "loop: closed" }

// PanicError is returned by Call and Serve for an event that panicked.
type PanicError struct{ Value any }

func (e PanicError) Error() string { return fmt.Sprintf("loop: event panicked: %v", e.Value) }

// Event changes control state at the given time.
type Event func(now time.Time)

type queuedEvent struct {
	run  Event
	done chan error
}

// Loop owns the goroutine on which all control state changes.
type Loop struct {
	now       func() time.Time
	queue     chan queuedEvent
	closing   chan struct{}
	closeOnce sync.Once
	mu        sync.Mutex
	running   sync.WaitGroup
}

// New returns a loop that reads the time from now.
func New(now func() time.Time) *Loop {
	return &Loop{now: now, queue: make(chan queuedEvent, queueSize), closing: make(chan struct{})}
}

// Serve runs events until ctx ends or the loop is closed; a supervisor may call it again after an error.
func (l *Loop) Serve(ctx context.Context) error {
	l.mu.Lock()
	select {
	case <-l.closing:
		l.mu.Unlock()
		return nil
	default:
	}
	l.running.Add(1)
	l.mu.Unlock()
	defer l.running.Done()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.closing:
			return nil
		case e := <-l.queue:
			if err := l.run(e); err != nil {
				return err
			}
		}
	}
}

// run executes the event; a panic becomes an error that both Call and Serve return, so a supervisor can restart the loop.
func (l *Loop) run(e queuedEvent) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = PanicError{Value: v}
		}
		if e.done != nil {
			e.done <- err
		}
	}()
	e.run(l.now())
	return nil
}

// Post queues an event and does not wait until it has run.
func (l *Loop) Post(ctx context.Context, run Event) error {
	return l.enqueue(ctx, queuedEvent{run: run})
}

// Call queues an event and waits until it has run.
// An event that is still queued when ctx ends runs later, so it must not assume that its caller still waits.
func (l *Loop) Call(ctx context.Context, run Event) error {
	done := make(chan error, 1)
	if err := l.enqueue(ctx, queuedEvent{run: run, done: done}); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("loop: waiting for an event: %w", ctx.Err())
	case <-l.closing:
		return ClosedError{}
	}
}

func (l *Loop) enqueue(ctx context.Context, e queuedEvent) error {
	select {
	case <-l.closing:
		return ClosedError{}
	default:
	}
	select {
	case l.queue <- e:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("loop: queueing an event: %w", ctx.Err())
	case <-l.closing:
		return ClosedError{}
	}
}

// Close stops the loop and waits for the event that is running.
func (l *Loop) Close() {
	l.closeOnce.Do(func() {
		l.mu.Lock()
		close(l.closing)
		l.mu.Unlock()
	})
	l.running.Wait()
}
