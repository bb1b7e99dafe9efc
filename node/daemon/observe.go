package daemon

import (
	"context"
	"errors"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/caller"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/journal"
	"verbenapin.dev/node/operator"
	"verbenapin.dev/node/otlp"
	"verbenapin.dev/node/peer"
	"verbenapin.dev/node/target"
	"verbenapin.dev/node/tcp"
)

func (n *Node) callerEvents() caller.Events {
	return caller.Events{OnStart: n.onRequestStart, OnEnd: n.onRequestEnd, OnRetry: n.metrics.CountRetry, OnNoRoom: n.onNoRoom, OnShed: n.onShed}
}

// onRequestEnd ends the span of a request, counts it and logs its outcome.
func (n *Node) onRequestEnd(ctx context.Context, r caller.Result) {
	n.endRequestSpan(otlp.SpanFromContext(ctx), r)
	var truncated answer.TruncatedError
	switch {
	case r.Refusal != nil:
		n.metrics.CountRefused(r.Route, r.Account, *r.Refusal)
	case errors.As(r.RelayErr, &truncated):
		n.metrics.CountAborted(r.Route, "target")
	case r.RelayErr != nil:
		n.metrics.CountAborted(r.Route, "caller")
	default:
		n.metrics.CountAnswered(r.Route, r.Account, r.Status)
	}
	n.metrics.CountReturn(r.Route, r.Reserved, r.Returned, r.Refusal != nil)
	if r.TokenWait > 0 {
		n.metrics.ObserveStage(operator.StageAccount, r.TokenWait)
	}
	if r.Attempts > 0 {
		n.metrics.ObserveStage(operator.StageTotal, r.Total)
	}
	n.logRequest(r)
}

// onNoRoom counts and logs a new connection of a caller for which there is no room.
func (n *Node) onNoRoom(action caller.RoomAction) {
	n.metrics.CountNoRoom(string(action))
	n.journal.WarnRecurring("there is no room for a new connection of a caller", journal.Choice(string(action)),
		journal.Count(n.budget.Max(tcp.KindCaller)), journal.Connections(n.openConns()))
}

// onAnnounce logs and counts what the target beside the node announces in its responses; it runs on the control goroutine.
func (n *Node) onAnnounce(a target.Announcement) {
	name, _ := n.admission.Target()
	n.metrics.SetAnnounced(a.Rate(), a.IsLeaving())
	n.journal.InfoDecision("target announces a rate or that it is leaving", journal.Instance(name), journal.Rate(a.Rate()), journal.Leaving(a.IsLeaving()))
}

// onCallsRefused counts and logs a request that the gate refused because its calls would find no capacity; it runs on the control
// goroutine.
func (n *Node) onCallsRefused(r target.CallsRefusal) {
	n.metrics.CountWithheld(r.Route, r.Service, r.Wait)
	n.journal.InfoDecision("request refused for its calls", journal.Code(answer.CodeCalls), journal.Route(r.Route), journal.Service(r.Service),
		journal.ExpectedWait(r.Wait), journal.TimeLimit(r.Left), journal.Probability(r.Probability))
}

// logRequest logs the outcome of a request at its entry node.
func (n *Node) logRequest(r caller.Result) {
	fields := []journal.Field{
		journal.ID(r.ID), journal.Route(r.Route), journal.Account(r.Account), journal.Service(r.Service),
		journal.Version(r.Version), journal.Instance(r.Target), journal.ChoiceReason(r.LastTimings.Reason),
		journal.ExpectedWait(r.LastTimings.ExpectedWait), journal.Count(r.Attempts), journal.StopReason(string(r.StopReason)), journal.Hedged(r.LastTimings.Hedge),
		journal.Took(r.TimeToHead), journal.StageTimings(journal.Timings{
			Account: r.TokenWait, Choice: r.LastTimings.ChoiceTime, Hop: r.LastTimings.HopTime, Queue: r.LastTimings.QueueTime, Target: r.LastTimings.TargetTime,
		}),
	}
	if r.Returned {
		fields = append(fields, journal.Returned(true))
	}
	if r.Reserved {
		fields = append(fields, journal.Reserved(true))
	}
	switch {
	case r.Refusal != nil:
		n.journal.InfoDecision("request refused", append(fields,
			journal.Code(r.Refusal.Code), journal.Run(r.Refusal.Execution), journal.RefusalText(*r.Refusal))...)
	case r.RelayErr != nil:
		n.journal.InfoDecision("response broke off", append(fields, journal.Status(r.Status), journal.Cause(r.RelayErr))...)
	case n.currentSettings().slowThreshold > 0 && r.TimeToHead > n.currentSettings().slowThreshold:
		n.journal.InfoDecision("request was slow", append(fields, journal.Status(r.Status))...)
	default:
		n.journal.InfoRoutine("request answered", append(fields, journal.Status(r.Status))...)
	}
}

