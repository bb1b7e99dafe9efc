package account

import (
	"slices"
	"time"

	"verbenapin.dev/node/config"
)

type loanKey struct {
	account string
	session uint64
}

type dueLoan struct {
	key loanKey
	at  time.Duration
}

// Shares is a home's share of every account under one version, computed outside the control goroutine.
type Shares struct {
	version int64
	others  []string
	retired []string
	limits  map[string]Limit
}

// NewShares returns the shares of a home under a tree whose accounts have the given homes (see HomesOf).
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

// WithVersion returns the shares under another number, for fleets whose homes change without a new tree.
func (s Shares) WithVersion(n int64) Shares {
	s.version = n
	return s
}

// WithOverage returns the shares increased by a part of themselves, for fleets whose promise allows that.
func (s Shares) WithOverage(overage float64) Shares {
	limits := make(map[string]Limit, len(s.limits))
	for name, l := range s.limits {
		limits[name] = Limit{Rate: l.Rate * (1 + overage), Burst: l.Burst * (1 + overage)}
	}
	s.limits = limits
	return s
}

// Ledger is a home's side: the shares it mints and the loans it gave. The control goroutine owns it.
type Ledger struct {
	self    string
	eager   bool
	first   int64
	current Shares
	listed  map[string]bool  // homes of all versions held
	known   map[string]int64 // versions of homes, also of those no longer listed
	lowest  int64            // version from which shares count
	next    int64            // lowest version known of all homes
	since   time.Duration    // when next was reached
	shares  map[string]Share
	homes   map[string]Home
	loans   map[loanKey]Loan
	due     []dueLoan
	gone    map[string]bool // accounts without a share here under any version that counts, until their loans expire
	mint    bool
	allowed time.Duration
}

// NewLedger returns the ledger of a home that has just started.
func NewLedger(self string, now time.Duration) *Ledger {
	return &Ledger{
		self: self, since: now, listed: map[string]bool{}, known: map[string]int64{},
		shares: map[string]Share{}, homes: map[string]Home{}, loans: map[loanKey]Loan{},
	}
}

// NewEagerLedger returns the ledger of a home that applies each new share at once and lends loosely. The sum of the shares
// may exceed the rate while views of the fleet differ, which the promise with an overage allows.
func NewEagerLedger(self string, now time.Duration) *Ledger {
	l := NewLedger(self, now)
	l.eager = true
	return l
}

// SetShares adopts the shares of a higher version.
func (l *Ledger) SetShares(now time.Duration, s Shares) {
	if s.version <= l.current.version {
		return
	}
	if l.first == 0 {
		l.first = s.version
	}
	for _, name := range s.others {
		l.listed[name] = true
	}
	// A retired home stays excluded when a later version drops its name from both lists.
	for _, name := range s.retired {
		delete(l.listed, name)
		delete(l.known, name)
	}
	for name, limit := range s.limits {
		if _, ok := l.shares[name]; !ok {
			share := Share{}
			if l.first < s.version {
				share = share.WithVersion(l.first, Limit{})
			}
			l.shares[name] = share.WithVersion(s.version, limit)
			l.homes[name] = l.newHome(now)
		}
	}
	for name, share := range l.shares {
		if l.eager {
			share = Share{} // earlier versions count no longer
		}
		l.shares[name] = share.WithVersion(s.version, s.limits[name])
	}
	l.current = s
	l.observe(now)
	l.limit(now)
}

// SetKnown adopts the versions known of other homes; a new boot of a home may lower its version.
// Zero stands for a home that was not heard, or holds no version and so mints nothing.
func (l *Ledger) SetKnown(now time.Duration, known map[string]int64) {
	for name, version := range known {
		if name != l.self && version > 0 {
			l.known[name] = version
		}
	}
	l.observe(now)
}

func (l *Ledger) newHome(now time.Duration) Home {
	if l.eager {
		return NewLooseHome(now)
	}
	return NewHome(now)
}

// silent tells whether a home that is not retired has not been heard since the start.
func (l *Ledger) silent() bool {
	for name := range l.listed {
		if _, ok := l.known[name]; !ok && !slices.Contains(l.current.retired, name) {
			return true
		}
	}
	return false
}

