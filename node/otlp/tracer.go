// Package otlp records a span for each hop of a request and sends the spans over OTLP.
package otlp

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

const (
	// closeTimeout bounds the last export, so that an unavailable endpoint does not delay a shutdown.
	closeTimeout = 5 * time.Second
	// exportTimeout is below closeTimeout, so that the last spans get one full attempt.
	exportTimeout = 3 * time.Second
	// defaultPath is the path of the OTLP/HTTP specification for traces.
	defaultPath = "/v1/traces"
)

// Options configure a Tracer.
type Options struct {
	Endpoint    *url.URL // nil disables tracing
	SampleRatio float64  // fraction of requests to record if the caller has not decided, 0 to 1
	Name        string
	Domain      string
	Service     string
	OnError     func(err error) // called with errors of the OpenTelemetry library, such as failed exports; may be nil
}

// Tracer starts spans; the zero Tracer records nothing.
type Tracer struct {
	provider   *sdktrace.TracerProvider
	tracer     trace.Tracer
	propagator propagation.TraceContext
	transport  *http.Transport
}

// New returns a tracer; it connects to the endpoint only when it has spans to send.
func New(ctx context.Context, o Options) (*Tracer, error) {
	if o.Endpoint == nil {
		return &Tracer{}, nil
	}
	endpoint := *o.Endpoint
	if endpoint.Path == "" || endpoint.Path == "/" {
		endpoint.Path = defaultPath
	}
	transport := &http.Transport{MaxIdleConns: 1, IdleConnTimeout: time.Minute}
	exporter, err := otlptracehttp.New(ctx,
		otlptracehttp.WithEndpointURL(endpoint.String()),
		otlptracehttp.WithHTTPClient(&http.Client{Transport: transport, Timeout: exportTimeout}),
		otlptracehttp.WithTimeout(exportTimeout),
		// Spans are only samples; retrying an export would delay a shutdown while the endpoint is unavailable.
		otlptracehttp.WithRetry(otlptracehttp.RetryConfig{Enabled: false}),
	)
	if err != nil {
		return nil, fmt.Errorf("otlp: creating the exporter: %w", err)
	}
	if o.OnError != nil {
		otel.SetErrorHandler(otel.ErrorHandlerFunc(o.OnError))
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithExportTimeout(exportTimeout)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "verbenapin"),
			attribute.String("service.instance.id", o.Name),
			attribute.String("verbenapin.domain", o.Domain),
			attribute.String("verbenapin.service", o.Service),
		)),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer("verbenapin.dev/node"), transport: transport}, nil
}

// Extract returns ctx with the trace context of a request, so that the next span continues the caller's trace.
func (t *Tracer) Extract(ctx context.Context, h http.Header) context.Context {
	if t.tracer == nil {
		return ctx
	}
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Start starts a span as a child of the span in ctx, which may be remote.
func (t *Tracer) Start(ctx context.Context, name SpanName) (context.Context, Span) {
	if t.tracer == nil {
		return ctx, Span{}
	}
	ctx, span := t.tracer.Start(ctx, string(name), trace.WithSpanKind(name.kind()))
	return ctx, Span{span: span}
}

// Close exports the spans that have ended, and waits at most closeTimeout.
func (t *Tracer) Close() error {
	if t.provider == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	defer t.transport.CloseIdleConnections()
	if err := t.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("otlp: exporting the last spans: %w", err)
	}
	return nil
}
