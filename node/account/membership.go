package account

import (
	"maps"
	"slices"
	"time"

	"verbenapin.dev/node/config"
)

// absenceTerm is how long a node that left the list without notice may go on lending its shares, because it may be cut off and not
// know. Cuts usually end sooner, and it is what a large account misses of its rate when many nodes end at once.
const absenceTerm = 30 * time.Second

// Membership is what a node knows of the nodes of the fleet: those that are listed, and those that left the list without notice less
// than absenceTerm ago. It is immutable.
type Membership struct {
	listed  []string                 // sorted
	leaving []string                 // listed nodes that have announced that they leave
	absent  map[string]time.Duration // absent nodes with the time at which they count as gone
}

// WithList returns m with the nodes that are listed now, and those of them that have announced that they leave.
func (m Membership) WithList(now time.Duration, listed, leaving []string) Membership {
	listed = slices.Sorted(slices.Values(listed))
	absent := maps.Clone(m.absent)
	for _, name := range listed {
		delete(absent, name)
	}
	for _, name := range m.listed {
		if _, ok := slices.BinarySearch(listed, name); ok || slices.Contains(m.leaving, name) {
			continue
		}
		if absent == nil {
			absent = map[string]time.Duration{}
		}
		absent[name] = now + absenceTerm
	}
	return Membership{listed: listed, leaving: leaving, absent: absent}
}

// WithoutGone returns m without the absent nodes that count as gone, and whether there were any.
func (m Membership) WithoutGone(now time.Duration) (Membership, bool) {
	gone := func(_ string, until time.Duration) bool { return now >= until }
	for _, until := range m.absent {
		if now >= until {
			m.absent = maps.Clone(m.absent)
			maps.DeleteFunc(m.absent, gone)
			return m, true
		}
	}
	return m, false
}

// Listed returns the nodes that are listed.
func (m Membership) Listed() []string { return m.listed }

// HasAbsent reports whether nodes are absent.
func (m Membership) HasAbsent() bool { return len(m.absent) > 0 }

// All returns the listed and the absent nodes, sorted.
func (m Membership) All() []string {
	return slices.Sorted(slices.Values(slices.Concat(m.listed, slices.Collect(maps.Keys(m.absent)))))
}

// Overage is by how much the requests of an account may exceed its rate and burst in a window, summed over the fleet, and how that is
// divided: homes always refill one part, and use the other to take over shares of absent nodes. The rest covers other differences
// between what nodes know.
type Overage struct {
	Refilled float64       // fraction of rate and burst that homes refill in addition
	Takeover float64       // fraction of the requests in a window that may run beyond that while nodes are absent
	Slack    float64       // requests in a window that may run in addition while nodes are absent
	Window   time.Duration // in which requests are counted
}

// takeover returns the fraction of an account's limit that listed homes may lend in place of absent ones.
func (o Overage) takeover(a config.Account) float64 {
	perWindow := a.Rate*o.Window.Seconds() + a.Burst
	if perWindow <= 0 {
		return 1
	}
	return (o.Takeover*perWindow + o.Slack) / ((1 + o.Refilled) * perWindow)
}

// Parts returns the part of the limit of each account that the listed nodes may lend while others are absent; an account without an entry
// has all of it. homes are the homes of the accounts among all nodes. An absent node may lend its share of an account as before, so that
// the listed ones lend the rest, and as much of the absent share as the overage covers.
func (m Membership) Parts(t config.Tree, homes map[string][]string, o Overage) map[string]float64 {
	parts := map[string]float64{}
	for _, a := range t.Accounts() {
		absent := 0
		for _, name := range homes[a.Name] {
			if _, ok := m.absent[name]; ok {
				absent++
			}
		}
		if absent == 0 {
			continue
		}
		share := float64(absent) / float64(len(homes[a.Name]))
		if part := 1 - share + min(share, o.takeover(a)); part < 1 {
			parts[a.Name] = part
		}
	}
	return parts
}
