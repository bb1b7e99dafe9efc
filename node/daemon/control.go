package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"verbenapin.dev/node/account"
	accountrpc "verbenapin.dev/node/account/rpc"
	"verbenapin.dev/node/config"
	configrpc "verbenapin.dev/node/config/rpc"
	configpb "verbenapin.dev/node/config/rpc/pb"
	"verbenapin.dev/node/http1"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/instance/rpc"
	"verbenapin.dev/node/instance/rpc/pb"
	"verbenapin.dev/node/journal"
	"verbenapin.dev/node/peer"
	registryrpc "verbenapin.dev/node/registry/rpc"
	registrypb "verbenapin.dev/node/registry/rpc/pb"
	"verbenapin.dev/node/tcp"
)

const (
	// maxMessageBytes bounds a control message; a configuration part has at most 512 KB.
	maxMessageBytes = 1 << 20
	// controlIdleTimeout is how long a client keeps a control connection without messages; servers wait twice as long.
	controlIdleTimeout = time.Minute
	// controlWindowBytes is a fixed receive window, because with a dynamic one gRPC sends a ping with each message to
	// measure the path. With 64 KB, a part of 512 KB takes 8 round trips.
	controlWindowBytes = 64 << 10
	// controlBufferBytes holds a heartbeat or a LeaseRequest. The default of 32 KB in each direction would be allocated for
	// each of a home's 1,200 borrowers.
	controlBufferBytes = 2 << 10
	// maxControlStreams bounds the messages of one node that are handled at a time; others wait.
	maxControlStreams = 128
	// maxControlHeadBytes bounds the header list of a message; those of the nodes take less than 1 KB.
	maxControlHeadBytes = 16 << 10
	// controlHandshakeTimeout bounds how long a new connection may take to begin.
	controlHandshakeTimeout = 5 * time.Second
	maxConnectBackoff       = time.Second
	minConnectTimeout       = 500 * time.Millisecond
)

// controlDialOptions returns the options of outgoing control connections, which are plain without an identity.
func controlDialOptions(identity *peer.Identity, dial tcp.Dial) []grpc.DialOption {
	creds := insecure.NewCredentials()
	if identity != nil {
		creds = credentials.NewTLS(identity.ControlConfig("h2"))
	}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) { return dial(ctx, "tcp", addr) }),
		grpc.WithIdleTimeout(controlIdleTimeout),
		grpc.WithConnectParams(connectParams()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithStaticStreamWindowSize(controlWindowBytes),
		grpc.WithStaticConnWindowSize(controlWindowBytes),
		grpc.WithReadBufferSize(controlBufferBytes),
		grpc.WithWriteBufferSize(controlBufferBytes),
	}
}

// dialControl returns the function that opens control connections.
func (n *Node) dialControl() tcp.Dial {
	return n.conns.Dial(tcp.KindControl, 0, tcp.NewDial(0))
}

// newControlServer returns the gRPC server for heartbeats, configuration versions, leases and registry updates.
func (n *Node) newControlServer() *grpc.Server {
	creds := insecure.NewCredentials()
	if n.identity != nil {
		creds = credentials.NewTLS(n.identity.ServerConfig("h2"))
	}
	s := grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(maxControlHeadBytes),
		grpc.MaxConcurrentStreams(maxControlStreams),
		grpc.ConnectionTimeout(controlHandshakeTimeout),
		grpc.StaticStreamWindowSize(controlWindowBytes),
		grpc.StaticConnWindowSize(controlWindowBytes),
		grpc.ReadBufferSize(controlBufferBytes),
		grpc.WriteBufferSize(controlBufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 2 * controlIdleTimeout}),
		grpc.UnaryInterceptor(recoverCall(n.onControlPanic)),
		grpc.StreamInterceptor(recoverStream(n.onControlPanic)),
	)
	pb.RegisterInstancesServer(s, &rpc.Server{OwnHeartbeat: n.members.OwnHeartbeat, Receive: n.members.Receive, Now: n.clock.Now})
	configpb.RegisterConfigsServer(s, &configrpc.Server{Receive: n.store.ReceiveOffer, Value: n.store.Blob})
	accountrpc.NewServer(n.limiter.GrantLease).Register(s)
	if n.feed != nil {
		registrypb.RegisterRegistryServer(s, &registryrpc.Server{Receive: n.feed.Receive})
	}
	return s
}

