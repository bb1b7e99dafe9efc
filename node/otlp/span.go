package otlp

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"verbenapin.dev/node/answer"
)

// SpanName is the name of a span; each hop of a request has its own.
type SpanName string

// Names of the spans of a request.
const (
	SpanCaller SpanName = "caller" // at the entry node: from the request head to the end of the response
	SpanPeer   SpanName = "peer"   // at the entry node: one attempt, sent to the target's node
	SpanGate   SpanName = "gate"   // at the target's node: from the arrival of the request to the end of the response
	SpanTarget SpanName = "target" // at the target's node: the request to the target
)

func (n SpanName) kind() trace.SpanKind {
	switch n {
	case SpanCaller, SpanGate:
		return trace.SpanKindServer
	default:
		return trace.SpanKindClient
	}
}

// Span records one hop; the zero Span records nothing.
type Span struct{ span trace.Span }

// SpanFromContext returns the current span of ctx.
func SpanFromContext(ctx context.Context) Span { return Span{span: trace.SpanFromContext(ctx)} }

// IsStarted reports whether the span was started, so that it can be the parent of the next hop's span.
func (s Span) IsStarted() bool { return s.span != nil }

// Inject makes the span the parent of the next hop's span by setting traceparent.
// It leaves tracestate as it is, because the proxy forwards it and marks retries there.
func (s Span) Inject(h http.Header) {
	if s.span == nil {
		return
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(trace.ContextWithSpan(context.Background(), s.span), carrier)
	h.Set("Traceparent", carrier["traceparent"])
}

// SetRequest sets the request ID, route and account.
func (s Span) SetRequest(id, route, account string) {
	if s.recording() {
		s.span.SetAttributes(attribute.String("id", id), attribute.String("route", route), attribute.String("account", account))
	}
}

// SetChoice sets the target, the reason why it was chosen and the wait expected at it.
func (s Span) SetChoice(target, reason string, wait time.Duration) {
	if s.recording() {
		s.span.SetAttributes(attribute.String("target", target), attribute.String("reason", reason), attribute.Float64("wait", milliseconds(wait)))
	}
}

// SetQueueTime sets the time that the request waited in the gate's queue.
func (s Span) SetQueueTime(d time.Duration) {
	if s.recording() {
		s.span.SetAttributes(attribute.Float64("queued", milliseconds(d)))
	}
}

// SetTargetTime sets the time that the target took until the head of its response.
func (s Span) SetTargetTime(d time.Duration) {
	if s.recording() {
		s.span.SetAttributes(attribute.Float64("served", milliseconds(d)))
	}
}

// SetAttempt sets the number of the attempt, from 1, and whether it is hedged: sent while the previous one is still running.
func (s Span) SetAttempt(n int, hedge bool) {
	if s.recording() {
		s.span.SetAttributes(attribute.Int("attempt", n), attribute.Bool("hedge", hedge))
	}
}

// SetStatus sets the HTTP status code of the response.
func (s Span) SetStatus(status int) {
	if s.recording() {
		s.span.SetAttributes(attribute.Int("status", status))
	}
}

// SetRefusal marks the span as failed with a refusal.
func (s Span) SetRefusal(r answer.Refusal) {
	if s.recording() {
		s.span.SetAttributes(attribute.String("code", string(r.Code)), attribute.String("run", string(r.Execution)))
		s.span.SetStatus(codes.Error, string(r.Code))
	}
}

// SetError marks the span as failed without a refusal.
func (s Span) SetError(reason string) {
	if s.recording() {
		s.span.SetStatus(codes.Error, reason)
	}
}

// End ends the span.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}

func (s Span) recording() bool { return s.span != nil && s.span.IsRecording() }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
