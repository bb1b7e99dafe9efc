package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"verbenapin.dev/node/target"
)

// probeBudget returns the share of the target's time that probes may use, the smallest of its service's routes.
func (n *Node) probeBudget() float64 {
	budget, service := 0.0, n.currentSettings().service
	routes := n.store.Snapshot().Tree().Routes()
	for i := range routes {
		if r := &routes[i]; r.Service == service && (budget == 0 || r.ProbeRatio < budget) {
			budget = r.ProbeRatio
		}
	}
	return budget
}

// maxProbeBody is how much of the body of a probe's response is read, in bytes. Health responses have some hundred; a target in trouble
// may send bytes without end.
const maxProbeBody = 64 << 10

// defaultProbePath is the path of probes unless the service has one of its own.
const defaultProbePath = "/probe"

func (n *Node) probe(ctx context.Context) (target.ProbeResult, error) {
	path := defaultProbePath
	if configured := n.store.Snapshot().Tree().Service(n.currentSettings().service).ProbePath; configured != "" {
		path = configured
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, n.currentSettings().target.JoinPath(path).String(), nil)
	if err != nil {
		return target.ProbeResult{}, fmt.Errorf("daemon: making a probe: %w", err)
	}
	start := n.clock.Now()
	res, err := n.transport.RoundTrip(r)
	if err != nil {
		n.metrics.CountProbe("lost")
		return target.ProbeResult{Cost: n.clock.Now().Sub(start)}, err
	}
	n.metrics.CountProbe(probeResultLabel(res.StatusCode))
	// Closing a body that is longer closes its connection.
	_, _ = io.CopyN(io.Discard, res.Body, maxProbeBody)
	_ = res.Body.Close()
	return target.ProbeResult{Cost: n.clock.Now().Sub(start), Report: n.forwarder.Dialect.Report(res.Header)}, nil
}

func probeResultLabel(status int) string {
	if status >= http.StatusInternalServerError {
		return "failed"
	}
	return "answered"
}
