package config

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"verbenapin.dev/node/instance"
)

// Times of the version rule.
const (
	EvidenceAge = 5 * time.Second // a node serves only with younger evidence
	settleTime  = 2 * time.Second // a fresh node tries its listed peers this long before the service's answer counts
	forgetAge   = 10 * time.Second
)

// Code is the outcome of a verdict.
type Code string

// Codes of verdicts.
const (
	Serve Code = "serve"
	Stale Code = "stale"
	Empty Code = "empty"
)

// Verdict tells whether a node may serve from its tree.
type Verdict struct {
	Code   Code
	Reason string
}

// Decision is what a node does with an offered manifest.
type Decision string

// Decisions on offers.
const (
	Fetch    Decision = "fetch"    // higher than all known: its parts are to be fetched
	Same     Decision = "same"     // held or being fetched
	Old      Decision = "old"      // lower than what the node holds or fetches
	Conflict Decision = "conflict" // another manifest under a known number; the first one stays
	Bad      Decision = "bad"      // rejected before
)

// Home is what a node knows of a home.
type Home struct {
	Name    string
	Boot    uint32
	Version int64 // highest version known for this boot, zero if the home was never heard
	Heard   time.Time
}

type heard struct {
	boot     uint32
	version  int64
	at       time.Time // the home sent a heartbeat at this time or later
	agreeing time.Time // the same, with no version higher than the one held here

	// lowest is the lowest version of this boot and of one reported at nearly the same time, until lowestAt+forgetAge.
	// Ages are overestimated, so the report of an earlier boot can seem to be the newer one until the next heartbeat.
	lowest   int64
	lowestAt time.Time
}

// known returns the version that counts for the home.
func (h heard) known(now time.Time) int64 {
	if h.lowest > 0 && now.Sub(h.lowestAt) < forgetAge {
		return min(h.version, h.lowest)
	}
	return h.version
}

type answered struct {
	version int64
	digest  Digest
	at      time.Time
}

// Version is what a node knows of the configuration's versions; it never changes.
type Version struct {
	self     string
	boot     uint32
	static   bool
	fed      bool // the platform's registry gives the versions, and no other node or home confirms them
	held     Manifest
	digest   Digest
	tree     Tree
	pending  Manifest
	rejected Manifest
	trying   time.Time
	settled  bool
	answer   answered
	homes    map[uint32]heard
	former   []string // homes of versions held before that were removed without being retired

	// Computed from the above on each change, since each request asks for the verdict.
	majority  time.Time // more than half of the homes were heard at this time or later
	alone     bool      // this node is more than half of the homes
	confirmed time.Time // the service confirmed the held version at this time or later
}

// NewVersion returns the state of a node that has just started.
func NewVersion(self string, boot uint32) Version {
	return Version{self: self, boot: boot}
}

// WithStatic returns v with a tree that has no other source than this node, which is its own only home.
func (v Version) WithStatic(m Manifest, t Tree) Version {
	v.static, v.held, v.digest, v.tree = true, m, m.Digest(), t
	return v
}

// WithFeed returns v with the platform's registry as its only source. Such a node serves whatever the age of its version:
// the platform excuses a node that the registry cannot reach, and callers would be refused for nothing.
func (v Version) WithFeed() Version {
	v.fed = true
	return v
}

// Number returns the number of the held version, zero if there is none.
func (v Version) Number() int64 { return v.held.Version }

// Manifest returns the held manifest.
func (v Version) Manifest() Manifest { return v.held }

// Digest returns the digest of the held manifest.
func (v Version) Digest() Digest { return v.digest }

// Tree returns the held tree.
func (v Version) Tree() Tree { return v.tree }

// Pending returns the manifest whose parts are being fetched; its version is zero if there is none.
func (v Version) Pending() Manifest { return v.pending }

// Rejected returns the last manifest whose parts are no valid tree; its version is zero if there is none.
func (v Version) Rejected() Manifest { return v.rejected }

// IsHome tells whether the held tree names this node as a home that is not retired.
func (v Version) IsHome() bool { return slices.Contains(v.tree.fleet.Active(), v.self) }

// WithOffer returns v after a manifest was offered by a peer or the service.
func (v Version) WithOffer(m Manifest) (Version, Decision) {
	if v.static {
		return v, Old
	}
	d := m.Digest()
	for _, known := range []Manifest{v.held, v.pending} {
		if m.Version != known.Version {
			continue
		}
		if d != known.Digest() {
			return v, Conflict
		}
		return v, Same
	}
	switch {
	case m.Version < v.held.Version || m.Version < v.pending.Version:
		return v, Old
	case v.rejected.Version > 0 && d == v.rejected.Digest():
		return v, Bad
	}
	v.pending = m
	return v, Fetch
}

