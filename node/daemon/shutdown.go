package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"verbenapin.dev/node/journal"
)

// announceFor is the time in which other nodes and callers learn that this node leaves; until its end all
// listeners stay open, so that a request on an idle kept connection is answered.
const announceFor = 2 * time.Second

func (n *Node) isLeaving() bool {
	select {
	case <-n.leaving:
		return true
	default:
		return false
	}
}

// shutdown announces that the node leaves, refuses new work for its target, answers what it accepted, and ends.
func (n *Node) shutdown() error {
	limit, cancel := context.WithTimeout(context.Background(), n.live().grace)
	defer cancel()
	n.journal.Info("node is leaving", journal.TimeLimit(n.live().grace))
	close(n.leaving)
	n.callers.Leave()
	err := errors.Join(n.members.Leave(limit), n.admission.SetLeaving(limit, true))
	announced := make(chan struct{})
	timer := n.clock.AfterFunc(announceFor, func(time.Time) { close(announced) })
	defer timer.Close()
	select {
	case <-announced:
	case <-limit.Done():
	}
	err = errors.Join(err, n.callers.Shutdown(limit))
	if n.peers != nil {
		err = errors.Join(err, n.peers.Shutdown(limit))
	}
	if err != nil {
		return fmt.Errorf("daemon: shutting down: %w", err)
	}
	n.journal.Info("node ended")
	return nil
}

// close ends all parts in the reverse order of their use and waits for them.
func (n *Node) close() {
	for _, t := range n.ticks {
		t.Close()
	}
	n.callers.Close()
	if n.peers != nil {
		n.peers.Close()
		n.control.Stop()
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
	n.services.CloseIdleConnections()
	if n.readiness != nil {
		n.readiness.close()
	}
	_ = n.operators.Close()
	n.loop.Close()
	_ = n.tracer.Close()
	_ = n.metrics.Close()
	n.journal.Close()
}