// behind tells whether another home holds a higher version.
func (l *Ledger) behind() bool {
	for _, version := range l.known {
		if version > l.current.version {
			return true
		}
	}
	return false
}

// observe updates the lowest known version. A lower one counts at once.
// A higher one counts only when the loans given under the lower one have expired:
// otherwise a home could mint its new share while tokens of the old shares can still be spent.
// A home that has just started with an old version first adopts the newer one that it has been told of,
// since the homes that hold the newer one may not have heard that this home lost it.
func (l *Ledger) observe(now time.Duration) {
	if l.eager {
		l.lowest, l.next = l.current.version, l.current.version
		return
	}
	lowest := l.current.version
	for name, version := range l.known {
		if !slices.Contains(l.current.retired, name) {
			lowest = min(lowest, version)
		}
	}
	if lowest != l.next {
		l.next, l.since = lowest, now
	}
	wait := homeTerm
	if l.silent() {
		wait = silentTerm
	}
	effective := min(l.lowest, l.next)
	if now-l.since >= wait && (l.lowest > 0 || !l.behind()) {
		effective = l.next
	}
	if effective != l.lowest {
		l.lowest = effective
		l.limit(now)
	}
}

func (l *Ledger) limit(now time.Duration) {
	l.gone = map[string]bool{}
	for name, h := range l.homes {
		if _, ok := l.current.limits[name]; !ok && l.lowest == l.current.version {
			l.gone[name] = true
		}
		if l.mint {
			h = h.WithMint(now)
		}
		l.homes[name] = h.WithIdle(now).WithLimit(l.shares[name].Limit(l.lowest))
	}
}

// Lends tells whether the wait after the start has passed, so that permitted time mints tokens.
func (l *Ledger) Lends() bool { return l.lowest > 0 }

// Allow states whether this home may mint: its verdict is to serve, and it has heard more than half of the homes,
// itself included, within MaxHeartbeatAge and with versions not above its own. Time without permission mints nothing;
// neither does a gap between calls longer than MaxHeartbeatAge, which is a pause of the process.
func (l *Ledger) Allow(now time.Duration, mint bool) {
	if mint && (!l.mint || now-l.allowed > MaxHeartbeatAge) {
		for name, h := range l.homes {
			l.homes[name] = h.WithIdle(now)
		}
	}
	l.mint, l.allowed = mint, now
}

// Tick drops loans that have expired and accounts that no longer have a share here, and applies versions that have
// become safe.
func (l *Ledger) Tick(now time.Duration) {
	l.observe(now)
	n := 0
	for ; n < len(l.due) && l.due[n].at <= now; n++ {
		key := l.due[n].key
		loan := l.loans[key]
		if loan.expires > now || loan.seq == 0 {
			continue
		}
		delete(l.loans, key)
		if h, ok := l.homes[key.account]; ok {
			l.homes[key.account] = h.WithExpired(loan)
		}
	}
	l.due = l.due[n:]
	for name := range l.gone {
		if l.homes[name].loans == 0 {
			delete(l.homes, name)
			delete(l.shares, name)
			delete(l.gone, name)
		}
	}
}

// Take applies a LeaseRequest.
func (l *Ledger) Take(now time.Duration, take LeaseRequest) Grant {
	l.Tick(now)
	grant := Grant{Seq: take.Seq, Rows: make([]GrantRow, 0, len(take.Rows))}
	for _, row := range take.Rows {
		h, ok := l.homes[row.Account]
		if !ok {
			grant.Rows = append(grant.Rows, GrantRow{Account: row.Account, RetryAfter: Window})
			continue
		}
		key := loanKey{account: row.Account, session: take.Session}
		old := l.loans[key]
		h, loan, answer := h.WithTake(now, old, take.Seq, row, l.mint)
		if loan.seq != old.seq {
			l.homes[row.Account], l.loans[key] = h, loan
			l.due = append(l.due, dueLoan{key: key, at: loan.expires})
		}
		grant.Rows = append(grant.Rows, answer)
	}
	return grant
}
