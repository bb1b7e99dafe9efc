package peer

import (
	"time"

	"verbenapin.dev/node/target"
)

// waitKnownFor is the age up to which a target's load counts for the wait of calls. A gate reports at least every maxReportInterval, so
// that an older load is that of a silent node or of one to which this node has sent nothing lately.
const waitKnownFor = silentAfter

// CallWait returns the expected wait of a call with the given rank at the best usable target of a service, or false if it is not known.
// It must be called on the control goroutine.
func (d *Dispatcher) CallWait(now time.Time, service string, p target.Priority) (time.Duration, bool) {
	return d.table.BestWait(now, d.candidates(service), d.evacuated(), p)
}

// BestWait returns the shortest wait that usable candidates have reported for a rank, or false if none of them has reported lately.
// Targets that are lost, leaving or evacuated do not count, and neither does a lack of them: calls then fail for another reason than
// their wait.
func (t TargetTable) BestWait(now time.Time, candidates []Candidate, evacuated []string, p target.Priority) (time.Duration, bool) {
	var best time.Duration
	known := false
	for i := range candidates {
		e := t.find(candidates[i].Name)
		if e == nil || !e.known || now.Sub(e.loadAt) >= waitKnownFor || t.exclusionReason(now, &candidates[i], evacuated, nil) != "" {
			continue
		}
		if wait := e.load.WaitOf(p); !known || wait < best {
			best, known = wait, true
		}
	}
	return best, known
}
