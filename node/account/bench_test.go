package account

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/config"
)

// benchTree returns a tree with the given number of accounts on homes h0 to h23.
func benchTree(version int64, accounts int) config.Tree {
	var homes []string
	for i := range 24 {
		homes = append(homes, fmt.Sprintf("h%d", i))
	}
	list := make([]config.Account, 0, accounts)
	for i := range accounts {
		list = append(list, config.Account{Name: fmt.Sprintf("account-%d", i), Rate: 1000, Burst: 1000})
	}
	return config.NewTree(version, config.Fleet{Homes: homes}, nil, list)
}

// benchLender returns the lender of home h0, ready to lend, and the time up to which it has run.
func benchLender(tree config.Tree) (*Lender, time.Duration) {
	l := NewLender("h0", 0)
	known := map[string]int64{}
	for _, h := range tree.Fleet().Homes[1:] {
		known[h] = tree.Version()
	}
	l.SetShares(0, NewShares("h0", tree, HomesOf(tree)))
	l.SetHomeVersions(0, known)
	now := time.Duration(0)
	for ; now < 10*time.Second; now += tickInterval {
		l.SetMayRefill(now, true)
		l.Tick(now)
	}
	return l, now
}

// BenchmarkLenderGrant measures one LeaseRequest of one account at a home, from 1,000 borrower sessions in turn.
func BenchmarkLenderGrant(b *testing.B) {
	l, now := benchLender(benchTree(1, 1000))
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprintf("account-%d", i)
	}
	b.ReportAllocs()
	seq := uint64(0)
	for b.Loop() {
		seq++
		now += 100 * time.Microsecond
		l.SetMayRefill(now, true)
		l.Grant(now, LeaseRequest{Session: seq % 1000, Seq: seq, Rows: []LeaseRequestRow{{Account: names[seq%1000], Requested: 2, Waiting: 1}}})
	}
}

// BenchmarkAcquire measures one request of an account with steady requests at a node, with its share of LeaseRequests, Grants and ticks.
func BenchmarkAcquire(b *testing.B) {
	tree := benchTree(1, 10)
	borrower := NewBorrower(1)
	borrower.SetHomes(HomesOf(tree))
	now := time.Duration(0)
	nextTick := now
	b.ReportAllocs()
	leaseRequests := 0
	grantAll := func(reqs []OutgoingRequest) {
		for _, o := range reqs {
			g := Grant{Seq: o.Request.Seq}
			for _, r := range o.Request.Rows {
				g.Rows = append(g.Rows, GrantRow{Account: r.Account, Tokens: r.Requested})
			}
			leaseRequests++
			borrower.Grant(now, o.Home, g)
		}
	}
	for b.Loop() {
		now += 4 * time.Millisecond // 250 requests a second
		d, reqs := borrower.Acquire(now, "account-1")
		grantAll(reqs)
		if d.Verdict == Wait {
			d = borrower.Resume(now, "account-1")
		}
		borrower.Commit(now, "account-1", d.Token)
		if now >= nextTick {
			grantAll(borrower.Tick(now))
			nextTick = now + tickInterval
		}
	}
	b.ReportMetric(float64(leaseRequests)/float64(b.N), "takes/op")
}

// BenchmarkSetShares measures the part of a version change that runs on the control goroutine, with 10,000 accounts.
func BenchmarkSetShares(b *testing.B) {
	const accounts = 10000
	l, now := benchLender(benchTree(1, accounts))
	borrower := NewBorrower(1)
	b.ReportAllocs()
	for version := int64(2); b.Loop(); version++ {
		b.StopTimer()
		tree := benchTree(version, accounts)
		shares, homes := NewShares("h0", tree, HomesOf(tree)), HomesOf(tree)
		b.StartTimer()
		l.SetShares(now, shares)
		borrower.SetHomes(homes)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/accounts, "ns/account")
}

// BenchmarkBorrowerTick measures the tick of a node with token pools of 1,000 accounts.
func BenchmarkBorrowerTick(b *testing.B) {
	borrower := NewBorrower(1)
	borrower.SetHomes(HomesOf(benchTree(1, 1000)))
	for name := range borrower.homes {
		borrower.pools[name] = NewTokenPool(borrower.homes[name], 0).WithDemand(0).withBatch(batch{home: "h0", tokens: 1, expires: time.Hour})
	}
	b.ReportAllocs()
	for b.Loop() {
		borrower.Tick(0)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/account")
}

// BenchmarkMemory measures the memory of each account at a home and at a node that does not use it, and of each lease.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	const accounts = 10000
	for b.Loop() {
		tree := benchTree(1, accounts)
		h0 := heap()
		l, now := benchLender(tree)
		h1 := heap()
		borrower := NewBorrower(1)
		borrower.SetHomes(HomesOf(tree))
		h2 := heap()
		const leases = 100000
		for i := range uint64(leases) {
			name := "account-" + fmt.Sprint(i%accounts)
			l.Grant(now, LeaseRequest{Session: i, Seq: 1, Rows: []LeaseRequestRow{{Account: name, Requested: 1, Waiting: 1}}})
		}
		h3 := heap()
		b.ReportMetric((h1-h0)/accounts, "home-B/account")
		b.ReportMetric((h2-h1)/accounts, "book-B/account")
		b.ReportMetric((h3-h2)/leases, "home-B/loan")
		runtime.KeepAlive(l)
		runtime.KeepAlive(borrower)
		runtime.KeepAlive(tree)
	}
}

func placementTree() config.Tree {
	names := make([]string, 120)
	for i := range names {
		names[i] = fmt.Sprintf("instance-%d", i)
	}
	accounts := make([]config.Account, 100)
	for i := range accounts {
		accounts[i] = config.Account{Name: fmt.Sprintf("account-%d", i), Rate: 10, Burst: 20}
	}
	return config.NewTree(1, config.Fleet{Homes: names}, nil, accounts)
}

// TestPlacementAllocs guards against placement that allocates and sorts for each account, which loads the CPU of small
// machines whenever one of many nodes joins or leaves.
func TestPlacementAllocs(t *testing.T) {
	tree := placementTree()
	allocs := testing.AllocsPerRun(3, func() { HomesOf(tree) })
	require.Less(t, allocs, 5.0*100)
}

// BenchmarkPlacement measures the placement of 100 accounts in a fleet of 120 nodes.
func BenchmarkPlacement(b *testing.B) {
	tree := placementTree()
	b.ReportAllocs()
	for b.Loop() {
		HomesOf(tree)
	}
}
