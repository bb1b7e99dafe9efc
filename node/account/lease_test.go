package account

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenapin.dev/node/config"
)

// TestBucketWithRequest guards against a LeaseRequest that creates tokens, and against leases beyond the burst.
func TestBucketWithRequest(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 20}
	full := NewBucket(0).WithLimit(limit).WithRefill(time.Minute)
	require.InDelta(t, 20, full.Level(), 1e-9)
	lent := full
	lent.refilledAt = time.Minute
	lent.level, lent.lent, lent.sessions = 5, 10, 1
	lease := Lease{tokens: 10, seq: 5, expires: time.Minute + homeLeaseTerm}
	cases := map[string]struct {
		bucket       Bucket
		lease        Lease
		seq          uint64
		row          LeaseRequestRow
		mayNotRefill bool
		tokens       int
		level        float64
		lent         int
	}{
		"lends half ahead of demand":            {bucket: full, seq: 1, row: LeaseRequestRow{Requested: 15}, tokens: 10, level: 10, lent: 10},
		"lends all for waiting requests":        {bucket: full, seq: 1, row: LeaseRequestRow{Requested: 25, Waiting: 25}, tokens: 20, level: 0, lent: 20},
		"lends nothing while it may not refill": {bucket: full, seq: 1, row: LeaseRequestRow{Requested: 5, Waiting: 5}, mayNotRefill: true, level: 20, lent: 0},
		"duplicate changes nothing":             {bucket: lent, lease: lease, seq: 5, row: LeaseRequestRow{Returned: 10, Requested: 5}, level: 5, lent: 10},
		"spent tokens no longer count as lent":  {bucket: lent, lease: lease, seq: 6, row: LeaseRequestRow{Held: 4}, level: 5, lent: 4},
		"returned tokens are credited":          {bucket: lent, lease: lease, seq: 6, row: LeaseRequestRow{Held: 4, Returned: 6}, level: 11, lent: 4},
		"unknown tokens are not credited":       {bucket: lent, lease: Lease{}, seq: 6, row: LeaseRequestRow{Held: 4, Returned: 6}, level: 5, lent: 10},
		"returned beyond the lease":             {bucket: lent, lease: lease, seq: 6, row: LeaseRequestRow{Held: 9, Returned: 9}, level: 6, lent: 9},
		"negative amounts count as none":        {bucket: lent, lease: lease, seq: 6, row: LeaseRequestRow{Held: -4, Returned: -6, Requested: -1}, level: 5, lent: 0},
		"fractions are not lent":                {bucket: NewBucket(time.Minute - 90*time.Millisecond).WithLimit(limit), seq: 1, row: LeaseRequestRow{Requested: 1, Waiting: 1}, level: 0.9, lent: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bucket, _, grant := tc.bucket.WithRequest(time.Minute, tc.lease, tc.seq, tc.row, !tc.mayNotRefill)
			require.Equal(t, tc.tokens, grant.Tokens)
			require.InDelta(t, tc.level, bucket.Level(), 1e-9)
			require.Equal(t, tc.lent, bucket.Lent())
		})
	}
}

// TestTokenPoolRefund guards against a refund of a token that the home may already have refilled.
func TestTokenPoolRefund(t *testing.T) {
	pool := NewTokenPool([]string{"h"}, 0).WithDemand(0)
	pool, _ = pool.WithRequest(0, "h", 1, 0, 3, 3)
	pool = pool.WithGrant(time.Millisecond, "h", 1, GrantRow{Tokens: 3})
	spent, token, ok := pool.WithSpent(time.Millisecond)
	require.True(t, ok)
	committed, _ := spent.WithCommitted(2*time.Millisecond, token)
	refunded := spent.WithRefund(2*time.Millisecond, token)
	cases := map[string]struct {
		pool   TokenPool
		at     time.Duration
		tokens int
		held   int
	}{
		"in time":            {pool: spent, at: 100 * time.Millisecond, tokens: 3, held: 3},
		"after the window":   {pool: spent, at: RefundWindow + time.Millisecond, tokens: 2, held: 2},
		"twice":              {pool: refunded, at: 100 * time.Millisecond, tokens: 3, held: 3},
		"after a commit":     {pool: committed, at: 100 * time.Millisecond, tokens: 2, held: 2},
		"after the lease":    {pool: spent, at: LeaseTerm, tokens: 0, held: 0},
		"lease of the token": {pool: spent.WithRefund(100*time.Millisecond, token), at: LeaseTerm, tokens: 0, held: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := tc.pool.WithRefund(tc.at, token)
			require.Equal(t, tc.tokens, got.Tokens(tc.at))
			require.Equal(t, tc.held, got.Held(tc.at, "h"))
		})
	}
	require.Equal(t, 3, spent.Held(100*time.Millisecond, "h"), "a token that may be refunded is part of Held")
	require.True(t, token.Usable(RefundWindow-refundSlotWidth))
	require.False(t, token.Usable(RefundWindow+time.Millisecond))
}

