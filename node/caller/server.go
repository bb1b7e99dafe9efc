package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/http/httptrace"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/target"
)

const (
	headTimeout  = 10 * time.Second
	idleTimeout  = 2 * time.Minute
	maxHeadBytes = 64 << 10
	// readHeadBytes is what the library reads before it cuts the connection with a refusal of its own.
	readHeadBytes = 4 * maxHeadBytes
	maxID         = 64
	// Pauses after a connection could not be accepted, for example for want of descriptors.
	firstAcceptPause = 5 * time.Millisecond
	lastAcceptPause  = time.Second
)

// Tries is one request's way through the targets of its service.
type Tries struct {
	// Try sends an attempt to a target that is not in tried, and possibly a second one to another target with the
	// request that again returns, if that is not nil. It returns the names of the targets.
	Try func(call target.Call, route config.Route, tried []string, again func() *http.Request) ([]string, target.Reply, error)
	// Retry takes one paid retry of the route from the budget.
	Retry func(route config.Route) bool
	// Divide returns the route with one of its services; nil stands for routes without a split.
	Divide func(route config.Route) config.Route
}

// Events are called for what operators see.
type Events struct {
	// Begun returns the context of a request whose head has arrived.
	Begun func(ctx context.Context, h http.Header) context.Context
	// Ended is called with that context once for each request.
	Ended func(ctx context.Context, r Result)
	// Retried is called before each attempt after the first one.
	Retried func(route string)
}

// Result is how a request ended and where its time went.
type Result struct {
	ID       string
	Route    string // empty if none was found
	Account  string // empty on open routes, and if no key was known
	Target   string // instance of the last attempt
	Service  string // that the request was meant for
	Version  int64  // of the configuration that admitted the request, zero if none did
	Attempts int
	Stopped  Stop            // why there was no further attempt, empty if none was needed
	Status   int             // of the target's response, zero for a refusal
	Refusal  *answer.Refusal // nil for a response
	Broken   error           // why a response did not reach the caller completely
	Wait     time.Duration   // for tokens of the account
	Last     target.Stages   // of the last attempt
	Head     time.Duration   // until the head of the response or the refusal was known
	Whole    time.Duration   // until the end of the response
}

// withAttempt returns r after an attempt at the named targets, none if there was none to try.
func (r Result) withAttempt(names []string, stages target.Stages) Result {
	if len(names) > 0 || r.Attempts == 0 {
		r.Last = stages
	}
	if len(names) > 0 {
		r.Target = stages.Instance
		r.Attempts += len(names)
	}
	return r
}

// Server accepts the requests of callers.
type Server struct {
	// Dialect is how the server talks with callers; it must not change after Serve.
	Dialect answer.Dialect
	// Origin returns the service beside this node, which targets are told where the dialect asks for it.
	Origin func() string
	// Pace returns a response whose body passes as the link of the instance allows; it must not change after Serve.
	Pace func(ctx context.Context, res *http.Response) *http.Response

	now     func() time.Time
	tree    func() (config.Tree, error)
	spend   func(ctx context.Context, account string) (Pass, error)
	tries   Tries
	events  Events
	faults  *log.Logger
	leaving atomic.Bool

	second  *second // serves HTTP/2
	closing chan struct{}
	once    sync.Once
	running sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
}

// Pass is one request taken from the allowance of an account.
type Pass struct {
	Confirm func() error // fails if too much time has passed to forward the request
	Refund  func()       // gives the request back if it did not run
	Settle  func()       // tells that the request ran or may have run
}

// free is the pass of a request that no account pays for.
func free() Pass {
	return Pass{Confirm: func() error { return nil }, Refund: func() {}, Settle: func() {}}
}

// NewServer returns a server. tree returns the configuration in force or a refusal, spend takes one request
// from an account's allowance, faults takes what the HTTP library reports.
func NewServer(
	now func() time.Time,
	tree func() (config.Tree, error),
	spend func(ctx context.Context, account string) (Pass, error),
	tries Tries,
	events Events,
	faults *log.Logger,
) *Server {
	s := &Server{
		Dialect: answer.Own(), Origin: func() string { return "" },
		Pace: func(_ context.Context, res *http.Response) *http.Response { return res },
		now:  now, tree: tree, spend: spend, tries: tries, events: events, faults: faults,
		closing: make(chan struct{}), conns: map[*conn]bool{},
	}
	s.second = newSecond(http.HandlerFunc(s.serve), faults)
	return s
}

