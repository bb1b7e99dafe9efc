package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"verbenapin.dev/node/journal"
)

// announcePeriod is the time for other nodes and callers to learn that this node is leaving. All listeners stay open until
// its end, so that a request on an idle keep-alive connection is answered.
const announcePeriod = 2 * time.Second

func (n *Node) isLeaving() bool {
	select {
	case <-n.leaving:
		return true
	default:
		return false
	}
}

// shutdown announces that the node is leaving, refuses new attempts for its target and waits for accepted requests.
func (n *Node) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), n.currentSettings().grace)
	defer cancel()
	n.journal.Info("node is leaving", journal.TimeLimit(n.currentSettings().grace))
	close(n.leaving)
	n.callerServer.Leave()
	err := errors.Join(n.members.Leave(ctx), n.admission.SetLeaving(ctx, true))
	announced := make(chan struct{})
	timer := n.clock.AfterFunc(announcePeriod, func(time.Time) { close(announced) })
	defer timer.Close()
	select {
	case <-announced:
	case <-ctx.Done():
	}
	err = errors.Join(err, n.callerServer.Shutdown(ctx))
	if n.peerServer != nil {
		err = errors.Join(err, n.peerServer.Shutdown(ctx))
	}
	if err != nil {
		return fmt.Errorf("daemon: shutting down: %w", err)
	}
	n.journal.Info("node ended")
	return nil
}

// close stops all parts in the reverse order of their use and waits for them.
func (n *Node) close() {
	for _, t := range n.subscriptions {
		t.Close()
	}
	n.callerServer.Close()
	if n.peerServer != nil {
		n.peerServer.Close()
		n.controlServer.Stop()
	}
	if n.loadExchange != nil {
		n.loadExchange.Close()
	}
	n.dispatcher.Close()
	n.admission.Close()
	n.limiter.Close()
	n.members.Close()
	if n.feed != nil {
		n.feed.Close()
	}
	n.store.Close()
	if n.pool != nil {
		n.pool.Close()
		n.client.Close()
	}
	n.transport.Close()
	n.httpClient.CloseIdleConnections()
	if n.readinessServer != nil {
		n.readinessServer.close()
	}
	_ = n.operatorServer.Close()
	n.loop.Close()
	_ = n.tracer.Close()
	_ = n.metrics.Close()
	n.journal.Close()
}
