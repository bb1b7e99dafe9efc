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
	"verbenapin.dev/node/memory"
	"verbenapin.dev/node/operator"
	"verbenapin.dev/node/otlp"
	"verbenapin.dev/node/peer"
	"verbenapin.dev/node/registry"
	"verbenapin.dev/node/target"
	"verbenapin.dev/node/tcp"
)

const (
	metricsInterval = time.Second
	// expiryInterval bounds how long after its grace period a target whose registry entry expired is removed.
	expiryInterval = 250 * time.Millisecond
	// unlistedInterval bounds how long the state of a target that is no longer listed is kept. It is long, so that a target whose
	// entry is away for a few seconds keeps its state.
	unlistedInterval = 10 * time.Second
	// certReloadInterval bounds the time until a replaced certificate is used.
	certReloadInterval = 5 * time.Second
)

// Node is one load balancer process.
type Node struct {
	settings Settings                           // as given at startup
	reloaded atomic.Pointer[reloadableSettings] // nil until the first reload
	policy   Policy
	platform *Platform // nil with the configuration service and the instance list
	bootID   uint32
	conns    *tcp.Counts
	budget   tcp.Budget // of the connections in conns
	memory   memory.Budget
	kept     *memory.Counts
	shedding atomic.Bool // a caller was shed since the last memoryInterval
	clock    *clock.Clock
	loop     *loop.Loop
	journal  *journal.Journal
	metrics  *operator.Metrics
	tracer   *otlp.Tracer

	store         *config.Store
	members       *instance.Members
	feed          *registry.Feed // nil without a platform
	registryState registryState
	limiter       *account.Limiter
	fixedShares   *account.FixedShares // replaces the limiter with Policy.FixedShares
	admission     *target.Admission
	transport     *target.Transport
	link          *link.Link // nil unless its speed is set
	forwarder     *target.Forwarder
	dispatcher    *peer.Dispatcher

	identity   *peer.Identity // nil for a standalone node and with plain connections
	client     *peer.Client
	pool       *rpc.Pool
	httpClient *http.Client

	callerServer    *caller.Server
	peerServer      *peer.Server
	controlServer   *grpc.Server
	operatorServer  *operator.Server
	readinessServer *readinessServer   // nil unless --ready is set
	loadExchange    *peer.LoadExchange // nil without a platform
	listeners       listeners
	subscriptions   []*clock.Subscription
	ticks           tickMonitor // of the subscription that updates the gauges
	leaving         chan struct{}
}

// New opens the listeners and assembles a node. An address, certificate or file that cannot be used is reported as an
// UnusableError.
func New(s Settings, p Policy, log io.Writer) (*Node, error) { return newNode(s, p, nil, log) }

// NewOnPlatform is New for a node on a platform with a registry; its policy comes from the environment.
func NewOnPlatform(platform Platform, s Settings, log io.Writer) (*Node, error) {
	return newNode(s, PolicyFromEnv(os.Getenv), &platform, log)
}

func newNode(s Settings, p Policy, platform *Platform, log io.Writer) (*Node, error) {
	n := &Node{
		settings: s, policy: p, platform: platform, bootID: rand.Uint32(), clock: clock.New(), conns: tcp.NewCounts(), budget: tcp.ProcessBudget(s.Files),
		memory: memory.ProcessBudget(s.Memory), kept: memory.NewCounts(), leaving: make(chan struct{}),
	}
	n.registryState.complete = make(chan struct{})
	if !s.Standalone() && !s.Plain {
		identity, err := peer.NewIdentity(s.Name, s.Cert, s.Key, s.CA)
		if err != nil {
			return nil, UnusableError{Flag: "--cert, --key or --ca", Err: err, Remedy: `see "Certificates" in docs/operators.md`}
		}
		n.identity = identity
	}
	files, err := readConfigFile(s.Tree)
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

func readConfigFile(path string) ([]config.File, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, UnusableError{Flag: "--tree", Err: err, Remedy: "give a readable file"}
	}
	return []config.File{{Name: path, Data: data}}, nil
}

