package daemon

import (
	"context"
	"time"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/operator"
	"verbenapin.dev/node/operator/report"
)

// States of other instances in reports.
const (
	stateLive        = "live"
	stateLeaving     = "leaving"
	stateUnreachable = "unreachable"
)

// maxCallerFailure is for how long accepting connections of callers may fail until the node is not ready. Callers wait a second for a
// connection.
const maxCallerFailure = time.Second

// health checks that the control goroutine responds.
func (n *Node) health(ctx context.Context) error {
	return n.loop.Call(ctx, func(time.Time) {})
}

// ready reports whether the node serves requests, and why not otherwise.
func (n *Node) ready() (bool, string) {
	if n.isLeaving() {
		return false, "the node is leaving"
	}
	if n.listeners.callerFailure() >= maxCallerFailure {
		return false, "connections of callers cannot be accepted"
	}
	rejection := n.store.Rejection().String()
	if v := n.store.ServeStatus(); v.Code != config.StatusServe {
		if v.Code == config.StatusEmpty && rejection != "" {
			return false, rejection
		}
		return false, v.Reason
	}
	if n.platform != nil {
		return true, rejection
	}
	// Until a home can grant leases, a standalone node, or a fleet whose nodes all start at once, refuses every request
	// that needs a key.
	if n.store.Snapshot().IsHome() && !n.limiter.CanGrant() {
		return false, "this home does not lend tokens yet, because loans of an earlier run may still be valid"
	}
	return true, rejection
}

func (n *Node) state(context.Context) (report.State, error) {
	now, v, load := n.clock.Now(), n.store.Snapshot(), n.admission.Load()
	ready, reason := n.ready()
	if ready {
		reason = ""
	}
	return report.State{
		Name: n.settings.Name, Domain: n.settings.Domain, Service: n.currentSettings().service,
		Ready: ready, Reason: reason,
		Version: v.Version(), Digest: v.Digest().String(),
		ServeStatus: string(v.ServeStatus(now).Code), ConfirmationAge: v.ConfirmationAge(now).Milliseconds(),
		RejectReason:     n.store.Rejection().String(),
		EvacuatedDomains: v.Tree().Fleet().EvacuatedDomains, Home: v.IsHome(), Leaving: n.isLeaving(),
		Load: report.Load{
			Running: load.Running, Queued: load.Queued, Limit: load.Limit,
			ServiceTime: float64(load.ServiceTime) / float64(time.Millisecond), FailureRate: load.FailureRate,
			ProbeRatio: n.admission.ProbeShare(),
		},
		Peers: n.peerStates(now),
	}, nil
}

// peerStates returns the other instances as this node sees them.
func (n *Node) peerStates(now time.Time) []report.Peer {
	view := n.members.Snapshot()
	var out []report.Peer
	for _, status := range []instance.Status{instance.StatusLive, instance.StatusLeaving, instance.StatusUnresponsive, instance.StatusCrashed} {
		for _, inst := range view.Instances(now, status) {
			if inst.Name == n.settings.Name {
				continue
			}
			out = append(out, report.Peer{
				Name: inst.Name, Domain: inst.Domain, Service: inst.Service, State: stateName(status),
				Version: view.ConfigVersion(inst.Name), LastContact: sinceLastContact(now, view, inst.Name),
			})
		}
	}
	return out
}

func stateName(s instance.Status) string {
	switch s {
	case instance.StatusLive:
		return stateLive
	case instance.StatusLeaving:
		return stateLeaving
	default:
		return stateUnreachable
	}
}

// sinceLastContact returns the milliseconds since the last contact with an instance, -1 if there was none.
func sinceLastContact(now time.Time, view instance.View, name string) int64 {
	at := view.LastContact(name)
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

func (n *Node) explain(ctx context.Context, q report.Query) ([]report.Fact, error) {
	state, err := n.state(ctx)
	if err != nil {
		return nil, err
	}
	return operator.Facts(n.store.Snapshot().Tree(), state, q), nil
}
