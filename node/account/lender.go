package account

import (
	"maps"
	"slices"
	"time"

	"verbenapin.dev/node/config"
)

type leaseKey struct {
	account string
	session uint64
}

type leaseExpiry struct {
	key leaseKey
	at  time.Duration
}

// Shares holds a home's share of every account under one version. It is computed outside the control goroutine.
type Shares struct {
	version int64
	others  []string
	retired []string
	limits  map[string]Limit
}

// NewShares returns the shares of the home self under a tree whose accounts have the given homes (see HomesOf).
func NewShares(self string, t config.Tree, homes map[string][]string) Shares {
	s := Shares{version: t.Version(), retired: t.Fleet().Retired, limits: map[string]Limit{}}
	for _, name := range t.Fleet().Homes {
		if name != self {
			s.others = append(s.others, name)
		}
	}
	for _, a := range t.Accounts() {
		if l := ShareOf(a, homes[a.Name], self); l != (Limit{}) {
			s.limits[a.Name] = l
		}
	}
	return s
}

// WithVersion returns s under another version, for fleets whose homes change without a new tree.
func (s Shares) WithVersion(n int64) Shares {
	s.version = n
	return s
}

// WithOverage returns s with all limits increased by the given fraction, for fleets that allow an overage.
func (s Shares) WithOverage(overage float64) Shares {
	limits := make(map[string]Limit, len(s.limits))
	for name, l := range s.limits {
		limits[name] = Limit{Rate: l.Rate * (1 + overage), Burst: l.Burst * (1 + overage)}
	}
	s.limits = limits
	return s
}

// WithParts returns s with the limits of the named accounts reduced to a part, see Membership.Parts.
func (s Shares) WithParts(parts map[string]float64) Shares {
	if len(parts) == 0 {
		return s
	}
	limits := maps.Clone(s.limits)
	for name, part := range parts {
		if l, ok := limits[name]; ok {
			limits[name] = Limit{Rate: l.Rate * part, Burst: l.Burst * part}
		}
	}
	s.limits = limits
	return s
}

// Lender holds a home's buckets and the leases it has granted. The control goroutine owns it.
type Lender struct {
	self             string
	overage          bool
	firstVersion     int64
	current          Shares
	listed           map[string]bool  // other homes of all versions adopted, without retired ones
	known            map[string]int64 // versions of other homes, including those no longer listed
	effective        int64            // each share is the minimum over this and all later versions
	lowestKnown      int64            // lowest version that any home is known to hold
	lowestKnownSince time.Duration    // when lowestKnown last changed
	shares           map[string]ShareHistory
	buckets          map[string]Bucket
	leases           map[leaseKey]Lease
	expiries         []leaseExpiry
	removed          map[string]bool // accounts without a share from the effective version on, kept until their leases expire
	mayRefill        bool
	mayRefillAt      time.Duration // when SetMayRefill was last called
}

// NewLender returns the lender of a home that has just started.
func NewLender(self string, now time.Duration) *Lender {
	return &Lender{
		self: self, lowestKnownSince: now, listed: map[string]bool{}, known: map[string]int64{},
		shares: map[string]ShareHistory{}, buckets: map[string]Bucket{}, leases: map[leaseKey]Lease{},
	}
}

// NewOverageLender returns a lender in overage mode: it applies new shares at once and does not count lent tokens against the
// burst. The shares may add up to more than the rate while nodes see different fleets, within what the overage allows.
func NewOverageLender(self string, now time.Duration) *Lender {
	l := NewLender(self, now)
	l.overage = true
	return l
}

// SetShares adopts the shares of a higher version; others are ignored.
func (l *Lender) SetShares(now time.Duration, s Shares) {
	if s.version <= l.current.version {
		return
	}
	if l.firstVersion == 0 {
		l.firstVersion = s.version
	}
	for _, name := range s.others {
		l.listed[name] = true
	}
	// A retired home stays excluded when a later version drops it from the homes and from the retired ones.
	for _, name := range s.retired {
		delete(l.listed, name)
		delete(l.known, name)
	}
	for name, limit := range s.limits {
		if _, ok := l.shares[name]; !ok {
			share := ShareHistory{}
			if l.firstVersion < s.version {
				share = share.WithVersion(l.firstVersion, Limit{})
			}
			l.shares[name] = share.WithVersion(s.version, limit)
			l.buckets[name] = l.newBucket(now)
		}
	}
	for name, share := range l.shares {
		if l.overage {
			share = ShareHistory{} // earlier versions no longer count
		}
		l.shares[name] = share.WithVersion(s.version, s.limits[name])
	}
	l.current = s
	l.updateEffective(now)
	l.applyLimits(now)
}

// SetHomeVersions updates the versions that other homes hold; a restart of a home may lower its version.
// Zero stands for a home from which no report was received, or that has no version and so refills nothing.
func (l *Lender) SetHomeVersions(now time.Duration, known map[string]int64) {
	for name, version := range known {
		if name != l.self && version > 0 {
			l.known[name] = version
		}
	}
	l.updateEffective(now)
}

