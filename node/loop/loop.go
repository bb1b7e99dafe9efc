// Package loop runs the control events of a process one at a time on a single goroutine.
package loop

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// queueSize bounds the events that wait; senders block beyond it.
const queueSize = 1024

// ClosedError reports an event that was given to a closed loop.
type ClosedError struct{}

func (ClosedError) Error() string { return "loop: closed" }

// PanicError reports an event that panicked.
type PanicError struct{ Value any }

func (e PanicError) Error() string { return fmt.Sprintf("loop: event panicked: %v", e.Value) }

// Event changes control state at the given time.
type Event func(now time.Time)

type entry struct {
	run  Event
	done chan error
}

// Loop owns the goroutine on which all control state changes.
type Loop struct {
	now     func() time.Time
	entries chan entry
	closing chan struct{}
	once    sync.Once
	mu      sync.Mutex
	running sync.WaitGroup
}

// New returns a loop that reads the time from now.
func New(now func() time.Time) *Loop {
	return &Loop{now: now, entries: make(chan entry, queueSize), closing: make(chan struct{})}
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
		case e := <-l.entries:
			if err := l.run(e); err != nil {
				return err
			}
		}
	}
}

// run reports a panic to the caller of the event and to the supervisor.
func (l *Loop) run(e entry) (err error) {
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
	return l.put(ctx, entry{run: run})
}

// Call queues an event and waits until it has run.
// An event that is still queued when ctx ends runs later, so it must tolerate a caller that has left.
func (l *Loop) Call(ctx context.Context, run Event) error {
	done := make(chan error, 1)
	if err := l.put(ctx, entry{run: run, done: done}); err != nil {
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

func (l *Loop) put(ctx context.Context, e entry) error {
	select {
	case <-l.closing:
		return ClosedError{}
	default:
	}
	select {
	case l.entries <- e:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("loop: queueing an event: %w", ctx.Err())
	case <-l.closing:
		return ClosedError{}
	}
}

// Close stops the loop and waits for the event that is running.
func (l *Loop) Close() {
	l.once.Do(func() {
		l.mu.Lock()
		close(l.closing)
		l.mu.Unlock()
	})
	l.running.Wait()
}
