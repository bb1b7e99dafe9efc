package target

import (
	"slices"
	"time"

	"verbenapin.dev/node/answer"
)

const (
	// usableShare is the share of a target's slots that the gate uses: some targets slow down when more than four
	// fifths are in use.
	usableShare = 0.8
	// slowdownWeight is the number of reports over which the slowdown of a target is averaged.
	slowdownWeight = 32
	// slowPhaseFactor is the multiple of its base slowdown from which a target counts as being in a slow phase.
	slowPhaseFactor = 1.5
	// freshFor is the age up to which a report suffices to start a request. The slowdown changes every few hundred
	// milliseconds, so that one in ten such reports is out of date.
	freshFor = 25 * time.Millisecond
	// maxReportWait is how long a request waits for a fresh report; a probe from the target's node takes 1 to 6 ms.
	maxReportWait = 40 * time.Millisecond
	// initialSlowPhase is the assumed length of a slow phase until one has ended.
	initialSlowPhase = 200 * time.Millisecond
	// slowPhaseWeight is the number of slow phases over which their length is averaged.
	slowPhaseWeight = 8
	// coldWindow is the sliding window in which a cold target gets at most ColdRate requests.
	coldWindow = time.Second
	// coldBurst is how many of these may start at once.
	coldBurst = 2
)

// Registration is what the platform declares about one start of a target.
type Registration struct {
	Name      string
	StartedAt time.Time
	Slots     int     // concurrent requests that it has capacity for when warm, zero if unknown
	ColdRate  float64 // requests per second that it has capacity for while cold, zero if unknown
	// WarmUp is how long it stays cold after its start, zero if unknown.
	WarmUp time.Duration
}

// DiffersFrom reports whether the registration is known to be of another target than the named one; an empty name stands for any.
func (r Registration) DiffersFrom(name string) bool {
	return name != "" && r.Name != "" && r.Name != name
}

// State holds what the platform declares about a target and what the target reports about itself; it is immutable.
type State struct {
	registration  Registration
	name          string        // name in the response to the last probe, empty if there was none
	slowdown      float64       // current multiple of the usual service time, zero if not reported
	meanSlowdown  float64       // long-term mean of the slowdown
	baseSlowdown  float64       // slowdown outside of slow phases
	loadAt        time.Time     // last report of the slowdown
	slowSince     time.Time     // start of the present slow phase, zero if there is none
	meanSlowPhase time.Duration // mean length of slow phases, zero until one has ended
	coldUntil     time.Time     // when the target becomes warm
	coldUnknown   bool          // the target may have restarted since a probe last said whether it is cold
	doubts        int           // times that it may have restarted
	heardAt       time.Time     // first report since coldUnknown was set
	starts        []time.Time   // starts of requests within coldWindow
	announced     Announcement
	pacer         pacer // keeps to the announced rate
}

// Registration returns the registration of the target.
func (s State) Registration() Registration { return s.registration }

// WithRegistration returns the state with a new registration; if that is of another start of the target, the reported
// values are reset.
func (s State) WithRegistration(r Registration) State {
	if s.registration.Name != r.Name || !s.registration.StartedAt.Equal(r.StartedAt) {
		s = State{starts: s.starts, doubts: s.doubts}.WithPossibleRestart() // the announcement was that of another start
	}
	s.registration = r
	return s
}

// WithPossibleRestart returns the state of a target that may have restarted.
func (s State) WithPossibleRestart() State {
	s.coldUnknown, s.heardAt, s.doubts = true, time.Time{}, s.doubts+1
	return s
}

// Doubts returns how often the target may have restarted.
func (s State) Doubts() int { return s.doubts }

