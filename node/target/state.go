package target

import (
	"slices"
	"time"

	"verbenapin.dev/node/answer"
)

const (
	// nearlyFull is the share of a target's slots that the gate uses: some targets slow down beyond four fifths.
	usableShare = 0.8
	// paceWeight is the number of reports over which the pace of a target is averaged.
	slowdownWeight = 32
	// slowFrom is the multiple of its base pace from which a target counts as slow for the moment.
	slowPhaseFactor = 1.5
	// freshPace is the age of a report up to which a request may start on it. The pace changes every few hundred
	// milliseconds, so that one in ten such reports is out of date.
	freshFor = 25 * time.Millisecond
	// askPatience is how long a request waits for a fresh report; a probe beside the target takes 1 to 6 ms.
	maxReportWait = 40 * time.Millisecond
	// firstPhase is how long a target is assumed to stay slow until that was seen.
	initialSlowPhase = 200 * time.Millisecond
	// phaseWeight is the number of slow times over which their length is averaged.
	slowPhaseWeight = 8
	// coldSpan is the time over which a cold target bears its number of requests.
	coldWindow = time.Second
	// coldBurst is how many of them may start at once.
	coldBurst = 2
)

// Registration is one start of a target, as its platform states it.
type Registration struct {
	Name      string
	StartedAt time.Time
	Slots     int     // requests that it runs at once when warm, zero if unknown
	ColdRate  float64 // requests per second that it bears while it is cold, zero if unknown
}

// State is what a target tells of itself; it never changes.
type State struct {
	registration  Registration
	name          string        // name that the target told when it was last asked, empty if it does not tell it
	slowdown      float64       // time that work takes now as a multiple of the usual one, zero if it was not told
	meanSlowdown  float64       // long-term mean of the pace
	baseSlowdown  float64       // pace of the target while nothing slows it down for the moment
	heard         time.Time     // last report of the pace
	slowSince     time.Time     // begin of the present slow time, zero if there is none
	meanSlowPhase time.Duration // mean length of slow times, zero until one has ended
	coldUntil     time.Time     // end of the time in which the target is cold
	coldUnknown   bool          // the target may have turned cold since it was last asked
	starts        []time.Time   // of the requests within coldSpan
}

// Registration returns the start of the target that the state belongs to.
func (s State) Registration() Registration { return s.registration }

// WithRegistration returns the state of a target under a new statement; another start of the target is unknown as yet.
func (s State) WithRegistration(r Registration) State {
	if s.registration.Name != r.Name || !s.registration.StartedAt.Equal(r.StartedAt) {
		s = State{starts: s.starts, coldUnknown: true}
	}
	s.registration = r
	return s
}

// WithPossibleRestart returns the state of a target that may have started anew.
func (s State) WithPossibleRestart() State {
	s.coldUnknown = true
	return s
}

// WithReport returns the state after a response of the target; asked tells that it answered a probe, which alone tells
// whether it is cold.
func (s State) WithReport(now time.Time, r answer.TargetReport, probed bool) State {
	if r.HasLoad {
		s.slowdown, s.heard = r.Slowdown, now
		if s.meanSlowdown == 0 {
			s.meanSlowdown = r.Slowdown
		}
		s.meanSlowdown += (r.Slowdown - s.meanSlowdown) / slowdownWeight
		// A cold target is slow for seconds, so its usual pace is the lowest one lately and not the one of warm targets.
		if s.baseSlowdown == 0 {
			s.baseSlowdown = r.Slowdown
		}
		s.baseSlowdown = min(s.baseSlowdown+(r.Slowdown-s.baseSlowdown)/slowdownWeight, r.Slowdown)
		s = s.withSlowPhase(now)
	}
	if probed {
		s.coldUnknown, s.coldUntil, s.name = false, time.Time{}, r.Instance
		if r.ColdRemaining > 0 {
			s.coldUntil = now.Add(r.ColdRemaining)
		}
	}
	return s
}

