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

// maxBufferedBody bounds the request bodies that are kept in memory to be sent to another target after a refusal.
const maxBufferedBody = 64 << 10

// sendWithRetries sends the request to one target after the other until one answers or no further attempt is allowed.
func (s *Server) sendWithRetries(q *request) (target.Reply, error) {
	body, err := bufferBody(q.Request)
	if err != nil {
		return target.Reply{}, answer.NewNotExecuted(answer.CodePath, "the request body broke off")
	}
	deadline := s.deadlineOf(*q)
	tracestate := q.Header.Get("Tracestate")
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
		}
		if q.route.LatencyObjective > 0 {
			call.SoftDeadline, call.LatencyObjective = q.start.Add(q.route.LatencyObjective), q.route.LatencyObjective
		}
		if len(tried) > 0 {
			call.Request.Header.Set("Tracestate", MarkRetried(tracestate))
		}
		names, reply, err := s.dispatch.Send(call, q.route, tried, s.hedgeRequest(q, body, tracestate, tried))
		q.result = q.result.withAttempt(names, reply.Stages)
		failure := refusalOf(reply, err)
		if failure.Execution != answer.NotExecuted && !committed {
			q.permit.Commit()
			committed = true
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
			ReachedTarget: failure.ReachedTarget, Idempotent: q.route.Idempotent, AlreadyRetried: IsRetried(tracestate),
			Replayable: body.replayable(), Remaining: deadline.Sub(s.now()),
		}
		if len(names) == 0 {
			q.result.StopReason = StopNoTarget
		} else {
			q.result.StopReason = s.stopReason(*q, failed)
		}
		if q.result.StopReason != "" {
			if err != nil {
				err = FinalRefusal(failures, len(names) > 0)
			}
			return reply, err
		}
		if reply.Response != nil {
			_ = reply.Response.Body.Close()
		}
	}
}

// hedgeRequest returns a function that makes the request for a hedge (a second attempt that runs beside the first one), nil if
// the request must not be hedged.
func (s *Server) hedgeRequest(q *request, body replayBody, tracestate string, tried []string) func() *http.Request {
	if len(tried) > 0 || !MayHedge(q.route.Idempotent, body.stream == nil, IsRetried(tracestate)) {
		return nil
	}
	return func() *http.Request {
		out := body.next(q.Request)
		out.Header.Set("Tracestate", MarkRetried(tracestate))
		return out
	}
}

// refusalOf returns the refusal that describes an attempt, also for a response: whether that counts as a failure is for the
// caller to decide.
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
	allowed, paid := MayRetry(failed)
	switch {
	case !allowed:
		return StopNotAllowed
	case q.Context().Err() != nil:
		return StopCallerGone
	case paid && !s.dispatch.AllowRetry(q.route):
		return StopBudget
	}
	s.events.OnRetry(q.route.Name)
	return ""
}

// replayBody is a request body that can be sent again, unless it is a stream that an attempt has read from.
type replayBody struct {
	buffered []byte
	stream   *stream // nil if the whole body is buffered
}

// stream is a body that only one attempt may read.
type stream struct {
	source io.ReadCloser
	mu     sync.Mutex
	reader *streamReader // of the attempt that may read
	read   bool
}

// streamReader is one attempt's view of a stream.
type streamReader struct{ stream *stream }

// DetachedError reports a read of the body by an attempt that had already ended.
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

// detach ends the attempt's use of the stream and reports whether nothing was read from it.
func (s *stream) detach() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader = nil
	return !s.read
}

// bufferBody reads a short body of known length into memory. Longer bodies, and those whose caller waits for 100 Continue, are
// read only once a target's node has admitted the request.
func bufferBody(r *http.Request) (replayBody, error) {
	if target.HasNoBody(r) {
		return replayBody{}, nil
	}
	if b, ok := r.Body.(*bufferedBody); ok {
		return replayBody{buffered: b.data}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody || r.Header.Get("Expect") != "" {
		return replayBody{stream: &stream{source: r.Body}}, nil
	}
	buffered := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, buffered); err != nil {
		return replayBody{}, err
	}
	return replayBody{buffered: buffered}, nil
}

// replayable ends the last attempt's use of the body and reports whether the body can be sent again from its beginning.
func (b replayBody) replayable() bool { return b.stream == nil || b.stream.detach() }

// next returns the request for the next attempt.
func (b replayBody) next(r *http.Request) *http.Request {
	out := r.Clone(r.Context())
	switch {
	case b.stream != nil:
		out.Body = b.stream.attach()
		out.Header.Set("Expect", "100-continue")
	case b.buffered != nil:
		out.Body = io.NopCloser(bytes.NewReader(b.buffered))
	default:
		out.Body, out.ContentLength = http.NoBody, 0
	}
	return out
}
