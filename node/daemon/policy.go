package daemon

import (
	"context"
	"fmt"
	"time"

	"verbenapin.dev/node/account"
	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/caller"
	"verbenapin.dev/node/peer"
	"verbenapin.dev/node/target"
)

// Policy holds the decisions that measurements replace by simpler ones for comparison.
type Policy struct {
	Choose      peer.Selector
	Admit       func(g target.Gate, now time.Time, req target.AdmissionRequest) (target.Gate, target.Decision)
	NoHedges    bool // sends no second attempt beside a slow one
	FixedShares bool // fixed shares of the rates for the listed instances instead of leases
}

// PolicyFromEnv reads VERBENAPIN_POLICY (robin, least, open) and VERBENAPIN_RATES (split).
// They are for measurements only and therefore have no flags.
func PolicyFromEnv(getenv func(string) string) Policy {
	p := Policy{Choose: peer.TargetTable.Choose, Admit: target.Gate.WithArrival}
	switch getenv("VERBENAPIN_POLICY") {
	case "robin":
		p.Choose, p.Admit = peer.RoundRobin, target.AdmitAll
		p.NoHedges = true
	case "least":
		p.Choose, p.Admit = peer.LeastReported, target.AdmitAll
		p.NoHedges = true
	case "open":
		p.Admit, p.NoHedges = target.AdmitAll, true
	}
	p.FixedShares = getenv("VERBENAPIN_RATES") == "split"
	return p
}

// fixedShareRetryAfter is the time after which a caller may retry a request that the fixed shares refused.
const fixedShareRetryAfter = 100 * time.Millisecond

// acquireFixedShare admits a request within this node's fixed share of the account's rate. A request that did not run is not
// refunded.
func (n *Node) acquireFixedShare(ctx context.Context, name string) (caller.Permit, error) {
	admitted := make(chan bool, 1)
	err := n.loop.Call(ctx, func(now time.Time) {
		a, _ := n.store.Snapshot().Tree().Account(name)
		limit := account.Limit{Rate: a.Rate, Burst: a.Burst}
		admitted <- n.fixedShares.Allow(now, name, limit, n.members.Snapshot().ListedCount())
	})
	if err != nil {
		return caller.Permit{}, fmt.Errorf("daemon: taking from a fixed share: %w", err)
	}
	if !<-admitted {
		return caller.Permit{}, answer.NewNotExecuted(answer.CodeRate, "the account is beyond its part of the rate").WithRetryAfter(fixedShareRetryAfter)
	}
	return caller.Permit{Validate: func() error { return nil }, Refund: func() {}, Commit: func() {}}, nil
}