// WithReport returns the state after a report of the target; probed is set if it came with a response to a probe that says whether the
// target is cold.
func (s State) WithReport(now time.Time, r answer.TargetReport, probed bool) State {
	if !s.registration.DiffersFrom(r.Instance) {
		s = s.withAnnouncement(now, s.announced.WithReport(now, r, probed))
	}
	if s.coldUnknown && s.heardAt.IsZero() {
		s.heardAt = now
	}
	if r.HasLoad {
		s.slowdown, s.loadAt = r.Slowdown, now
		if s.meanSlowdown == 0 {
			s.meanSlowdown = r.Slowdown
		}
		s.meanSlowdown += (r.Slowdown - s.meanSlowdown) / slowdownWeight
		// A cold target is slow for seconds, so that its base is its lowest recent slowdown and not that of a warm target.
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

func (s State) withAnnouncement(now time.Time, a Announcement) State {
	s.announced, s.pacer = a, s.pacer.withRate(now, a.Rate())
	return s
}

// WithSenderRate returns the state with the announced rate that a sender has heard of, zero for none.
func (s State) WithSenderRate(now time.Time, rate float64) State {
	return s.withAnnouncement(now, s.announced.WithSenderRate(now, rate))
}

// withSlowPhase tracks the slow phases of the target and their mean length.
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

// IsFresh reports whether the last report is recent enough to start a request; it is true if there was no report. The age
// matters at the start, because a request that starts on a slow target stays slow.
func (s State) IsFresh(now time.Time) bool { return s.loadAt.IsZero() || now.Sub(s.loadAt) < freshFor }

// SlowWait returns how long a request with the given service time at slowdown 1 should wait for the present slow phase to
// end, zero if starting now is better. The rest of the phase is unknown. The estimate is half of the mean length, or the
// time by which the phase exceeds the mean length if that is more, because such a phase has another cause.
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

// DiffersFrom reports whether the target is known to have another name than the given one, which may be empty for any.
func (s State) DiffersFrom(name string) bool { return name != "" && s.name != "" && s.name != name }

// IsCold reports whether the target is or may be cold. A target that no probe tells of counts as cold until it has answered for as long as
// it stays cold after a start.
func (s State) IsCold(now time.Time) bool {
	if s.coldUnknown {
		return s.registration.WarmUp <= 0 || s.heardAt.IsZero() || now.Sub(s.heardAt) < s.registration.WarmUp
	}
	return now.Before(s.coldUntil)
}

// StartRate returns the requests per second that may start at present, zero for any number.
func (s State) StartRate(now time.Time) float64 {
	rate := s.announced.Rate()
	if cold := s.registration.ColdRate; cold > 0 && s.IsCold(now) && (rate == 0 || cold < rate) {
		return cold
	}
	return rate
}

// NextStart returns the earliest time at which another request may start, zero if one may start now.
func (s State) NextStart(now time.Time) time.Time {
	return laterOf(s.nextColdStart(now), s.pacer.next(now))
}

// nextColdStart is NextStart for the cold rate. A cold target gets its requests evenly spaced, except for bursts of coldBurst, so that
// senders see at once when its rate is used up.
func (s State) nextColdStart(now time.Time) time.Time {
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
	s.pacer = s.pacer.withStart(now)
	if s.registration.ColdRate > 0 {
		s.starts = append(slices.Clone(s.recentStarts(now)), now)
	}
	return s
}

// Slowdown returns the present slowdown, 1 if the target does not report it.
func (s State) Slowdown() float64 { return slowdownOrOne(s.slowdown) }

// BaseSlowdown returns the slowdown outside of slow phases, 1 if the target does not report it.
func (s State) BaseSlowdown() float64 { return slowdownOrOne(s.baseSlowdown) }

// MeanSlowdown returns the mean slowdown, 1 if the target does not report it.
func (s State) MeanSlowdown() float64 { return slowdownOrOne(s.meanSlowdown) }

func slowdownOrOne(slowdown float64) float64 {
	if slowdown <= 0 {
		return 1
	}
	return slowdown
}

// UsableSlots returns how many concurrent requests the gate allows on a target with the given slots.
func UsableSlots(slots int) int { return max(int(usableShare*float64(slots)), 1) }
