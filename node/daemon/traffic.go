package daemon

import (
	"context"
	"crypto/tls"
	"math/rand/v2"

	"verbenapin.dev/node/caller"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/instance/rpc"
	"verbenapin.dev/node/memory"
	"verbenapin.dev/node/operator"
	"verbenapin.dev/node/peer"
	"verbenapin.dev/node/target"
	"verbenapin.dev/node/tcp"
)

// crowdedShare is the share of the connections of other nodes from which a response asks the sender to close its connection. Nodes
// keep idle connections to each other, whose number grows with the fleet.
const crowdedShare = 0.75

// assembleTraffic assembles the request path: caller server, dispatcher, peer client and server, gate, target.
func (n *Node) assembleTraffic() {
	s := n.settings
	n.transport = target.NewTransport(s.Target, n.budget.Max(tcp.KindTarget))
	n.transport.Dial = n.conns.Dial(tcp.KindTarget, 0, n.transport.Dial)
	n.admission = target.NewAdmission(n.loop, n.clock, n.policy.Admit, n.probeBudget, n.probe)
	n.forwarder = target.NewForwarder(n.clock.Now, n.store.ServingTree, n.admission.Admit, n.admission.Load, n.roundTrip)
	n.forwarder.OnOverdue, n.forwarder.OnFault = n.onOverdue, n.onFault
	n.forwarder.TakeMemory = func(bytes int64) bool { return n.kept.Take(n.memory, memory.KindResponse, bytes) }
	n.forwarder.ReturnMemory = func(bytes int64) { n.kept.Add(memory.KindResponse, -bytes) }
	if !s.Standalone() {
		n.pool = rpc.NewPool(controlDialOptions(n.identity, n.dialControl())...)
		n.client = peer.NewClient(n.clock.Now, n.peerClientTLS(), n.peerAddr)
		n.client.Dial = n.conns.Dial(tcp.KindHop, n.budget.Max(tcp.KindHop), n.client.Dial)
		n.client.SetMaxIdle(n.budget.Max(tcp.KindHop) / 2)
		n.peerServer = peer.NewServer(n.clock.Now, n.peerServerTLS(), n.serveAttempt, n.admission.Load, n.journal.StdLogger("peer"))
		n.peerServer.Crowded = func() bool {
			return float64(n.conns.Open(tcp.KindPeer)) >= crowdedShare*float64(n.budget.Max(tcp.KindPeer))
		}
		n.controlServer = n.newControlServer()
	}
	n.dispatcher = peer.NewDispatcher(
		peer.Self{Name: s.Name, Domain: s.Domain}, n.loop, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		n.policy.Choose, n.candidates, n.evacuatedDomains, n.serveAttempt, n.sendToPeer,
	)
	n.dispatcher.OnAttempt = n.observeAttempt
	n.dispatcher.RefuseEarly = func() bool { return n.store.Snapshot().Tree().Fleet().Returns }
	n.dispatcher.OnEarlyRefusal = n.metrics.CountEarlyRefusal
	n.admission.CallWait, n.admission.OnCallsRefused = n.dispatcher.CallWait, n.onCallsRefused
	acquire := n.acquirePermit
	if n.policy.FixedShares {
		acquire = n.acquireFixedShare
	}
	n.callerServer = caller.NewServer(n.clock.Now, n.store.ServingTree, acquire,
		caller.Dispatch{
			Send: n.sendAttempt, AllowRetry: n.dispatcher.AllowRetry, SelectService: n.dispatcher.SelectService,
			RecordCall: n.admission.RecordCall, IsReturn: n.dispatcher.IsReturn, Reserve: n.dispatcher.Reserve,
		}, n.callerEvents(), n.journal.StdLogger("caller"))
	n.callerServer.Throttle = n.link.Throttle
	n.callerServer.SetMaxConns(n.budget.Max(tcp.KindCaller))
	n.callerServer.SetMemory(n.memory, n.kept)
	if n.peerServer != nil {
		n.peerServer.Throttle = n.link.Throttle
	}
	if n.platform != nil {
		n.adaptToPlatform(n.platform.Dialect)
	}
	if s.Ready.IsValid() {
		n.readinessServer = newReadinessServer(n.readyPath(), n.ready)
	}
	n.operatorServer = operator.New(n.listeners.admin, operator.Options{
		Health: n.health, Ready: n.ready, State: n.state, Explain: n.explain, Where: n.where, Metrics: n.metrics.Handler(),
		ErrorLog: n.journal.StdLogger("admin"),
	})
}

func (n *Node) sendToPeer(name string, call target.Call) (target.Reply, error) {
	return n.client.Do(name, call)
}

// peerClientTLS returns the TLS settings of connections to other nodes, nil for plain ones.
func (n *Node) peerClientTLS() *tls.Config {
	if n.identity == nil {
		return nil
	}
	return n.identity.ClientConfig("http/1.1")
}

// peerServerTLS returns the TLS settings of the listener for other nodes, nil for a plain one.
func (n *Node) peerServerTLS() *tls.Config {
	if n.identity == nil {
		return nil
	}
	return n.identity.ServerConfig("http/1.1")
}

func (n *Node) peerAddr(name string) (string, bool) {
	if n.platform != nil {
		return name, true // nodes are named by their addresses
	}
	inst, ok := n.members.Snapshot().Instance(name)
	return inst.PeerAddr, ok
}

// candidates returns the instances of a service that are not known to be leaving.
func (n *Node) candidates(service string) []peer.Candidate {
	if n.settings.Standalone() {
		if service != n.currentSettings().service {
			return nil
		}
		return []peer.Candidate{{Name: n.settings.Name, Domain: n.settings.Domain}}
	}
	view, now := n.members.Snapshot(), n.clock.Now()
	var out []peer.Candidate
	for _, inst := range view.ByService(service) {
		if view.Status(now, inst.Name) != instance.StatusLeaving {
			out = append(out, peer.Candidate{Name: inst.Name, Domain: inst.Domain, Node: inst.Node, StartedAt: inst.StartedAt})
		}
	}
	return out
}

func (n *Node) evacuatedDomains() []string {
	if n.platform != nil {
		return n.registryState.evacuatedDomains()
	}
	return n.store.Snapshot().Tree().Fleet().EvacuatedDomains
}

func (n *Node) acquirePermit(ctx context.Context, name string) (caller.Permit, error) {
	permit, err := n.limiter.Acquire(ctx, name)
	if err != nil {
		return caller.Permit{}, err
	}
	return caller.Permit{Validate: permit.Validate, Refund: permit.Refund, Commit: permit.Commit}, nil
}
