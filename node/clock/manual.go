package clock

import (
	"sync"
	"time"
)

// Manual sets the time of a clock for tests; time passes only in Advance.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	nextID int
	timers map[int]*manualTimer
}

type manualTimer struct {
	period time.Duration // 0 for a timer that fires once
	due    time.Time
	tick   TickFunc
}

// NewManual returns a manual clock set to the given time.
func NewManual(now time.Time) *Manual {
	return &Manual{now: now, timers: map[int]*manualTimer{}}
}

// Clock returns the clock whose time is set by m.
func (m *Manual) Clock() *Clock {
	return &Clock{Now: m.Now, subscribe: m.subscribe, afterFunc: m.afterFunc}
}

// Now returns the time to which m is set.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the time forward by d and calls the tickers and timers that become due, in order, on the calling goroutine.
func (m *Manual) Advance(d time.Duration) {
	end := m.Now().Add(d)
	for {
		t := m.nextDue(end)
		if t == nil {
			return
		}
		t.tick(m.Now())
	}
}

// nextDue moves the time to the earliest due time up to end and returns its timer, or moves it to end and returns nil.
func (m *Manual) nextDue(end time.Time) *manualTimer {
	m.mu.Lock()
	defer m.mu.Unlock()
	earliest := -1
	for id, t := range m.timers {
		if t.due.After(end) {
			continue
		}
		if earliest < 0 || t.due.Before(m.timers[earliest].due) || (t.due.Equal(m.timers[earliest].due) && id < earliest) {
			earliest = id
		}
	}
	if earliest < 0 {
		m.now = end
		return nil
	}
	t := m.timers[earliest]
	m.now = t.due
	if t.period == 0 {
		delete(m.timers, earliest)
	}
	t.due = t.due.Add(t.period)
	return t
}

func (m *Manual) subscribe(period time.Duration, tick TickFunc) *Subscription {
	return m.add(&manualTimer{period: period, tick: tick}, period)
}

func (m *Manual) afterFunc(wait time.Duration, tick TickFunc) *Subscription {
	return m.add(&manualTimer{tick: tick}, wait)
}

func (m *Manual) add(t *manualTimer, wait time.Duration) *Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := m.nextID
	m.nextID++
	t.due = m.now.Add(wait)
	m.timers[id] = t
	return &Subscription{stop: func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.timers, id)
	}}
}
