package journal

import (
	"io"
	"sync"
	"time"
)

const (
	// maxPending bounds the bytes that wait for a slow reader of the log: the lines of about two seconds at the limit.
	maxPending = 256 << 10
	// closeTimeout bounds the wait for a slow reader when the process exits.
	closeTimeout = 500 * time.Millisecond
)

// asyncWriter writes lines to another writer on its own goroutine, so that a slow reader of the log does not block the node.
// Lines that do not fit into the buffer are dropped and counted.
type asyncWriter struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	spare   []byte // buffer of the lines written last, for reuse
	writing bool
	dropped int
	closed  bool
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a line, or drops it if the buffer is full; it never blocks and never fails.
func (w *asyncWriter) Write(line []byte) (int, error) {
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

func (w *asyncWriter) run() {
	defer close(w.done)
	for range w.wake {
		lines := w.take()
		if len(lines) == 0 {
			continue
		}
		if _, err := w.out.Write(lines); err != nil {
			// The error cannot be logged, so the loss is only counted, as one line.
			w.countDropped()
		}
		w.mu.Lock()
		w.spare, w.writing = lines[:0], false
		w.mu.Unlock()
	}
}

func (w *asyncWriter) take() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := w.pending
	w.pending, w.spare = w.spare, nil
	w.writing = len(lines) > 0
	return lines
}

func (w *asyncWriter) countDropped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped++
}

// isHalfFull reports whether the buffer is more than half full.
func (w *asyncWriter) isHalfFull() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) > maxPending/2
}

// resetDropped returns the number of lines dropped since the last call. A failed write counts as one.
func (w *asyncWriter) resetDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Close waits until the buffered lines are written, at most closeTimeout.
func (w *asyncWriter) Close() {
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
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
