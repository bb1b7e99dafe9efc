package journal

import (
	"io"
	"sync"
	"time"
)

const (
	// maxPending bounds the bytes that wait for a reader of the log that does not keep up: the lines of about two seconds.
	maxPending = 256 << 10
	// closePatience bounds the wait for such a reader at the end of the process.
	closePatience = 500 * time.Millisecond
)

// writer passes lines on to another writer on a goroutine of its own, so that a reader of the log that does not keep up
// holds up nothing. Lines for which there is no room are dropped and counted.
type writer struct {
	out   io.Writer
	wake  chan struct{}
	ended chan struct{}

	mu      sync.Mutex
	pending []byte
	spare   []byte // memory of the lines written last
	writing bool
	dropped int
	closed  bool
}

func newWriter(out io.Writer) *writer {
	w := &writer{out: out, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line; it never waits and never fails.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > maxPending {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *writer) run() {
	defer close(w.ended)
	for range w.wake {
		lines := w.take()
		if len(lines) == 0 {
			continue
		}
		if _, err := w.out.Write(lines); err != nil {
			// The log itself cannot be written, so the loss is only counted, as one.
			w.drop()
		}
		w.mu.Lock()
		w.spare, w.writing = lines[:0], false
		w.mu.Unlock()
	}
}

func (w *writer) take() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := w.pending
	w.pending, w.spare = w.spare, nil
	w.writing = len(lines) > 0
	return lines
}

func (w *writer) drop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped++
}

// isCrowded tells whether half of the room is taken.
func (w *writer) isCrowded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) > maxPending/2
}

// takeDropped returns the number of lines dropped since the last call.
func (w *writer) takeDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Close writes the lines that wait, for at most closePatience.
func (w *writer) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	select {
	case w.wake <- struct{}{}:
	default:
	}
	close(w.wake)
	w.mu.Unlock()
	timer := time.NewTimer(closePatience)
	defer timer.Stop()
	select {
	case <-w.ended:
	case <-timer.C:
	}
}
