// Package operator serves the admin listener of a node: health, readiness, state, explanations of refusals, metrics and profiles.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/operator/report"
)

const (
	// healthTimeout is longer than any event of the control loop takes; a node that exceeds it needs a restart.
	healthTimeout = time.Second
	// idleTimeout is short, since the listener has few connections.
	idleTimeout = 10 * time.Second
	// closeTimeout bounds the wait for running requests, because a profile may take minutes.
	closeTimeout = 2 * time.Second
	// maxHeaderBytes bounds a request head, to which net/http adds 4 KB. The listener has few connections.
	maxHeaderBytes = 8 << 10
)

// Options are the functions and handlers of a node that the admin listener calls.
type Options struct {
	// Health returns an error if the control loop does not respond before ctx ends.
	Health func(ctx context.Context) error
	// Ready reports whether the node should receive requests, and the reason if not.
	Ready func() (ready bool, reason string)
	// State returns the state of the node.
	State func(ctx context.Context) (report.State, error)
	// Explain returns the values that decide on the requests of a query.
	Explain func(ctx context.Context, q report.Query) ([]report.Fact, error)
	// Where tells where a request would go now.
	Where func(ctx context.Context, q report.WhereQuery) (report.Where, error)
	// Metrics serves the metrics.
	Metrics http.Handler
	// ErrorLog receives the errors of the HTTP server.
	ErrorLog *log.Logger
}

// Server serves the admin listener.
type Server struct {
	options  Options
	listener net.Listener
	http     *http.Server
	mu       sync.Mutex
	closed   bool
	running  sync.WaitGroup
}

// New returns a server for the listener, which Close closes; connections wait until Serve is called.
func New(listener net.Listener, options Options) *Server {
	s := &Server{options: options, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /ready", s.ready)
	mux.HandleFunc("GET /state", s.state)
	mux.HandleFunc("GET /explain", s.explain)
	mux.HandleFunc("GET /where", s.where)
	mux.Handle("GET /metrics", options.Metrics)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	s.http = &http.Server{Handler: mux, ErrorLog: options.ErrorLog, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	return s
}

// Serve handles requests until Close; when ctx ends, it closes the listener and aborts running requests.
func (s *Server) Serve(ctx context.Context) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.running.Add(1)
	s.mu.Unlock()
	defer s.running.Done()
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	err := s.http.Serve(s.listener)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, http.ErrServerClosed):
		return nil
	default:
		return fmt.Errorf("operator: serving: %w", err)
	}
}

// Close closes the listener, waits up to closeTimeout for running requests before it aborts them, and waits for Serve.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = s.http.Close()
	}
	s.running.Wait()
	// The HTTP server does not know the listener if Serve was never called.
	_ = s.listener.Close()
	if err != nil {
		return fmt.Errorf("operator: closing: %w", err)
	}
	return nil
}

type statusResponse struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), healthTimeout)
	defer cancel()
	if err := s.options.Health(ctx); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, statusResponse{Reason: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, statusResponse{OK: true})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	ready, reason := s.options.Ready()
	if !ready {
		writeJSON(w, http.StatusServiceUnavailable, statusResponse{Reason: reason})
		return
	}
	writeJSON(w, http.StatusOK, statusResponse{OK: true})
}

func (s *Server) state(w http.ResponseWriter, r *http.Request) {
	state, err := s.options.State(r.Context())
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, statusResponse{Reason: err.Error()})
		return
	}
	// Clients in other languages expect an empty list instead of null.
	state.EvacuatedDomains = append([]string{}, state.EvacuatedDomains...)
	state.Peers = append([]report.Peer{}, state.Peers...)
	writeJSON(w, http.StatusOK, state)
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	form := r.URL.Query()
	q := report.Query{Account: form.Get("account"), Route: form.Get("route"), Code: answer.Code(form.Get("code"))}
	meaning, known := report.MeaningOf(q.Code)
	if q.Code != "" && !known {
		writeJSON(w, http.StatusBadRequest, statusResponse{Reason: "code is unknown: see docs/operators.md for the codes"})
		return
	}
	facts, err := s.options.Explain(r.Context(), q)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, statusResponse{Reason: err.Error()})
		return
	}
	if facts == nil {
		facts = []report.Fact{}
	}
	writeJSON(w, http.StatusOK, report.Explanation{
		Account: q.Account, Route: q.Route, Code: q.Code,
		Cause: meaning.Cause, Action: meaning.Action, Facts: facts,
	})
}

func (s *Server) where(w http.ResponseWriter, r *http.Request) {
	form := r.URL.Query()
	q := report.WhereQuery{Host: form.Get("host"), Path: form.Get("path"), Method: form.Get("method"), Account: form.Get("account"), Digest: form.Get("digest")}
	if q.Host == "" || q.Path == "" {
		writeJSON(w, http.StatusBadRequest, statusResponse{Reason: "host and path are needed"})
		return
	}
	where, err := s.options.Where(r.Context(), q)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, statusResponse{Reason: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, where)
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
