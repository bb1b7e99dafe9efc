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
	"verbenapin.dev/node/http1"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/loop"
	"verbenapin.dev/node/tcp"
)

const (
	// firstBase and lastBase bound the second byte of the loopback addresses that a fleet uses.
	firstBase = 40
	lastBase  = 200
	// domainDelay and clientDelay are the one-way delays between failure domains and from the clients.
	domainDelay  = time.Millisecond
	clientDelay  = 3 * time.Millisecond
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	// stopTimeout is longer than the node's default limit of 30 s for a graceful shutdown.
	stopTimeout = 35 * time.Second
)

// Settings configure a fleet.
type Settings struct {
	Binary        string // path of the node's executable
	Dir           string // for certificates and logs
	Deployment    deployment.Deployment
	Env           []string // added to the environment of this process
	NoClientRelay bool     // clients connect without a delay
}

// Fleet is a running deployment; its methods must be called from one goroutine.
type Fleet struct {
	Platform       *platform.Server
	client         *http.Client // of the nodes' admin listeners
	settings       Settings
	loop           *loop.Loop
	loopDone       sync.WaitGroup
	base           int
	instances      []Instance
	processes      map[string]*Process
	targets        map[string]*upstream.Server
	pastExecutions []upstream.Execution // of killed targets
	relays         []link
	entryAddrs     map[string]string
	platformAddrs  map[string]string // by failure domain
	leaving        map[string]bool
	version        int64
}

// link is a relay with its source and its destination.
type link struct {
	relay   *Relay
	from    string // failure domain, empty for clients
	to      Instance
	control bool
}

// Start runs a deployment and waits until all nodes are ready; on an error it stops everything that it has started.
func Start(ctx context.Context, settings Settings) (*Fleet, error) {
	f := &Fleet{
		Platform: platform.New(), client: &http.Client{Transport: http1.NewTransport(&http.Transport{}, tcp.NewDial(0))}, settings: settings, loop: loop.New(time.Now), processes: map[string]*Process{},
		targets: map[string]*upstream.Server{}, entryAddrs: map[string]string{}, platformAddrs: map[string]string{}, leaving: map[string]bool{},
	}
	f.loopDone.Go(func() { _ = f.loop.Serve(context.Background()) })
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.listenPlatform(); err != nil {
		return err
	}
	f.instances = PlanInstances(f.settings.Deployment, f.base)
	var names []string
	for _, n := range f.instances {
		names = append(names, n.Name)
	}
	authority, err := certs.NewAuthority()
	if err != nil {
		return err
	}
	if err := authority.Write(f.settings.Dir, names); err != nil {
		return err
	}
	for _, n := range f.instances {
		if err := f.StartTarget(n.Name); err != nil {
			return err
		}
	}
	if err := f.startRelays(); err != nil {
		return err
	}
	if err := f.publishInstances(); err != nil {
		return err
	}
	if err := f.Publish(f.settings.Deployment); err != nil {
		return err
	}
	for _, n := range f.instances {
		if err := f.StartNode(n.Name); err != nil {
			return err
		}
	}
	for _, n := range f.instances {
		if err := f.AwaitReady(ctx, n.Name); err != nil {
			return err
		}
	}
	return nil
}

// listenPlatform starts the platform's listeners in the first free address range.
// The first listener reserves the range: fleets of other processes cannot bind the same address.
func (f *Fleet) listenPlatform() error {
	var err error
	for base := firstBase; base <= lastBase; base++ {
		f.base = base
		if err = f.listenDomain(deployment.Domains[0]); err == nil {
			break
		}
	}
	if err != nil {
		return fmt.Errorf("fleet: no free address range: %w", err)
	}
	for _, domain := range deployment.Domains[1:] {
		if err := f.listenDomain(domain); err != nil {
			return err
		}
	}
	_, err = f.Platform.ListenAdmin(join(fmt.Sprintf("127.%d.0.9", f.base), portPlatformAdmin))
	return err
}

func (f *Fleet) listenDomain(domain string) error {
	addr, err := f.Platform.Listen(join(fmt.Sprintf("127.%d.0.%d", f.base, domainIndex(domain)+1), portPlatform), domain)
	f.platformAddrs[domain] = addr
	return err
}

