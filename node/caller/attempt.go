package caller

import (
	"errors"
	"fmt"
	"net/http"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

// sendWithRetries sends the request to one target after the other until one answers or no further attempt is allowed.
func (s *Server) sendWithRetries(q *request) (target.Reply, error) {
	body, err := bufferBody(q.Request)
	if err != nil {
		return target.Reply{}, answer.NewNotExecuted(answer.CodePath, "the request body broke off")
	}
	deadline := s.deadlineOf(*q)
	s.markReturn(q)
	tracestate := q.Header.Get("Tracestate")
	if q.parent.Retried {
		tracestate = target.MarkRetried(tracestate)
		q.Header.Set("Tracestate", tracestate)
	}
	var tried []string
	var failures []answer.Refusal
	committed, reached := false, 0
	for {
		if !committed {
			if err := s.revalidatePermit(q); err != nil {
				return target.Reply{}, err
			}
		}
		call := target.Call{
			Request: body.next(q.Request), Route: q.route.Name, Account: q.account, Key: q.key, Version: q.version,
			Priority: q.priority, Idempotent: q.route.Idempotent, Deadline: deadline,
			Nested: q.nested, ParentRoute: q.parent.Route,
		}
		call.SoftDeadline, call.LatencyObjective = softDeadline(*q)
		if reached > 0 { // a target that was not reached has no load from the request
			call.Request.Header.Set("Tracestate", target.MarkRetried(tracestate))
		}
		names, reply, err := s.dispatch.Send(call, q.route, tried, s.hedgeRequest(q, body, tracestate, len(tried), reached))
		q.result = q.result.withAttempt(names, reply.Timings)
		failure := refusalOf(reply, err)
		if failure.Execution != answer.NotExecuted && !committed {
			q.permit.Commit()
			committed = true
		}
		if err == nil && !q.route.Idempotent && s.Dialect.DeniesExecution(reply.Response.StatusCode) {
			// The target has run the request, and its caller would take the status for a promise that it has not.
			_ = reply.Response.Body.Close()
			return reply, failure
		}
		if err == nil && (reply.Response.StatusCode < http.StatusInternalServerError || !q.route.Idempotent) {
			return reply, nil
		}
		if failure.ReachedTarget || failure.Execution != answer.NotExecuted {
			reached += len(names)
		}
		tried = append(tried, names...)
		failures = append(failures, failure)
		failed := FailedAttempt{
			Execution: failure.Execution, Code: failure.Code, Attempts: len(tried), TargetsReached: reached, MaxTargets: q.route.Attempts,
			ReachedTarget: failure.ReachedTarget, Idempotent: q.route.Idempotent, AlreadyRetried: target.IsRetried(tracestate),
			Replayable: body.replayable(), Remaining: deadline.Sub(s.now()),
		}
		switch {
		case len(names) > 0:
			q.result.StopReason = s.stopReason(*q, failed)
		case reply.Timings.Reason == string(StopFull):
			q.result.StopReason = StopFull
		default:
			q.result.StopReason = StopNoTarget
		}
		if q.result.StopReason != "" {
			if err != nil {
				err = s.withReturnTime(q, FinalRefusal(failures, len(names) > 0))
			}
			return reply, err
		}
		if reply.Response != nil {
			_ = reply.Response.Body.Close()
		}
	}
}

// hedgeRequest returns a function that makes the request for a hedge (a second attempt that runs beside the first one) or returns nil if
// the request has had all its attempts; it is nil if the request must not be hedged after the given attempts.
func (s *Server) hedgeRequest(q *request, body replayBody, tracestate string, attempts, reached int) func() *http.Request {
	if !HasRoomForHedge(attempts, reached, q.route.Attempts) || !MayHedge(q.route.Idempotent, body.stream == nil, target.IsRetried(tracestate)) {
		return nil
	}
	hedges := 0
	return func() *http.Request {
		if !HasRoomForHedge(attempts+hedges, reached, q.route.Attempts) {
			return nil
		}
		hedges++
		out := body.next(q.Request)
		out.Header.Set("Tracestate", target.MarkRetried(tracestate))
		return out
	}
}

// refusalOf returns the refusal that describes the outcome of an attempt. For a response it states that the request may have been
// executed; sendWithRetries uses its other fields only if it treats the response as a failure.
func refusalOf(reply target.Reply, err error) answer.Refusal {
	var refused answer.Refusal
	if errors.As(err, &refused) {
		return refused
	}
	if err != nil {
		return answer.NewMaybeExecuted(answer.CodeLost, err.Error())
	}
	return answer.NewMaybeExecuted(answer.CodeBusy, fmt.Sprintf("the target answered with status %d", reply.Response.StatusCode))
}

// revalidatePermit makes sure that the request has a valid permit when it is forwarded. A permit can expire during a long
// wait, for example for a connection to a node that is paused; it is then refunded and a new one acquired.
func (s *Server) revalidatePermit(q *request) error {
	if q.permit.Validate() == nil {
		return nil
	}
	q.permit.Refund()
	q.permit = noopPermit()
	begin := s.now()
	permit, err := s.acquire(q.Context(), q.account)
	q.result.TokenWait += s.now().Sub(begin)
	if err != nil {
		return err
	}
	q.permit = permit
	return q.permit.Validate()
}

// stopReason applies the retry rules and the retry budget. It returns why there is no further attempt, or an empty reason if
// there is one.
func (s *Server) stopReason(q request, failed FailedAttempt) StopReason {
	allowed, usesBudget := MayRetry(failed)
	switch {
	case !allowed:
		return StopNotAllowed
	case q.Context().Err() != nil:
		return StopCallerGone
	case usesBudget && !s.dispatch.AllowRetry(q.route):
		return StopBudget
	}
	s.events.OnRetry(q.route.Name)
	return ""
}
