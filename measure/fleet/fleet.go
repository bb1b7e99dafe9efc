package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"verbenapin.dev/measure/certs"
	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/platform"
	"verbenapin.dev/measure/upstream"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/loop"
)

const (
	// firstBase and lastBase bound the second byte of the addresses that a fleet takes.
	firstBase = 40
	lastBase  = 200
	// domainDelay and clientDelay are the one-way delays of the deployments.
	domainDelay = time.Millisecond
	clientDelay = 3 * time.Millisecond
	readyWithin = 20 * time.Second
	poll        = 20 * time.Millisecond
	// stopWithin is longer than the node's default limit of 30 s for a graceful shutdown.
	stopWithin = 35 * time.Second
)

// Settings tell how to run a fleet.
type Settings struct {
	Binary        string // the node's program
	Dir           string // for certificates and logs
	Deployment    deployment.Deployment
	Env           []string // in addition to the environment of this process
	NoClientRelay bool     // clients connect without a delay
}

// Fleet is a running deployment; its methods are called from one goroutine, the one that controls a scenario.
type Fleet struct {
	Platform  *platform.Server
	settings  Settings
	loop      *loop.Loop
	served    sync.WaitGroup
	base      int
	nodes     []Instance
	processes map[string]*Process
	targets   map[string]*upstream.Server
	past      []upstream.Execution // of targets that were killed
	relays    []link
	entries   map[string]string
	lists     map[string]string // address of the platform for each failure domain
	leaving   map[string]bool
	version   int64
}

// link is a relay with the instances that it connects.
type link struct {
	relay   *Relay
	from    string // failure domain, empty for clients
	to      Instance
	control bool
}

// Start runs a deployment and waits until all nodes are ready; on an error everything is ended again.
func Start(ctx context.Context, settings Settings) (*Fleet, error) {
	f := &Fleet{
		Platform: platform.New(), settings: settings, loop: loop.New(time.Now), processes: map[string]*Process{},
		targets: map[string]*upstream.Server{}, entries: map[string]string{}, lists: map[string]string{}, leaving: map[string]bool{},
	}
	f.served.Go(func() { _ = f.loop.Serve(context.Background()) })
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.listen(); err != nil {
		return err
	}
	f.nodes = PlanInstances(f.settings.Deployment, f.base)
	var names []string
	for _, n := range f.nodes {
		names = append(names, n.Name)
	}
	authority, err := certs.NewAuthority()
	if err != nil {
		return err
	}
	if err := authority.Write(f.settings.Dir, names); err != nil {
		return err
	}
	for _, n := range f.nodes {
		if err := f.StartTarget(n.Name); err != nil {
			return err
		}
	}
	if err := f.connect(); err != nil {
		return err
	}
	if err := f.publishList(); err != nil {
		return err
	}
	if err := f.Publish(f.settings.Deployment); err != nil {
		return err
	}
	for _, n := range f.nodes {
		if err := f.StartNode(n.Name); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := f.AwaitReady(ctx, n.Name); err != nil {
			return err
		}
	}
	return nil
}

// listen takes the first free range of addresses; the platform's listener marks it as taken.
func (f *Fleet) listen() error {
	var err error
	for base := firstBase; base <= lastBase; base++ {
		f.base = base
		if err = f.listenAt(deployment.Domains[0]); err == nil {
			break
		}
	}
	if err != nil {
		return fmt.Errorf("fleet: no free range of addresses: %w", err)
	}
	for _, domain := range deployment.Domains[1:] {
		if err := f.listenAt(domain); err != nil {
			return err
		}
	}
	_, err = f.Platform.ListenAdmin(join(fmt.Sprintf("127.%d.0.9", f.base), portSwitches))
	return err
}

func (f *Fleet) listenAt(domain string) error {
	addr, err := f.Platform.Listen(join(fmt.Sprintf("127.%d.0.%d", f.base, domainIndex(domain)+1), portPlatform), domain)
	f.lists[domain] = addr
	return err
}

// connect starts the relays between failure domains and from the clients.
// Control traffic passes a relay within a domain too, without a delay, so that its bytes are counted.
func (f *Fleet) connect() error {
	for i, n := range f.nodes {
		for source, domain := range deployment.Domains {
			delay := domainDelay
			if domain == n.Domain {
				delay = 0
			}
			if err := f.link(link{from: domain, to: n, control: true}, relayed(f.base, source, i, portControl), n.ControlAddr, delay); err != nil {
				return err
			}
			if domain == n.Domain {
				continue
			}
			if err := f.link(link{from: domain, to: n}, relayed(f.base, source, i, portPeer), n.PeerAddr, delay); err != nil {
				return err
			}
		}
		f.entries[n.Name] = n.CallerAddr
		if f.settings.NoClientRelay {
			continue
		}
		addr := relayed(f.base, len(deployment.Domains), i, portCaller)
		if err := f.link(link{to: n}, addr, n.CallerAddr, clientDelay); err != nil {
			return err
		}
		f.entries[n.Name] = addr
	}
	return nil
}

