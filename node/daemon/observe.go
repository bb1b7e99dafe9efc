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

// logEnd writes a line for a request that was refused, broke off or was slow; at level debug for every one.
func (n *Node) logEnd(r caller.Result) {
	fields := []journal.Field{
		journal.ID(r.ID), journal.Route(r.Route), journal.Account(r.Account), journal.Instance(r.Target),
		journal.Count(r.Attempts), journal.Took(r.Head), journal.Stages(journal.Times{
			Account: r.Wait, Choice: r.Last.Choice, Hop: r.Last.Hop, Queue: r.Last.Queue, Target: r.Last.Target,
		}),
	}
	switch {
	case r.Refusal != nil:
		n.journal.Info("request refused", append(fields,
			journal.Code(r.Refusal.Code), journal.Run(r.Refusal.Run), journal.Refusal(*r.Refusal))...)
	case r.Broken != nil:
		n.journal.Info("response broke off", append(fields, journal.Status(r.Status), journal.Cause(r.Broken))...)
	case n.live().slow > 0 && r.Head > n.live().slow:
		n.journal.Info("request was slow", append(fields, journal.Status(r.Status))...)
	default:
		n.journal.Debug("request answered", append(fields, journal.Status(r.Status))...)
	}
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