// TestTokenPoolNextRequest guards against more than one LeaseRequest in flight to a home, and against requests to homes known
// to be empty.
func TestTokenPoolNextRequest(t *testing.T) {
	pool := NewTokenPool([]string{"a", "b"}, 0)
	requested, _ := pool.WithRequest(0, "a", 1, 0, 2, 2)
	empty := requested.WithGrant(time.Millisecond, "a", 1, GrantRow{RetryAfter: time.Second})
	bothBackedOff, _ := empty.WithRequest(time.Millisecond, "b", 2, 0, 2, 2)
	bothBackedOff = bothBackedOff.WithFailure(2*time.Millisecond, "b", 2)
	newerPending, _ := pool.WithRequest(0, "a", 1, 0, 2, 2)
	newerPending, _ = newerPending.WithFailure(leaseRequestTimeout, "a", 1).WithRequest(2*time.Second, "a", 2, 0, 2, 2)
	newerPending = newerPending.WithGrant(2*time.Second, "a", 1, GrantRow{Tokens: 2})
	lateGrant, _ := pool.WithRequest(0, "a", 1, 0, 2, 2)
	lateGrant = lateGrant.WithFailure(leaseRequestTimeout, "a", 1).WithGrant(leaseRequestTimeout, "a", 1, GrantRow{Tokens: 2})
	cases := map[string]struct {
		pool    TokenPool
		at      time.Duration
		waiting int
		home    string
		want    int
	}{
		"no need":                      {pool: pool, home: ""},
		"first home":                   {pool: pool, waiting: 2, home: "a", want: 2},
		"tokens are already requested": {pool: requested, waiting: 2, home: ""},
		"more requests wait":           {pool: requested, waiting: 5, home: "b", want: 3},
		"an answer is overdue":         {pool: requested, at: overdueAfter, waiting: 2, home: "b", want: 2},
		"the first is empty":           {pool: empty, at: time.Millisecond, waiting: 2, home: "b", want: 2},
		"all homes are backed off":     {pool: bothBackedOff, at: 3 * time.Millisecond, waiting: 2, home: ""},
		"a backoff has ended":          {pool: bothBackedOff, at: time.Second + failedHomeBackoff, waiting: 2, home: "a", want: 2},
		"a late grant is not counted":  {pool: lateGrant, at: leaseRequestTimeout + failedHomeBackoff, waiting: 2, home: "b", want: 2},
		"a late grant is not counted while a newer request is pending": {pool: newerPending, at: 2*time.Second + overdueAfter, waiting: 2, home: "b", want: 2},
		"no homes": {pool: NewTokenPool(nil, 3), waiting: 2, home: ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			home, want := tc.pool.NextRequest(tc.at, tc.waiting)
			require.Equal(t, tc.home, home)
			require.Equal(t, tc.want, want)
		})
	}
}

