package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/thejerf/suture/v4"
	"google.golang.org/grpc"

	"verbenapin.dev/node/account"
	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/caller"
	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/instance/rpc"
	"verbenapin.dev/node/journal"
	"verbenapin.dev/node/loop"
	"verbenapin.dev/node/operator"
	"verbenapin.dev/node/otlp"
	"verbenapin.dev/node/peer"
	"verbenapin.dev/node/target"
)

const (
	metricsEvery = time.Second
	// reloadEvery is the longest time until a replaced certificate is used.
	reloadEvery = 5 * time.Second
	// firstConns bounds the connections to the target, as stated for the first targets.
	firstConns = 260
)

// Node is one running process of the fleet.
type Node struct {
	settings Settings
	policy   Policy
	boot     uint32
	clock    *clock.Clock
	loop     *loop.Loop
	journal  *journal.Journal
	metrics  *operator.Metrics
	tracer   *otlp.Tracer

	store      *config.Store
	members    *instance.Members
	limiter    *account.Limiter
	admission  *target.Admission
	transport  *target.Transport
	gate       *target.Server
	dispatcher *peer.Dispatcher

	identity *peer.Identity // nil for a node by itself
	client   *peer.Client
	pool     *rpc.Pool
	platform *http.Client

	callers   *caller.Server
	peers     *peer.Server
	control   *grpc.Server
	operators *operator.Server
	listeners listeners
	ticks     []*clock.Subscription
	leaving   chan struct{}
}

type listeners struct{ caller, peer, control, admin net.Listener }

