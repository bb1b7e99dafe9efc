package daemon

import (
	"context"
	"time"

	"verbenapin.dev/node/journal"
	"verbenapin.dev/node/tcp"
)

// stallThreshold is the delay from which a late timer or a waiting control event is logged. Callers wait one second for a
// connection, so that a shorter delay costs none.
const stallThreshold = 500 * time.Millisecond

// tickMonitor measures how late the ticks of a ticker are; it is immutable.
type tickMonitor struct{ last time.Time }

// WithTick returns the monitor after a tick, and how much later than one period after the previous tick it came.
func (m tickMonitor) WithTick(now time.Time, period time.Duration) (tickMonitor, time.Duration) {
	late := time.Duration(0)
	if !m.last.IsZero() {
		late = max(now.Sub(m.last)-period, 0)
	}
	return tickMonitor{last: now}, late
}

// checkTimers logs a process that was paused or got no processor time; it runs once per metricsInterval.
func (n *Node) checkTimers(now time.Time) {
	var late time.Duration
	if n.ticks, late = n.ticks.WithTick(now, metricsInterval); late >= stallThreshold {
		n.journal.Warn("timers fired late: the process was paused or had no processor time", journal.Took(late))
	}
}

// checkLoop measures how long an event waits for the control goroutine; it runs once per metricsInterval.
func (n *Node) checkLoop(time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), metricsInterval)
	defer cancel()
	started := n.clock.Now()
	err := n.loop.Call(ctx, func(time.Time) {})
	lag := n.clock.Now().Sub(started)
	n.metrics.SetLag(lag)
	switch {
	case err != nil:
		n.journal.Warn("the control goroutine does not respond", journal.Took(lag), journal.Cause(err))
	case lag >= stallThreshold:
		n.journal.Warn("the control goroutine responded late", journal.Took(lag))
	}
}

// scarceDescriptors is the share of the descriptors from which their use is logged.
const scarceDescriptors = 0.75

// checkConnections sets the gauges of open connections, and logs which kinds use the descriptors once they are scarce.
func (n *Node) checkConnections() {
	open, total := n.openConns(), 0
	for _, count := range open {
		total += count
	}
	n.metrics.SetConnections(open)
	n.metrics.SetSent(n.sentBytes())
	if float64(total) >= scarceDescriptors*float64(n.budget.Descriptors()) {
		n.journal.WarnRecurring("descriptors are scarce", journal.Connections(open), journal.Count(n.budget.Descriptors()))
	}
}

// onAcceptError logs a connection that could not be accepted, with the open connections of all kinds.
func (n *Node) onAcceptError(k tcp.Kind, err error) {
	n.journal.WarnRecurring("a connection could not be accepted", journal.Part(string(k)), journal.Cause(err), journal.Connections(n.openConns()))
}

// openConns returns the number of open connections by kind.
func (n *Node) openConns() map[string]int {
	out := map[string]int{}
	for _, k := range tcp.Kinds() {
		out[string(k)] = n.conns.Open(k)
	}
	return out
}

// sentBytes returns the bytes sent since the start by purpose.
func (n *Node) sentBytes() map[string]int64 {
	out := map[string]int64{}
	for _, k := range tcp.Kinds() {
		out[string(k)] = n.conns.Sent(k)
	}
	if n.loadExchange != nil {
		out["report"] = n.loadExchange.Sent()
	}
	return out
}
