package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
	"verbenapin.dev/node/tcp"
)

const (
	headerTimeout = 5 * time.Second
	// serverIdleTimeout exceeds the idle timeout of clients, so that they close first and no request crosses the end of its connection.
	serverIdleTimeout = 2 * idleTimeout
)

// Server accepts the requests of other nodes and hands them to the gate of this node's target.
type Server struct {
	// Dialect relays the target's informational responses and response; it must not change after Serve.
	Dialect answer.Dialect
	// OnRequest is called with the name of the node that sent a request, if the request holds it.
	OnRequest func(node string)
	// Crowded reports whether so many connections are open that each should end with its response; it must not change after Serve.
	Crowded func() bool
	// Throttle limits the body of a response to the bandwidth of the instance's link; it must not change after Serve.
	Throttle func(ctx context.Context, res *http.Response) *http.Response

	http        *http.Server
	now         func() time.Time
	handle      func(target.Call) (target.Reply, error)
	currentLoad func() target.Load
}

// NewServer returns a server; handle admits and runs an attempt, currentLoad returns the load of the gate, and errorLog
// receives the errors of the HTTP library. If cfg is nil, it accepts connections without TLS.
func NewServer(
	now func() time.Time, cfg *tls.Config, handle func(target.Call) (target.Reply, error), currentLoad func() target.Load, errorLog *log.Logger,
) *Server {
	s := &Server{
		Dialect: answer.DefaultDialect(), OnRequest: func(string) {}, Crowded: func() bool { return false }, now: now, handle: handle, currentLoad: currentLoad,
		Throttle: func(_ context.Context, res *http.Response) *http.Response { return res },
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		TLSConfig:         cfg,
		Protocols:         protocols,
		ErrorLog:          errorLog,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         onConnState,
		ConnContext:       withWatchedConn,
	}
	return s
}

// Serve accepts connections on l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	l = tcp.WatchedListener{Listener: l}
	var err error
	if s.http.TLSConfig == nil {
		err = s.http.Serve(headLimitListener{l})
	} else {
		err = s.http.ServeTLS(l, "", "")
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown waits for running requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close ends all connections.
func (s *Server) Close() { _ = s.http.Close() }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	started := s.now()
	if from := r.Header.Get(answer.HeaderSender); from != "" {
		s.OnRequest(from)
	}
	if s.Crowded() {
		// Closing an idle connection instead could cut off a request that its sender has just begun.
		w.Header().Set("Connection", "close")
	}
	ctx, stopWatch := watchSender(r)
	defer stopWatch()
	call, err := decodeCall(r, started)
	if err != nil {
		s.refuse(w, answer.NewNotExecuted(answer.CodePath, err.Error()), 0)
		return
	}
	trace, stop := s.Dialect.Informational(w)
	call.Request = r.WithContext(httptrace.WithClientTrace(ctx, trace))
	reply, err := s.handle(call)
	stop()
	if err != nil {
		var refused answer.Refusal
		if !errors.As(err, &refused) {
			refused = answer.NewMaybeExecuted(answer.CodeLost, err.Error())
		}
		s.refuse(w, refused, reply.Timings.QueueTime)
		return
	}
	setMicroseconds(w.Header(), answer.HeaderQueueTime, reply.Timings.QueueTime)
	w.Header().Set(answer.HeaderLoad, s.currentLoad().String())
	setMicroseconds(w.Header(), answer.HeaderNodeTime, s.now().Sub(started))
	if err := s.Dialect.Relay(w, s.Throttle(ctx, reply.Response)); err != nil { //nolint:bodyclose // Relay closes it
		panic(http.ErrAbortHandler)
	}
}

func setMicroseconds(h http.Header, name string, d time.Duration) {
	h.Set(name, strconv.FormatInt(d.Microseconds(), 10))
}

func (s *Server) refuse(w http.ResponseWriter, r answer.Refusal, queued time.Duration) {
	setMicroseconds(w.Header(), answer.HeaderQueueTime, queued)
	w.Header().Set(answer.HeaderLoad, s.currentLoad().String())
	answer.WriteRefusal(w, r, "")
}