// TestShareOf guards against shares whose sum exceeds the rate or burst, and against fractions that no home can lend.
func TestShareOf(t *testing.T) {
	fleet := config.Fleet{Homes: []string{"a", "b", "c", "d", "e"}, Retired: []string{"e"}}
	cases := map[string]struct {
		account config.Account
		homes   int
	}{
		"one request":      {account: config.Account{Name: "x", Rate: 1, Burst: 1}, homes: 1},
		"three requests":   {account: config.Account{Name: "x", Rate: 1, Burst: 3}, homes: 1},
		"uneven burst":     {account: config.Account{Name: "x", Rate: 7, Burst: 7}, homes: 3},
		"fractional burst": {account: config.Account{Name: "x", Rate: 7, Burst: 10.5}, homes: 4},
		"large":            {account: config.Account{Name: "x", Rate: 500, Burst: 1000}, homes: 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			homes := Homes(tc.account, fleet)
			require.Len(t, homes, tc.homes)
			require.NotContains(t, homes, "e")
			var sum Limit
			whole := 0
			for _, h := range homes {
				l := ShareOf(tc.account, homes, h)
				sum = Limit{Rate: sum.Rate + l.Rate, Burst: sum.Burst + l.Burst}
				whole += int(l.Burst)
			}
			require.InDelta(t, tc.account.Rate, sum.Rate, 1e-9)
			require.InDelta(t, tc.account.Burst, sum.Burst, 1e-9)
			require.Equal(t, int(tc.account.Burst), whole)
			require.Equal(t, Limit{}, ShareOf(tc.account, homes, "e"))
		})
	}
}

// TestShareHistoryLimit compares the minimum over versions with one that keeps every version. For merged versions it may be
// lower, never higher.
func TestShareHistoryLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s ShareHistory
		all := map[int64]Limit{}
		count := rapid.Int64Range(1, 40).Draw(t, "count")
		for v := int64(1); v <= count; v++ {
			all[v] = Limit{Rate: float64(rapid.IntRange(0, 5).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 2).Draw(t, "burst"))}
			s = s.WithVersion(v, all[v])
		}
		for lowest := int64(0); lowest <= count; lowest++ {
			want := all[count]
			for v := lowest; v <= count; v++ {
				want = want.lower(all[v])
			}
			got := s.Limit(lowest)
			if got.Rate > want.Rate || got.Burst > want.Burst || (lowest > count-maxVersions+1 && got != want) {
				t.Fatalf("from %d of %d: %v, want %v", lowest, count, got, want)
			}
		}
	})
}

