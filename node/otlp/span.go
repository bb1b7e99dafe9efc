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

// SpanName names one step of a request's way.
type SpanName string

// Hops of a request.
const (
	SpanCaller SpanName = "caller" // the entry node, from the request head until the end of the response
	HopPeer    SpanName = "peer"   // one attempt, sent by the entry node to the target's node
	HopGate    SpanName = "gate"   // the target's node, from arrival until the end of the response
	HopTarget  SpanName = "target" // the request to the target
)

func (h SpanName) kind() trace.SpanKind {
	switch h {
	case SpanCaller, HopGate:
		return trace.SpanKindServer
	default:
		return trace.SpanKindClient
	}
}

// Span records one hop; the zero Span records nothing.
type Span struct{ span trace.Span }

// SpanFromContext returns the span of the hop that ctx belongs to.
func SpanFromContext(ctx context.Context) Span { return Span{span: trace.SpanFromContext(ctx)} }

// IsStarted tells whether the span was started, so that the next hop can be joined to it.
func (s Span) IsStarted() bool { return s.span != nil }

// Inject makes the span the parent of the next hop's span.
// It leaves tracestate as it is, because the proxy passes it on and retries are marked there.
func (s Span) Inject(h http.Header) {
	if s.span == nil {
		return
	}
	only := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(trace.ContextWithSpan(context.Background(), s.span), only)
	h.Set("Traceparent", only["traceparent"])
}

// SetRequest sets what the request was recognized as.
func (s Span) SetRequest(id, route, account string) {
	if s.recording() {
		s.span.SetAttributes(attribute.String("id", id), attribute.String("route", route), attribute.String("account", account))
	}
}

// SetChoice sets the target, why it was chosen, and the wait that was expected there.
func (s Span) SetChoice(target, reason string, wait time.Duration) {
	if s.recording() {
		s.span.SetAttributes(attribute.String("target", target), attribute.String("reason", reason), attribute.Float64("wait", milliseconds(wait)))
	}
}

// SetQueueTime sets the time that the request waited beside the target.
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

// Attempt sets the number of the attempt, from 1, and whether it runs beside the one before it.
func (s Span) Attempt(n int, hedge bool) {
	if s.recording() {
		s.span.SetAttributes(attribute.Int("attempt", n), attribute.Bool("hedge", hedge))
	}
}

// SetStatus sets the status of the response.
func (s Span) SetStatus(status int) {
	if s.recording() {
		s.span.SetAttributes(attribute.Int("status", status))
	}
}

// SetRefusal marks the hop as failed.
func (s Span) SetRefusal(r answer.Refusal) {
	if s.recording() {
		s.span.SetAttributes(attribute.String("code", string(r.Code)), attribute.String("run", string(r.Execution)))
		s.span.SetStatus(codes.Error, string(r.Code))
	}
}

// Failed marks the hop as failed without a refusal.
func (s Span) Failed(reason string) {
	if s.recording() {
		s.span.SetStatus(codes.Error, reason)
	}
}

// End ends the hop.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}

func (s Span) recording() bool { return s.span != nil && s.span.IsRecording() }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
