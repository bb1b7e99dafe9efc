package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"verbenapin.dev/node/target"
)

func (n *Node) probeBudget() float64 {
	budget, service := 0.0, n.live().service
	routes := n.store.Snapshot().Tree().Routes()
	for i := range routes {
		if r := &routes[i]; r.Service == service && (budget == 0 || r.ProbeRatio < budget) {
			budget = r.ProbeRatio
		}
	}
	return budget
}

// probePath is where targets answer probes.
const probePath = "/probe"

func (n *Node) probe(ctx context.Context) (target.ProbeResult, error) {
	path := probePath
	if stated := n.store.Snapshot().Tree().Service(n.live().service).ProbePath; stated != "" {
		path = stated
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, n.live().target.JoinPath(path).String(), nil)
	if err != nil {
		return target.ProbeResult{}, fmt.Errorf("daemon: making a probe: %w", err)
	}
	begun := n.clock.Now()
	res, err := n.transport.RoundTrip(r)
	if err != nil {
		n.metrics.CountProbe("lost")
		return target.ProbeResult{Cost: n.clock.Now().Sub(begun)}, err
	}
	n.metrics.CountProbe(probeResult(res.StatusCode))
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return target.ProbeResult{Cost: n.clock.Now().Sub(begun), Report: n.gate.Dialect.Report(res.Header)}, nil
}

func probeResult(status int) string {
	if status >= http.StatusInternalServerError {
		return "failed"
	}
	return "answered"
}
