// Package caller is the side of a node that faces callers: it checks, authenticates and limits each request,
// sends it to one or more targets, and returns one complete response or a refusal.
package caller

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/memory"
	"verbenapin.dev/node/target"
)

const (
	headTimeout        = 10 * time.Second
	idleTimeout        = 2 * time.Minute
	maxHeadBytes       = 64 << 10
	maxRequestIDLength = 64
)

// Dispatch selects targets and sends requests to them.
type Dispatch struct {
	// Send sends an attempt to a target that is not in tried. If hedge is not nil, it may send a second attempt, with the
	// request that hedge returns, to another target; hedge returns nil once the request has had all its attempts. Send returns the names of
	// the targets.
	Send func(call target.Call, route config.Route, tried []string, hedge func() *http.Request) ([]string, target.Reply, error)
	// AllowRetry takes one retry of the route from the retry budget and reports whether there was one left.
	AllowRetry func(route config.Route) bool
	// RecordCall records that a run at the target beside this node calls a service with a rank of its own, and returns the run, or false
	// if there is none; nil if runs are not known.
	RecordCall func(ctx context.Context, runID, service string, own target.Priority) (target.Parent, bool)
	// SelectService returns the route with one of the services among which it is split; nil if no route is split.
	SelectService func(route config.Route) config.Route
	// IsReturn reports whether a request with the given deadline of its caller comes from one that was refused before and returned as
	// told; nil if callers are not told. Reserve returns a refusal with the time at which its caller should return, and whether that is
	// reserved for it; nil leaves refusals as they are.
	IsReturn func(route config.Route, account string, p target.Priority, deadline time.Time) bool
	Reserve  func(route config.Route, account string, p target.Priority, deadline time.Time, refused answer.Refusal) (answer.Refusal, bool)
}

// Events are the callbacks for logs, metrics and traces.
type Events struct {
	// OnStart is called when the head of a request has arrived; it returns the request's context.
	OnStart func(ctx context.Context, h http.Header) context.Context
	// OnEnd is called with that context once for each request.
	OnEnd func(ctx context.Context, r Result)
	// OnRetry is called after a failed attempt if another one is to follow; it is not called for hedges.
	OnRetry func(route string)
	// OnNoRoom is called when there is no room for a new connection, with what happens instead of serving it beside the others.
	OnNoRoom func(action RoomAction)
	// OnShed is called when a caller is refused or its connection closed because of what it makes the node keep.
	OnShed func(reason ShedReason, client netip.AddrPort)
}

// Result describes how a request ended and how long its stages took.
type Result struct {
	ID          string
	Route       string // empty if none was found
	Account     string // empty on routes without authentication, and if the key was missing or unknown
	Target      string // instance of the last attempt
	Service     string // of the route
	Version     int64  // of the configuration that admitted the request, zero if none did
	Attempts    int
	StopReason  StopReason      // why there was no further attempt, empty if none was needed
	Status      int             // of the target's response, zero for a refusal
	Refusal     *answer.Refusal // nil for a response
	Returned    bool            // its caller was refused before and returned as told
	Reserved    bool            // a refused caller has a time reserved at which to return
	RelayErr    error           // why a response did not reach the caller completely
	TokenWait   time.Duration   // wait for tokens of the account
	LastTimings target.Timings  // of the last attempt
	TimeToHead  time.Duration   // until the head of the response or the refusal was known
	Total       time.Duration   // until the end of the response
}

// withAttempt returns r with an attempt at the named targets counted; names is empty if there was no target to try.
func (r Result) withAttempt(names []string, timings target.Timings) Result {
	if len(names) > 0 || r.Attempts == 0 {
		r.LastTimings = timings
	}
	if len(names) > 0 {
		r.Target = timings.TargetName
		r.Attempts += len(names)
	}
	return r
}

// Server accepts the requests of callers.
type Server struct {
	// Dialect holds the names of headers and the forms of responses and refusals; it must not change after Serve.
	Dialect answer.Dialect
	// LocalService returns the service of the target beside this node; it is sent to targets if the dialect has a header for it.
	LocalService func() string
	// Throttle returns the response with its body limited to the bandwidth of this instance's link; it must not change after Serve.
	Throttle func(ctx context.Context, res *http.Response) *http.Response

	now      func() time.Time
	tree     func() (config.Tree, error)
	acquire  func(ctx context.Context, account string) (Permit, error)
	dispatch Dispatch
	events   Events
	errorLog *log.Logger
	leaving  atomic.Bool

	http2     *http2Server // serves HTTP/2
	closing   chan struct{}
	closeOnce sync.Once
	handlers  sync.WaitGroup

	conns  *connTable
	memory memory.Budget
	kept   *memory.Counts

	mu       sync.Mutex
	listener net.Listener
}