// WithTree returns v after all parts of a manifest arrived and its tree was built; a lower version changes nothing.
func (v Version) WithTree(m Manifest, t Tree) Version {
	if v.static || m.Version <= v.held.Version {
		return v
	}
	v.former = formerHomes(slices.Concat(v.former, v.tree.fleet.Active()), t.fleet)
	v.held, v.digest, v.tree = m, m.Digest(), t
	if v.pending.Version <= m.Version {
		v.pending = Manifest{}
	}
	homes := make(map[uint32]heard, len(v.homes))
	for id, h := range v.homes {
		if h.version <= m.Version {
			h.agreeing = h.at
		}
		homes[id] = h
	}
	v.homes = homes
	return v.computed()
}

// formerHomes returns the names that are no homes in a fleet and not retired there.
func formerHomes(names []string, f Fleet) []string {
	var former []string
	for _, name := range names {
		if !slices.Contains(f.Homes, name) && !slices.Contains(former, name) {
			former = append(former, name)
		}
	}
	return former
}

// WithoutPending returns v after the parts of a manifest could not be had; a later offer starts again.
func (v Version) WithoutPending(m Manifest) Version {
	if v.pending.Version == m.Version {
		v.pending = Manifest{}
	}
	return v
}

// WithRejected returns v after the parts of a manifest were found to be no valid tree.
// Another manifest may follow under the same number, since no node adopted this one.
func (v Version) WithRejected(m Manifest) Version {
	v.rejected = m
	if v.answer.version == m.Version && v.answer.digest == m.Digest() {
		v.answer.version, v.answer.digest = v.held.Version, v.digest
	}
	return v.WithoutPending(m).computed()
}

// WithTrying returns v after the node began to contact its listed peers.
func (v Version) WithTrying(now time.Time) Version {
	if v.trying.IsZero() {
		v.trying = now
	}
	return v
}

// WithAnswer returns v after the configuration service answered a request sent at the given time with a version.
func (v Version) WithAnswer(sent time.Time, version int64, d Digest) Version {
	if v.rejected.Version == version && version > 0 && v.rejected.Digest() == d {
		version, d = v.held.Version, v.digest // a rejected version leaves the held one in force
	}
	return v.withAnswer(answered{version: version, digest: d, at: sent}).computed()
}

// withAnswer keeps the answer with the highest version; an older version is no evidence.
func (v Version) withAnswer(a answered) Version {
	if a.version < v.held.Version || (a.version == v.held.Version && a.digest != v.digest) {
		return v
	}
	same := a.version == v.answer.version && a.digest == v.answer.digest
	held := a.version == v.held.Version
	switch {
	case same:
		if a.at.After(v.answer.at) {
			v.answer.at = a.at
		}
	case a.version > v.answer.version || (held && a.version == v.answer.version):
		v.answer = a
	}
	return v
}

// WithBeat returns v after a heartbeat received from its sender.
// A former home that restarted does not know that it was one, so its report is made up from the heartbeat itself.
func (v Version) WithBeat(at time.Time, b instance.Beat) Version {
	e := b.Evidence
	id := HomeID(b.Name)
	reported := slices.ContainsFunc(e.Homes, func(h instance.Home) bool { return h.ID == id })
	if slices.Contains(v.former, b.Name) && e.Version > 0 && !reported {
		e.Homes = append(slices.Clone(e.Homes), instance.Home{ID: id, Boot: b.Boot, Version: e.Version, Age: e.Age})
	}
	return v.WithConfirm(at, e)
}

// WithConfirm returns v after a heartbeat whose ages are as of the given time.
func (v Version) WithConfirm(at time.Time, e instance.Evidence) Version {
	if v.static {
		return v
	}
	if e.Confirmed {
		v = v.withAnswer(answered{version: e.Version, digest: e.Manifest, at: at.Add(-e.Age)})
	}
	homes := maps.Clone(v.homes)
	if homes == nil {
		homes = map[uint32]heard{}
	}
	for _, row := range e.Homes {
		if row.Age > forgetAge || row.ID == HomeID(v.self) {
			continue
		}
		homes[row.ID] = v.withRow(homes[row.ID], at.Add(-row.Age), row)
	}
	v.homes = v.bounded(homes, at)
	return v.computed()
}

// withRow takes the report that the home itself sent last; for one boot its version only rises.
func (v Version) withRow(h heard, at time.Time, row instance.Home) heard {
	if h.at.IsZero() {
		h.boot = row.Boot
	}
	if h.boot != row.Boot {
		h.lowest, h.lowestAt = min(h.known(at), row.Version), laterOf(h.at, at)
		if !at.After(h.at) {
			return h
		}
		h.boot, h.version, h.at = row.Boot, 0, time.Time{}
	}
	h.version = max(h.version, row.Version)
	h.at = laterOf(h.at, at)
	if row.Version <= v.held.Version {
		h.agreeing = laterOf(h.agreeing, at)
	}
	return h
}

