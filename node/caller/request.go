package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/httptrace"
	"regexp"
	"strings"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/decimal"
	"verbenapin.dev/node/target"
)

// request is a caller's request with its route, account and permit, and the result so far.
type request struct {
	*http.Request
	receivedHeader http.Header // header as the caller sent it
	id             string
	route          config.Route
	account        string
	key            config.Digest
	priority       target.Priority
	nested         bool          // a running request made the request
	parent         target.Parent // the run that made the request, zero if it is not known
	version        int64         // of the configuration that admitted the request
	start          time.Time
	permit         Permit
	result         Result
}

// newRequest returns a request that has arrived and sets the headers that each response to it has.
func (s *Server) newRequest(w http.ResponseWriter, r *http.Request) request {
	q := request{receivedHeader: r.Header, id: s.requestID(r.Header), start: s.now(), permit: noopPermit()}
	q.Request = r.WithContext(s.events.OnStart(r.Context(), r.Header))
	w.Header().Set(s.Dialect.RequestIDHeader, q.id)
	return q
}

// refuseForRoom refuses a request on a connection for which there is no room.
func (s *Server) refuseForRoom(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	s.refuse(w, s.newRequest(w, r), answer.NewNotExecuted(answer.CodeBusy, "the node has no room for more connections").WithRetryAfter(noRoomRetryAfter))
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	q, err := s.admit(s.newRequest(w, r))
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	trace, stop := s.Dialect.Informational(w)
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(q.Context(), trace))
	defer cancel()
	q.Request = s.outgoing(ctx, q)
	reply, err := s.sendWithRetries(&q)
	stop()
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	q.result.Status, q.result.TimeToHead = reply.Response.StatusCode, s.now().Sub(q.start)
	q.result.RelayErr = s.Dialect.Relay(w, s.Throttle(ctx, reply.Response)) //nolint:bodyclose // Relay closes it
	s.reportEnd(q)
	if q.result.RelayErr != nil {
		panic(http.ErrAbortHandler)
	}
}

// reportEnd completes the result and passes it to OnEnd.
func (s *Server) reportEnd(q request) {
	r := q.result
	r.ID, r.Route, r.Account, r.Total = q.id, q.route.Name, q.account, s.now().Sub(q.start)
	r.Service, r.Version = q.route.Service, q.version
	s.events.OnEnd(q.Context(), r)
}

// admit checks the form of a request, finds its route, authenticates its account and acquires its permit.
func (s *Server) admit(q request) (request, error) {
	if headSize(q.Request) > maxHeadBytes {
		return q, answer.NewNotExecuted(answer.CodeLarge, "the request head is larger than 64 KB")
	}
	if q.Method == http.MethodTrace || q.Method == http.MethodConnect {
		return q, answer.NewNotExecuted(answer.CodePath, "the method "+q.Method+" concerns the connection to a proxy and is not passed on")
	}
	host, path, err := NormalizeHostAndPath(q.Host, rawPath(q.Request))
	if err != nil {
		return q, answer.NewNotExecuted(answer.CodePath, err.Error())
	}
	tree, err := s.tree()
	if err != nil {
		return q, err
	}
	route, ok := tree.MatchRoute(host, path)
	if !ok {
		return q, answer.NewNotExecuted(answer.CodeRoute, "no route matches host and path")
	}
	if s.dispatch.SelectService != nil {
		route = s.dispatch.SelectService(route)
	}
	q.route, q.version, q.priority = route, tree.Version(), target.Priority{Route: route.Priority}
	if !route.AuthExempt && route.Fault == "" {
		key := s.Dialect.KeyOf(q.Header)
		if key == "" {
			return q, answer.NewNotExecuted(answer.CodeKey, "the route needs a key")
		}
		q.key = config.KeyDigest(key)
	}
	account, err := tree.Authorize(route, q.key)
	q.account, q.priority.Account = account.Name, account.Priority
	if err != nil {
		return q, err
	}
	q = s.withParent(q, tree.Fleet())
	if !account.Limited() {
		return q, nil
	}
	begin := s.now()
	permit, err := s.acquire(q.Context(), account.Name)
	q.result.TokenWait = s.now().Sub(begin)
	if err != nil {
		return q, err
	}
	q.permit = permit
	return q, nil
}