func (l *Lender) newBucket(now time.Duration) Bucket {
	if l.overage {
		return NewOverageBucket(now)
	}
	return NewBucket(now)
}

// hasSilentHome reports whether the version of some home that is not retired has been unknown since the start.
func (l *Lender) hasSilentHome() bool {
	for name := range l.listed {
		if _, ok := l.known[name]; !ok && !slices.Contains(l.current.retired, name) {
			return true
		}
	}
	return false
}

// isBehind reports whether another home holds a higher version.
func (l *Lender) isBehind() bool {
	for _, version := range l.known {
		if version > l.current.version {
			return true
		}
	}
	return false
}

// updateEffective updates the effective version from the lowest one known. A lower version takes effect at once.
// A higher one takes effect only when the leases granted under the lower one have expired:
// otherwise a home could refill its new share while tokens of the old shares can still be spent.
// A home that has just started with an old version must first adopt the newer one that other homes reported,
// since they may not know that this home no longer holds it.
func (l *Lender) updateEffective(now time.Duration) {
	if l.overage {
		l.effective, l.lowestKnown = l.current.version, l.current.version
		return
	}
	lowest := l.current.version
	for name, version := range l.known {
		if !slices.Contains(l.current.retired, name) {
			lowest = min(lowest, version)
		}
	}
	if lowest != l.lowestKnown {
		l.lowestKnown, l.lowestKnownSince = lowest, now
	}
	wait := homeLeaseTerm
	if l.hasSilentHome() {
		wait = silentHomeTerm
	}
	effective := min(l.effective, l.lowestKnown)
	if now-l.lowestKnownSince >= wait && (l.effective > 0 || !l.isBehind()) {
		effective = l.lowestKnown
	}
	if effective != l.effective {
		l.effective = effective
		l.applyLimits(now)
	}
}

func (l *Lender) applyLimits(now time.Duration) {
	l.removed = map[string]bool{}
	for name, b := range l.buckets {
		if _, ok := l.current.limits[name]; !ok && l.effective == l.current.version {
			l.removed[name] = true
		}
		if l.mayRefill {
			b = b.WithRefill(now)
		}
		l.buckets[name] = b.WithoutRefill(now).WithLimit(l.shares[name].Limit(l.effective))
	}
}

// MayLend reports whether the wait after the start has passed, so that buckets refill while that is allowed.
func (l *Lender) MayLend() bool { return l.effective > 0 }

// SetMayRefill states whether this home may refill: its status is to serve, and more than half of the homes, itself
// included, sent heartbeats within MaxHeartbeatAge with versions not above its own. Time in which it may not refill adds
// no tokens; neither does a gap between calls longer than MaxHeartbeatAge, which is a pause of the process.
func (l *Lender) SetMayRefill(now time.Duration, mayRefill bool) {
	if mayRefill && (!l.mayRefill || now-l.mayRefillAt > MaxHeartbeatAge) {
		for name, b := range l.buckets {
			l.buckets[name] = b.WithoutRefill(now)
		}
	}
	l.mayRefill, l.mayRefillAt = mayRefill, now
}

// Tick drops expired leases and accounts that no longer have a share here, and updates the effective version.
func (l *Lender) Tick(now time.Duration) {
	l.updateEffective(now)
	n := 0
	for ; n < len(l.expiries) && l.expiries[n].at <= now; n++ {
		key := l.expiries[n].key
		lease := l.leases[key]
		if lease.expires > now || lease.seq == 0 {
			continue
		}
		delete(l.leases, key)
		if b, ok := l.buckets[key.account]; ok {
			l.buckets[key.account] = b.WithExpired(lease)
		}
	}
	l.expiries = l.expiries[n:]
	for name := range l.removed {
		if l.buckets[name].sessions == 0 {
			delete(l.buckets, name)
			delete(l.shares, name)
			delete(l.removed, name)
		}
	}
}

// Grant applies a LeaseRequest and returns the answer.
func (l *Lender) Grant(now time.Duration, req LeaseRequest) Grant {
	l.Tick(now)
	grant := Grant{Seq: req.Seq, Rows: make([]GrantRow, 0, len(req.Rows))}
	for _, row := range req.Rows {
		b, ok := l.buckets[row.Account]
		if !ok {
			grant.Rows = append(grant.Rows, GrantRow{Account: row.Account, RetryAfter: RefundWindow})
			continue
		}
		key := leaseKey{account: row.Account, session: req.Session}
		old := l.leases[key]
		b, lease, answer := b.WithRequest(now, old, req.Seq, row, l.mayRefill)
		if lease.seq != old.seq {
			l.buckets[row.Account], l.leases[key] = b, lease
			l.expiries = append(l.expiries, leaseExpiry{key: key, at: lease.expires})
		}
		grant.Rows = append(grant.Rows, answer)
	}
	return grant
}
