package instance

import (
	"slices"
	"time"
)

// MaxHomes bounds the homes in one heartbeat; while the list of homes changes, old and new ones are carried.
const MaxHomes = 48

// Home is what a heartbeat tells of one home.
type Home struct {
	ID      uint32 // short digest of the home's name
	Boot    uint32
	Version int64
	Age     time.Duration // since the home itself sent a heartbeat with this version, never underestimated
}

// Evidence is the part of a heartbeat that the config slice fills in and reads.
type Evidence struct {
	Version   int64
	Manifest  [32]byte
	Confirmed bool
	Age       time.Duration // since the configuration service confirmed Version, if Confirmed
	Homes     []Home
}

// Beat is a heartbeat; it carries ages and no times, since clocks of machines differ.
type Beat struct {
	Name    string
	Boot    uint32 // random number of this run of the node
	Leaving bool
	Evidence
}

// WithDelay returns b with all ages increased by the time that the message may have been on its way.
func (b Beat) WithDelay(d time.Duration) Beat {
	b.Age += d
	b.Homes = slices.Clone(b.Homes)
	for i := range b.Homes {
		b.Homes[i].Age += d
	}
	return b
}

// WithoutKnown returns b without the homes of which the other heartbeat, with ages as of the same time, says the
// same and as recently: its sender gains nothing from hearing them again.
func (b Beat) WithoutKnown(other Beat) Beat {
	b.Homes = slices.DeleteFunc(slices.Clone(b.Homes), func(h Home) bool {
		return slices.ContainsFunc(other.Homes, func(o Home) bool {
			return o.ID == h.ID && o.Boot == h.Boot && o.Version == h.Version && o.Age <= h.Age
		})
	})
	return b
}
