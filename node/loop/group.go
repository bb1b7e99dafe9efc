package loop

import "sync"

// Group runs goroutines and waits for them when it is closed.
type Group struct {
	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// Go runs f on its own goroutine unless Close was called.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.running.Go(f)
	}
}

// Close waits for the running goroutines; later calls of Go start none.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}
