// Package upstream is a stand-in for a target: a server with few slots, a cold start and faults that can be set.
package upstream

import "time"

// Settings are the properties of a target that don't change while it runs.
type Settings struct {
	Name        string
	Slots       int           // requests that it serves at full speed when warm
	MaxConns    int           // connections that it accepts
	ServiceTime time.Duration // mean service time of a request of cost 1
	Probe       time.Duration // time that a probe takes
	Connect     time.Duration // time that a new connection takes
	ColdStart   time.Duration // duration of a cold start
	Lag         time.Duration // age of the reports at /load and /health
}

// Defaults returns the settings of the deployments of the design page.
func Defaults(name string) Settings {
	return Settings{
		Name: name, Slots: 12, MaxConns: 260, ServiceTime: 5 * time.Millisecond, Probe: 6 * time.Millisecond,
		Connect: time.Millisecond, ColdStart: 5 * time.Second, Lag: time.Second,
	}
}

// Fault is a set of faults of a target.
type Fault struct {
	Slow  float64 `json:"slow"`  // factor of the service time, 0 means 1
	Fail  bool    `json:"fail"`  // answers 500 at once
	Shed  bool    `json:"shed"`  // answers 503 at once
	Drain bool    `json:"drain"` // answers 503 and closes connections, as before its end
}

// Verdict is how a target treats a request.
type Verdict struct {
	Status   int           // 200, or the status with which it is refused
	Took     time.Duration // service time
	Running  int           // requests that run, this one included
	Capacity int
}

// Over returns by how much the request exceeds the capacity.
func (v Verdict) Over() int { return max(0, v.Running-v.Capacity) }

const (
	// fallen is the time for which a cold target sheds after it got more than its capacity.
	fallen = 500 * time.Millisecond
	// shedAt is the multiple of the slots beyond which a warm target sheds.
	shedAt = 3
)

// State is the changing state of a target.
type State struct {
	settings Settings
	since    time.Time // start of the cold start, zero if warm
	until    time.Time // end of shedding after a fall
	fault    Fault
	running  int
}

// NewState returns the state of a warm target.
func NewState(settings Settings) State {
	return State{settings: settings}
}

// WithCold returns s at the begin of a cold start.
func (s State) WithCold(now time.Time) State {
	s.since = now
	return s
}

// WithFault returns s with other faults.
func (s State) WithFault(f Fault) State {
	s.fault = f
	return s
}

// Capacity returns the number of requests that the target can run now; in a cold start it grows from 1 to all slots.
func (s State) Capacity(now time.Time) int {
	if s.since.IsZero() || s.settings.ColdStart <= 0 {
		return s.settings.Slots
	}
	share := float64(now.Sub(s.since)) / float64(s.settings.ColdStart)
	if share >= 1 {
		return s.settings.Slots
	}
	return max(1, int(share*float64(s.settings.Slots)))
}

// cold tells whether a cold start is under way.
func (s State) cold(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) < s.settings.ColdStart
}

// WithArrival returns s with one more request of the given cost.
// A cold target that gets more than its capacity falls over: it sheds for a while and starts cold again.
func (s State) WithArrival(now time.Time, cost float64) (State, Verdict) {
	capacity := s.Capacity(now)
	s.running++
	v := Verdict{Status: 200, Running: s.running, Capacity: capacity}
	slow := max(1, s.fault.Slow)
	if v.Over() > 0 {
		slow *= float64(s.running) / float64(capacity)
		if s.cold(now) {
			s.since, s.until = now, now.Add(fallen)
		}
	}
	switch {
	case s.fault.Fail:
		v.Status = 500
	case s.fault.Shed, s.fault.Drain, now.Before(s.until), s.running > shedAt*s.settings.Slots:
		v.Status = 503
	default:
		v.Took = time.Duration(float64(s.settings.ServiceTime) * cost * slow)
	}
	return s, v
}

// WithDone returns s with one request less.
func (s State) WithDone() State {
	s.running--
	return s
}
