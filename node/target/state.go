package target

import (
	"slices"
	"time"

	"verbenapin.dev/node/answer"
)

const (
	// nearlyFull is the share of a target's slots that the gate uses: some targets slow down beyond four fifths.
	nearlyFull = 0.8
	// paceWeight is the number of reports over which the pace of a target is averaged.
	paceWeight = 32
	// slowFrom is the multiple of its base pace from which a target counts as slow for the moment.
	slowFrom = 1.5
	// freshPace is the age of a report up to which a request may start on it. The pace changes every few hundred
	// milliseconds, so that one in ten such reports is out of date.
	freshPace = 25 * time.Millisecond
	// askPatience is how long a request waits for a fresh report; a probe beside the target takes 1 to 6 ms.
	askPatience = 40 * time.Millisecond
	// firstPhase is how long a target is assumed to stay slow until that was seen.
	firstPhase = 200 * time.Millisecond
	// phaseWeight is the number of slow times over which their length is averaged.
	phaseWeight = 8
	// coldSpan is the time over which a cold target bears its number of requests.
	coldSpan = time.Second
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
	registration Registration
	present      string        // name that the target told when it was last asked, empty if it does not tell it
	pace         float64       // time that work takes now as a multiple of the usual one, zero if it was not told
	mean         float64       // long-term mean of the pace
	base         float64       // pace of the target while nothing slows it down for the moment
	told         time.Time     // last report of the pace
	slow         time.Time     // begin of the present slow time, zero if there is none
	phase        time.Duration // mean length of slow times, zero until one has ended
	cold         time.Time     // end of the time in which the target is cold
	unsure       bool          // the target may have turned cold since it was last asked
	starts       []time.Time   // of the requests within coldSpan
}

// Identity returns the start of the target that the state belongs to.
func (s State) Identity() Registration { return s.registration }

// WithIdentity returns the state of a target under a new statement; another start of the target is unknown as yet.
func (s State) WithIdentity(i Registration) State {
	if s.registration.Name != i.Name || !s.registration.StartedAt.Equal(i.StartedAt) {
		s = State{starts: s.starts, unsure: true}
	}
	s.registration = i
	return s
}

// WithDoubt returns the state of a target that may have started anew.
func (s State) WithDoubt() State {
	s.unsure = true
	return s
}

// WithReport returns the state after a response of the target; asked tells that it answered a probe, which alone tells
// whether it is cold.
func (s State) WithReport(now time.Time, r answer.TargetReport, asked bool) State {
	if r.HasLoad {
		s.pace, s.told = r.Slowdown, now
		if s.mean == 0 {
			s.mean = r.Slowdown
		}
		s.mean += (r.Slowdown - s.mean) / paceWeight
		// A cold target is slow for seconds, so its usual pace is the lowest one lately and not the one of warm targets.
		if s.base == 0 {
			s.base = r.Slowdown
		}
		s.base = min(s.base+(r.Slowdown-s.base)/paceWeight, r.Slowdown)
		s = s.withPhase(now)
	}
	if asked {
		s.unsure, s.cold, s.present = false, time.Time{}, r.Instance
		if r.ColdRemaining > 0 {
			s.cold = now.Add(r.ColdRemaining)
		}
	}
	return s
}

// withPhase follows the times in which the target is slow.
func (s State) withPhase(now time.Time) State {
	switch {
	case s.pace >= slowFrom*s.base && s.slow.IsZero():
		s.slow = now
	case s.pace < slowFrom*s.base && !s.slow.IsZero():
		took := now.Sub(s.slow)
		if s.phase == 0 {
			s.phase = took
		}
		s.phase += (took - s.phase) / phaseWeight
		s.slow = time.Time{}
	}
	return s
}

// IsFresh tells whether the pace is known well enough to start a request; one that starts on a slow target stays slow.
func (s State) IsFresh(now time.Time) bool { return s.told.IsZero() || now.Sub(s.told) < freshPace }

// Hold returns how long a request that takes the given time at the pace of a warm target had better wait for the target to
// become fast again, zero if it had better start now. Nothing tells how much of the slow time is left: half of a usual one
// counts, or as much as has passed already, since one that outlasts the usual length is of another kind.
func (s State) Hold(now time.Time, service time.Duration) time.Duration {
	if s.slow.IsZero() {
		return 0
	}
	wait := s.phase / 2
	if s.phase == 0 {
		wait = firstPhase / 2
	}
	wait = max(wait, now.Sub(s.slow)-s.phase)
	if time.Duration(float64(service)*(s.pace-s.base)) <= wait {
		return 0
	}
	return wait
}

// IsOther tells whether the target is known to be another one than the named one, which may be empty for any.
func (s State) IsOther(name string) bool { return name != "" && s.present != "" && s.present != name }

// IsCold tells whether the target is cold or may be.
func (s State) IsCold(now time.Time) bool { return s.unsure || now.Before(s.cold) }

// Free returns the earliest time at which another request may start; the zero time if one may start now. A cold target gets
// its requests evenly, but for coldBurst of them, so that senders see at once when it has enough.
func (s State) Free(now time.Time) time.Time {
	if s.registration.ColdRate <= 0 || !s.IsCold(now) {
		return time.Time{}
	}
	recent := s.recent(now)
	var free time.Time
	if most := max(int(s.registration.ColdRate), 1); len(recent) >= most {
		free = recent[len(recent)-most].Add(coldSpan)
	}
	if len(recent) >= coldBurst {
		even := recent[len(recent)-coldBurst].Add(time.Duration(coldBurst / s.registration.ColdRate * float64(coldSpan)))
		free = laterOf(free, even)
	}
	if !free.After(now) {
		return time.Time{}
	}
	return free
}

func (s State) recent(now time.Time) []time.Time {
	at := slices.IndexFunc(s.starts, func(t time.Time) bool { return now.Sub(t) < coldSpan })
	if at < 0 {
		return nil
	}
	return s.starts[at:]
}

// WithStart returns the state after a request started.
func (s State) WithStart(now time.Time) State {
	if s.registration.ColdRate > 0 {
		s.starts = append(slices.Clone(s.recent(now)), now)
	}
	return s
}

// Pace returns the present pace, 1 if the target does not tell it.
func (s State) Pace() float64 { return orUsual(s.pace) }

// Base returns the pace of the target while nothing slows it down for the moment, 1 if the target does not tell it.
func (s State) Base() float64 { return orUsual(s.base) }

// Mean returns the mean pace, 1 if the target does not tell it.
func (s State) Mean() float64 { return orUsual(s.mean) }

func orUsual(pace float64) float64 {
	if pace <= 0 {
		return 1
	}
	return pace
}

// Usable returns how many requests the gate lets run at once on a target with the given slots.
func Usable(slots int) int { return max(int(nearlyFull*float64(slots)), 1) }