// startRelays starts the relays between failure domains and from the clients.
// Control traffic within a domain passes a relay without a delay, so that its bytes are counted too.
func (f *Fleet) startRelays() error {
	for i, n := range f.instances {
		for source, domain := range deployment.Domains {
			delay := domainDelay
			if domain == n.Domain {
				delay = 0
			}
			if err := f.startRelay(link{from: domain, to: n, control: true}, relayAddr(f.base, source, i, portControl), n.ControlAddr, delay); err != nil {
				return err
			}
			if domain == n.Domain {
				continue
			}
			if err := f.startRelay(link{from: domain, to: n}, relayAddr(f.base, source, i, portPeer), n.PeerAddr, delay); err != nil {
				return err
			}
		}
		f.entryAddrs[n.Name] = n.CallerAddr
		if f.settings.NoClientRelay {
			continue
		}
		addr := relayAddr(f.base, len(deployment.Domains), i, portCaller)
		if err := f.startRelay(link{to: n}, addr, n.CallerAddr, clientDelay); err != nil {
			return err
		}
		f.entryAddrs[n.Name] = addr
	}
	return nil
}

func (f *Fleet) startRelay(l link, addr, to string, delay time.Duration) error {
	var err error
	if l.relay, err = NewRelay(f.loop, addr, to, delay); err != nil {
		return err
	}
	f.relays = append(f.relays, l)
	return nil
}

