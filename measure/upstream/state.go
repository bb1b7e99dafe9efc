// Package upstream simulates a target: a server with few slots, a cold start and faults that can be injected.
package upstream

import "time"

// Settings are the properties of a target that are fixed while it runs.
type Settings struct {
	Name           string
	Slots          int           // requests that a warm target serves concurrently at full speed
	MaxConns       int           // open connections that it accepts
	ServiceTime    time.Duration // mean service time of a request of cost 1
	ProbeTime      time.Duration // time that a probe takes
	ConnectDelay   time.Duration // delay of a new connection
	ColdStart      time.Duration // duration of a cold start
	ReportInterval time.Duration // shortest time between new reports at /load and /health, which show the report before the last
}

// DefaultSettings returns the settings of the targets that the design page describes.
func DefaultSettings(name string) Settings {
	return Settings{
		Name: name, Slots: 12, MaxConns: 260, ServiceTime: 5 * time.Millisecond, ProbeTime: 6 * time.Millisecond,
		ConnectDelay: time.Millisecond, ColdStart: 5 * time.Second, ReportInterval: time.Second,
	}
}

// Fault selects the faults of a target.
type Fault struct {
	Slow  float64 `json:"slow"`  // multiple of the usual service time, 0 means 1
	Fail  bool    `json:"fail"`  // answers 500 at once
	Shed  bool    `json:"shed"`  // answers 503 at once
	Drain bool    `json:"drain"` // answers 503 at once, as a target that shuts down
}

// Verdict is a target's decision on a request.
type Verdict struct {
	Status      int           // 200, or the status of the refusal
	ServiceTime time.Duration // mean, before the random spread
	Running     int           // running requests, including this one
	Capacity    int
}

// Excess returns the number of running requests beyond the capacity.
func (v Verdict) Excess() int { return max(0, v.Running-v.Capacity) }

const (
	// coldShedDuration is how long a cold target sheds all requests after it was overloaded.
	coldShedDuration = 500 * time.Millisecond
	// shedFactor is the multiple of the slots beyond which even a warm target sheds.
	shedFactor = 3
)

// State is the state of a target, which decides how requests are served.
type State struct {
	settings  Settings
	coldSince time.Time // start of the cold start, zero if warm
	shedUntil time.Time // end of shedding after an overload in a cold start
	fault     Fault
	running   int
}

// NewState returns the state of a warm target.
func NewState(settings Settings) State {
	return State{settings: settings}
}

// WithCold returns s at the start of a cold start.
func (s State) WithCold(now time.Time) State {
	s.coldSince = now
	return s
}

// WithFault returns s with its faults replaced.
func (s State) WithFault(f Fault) State {
	s.fault = f
	return s
}

// Capacity returns the number of requests that the target can run at full speed; in a cold start it grows linearly from 1 to all slots.
func (s State) Capacity(now time.Time) int {
	if s.coldSince.IsZero() || s.settings.ColdStart <= 0 {
		return s.settings.Slots
	}
	progress := float64(now.Sub(s.coldSince)) / float64(s.settings.ColdStart)
	if progress >= 1 {
		return s.settings.Slots
	}
	return max(1, int(progress*float64(s.settings.Slots)))
}

// cold reports whether a cold start is in progress.
func (s State) cold(now time.Time) bool {
	return !s.coldSince.IsZero() && now.Sub(s.coldSince) < s.settings.ColdStart
}

// WithArrival returns s with one more request of the given cost.
// A request beyond the capacity is slowed down; on a cold target it also starts shedding for a while and restarts the cold start.
func (s State) WithArrival(now time.Time, cost float64) (State, Verdict) {
	capacity := s.Capacity(now)
	s.running++
	v := Verdict{Status: 200, Running: s.running, Capacity: capacity}
	slowdown := max(1, s.fault.Slow)
	if v.Excess() > 0 {
		slowdown *= float64(s.running) / float64(capacity)
		if s.cold(now) {
			s.coldSince, s.shedUntil = now, now.Add(coldShedDuration)
		}
	}
	switch {
	case s.fault.Fail:
		v.Status = 500
	case s.fault.Shed, s.fault.Drain, now.Before(s.shedUntil), s.running > shedFactor*s.settings.Slots:
		v.Status = 503
	default:
		v.ServiceTime = time.Duration(float64(s.settings.ServiceTime) * cost * slowdown)
	}
	return s, v
}

// WithDone returns s with one running request less.
func (s State) WithDone() State {
	s.running--
	return s
}