// TestLender guards against tokens refilled before earlier leases have expired, and against leases that block a share forever.
func TestLender(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 10}
	homes := []string{"a", "b"}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	shares := func(version int64, limit Limit) Shares {
		return sharesOf(fleetTree(version, homes, nil, limit))
	}
	known := func(version int64) map[string]int64 { return map[string]int64{"b": version} }
	// run ticks the lender up to a time.
	run := func(l *Lender, from, to time.Duration) {
		for now := from; now <= to; now += ms(20) {
			l.SetMayRefill(now, true)
			l.Tick(now)
		}
	}
	lend := func(l *Lender, now time.Duration, session, seq uint64, want int) int {
		l.SetMayRefill(now, true)
		rows := []LeaseRequestRow{{Account: fleetAccount, Requested: want, Waiting: want}}
		return l.Grant(now, LeaseRequest{Session: session, Seq: seq, Rows: rows}).Rows[0].Tokens
	}
	newConnected := func(start time.Duration) *Lender {
		l := NewLender("a", start)
		l.SetShares(start, shares(1, limit))
		l.SetHomeVersions(start, known(1))
		return l
	}
	cases := map[string]struct {
		lender func() *Lender
		want   int
	}{
		"before the leases of an earlier boot expired": {want: 0, lender: func() *Lender {
			l := newConnected(ms(8000))
			run(l, ms(8000), ms(9980))
			return l
		}},
		"after the leases of an earlier boot expired": {want: 5, lender: func() *Lender {
			l := newConnected(0)
			run(l, 0, ms(9980))
			return l
		}},
		"no version of another home was reported": {want: 0, lender: func() *Lender {
			l := NewLender("a", ms(3000))
			l.SetShares(ms(3000), shares(1, limit))
			run(l, ms(3000), ms(9980))
			return l
		}},
		"the version of a home is unknown for 10 s": {want: 5, lender: func() *Lender {
			l := NewLender("a", 0)
			l.SetShares(0, shares(1, limit))
			l.SetHomeVersions(0, known(0))
			run(l, 0, ms(9980))
			return l
		}},
		"the version of a home is unknown for 7 s": {want: 0, lender: func() *Lender {
			l := NewLender("a", ms(3000))
			l.SetShares(ms(3000), shares(1, limit))
			l.SetHomeVersions(ms(3000), known(0))
			run(l, ms(3000), ms(9980))
			return l
		}},
		"a home holds a newer version": {want: 0, lender: func() *Lender {
			l := NewLender("a", 0)
			l.SetShares(0, shares(1, limit))
			l.SetHomeVersions(0, known(2))
			run(l, 0, ms(9980))
			return l
		}},
		"a lease has not expired": {want: 2, lender: func() *Lender {
			l := newConnected(0)
			run(l, 0, ms(8000))
			require.Equal(t, 3, lend(l, ms(8000), 9, 1, 3))
			run(l, ms(8000), ms(9980))
			return l
		}},
		"a lease has expired": {want: 5, lender: func() *Lender {
			l := newConnected(0)
			run(l, 0, ms(7000))
			require.Equal(t, 5, lend(l, ms(7000), 9, 1, 5))
			run(l, ms(7000), ms(9980))
			return l
		}},
		"a lease was reported as held since": {want: 0, lender: func() *Lender {
			l := newConnected(0)
			run(l, 0, ms(7000))
			require.Equal(t, 5, lend(l, ms(7000), 9, 1, 5))
			run(l, ms(7000), ms(8500))
			l.Grant(ms(8500), LeaseRequest{Session: 9, Seq: 2, Rows: []LeaseRequestRow{{Account: fleetAccount, Held: 5}}})
			run(l, ms(8500), ms(9980))
			return l
		}},
		"the process was paused": {want: 0, lender: func() *Lender {
			l := newConnected(0)
			run(l, 0, ms(4000))
			require.Equal(t, 5, lend(l, ms(4000), 9, 1, 5))
			return l
		}},
		"another home is back at a lower version": {want: 2, lender: func() *Lender {
			l := NewLender("a", 0)
			l.SetShares(0, shares(1, Limit{Rate: 10, Burst: 4}))
			l.SetShares(0, shares(2, limit))
			l.SetHomeVersions(0, known(2))
			run(l, 0, ms(9000))
			l.SetHomeVersions(ms(9000), known(1))
			run(l, ms(9000), ms(9980))
			return l
		}},
		"a retired home is dropped from both lists": {want: 5, lender: func() *Lender {
			all := []string{"a", "b", "c"}
			l := NewLender("a", 0)
			l.SetShares(0, sharesOf(fleetTree(1, all, nil, limit)))
			l.SetHomeVersions(0, map[string]int64{"b": 1, "c": 1})
			run(l, 0, ms(3000))
			l.SetShares(ms(3000), sharesOf(fleetTree(2, all, []string{"c"}, limit)))
			l.SetShares(ms(3000), shares(3, limit))
			l.SetHomeVersions(ms(3000), known(3))
			run(l, ms(3000), ms(9980))
			return l
		}},
		"a removed home is not retired": {want: 3, lender: func() *Lender {
			l := NewLender("a", 0)
			l.SetShares(0, sharesOf(fleetTree(1, []string{"a", "b", "c"}, nil, limit)))
			l.SetHomeVersions(0, map[string]int64{"b": 1, "c": 1})
			run(l, 0, ms(3000))
			l.SetShares(ms(3000), shares(2, limit))
			l.SetHomeVersions(ms(3000), known(2))
			run(l, ms(3000), ms(9980))
			return l
		}},
		"a removed home holds the new version": {want: 5, lender: func() *Lender {
			l := NewLender("a", 0)
			l.SetShares(0, sharesOf(fleetTree(1, []string{"a", "b", "c"}, nil, limit)))
			l.SetHomeVersions(0, map[string]int64{"b": 1, "c": 1})
			run(l, 0, ms(3000))
			l.SetShares(ms(3000), shares(2, limit))
			l.SetHomeVersions(ms(3000), map[string]int64{"b": 2, "c": 2})
			run(l, ms(3000), ms(9980))
			return l
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, lend(tc.lender(), 10*time.Second, 2, 2, 100))
		})
	}
}

