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

	"verbenapin.dev/node/account"
	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/journal"
	"verbenapin.dev/node/peer"
	"verbenapin.dev/node/registry"
	registryrpc "verbenapin.dev/node/registry/rpc"
	"verbenapin.dev/node/target"
)

// Platform connects a node to a platform whose registry replaces the configuration service and the instance list.
type Platform struct {
	Source    registry.Source
	Decode    func(registry.Item) (registry.DecodedItem, error)
	Dialect   answer.Dialect
	ReadyPath string // path on which the platform asks whether the node is ready
	Bootstrap bool   // the whole fleet starts for the first time
	// ColdRateFactor multiplies the configured request rate of cold targets, and ColdSlack is added to the result, in requests per
	// second.
	ColdRateFactor float64
	ColdSlack      float64
	// RetryBudget bounds the retries of a service by the whole fleet beyond the retry ratios of its routes.
	RetryBudget RetryBudget
	// Overage is by how much accounts may exceed their rates and bursts.
	Overage account.Overage
}

// coldRate returns how many requests per second the gate starts at a cold target with the configured rate, zero for no bound.
func (p Platform) coldRate(configured float64) float64 {
	if configured <= 0 {
		return 0
	}
	return configured*p.ColdRateFactor + p.ColdSlack
}

// RetryBudget bounds the retries of a service that all nodes together send in any Window.
type RetryBudget struct {
	Retries float64
	Window  time.Duration
}

// retryAllowance returns this node's part of the fleet's retry budget.
func (n *Node) retryAllowance() peer.RetryAllowance {
	r := n.platform.RetryBudget
	return peer.NewRetryAllowance(r.Retries, r.Window, n.members.Snapshot().NodeCount())
}

// hedgeLimit returns the part of a service's requests that may be hedges.
func (n *Node) hedgeLimit() float64 { return n.store.Snapshot().Tree().Fleet().HedgeRatio }

// registryState holds the targets and evacuated failure domains of the registry; the control goroutine changes it.
type registryState struct {
	targets       registry.Targets
	evacuations   registry.Evacuations
	complete      chan struct{} // closed when a configuration and targets are known
	completeOnce  sync.Once
	evacuated     atomic.Pointer[[]string]
	nodes         []string       // names last passed to the feed and the limiter
	leavingNodes  []string       // last passed to the limiter
	configVersion int64          // last passed to the limiter
	listing       target.Listing // last passed to the gate
}

// evacuatedDomains returns the failure domains that are evacuated; any goroutine may call it.
func (s *registryState) evacuatedDomains() []string {
	if evacuated := s.evacuated.Load(); evacuated != nil {
		return *evacuated
	}
	return nil
}

// setEvacuations replaces the evacuations, and returns the failure domains that are out now and those that are not any more.
func (s *registryState) setEvacuations(e registry.Evacuations) (out, back []string) {
	before, after := s.evacuatedDomains(), e.Domains()
	s.evacuations = e
	s.evacuated.Store(&after)
	return missing(after, before), missing(before, after)
}

// missing returns the names of a list that another one lacks.
func missing(list, other []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(name string) bool { return slices.Contains(other, name) })
}

// applyEvacuations puts evacuations into force, and reports whether a failure domain is taken out or brought back.
func (n *Node) applyEvacuations(e registry.Evacuations, revision int64) bool {
	out, back := n.registryState.setEvacuations(e)
	for _, domain := range out {
		n.journal.Info("failure domain is taken out", journal.Domain(domain), journal.Revision(revision))
	}
	for _, domain := range back {
		n.journal.Info("failure domain is brought back", journal.Domain(domain), journal.Revision(revision))
	}
	return len(out) > 0 || len(back) > 0
}

