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
	MaxConfirmationAge = 5 * time.Second // a node serves only with younger evidence
	settleTime         = 2 * time.Second // a fresh node tries its listed peers this long before the service's answer counts
	forgetAge          = 10 * time.Second
)

// Code is the outcome of a verdict.
type Code string

// Codes of verdicts.
const (
	StatusServe Code = "serve"
	StatusStale Code = "stale"
	StatusEmpty Code = "empty"
)

// ServeStatus tells whether a node may serve from its tree.
type ServeStatus struct {
	Code   Code
	Reason string
}

// Status is what a node does with an offered manifest.
type Status string

// Decisions on offers.
const (
	Fetch    Status = "fetch"    // higher than all known: its parts are to be fetched
	Same     Status = "same"     // held or being fetched
	Old      Status = "old"      // lower than what the node holds or fetches
	Conflict Status = "conflict" // another manifest under a known number; the first one stays
	Bad      Status = "bad"      // rejected before
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

// State is what a node knows of the configuration's versions; it never changes.
type State struct {
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
func NewVersion(self string, boot uint32) State {
	return State{self: self, boot: boot}
}

// WithStatic returns v with a tree that has no other source than this node, which is its own only home.
func (v State) WithStatic(m Manifest, t Tree) State {
	v.static, v.held, v.digest, v.tree = true, m, m.Digest(), t
	return v
}

// WithFeed returns v with the platform's registry as its only source. Such a node serves whatever the age of its version:
// the platform excuses a node that the registry cannot reach, and callers would be refused for nothing.
func (v State) WithFeed() State {
	v.fed = true
	return v
}

// Version returns the number of the held version, zero if there is none.
func (v State) Version() int64 { return v.held.Version }

// Manifest returns the held manifest.
func (v State) Manifest() Manifest { return v.held }

// Digest returns the digest of the held manifest.
func (v State) Digest() Digest { return v.digest }

// Tree returns the held tree.
func (v State) Tree() Tree { return v.tree }

// Pending returns the manifest whose parts are being fetched; its version is zero if there is none.
func (v State) Pending() Manifest { return v.pending }

// Rejected returns the last manifest whose parts are no valid tree; its version is zero if there is none.
func (v State) Rejected() Manifest { return v.rejected }

// IsHome tells whether the held tree names this node as a home that is not retired.
func (v State) IsHome() bool { return slices.Contains(v.tree.fleet.Active(), v.self) }

// WithOffer returns v after a manifest was offered by a peer or the service.
func (v State) WithOffer(m Manifest) (State, Status) {
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
func (v State) WithTree(m Manifest, t Tree) State {
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
func (v State) WithoutPending(m Manifest) State {
	if v.pending.Version == m.Version {
		v.pending = Manifest{}
	}
	return v
}

// WithRejected returns v after the parts of a manifest were found to be no valid tree.
// Another manifest may follow under the same number, since no node adopted this one.
func (v State) WithRejected(m Manifest) State {
	v.rejected = m
	if v.answer.version == m.Version && v.answer.digest == m.Digest() {
		v.answer.version, v.answer.digest = v.held.Version, v.digest
	}
	return v.WithoutPending(m).computed()
}

// WithTrying returns v after the node began to contact its listed peers.
func (v State) WithTrying(now time.Time) State {
	if v.trying.IsZero() {
		v.trying = now
	}
	return v
}

// WithAnswer returns v after the configuration service answered a request sent at the given time with a version.
func (v State) WithAnswer(sent time.Time, version int64, d Digest) State {
	if v.rejected.Version == version && version > 0 && v.rejected.Digest() == d {
		version, d = v.held.Version, v.digest // a rejected version leaves the held one in force
	}
	return v.withAnswer(answered{version: version, digest: d, at: sent}).computed()
}

// withAnswer keeps the answer with the highest version; an older version is no evidence.
func (v State) withAnswer(a answered) State {
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
func (v State) WithBeat(at time.Time, b instance.Heartbeat) State {
	e := b.VersionReport
	id := HomeID(b.Name)
	reported := slices.ContainsFunc(e.Homes, func(h instance.HomeReport) bool { return h.ID == id })
	if slices.Contains(v.former, b.Name) && e.Version > 0 && !reported {
		e.Homes = append(slices.Clone(e.Homes), instance.HomeReport{ID: id, BootID: b.BootID, Version: e.Version, Age: e.Age})
	}
	return v.WithConfirm(at, e)
}

// WithConfirm returns v after a heartbeat whose ages are as of the given time.
func (v State) WithConfirm(at time.Time, e instance.VersionReport) State {
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
func (v State) withRow(h heard, at time.Time, row instance.HomeReport) heard {
	if h.at.IsZero() {
		h.boot = row.BootID
	}
	if h.boot != row.BootID {
		h.lowest, h.lowestAt = min(h.known(at), row.Version), laterOf(h.at, at)
		if !at.After(h.at) {
			return h
		}
		h.boot, h.version, h.at = row.BootID, 0, time.Time{}
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
func (v State) bounded(homes map[uint32]heard, now time.Time) map[uint32]heard {
	keep := map[uint32]bool{}
	for _, name := range slices.Concat(v.tree.fleet.Homes, v.former) {
		keep[HomeID(name)] = true
	}
	for id, h := range homes {
		if !keep[id] && (now.Sub(h.at) > forgetAge || len(homes) > instance.MaxHomeReports) {
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

func (v State) computed() State {
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

// ServeStatus tells whether the node may serve at the given time; the age of the evidence is computed here.
func (v State) ServeStatus(now time.Time) ServeStatus {
	switch {
	case v.held.Version == 0:
		return ServeStatus{Code: StatusEmpty, Reason: "no version has arrived yet"}
	case v.static:
		return ServeStatus{Code: StatusServe, Reason: "the tree is static"}
	case v.fed:
		return ServeStatus{Code: StatusServe, Reason: "the registry gives the versions"}
	case v.alone:
		return ServeStatus{Code: StatusServe, Reason: "this node is the only home"}
	case fresh(now, v.majority):
		return ServeStatus{Code: StatusServe, Reason: "more than half of the homes were heard"}
	case fresh(now, v.confirmed) && v.hasTried(now):
		return ServeStatus{Code: StatusServe, Reason: "the configuration service confirmed the version"}
	case fresh(now, v.confirmed):
		return ServeStatus{Code: StatusStale, Reason: "fresh node, listed peers not tried long enough"}
	}
	return ServeStatus{Code: StatusStale, Reason: fmt.Sprintf("no evidence younger than %s that version %d is the newest", MaxConfirmationAge, v.held.Version)}
}

func fresh(now, at time.Time) bool { return !at.IsZero() && now.Sub(at) < MaxConfirmationAge }

func (v State) hasTried(now time.Time) bool {
	return v.settled || (!v.trying.IsZero() && now.Sub(v.trying) >= settleTime)
}

// EvidenceAge returns the age of the newest evidence, zero where none is needed or there is none.
func (v State) EvidenceAge(now time.Time) time.Duration {
	newest := laterOf(v.majority, v.confirmed)
	if v.static || v.fed || v.alone || newest.IsZero() {
		return 0
	}
	return now.Sub(newest)
}

// HasQuorum tells whether more than half of the homes, this node included if it is one, were heard within MaxConfirmationAge.
func (v State) HasQuorum(now time.Time) bool {
	return v.static || v.fed || v.alone || fresh(now, v.majority)
}

// HomeHeard returns when the most recently heard home sent its heartbeat, zero if none was heard.
func (v State) HomeHeard() time.Time {
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

// HomeVersions returns the versions of the other homes, also of former ones, that count for the shares of accounts;
// zero stands for a home that was never heard.
func (v State) HomeVersions(now time.Time) map[string]int64 {
	known := map[string]int64{}
	for _, name := range slices.Concat(v.tree.fleet.Active(), v.former) {
		if name != v.self {
			known[name] = v.homes[HomeID(name)].known(now)
		}
	}
	return known
}

// Homes returns what the node knows of each home of the held tree that is not retired, itself included, in the tree's order.
func (v State) Homes(now time.Time) []Home {
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
func (v State) Evidence(now time.Time) instance.VersionReport {
	e := instance.VersionReport{Version: v.held.Version, Manifest: v.digest}
	if fresh(now, v.confirmed) {
		e.Confirmed, e.Age = true, now.Sub(v.confirmed)
	}
	if v.IsHome() || slices.Contains(v.former, v.self) {
		e.Homes = append(e.Homes, instance.HomeReport{ID: HomeID(v.self), BootID: v.boot, Version: v.held.Version})
	}
	for _, id := range slices.Sorted(maps.Keys(v.homes)) {
		h := v.homes[id]
		if age := now.Sub(h.at); age <= forgetAge && len(e.Homes) < instance.MaxHomeReports {
			e.Homes = append(e.Homes, instance.HomeReport{ID: id, BootID: h.boot, Version: h.version, Age: age})
		}
	}
	return e
}
