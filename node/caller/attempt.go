package caller

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

// replaySize bounds the request body that is held so that another target can get it after a refusal.
const replaySize = 64 << 10

// attempt offers the request to targets until one answers or no further attempt is allowed.
func (s *Server) attempt(q *request) (target.Reply, error) {
	body, err := readAhead(q.Request)
	if err != nil {
		return target.Reply{}, answer.NewNotExecuted(answer.CodePath, "the request body broke off")
	}
	deadline := s.deadlineOf(*q)
	state := q.Header.Get("Tracestate")
	var tried []string
	var failures []answer.Refusal
	settled, sent := false, 0
	for {
		if !settled {
			if err := s.confirm(q); err != nil {
				return target.Reply{}, err
			}
		}
		call := target.Call{
			Request: body.next(q.Request), Route: q.route.Name, Account: q.account, Key: q.key, Version: q.version,
			Priority: q.priority, Idempotent: q.route.Idempotent, Deadline: deadline,
		}
		if q.route.LatencyObjective > 0 {
			call.SoftDeadline, call.LatencyObjective = q.begun.Add(q.route.LatencyObjective), q.route.LatencyObjective
		}
		if len(tried) > 0 {
			call.Request.Header.Set("Tracestate", MarkRetried(state))
		}
		names, reply, err := s.dispatch.Send(call, q.route, tried, s.again(q, body, state, tried))
		q.result = q.result.withAttempt(names, reply.Stages)
		failure := failureOf(reply, err)
		if failure.Execution != answer.NotExecuted && !settled {
			q.permit.Commit()
			settled = true
		}
		if err == nil && (reply.Response.StatusCode < http.StatusInternalServerError || !q.route.Idempotent) {
			return reply, nil
		}
		if failure.ReachedTarget || failure.Execution != answer.NotExecuted {
			sent += len(names)
		}
		tried = append(tried, names...)
		failures = append(failures, failure)
		failed := Attempt{
			Run: failure.Execution, Code: failure.Code, Number: len(tried), Sent: sent, Most: q.route.Attempts,
			Reached: failure.ReachedTarget, Idempotent: q.route.Idempotent, Retrying: IsRetried(state),
			Replayable: body.replayable(), Remaining: deadline.Sub(s.now()),
		}
		if len(names) == 0 {
			q.result.StopReason = StopNone
		} else {
			q.result.StopReason = s.mayRetry(*q, failed)
		}
		if q.result.StopReason != "" {
			if err != nil {
				err = Final(failures, len(names) > 0)
			}
			return reply, err
		}
		if reply.Response != nil {
			_ = reply.Response.Body.Close()
		}
	}
}

// again returns the function that makes the request for a second attempt beside the first one, nil if there must be none.
func (s *Server) again(q *request, body replay, state string, tried []string) func() *http.Request {
	if len(tried) > 0 || !MayHedge(q.route.Idempotent, body.stream == nil, IsRetried(state)) {
		return nil
	}
	return func() *http.Request {
		out := body.next(q.Request)
		out.Header.Set("Tracestate", MarkRetried(state))
		return out
	}
}

// failureOf describes an attempt as a failure, which it is if it is to be repeated.
func failureOf(reply target.Reply, err error) answer.Refusal {
	var refused answer.Refusal
	if errors.As(err, &refused) {
		return refused
	}
	if err != nil {
		return answer.NewMaybeExecuted(answer.CodeLost, err.Error())
	}
	return answer.NewMaybeExecuted(answer.CodeBusy, fmt.Sprintf("the target answered with status %d", reply.Response.StatusCode))
}

// confirm makes sure that the account pays for a request that is forwarded now. After a long wait, for example for
// a connection to a node that is paused, the request pays anew.
func (s *Server) confirm(q *request) error {
	if q.permit.Validate() == nil {
		return nil
	}
	q.permit.Refund()
	q.permit = free()
	begun := s.now()
	pass, err := s.spend(q.Context(), q.account)
	q.result.TokenWait += s.now().Sub(begun)
	if err != nil {
		return err
	}
	q.permit = pass
	return q.permit.Validate()
}

// mayRetry applies the plan and the budget; it returns why there is no further attempt, empty if there is one.
func (s *Server) mayRetry(q request, failed Attempt) Stop {
	allowed, paid := MayRetry(failed)
	switch {
	case !allowed:
		return StopPlan
	case q.Context().Err() != nil:
		return StopGone
	case paid && !s.dispatch.AllowRetry(q.route):
		return StopBudget
	}
	s.events.OnRetry(q.route.Name)
	return ""
}

// replay is a request body that may be sent more than once.
type replay struct {
	held   []byte
	stream *stream // nil if the whole body is held
}

// stream is a body that only one attempt may read.
type stream struct {
	source io.ReadCloser
	mu     sync.Mutex
	reader *streamReader // the attempt that may read
	read   bool
}

// streamReader is one attempt's view of a stream.
type streamReader struct{ stream *stream }

// DetachedError reports that a body was read by an attempt that had already ended.
type DetachedError struct{}

func (DetachedError) Error() string { return "caller: body belongs to another attempt" }

func (r *streamReader) Read(p []byte) (int, error) {
	s := r.stream
	s.mu.Lock()
	if s.reader != r {
		s.mu.Unlock()
		return 0, DetachedError{}
	}
	s.read = true
	s.mu.Unlock()
	return s.source.Read(p)
}

// Close leaves the source open; the server closes it when the handler returns.
func (r *streamReader) Close() error { return nil }

// attach gives the stream to a new attempt.
func (s *stream) attach() *streamReader {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader = &streamReader{stream: s}
	return s.reader
}

// detach ends the attempt's use of the stream and tells whether it left the stream unread.
func (s *stream) detach() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader = nil
	return !s.read
}

// readAhead holds a short body of known length. Longer bodies, and those that wait for 100 Continue, are read
// only once a target's node has admitted the request.
func readAhead(r *http.Request) (replay, error) {
	if target.HasNoBody(r) {
		return replay{}, nil
	}
	if held, ok := r.Body.(*heldBody); ok {
		return replay{held: held.data}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > replaySize || r.Header.Get("Expect") != "" {
		return replay{stream: &stream{source: r.Body}}, nil
	}
	held := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, held); err != nil {
		return replay{}, err
	}
	return replay{held: held}, nil
}

// replayable ends the last attempt's use of the body and tells whether it can be sent from its beginning.
func (b replay) replayable() bool { return b.stream == nil || b.stream.detach() }

// next returns the request for the next attempt.
func (b replay) next(r *http.Request) *http.Request {
	out := r.Clone(r.Context())
	switch {
	case b.stream != nil:
		out.Body = b.stream.attach()
		out.Header.Set("Expect", "100-continue")
	case b.held != nil:
		out.Body = io.NopCloser(bytes.NewReader(b.held))
	default:
		out.Body, out.ContentLength = http.NoBody, 0
	}
	return out
}
