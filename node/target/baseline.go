package target

import (
	"time"

	"verbenapin.dev/node/answer"
)

// AdmitAll starts every request; it is the measuring program's baseline without admission control.
func AdmitAll(g Gate, now time.Time, t AdmissionRequest) (Gate, Decision) {
	g.queue = g.queue.clone(now)
	return g.withStart(now, t), Decision{ID: t.ID, Action: ActionStart}
}

// AdmitSlots knows the configured slots only; it is the measuring program's baseline without an adaptive limit.
func AdmitSlots(g Gate, now time.Time, t AdmissionRequest) (Gate, Decision) {
	if len(g.runs) >= g.limit.slots {
		return g, refuse(t.ID, answer.CodeBusy, g.limit.Service(), "all slots are in use")
	}
	g.queue = g.queue.clone(now)
	return g.withStart(now, t), Decision{ID: t.ID, Action: ActionStart}
}
