package target

import "time"

// leavingWait is how long requests that wait at a target may still start once the list of targets says that it leaves. News of that may be
// a second old, and no new work may reach the target a few seconds after it.
const leavingWait = 500 * time.Millisecond

// Listing is what the list of targets says of the target beside the node.
type Listing string

// Values of Listing.
const (
	ListingUnknown Listing = ""        // it has not been listed since the node started
	ListingPresent Listing = "present" // it is listed
	ListingLeaving Listing = "leaving" // it is listed as leaving
	ListingLapsed  Listing = "lapsed"  // its entry is missing, perhaps only because it expired while the list could not be written
	ListingGone    Listing = "gone"    // its entry was removed
)

// WithListing returns the gate after a change of what the list of targets says.
func (g Gate) WithListing(now time.Time, l Listing) Gate {
	g.listing = l
	return g.withDeparture(now)
}

// WithHealth returns the gate after a probe found that the target is healthy or not.
func (g Gate) WithHealth(now time.Time, healthy bool) Gate {
	g.unhealthy = !healthy
	return g.withDeparture(now)
}

// departs reports whether the target leaves by the list, whatever the senders of requests know. An entry that has lapsed may be that of a
// target that is well; one that leaves is unhealthy.
func (g Gate) departs() bool {
	switch g.listing {
	case ListingLeaving, ListingGone:
		return true
	case ListingLapsed:
		return g.unhealthy
	}
	return false
}

// withDeparture records since when the target leaves.
func (g Gate) withDeparture(now time.Time) Gate {
	switch {
	case !g.departs():
		g.departedAt = time.Time{}
	case g.departedAt.IsZero():
		g.departedAt = now
	}
	return g
}

// lastStart returns until when waiting requests may start at a target that leaves, zero if it does not.
func (g Gate) lastStart() time.Time {
	if g.departedAt.IsZero() {
		return time.Time{}
	}
	return g.departedAt.Add(leavingWait)
}