// publishInstances publishes an instance list for each failure domain, with the addresses of its relays to the other domains.
func (f *Fleet) publishInstances() error {
	for source, domain := range deployment.Domains {
		var list []instance.Instance
		for i, n := range f.instances {
			row := instance.Instance{
				Name: n.Name, Domain: n.Domain, Service: n.Service.Name, PeerAddr: n.PeerAddr,
				ControlAddr: relayAddr(f.base, source, i, portControl), CallerAddr: n.CallerAddr, State: instance.StateLive,
			}
			if n.Domain != domain {
				row.PeerAddr = relayAddr(f.base, source, i, portPeer)
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

// Publish publishes the configuration as the next version; the parts come before the manifest that names them.
func (f *Fleet) Publish(d deployment.Deployment) error {
	f.version++
	manifest, parts, err := d.Pack(f.version)
	if err != nil {
		return err
	}
	for name, data := range parts {
		if err := f.Platform.SetValue(name, data); err != nil {
			return err
		}
	}
	return f.Platform.SetValue("manifest", manifest)
}

// Version returns the number of the last published version.
func (f *Fleet) Version() int64 { return f.version }

// Instances returns all instances.
func (f *Fleet) Instances() []Instance { return f.instances }

// Instance returns the instance with the given name.
func (f *Fleet) Instance(name string) Instance {
	for _, n := range f.instances {
		if n.Name == name {
			return n
		}
	}
	return Instance{}
}

// EntryAddrs returns the addresses at which clients reach the nodes of the given failure domains, or all nodes if none is given.
func (f *Fleet) EntryAddrs(domains ...string) []string {
	var list []string
	for _, n := range f.instances {
		if len(domains) == 0 || strings.Contains(strings.Join(domains, ","), n.Domain) {
			list = append(list, f.entryAddrs[n.Name])
		}
	}
	return list
}

// EntryAddr returns the address at which clients reach a node.
func (f *Fleet) EntryAddr(name string) string { return f.entryAddrs[name] }

// Target returns the target of an instance.
func (f *Fleet) Target(name string) *upstream.Server { return f.targets[name] }

// Executions returns the requests started by the targets of the given service, or of all services if it is empty.
// Those of killed targets are included only for all services.
func (f *Fleet) Executions(service string) []upstream.Execution {
	var list []upstream.Execution
	if service == "" {
		list = append(list, f.pastExecutions...)
	}
	for _, n := range f.instances {
		if t := f.targets[n.Name]; t != nil && (service == "" || n.Service.Name == service) {
			list = append(list, t.Executions()...)
		}
	}
	return list
}

// StartTarget starts the target of an instance at full capacity.
func (f *Fleet) StartTarget(name string) error { return f.startTarget(name, func(*upstream.Server) {}) }

// StartColdTarget starts the target of an instance in a cold start.
func (f *Fleet) StartColdTarget(name string) error {
	return f.startTarget(name, (*upstream.Server).SetCold)
}

func (f *Fleet) startTarget(name string, prepare func(*upstream.Server)) error {
	n := f.Instance(name)
	s := upstream.DefaultSettings(name)
	s.Slots, s.ServiceTime = n.Service.Slots, n.Service.ServiceTime
	t := upstream.New(s)
	f.targets[name] = t
	prepare(t)
	if _, err := t.Listen(n.TargetAddr); err != nil {
		return err
	}
	_, err := t.ListenAdmin(n.targetAdminAddr)
	return err
}

// KillTarget stops the target of an instance and keeps its executions.
func (f *Fleet) KillTarget(name string) {
	t := f.targets[name]
	t.Close()
	f.pastExecutions = append(f.pastExecutions, t.Executions()...)
	delete(f.targets, name)
}

// StartNode starts the node of an instance and the listeners of its relays.
func (f *Fleet) StartNode(name string) error {
	n := f.Instance(name)
	platformURL := "http://" + f.platformAddrs[n.Domain]
	path := func(file string) string { return filepath.Join(f.settings.Dir, file) }
	p, err := StartProcess(f.settings.Dir, name, f.settings.Binary, []string{
		"--name", n.Name, "--domain", n.Domain, "--service", n.Service.Name,
		"--caller", n.CallerAddr, "--peer", n.PeerAddr, "--control", n.ControlAddr, "--admin", n.AdminAddr,
		"--target", "http://" + n.TargetAddr, "--config", platformURL, "--list", platformURL,
		"--cert", path(name + ".pem"), "--key", path(name + ".key"), "--ca", path("ca.pem"),
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

// AwaitReady waits until a node is ready, and returns an error with the end of its log if it exits or takes too long.
func (f *Fleet) AwaitReady(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	p := f.processes[name]
	err := Poll(ctx, func() bool {
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
		return fmt.Errorf("fleet: node %s exited with code %d%s", name, p.cmd.ProcessState.ExitCode(), f.logTail(name))
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

// Pause suspends a node's process with SIGSTOP.
func (f *Fleet) Pause(name string) error { return f.processes[name].Signal(syscall.SIGSTOP) }

// Resume continues a paused node with SIGCONT.
func (f *Fleet) Resume(name string) error { return f.processes[name].Signal(syscall.SIGCONT) }

// Kill ends a node with SIGKILL and closes its relays, so that connections to it are refused.
func (f *Fleet) Kill(name string) {
	f.processes[name].Kill()
	f.closeRelays(name)
}

// Terminate sends SIGTERM to a node, which starts its graceful shutdown, and returns its process.
func (f *Fleet) Terminate(name string) (*Process, error) {
	p := f.processes[name]
	return p, p.Signal(syscall.SIGTERM)
}

// closeRelays closes the listeners and connections of the relays to a node whose process has ended.
func (f *Fleet) closeRelays(name string) {
	for _, l := range f.relays {
		if l.to.Name == name {
			l.relay.Down()
		}
	}
}

// SetLeaving sets whether the instance lists show an instance as leaving.
func (f *Fleet) SetLeaving(name string, leaving bool) error {
	f.leaving[name] = leaving
	return f.publishInstances()
}

// Partition blocks all traffic between a failure domain and the others; clients still reach it.
func (f *Fleet) Partition(domain string) { f.eachCrossDomainRelay(domain, (*Relay).Block) }

// Heal ends the partition of a failure domain.
func (f *Fleet) Heal(domain string) { f.eachCrossDomainRelay(domain, (*Relay).Unblock) }

// eachCrossDomainRelay calls do for all relays between a failure domain and the others.
func (f *Fleet) eachCrossDomainRelay(domain string, do func(*Relay)) {
	for _, l := range f.relays {
		if l.from != "" && l.from != l.to.Domain && (l.from == domain || l.to.Domain == domain) {
			do(l.relay)
		}
	}
}

// ControlBytes returns the total bytes of control traffic between nodes.
func (f *Fleet) ControlBytes() int64 {
	var n int64
	for _, l := range f.relays {
		if l.control {
			n += l.relay.Bytes()
		}
	}
	return n
}

// Stop shuts all nodes down gracefully; it returns an error if one runs beyond the timeout or exits with a nonzero code.
func (f *Fleet) Stop() error {
	var errs []error
	for _, n := range f.instances {
		if p := f.processes[n.Name]; p != nil {
			errs = append(errs, p.Signal(syscall.SIGTERM))
		}
	}
	for _, n := range f.instances {
		if p := f.processes[n.Name]; p != nil {
			code, err := p.Wait(stopTimeout)
			if err == nil && code != 0 {
				err = fmt.Errorf("fleet: node %s exited with code %d%s", n.Name, code, f.logTail(n.Name))
			}
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// Close kills all nodes and stops all relays, targets and the platform.
func (f *Fleet) Close() {
	for _, p := range f.processes {
		p.Kill()
	}
	for _, l := range f.relays {
		l.relay.Close()
	}
	var wg sync.WaitGroup
	for _, t := range f.targets {
		wg.Go(t.Close)
	}
	wg.Wait()
	f.Platform.Close()
	f.loop.Close()
	f.loopDone.Wait()
	f.client.CloseIdleConnections()
}

// Poll waits until done returns true or ctx ends.
func Poll(ctx context.Context, done func() bool) error {
	t := time.NewTicker(pollInterval)
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
