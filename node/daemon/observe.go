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
	return caller.Events{Begun: n.begun, Ended: n.ended, Retried: n.metrics.Retried}
}

// ended counts and logs a request.
func (n *Node) ended(ctx context.Context, r caller.Result) {
	n.endSpan(otlp.Current(ctx), r)
	var cut answer.TruncatedError
	switch {
	case r.Refusal != nil:
		n.metrics.Refused(r.Route, r.Account, *r.Refusal)
	case errors.As(r.Broken, &cut):
		n.metrics.Broken(r.Route, "target")
	case r.Broken != nil:
		n.metrics.Broken(r.Route, "caller")
	default:
		n.metrics.Answered(r.Route, r.Account, r.Status)
	}
	if r.Wait > 0 {
		n.metrics.Waited(operator.StageAccount, r.Wait)
	}
	if r.Attempts > 0 {
		n.metrics.Waited(operator.StageWhole, r.Whole)
	}
	n.logEnd(r)
}

// logEnd writes a line about the end of a request at its entry node.
func (n *Node) logEnd(r caller.Result) {
	fields := []journal.Field{
		journal.ID(r.ID), journal.Route(r.Route), journal.Account(r.Account), journal.Service(r.Service),
		journal.Version(r.Version), journal.Instance(r.Target), journal.Chosen(r.Last.Reason),
		journal.Expected(r.Last.Expected), journal.Count(r.Attempts), journal.Stopped(string(r.Stopped)),
		journal.Took(r.Head), journal.Stages(journal.Times{
			Account: r.Wait, Choice: r.Last.Choice, Hop: r.Last.Hop, Queue: r.Last.Queue, Target: r.Last.Target,
		}),
	}
	switch {
	case r.Refusal != nil:
		n.journal.Decided("request refused", append(fields,
			journal.Code(r.Refusal.Code), journal.Run(r.Refusal.Run), journal.Refusal(*r.Refusal))...)
	case r.Broken != nil:
		n.journal.Decided("response broke off", append(fields, journal.Status(r.Status), journal.Cause(r.Broken))...)
	case n.live().slow > 0 && r.Head > n.live().slow:
		n.journal.Decided("request was slow", append(fields, journal.Status(r.Status))...)
	default:
		n.journal.Answered("request answered", append(fields, journal.Status(r.Status))...)
	}
}

// logAttempt writes a line about an attempt that did not bring the response of a target.
func (n *Node) logAttempt(id, route string, a peer.Attempt, reply target.Reply, err error) {
	if err == nil {
		return
	}
	fields := []journal.Field{
		journal.ID(id), journal.Route(route), journal.Instance(a.Choice.Name), journal.Number(a.Number),
		journal.Hedge(a.Hedge), journal.Chosen(string(a.Choice.Reason)), journal.Expected(a.Choice.Wait),
		journal.Took(reply.Stages.Hop),
	}
	n.journal.Decided("attempt failed", append(fields, causeOf(err)...)...)
}

// logGate writes a line about what the gate of this node decided on an attempt.
func (n *Node) logGate(call target.Call, reply target.Reply, err error) {
	fields := []journal.Field{
		journal.ID(call.Request.Header.Get(n.gate.Dialect.ID)), journal.Route(call.Route), journal.Account(call.Account),
		journal.Instance(call.Target), journal.Gate(reply.Load.Running, reply.Load.Queued, reply.Load.Limit),
		journal.Stages(journal.Times{Queue: reply.Stages.Queue, Target: reply.Stages.Target}),
	}
	if err != nil {
		n.journal.Decided("attempt failed at the gate", append(fields, causeOf(err)...)...)
		return
	}
	n.journal.Answered("attempt served", append(fields, journal.Status(reply.Response.StatusCode))...)
}

// causeOf describes why an attempt failed.
func causeOf(err error) []journal.Field {
	var refused answer.Refusal
	if errors.As(err, &refused) {
		return []journal.Field{journal.Code(refused.Code), journal.Run(refused.Run), journal.Refusal(refused)}
	}
	return []journal.Field{journal.Cause(err)}
}

// measure updates the gauges.
func (n *Node) measure() {
	v, now := n.store.Snapshot(), n.clock.Now()
	n.metrics.Version(v.Number(), v.EvidenceAge(now))
	load := n.admission.Load()
	n.metrics.Load(load.Running, load.Queued, load.Limit)
	n.metrics.Probing(n.admission.Probing(), n.probeBudget())
	peers := n.members.Snapshot().Counts(now, n.settings.Name)
	n.metrics.Peers(peers[instance.Present], peers[instance.Going], peers[instance.Quiet]+peers[instance.Crashed])
}
