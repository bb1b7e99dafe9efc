package instance

import (
	"slices"
	"time"
)

// MaxHomeReports bounds the homes in one heartbeat; while the list of homes changes, old and new ones are carried.
const MaxHomeReports = 48

// HomeReport is what a heartbeat tells of one home.
type HomeReport struct {
	ID      uint32 // short digest of the home's name
	BootID  uint32
	Version int64
	Age     time.Duration // since the home itself sent a heartbeat with this version, never underestimated
}

// VersionReport is the part of a heartbeat that the config slice fills in and reads.
type VersionReport struct {
	Version   int64
	Manifest  [32]byte
	Confirmed bool
	Age       time.Duration // since the configuration service confirmed Version, if Confirmed
	Homes     []HomeReport
}

// Heartbeat is a heartbeat; it carries ages and no times, since clocks of machines differ.
type Heartbeat struct {
	Name    string
	BootID  uint32 // random number of this run of the node
	Leaving bool
	VersionReport
}

// WithDelay returns b with all ages increased by the time that the message may have been on its way.
func (b Heartbeat) WithDelay(d time.Duration) Heartbeat {
	b.Age += d
	b.Homes = slices.Clone(b.Homes)
	for i := range b.Homes {
		b.Homes[i].Age += d
	}
	return b
}

// WithoutKnown returns b without the homes of which the other heartbeat, with ages as of the same time, says the
// same and as recently: its sender gains nothing from hearing them again.
func (b Heartbeat) WithoutKnown(other Heartbeat) Heartbeat {
	b.Homes = slices.DeleteFunc(slices.Clone(b.Homes), func(h HomeReport) bool {
		return slices.ContainsFunc(other.Homes, func(o HomeReport) bool {
			return o.ID == h.ID && o.BootID == h.BootID && o.Version == h.Version && o.Age <= h.Age
		})
	})
	return b
}
