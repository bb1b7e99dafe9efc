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

// Policy holds the decisions that the measuring program replaces by simpler ones for comparison.
type Policy struct {
	Choose peer.Selector
	Arrive func(g target.Gate, now time.Time, t target.Ticket) (target.Gate, target.Verdict)
	Single bool // no hedges
	Split  bool // fixed split of rates over the listed instances instead of lent shares
}

// PolicyFromEnv reads VERBENAPIN_POLICY (robin, least, open) and VERBENAPIN_RATES (split).
// They are for measurements only and so are no settings of the command line.
func PolicyFromEnv(getenv func(string) string) Policy {
	p := Policy{Choose: peer.Board.Choose, Arrive: target.Gate.WithArrival}
	switch getenv("VERBENAPIN_POLICY") {
	case "robin":
		p.Choose, p.Arrive = peer.RoundRobin, target.AdmitAll
		p.Single = true
	case "least":
		p.Choose, p.Arrive = peer.LeastReported, target.AdmitAll
		p.Single = true
	case "open":
		p.Arrive, p.Single = target.AdmitAll, true
	}
	p.Split = getenv("VERBENAPIN_RATES") == "split"
	return p
}

// splitAfter is the time after which a caller may retry a request that the fixed split refused.
const splitAfter = 100 * time.Millisecond

// spendSplit admits requests within this node's fixed part of the rate; the part of a request that did not run is lost.
func (n *Node) spendSplit(ctx context.Context, name string) (caller.Pass, error) {
	admitted := make(chan bool, 1)
	err := n.loop.Call(ctx, func(now time.Time) {
		a, _ := n.store.Snapshot().Tree().Account(name)
		limit := account.Limit{Rate: a.Rate, Burst: a.Burst}
		admitted <- n.splits.Spend(now, name, limit, n.members.Snapshot().Listed())
	})
	if err != nil {
		return caller.Pass{}, fmt.Errorf("daemon: spending from a fixed split: %w", err)
	}
	if !<-admitted {
		return caller.Pass{}, answer.NotRun(answer.Rate, "the account is beyond its part of the rate").WithAfter(splitAfter)
	}
	return caller.Pass{Confirm: func() error { return nil }, Refund: func() {}, Settle: func() {}}, nil
}