// isRefused reports whether the connection was refused, which does not happen with a paused or unreachable node.
func isRefused(err error) bool {
	// gRPC reports a failed connection as text only.
	return errors.Is(err, syscall.ECONNREFUSED) ||
		(status.Code(err) == codes.Unavailable && containsRefused(err.Error()))
}

func (n *Node) memberSettings() instance.Settings {
	s := instance.Settings{
		Name: n.settings.Name, BootID: n.bootID, Loop: n.loop, Clock: n.clock, Random: rand.IntN,
		IsRefused:     isRefused,
		VersionReport: func(now time.Time) instance.VersionReport { return n.store.VersionReport(now) },
		OnError:       n.onControlError,
	}
	if n.settings.List != nil {
		s.List = instance.ListReader{URL: n.settings.List.String(), Client: n.httpClient}.Read
		s.Exchange = func(ctx context.Context, addr string, own instance.Heartbeat) (instance.Heartbeat, error) {
			return rpc.Client{Conn: n.pool.Conn, Now: n.clock.Now}.Exchange(ctx, addr, own)
		}
	}
	return s
}

// Limits of connections to the configuration service and the instance list, as in http.DefaultTransport.
const (
	serviceDialTimeout      = 30 * time.Second
	serviceHandshakeTimeout = 10 * time.Second
	serviceIdleTimeout      = 90 * time.Second
)

// newServiceClient returns the client that reads the configuration service and the instance list.
func newServiceClient() *http.Client {
	return &http.Client{Transport: http1.NewTransport(&http.Transport{
		Proxy: http.ProxyFromEnvironment, TLSHandshakeTimeout: serviceHandshakeTimeout, IdleConnTimeout: serviceIdleTimeout,
	}, tcp.NewDial(serviceDialTimeout))}
}

func (n *Node) newStore(files []config.File) (*config.Store, error) {
	s := config.Settings{
		Name: n.settings.Name, BootID: n.bootID, Loop: n.loop, Clock: n.clock, Random: rand.IntN,
		View: n.members.Snapshot,
		Offer: func(ctx context.Context, addr, name string, m config.Manifest) (int64, error) {
			return configrpc.Client{Conn: n.pool.Conn}.Offer(ctx, addr, name, m)
		},
		Fetch: func(ctx context.Context, addr string, d config.Digest) ([]byte, error) {
			return configrpc.Client{Conn: n.pool.Conn}.Fetch(ctx, addr, d)
		},
		OnError: n.onControlError,
	}
	if files != nil {
		return config.NewStaticStore(s, 1, files)
	}
	if n.platform != nil {
		return config.NewRegistryStore(s), nil
	}
	reader := config.ServiceReader{URL: n.settings.Config.String(), Client: n.httpClient}
	s.ReadManifest, s.ReadPart = reader.Manifest, reader.Part
	return config.NewStore(s), nil
}

// failureMessages holds by control activity the log message for its failure, with a remedy. The keys are the activities that
// are passed to OnError.
var failureMessages = map[string]journal.Message{
	"reading the manifest":      "configuration service returned no manifest: check --config and the service",
	"reading the instance list": "instance list could not be read: check --list and its service",
	"heartbeat":                 "two manifests have the same version: publish the right one under a higher number",
	"offer":                     "two manifests have the same version: publish the right one under a higher number",
	"fetching a manifest":       "manifest of another node could not be fetched: check the connections between nodes",
	"fetching a version":        "version could not be fetched: publish all its parts, and check the connections between nodes",
	"building a version":        "version was rejected: check the declarations with verbctl check",
	"reading the registry":      "registry could not be read",
	"watching the registry":     "changes of the registry could not be read",
	"reading an item":           "an entry of the registry cannot be used and is left out",
	"passing news on":           "changes of the registry could not be passed on to another node",
	"exchanging notices":        "load reports could not be exchanged with other nodes",
	"offering a version":        "version could not be offered: check the connections between nodes",
}

