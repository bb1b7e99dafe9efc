package daemon

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"google.golang.org/grpc"

	"verbenapin.dev/node/account"
	"verbenapin.dev/node/caller"
	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/instance/rpc"
	"verbenapin.dev/node/journal"
	"verbenapin.dev/node/link"
	"verbenapin.dev/node/loop"
	"verbenapin.dev/node/operator"
	"verbenapin.dev/node/otlp"
	"verbenapin.dev/node/peer"
	"verbenapin.dev/node/registry"
	"verbenapin.dev/node/target"
)

const (
	metricsEvery = time.Second
	// sweepEvery is the precision with which the grace of lapsed entries ends.
	sweepEvery = 250 * time.Millisecond
	// reloadEvery is the longest time until a replaced certificate is used.
	reloadEvery = 5 * time.Second
)

// Node is one running process of the fleet.
type Node struct {
	settings Settings                   // as of the start
	reloaded atomic.Pointer[reloadable] // nil until the first reload
	policy   Policy
	platform *Platform // nil with the product's own services
	boot     uint32
	clock    *clock.Clock
	loop     *loop.Loop
	journal  *journal.Journal
	metrics  *operator.Metrics
	tracer   *otlp.Tracer

	store       *config.Store
	members     *instance.Members
	feed        *registry.Feed // nil with the product's own services
	facts       facts
	limiter     *account.Limiter
	fixedShares *account.FixedShares // used instead of the limiter for comparison
	admission   *target.Admission
	transport   *target.Transport
	link        *link.Link // nil unless its speed is set
	gate        *target.Forwarder
	dispatcher  *peer.Dispatcher

	identity *peer.Identity // nil for a node by itself, and for one with plain connections
	client   *peer.Client
	pool     *rpc.Pool
	services *http.Client

	callers      *caller.Server
	peers        *peer.Server
	control      *grpc.Server
	operators    *operator.Server
	readiness    *readiness         // nil without a listener of its own
	loadExchange *peer.LoadExchange // nil unless connections between nodes are plain
	listeners    listeners
	ticks        []*clock.Subscription
	leaving      chan struct{}
}

// New opens the listeners and assembles a node; its error is an UnusableError.
func New(s Settings, p Policy, log io.Writer) (*Node, error) { return newNode(s, p, nil, log) }

// NewOn is New for a node on a platform with a registry.
func NewOn(platform Platform, s Settings, log io.Writer) (*Node, error) {
	return newNode(s, PolicyFromEnv(os.Getenv), &platform, log)
}

func newNode(s Settings, p Policy, platform *Platform, log io.Writer) (*Node, error) {
	n := &Node{settings: s, policy: p, platform: platform, boot: rand.Uint32(), clock: clock.New(), leaving: make(chan struct{})}
	n.facts.known = make(chan struct{})
	if !s.Alone() && !s.Plain {
		identity, err := peer.NewIdentity(s.Name, s.Cert, s.Key, s.CA)
		if err != nil {
			return nil, UnusableError{Flag: "--cert, --key or --ca", Err: err, Todo: `see "Certificates" in docs/operators.md`}
		}
		n.identity = identity
	}
	files, err := staticFiles(s.Tree)
	if err != nil {
		return nil, err
	}
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	if err := n.assemble(files, log); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

func staticFiles(path string) ([]config.File, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, UnusableError{Flag: "--tree", Err: err, Todo: "give a readable file"}
	}
	return []config.File{{Name: path, Data: data}}, nil
}

func (n *Node) assemble(files []config.File, log io.Writer) error {
	var err error
	s := n.settings
	n.journal = journal.New(log, s.Log, s.Name, n.clock)
	n.loop = loop.New(n.clock.Now)
	if n.metrics, err = operator.NewMetrics(metricsEvery); err != nil {
		return err
	}
	if n.tracer, err = n.newTracer(); err != nil {
		return err
	}
	n.services = &http.Client{}
	n.link = link.New(s.Link)
	n.members = instance.NewMembers(n.memberSettings())
	if n.store, err = n.newStore(files); err != nil {
		_ = n.tracer.Close()
		_ = n.metrics.Close()
		n.journal.Close()
		return UnusableError{Flag: "--tree", Err: err, Todo: "correct the file, and check it with verbctl check"}
	}
	if n.platform != nil {
		n.feed = registry.New(n.feedSettings())
		n.limiter = account.NewLimiterWithOverage(s.Name, n.loop, n.clock, n.platform.Overage, n.sendLeaseRequest)
	} else {
		n.limiter = account.NewLimiter(s.Name, n.loop, n.clock, n.sendLeaseRequest, n.mayRefill)
	}
	n.fixedShares = account.NewFixedShares(n.clock.Now())
	n.store.OnChange(n.onTree)
	n.members.OnHeartbeat(n.onHeartbeat)
	n.members.OnChange(n.onView)
	n.assembleTraffic()
	return nil
}

// Run serves until ctx ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	supervisor := suture.New("node", suture.Spec{EventHook: n.onSupervisor, Timeout: n.settings.Grace})
	base, stop := context.WithCancel(context.Background())
	supervisor.Add(service{name: "loop", serve: n.loop.Serve})
	for name, serve := range n.servers() {
		supervisor.Add(service{name: name, serve: serve})
	}
	supervised := supervisor.ServeBackground(base)
	defer func() {
		n.close() // needs the control goroutine, which the supervisor runs
		stop()
		if err := <-supervised; err != nil && !errors.Is(err, context.Canceled) {
			n.journal.Warn("supervisor ended with an error", journal.Cause(err))
		}
	}()
	n.start()
	n.journal.Info("node started", journal.Address(n.settings.Caller))
	<-ctx.Done()
	return n.shutdown()
}

// service is what suture supervises.
type service struct {
	name  string
	serve func(ctx context.Context) error
}

// Serve runs the service.
func (s service) Serve(ctx context.Context) error {
	err := s.serve(ctx)
	if err == nil {
		return suture.ErrDoNotRestart
	}
	return err
}

// String names the service in events.
func (s service) String() string { return s.name }

func (n *Node) onSupervisor(e suture.Event) {
	n.journal.Error("a part of the node failed and is restarted", journal.Cause(supervisorError{event: e}))
}

type supervisorError struct{ event suture.Event }

func (e supervisorError) Error() string { return e.event.String() }

// servers returns the listeners' servers by name.
func (n *Node) servers() map[string]func(ctx context.Context) error {
	m := map[string]func(ctx context.Context) error{
		"caller": func(ctx context.Context) error {
			n.awaitFacts(ctx)
			return n.callers.Serve(n.listeners.caller)
		},
		"operator": n.operators.Serve,
	}
	if n.readiness != nil {
		m["ready"] = func(context.Context) error { return n.readiness.serve(n.listeners.ready) }
	}
	if !n.settings.Alone() {
		m["peer"] = func(context.Context) error { return n.peers.Serve(n.listeners.peer) }
		m["control"] = func(context.Context) error { return n.control.Serve(n.listeners.control) }
	}
	return m
}

func (n *Node) start() {
	n.store.Start()
	n.members.Start()
	if n.feed != nil {
		n.feed.Start()
		n.ticks = append(n.ticks, n.clock.Subscribe(sweepEvery, func(time.Time) { _ = n.loop.Post(context.Background(), n.sweep) }))
	}
	if n.identity != nil {
		n.ticks = append(n.ticks, n.clock.Subscribe(reloadEvery, func(time.Time) { n.reloadIdentity() }))
	}
	n.ticks = append(n.ticks, n.clock.Subscribe(metricsEvery, func(time.Time) { n.measure() }))
}
