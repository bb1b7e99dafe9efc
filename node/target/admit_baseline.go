package target

import (
	"time"

	"verbenapin.dev/node/answer"
)

// AdmitAll starts every request; measurements use it as the baseline without admission control.
func AdmitAll(g Gate, now time.Time, req AdmissionRequest) (Gate, Decision) {
	g.queue = g.queue.clone(now)
	return g.withStart(now, req), Decision{ID: req.ID, Action: ActionStart}
}

// AdmitSlots refuses requests beyond the slots of the target and queues none; measurements use it as the baseline without
// an adaptive limit.
func AdmitSlots(g Gate, now time.Time, req AdmissionRequest) (Gate, Decision) {
	if len(g.running) >= g.limit.slots {
		return g, refuse(req.ID, answer.CodeBusy, g.limit.ServiceTime(), "all slots are in use")
	}
	g.queue = g.queue.clone(now)
	return g.withStart(now, req), Decision{ID: req.ID, Action: ActionStart}
}