func (n *Node) assemble(files []config.File, log io.Writer) error {
	var err error
	s := n.settings
	n.journal = journal.New(log, s.Log, s.Name, n.clock)
	n.loop = loop.New(n.clock.Now)
	if n.metrics, err = operator.NewMetrics(metricsInterval); err != nil {
		return err
	}
	if n.tracer, err = n.newTracer(); err != nil {
		return err
	}
	n.httpClient = newServiceClient()
	n.link = link.New(s.Link)
	n.members = instance.NewMembers(n.memberSettings())
	if n.store, err = n.newStore(files); err != nil {
		_ = n.tracer.Close()
		_ = n.metrics.Close()
		n.journal.Close()
		return UnusableError{Flag: "--tree", Err: err, Remedy: "correct the file, and check it with verbctl check"}
	}
	if n.platform != nil {
		n.feed = registry.New(n.feedSettings())
		n.limiter = account.NewLimiterWithOverage(s.Name, n.loop, n.clock, n.platform.Overage, n.sendLeaseRequest)
	} else {
		n.limiter = account.NewLimiter(s.Name, n.loop, n.clock, n.sendLeaseRequest, n.canRefill)
	}
	n.fixedShares = account.NewFixedShares(n.clock.Now())
	n.store.OnChange(n.onConfigChange)
	n.members.OnHeartbeat(n.onHeartbeat)
	n.members.OnChange(n.onMembersChange)
	n.assembleTraffic()
	return nil
}

// Run serves until ctx ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	supervisor := newSupervisor(n.onSupervisorEvent, n.settings.Grace)
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
	n.startBackground()
	n.journal.Info("node started", journal.Address(n.settings.Caller))
	<-ctx.Done()
	return n.shutdown()
}

// restartPause is how long a part that failed several times in a row rests before it is started again. Callers wait a second for a
// connection; the library's 15 s would leave a node for so long that says it is ready and serves nobody.
const restartPause = 200 * time.Millisecond

// newSupervisor returns the supervisor of a node's parts; timeout bounds how long they may take to end.
func newSupervisor(onEvent suture.EventHook, timeout time.Duration) *suture.Supervisor {
	return suture.New("node", suture.Spec{EventHook: onEvent, FailureBackoff: restartPause, Timeout: timeout})
}

// service adapts a function to suture.Service.
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

// String returns the name of the service for suture's events.
func (s service) String() string { return s.name }

func (n *Node) onSupervisorEvent(e suture.Event) {
	n.journal.Error("supervisor reported a failure or a restart", journal.Cause(supervisorError{event: e}))
}

type supervisorError struct{ event suture.Event }

func (e supervisorError) Error() string { return e.event.String() }

// servers returns the serve functions of the listeners by name.
func (n *Node) servers() map[string]func(ctx context.Context) error {
	m := map[string]func(ctx context.Context) error{
		"caller": func(ctx context.Context) error {
			n.awaitConfig(ctx)
			n.journal.Info("connections of callers are accepted", journal.Address(n.settings.Caller))
			return n.callerServer.Serve(n.listeners.caller)
		},
		"operator": n.operatorServer.Serve,
	}
	if n.readinessServer != nil {
		m["ready"] = func(context.Context) error { return n.readinessServer.serve(n.listeners.ready) }
	}
	if !n.settings.Standalone() {
		m["peer"] = func(context.Context) error { return n.peerServer.Serve(n.listeners.peer) }
		m["control"] = func(context.Context) error { return n.controlServer.Serve(n.listeners.control) }
	}
	return m
}

// dropUnlisted drops the state of targets that are no longer listed; it runs on the control goroutine.
func (n *Node) dropUnlisted(time.Time) {
	view := n.members.Snapshot()
	if !view.HasList() {
		return
	}
	n.dispatcher.DropUnlisted(func(name string) bool {
		_, ok := view.Instance(name)
		return ok
	})
}

func (n *Node) startBackground() {
	n.store.Start()
	n.members.Start()
	if n.feed != nil {
		n.feed.Start()
		n.subscriptions = append(n.subscriptions, n.clock.Subscribe(expiryInterval, func(time.Time) { _ = n.loop.Post(context.Background(), n.removeExpired) }))
	}
	if n.identity != nil {
		n.subscriptions = append(n.subscriptions, n.clock.Subscribe(certReloadInterval, func(time.Time) { n.reloadIdentity() }))
	}
	n.subscriptions = append(n.subscriptions, n.clock.Subscribe(unlistedInterval, func(time.Time) { _ = n.loop.Post(context.Background(), n.dropUnlisted) }))
	n.subscriptions = append(n.subscriptions, n.clock.Subscribe(metricsInterval, func(time.Time) { n.updateGauges() }))
	n.subscriptions = append(n.subscriptions, n.clock.Subscribe(metricsInterval, n.checkLoop))
	n.startMemory()
}