// Permit is the permission to forward one request, taken from the tokens of an account.
type Permit struct {
	Validate func() error // fails if too much time has passed to forward the request
	Refund   func()       // returns the token of a request that was not executed
	Commit   func()       // keeps the token of a request that was executed or may have been
}

// noopPermit returns the permit of a request that needs no tokens.
func noopPermit() Permit {
	return Permit{Validate: func() error { return nil }, Refund: func() {}, Commit: func() {}}
}

// NewServer returns a server. tree returns the configuration in force or a refusal, acquire returns a permit of an account, and
// errorLog takes panics and what net/http logs.
func NewServer(
	now func() time.Time,
	tree func() (config.Tree, error),
	acquire func(ctx context.Context, account string) (Permit, error),
	dispatch Dispatch,
	events Events,
	errorLog *log.Logger,
) *Server {
	s := &Server{
		Dialect: answer.DefaultDialect(), LocalService: func() string { return "" },
		Throttle: func(_ context.Context, res *http.Response) *http.Response { return res },
		now:      now, tree: tree, acquire: acquire, dispatch: dispatch, events: events, errorLog: errorLog,
		closing: make(chan struct{}), conns: newConnTable(),
	}
	s.http2 = newHTTP2Server(http.HandlerFunc(s.serveStream), errorLog)
	s.SetMemory(memory.NewBudget(0), memory.NewCounts())
	return s
}

// Serve accepts connections on l until Shutdown; l must return an error only once it is closed, as tcp.Listener does.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		return nil
	}
	defer s.http2.start()()
	for {
		raw, err := l.Accept()
		switch {
		case err == nil:
			s.startConn(raw)
		case s.isClosed():
			return nil
		default:
			return fmt.Errorf("caller: accepting a connection: %w", err)
		}
	}
}

// addListener registers a listener for closeConns; it reports false if the server has shut down.
func (s *Server) addListener(l net.Listener) bool {
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

// startConn serves a connection on its own goroutine, or closes it if there is no room or the server has shut down.
func (s *Server) startConn(raw net.Conn) {
	action, yielding := s.addConn(newConn(s, raw))
	if yielding != nil {
		yielding.yield()
	}
	if action != RoomServe {
		s.events.OnNoRoom(action)
	}
}

// addConn starts a connection or closes it. It returns what the room allowed, and the connection that gives way, if any.
func (s *Server) addConn(c *conn) (RoomAction, *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed() {
		_ = c.raw.Close()
		return RoomServe, nil
	}
	action, yielding := s.conns.add(s.now(), c)
	if action == RoomClose {
		_ = c.raw.Close()
		return action, nil
	}
	c.refusing = action == RoomRefuse
	s.handlers.Go(func() {
		c.serve()
		s.conns.remove(c)
	})
	return action, yielding
}

// SetMaxConns sets how many connections may be open, zero for any number.
func (s *Server) SetMaxConns(n int) { s.conns.setMax(n) }

// idleWait returns how long a connection may wait for a request.
func (s *Server) idleWait() time.Duration { return orDefault(s.limits().IdleTimeout, idleTimeout) }

// headWait returns how long a caller may take for a request head.
func (s *Server) headWait() time.Duration { return orDefault(s.limits().HeadTimeout, headTimeout) }

// limits returns the configured limits for callers, or zero values while no configuration is in force.
func (s *Server) limits() config.CallerLimits {
	tree, err := s.tree()
	if err != nil {
		return config.CallerLimits{}
	}
	return tree.Fleet().CallerLimits
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// Leave makes every response ask its caller to close the connection; requests are still answered.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown stops accepting connections, closes idle ones, and waits for running requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closeConns(false)
	ended := make(chan struct{})
	go func() {
		s.handlers.Wait()
		close(ended)
	}()
	err := s.http2.http.Shutdown(ctx)
	select {
	case <-ended:
		return err
	case <-ctx.Done():
		return fmt.Errorf("caller: waiting for running requests: %w", ctx.Err())
	}
}

// Close closes all connections and waits for their goroutines.
func (s *Server) Close() {
	s.closeConns(true)
	_ = s.http2.http.Close()
	s.handlers.Wait()
}

// closeConns closes the listener and the connections, those with pending requests only if force is set.
func (s *Server) closeConns(force bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeOnce.Do(func() { close(s.closing) })
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for _, c := range s.conns.all() {
		c.close(force)
	}
}