// Serve accepts connections on l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if !s.add(l) {
		return nil
	}
	defer s.second.start()()
	pause := time.Duration(0)
	for {
		raw, err := l.Accept()
		switch {
		case err == nil:
			pause = 0
			s.accept(raw)
		case s.isClosed():
			return nil
		case isTemporary(err):
			pause = min(max(2*pause, firstAcceptPause), lastAcceptPause)
			s.faults.Printf("caller: accepting a connection: %v", err)
			s.wait(pause)
		default:
			return fmt.Errorf("caller: accepting a connection: %w", err)
		}
	}
}

// isTemporary tells whether a later connection may be accepted, for example once descriptors are free.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// wait returns after the given time or when the server closes.
func (s *Server) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closing:
	}
}

// add registers a listener unless the server is closed.
func (s *Server) add(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed() {
		return false
	}
	s.listener = l
	return true
}

func (s *Server) isClosed() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// accept serves a connection on its own goroutine.
func (s *Server) accept(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed() {
		_ = raw.Close()
		return
	}
	s.conns[c] = true
	s.running.Go(func() {
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
}

// idle returns how long a connection may wait for a request.
func (s *Server) idle() time.Duration { return positive(s.bounds().Idle, idleTimeout) }

// headWait returns how long a caller may take for a request head.
func (s *Server) headWait() time.Duration { return positive(s.bounds().Wait, headTimeout) }

// bounds returns what callers may send, also while no configuration is in force.
func (s *Server) bounds() config.Client {
	tree, err := s.tree()
	if err != nil {
		return config.Client{}
	}
	return tree.Fleet().Client
}

func positive(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return otherwise
}

// Leave makes every response ask its caller to close the connection; requests are still answered.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown accepts no further connections, closes those without a request, and waits for running requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.shut(false)
	ended := make(chan struct{})
	go func() {
		s.running.Wait()
		close(ended)
	}()
	err := s.second.http.Shutdown(ctx)
	select {
	case <-ended:
		return err
	case <-ctx.Done():
		return fmt.Errorf("caller: waiting for running requests: %w", ctx.Err())
	}
}

// Close ends all connections and waits for them.
func (s *Server) Close() {
	s.shut(true)
	_ = s.second.http.Close()
	s.running.Wait()
}

// shut closes the listener and the connections, those with running requests only if now is set.
func (s *Server) shut(now bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.once.Do(func() { close(s.closing) })
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		c.close(now)
	}
}

// request is one caller's request with what was found out about it.
type request struct {
	*http.Request
	received http.Header // headers as the caller sent them
	id       string
	route    config.Route
	account  string
	key      config.Digest
	rank     target.Rank
	version  int64 // of the configuration that admitted the request
	begun    time.Time
	pass     Pass
	result   Result
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	q := request{Request: r, received: r.Header, id: s.requestID(r.Header), begun: s.now(), pass: free()}
	q.Request = r.WithContext(s.events.Begun(r.Context(), r.Header))
	w.Header().Set(s.Dialect.ID, q.id)
	q, err := s.admit(q)
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	trace, stop := s.Dialect.Informational(w)
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(q.Context(), trace))
	defer cancel()
	q.Request = s.outgoing(ctx, q)
	reply, err := s.attempt(&q)
	stop()
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	q.result.Status, q.result.Head = reply.Response.StatusCode, s.now().Sub(q.begun)
	q.result.Broken = s.Dialect.Relay(w, s.Pace(ctx, reply.Response)) //nolint:bodyclose // Relay closes it
	s.ended(q)
	if q.result.Broken != nil {
		panic(http.ErrAbortHandler)
	}
}

// ended reports the request to operators.
func (s *Server) ended(q request) {
	r := q.result
	r.ID, r.Route, r.Account, r.Whole = q.id, q.route.Name, q.account, s.now().Sub(q.begun)
	r.Service, r.Version = q.route.Service, q.version
	s.events.Ended(q.Context(), r)
}

