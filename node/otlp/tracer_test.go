package otlp

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	tracev1 "go.opentelemetry.io/proto/otlp/trace/v1"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"verbenapin.dev/node/answer"
)

// TestMain guards against goroutines that outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	traceID    = "0af7651916cd43dd8448eb211c80319c"
	sampled    = "00-" + traceID + "-b7ad6b7169203331-01"
	notSampled = "00-" + traceID + "-b7ad6b7169203331-00"
)

// receiver is a fake OTLP endpoint that keeps the spans by name.
type receiver struct {
	*httptest.Server
	mu    sync.Mutex
	spans map[string]*tracev1.Span
}

func newReceiver(t *testing.T) *receiver {
	r := &receiver{spans: map[string]*tracev1.Span{}}
	r.Server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		var m collector.ExportTraceServiceRequest
		if req.URL.Path != "/v1/traces" || proto.Unmarshal(body, &m) != nil {
			panic("not a trace export request")
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, s := range m.ResourceSpans[0].ScopeSpans[0].Spans {
			r.spans[s.Name] = s
		}
	}))
	t.Cleanup(r.Close)
	return r
}

// TestTraceContext guards against spans that are missing from the caller's trace, and against trace headers that are lost or
// altered.
func TestTraceContext(t *testing.T) {
	cases := map[string]struct {
		enabled bool
		sample  float64
		parent  string
		spans   int
		next    string // prefix of the next hop's traceparent
	}{
		"disabled":               {parent: sampled, next: sampled},
		"disabled, no parent":    {},
		"caller samples":         {enabled: true, parent: sampled, spans: 2, next: "00-" + traceID},
		"caller does not sample": {enabled: true, sample: 1, parent: notSampled, next: "00-" + traceID},
		"node samples":           {enabled: true, sample: 1, spans: 2, next: "00-"},
		"node does not sample":   {enabled: true, next: "00-"},
		"invalid parent":         {enabled: true, sample: 1, parent: "bad", spans: 2, next: "00-"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newReceiver(t)
			o := Options{SampleRatio: tc.sample, Name: "a1"}
			if tc.enabled {
				u, err := url.Parse(r.URL)
				require.NoError(t, err)
				o.Endpoint = u
			}
			tracer, err := New(context.Background(), o)
			require.NoError(t, err)
			h := http.Header{"Tracestate": {"other=1", "verbenapin=r"}}
			if tc.parent != "" {
				h.Set("Traceparent", tc.parent)
			}
			ctx, outer := tracer.Start(tracer.Extract(context.Background(), h), SpanCaller)
			outer.SetRequest("r-1", "history", "lombardia")
			_, inner := tracer.Start(ctx, SpanPeer)
			inner.SetChoice("b1", "least expected wait", 2*time.Millisecond)
			inner.SetRefusal(answer.NewNotExecuted(answer.CodeBusy, ""))
			inner.Inject(h)
			inner.End()
			outer.End()
			require.NoError(t, tracer.Close())
			require.Equal(t, []string{"other=1", "verbenapin=r"}, h["Tracestate"])
			require.True(t, strings.HasPrefix(h.Get("Traceparent"), tc.next), h.Get("Traceparent"))
			require.Len(t, r.spans, tc.spans)
			if tc.spans > 0 {
				require.Equal(t, r.spans["caller"].SpanId, r.spans["peer"].ParentSpanId)
				require.Equal(t, "target", r.spans["peer"].Attributes[0].Key)
				require.Equal(t, "b1", r.spans["peer"].Attributes[0].Value.GetStringValue())
				require.Equal(t, tracev1.Status_STATUS_CODE_ERROR, r.spans["peer"].Status.Code)
			}
		})
	}
}

// TestDisabledTracer guards against allocations on the request path while tracing is disabled.
func TestDisabledTracer(t *testing.T) {
	tracer, err := New(context.Background(), Options{})
	require.NoError(t, err)
	h := http.Header{"Traceparent": {sampled}}
	ctx := context.Background()
	require.Zero(t, testing.AllocsPerRun(100, func() {
		_, s := tracer.Start(tracer.Extract(ctx, h), SpanCaller)
		s.SetChoice("b1", "least expected wait", time.Millisecond)
		s.Inject(h)
		s.End()
	}))
	require.NoError(t, tracer.Close())
}

// TestEndpointDown guards against failed exports that are not reported.
func TestEndpointDown(t *testing.T) {
	u, err := url.Parse("http://127.0.0.1:1") // privileged port where nothing listens
	require.NoError(t, err)
	errs := make(chan error, 1)
	tracer, err := New(context.Background(), Options{Endpoint: u, SampleRatio: 1, OnError: func(err error) { errs <- err }})
	require.NoError(t, err)
	_, s := tracer.Start(context.Background(), SpanCaller)
	s.End()
	require.NoError(t, tracer.Close())
	require.ErrorContains(t, <-errs, "refused")
}
