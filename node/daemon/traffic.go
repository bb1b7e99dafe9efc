package daemon

import (
	"context"
	"crypto/tls"
	"math/rand/v2"

	"verbenapin.dev/node/caller"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/instance/rpc"
	"verbenapin.dev/node/operator"
	"verbenapin.dev/node/peer"
	"verbenapin.dev/node/target"
)

// firstConns bounds the connections to the target, as stated for the first targets.
const firstConns = 260

// assembleTraffic builds the way of requests: callers, dispatcher, hop between nodes, gate, target.
func (n *Node) assembleTraffic() {
	s := n.settings
	n.transport = target.NewTransport(s.Target, firstConns)
	n.admission = target.NewAdmission(n.loop, n.clock, n.policy.Admit, n.probeBudget, n.probe)
	n.gate = target.NewForwarder(n.clock.Now, n.store.ServingTree, n.admission.Admit, n.admission.Load, n.roundTrip)
	if !s.Alone() {
		n.pool = rpc.NewPool(dialOptions(n.identity)...)
		n.client = peer.NewClient(n.clock.Now, n.clientConfig(), n.addressOf)
		n.peers = peer.NewServer(n.clock.Now, n.serverConfig(), n.atGate, n.admission.Load, n.journal.StdLogger("peer"))
		n.control = n.newControl()
	}
	n.dispatcher = peer.NewDispatcher(
		peer.Self{Name: s.Name, Domain: s.Domain}, n.loop, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		n.policy.Choose, n.candidates, n.domainsOut, n.atGate, n.remote,
	)
	n.dispatcher.Observe = n.observe
	spend := n.spend
	if n.policy.FixedShares {
		spend = n.spendSplit
	}
	n.callers = caller.NewServer(n.clock.Now, n.store.ServingTree, spend,
		caller.Dispatch{Send: n.try, AllowRetry: n.dispatcher.AllowRetry, SelectService: n.dispatcher.SelectService}, n.events(), n.journal.StdLogger("caller"))
	n.callers.Throttle = n.link.Throttle
	if n.peers != nil {
		n.peers.Throttle = n.link.Throttle
	}
	if n.platform != nil {
		n.speak(n.platform.Dialect)
	}
	if s.Ready.IsValid() {
		n.readiness = newReadiness(n.readyPath(), n.ready)
	}
	n.operators = operator.New(n.listeners.admin, operator.Options{
		Health: n.health, Ready: n.ready, State: n.state, Explain: n.explain, Metrics: n.metrics.Handler(),
		ErrorLog: n.journal.StdLogger("admin"),
	})
}

func (n *Node) remote(name string, call target.Call) (target.Reply, error) {
	return n.client.Do(name, call)
}

// clientConfig returns the TLS settings of connections to other nodes, nil for plain ones.
func (n *Node) clientConfig() *tls.Config {
	if n.identity == nil {
		return nil
	}
	return n.identity.ClientConfig("http/1.1")
}

// serverConfig returns the TLS settings of the listener for other nodes, nil for a plain one.
func (n *Node) serverConfig() *tls.Config {
	if n.identity == nil {
		return nil
	}
	return n.identity.ServerConfig("http/1.1")
}

func (n *Node) addressOf(name string) (string, bool) {
	if n.platform != nil {
		return name, true // nodes are named by their addresses
	}
	row, ok := n.members.Snapshot().Instance(name)
	return row.PeerAddr, ok
}

// candidates returns the instances of a service that are not known to leave.
func (n *Node) candidates(service string) []peer.Candidate {
	if n.settings.Alone() {
		if service != n.live().service {
			return nil
		}
		return []peer.Candidate{{Name: n.settings.Name, Domain: n.settings.Domain}}
	}
	view, now := n.members.Snapshot(), n.clock.Now()
	var out []peer.Candidate
	for _, row := range view.ByService(service) {
		if view.Status(now, row.Name) != instance.StatusLeaving {
			out = append(out, peer.Candidate{Name: row.Name, Domain: row.Domain, Node: row.Node})
		}
	}
	return out
}

func (n *Node) domainsOut() []string {
	if n.platform != nil {
		return n.facts.out()
	}
	return n.store.Snapshot().Tree().Fleet().EvacuatedDomains
}

func (n *Node) spend(ctx context.Context, name string) (caller.Permit, error) {
	pass, err := n.limiter.Acquire(ctx, name)
	if err != nil {
		return caller.Permit{}, err
	}
	return caller.Permit{Validate: pass.Validate, Refund: pass.Refund, Commit: pass.Commit}, nil
}
