package daemon

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/journal"
	"verbenapin.dev/node/peer"
	"verbenapin.dev/node/registry"
	registryrpc "verbenapin.dev/node/registry/rpc"
	"verbenapin.dev/node/target"
)

// Platform holds what a node takes from the platform that it runs on, in place of the product's own services.
type Platform struct {
	Source    registry.Source
	Decode    func(registry.Item) (registry.DecodedItem, error)
	Dialect   answer.Dialect
	ReadyPath string // path on which the platform asks whether the node is ready
	Bootstrap bool   // the whole fleet starts for the first time
	// ColdRateFactor is how many requests a cold target gets, as a multiple of the pace that it states.
	ColdRateFactor float64
	// RetryBudget is what the fleet may repeat for a service beyond the routes' shares of its requests.
	RetryBudget RetryBudget
	// Overage is the part of the rates and bursts of accounts that is admitted beyond them.
	Overage float64
}

// RetryBudget are a number of repeated requests of a service in any time of the given length, of all nodes together.
type RetryBudget struct {
	Retries float64
	Window  time.Duration
}

// repeatBurst is how many repeats a node can save up. Failures come in groups, but all nodes may use what they saved at
// the same moment.
const repeatBurst = 2

// retryAllowance returns this node's part of the fleet's repeats; half of them is left for nodes that are not listed as yet.
func (n *Node) retryAllowance() peer.RetryAllowance {
	r, nodes := n.platform.RetryBudget, n.members.Snapshot().NodeCount()
	return peer.RetryAllowance{Rate: r.Retries / 2 / r.Window.Seconds() / float64(max(nodes, 1)), Burst: repeatBurst}
}

// facts are what the registry says besides the configuration; the control goroutine changes them.
type facts struct {
	targets registry.Targets
	domains map[string]string // failure domains taken out, by the keys of their entries
	known   chan struct{}     // closed when a configuration and targets are known
	once    sync.Once
	current atomic.Pointer[[]string]
	homes   []string // nodes at the last change of the view
	version int64    // of the configuration then
}

// out returns the failure domains that are taken out; any goroutine may call it.
func (f *facts) out() []string {
	if out := f.current.Load(); out != nil {
		return *out
	}
	return nil
}

// setOut notes that an entry takes a failure domain out, or none if the name is empty.
func (f *facts) setOut(key, domain string) bool {
	if f.domains[key] == domain {
		return false
	}
	next := maps.Clone(f.domains)
	if next == nil {
		next = map[string]string{}
	}
	if domain == "" {
		delete(next, key)
	} else {
		next[key] = domain
	}
	f.domains = next
	out := slices.Sorted(maps.Values(next))
	f.current.Store(&out)
	return true
}

func (n *Node) feedSettings() registry.Settings {
	return registry.Settings{
		Name: n.settings.Name, Domain: n.settings.Domain, Loop: n.loop, Clock: n.clock,
		Source: n.platform.Source, AllowStaleRead: n.platform.Bootstrap, Decode: n.platform.Decode,
		OnChange: n.onRegistry, OnError: n.failed, OnRecovery: n.regained,
		Send: func(ctx context.Context, addr string, t registry.Broadcast) (int64, error) {
			return registryrpc.Client{Conn: func(addr string) (grpc.ClientConnInterface, error) { return n.pool.Conn(addr) }}.Tell(ctx, addr, t)
		},
	}
}

// listedLines is the number of changes at once up to which each listed target gets a line; a fresh node reads a whole fleet.
const listedLines = 10

// onRegistry takes what changed in the registry; it runs on the control goroutine.
func (n *Node) onRegistry(now time.Time, c registry.Snapshot, changes []registry.Change) {
	targets, moved := n.facts.targets, false
	for _, change := range changes {
		key, fact := change.Item.Key, change.Decoded
		switch {
		case fact.Tree != nil:
			n.store.Adopt(now, config.DigestOf(string(change.Item.Value)), *fact.Tree)
			continue
		case fact.EvacuatedDomain != "":
			if n.facts.setOut(key, fact.EvacuatedDomain) {
				n.journal.Info("failure domain is taken out", journal.Domain(fact.EvacuatedDomain), journal.Revision(change.Item.Revision))
				moved = true
			}
			continue
		case fact.Target != nil:
			targets, moved = targets.WithTarget(key, *fact.Target, change.Item.Revision), true
			if len(changes) <= listedLines {
				n.journal.InfoDecision("target is listed", journal.Instance(fact.Target.Name), journal.Service(fact.Target.Service),
					journal.Domain(fact.Target.Domain), journal.TargetState(string(fact.Target.State)), journal.Revision(change.Item.Revision))
			}
			continue
		}
		// The entry was removed, or holds nothing that can be used.
		if domain := n.facts.domains[key]; domain != "" && n.facts.setOut(key, "") {
			n.journal.Info("failure domain is brought back", journal.Domain(domain), journal.Revision(change.Item.Revision))
		}
		if row, ok := targets.Target(key); ok {
			n.journal.InfoDecision("target is no longer listed", journal.Instance(row.Name), journal.Revision(change.Item.Revision))
		}
		targets, moved = targets.WithRemoval(now, key, c.RecoveredAt()), true
	}
	if len(changes) > listedLines {
		n.journal.InfoDecision("many entries of the registry changed", journal.Count(len(changes)), journal.Revision(c.Revision()))
	}
	n.facts.targets = targets
	if moved {
		n.members.SetList(now, targets.List())
	}
}

