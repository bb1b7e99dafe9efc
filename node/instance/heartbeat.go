package instance

import (
	"slices"
	"time"
)

// MaxHomeReports bounds the homes in one heartbeat. It leaves room for twice the most homes that a node has (24), since
// old and new homes are both reported while the list of homes changes.
const MaxHomeReports = 48

// HomeReport is what a heartbeat reports about one home.
type HomeReport struct {
	ID      uint32 // short digest of the home's name
	BootID  uint32
	Version int64
	Age     time.Duration // time since the home itself sent a heartbeat with this version; never underestimated
}

// VersionReport is the part of a heartbeat that package config fills in and reads.
type VersionReport struct {
	Version   int64
	Manifest  [32]byte
	Confirmed bool
	Age       time.Duration // time since the configuration service confirmed Version, if Confirmed
	Homes     []HomeReport
}

// Heartbeat is the message that two nodes exchange periodically. It carries ages instead of timestamps, because the clocks
// of machines differ.
type Heartbeat struct {
	Name    string
	BootID  uint32 // random number that identifies this run of the node process
	Leaving bool
	VersionReport
}

// WithDelay returns hb with all ages increased by d, the longest time that the message may have been in transit.
func (hb Heartbeat) WithDelay(d time.Duration) Heartbeat {
	hb.Age += d
	hb.Homes = slices.Clone(hb.Homes)
	for i := range hb.Homes {
		hb.Homes[i].Age += d
	}
	return hb
}

// WithoutKnown returns hb without the home reports that the sender of other already has in the same version and with the
// same or a lower age. The ages of both heartbeats must be as of the same time.
func (hb Heartbeat) WithoutKnown(other Heartbeat) Heartbeat {
	hb.Homes = slices.DeleteFunc(slices.Clone(hb.Homes), func(h HomeReport) bool {
		return slices.ContainsFunc(other.Homes, func(o HomeReport) bool {
			return o.ID == h.ID && o.BootID == h.BootID && o.Version == h.Version && o.Age <= h.Age
		})
	})
	return hb
}
