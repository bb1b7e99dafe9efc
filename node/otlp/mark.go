package otlp

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const (
	retryMember = "verbenapin=r"
	// maxMembers is the most list members of tracestate that the W3C recommendation allows.
	maxMembers = 32
)

// Retried tells whether a node higher in the call chain marked the request as a retry.
func Retried(h http.Header) bool {
	for _, m := range members(h) {
		if m == retryMember {
			return true
		}
	}
	return false
}

// MarkRetry marks the request as a retry for all nodes below it in the call chain.
// A request without a valid traceparent gets one that is not sampled, because applications drop tracestate without it.
func MarkRetry(h http.Header) {
	kept := []string{retryMember}
	for _, m := range members(h) {
		if !strings.HasPrefix(m, "verbenapin=") && len(kept) < maxMembers {
			kept = append(kept, m)
		}
	}
	h["Tracestate"] = []string{strings.Join(kept, ",")}
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.HeaderCarrier(h))
	if trace.SpanContextFromContext(ctx).IsValid() {
		return
	}
	var ids [24]byte
	_, _ = rand.Read(ids[:]) // never fails, as its documentation says
	h["Traceparent"] = []string{"00-" + hex.EncodeToString(ids[:16]) + "-" + hex.EncodeToString(ids[16:]) + "-00"}
}

func members(h http.Header) []string {
	var out []string
	for _, line := range h["Tracestate"] {
		for m := range strings.SplitSeq(line, ",") {
			if m = strings.TrimSpace(m); m != "" {
				out = append(out, m)
			}
		}
	}
	return out
}
