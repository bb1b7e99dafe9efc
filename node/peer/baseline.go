package peer

import (
	"math/rand/v2"
	"time"
)

// RoundRobin uses all usable targets in turn; it is a baseline of the measuring program.
func RoundRobin(t TargetTable, now time.Time, _ *rand.Rand, candidates []Candidate, _ string, evacuated, tried []string) (Choice, bool) {
	for i := range candidates {
		c := &candidates[(t.sentCount+uint64(i))%uint64(len(candidates))]
		if t.exclusionReason(now, c, evacuated, tried) == "" {
			return Choice{Instance: c.Name, Reason: ReasonLowestScore}, true
		}
	}
	return Choice{Reason: ReasonEmpty}, false
}

// LeastReported uses the target with the lowest reported load; it is a baseline of the measuring program.
func LeastReported(t TargetTable, now time.Time, _ *rand.Rand, candidates []Candidate, _ string, evacuated, tried []string) (Choice, bool) {
	best, least := -1, 0
	for i := range candidates {
		c := &candidates[i]
		if t.exclusionReason(now, c, evacuated, tried) != "" {
			continue
		}
		load := 0
		if e := t.find(c.Name); e != nil {
			load = e.load.Running + e.load.Queued
		}
		if best < 0 || load < least {
			best, least = i, load
		}
	}
	if best < 0 {
		return Choice{Reason: ReasonEmpty}, false
	}
	return Choice{Instance: candidates[best].Name, Reason: ReasonLowestScore}, true
}