// logAttempt logs an attempt that did not return the response of a target.
func (n *Node) logAttempt(id, route string, a peer.Attempt, reply target.Reply, err error) {
	if err == nil {
		return
	}
	fields := []journal.Field{
		journal.ID(id), journal.Route(route), journal.Instance(a.Choice.Instance), journal.AttemptNumber(a.Number),
		journal.Hedge(a.Hedge), journal.ChoiceReason(string(a.Choice.Reason)), journal.ExpectedWait(a.Choice.ExpectedWait),
		journal.Took(reply.Timings.HopTime),
	}
	n.journal.InfoDecision("attempt failed", append(fields, failureFields(err)...)...)
}

// logGate logs the outcome of an attempt at the gate of this node.
func (n *Node) logGate(call target.Call, reply target.Reply, err error) {
	fields := []journal.Field{
		journal.ID(call.Request.Header.Get(n.forwarder.Dialect.RequestIDHeader)), journal.Route(call.Route), journal.Account(call.Account),
		journal.Instance(call.TargetName), journal.GateLoad(reply.Load.Running, reply.Load.Queued, reply.Load.Limit),
		journal.StageTimings(journal.Timings{Queue: reply.Timings.QueueTime, Target: reply.Timings.TargetTime}),
	}
	if err != nil {
		n.journal.InfoDecision("attempt failed at the gate", append(fields, failureFields(err)...)...)
		return
	}
	n.journal.InfoRoutine("attempt served", append(fields, journal.Status(reply.Response.StatusCode))...)
}

// onOverdue counts and logs a response that the gate ended after its deadline.
func (n *Node) onOverdue(c target.Call, err error) {
	n.metrics.CountOverdue(c.Route, errors.As(err, &target.HungError{}))
	n.journal.InfoDecision("response of the target was ended", journal.ID(c.Request.Header.Get(n.forwarder.Dialect.RequestIDHeader)),
		journal.Route(c.Route), journal.Account(c.Account), journal.Instance(c.TargetName), journal.Cause(err))
}

// onFault counts and logs a response of the target that could not be used or broke off.
func (n *Node) onFault(c target.Call, f target.Fault, err error) {
	n.metrics.CountFault(c.Route, string(f))
	n.journal.InfoDecision("response of the target is broken", journal.ID(c.Request.Header.Get(n.forwarder.Dialect.RequestIDHeader)),
		journal.Route(c.Route), journal.Account(c.Account), journal.Instance(c.TargetName), journal.Cause(err))
}

// failureFields returns the log fields that state why an attempt failed.
func failureFields(err error) []journal.Field {
	var refusal answer.Refusal
	if errors.As(err, &refusal) {
		return []journal.Field{journal.Code(refusal.Code), journal.Run(refusal.Execution), journal.RefusalText(refusal)}
	}
	return []journal.Field{journal.Cause(err)}
}

// updateGauges sets the gauges of configuration, load, probes and other instances.
func (n *Node) updateGauges() {
	v, now := n.store.Snapshot(), n.clock.Now()
	n.checkTimers(now)
	n.checkConnections()
	n.updateMemoryGauges()
	n.metrics.SetVersion(v.Version(), v.ConfirmationAge(now))
	n.metrics.SetRejected(n.store.Rejection().Version, len(v.Tree().Faults()))
	if n.feed != nil {
		n.metrics.SetEra(n.feed.Snapshot().Era())
	}
	load := n.admission.Load()
	n.metrics.SetLoad(load.Running, load.Queued, load.Limit)
	n.metrics.SetProbeRatio(n.admission.ProbeShare(), n.probeBudget())
	peers := n.members.Snapshot().Counts(now, n.settings.Name)
	n.metrics.SetPeers(peers[instance.StatusLive], peers[instance.StatusLeaving], peers[instance.StatusUnresponsive]+peers[instance.StatusCrashed])
}
