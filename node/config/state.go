package config

import (
	"fmt"
	"slices"
	"time"

	"verbenapin.dev/node/instance"
)

// Durations that decide whether a held version may be served.
const (
	MaxConfirmationAge = 5 * time.Second // a node serves only if its version was confirmed more recently
	peerContactTime    = 2 * time.Second // after a start, time to contact listed peers before an answer of the service counts
	maxReportAge       = 10 * time.Second
)

// StatusCode is the code of a ServeStatus.
type StatusCode string

// Codes of ServeStatus.
const (
	StatusServe StatusCode = "serve"
	StatusStale StatusCode = "stale"
	StatusEmpty StatusCode = "empty"
)

// ServeStatus states whether a node may serve from its tree, and why.
type ServeStatus struct {
	Code   StatusCode
	Reason string
}

// OfferStatus is the result of offering a manifest to a node.
type OfferStatus string

// Results of offers.
const (
	OfferFetch    OfferStatus = "fetch"    // a higher version: its parts must be fetched
	OfferKnown    OfferStatus = "same"     // already held or being fetched
	OfferOutdated OfferStatus = "old"      // lower than what the node holds or fetches
	OfferConflict OfferStatus = "conflict" // differs from the known manifest with this version number, which is kept
	OfferRejected OfferStatus = "bad"      // has been rejected
)

// serviceAnswer is the newest version according to the configuration service.
type serviceAnswer struct {
	version int64
	digest  Digest
	at      time.Time
}

// State is a node's knowledge of configuration versions: its own, the service's and those of the homes. It is immutable.
type State struct {
	self            string
	bootID          uint32
	static          bool
	fromRegistry    bool // versions come from the platform's registry and need no confirmation
	held            Manifest
	digest          Digest
	tree            Tree
	pending         Manifest
	rejected        Manifest
	contactingSince time.Time // when the node started to contact its listed peers
	hadQuorum       bool      // since the start, more than half of the homes have confirmed a held version
	lastAnswer      serviceAnswer
	homes           map[uint32]homeRecord
	formerHomes     []string // homes in earlier versions that were removed without being retired

	// Derived from the fields above on each change, since every request asks for the status.
	quorumAt    time.Time // more than half of the homes sent a heartbeat at or after this time, with no version higher than the held one
	onlyHome    bool      // this node alone is more than half of the homes
	confirmedAt time.Time // lower bound of the time at which the service last confirmed the held version
}

// NewState returns the state of a node that has just started.
func NewState(self string, bootID uint32) State {
	return State{self: self, bootID: bootID}
}

// WithStatic returns v with a fixed tree that no offer or heartbeat replaces.
func (v State) WithStatic(m Manifest, t Tree) State {
	v.static, v.held, v.digest, v.tree = true, m, m.Digest(), t
	return v
}

