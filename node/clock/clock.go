// Package clock is the timer service: parts subscribe to a period and are called on each tick.
package clock

import (
	"sync"
	"time"
)

// Tick is called with the time of a tick.
type Tick func(now time.Time)

// Clock tells the time and calls its subscribers.
type Clock struct {
	// Now tells the time; it includes a monotonic reading on a real clock.
	Now   func() time.Time
	start func(every time.Duration, tick Tick) *Subscription
	after func(wait time.Duration, tick Tick) *Subscription
}

// Subscription ends with Close.
type Subscription struct {
	stop func()
	once sync.Once
}

// New returns the clock of the machine.
func New() *Clock {
	return &Clock{Now: time.Now, start: startTicker, after: startTimer}
}

// Subscribe calls tick once each period until the subscription is closed; ticks never overlap.
func (c *Clock) Subscribe(every time.Duration, tick Tick) *Subscription {
	return c.start(every, tick)
}

// AfterFunc calls tick once after the given time unless the subscription is closed before.
func (c *Clock) AfterFunc(wait time.Duration, tick Tick) *Subscription {
	return c.after(wait, tick)
}

// Close ends the ticks and waits for one that is running.
func (s *Subscription) Close() {
	s.once.Do(s.stop)
}

func startTicker(every time.Duration, tick Tick) *Subscription {
	ticker := time.NewTicker(every)
	closing := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-closing:
				return
			case now := <-ticker.C:
				tick(now)
			}
		}
	}()
	return &Subscription{stop: func() {
		ticker.Stop()
		close(closing)
		<-ended
	}}
}

func startTimer(wait time.Duration, tick Tick) *Subscription {
	ended := make(chan struct{})
	timer := time.AfterFunc(wait, func() {
		defer close(ended)
		tick(time.Now())
	})
	return &Subscription{stop: func() {
		if !timer.Stop() {
			<-ended
		}
	}}
}
