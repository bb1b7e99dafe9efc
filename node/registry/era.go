package registry

import "time"

// noticeEra records that the registry is in an era. A node that reads the registry rereads it whole as soon as it knows of an era higher
// than its snapshot's. The other nodes get the new state from a reader, or read it once they have no confirmation for lateAfter:
// from now on, updates of lower eras confirm nothing.
func (f *Feed) noticeEra(now time.Time, era int64) {
	if era <= f.seenEra {
		return
	}
	f.seenEra, f.seenEraAt = era, now
	f.needFullRead = true
	if f.readerRank < readerCount {
		f.nextCall = time.Time{}
	}
}

// enterEra follows the replacement of the snapshot by one of a higher era.
func (f *Feed) enterEra(now time.Time, from, to Point) {
	var took time.Duration
	if !f.seenEraAt.IsZero() && f.seenEra == to.Era {
		took = now.Sub(f.seenEraAt)
	}
	if to.Era >= f.seenEra {
		f.seenEra, f.seenEraAt, f.needFullRead = to.Era, time.Time{}, false
	}
	if from != (Point{}) && f.cfg.OnEra != nil {
		f.cfg.OnEra(from, to, took)
	}
}