// withSlowPhase follows the times in which the target is slow.
func (s State) withSlowPhase(now time.Time) State {
	switch {
	case s.slowdown >= slowPhaseFactor*s.baseSlowdown && s.slowSince.IsZero():
		s.slowSince = now
	case s.slowdown < slowPhaseFactor*s.baseSlowdown && !s.slowSince.IsZero():
		took := now.Sub(s.slowSince)
		if s.meanSlowPhase == 0 {
			s.meanSlowPhase = took
		}
		s.meanSlowPhase += (took - s.meanSlowPhase) / slowPhaseWeight
		s.slowSince = time.Time{}
	}
	return s
}

// IsFresh tells whether the pace is known well enough to start a request; one that starts on a slow target stays slow.
func (s State) IsFresh(now time.Time) bool { return s.heard.IsZero() || now.Sub(s.heard) < freshFor }

// SlowWait returns how long a request that takes the given time at the pace of a warm target had better wait for the target to
// become fast again, zero if it had better start now. Nothing tells how much of the slow time is left: half of a usual one
// counts, or as much as has passed already, since one that outlasts the usual length is of another kind.
func (s State) SlowWait(now time.Time, service time.Duration) time.Duration {
	if s.slowSince.IsZero() {
		return 0
	}
	wait := s.meanSlowPhase / 2
	if s.meanSlowPhase == 0 {
		wait = initialSlowPhase / 2
	}
	wait = max(wait, now.Sub(s.slowSince)-s.meanSlowPhase)
	if time.Duration(float64(service)*(s.slowdown-s.baseSlowdown)) <= wait {
		return 0
	}
	return wait
}

// DiffersFrom tells whether the target is known to be another one than the named one, which may be empty for any.
func (s State) DiffersFrom(name string) bool { return name != "" && s.name != "" && s.name != name }

// IsCold tells whether the target is cold or may be.
func (s State) IsCold(now time.Time) bool { return s.coldUnknown || now.Before(s.coldUntil) }

// NextStart returns the earliest time at which another request may start; the zero time if one may start now. A cold target gets
// its requests evenly, but for coldBurst of them, so that senders see at once when it has enough.
func (s State) NextStart(now time.Time) time.Time {
	if s.registration.ColdRate <= 0 || !s.IsCold(now) {
		return time.Time{}
	}
	recent := s.recentStarts(now)
	var next time.Time
	if allowed := max(int(s.registration.ColdRate), 1); len(recent) >= allowed {
		next = recent[len(recent)-allowed].Add(coldWindow)
	}
	if len(recent) >= coldBurst {
		spaced := recent[len(recent)-coldBurst].Add(time.Duration(coldBurst / s.registration.ColdRate * float64(coldWindow)))
		next = laterOf(next, spaced)
	}
	if !next.After(now) {
		return time.Time{}
	}
	return next
}

func (s State) recentStarts(now time.Time) []time.Time {
	at := slices.IndexFunc(s.starts, func(t time.Time) bool { return now.Sub(t) < coldWindow })
	if at < 0 {
		return nil
	}
	return s.starts[at:]
}

// WithStart returns the state after a request started.
func (s State) WithStart(now time.Time) State {
	if s.registration.ColdRate > 0 {
		s.starts = append(slices.Clone(s.recentStarts(now)), now)
	}
	return s
}

// Slowdown returns the present pace, 1 if the target does not tell it.
func (s State) Slowdown() float64 { return slowdownOrOne(s.slowdown) }

// BaseSlowdown returns the pace of the target while nothing slows it down for the moment, 1 if the target does not tell it.
func (s State) BaseSlowdown() float64 { return slowdownOrOne(s.baseSlowdown) }

// MeanSlowdown returns the mean pace, 1 if the target does not tell it.
func (s State) MeanSlowdown() float64 { return slowdownOrOne(s.meanSlowdown) }

func slowdownOrOne(slowdown float64) float64 {
	if slowdown <= 0 {
		return 1
	}
	return slowdown
}

// UsableSlots returns how many requests the gate lets run at once on a target with the given slots.
func UsableSlots(slots int) int { return max(int(usableShare*float64(slots)), 1) }
