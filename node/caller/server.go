package caller

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
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

// Dispatch is one request's way through the targets of its service.
type Dispatch struct {
	// Send sends an attempt to a target that is not in tried, and possibly a second one to another target with the
	// request that again returns, if that is not nil. It returns the names of the targets.
	Send func(call target.Call, route config.Route, tried []string, again func() *http.Request) ([]string, target.Reply, error)
	// AllowRetry takes one paid retry of the route from the budget.
	AllowRetry func(route config.Route) bool
	// SelectService returns the route with one of its services; nil stands for routes without a split.
	SelectService func(route config.Route) config.Route
}

// Events are called for what operators see.
type Events struct {
	// OnStart returns the context of a request whose head has arrived.
	OnStart func(ctx context.Context, h http.Header) context.Context
	// OnEnd is called with that context once for each request.
	OnEnd func(ctx context.Context, r Result)
	// OnRetry is called before each attempt after the first one.
	OnRetry func(route string)
}

// Result is how a request ended and where its time went.
type Result struct {
	ID          string
	Route       string // empty if none was found
	Account     string // empty on open routes, and if no key was known
	Target      string // instance of the last attempt
	Service     string // that the request was meant for
	Version     int64  // of the configuration that admitted the request, zero if none did
	Attempts    int
	StopReason  Stop            // why there was no further attempt, empty if none was needed
	Status      int             // of the target's response, zero for a refusal
	Refusal     *answer.Refusal // nil for a response
	RelayErr    error           // why a response did not reach the caller completely
	TokenWait   time.Duration   // for tokens of the account
	LastTimings target.Timings  // of the last attempt
	TimeToHead  time.Duration   // until the head of the response or the refusal was known
	Total       time.Duration   // until the end of the response
}

// withAttempt returns r after an attempt at the named targets, none if there was none to try.
func (r Result) withAttempt(names []string, stages target.Timings) Result {
	if len(names) > 0 || r.Attempts == 0 {
		r.LastTimings = stages
	}
	if len(names) > 0 {
		r.Target = stages.TargetName
		r.Attempts += len(names)
	}
	return r
}

// Server accepts the requests of callers.
type Server struct {
	// Dialect is how the server talks with callers; it must not change after Serve.
	Dialect answer.Dialect
	// LocalService returns the service beside this node, which targets are told where the dialect asks for it.
	LocalService func() string
	// Throttle returns a response whose body passes as the link of the instance allows; it must not change after Serve.
	Throttle func(ctx context.Context, res *http.Response) *http.Response

	now      func() time.Time
	tree     func() (config.Tree, error)
	spend    func(ctx context.Context, account string) (Permit, error)
	dispatch Dispatch
	events   Events
	faults   *log.Logger
	leaving  atomic.Bool

	second  *second // serves HTTP/2
	closing chan struct{}
	once    sync.Once
	running sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
}

// Permit is one request taken from the allowance of an account.
type Permit struct {
	Validate func() error // fails if too much time has passed to forward the request
	Refund   func()       // gives the request back if it did not run
	Commit   func()       // tells that the request ran or may have run
}

// free is the pass of a request that no account pays for.
func free() Permit {
	return Permit{Validate: func() error { return nil }, Refund: func() {}, Commit: func() {}}
}

// NewServer returns a server. tree returns the configuration in force or a refusal, spend takes one request
// from an account's allowance, faults takes what the HTTP library reports.
func NewServer(
	now func() time.Time,
	tree func() (config.Tree, error),
	spend func(ctx context.Context, account string) (Permit, error),
	tries Dispatch,
	events Events,
	faults *log.Logger,
) *Server {
	s := &Server{
		Dialect: answer.DefaultDialect(), LocalService: func() string { return "" },
		Throttle: func(_ context.Context, res *http.Response) *http.Response { return res },
		now:      now, tree: tree, spend: spend, dispatch: tries, events: events, faults: faults,
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
func (s *Server) idle() time.Duration { return positive(s.bounds().IdleTimeout, idleTimeout) }

// headWait returns how long a caller may take for a request head.
func (s *Server) headWait() time.Duration { return positive(s.bounds().HeadTimeout, headTimeout) }

// bounds returns what callers may send, also while no configuration is in force.
func (s *Server) bounds() config.CallerLimits {
	tree, err := s.tree()
	if err != nil {
		return config.CallerLimits{}
	}
	return tree.Fleet().CallerLimits
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