// admit applies the rules of configuration, keys and rates to a request.
func (s *Server) admit(q request) (request, error) {
	if headSize(q.Request) > maxHeadBytes {
		return q, answer.NotRun(answer.Large, "the request head is larger than 64 KB")
	}
	if q.Method == http.MethodTrace || q.Method == http.MethodConnect {
		return q, answer.NotRun(answer.Path, "the method "+q.Method+" concerns the connection to a proxy and is not passed on")
	}
	host, path, err := Clean(q.Host, rawPath(q.Request))
	if err != nil {
		return q, answer.NotRun(answer.Path, err.Error())
	}
	tree, err := s.tree()
	if err != nil {
		return q, err
	}
	route, ok := tree.Match(host, path)
	if !ok {
		return q, answer.NotRun(answer.Route, "no route matches host and path")
	}
	if s.tries.Divide != nil {
		route = s.tries.Divide(route)
	}
	q.route, q.version, q.rank = route, tree.Version(), target.Rank{Route: route.Rank}
	if route.Open {
		return q, nil
	}
	key := s.Dialect.KeyOf(q.Header)
	if key == "" {
		return q, answer.NotRun(answer.Key, "the route needs a key")
	}
	q.key = config.DigestOf(key)
	account, ok := tree.Authenticate(q.key)
	if !ok {
		return q, answer.NotRun(answer.Key, "the key is unknown or was revoked")
	}
	q.account, q.rank.Account = account.Name, account.Rank
	if !account.Allows(route.Name) {
		return q, answer.NotRun(answer.Scope, "the account may not use the route")
	}
	if !account.Limited() {
		return q, nil
	}
	begun := s.now()
	pass, err := s.spend(q.Context(), account.Name)
	q.result.Wait = s.now().Sub(begun)
	if err != nil {
		return q, err
	}
	q.pass = pass
	return q, nil
}

// outgoing returns the request as targets may see it.
func (s *Server) outgoing(ctx context.Context, q request) *http.Request {
	out := q.Clone(ctx)
	h := out.Header
	s.Dialect.Strip(h)
	answer.StripHop(h)
	for _, name := range s.Dialect.Secrets {
		h.Del(name)
	}
	h.Set(s.Dialect.ID, q.id)
	setOrDelete(h, s.Dialect.Account, q.account)
	setOrDelete(h, s.Dialect.Origin, s.Origin())
	if s.Dialect.Trace {
		cleanTrace(h)
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

// traceparent is the form of W3C trace context, version 00; later versions only append fields.
var traceparent = regexp.MustCompile(`^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}`)

// cleanTrace joins the lines of the trace state, and starts a trace where there is no valid one: applications
// drop the trace state, which marks repeated attempts, if its trace is missing or invalid.
func cleanTrace(h http.Header) {
	if parents := h.Values("Traceparent"); len(parents) != 1 || !traceparent.MatchString(parents[0]) {
		h.Set("Traceparent", "00-"+randomHex(16)+"-"+randomHex(8)+"-00")
	}
	if states := h.Values("Tracestate"); len(states) > 1 {
		h.Set("Tracestate", strings.Join(states, ","))
	}
}

func (s *Server) refuse(w http.ResponseWriter, q request, err error) {
	var refused answer.Refusal
	if !errors.As(err, &refused) {
		refused = answer.MaybeRun(answer.Lost, err.Error())
	}
	if refused.Run == answer.RunNo {
		q.pass.Refund()
	}
	q.result.Refusal, q.result.Head = &refused, s.now().Sub(q.begun)
	s.Dialect.Write(w, refused, q.id)
	s.ended(q)
}

// headSize returns the size of the request head on the wire, about.
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
	id := h.Get(s.Dialect.ID)
	if id == "" || len(id) > maxID || strings.ContainsFunc(id, isNotIDRune) {
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
	if ms, err := strconv.ParseFloat(q.received.Get(s.Dialect.Deadline), 64); err == nil && ms < limit.Seconds()*1000 {
		limit = time.Duration(ms * float64(time.Millisecond))
	}
	return q.begun.Add(limit)
}
