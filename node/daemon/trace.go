package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/caller"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/journal"
	"verbenapin.dev/node/operator"
	"verbenapin.dev/node/otlp"
	"verbenapin.dev/node/peer"
	"verbenapin.dev/node/target"
)

func (n *Node) newTracer() (*otlp.Tracer, error) {
	return otlp.New(context.Background(), otlp.Options{
		Endpoint: n.settings.Trace, SampleRatio: n.settings.Sample,
		Name: n.settings.Name, Domain: n.settings.Domain, Service: n.settings.Service,
		OnError: func(err error) { n.journal.Warn("spans could not be sent", journal.Cause(err)) },
	})
}

// onRequestStart starts the span of a caller's request.
func (n *Node) onRequestStart(ctx context.Context, h http.Header) context.Context {
	ctx, _ = n.tracer.Start(n.tracer.Extract(ctx, h), otlp.SpanCaller)
	return ctx
}

func (n *Node) endRequestSpan(span otlp.Span, r caller.Result) {
	span.SetRequest(r.ID, r.Route, r.Account)
	switch {
	case r.Refusal != nil:
		span.SetRefusal(*r.Refusal)
	case r.RelayErr != nil:
		span.SetError("response broke off")
	default:
		span.SetStatus(r.Status)
	}
	span.End()
}

// sendAttempt sends an attempt and records how long the choice of its target took; Policy.NoHedges keeps it from sending a hedge.
func (n *Node) sendAttempt(call target.Call, route config.Route, tried []string, newRequest func() *http.Request) ([]string, target.Reply, error) {
	if n.policy.NoHedges {
		newRequest = nil
	}
	names, reply, err := n.dispatcher.Send(call, route, tried, newRequest)
	n.metrics.ObserveStage(operator.StageSelection, reply.Timings.ChoiceTime)
	if reply.Timings.Hedge == peer.HedgeWon {
		n.metrics.CountHedgeWon(route.Name, reply.Timings.HedgeSaved)
	}
	return names, reply, err
}

// observeAttempt starts the span of an attempt; the returned function ends it at the head of the response.
func (n *Node) observeAttempt(ctx context.Context, route string, h http.Header, a peer.Attempt) (context.Context, func(target.Reply, error)) {
	if a.Hedge {
		n.metrics.CountHedge(route)
	}
	ctx, span := n.tracer.Start(ctx, otlp.SpanPeer)
	span.Inject(h)
	span.SetAttempt(a.Number, a.Hedge)
	span.SetChoice(a.Choice.Instance, string(a.Choice.Reason), a.Choice.ExpectedWait)
	id := h.Get(n.forwarder.Dialect.RequestIDHeader)
	return ctx, func(reply target.Reply, err error) {
		if reply.Timings.HopTime > 0 {
			n.metrics.ObserveStage(operator.StageHop, reply.Timings.HopTime)
		}
		n.logAttempt(id, route, a, reply, err)
		endAttemptSpan(span, reply, err)
	}
}

// serveAttempt runs an attempt at this node's target, with a span until the end of the response.
func (n *Node) serveAttempt(call target.Call) (target.Reply, error) {
	ctx, span := n.tracer.Start(n.tracer.Extract(call.Request.Context(), call.Request.Header), otlp.SpanGate)
	if span.IsStarted() {
		call.Request = call.Request.WithContext(ctx)
	}
	reply, err := n.forward(call)
	n.metrics.ObserveStage(operator.StageQueue, reply.Timings.QueueTime)
	if reply.Timings.TargetTime > 0 {
		n.metrics.ObserveStage(operator.StageTarget, reply.Timings.TargetTime)
	}
	span.SetRequest(call.Request.Header.Get(n.forwarder.Dialect.RequestIDHeader), call.Route, call.Account)
	n.logGate(call, reply, err)
	if err != nil && call.Request.Context().Err() != nil {
		n.metrics.CountGone(cancelledStage(reply.Timings))
	}
	span.SetQueueTime(reply.Timings.QueueTime)
	span.SetTargetTime(reply.Timings.TargetTime)
	if err != nil || !span.IsStarted() {
		endAttemptSpan(span, reply, err)
		return reply, err
	}
	span.SetStatus(reply.Response.StatusCode)
	reply.Response.Body = &spanBody{ReadCloser: reply.Response.Body, span: span}
	return reply, nil
}

// cancelledStage returns where an attempt was when it was cancelled.
func cancelledStage(t target.Timings) operator.Stage {
	if t.TargetTime > 0 {
		return operator.StageTarget
	}
	return operator.StageQueue
}

// forward runs an attempt at the target. It refuses one on a route for large responses that would be late, because earlier
// large responses still wait for the instance's link.
func (n *Node) forward(call target.Call) (target.Reply, error) {
	backlog := n.link.Backlog()
	if backlog == 0 {
		return n.forwarder.Do(call)
	}
	route, ok := n.store.Snapshot().Tree().Route(call.Route)
	if !ok || !route.Bulk || backlog < timeLeft(n.clock.Now(), call) {
		return n.forwarder.Do(call)
	}
	return target.Reply{Load: n.admission.Load(), HasLoad: true},
		answer.NewNotExecuted(answer.CodeBusy, "large responses fill the link of the target's instance")
}

// timeLeft returns the time until the soft deadline of an attempt, or until its deadline once the soft deadline has passed.
func timeLeft(now time.Time, call target.Call) time.Duration {
	if left := call.SoftDeadline.Sub(now); left > 0 {
		return left
	}
	return call.Deadline.Sub(now)
}

// roundTrip sends a request to the target, with a span until the head of its response.
func (n *Node) roundTrip(r *http.Request) (*http.Response, error) {
	ctx, span := n.tracer.Start(r.Context(), otlp.SpanTarget)
	if !span.IsStarted() {
		return n.transport.RoundTrip(r)
	}
	defer span.End()
	r = r.WithContext(ctx)
	span.Inject(r.Header)
	res, err := n.transport.RoundTrip(r)
	if err != nil {
		span.SetError("no response")
		return nil, err
	}
	span.SetStatus(res.StatusCode)
	return res, nil
}

// endAttemptSpan ends a span with the outcome of an attempt.
func endAttemptSpan(span otlp.Span, reply target.Reply, err error) {
	var refusal answer.Refusal
	switch {
	case errors.As(err, &refusal):
		span.SetRefusal(refusal)
	case errors.Is(err, peer.SupersededError{}):
		span.SetError("another attempt was answered first")
	case err != nil:
		span.SetError("no response")
	default:
		span.SetStatus(reply.Response.StatusCode)
	}
	span.End()
}

// spanBody is a response body whose Close ends a span.
type spanBody struct {
	io.ReadCloser
	once sync.Once
	span otlp.Span
}

// Close closes the body and ends the span.
func (b *spanBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.span.End)
	return err
}