// TestFixedShares guards against a baseline that gives a node more than its share, also after the number of nodes grows.
func TestFixedShares(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 12}
	cases := map[string]struct {
		nodes []int
		gap   time.Duration
		want  []bool
	}{
		"the share of the burst":        {nodes: []int{6, 6, 6}, want: []bool{true, true, false}},
		"the share of the rate":         {nodes: []int{12, 12, 12}, gap: 600 * time.Millisecond, want: []bool{true, false, true}},
		"nodes are added":               {nodes: []int{2, 12, 12}, want: []bool{true, true, false}},
		"zero nodes count as one":       {nodes: []int{0, 0, 0}, want: []bool{true, true, true}},
		"a share too small for a token": {nodes: []int{24, 24, 24}, gap: time.Second, want: []bool{false, false, false}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			s := NewFixedShares(start)
			for i, nodes := range tc.nodes {
				require.Equal(t, tc.want[i], s.Allow(start.Add(time.Duration(i)*tc.gap), "a", limit, nodes), "request %d", i)
			}
		})
	}
}

// TestRemovedAccounts guards against memory that grows with the accounts of earlier versions, and against tokens that
// are lent again too early when an account is added again.
func TestRemovedAccounts(t *testing.T) {
	homes := []string{"a", "b"}
	empty := func(version int64) config.Tree {
		return config.NewTree(version, config.Fleet{Homes: homes}, nil, nil)
	}
	full := func(version int64) config.Tree { return fleetTree(version, homes, nil, Limit{Rate: 100, Burst: 10}) }
	l, b := NewLender("a", 0), NewBorrower(9)
	now := time.Duration(0)
	adopt := func(tree config.Tree) {
		l.SetShares(now, NewShares("a", tree, HomesOf(tree)))
		l.SetHomeVersions(now, map[string]int64{"b": tree.Version()})
		b.SetHomes(HomesOf(tree))
	}
	send := func(reqs []OutgoingRequest) {
		for len(reqs) > 0 {
			o := reqs[0]
			g := Grant{Seq: o.Request.Seq}
			if o.Home == "a" {
				g = l.Grant(now, o.Request)
			}
			reqs = append(reqs[1:], b.Grant(now, o.Home, g)...)
		}
	}
	run := func(length time.Duration) {
		for end := now + length; now < end; now += tickInterval {
			l.SetMayRefill(now, true)
			l.Tick(now)
			send(b.Tick(now))
		}
	}
	adopt(full(1))
	run(4 * time.Second)
	_, reqs := b.Acquire(now, fleetAccount)
	send(reqs)
	require.Equal(t, Admit, b.Resume(now, fleetAccount).Verdict)
	require.NotEmpty(t, l.leases)
	adopt(empty(2))
	require.Contains(t, l.buckets, fleetAccount, "its lease has not expired")
	run(time.Second)
	adopt(full(3))
	run(time.Second)
	require.Zero(t, l.buckets[fleetAccount].WithRefill(now).Level(), "the leases of version 1 may still be spent")
	run(2 * time.Second)
	require.Positive(t, l.buckets[fleetAccount].WithRefill(now).Level())
	adopt(empty(4))
	run(8 * time.Second)
	require.Empty(t, l.buckets)
	require.Empty(t, l.shares)
	require.Empty(t, l.leases)
	require.Empty(t, l.removed)
	require.Empty(t, b.pools)
	require.Empty(t, b.waiting)
	require.Empty(t, b.inFlight)
}

// TestRequestToHomeThatKeepsTokens guards against refusing a request although a home has tokens left, which it did not
// lend ahead of demand, and against an immediate second request to a home that lends nothing.
func TestRequestToHomeThatKeepsTokens(t *testing.T) {
	cases := map[string]struct {
		grant GrantRow
		want  bool
	}{
		"home keeps tokens":              {grant: GrantRow{Tokens: 1}, want: true},
		"home is empty":                  {grant: GrantRow{Tokens: 1, RetryAfter: time.Second}},
		"home may not lend":              {grant: GrantRow{}},
		"home lent as many as requested": {grant: GrantRow{Tokens: 2}, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			pool, _ := NewTokenPool([]string{"a"}, 0).WithRequest(0, "a", 1, 0, 2, 1)
			pool = pool.WithGrant(0, "a", 1, tc.grant)
			home, _ := pool.NextRequest(0, 5)
			require.Equal(t, tc.want, home == "a")
		})
	}
}

func sharesOf(t config.Tree) Shares { return NewShares("a", t, HomesOf(t)) }