// bounded drops reports of instances that are no homes in a version held so far and no longer heard.
// Reports of homes stay however old they are: a silent home may still lend under the version it last had.
func (v Version) bounded(homes map[uint32]heard, now time.Time) map[uint32]heard {
	keep := map[uint32]bool{}
	for _, name := range slices.Concat(v.tree.fleet.Homes, v.former) {
		keep[HomeID(name)] = true
	}
	for id, h := range homes {
		if !keep[id] && (now.Sub(h.at) > forgetAge || len(homes) > instance.MaxHomes) {
			delete(homes, id)
		}
	}
	return homes
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (v Version) computed() Version {
	v.majority, v.alone, v.confirmed = time.Time{}, false, time.Time{}
	if v.answer.version == v.held.Version && v.answer.digest == v.digest {
		v.confirmed = v.answer.at
	}
	active := v.tree.fleet.Active()
	need := len(active)/2 + 1
	var times []time.Time
	for _, name := range active {
		if name == v.self {
			need--
			continue
		}
		if h := v.homes[HomeID(name)]; !h.agreeing.IsZero() {
			times = append(times, h.agreeing)
		}
	}
	switch {
	case need == 0:
		v.alone = true
	case len(times) >= need:
		slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
		v.majority = times[need-1]
	}
	v.settled = v.settled || v.alone || !v.majority.IsZero()
	return v
}

// Verdict tells whether the node may serve at the given time; the age of the evidence is computed here.
func (v Version) Verdict(now time.Time) Verdict {
	switch {
	case v.held.Version == 0:
		return Verdict{Code: Empty, Reason: "no version has arrived yet"}
	case v.static:
		return Verdict{Code: Serve, Reason: "the tree is static"}
	case v.fed:
		return Verdict{Code: Serve, Reason: "the registry gives the versions"}
	case v.alone:
		return Verdict{Code: Serve, Reason: "this node is the only home"}
	case fresh(now, v.majority):
		return Verdict{Code: Serve, Reason: "more than half of the homes were heard"}
	case fresh(now, v.confirmed) && v.hasTried(now):
		return Verdict{Code: Serve, Reason: "the configuration service confirmed the version"}
	case fresh(now, v.confirmed):
		return Verdict{Code: Stale, Reason: "fresh node, listed peers not tried long enough"}
	}
	return Verdict{Code: Stale, Reason: fmt.Sprintf("no evidence younger than %s that version %d is the newest", EvidenceAge, v.held.Version)}
}

func fresh(now, at time.Time) bool { return !at.IsZero() && now.Sub(at) < EvidenceAge }

func (v Version) hasTried(now time.Time) bool {
	return v.settled || (!v.trying.IsZero() && now.Sub(v.trying) >= settleTime)
}

// EvidenceAge returns the age of the newest evidence, zero where none is needed or there is none.
func (v Version) EvidenceAge(now time.Time) time.Duration {
	newest := laterOf(v.majority, v.confirmed)
	if v.static || v.fed || v.alone || newest.IsZero() {
		return 0
	}
	return now.Sub(newest)
}

// MajorityHeard tells whether more than half of the homes, this node included if it is one, were heard within EvidenceAge.
func (v Version) MajorityHeard(now time.Time) bool {
	return v.static || v.fed || v.alone || fresh(now, v.majority)
}

// HomeHeard returns when the most recently heard home sent its heartbeat, zero if none was heard.
func (v Version) HomeHeard() time.Time {
	former := map[uint32]bool{}
	for _, name := range v.former {
		former[HomeID(name)] = true
	}
	var at time.Time
	for id, h := range v.homes {
		if !former[id] { // former homes do not read the service
			at = laterOf(at, h.at)
		}
	}
	return at
}

// Known returns the versions of the other homes, also of former ones, that count for the shares of accounts;
// zero stands for a home that was never heard.
func (v Version) Known(now time.Time) map[string]int64 {
	known := map[string]int64{}
	for _, name := range slices.Concat(v.tree.fleet.Active(), v.former) {
		if name != v.self {
			known[name] = v.homes[HomeID(name)].known(now)
		}
	}
	return known
}

// Homes returns what the node knows of each home of the held tree that is not retired, itself included, in the tree's order.
func (v Version) Homes(now time.Time) []Home {
	var out []Home
	for _, name := range v.tree.fleet.Active() {
		if name == v.self {
			out = append(out, Home{Name: name, Boot: v.boot, Version: v.held.Version, Heard: now})
			continue
		}
		h := v.homes[HomeID(name)]
		out = append(out, Home{Name: name, Boot: h.boot, Version: h.version, Heard: h.at})
	}
	return out
}

// Evidence returns what this node's heartbeat says of versions.
func (v Version) Evidence(now time.Time) instance.Evidence {
	e := instance.Evidence{Version: v.held.Version, Manifest: v.digest}
	if fresh(now, v.confirmed) {
		e.Confirmed, e.Age = true, now.Sub(v.confirmed)
	}
	if v.IsHome() || slices.Contains(v.former, v.self) {
		e.Homes = append(e.Homes, instance.Home{ID: HomeID(v.self), Boot: v.boot, Version: v.held.Version})
	}
	for _, id := range slices.Sorted(maps.Keys(v.homes)) {
		h := v.homes[id]
		if age := now.Sub(h.at); age <= forgetAge && len(e.Homes) < instance.MaxHomes {
			e.Homes = append(e.Homes, instance.Home{ID: id, Boot: h.boot, Version: h.version, Age: age})
		}
	}
	return e
}