func (f *Fleet) link(l link, addr, to string, delay time.Duration) error {
	var err error
	if l.relay, err = NewRelay(f.loop, addr, to, delay); err != nil {
		return err
	}
	f.relays = append(f.relays, l)
	return nil
}

// publishList shows each failure domain the addresses by which it reaches the others.
func (f *Fleet) publishList() error {
	for source, domain := range deployment.Domains {
		var list []instance.Instance
		for i, n := range f.nodes {
			row := instance.Instance{
				Name: n.Name, Domain: n.Domain, Service: n.Service.Name, PeerAddr: n.PeerAddr,
				ControlAddr: relayed(f.base, source, i, portControl), CallerAddr: n.CallerAddr, State: instance.StateLive,
			}
			if n.Domain != domain {
				row.PeerAddr = relayed(f.base, source, i, portPeer)
			}
			if f.leaving[n.Name] {
				row.State = instance.StateLeaving
			}
			list = append(list, row)
		}
		if err := f.Platform.SetInstances(domain, list); err != nil {
			return err
		}
	}
	return nil
}

// Publish publishes the configuration as the next version, parts first.
func (f *Fleet) Publish(d deployment.Deployment) error {
	f.version++
	manifest, parts, err := d.Pack(f.version)
	if err != nil {
		return err
	}
	for name, data := range parts {
		if err := f.Platform.Set(name, data); err != nil {
			return err
		}
	}
	return f.Platform.Set("manifest", manifest)
}

// Version returns the number of the version published last.
func (f *Fleet) Version() int64 { return f.version }

// Instances returns all instances.
func (f *Fleet) Instances() []Instance { return f.nodes }

// Instance returns the instance with the given name.
func (f *Fleet) Instance(name string) Instance {
	for _, n := range f.nodes {
		if n.Name == name {
			return n
		}
	}
	return Instance{}
}

// EntryAddrs returns the addresses at which clients reach the nodes of the given failure domains, or of all.
func (f *Fleet) EntryAddrs(domains ...string) []string {
	var list []string
	for _, n := range f.nodes {
		if len(domains) == 0 || strings.Contains(strings.Join(domains, ","), n.Domain) {
			list = append(list, f.entries[n.Name])
		}
	}
	return list
}

// EntryAddr returns the address at which clients reach a node.
func (f *Fleet) EntryAddr(name string) string { return f.entries[name] }

// Target returns the target of an instance.
func (f *Fleet) Target(name string) *upstream.Server { return f.targets[name] }

// Executions returns what all targets of the given service, or of all services, have started.
func (f *Fleet) Executions(service string) []upstream.Execution {
	var list []upstream.Execution
	if service == "" {
		list = append(list, f.past...)
	}
	for _, n := range f.nodes {
		if t := f.targets[n.Name]; t != nil && (service == "" || n.Service.Name == service) {
			list = append(list, t.Executions()...)
		}
	}
	return list
}

// StartTarget starts the target of an instance, warm.
func (f *Fleet) StartTarget(name string) error { return f.startTarget(name, func(*upstream.Server) {}) }

// StartColdTarget starts the target of an instance with a cold start.
func (f *Fleet) StartColdTarget(name string) error {
	return f.startTarget(name, (*upstream.Server).SetCold)
}

func (f *Fleet) startTarget(name string, prepare func(*upstream.Server)) error {
	n := f.Instance(name)
	s := upstream.Defaults(name)
	s.Slots, s.ServiceTime = n.Service.Slots, n.Service.ServiceTime
	t := upstream.New(s)
	f.targets[name] = t
	prepare(t)
	if _, err := t.Listen(n.TargetAddr); err != nil {
		return err
	}
	_, err := t.ListenAdmin(n.targetA)
	return err
}

// KillTarget ends the target of an instance.
func (f *Fleet) KillTarget(name string) {
	t := f.targets[name]
	t.Close()
	f.past = append(f.past, t.Executions()...)
	delete(f.targets, name)
}

