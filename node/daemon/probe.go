package daemon

import (
	"context"
	"fmt"
	"net/http"

	"verbenapin.dev/node/journal"
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
	res, err := n.transport.RoundTrip(r) //nolint:bodyclose // ReadProbe closes it
	if err != nil {
		n.metrics.CountProbe("lost")
		if f := target.FaultOf(err); f == target.FaultHead || f == target.FaultStatus {
			n.journal.WarnRecurring("the response to a probe cannot be used", journal.Cause(err))
		}
		return target.ProbeResult{Cost: n.clock.Now().Sub(start)}, err
	}
	result, err := target.ReadProbe(n.forwarder.Dialect, res)
	result.Cost = n.clock.Now().Sub(start)
	if err != nil {
		n.metrics.CountProbe("mismatched")
		n.journal.WarnRecurring("a response on the connection of a probe was of another request", journal.Cause(err))
		return result, fmt.Errorf("daemon: reading a probe: %w", err)
	}
	n.metrics.CountProbe(probeResultLabel(res.StatusCode, result.TellsCold))
	return result, nil
}

func probeResultLabel(status int, tellsCold bool) string {
	switch {
	case status >= http.StatusInternalServerError:
		return "failed"
	case !tellsCold:
		return "unnamed"
	}
	return "answered"
}