func (n *Node) feedSettings() registry.Settings {
	return registry.Settings{
		Name: n.settings.Name, Domain: n.settings.Domain, Loop: n.loop, Clock: n.clock,
		Source: n.platform.Source, AllowStaleRead: n.platform.Bootstrap, Decode: n.platform.Decode,
		OnChange: n.onRegistryChange, OnError: n.onControlError, OnRecovery: n.onRegistryRecovery, OnEra: n.onRegistryRestored,
		SendBroadcast: func(ctx context.Context, addr string, b registry.Broadcast) (registry.Point, error) {
			return registryrpc.Client{Conn: func(addr string) (grpc.ClientConnInterface, error) { return n.pool.Conn(addr) }}.Send(ctx, addr, b)
		},
	}
}

// maxTargetLines is the largest number of changes at once for which each listed target is logged; a new node reads the whole
// fleet at once.
const maxTargetLines = 10

// onRegistryChange applies changed entries of the registry; it runs on the control goroutine.
func (n *Node) onRegistryChange(now time.Time, snapshot registry.Snapshot, changes []registry.Change) {
	evacuations := n.registryState.evacuations
	var targetChanges []registry.TargetChange
	for _, change := range changes {
		item, decoded := change.Item, change.Decoded
		switch {
		case decoded.Tree != nil:
			n.store.Adopt(now, config.KeyDigest(string(item.Value)), *decoded.Tree)
			continue
		case decoded.Rejected != "":
			rejection := n.store.Reject(decoded.Rejected)
			n.journal.Error("configuration cannot be read and is not in force: correct it, and publish it under a higher number",
				journal.Revision(item.Revision), journal.Version(n.store.Snapshot().Version()), journal.Cause(rejection))
			continue
		case decoded.EvacuatedDomain != "" || evacuations.Has(item.Key):
			evacuations = evacuations.WithChange(now, registry.EvacuationChange{
				Key: item.Key, Domain: decoded.EvacuatedDomain, Revision: item.Revision, Restored: item.Restored,
			})
			if decoded.EvacuatedDomain != "" {
				continue
			}
		}
		// Without a target the entry was removed or cannot be used.
		targetChanges = append(targetChanges, registry.TargetChange{
			Key: item.Key, Era: snapshot.Era(), Revision: item.Revision, Restored: item.Restored, Target: decoded.Target,
		})
	}
	evacuationChanged := n.applyEvacuations(evacuations, snapshot.Revision())
	n.logTargets(targetChanges, snapshot.Revision())
	targets, listChanged := n.registryState.targets.WithChanges(now, targetChanges, snapshot.RecoveredAt())
	n.registryState.targets = targets
	if listChanged || evacuationChanged {
		n.members.SetList(now, targets.List())
		return
	}
	// An entry that lapses, or is back, leaves the list as it was.
	own, ok := n.ownTarget()
	n.setListing(now, own, ok)
}

// logTargets logs the changes of targets before they are applied; entries that were only written again are left out.
func (n *Node) logTargets(changes []registry.TargetChange, revision int64) {
	if len(changes) > maxTargetLines {
		n.journal.InfoDecision("many entries of the registry changed", journal.Count(len(changes)), journal.Revision(revision))
	}
	for _, c := range changes {
		old, known := n.registryState.targets.Target(c.Key)
		switch {
		case c.Target == nil && known && c.Restored:
			n.journal.InfoDecision("target is missing in the restored registry and is kept until it reports again or its grace ends",
				journal.Instance(old.Name), journal.Revision(c.Revision))
		case c.Target == nil && known:
			n.journal.InfoDecision("target is no longer listed", journal.Instance(old.Name), journal.Revision(c.Revision))
		case c.Target != nil && *c.Target != old && len(changes) <= maxTargetLines:
			n.journal.InfoDecision("target is listed", journal.Instance(c.Target.Name), journal.Service(c.Target.Service),
				journal.Domain(c.Target.Domain), journal.TargetState(string(c.Target.State)), journal.Revision(c.Revision))
		}
	}
}

// onRegistryRecovery logs that the registry answers again.
func (n *Node) onRegistryRecovery(calls int, outage time.Duration) {
	n.journal.Info("registry answers again", journal.Count(calls), journal.Took(outage))
}