// regained logs that the registry answers again.
func (n *Node) regained(calls int, outage time.Duration) {
	n.journal.Info("registry answers again", journal.Count(calls), journal.Took(outage))
}

// factsWait is how long a fresh node leaves the connections of callers unread until it knows a configuration and targets.
// Callers count a request as unread for a second at least, while a refusal would use up one of their few attempts.
const factsWait = 700 * time.Millisecond

// awaitFacts returns when the node knows a configuration and targets, or after factsWait.
func (n *Node) awaitFacts(ctx context.Context) {
	if n.platform == nil {
		return
	}
	timer := time.NewTimer(factsWait)
	defer timer.Stop()
	select {
	case <-n.facts.known:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// sweep drops targets whose entries lapsed and did not return; it runs on the control goroutine.
func (n *Node) sweep(now time.Time) {
	targets, changed := n.facts.targets.WithoutExpired(now)
	if changed {
		n.facts.targets = targets
		n.members.SetList(now, targets.List())
	}
}

// onFleet applies the configuration in force and the listed targets to the parts that depend on both.
func (n *Node) onFleet(now time.Time) {
	view, tree := n.members.Snapshot(), n.store.Snapshot().Tree()
	if tree.Version() > 0 && view.NodeCount() > 0 {
		n.facts.once.Do(func() { close(n.facts.known) })
	}
	n.onNodes(now, tree)
	row, ok := n.ownTarget()
	if ok {
		n.admission.SetRegistration(now, target.Registration{
			Name: row.Name, StartedAt: row.StartedAt, Slots: row.Slots, ColdRate: tree.Service(row.Service).ColdRate * n.platform.ColdRateFactor,
		})
	}
	n.admission.SetLeavingOnLoop(now, n.isLeaving() || (ok && row.State == instance.StateLeaving))
	n.admission.SetEvacuated(now, slices.Contains(n.facts.out(), n.settings.Domain))
}

// onNodes passes the nodes of the fleet on to the parts that divide work among them, if they or the configuration changed.
func (n *Node) onNodes(now time.Time, tree config.Tree) {
	homes := []string{n.settings.Name}
	var members []registry.Node
	for _, row := range hostsOf(n.facts.targets.List(), tree) {
		if row.NodeName() != n.settings.Name {
			homes = append(homes, row.NodeName())
			members = append(members, registry.Node{Name: row.NodeName(), Domain: row.Domain, ControlAddr: row.ControlAddr})
		}
	}
	moved := !slices.Equal(homes, n.facts.homes)
	if moved {
		n.feed.SetNodes(members)
	}
	if moved || tree.Version() != n.facts.version {
		n.limiter.SetHomes(now, tree, homes)
	}
	if moved {
		n.journal.InfoDecision("nodes of the fleet changed", journal.Count(len(homes)), journal.Version(tree.Version()))
	}
	n.facts.homes, n.facts.version = homes, tree.Version()
}

// hostsOf returns a row of each node beside a listed target, in the order of the nodes' names. An entry that names an unknown
// service comes from another writer; a node that does not exist must not become the home of an account.
func hostsOf(targets []instance.Instance, tree config.Tree) []instance.Instance {
	seen := map[string]bool{}
	var hosts []instance.Instance
	for _, row := range targets {
		if tree.HasService(row.Service) && !seen[row.NodeName()] {
			seen[row.NodeName()] = true
			hosts = append(hosts, row)
		}
	}
	slices.SortFunc(hosts, func(a, b instance.Instance) int { return strings.Compare(a.NodeName(), b.NodeName()) })
	return hosts
}

// ownTarget returns the entry of the target beside this node, the youngest if there are several.
func (n *Node) ownTarget() (instance.Instance, bool) {
	var own instance.Instance
	found := false
	for _, row := range n.facts.targets.List() {
		if row.NodeName() == n.settings.Name && (!found || row.StartedAt.After(own.StartedAt)) {
			own, found = row, true
		}
	}
	return own, found
}

// speak makes the node use the dialect of the platform.
func (n *Node) speak(d answer.Dialect) {
	n.callers.Dialect, n.callers.LocalService = d, func() string { return n.live().service }
	n.gate.Dialect, n.peers.Dialect = d, d
	n.gate.OnReport = n.admission.ApplyReport
	n.dispatcher.AllowReroute, n.dispatcher.RetryAllowance = true, n.retryAllowance
	n.client.From = n.settings.Name
	n.loadExchange = peer.NewLoadExchange(n.listeners.loadReports, n.loop, n.clock, n.boot, n.admission.Target, n.dispatcher.ApplyLoadReport,
		func(err error) { n.failed("exchanging notices", err) })
	n.peers.OnRequest = n.loadExchange.AddReceiver
	n.admission.OnChange(n.loadExchange.ReportIfChanged)
}
