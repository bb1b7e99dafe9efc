package config

import (
	"maps"
	"slices"
	"time"

	"verbenapin.dev/node/instance"
)

// Home is the state of a home as this node knows it.
type Home struct {
	Name        string
	BootID      uint32
	Version     int64 // highest version reported for this boot, zero if there was no report
	LastContact time.Time
}

// homeRecord is what heartbeats reported of a home.
type homeRecord struct {
	bootID        uint32
	version       int64
	lastContact   time.Time // lower bound of the time of the last heartbeat from the home
	lastConfirmed time.Time // the same for heartbeats with no version higher than the held one

	// minVersion is the lowest version reported for this boot and for another one; it limits effectiveVersion until
	// minVersionAt+maxReportAge. Ages are overestimated, so until the next heartbeat the report of an earlier boot can
	// appear newer than that of the current one.
	minVersion   int64
	minVersionAt time.Time
}

// effectiveVersion returns the lowest version that the home may hold according to the reports of its recent boots.
func (h homeRecord) effectiveVersion(now time.Time) int64 {
	if h.minVersion > 0 && now.Sub(h.minVersionAt) < maxReportAge {
		return min(h.version, h.minVersion)
	}
	return h.version
}

// removedHomes returns the distinct names that f does not list as homes, retired ones included.
func removedHomes(names []string, f Fleet) []string {
	var former []string
	for _, name := range names {
		if !slices.Contains(f.Homes, name) && !slices.Contains(former, name) {
			former = append(former, name)
		}
	}
	return former
}

// WithVersionReport returns v after a version report whose ages are relative to at.
func (v State) WithVersionReport(at time.Time, report instance.VersionReport) State {
	if v.static {
		return v
	}
	if report.Confirmed {
		v = v.withAnswer(serviceAnswer{version: report.Version, digest: report.Manifest, at: at.Add(-report.Age)})
	}
	homes := maps.Clone(v.homes)
	if homes == nil {
		homes = map[uint32]homeRecord{}
	}
	for _, row := range report.Homes {
		if row.Age > maxReportAge || row.ID == HomeID(v.self) {
			continue
		}
		homes[row.ID] = v.mergeHomeReport(homes[row.ID], at.Add(-row.Age), row)
	}
	v.homes = v.pruneHomes(homes, at)
	return v.withDerived()
}

// mergeHomeReport returns h updated by a report of the home; the version never decreases within one boot.
func (v State) mergeHomeReport(h homeRecord, at time.Time, row instance.HomeReport) homeRecord {
	if h.lastContact.IsZero() {
		h.bootID = row.BootID
	}
	if h.bootID != row.BootID {
		h.minVersion, h.minVersionAt = min(h.effectiveVersion(at), row.Version), laterOf(h.lastContact, at)
		if !at.After(h.lastContact) {
			return h
		}
		h.bootID, h.version, h.lastContact = row.BootID, 0, time.Time{}
	}
	h.version = max(h.version, row.Version)
	h.lastContact = laterOf(h.lastContact, at)
	if row.Version <= v.held.Version {
		h.lastConfirmed = laterOf(h.lastConfirmed, at)
	}
	return h
}

// pruneHomes deletes records of instances that are neither homes nor former homes, once they are too old or if there are
// too many records. Records of homes never expire, since a silent home may still lend under the version it last had.
func (v State) pruneHomes(homes map[uint32]homeRecord, now time.Time) map[uint32]homeRecord {
	keep := map[uint32]bool{}
	for _, name := range slices.Concat(v.tree.fleet.Homes, v.formerHomes) {
		keep[HomeID(name)] = true
	}
	for id, h := range homes {
		if !keep[id] && (now.Sub(h.lastContact) > maxReportAge || len(homes) > instance.MaxHomeReports) {
			delete(homes, id)
		}
	}
	return homes
}

// HasQuorum reports whether more than half of the homes, this node included if it is one, confirmed the held version within
// MaxConfirmationAge; it is always true for a static tree and for versions from the registry.
func (v State) HasQuorum(now time.Time) bool {
	return v.static || v.fromRegistry || v.onlyHome || isRecent(now, v.quorumAt)
}

// LastHomeContact returns a lower bound of the time of the last heartbeat from any home, zero if there was none.
func (v State) LastHomeContact() time.Time {
	former := map[uint32]bool{}
	for _, name := range v.formerHomes {
		former[HomeID(name)] = true
	}
	var at time.Time
	for id, h := range v.homes {
		if !former[id] { // former homes do not read the service
			at = laterOf(at, h.lastContact)
		}
	}
	return at
}

// HomeVersions returns the effective versions of the other homes, former ones included, for the division of accounts
// into shares; zero means that no report of the home was received.
func (v State) HomeVersions(now time.Time) map[string]int64 {
	versions := map[string]int64{}
	for _, name := range slices.Concat(v.tree.fleet.Active(), v.formerHomes) {
		if name != v.self {
			versions[name] = v.homes[HomeID(name)].effectiveVersion(now)
		}
	}
	return versions
}

// Homes returns the known state of each home of the held tree that is not retired, this node included, in the tree's order.
func (v State) Homes(now time.Time) []Home {
	var out []Home
	for _, name := range v.tree.fleet.Active() {
		if name == v.self {
			out = append(out, Home{Name: name, BootID: v.bootID, Version: v.held.Version, LastContact: now})
			continue
		}
		h := v.homes[HomeID(name)]
		out = append(out, Home{Name: name, BootID: h.bootID, Version: h.version, LastContact: h.lastContact})
	}
	return out
}

// VersionReport returns the version report for this node's heartbeats.
func (v State) VersionReport(now time.Time) instance.VersionReport {
	report := instance.VersionReport{Version: v.held.Version, Manifest: v.digest}
	if isRecent(now, v.confirmedAt) {
		report.Confirmed, report.Age = true, now.Sub(v.confirmedAt)
	}
	if v.IsHome() || slices.Contains(v.formerHomes, v.self) {
		report.Homes = append(report.Homes, instance.HomeReport{ID: HomeID(v.self), BootID: v.bootID, Version: v.held.Version})
	}
	for _, id := range slices.Sorted(maps.Keys(v.homes)) {
		h := v.homes[id]
		if age := now.Sub(h.lastContact); age <= maxReportAge && len(report.Homes) < instance.MaxHomeReports {
			report.Homes = append(report.Homes, instance.HomeReport{ID: id, BootID: h.bootID, Version: h.version, Age: age})
		}
	}
	return report
}
