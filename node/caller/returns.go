package caller

import (
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

// callerDeadline returns when the caller gives up, which may be after the route's time limit; false if it has not said so.
func (s *Server) callerDeadline(q request) (time.Time, bool) {
	patience, ok := s.patience(q)
	if !ok || patience <= 0 || patience > maxCallerDeadline {
		return time.Time{}, false
	}
	return q.start.Add(patience), true
}

// maxCallerDeadline bounds the deadlines by which callers are recognised.
const maxCallerDeadline = time.Hour

// markReturn gives the request of a caller that returned as told its stage, by which it goes before new ones of its rank.
func (s *Server) markReturn(q *request) {
	deadline, ok := s.callerDeadline(*q)
	if s.dispatch.IsReturn == nil || !ok || q.priority.Stage != target.StageNew {
		return
	}
	if s.dispatch.IsReturn(q.route, q.account, q.priority, deadline) {
		q.priority.Stage, q.result.Returned = target.StageReturned, true
	}
}

// withReturnTime returns the refusal with the time at which there will be capacity for its caller, if the service has too little now.
func (s *Server) withReturnTime(q *request, refused answer.Refusal) answer.Refusal {
	deadline, ok := s.callerDeadline(*q)
	if s.dispatch.Reserve == nil || !ok || refused.Execution != answer.NotExecuted || refused.Code != answer.CodeBusy || q.result.StopReason == StopNoTarget {
		return refused
	}
	refused, q.result.Reserved = s.dispatch.Reserve(q.route, q.account, q.priority, deadline, refused)
	return refused
}
