package daemon

import (
	"net/netip"
	"runtime"
	"runtime/debug"
	"time"

	"verbenapin.dev/node/caller"
	"verbenapin.dev/node/journal"
	"verbenapin.dev/node/memory"
)

// memoryInterval bounds how long connections without progress are kept while memory is short.
const memoryInterval = 250 * time.Millisecond

// shedMessages are the log messages by reason, so that each reason is logged at its own rate.
var shedMessages = map[caller.ShedReason]journal.Message{
	caller.ShedHeaderLines: "a request head with too many lines was refused",
	caller.ShedLargeHead:   "a request head with too many bytes was refused",
	caller.ShedTrailers:    "a request with too many trailers was refused",
	caller.ShedMemory:      "a request was refused, because callers use the memory that they may use",
	caller.ShedStalled:     "a connection without progress was closed, because memory is short",
	caller.ShedResets:      "a connection that resets most of its streams was closed",
}

// onShed counts and logs a caller that was refused or whose connection was closed because of what it makes the node keep.
func (n *Node) onShed(reason caller.ShedReason, client netip.AddrPort) {
	n.shedding.Store(true)
	n.metrics.CountShed(string(reason))
	n.journal.WarnRecurring(shedMessages[reason], journal.Address(client), journal.Kept(n.kept.Total()))
}

// startMemory closes connections without progress while memory is short, and returns memory to the system after a surge.
func (n *Node) startMemory() {
	var release memory.Release
	n.subscriptions = append(n.subscriptions, n.clock.Subscribe(memoryInterval, func(now time.Time) {
		n.callerServer.ShedStalled(now)
		var due bool
		if release, due = release.WithKept(now, n.kept.Total(), n.shedding.Swap(false), n.memory); due {
			runtime.GC() // a sync.Pool keeps its content for one collection
			debug.FreeOSMemory()
		}
	}))
}

// updateMemoryGauges sets the gauges of what callers make the node keep.
func (n *Node) updateMemoryGauges() {
	n.metrics.SetMemory(n.memory.Total())
	for _, k := range memory.Kinds() {
		n.metrics.SetKept(string(k), n.kept.Kept(k))
	}
}