// outgoing returns the request as it is sent to targets, without the headers that they must not see.
func (s *Server) outgoing(ctx context.Context, q request) *http.Request {
	out := q.Clone(ctx)
	h := out.Header
	s.Dialect.StripInternal(h)
	answer.StripHopByHop(h)
	for _, name := range s.Dialect.KeyHeaders {
		h.Del(name)
	}
	h.Set(s.Dialect.RequestIDHeader, q.id)
	setOrDelete(h, s.Dialect.AccountHeader, q.account)
	setOrDelete(h, s.Dialect.CallerServiceHeader, s.LocalService())
	if s.Dialect.TraceContext {
		normalizeTraceContext(h)
	}
	return out
}

// setOrDelete sets a header, or removes it if there is no value; an empty name does nothing.
func setOrDelete(h http.Header, name, value string) {
	switch {
	case name == "":
	case value == "":
		h.Del(name)
	default:
		h.Set(name, value)
	}
}

// traceparent matches the header of W3C trace context, version 00; later versions only append fields.
var traceparent = regexp.MustCompile(`^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}`)

// normalizeTraceContext joins multiple trace state headers, and starts a trace if there is no valid one: applications drop the
// trace state, which marks retries, if the trace is missing or invalid.
func normalizeTraceContext(h http.Header) {
	if parents := h.Values("Traceparent"); len(parents) != 1 || !traceparent.MatchString(parents[0]) {
		h.Set("Traceparent", "00-"+randomHex(16)+"-"+randomHex(8)+"-00")
	}
	if lines := h.Values("Tracestate"); len(lines) > 1 {
		h.Set("Tracestate", strings.Join(lines, ","))
	}
}

func (s *Server) refuse(w http.ResponseWriter, q request, err error) {
	var refused answer.Refusal
	if !errors.As(err, &refused) {
		refused = answer.NewMaybeExecuted(answer.CodeLost, err.Error())
	}
	if refused.Execution == answer.NotExecuted {
		q.permit.Refund()
	}
	q.result.Refusal, q.result.TimeToHead = &refused, s.now().Sub(q.start)
	s.Dialect.WriteRefusal(w, refused, q.id)
	s.reportEnd(q)
}

// headSize returns the approximate size of the request head on the wire.
func headSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// rawPath returns the path as it was received.
func rawPath(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		path, _, _ := strings.Cut(r.RequestURI, "?")
		return path
	}
	return r.URL.EscapedPath()
}

func (s *Server) requestID(h http.Header) string {
	id := h.Get(s.Dialect.RequestIDHeader)
	if id == "" || len(id) > maxRequestIDLength || strings.ContainsFunc(id, isNotIDRune) {
		return randomHex(8)
	}
	return id
}

func isNotIDRune(c rune) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '-', c == '_', c == '.':
		return false
	default:
		return true
	}
}

func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails since Go 1.24
	return hex.EncodeToString(b)
}

// deadlineOf returns the route's deadline, or the caller's if it is earlier.
func (s *Server) deadlineOf(q request) time.Time {
	limit := q.route.Deadline
	if patience, ok := s.patience(q); ok {
		limit = min(limit, patience)
	}
	return q.start.Add(limit)
}

// maxPatience bounds the time that callers state.
const maxPatience = 24 * time.Hour

// patience returns how long the caller waits for the response, at most maxPatience; false if it has not said so. A time that has passed is
// zero.
func (s *Server) patience(q request) (time.Duration, bool) {
	n, err := decimal.Parse(q.receivedHeader.Get(s.Dialect.DeadlineHeader))
	if err != nil {
		return 0, false
	}
	ms := min(max(n.Float64(), 0), float64(maxPatience/time.Millisecond))
	return time.Duration(ms * float64(time.Millisecond)), true
}
