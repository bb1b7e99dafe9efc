package clock

import (
	"sync"
	"time"
)

// Manual is a clock for tests; time passes only in Advance.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	next    int
	entries map[int]*manualEntry
}

type manualEntry struct {
	every time.Duration
	due   time.Time
	tick  Tick
}

// NewManual returns a manual clock that shows the given time.
func NewManual(now time.Time) *Manual {
	return &Manual{now: now, entries: map[int]*manualEntry{}}
}

// Clock returns the clock whose time is set by m.
func (m *Manual) Clock() *Clock {
	return &Clock{Now: m.Now, start: m.subscribe, after: m.after}
}

// Now returns the time that m shows.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the time and runs the ticks that are due, in order, on the calling goroutine.
func (m *Manual) Advance(by time.Duration) {
	end := m.Now().Add(by)
	for {
		e := m.nextDue(end)
		if e == nil {
			return
		}
		e.tick(m.Now())
	}
}

// nextDue moves the time to the earliest tick up to end, or to end if there is none.
func (m *Manual) nextDue(end time.Time) *manualEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := -1
	for id, e := range m.entries {
		if e.due.After(end) {
			continue
		}
		if found < 0 || e.due.Before(m.entries[found].due) || (e.due.Equal(m.entries[found].due) && id < found) {
			found = id
		}
	}
	if found < 0 {
		m.now = end
		return nil
	}
	e := m.entries[found]
	m.now = e.due
	if e.every == 0 {
		delete(m.entries, found)
	}
	e.due = e.due.Add(e.every)
	return e
}

func (m *Manual) subscribe(every time.Duration, tick Tick) *Subscription {
	return m.add(&manualEntry{every: every, tick: tick}, every)
}

func (m *Manual) after(wait time.Duration, tick Tick) *Subscription {
	return m.add(&manualEntry{tick: tick}, wait)
}

func (m *Manual) add(e *manualEntry, wait time.Duration) *Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := m.next
	m.next++
	e.due = m.now.Add(wait)
	m.entries[id] = e
	return &Subscription{stop: func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.entries, id)
	}}
}