// onControlError logs the failure of a control activity.
func (n *Node) onControlError(activity string, err error) {
	message, ok := failureMessages[activity]
	if !ok {
		message = "control activity failed"
	}
	n.journal.WarnRecurring(message, journal.Cause(err))
}

// onConfigChange applies a new configuration tree to the parts that depend on it; it runs on the control goroutine.
func (n *Node) onConfigChange(now time.Time, t config.Tree) {
	n.admission.SetFleet(now, t.Fleet())
	if n.platform != nil {
		n.applyPlatformState(now)
	} else {
		n.limiter.SetTree(now, t)
		n.limiter.SetHomeVersions(now, n.store.Snapshot().HomeVersions(now))
		n.admission.SetSlots(now, n.targetSlots(t))
		n.admission.SetEvacuated(now, t.IsEvacuated(n.settings.Domain))
	}
	n.journal.Info("configuration in force", journal.Version(t.Version()))
	if faults := t.Faults(); len(faults) > 0 {
		n.journal.Error("parts of the configuration cannot be read, and requests that need them are refused: correct them, and publish it under a higher number",
			journal.Version(t.Version()), journal.Count(len(faults)), journal.Cause(n.store.Rejection()))
	}
}

// targetSlots returns how many concurrent requests the warm target has capacity for: the most that a route of its service
// allows, where a route allows no more than its connections.
func (n *Node) targetSlots(t config.Tree) int {
	slots := 1
	for _, r := range t.Routes() {
		if r.Service == n.currentSettings().service {
			slots = max(slots, min(r.Slots, r.Conns))
		}
	}
	return slots
}

// onHeartbeat applies the configuration versions that another node's heartbeat reports; it runs on the control goroutine.
func (n *Node) onHeartbeat(at time.Time, h instance.Heartbeat) {
	n.store.ReceiveHeartbeat(at, h)
	n.limiter.SetHomeVersions(at, n.store.Snapshot().HomeVersions(at))
}

// onMembersChange applies the listed state of this node's own target; it runs on the control goroutine.
func (n *Node) onMembersChange(now time.Time, v instance.View) {
	if n.platform != nil {
		n.applyPlatformState(now)
		return
	}
	inst, ok := v.Instance(n.settings.Name)
	n.admission.SetLeavingOnLoop(now, n.isLeaving() || (ok && inst.State == instance.StateLeaving))
}

func (n *Node) canRefill(now time.Time) bool {
	v := n.store.Snapshot()
	return v.ServeStatus(now).Code == config.StatusServe && v.HasQuorum(now)
}

// sendLeaseRequest asks a home for a lease; if this node is the home, no message is sent.
func (n *Node) sendLeaseRequest(ctx context.Context, home string, req account.LeaseRequest) (account.Grant, error) {
	if home == n.settings.Name {
		return n.limiter.GrantLease(ctx, req)
	}
	return accountrpc.Client{Conn: n.homeConn}.Send(ctx, home, req)
}

// UnlistedError reports a home that is not in the instance list.
type UnlistedError struct{ Name string }

func (e UnlistedError) Error() string { return "daemon: instance " + e.Name + " is not listed" }

func (n *Node) homeConn(home string) (grpc.ClientConnInterface, error) {
	inst, ok := n.members.Snapshot().ByNode(home)
	if !ok {
		return nil, UnlistedError{Name: home}
	}
	return n.pool.Conn(inst.ControlAddr)
}
