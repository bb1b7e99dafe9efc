// Package clock provides tickers, timers and the current time, and a manual clock for tests.
package clock

import (
	"sync"
	"time"
)

// TickFunc is called with the current time when a ticker or timer fires.
type TickFunc func(now time.Time)

// Clock returns the current time and starts tickers and timers.
type Clock struct {
	// Now returns the current time; on the system clock it includes a monotonic reading.
	Now       func() time.Time
	subscribe func(period time.Duration, tick TickFunc) *Subscription
	afterFunc func(wait time.Duration, tick TickFunc) *Subscription
}

// Subscription is a started ticker or timer; Close stops it.
type Subscription struct {
	stop func()
	once sync.Once
}

// New returns the system clock.
func New() *Clock {
	return &Clock{Now: time.Now, subscribe: startTicker, afterFunc: startTimer}
}

// Subscribe calls tick once per period until the subscription is closed; calls never overlap.
func (c *Clock) Subscribe(period time.Duration, tick TickFunc) *Subscription {
	return c.subscribe(period, tick)
}

// AfterFunc calls tick once after the given time unless the subscription is closed before.
func (c *Clock) AfterFunc(wait time.Duration, tick TickFunc) *Subscription {
	return c.afterFunc(wait, tick)
}

// Close stops the ticker or timer; on the system clock it waits for a running call, so that call must not invoke Close.
func (s *Subscription) Close() {
	s.once.Do(s.stop)
}

func startTicker(period time.Duration, tick TickFunc) *Subscription {
	ticker := time.NewTicker(period)
	closing := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
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
		<-done
	}}
}

func startTimer(wait time.Duration, tick TickFunc) *Subscription {
	done := make(chan struct{})
	timer := time.AfterFunc(wait, func() {
		defer close(done)
		tick(time.Now())
	})
	return &Subscription{stop: func() {
		if !timer.Stop() {
			<-done
		}
	}}
}