// New opens the listeners and assembles a node; its error is an UnusableError, or a fault of the configuration file.
func New(s Settings, p Policy, log io.Writer) (*Node, error) {
	n := &Node{settings: s, policy: p, boot: rand.Uint32(), clock: clock.New(), leaving: make(chan struct{})}
	if !s.Alone() {
		identity, err := peer.NewIdentity(s.Cert, s.Key, s.CA)
		if err != nil {
			return nil, UnusableError{Flag: "--cert, --key or --ca", Err: err}
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
		return nil, UnusableError{Flag: "--tree", Err: err}
	}
	return []config.File{{Name: path, Data: data}}, nil
}

func (n *Node) listen() error {
	for _, l := range []struct {
		flag    string
		address netip.AddrPort
		to      *net.Listener
	}{
		{"--caller", n.settings.Caller, &n.listeners.caller},
		{"--peer", n.settings.Peer, &n.listeners.peer},
		{"--control", n.settings.Control, &n.listeners.control},
		{"--admin", n.settings.Admin, &n.listeners.admin},
	} {
		if !l.address.IsValid() {
			continue
		}
		opened, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return UnusableError{Flag: l.flag, Err: fmt.Errorf("%w: choose a free address of this machine", err)}
		}
		*l.to = opened
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.listeners.caller, n.listeners.peer, n.listeners.control, n.listeners.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// CallerAddress returns the address on which callers are accepted.
func (n *Node) CallerAddress() string { return n.listeners.caller.Addr().String() }

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
	n.platform = &http.Client{}
	n.members = instance.New(n.memberSettings())
	if n.store, err = n.newStore(files); err != nil {
		return err
	}
	n.limiter = account.New(s.Name, n.loop, n.clock, n.sendTake, n.mayMint)
	n.store.OnChange(n.onTree)
	n.members.OnBeat(n.onBeat)
	n.members.OnView(n.onView)
	n.assembleTraffic()
	return nil
}

func (n *Node) newTracer() (*otlp.Tracer, error) {
	return otlp.New(context.Background(), otlp.Options{
		Endpoint: n.settings.Trace, Sample: n.settings.Sample,
		Name: n.settings.Name, Domain: n.settings.Domain, Service: n.settings.Service,
		Fault: func(err error) { n.journal.Warn("spans could not be sent", journal.Cause(err)) },
	})
}

// assembleTraffic builds the way of requests: callers, dispatcher, hop between nodes, gate, target.
func (n *Node) assembleTraffic() {
	s := n.settings
	n.transport = target.NewTransport(s.Target, firstConns)
	n.admission = target.NewAdmission(n.loop, n.clock, n.policy.Arrive, n.probeBudget, n.probe)
	n.gate = target.NewServer(n.clock.Now, n.store.Current, n.admission.Admit, n.admission.Load, n.transport.RoundTrip)
	if n.identity != nil {
		n.pool = rpc.NewPool(dialOptions(n.identity)...)
		n.client = peer.NewClient(n.clock.Now, n.identity.ClientConfig("http/1.1"), n.addressOf)
		n.peers = peer.NewServer(n.clock.Now, n.identity.ServerConfig("http/1.1"), n.gate.Do, n.admission.Load)
		n.control = n.newControl()
	}
	n.dispatcher = peer.NewDispatcher(
		peer.Self{Name: s.Name, Domain: s.Domain}, n.loop, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		n.policy.Choose, n.candidates, n.domainsOut, n.gate.Do, n.remote,
	)
	n.callers = caller.NewServer(n.clock.Now, n.store.Current, n.spend,
		caller.Tries{Try: n.dispatcher.Try, Retry: n.dispatcher.Retry}, n.events())
	n.operators = operator.New(n.listeners.admin, operator.Seams{
		Health: n.health, Ready: n.ready, State: n.state, Explain: n.explain, Metrics: n.metrics.Handler(),
	})
}

func (n *Node) remote(name string, call target.Call) (target.Reply, error) {
	return n.client.Do(name, call)
}

func (n *Node) addressOf(name string) (string, bool) {
	row, ok := n.members.Snapshot().Row(name)
	return row.Peer, ok
}

// candidates returns the instances of a service that are not known to leave.
func (n *Node) candidates(service string) []peer.Candidate {
	if n.settings.Alone() {
		if service != n.settings.Service {
			return nil
		}
		return []peer.Candidate{{Name: n.settings.Name, Domain: n.settings.Domain}}
	}
	view, now := n.members.Snapshot(), n.clock.Now()
	var out []peer.Candidate
	for _, row := range view.Service(service) {
		if view.Status(now, row.Name) != instance.Going {
			out = append(out, peer.Candidate{Name: row.Name, Domain: row.Domain})
		}
	}
	return out
}

func (n *Node) domainsOut() []string { return n.store.Snapshot().Tree().Fleet().Out }

func (n *Node) spend(ctx context.Context, name string) (caller.Pass, error) {
	pass, err := n.limiter.Spend(ctx, name)
	if err != nil {
		return caller.Pass{}, err
	}
	return caller.Pass{Confirm: pass.Confirm, Refund: pass.Refund, Settle: pass.Settle}, nil
}

func (n *Node) probeBudget() float64 {
	budget := 0.0
	for _, r := range n.store.Snapshot().Tree().Routes() {
		if r.Service == n.settings.Service && (budget == 0 || r.Probe < budget) {
			budget = r.Probe
		}
	}
	return budget
}

// probePath is where targets answer probes.
const probePath = "/probe"

func (n *Node) probe(ctx context.Context) (time.Duration, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, n.settings.Target.JoinPath(probePath).String(), nil)
	if err != nil {
		return 0, fmt.Errorf("daemon: making a probe: %w", err)
	}
	n.metrics.Probed()
	begun := n.clock.Now()
	res, err := n.transport.RoundTrip(r)
	if err != nil {
		return n.clock.Now().Sub(begun), err
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return n.clock.Now().Sub(begun), nil
}

func (n *Node) events() caller.Events {
	return caller.Events{
		Answered: func(route, account string, status int, took time.Duration) {
			n.metrics.Answered(route, account, status)
			n.metrics.Waited(operator.StageWhole, took)
		},
		Refused: func(route, account, id string, r answer.Refusal) {
			n.metrics.Refused(route, account, r)
			n.journal.Info("request refused", journal.ID(id), journal.Route(route), journal.Account(account),
				journal.Code(r.Code), journal.Run(r.Run))
		},
		Retried: n.metrics.Retried,
	}
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
	n.journal.Info("node started", journal.Instance(n.settings.Name))
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
		"caller":   func(context.Context) error { return n.callers.Serve(n.listeners.caller) },
		"operator": n.operators.Serve,
	}
	if n.identity != nil {
		m["peer"] = func(context.Context) error { return n.peers.Serve(n.listeners.peer) }
		m["control"] = func(context.Context) error { return n.control.Serve(n.listeners.control) }
	}
	return m
}

func (n *Node) start() {
	n.store.Start()
	n.members.Start()
	if n.identity != nil {
		n.ticks = append(n.ticks, n.clock.Subscribe(reloadEvery, func(time.Time) {
			if err := n.identity.Reload(); err != nil {
				n.journal.Error("certificates could not be read again; the earlier ones stay in use", journal.Cause(err))
			}
		}))
	}
	n.ticks = append(n.ticks, n.clock.Subscribe(metricsEvery, func(time.Time) { n.measure() }))
}

// measure updates the gauges.
func (n *Node) measure() {
	v, now := n.store.Snapshot(), n.clock.Now()
	n.metrics.Version(v.Number(), v.EvidenceAge(now))
	load := n.admission.Load()
	n.metrics.Load(load.Running, load.Queued, load.Limit)
	live, leaving, unreachable := 0, 0, 0
	for _, p := range n.peerStates(now) {
		switch p.State {
		case stateLive:
			live++
		case stateLeaving:
			leaving++
		default:
			unreachable++
		}
	}
	n.metrics.Peers(live, leaving, unreachable)
}