// StartNode starts the node of an instance and lets its connections pass.
func (f *Fleet) StartNode(name string) error {
	n := f.Instance(name)
	platformURL := "http://" + f.lists[n.Domain]
	file := func(end string) string { return filepath.Join(f.settings.Dir, end) }
	p, err := StartProcess(f.settings.Dir, name, f.settings.Binary, []string{
		"--name", n.Name, "--domain", n.Domain, "--service", n.Service.Name,
		"--caller", n.CallerAddr, "--peer", n.PeerAddr, "--control", n.ControlAddr, "--admin", n.AdminAddr,
		"--target", "http://" + n.TargetAddr, "--config", platformURL, "--list", platformURL,
		"--cert", file(name + ".pem"), "--key", file(name + ".key"), "--ca", file("ca.pem"),
	}, f.settings.Env)
	if err != nil {
		return err
	}
	f.processes[name] = p
	for _, l := range f.relays {
		if l.to.Name == name {
			if err := l.relay.Up(); err != nil {
				return err
			}
		}
	}
	return nil
}

// AwaitReady waits until a node is ready.
func (f *Fleet) AwaitReady(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	p := f.processes[name]
	err := Await(ctx, func() bool {
		select {
		case <-p.Exited():
			return true
		default:
			return f.get(ctx, name, "/ready", nil) == nil
		}
	})
	if err != nil {
		return fmt.Errorf("fleet: node %s is not ready: %w%s", name, err, f.logTail(name))
	}
	select {
	case <-p.Exited():
		return fmt.Errorf("fleet: node %s ended with code %d%s", name, p.cmd.ProcessState.ExitCode(), f.logTail(name))
	default:
		return nil
	}
}

// logTail returns the end of a node's log for error messages.
func (f *Fleet) logTail(name string) string {
	const size = 600
	data, err := os.ReadFile(filepath.Join(f.settings.Dir, name+".log"))
	if err != nil || len(data) == 0 {
		return ""
	}
	return ", its log ends with: " + strings.TrimSpace(string(data[max(0, len(data)-size):]))
}

// Pause stops a node's process without its knowledge.
func (f *Fleet) Pause(name string) error { return f.processes[name].Signal(syscall.SIGSTOP) }

// Resume continues a paused node.
func (f *Fleet) Resume(name string) error { return f.processes[name].Signal(syscall.SIGCONT) }

// Kill ends a node without its knowledge; connections to it are refused.
func (f *Fleet) Kill(name string) {
	f.processes[name].Kill()
	f.down(name)
}

// Terminate asks a node to shut down gracefully and returns its process.
func (f *Fleet) Terminate(name string) (*Process, error) {
	p := f.processes[name]
	return p, p.Signal(syscall.SIGTERM)
}

// down closes the relays to a node whose process has ended.
func (f *Fleet) down(name string) {
	for _, l := range f.relays {
		if l.to.Name == name {
			l.relay.Down()
		}
	}
}

// SetLeaving marks an instance in the platform's list.
func (f *Fleet) SetLeaving(name string, leaving bool) error {
	f.leaving[name] = leaving
	return f.publishList()
}

// Partition separates a failure domain from the others; clients still reach it.
func (f *Fleet) Partition(domain string) { f.eachLink(domain, (*Relay).Cut) }

// Heal connects a failure domain again.
func (f *Fleet) Heal(domain string) { f.eachLink(domain, (*Relay).Restore) }

func (f *Fleet) eachLink(domain string, do func(*Relay)) {
	for _, l := range f.relays {
		if l.from != "" && l.from != l.to.Domain && (l.from == domain || l.to.Domain == domain) {
			do(l.relay)
		}
	}
}

// ControlBytes returns the bytes of control traffic between nodes so far.
func (f *Fleet) ControlBytes() int64 {
	var n int64
	for _, l := range f.relays {
		if l.control {
			n += l.relay.Bytes()
		}
	}
	return n
}

// Stop shuts all nodes down gracefully and returns an error if one was cut off or failed.
func (f *Fleet) Stop() error {
	var failed []error
	for _, n := range f.nodes {
		if p := f.processes[n.Name]; p != nil {
			failed = append(failed, p.Signal(syscall.SIGTERM))
		}
	}
	for _, n := range f.nodes {
		if p := f.processes[n.Name]; p != nil {
			code, err := p.Wait(stopWithin)
			if err == nil && code != 0 {
				err = fmt.Errorf("fleet: node %s ended with code %d%s", n.Name, code, f.logTail(n.Name))
			}
			failed = append(failed, err)
		}
	}
	return errors.Join(failed...)
}

// Close ends everything that the fleet has started.
func (f *Fleet) Close() {
	for _, p := range f.processes {
		p.Kill()
	}
	for _, l := range f.relays {
		l.relay.Close()
	}
	var ended sync.WaitGroup
	for _, t := range f.targets {
		ended.Go(t.Close)
	}
	ended.Wait()
	f.Platform.Close()
	f.loop.Close()
	f.served.Wait()
	http.DefaultClient.CloseIdleConnections()
}

// Await waits until done returns true or ctx ends.
func Await(ctx context.Context, done func() bool) error {
	t := time.NewTicker(poll)
	defer t.Stop()
	for !done() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