// WithRegistry returns v with the platform's registry as its only source. Such a node serves however old its version is,
// since the platform accepts outdated nodes that its registry cannot reach, and refusing callers would gain nothing.
func (v State) WithRegistry() State {
	v.fromRegistry = true
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

// Rejected returns the last manifest whose parts did not form a valid tree; its version is zero if there is none.
func (v State) Rejected() Manifest { return v.rejected }

// IsHome reports whether the held tree names this node as a home that is not retired.
func (v State) IsHome() bool { return slices.Contains(v.tree.fleet.Active(), v.self) }

// WithOffer returns v after a peer or the service offered a manifest, and the result of the offer.
func (v State) WithOffer(m Manifest) (State, OfferStatus) {
	if v.static {
		return v, OfferOutdated
	}
	d := m.Digest()
	for _, known := range []Manifest{v.held, v.pending} {
		if m.Version != known.Version {
			continue
		}
		if d != known.Digest() {
			return v, OfferConflict
		}
		return v, OfferKnown
	}
	switch {
	case m.Version < v.held.Version || m.Version < v.pending.Version:
		return v, OfferOutdated
	case v.rejected.Version > 0 && d == v.rejected.Digest():
		return v, OfferRejected
	}
	v.pending = m
	return v, OfferFetch
}

// WithTree returns v after all parts of a manifest arrived and its tree was built; a lower version changes nothing.
func (v State) WithTree(m Manifest, t Tree) State {
	if v.static || m.Version <= v.held.Version {
		return v
	}
	v.formerHomes = removedHomes(slices.Concat(v.formerHomes, v.tree.fleet.Active()), t.fleet)
	v.held, v.digest, v.tree = m, m.Digest(), t
	if v.pending.Version <= m.Version {
		v.pending = Manifest{}
	}
	homes := make(map[uint32]homeRecord, len(v.homes))
	for id, h := range v.homes {
		if h.version <= m.Version {
			h.lastConfirmed = h.lastContact
		}
		homes[id] = h
	}
	v.homes = homes
	return v.withDerived()
}

// WithoutPending returns v after the parts of a manifest could not be fetched; a later offer starts a new fetch.
func (v State) WithoutPending(m Manifest) State {
	if v.pending.Version == m.Version {
		v.pending = Manifest{}
	}
	return v
}

// WithRejected returns v after the parts of a manifest were found not to form a valid tree.
// Another manifest may use the same version number, since no node adopted this one.
func (v State) WithRejected(m Manifest) State {
	v.rejected = m
	if v.lastAnswer.version == m.Version && v.lastAnswer.digest == m.Digest() {
		v.lastAnswer.version, v.lastAnswer.digest = v.held.Version, v.digest
	}
	return v.WithoutPending(m).withDerived()
}

// WithContactStarted returns v after the node started to contact its listed peers; later calls change nothing.
func (v State) WithContactStarted(now time.Time) State {
	if v.contactingSince.IsZero() {
		v.contactingSince = now
	}
	return v
}

// WithServiceAnswer returns v after the configuration service answered with a version; sent is the time of the request.
func (v State) WithServiceAnswer(sent time.Time, version int64, d Digest) State {
	if v.rejected.Version == version && version > 0 && v.rejected.Digest() == d {
		version, d = v.held.Version, v.digest // a rejected version confirms the held one
	}
	return v.withAnswer(serviceAnswer{version: version, digest: d, at: sent}).withDerived()
}

// withAnswer keeps the answer with the highest version; it ignores versions below the held one and other manifests with its number.
func (v State) withAnswer(a serviceAnswer) State {
	if a.version < v.held.Version || (a.version == v.held.Version && a.digest != v.digest) {
		return v
	}
	same := a.version == v.lastAnswer.version && a.digest == v.lastAnswer.digest
	held := a.version == v.held.Version
	switch {
	case same:
		if a.at.After(v.lastAnswer.at) {
			v.lastAnswer.at = a.at
		}
	case a.version > v.lastAnswer.version || (held && a.version == v.lastAnswer.version):
		v.lastAnswer = a
	}
	return v
}

// WithHeartbeat returns v after a heartbeat received directly from its sender.
// A former home that restarted does not know that it was a home, so its home report is derived from the heartbeat.
func (v State) WithHeartbeat(at time.Time, hb instance.Heartbeat) State {
	report := hb.VersionReport
	id := HomeID(hb.Name)
	reported := slices.ContainsFunc(report.Homes, func(h instance.HomeReport) bool { return h.ID == id })
	if slices.Contains(v.formerHomes, hb.Name) && report.Version > 0 && !reported {
		report.Homes = append(slices.Clone(report.Homes), instance.HomeReport{ID: id, BootID: hb.BootID, Version: report.Version, Age: report.Age})
	}
	return v.WithVersionReport(at, report)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (v State) withDerived() State {
	v.quorumAt, v.onlyHome, v.confirmedAt = time.Time{}, false, time.Time{}
	if v.lastAnswer.version == v.held.Version && v.lastAnswer.digest == v.digest {
		v.confirmedAt = v.lastAnswer.at
	}
	active := v.tree.fleet.Active()
	need := len(active)/2 + 1
	var times []time.Time
	for _, name := range active {
		if name == v.self {
			need--
			continue
		}
		if h := v.homes[HomeID(name)]; !h.lastConfirmed.IsZero() {
			times = append(times, h.lastConfirmed)
		}
	}
	switch {
	case need == 0:
		v.onlyHome = true
	case len(times) >= need:
		slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
		v.quorumAt = times[need-1]
	}
	v.hadQuorum = v.hadQuorum || v.onlyHome || !v.quorumAt.IsZero()
	return v
}

// ServeStatus returns whether the node may serve at the given time, and why.
func (v State) ServeStatus(now time.Time) ServeStatus {
	switch {
	case v.held.Version == 0:
		return ServeStatus{Code: StatusEmpty, Reason: "no version has arrived yet"}
	case v.static:
		return ServeStatus{Code: StatusServe, Reason: "the tree is static"}
	case v.fromRegistry:
		return ServeStatus{Code: StatusServe, Reason: "the registry gives the versions"}
	case v.onlyHome:
		return ServeStatus{Code: StatusServe, Reason: "this node is the only home"}
	case isRecent(now, v.quorumAt):
		return ServeStatus{Code: StatusServe, Reason: "more than half of the homes were heard"}
	case isRecent(now, v.confirmedAt) && v.hasTriedPeers(now):
		return ServeStatus{Code: StatusServe, Reason: "the configuration service confirmed the version"}
	case isRecent(now, v.confirmedAt):
		return ServeStatus{Code: StatusStale, Reason: "fresh node, listed peers not tried long enough"}
	}
	return ServeStatus{Code: StatusStale, Reason: fmt.Sprintf("no evidence younger than %s that version %d is the newest", MaxConfirmationAge, v.held.Version)}
}

func isRecent(now, at time.Time) bool { return !at.IsZero() && now.Sub(at) < MaxConfirmationAge }

func (v State) hasTriedPeers(now time.Time) bool {
	return v.hadQuorum || (!v.contactingSince.IsZero() && now.Sub(v.contactingSince) >= peerContactTime)
}

// ConfirmationAge returns the time since the last confirmation, zero if none is needed or there is none.
func (v State) ConfirmationAge(now time.Time) time.Duration {
	newest := laterOf(v.quorumAt, v.confirmedAt)
	if v.static || v.fromRegistry || v.onlyHome || newest.IsZero() {
		return 0
	}
	return now.Sub(newest)
}
