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
)

func (n *Node) events() caller.Events {
	return caller.Events{OnStart: n.begun, OnEnd: n.ended, OnRetry: n.metrics.CountRetry}
}

// ended counts and logs a request.
func (n *Node) ended(ctx context.Context, r caller.Result) {
	n.endSpan(otlp.SpanFromContext(ctx), r)
	var cut answer.TruncatedError
	switch {
	case r.Refusal != nil:
		n.metrics.CountRefused(r.Route, r.Account, *r.Refusal)
	case errors.As(r.RelayErr, &cut):
		n.metrics.CountBroken(r.Route, "target")
	case r.RelayErr != nil:
		n.metrics.CountBroken(r.Route, "caller")
	default:
		n.metrics.CountAnswered(r.Route, r.Account, r.Status)
	}
	if r.TokenWait > 0 {
		n.metrics.ObserveStage(operator.StageAccount, r.TokenWait)
	}
	if r.Attempts > 0 {
		n.metrics.ObserveStage(operator.StageWhole, r.Total)
	}
	n.logEnd(r)
}

// logEnd writes a line about the end of a request at its entry node.
func (n *Node) logEnd(r caller.Result) {
	fields := []journal.Field{
		journal.ID(r.ID), journal.Route(r.Route), journal.Account(r.Account), journal.Service(r.Service),
		journal.Version(r.Version), journal.Instance(r.Target), journal.ChoiceReason(r.LastTimings.Reason),
		journal.ExpectedWait(r.LastTimings.ExpectedWait), journal.Count(r.Attempts), journal.StopReason(string(r.StopReason)),
		journal.Took(r.TimeToHead), journal.StageTimings(journal.Timings{
			Account: r.TokenWait, Choice: r.LastTimings.ChoiceTime, Hop: r.LastTimings.HopTime, Queue: r.LastTimings.QueueTime, Target: r.LastTimings.TargetTime,
		}),
	}
	switch {
	case r.Refusal != nil:
		n.journal.InfoDecision("request refused", append(fields,
			journal.Code(r.Refusal.Code), journal.Run(r.Refusal.Execution), journal.RefusalText(*r.Refusal))...)
	case r.RelayErr != nil:
		n.journal.InfoDecision("response broke off", append(fields, journal.Status(r.Status), journal.Cause(r.RelayErr))...)
	case n.live().slow > 0 && r.TimeToHead > n.live().slow:
		n.journal.InfoDecision("request was slow", append(fields, journal.Status(r.Status))...)
	default:
		n.journal.InfoRoutine("request answered", append(fields, journal.Status(r.Status))...)
	}
}

// logAttempt writes a line about an attempt that did not bring the response of a target.
func (n *Node) logAttempt(id, route string, a peer.Attempt, reply target.Reply, err error) {
	if err == nil {
		return
	}
	fields := []journal.Field{
		journal.ID(id), journal.Route(route), journal.Instance(a.Choice.Instance), journal.AttemptNumber(a.Number),
		journal.Hedge(a.Hedge), journal.ChoiceReason(string(a.Choice.Reason)), journal.ExpectedWait(a.Choice.ExpectedWait),
		journal.Took(reply.Stages.HopTime),
	}
	n.journal.InfoDecision("attempt failed", append(fields, causeOf(err)...)...)
}

// logGate writes a line about what the gate of this node decided on an attempt.
func (n *Node) logGate(call target.Call, reply target.Reply, err error) {
	fields := []journal.Field{
		journal.ID(call.Request.Header.Get(n.gate.Dialect.RequestIDHeader)), journal.Route(call.Route), journal.Account(call.Account),
		journal.Instance(call.Target), journal.GateLoad(reply.Load.Running, reply.Load.Queued, reply.Load.Limit),
		journal.StageTimings(journal.Timings{Queue: reply.Stages.QueueTime, Target: reply.Stages.TargetTime}),
	}
	if err != nil {
		n.journal.InfoDecision("attempt failed at the gate", append(fields, causeOf(err)...)...)
		return
	}
	n.journal.InfoRoutine("attempt served", append(fields, journal.Status(reply.Response.StatusCode))...)
}

// causeOf describes why an attempt failed.
func causeOf(err error) []journal.Field {
	var refused answer.Refusal
	if errors.As(err, &refused) {
		return []journal.Field{journal.Code(refused.Code), journal.Run(refused.Execution), journal.RefusalText(refused)}
	}
	return []journal.Field{journal.Cause(err)}
}

// measure updates the gauges.
func (n *Node) measure() {
	v, now := n.store.Snapshot(), n.clock.Now()
	n.metrics.SetVersion(v.Version(), v.EvidenceAge(now))
	load := n.admission.Load()
	n.metrics.SetLoad(load.Running, load.Queued, load.Limit)
	n.metrics.SetProbeShare(n.admission.ProbeShare(), n.probeBudget())
	peers := n.members.Snapshot().Counts(now, n.settings.Name)
	n.metrics.SetPeers(peers[instance.StatusLive], peers[instance.StatusLeaving], peers[instance.StatusUnresponsive]+peers[instance.StatusCrashed])
}
