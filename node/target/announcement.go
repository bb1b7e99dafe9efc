package target

import (
	"time"

	"verbenapin.dev/node/answer"
)

const (
	// announcementHold is how long a response without an announcement does not end it: responses on different connections may arrive
	// in another order than that in which the target sent them.
	announcementHold = time.Second
	// announcementTTL is how long a sender passes on a rate after the last response that announced it; the restart of a gate takes a
	// few seconds.
	announcementTTL = 10 * time.Second
	// minAnnouncedRate keeps a few requests going to a target that announces a lower rate, since only its responses show that it
	// takes more again.
	minAnnouncedRate = 0.25
)

// Announcement is what a target in need has asked of all its senders together in its responses; it is immutable. A target repeats it
// in each response while it holds.
type Announcement struct {
	heard     bool      // a response of the target has been received
	limitedAt time.Time // last response that announced a rate, zero if none is in force
	rate      float64   // requests per second
	leavingAt time.Time // last response that announced that the target is leaving, zero if that is not in force
}

// WithReport returns the announcement after a response. Only a response to a request ends what was announced: those to probes come
// from another part of the target, which need not repeat it.
func (a Announcement) WithReport(now time.Time, r answer.TargetReport, probed bool) Announcement {
	ends := func(since time.Time) bool { return !probed && now.Sub(since) >= announcementHold }
	a.heard = a.heard || !probed
	switch {
	case r.HasRateLimit:
		a.limitedAt, a.rate = now, max(r.RateLimit, minAnnouncedRate)
	case ends(a.limitedAt):
		a.limitedAt, a.rate = time.Time{}, 0
	}
	switch {
	case r.Leaving:
		a.leavingAt = now
	case ends(a.leavingAt):
		a.leavingAt = time.Time{}
	}
	return a
}

// WithSenderRate returns the announcement with the rate that a sender has heard of, zero for none. It counts until the target itself
// has answered, so that a gate that has just started does not send the target more than that.
func (a Announcement) WithSenderRate(now time.Time, rate float64) Announcement {
	if !a.heard && rate > 0 {
		a.limitedAt, a.rate = now, rate
	}
	return a
}

// Rate returns the requests per second that the target takes from all its senders together, zero for any number.
func (a Announcement) Rate() float64 { return a.rate }

// RecentRate returns Rate if it was announced within announcementTTL, else zero.
func (a Announcement) RecentRate(now time.Time) float64 {
	if now.Sub(a.limitedAt) >= announcementTTL {
		return 0
	}
	return a.rate
}

// IsLeaving reports whether the target has announced that it is leaving.
func (a Announcement) IsLeaving() bool { return !a.leavingAt.IsZero() }