// onRegistryRestored logs and counts that the registry was restored from a backup, and that this node has its new state.
func (n *Node) onRegistryRestored(from, to registry.Point, took time.Duration) {
	n.metrics.CountRestored(took)
	n.metrics.SetEra(to.Era)
	n.journal.Info("registry was restored from a backup and its new state is read", journal.EarlierRevision(from.Revision),
		journal.Revision(to.Revision), journal.Era(to.Era), journal.Took(took))
}

// maxConfigWait bounds how long a new node delays accepting connections of callers until it knows a configuration and targets.
// Callers wait at least a second for a request to be read, while a refusal would use up one of their few attempts.
const maxConfigWait = 700 * time.Millisecond

// awaitConfig returns when the node knows a configuration and targets, or after maxConfigWait.
func (n *Node) awaitConfig(ctx context.Context) {
	if n.platform == nil {
		return
	}
	timer := time.NewTimer(maxConfigWait)
	defer timer.Stop()
	select {
	case <-n.registryState.complete:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// removeExpired removes targets and evacuations that the registry lacks and that were not written again in time, and uses those that
// were held back; it runs on the control goroutine.
func (n *Node) removeExpired(now time.Time) {
	evacuationChanged := n.applyEvacuations(n.registryState.evacuations.WithoutExpired(now), n.feed.Snapshot().Revision())
	targets, changed := n.registryState.targets.WithoutExpired(now)
	if changed || evacuationChanged {
		n.registryState.targets = targets
		n.members.SetList(now, targets.List())
	}
}

// applyPlatformState applies the configuration in force and the listed targets to the parts that depend on both.
func (n *Node) applyPlatformState(now time.Time) {
	view, tree := n.members.Snapshot(), n.store.Snapshot().Tree()
	if tree.Version() > 0 && view.NodeCount() > 0 {
		n.registryState.completeOnce.Do(func() { close(n.registryState.complete) })
	}
	n.updateNodes(now, tree)
	inst, ok := n.ownTarget()
	if ok {
		service := tree.Service(inst.Service)
		n.admission.SetRegistration(now, target.Registration{
			Name: inst.Name, StartedAt: inst.StartedAt, Slots: inst.Slots, ColdRate: n.platform.coldRate(service.ColdRate), WarmUp: service.WarmUp,
		})
	}
	n.admission.SetLeavingOnLoop(now, n.isLeaving())
	n.setListing(now, inst, ok)
	n.admission.SetEvacuated(now, slices.Contains(n.registryState.evacuatedDomains(), n.settings.Domain))
}

// updateNodes passes the nodes of the fleet to the registry feed and the limiter when they or the configuration changed.
func (n *Node) updateNodes(now time.Time, tree config.Tree) {
	homes := []string{n.settings.Name}
	var others []registry.Node
	for _, inst := range nodeInstances(n.registryState.targets.List(), tree) {
		if inst.NodeName() != n.settings.Name {
			homes = append(homes, inst.NodeName())
			others = append(others, registry.Node{Name: inst.NodeName(), Domain: inst.Domain, ControlAddr: inst.ControlAddr})
		}
	}
	leaving := leavingNodes(n.registryState.targets.List())
	changed := !slices.Equal(homes, n.registryState.nodes)
	if changed {
		n.feed.SetNodes(others)
	}
	if changed || !slices.Equal(leaving, n.registryState.leavingNodes) || tree.Version() != n.registryState.configVersion {
		n.limiter.SetHomes(now, tree, homes, leaving)
	}
	if changed {
		n.journal.InfoDecision("nodes of the fleet changed", journal.Count(len(homes)), journal.Version(tree.Version()))
	}
	n.registryState.nodes, n.registryState.leavingNodes, n.registryState.configVersion = homes, leaving, tree.Version()
}

// leavingNodes returns the names of the nodes whose targets have all announced that they leave, sorted.
func leavingNodes(targets []instance.Instance) []string {
	leaving := map[string]bool{}
	for _, inst := range targets {
		name := inst.NodeName()
		earlier, seen := leaving[name]
		leaving[name] = inst.State == instance.StateLeaving && (earlier || !seen)
	}
	maps.DeleteFunc(leaving, func(_ string, leaves bool) bool { return !leaves })
	return slices.Sorted(maps.Keys(leaving))
}

// nodeInstances returns one instance of each node beside a listed target, sorted by the nodes' names. It skips entries of
// unknown services, which another program wrote: a node that does not exist must not become the home of an account.
func nodeInstances(targets []instance.Instance, tree config.Tree) []instance.Instance {
	seen := map[string]bool{}
	var nodes []instance.Instance
	for _, inst := range targets {
		if tree.HasService(inst.Service) && !seen[inst.NodeName()] {
			seen[inst.NodeName()] = true
			nodes = append(nodes, inst)
		}
	}
	slices.SortFunc(nodes, func(a, b instance.Instance) int { return strings.Compare(a.NodeName(), b.NodeName()) })
	return nodes
}

// ownTarget returns the entry of the target beside this node, the last started if there are several.
func (n *Node) ownTarget() (instance.Instance, bool) {
	var own instance.Instance
	found := false
	for _, inst := range n.registryState.targets.List() {
		if inst.NodeName() == n.settings.Name && (!found || inst.StartedAt.After(own.StartedAt)) {
			own, found = inst, true
		}
	}
	return own, found
}

// setListing tells the gate what the registry says of the target beside this node; listed is whether the registry has it, or may have lost
// it only because its entry expired.
func (n *Node) setListing(now time.Time, own instance.Instance, listed bool) {
	registered, _ := n.admission.Target()
	listing := listingOf(n.registryState.targets, own, listed, registered != "")
	if listing != n.registryState.listing {
		snapshot := n.feed.Snapshot()
		n.journal.Info("listing of the target beside the node changed", journal.Instance(registered), journal.TargetState(string(listing)),
			journal.Revision(snapshot.Revision()), journal.Age(snapshot.Age(now)))
	}
	n.registryState.listing = listing
	n.admission.SetListing(now, listing)
}

// listingOf returns what the registry says of a target; known is whether it was listed before.
func listingOf(targets registry.Targets, own instance.Instance, listed, known bool) target.Listing {
	switch {
	case !listed && known:
		return target.ListingGone
	case !listed:
		return target.ListingUnknown
	case own.State == instance.StateLeaving:
		return target.ListingLeaving
	case targets.HasLapsed(own.Name):
		return target.ListingLapsed
	}
	return target.ListingPresent
}

// adaptToPlatform sets the platform's dialect, rerouting, retry budget and load reports.
func (n *Node) adaptToPlatform(d answer.Dialect) {
	n.callerServer.Dialect, n.callerServer.LocalService = d, func() string { return n.currentSettings().service }
	n.forwarder.Dialect, n.peerServer.Dialect = d, d
	n.forwarder.OnReport = n.admission.ApplyReport
	n.dispatcher.Report = d.Report
	n.admission.OnAnnounce = n.onAnnounce
	n.dispatcher.AllowReroute, n.dispatcher.RetryAllowance = true, n.retryAllowance
	n.dispatcher.RetriedShare, n.dispatcher.HedgeLimit = n.admission.RetriedShare, n.hedgeLimit
	n.client.SenderName = n.settings.Name
	n.loadExchange = peer.NewLoadExchange(n.listeners.loadReports, n.loop, n.clock, n.bootID, n.admission.Target, n.dispatcher.ApplyLoadReport,
		func(err error) { n.onControlError("exchanging notices", err) })
	n.peerServer.OnRequest = n.loadExchange.AddReceiver
	n.admission.OnChange(n.loadExchange.ReportIfChanged)
}
