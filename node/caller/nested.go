package caller

import (
	"time"

	"verbenapin.dev/node/config"
)

// withParent returns the request with what it takes over from the run that made it. Where the fleet does not recognise nested requests
// by their runs, every request without account counts as nested. Only a run at the target beside this node counts, so that a caller
// elsewhere gains nothing by naming one.
func (s *Server) withParent(q request, fleet config.Fleet) request {
	if !fleet.Nested {
		q.nested = q.account == ""
		return q
	}
	id := s.Dialect.ParentID(q.receivedHeader)
	if id == "" || s.dispatch.RecordCall == nil {
		return q
	}
	parent, ok := s.dispatch.RecordCall(q.Context(), id, q.route.Service, q.priority)
	if !ok {
		return q
	}
	q.nested, q.parent, q.priority = true, parent, q.priority.Nested(parent.Priority)
	return q
}

// softDeadline returns when the response is wanted, and the objective from which that follows; both are zero without an objective.
// Only the response of its parent has a value for the caller of a nested request, so that it has the parent's.
func softDeadline(q request) (time.Time, time.Duration) {
	switch {
	case !q.parent.SoftDeadline.IsZero():
		return q.parent.SoftDeadline, q.parent.LatencyObjective
	case q.route.LatencyObjective > 0:
		return q.start.Add(q.route.LatencyObjective), q.route.LatencyObjective
	}
	return time.Time{}, 0
}
