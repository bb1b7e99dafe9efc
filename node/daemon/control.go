package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
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
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/instance/rpc"
	"verbenapin.dev/node/instance/rpc/pb"
	"verbenapin.dev/node/journal"
	"verbenapin.dev/node/peer"
	registryrpc "verbenapin.dev/node/registry/rpc"
	registrypb "verbenapin.dev/node/registry/rpc/pb"
)

const (
	// maxMessage bounds a control message; a part has at most 512 KB.
	maxMessage = 1 << 20
	// controlIdle closes a control connection that carries no messages.
	controlIdle = time.Minute
	// controlWindow is a fixed receive window: gRPC otherwise sends a ping with each message to adapt it to the
	// path. 64 KB carry a part of 512 KB in 8 round trips.
	controlWindow = 64 << 10
	// controlBuffer holds a heartbeat or a LeaseRequest; the default of 32 KB in each direction is memory that 1,200 borrowers
	// of a home would take 1,200 times.
	controlBuffer  = 2 << 10
	maxBackoff     = time.Second
	connectTimeout = 500 * time.Millisecond
)

// dialOptions returns the settings of control connections, which are plain without an identity.
func dialOptions(i *peer.Identity) []grpc.DialOption {
	creds := insecure.NewCredentials()
	if i != nil {
		creds = credentials.NewTLS(i.ControlConfig("h2"))
	}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithIdleTimeout(controlIdle),
		grpc.WithConnectParams(connectParams()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithStaticStreamWindowSize(controlWindow),
		grpc.WithStaticConnWindowSize(controlWindow),
		grpc.WithReadBufferSize(controlBuffer),
		grpc.WithWriteBufferSize(controlBuffer),
	}
}

// newControl returns the gRPC server for heartbeats, versions and account shares.
func (n *Node) newControl() *grpc.Server {
	creds := insecure.NewCredentials()
	if n.identity != nil {
		creds = credentials.NewTLS(n.identity.ServerConfig("h2"))
	}
	s := grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.StaticStreamWindowSize(controlWindow),
		grpc.StaticConnWindowSize(controlWindow),
		grpc.ReadBufferSize(controlBuffer),
		grpc.WriteBufferSize(controlBuffer),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 2 * controlIdle}),
	)
	pb.RegisterInstancesServer(s, &rpc.Server{OwnHeartbeat: n.members.OwnHeartbeat, Receive: n.members.Receive, Now: n.clock.Now})
	configpb.RegisterConfigsServer(s, &configrpc.Server{Receive: n.store.ReceiveOffer, Value: n.store.Blob})
	accountrpc.NewServer(n.limiter.GrantLease).Register(s)
	if n.feed != nil {
		registrypb.RegisterRegistryServer(s, &registryrpc.Server{Receive: n.feed.Receive})
	}
	return s
}

// refused tells whether a node refused the connection, which a paused or unreachable one does not.
func refused(err error) bool {
	// gRPC reports a failed connection as text only.
	return errors.Is(err, syscall.ECONNREFUSED) ||
		(status.Code(err) == codes.Unavailable && containsRefused(err.Error()))
}

func (n *Node) memberSettings() instance.Settings {
	s := instance.Settings{
		Name: n.settings.Name, BootID: n.boot, Loop: n.loop, Clock: n.clock, Random: rand.IntN,
		Refused:  refused,
		Evidence: func(now time.Time) instance.VersionReport { return n.store.Evidence(now) },
		OnError:  n.failed,
	}
	if n.settings.List != nil {
		s.List = instance.ListReader{URL: n.settings.List.String(), Client: n.services}.Read
		s.Exchange = func(ctx context.Context, addr string, own instance.Heartbeat) (instance.Heartbeat, error) {
			return rpc.Client{Conn: n.pool.Conn, Now: n.clock.Now}.Exchange(ctx, addr, own)
		}
	}
	return s
}

func (n *Node) newStore(files []config.File) (*config.Store, error) {
	s := config.Settings{
		Name: n.settings.Name, Boot: n.boot, Loop: n.loop, Clock: n.clock, Random: rand.IntN,
		View: n.members.Snapshot,
		Offer: func(ctx context.Context, addr, name string, m config.Manifest) (int64, error) {
			return configrpc.Client{Conn: n.pool.Conn}.Offer(ctx, addr, name, m)
		},
		Fetch: func(ctx context.Context, addr string, d config.Digest) ([]byte, error) {
			return configrpc.Client{Conn: n.pool.Conn}.Fetch(ctx, addr, d)
		},
		OnError: n.failed,
	}
	if files != nil {
		return config.NewStaticStore(s, 1, files)
	}
	if n.platform != nil {
		return config.NewRegistryStore(s), nil
	}
	reader := config.ServiceReader{URL: n.settings.Config.String(), Client: n.services}
	s.ReadManifest, s.ReadPart = reader.Manifest, reader.Part
	return config.NewStore(s), nil
}

// faults tell for each control activity what its failure means and what to do.
var faults = map[string]journal.Message{
	"reading the manifest":      "configuration service gave no manifest: check --config and the service",
	"reading the instance list": "instance list could not be read: check --list and its service",
	"heartbeat":                 "two manifests have one version: publish the right one under a higher number",
	"offer":                     "two manifests have one version: publish the right one under a higher number",
	"fetching a manifest":       "manifest of another node could not be fetched: check the connections between nodes",
	"fetching a version":        "version could not be fetched: publish all its parts, and check the connections between nodes",
	"building a version":        "version was rejected: check the declarations with verbctl check",
	"reading the registry":      "registry could not be read",
	"watching the registry":     "changes of the registry could not be read",
	"reading an item":           "an entry of the registry cannot be used and is left out",
	"passing news on":           "changes of the registry could not be passed on to another node",
	"exchanging notices":        "notices of load could not be exchanged with other nodes",
	"offering a version":        "version could not be offered: check the connections between nodes",
}

// failed logs the failure of a control activity.
func (n *Node) failed(what string, err error) {
	message, ok := faults[what]
	if !ok {
		message = "control activity failed"
	}
	n.journal.WarnRecurring(message, journal.Cause(err))
}

// onTree passes a new tree to the other slices; it runs on the control goroutine.
func (n *Node) onTree(now time.Time, t config.Tree) {
	if n.platform != nil {
		n.onFleet(now)
	} else {
		n.limiter.SetConfig(now, t)
		n.limiter.SetHomeVersions(now, n.store.Snapshot().HomeVersions(now))
		n.admission.SetSlots(now, n.slots(t))
		n.admission.SetEvacuated(now, t.IsEvacuated(n.settings.Domain))
	}
	n.journal.Info("configuration in force", journal.Version(t.Version()))
}

// slots returns how many requests at once the warm target has capacity for: the most of its service's routes,
// and never more than its connections.
func (n *Node) slots(t config.Tree) int {
	slots := 1
	for _, r := range t.Routes() {
		if r.Service == n.live().service {
			slots = max(slots, min(r.Slots, r.Conns))
		}
	}
	return slots
}

// onHeartbeat takes what another node's heartbeat says of versions; it runs on the control goroutine.
func (n *Node) onHeartbeat(at time.Time, b instance.Heartbeat) {
	n.store.ReceiveHeartbeat(at, b)
	n.limiter.SetHomeVersions(at, n.store.Snapshot().HomeVersions(at))
}

// onView follows what the platform says of this node's own target; it runs on the control goroutine.
func (n *Node) onView(now time.Time, v instance.View) {
	if n.platform != nil {
		n.onFleet(now)
		return
	}
	row, ok := v.Instance(n.settings.Name)
	n.admission.SetLeavingOnLoop(now, n.isLeaving() || (ok && row.State == instance.StateLeaving))
}

func (n *Node) mayRefill(now time.Time) bool {
	v := n.store.Snapshot()
	return v.ServeStatus(now).Code == config.StatusServe && v.HasQuorum(now)
}

// sendLeaseRequest asks a home for tokens; this node's own share needs no message.
func (n *Node) sendLeaseRequest(ctx context.Context, home string, take account.LeaseRequest) (account.Grant, error) {
	if home == n.settings.Name {
		return n.limiter.GrantLease(ctx, take)
	}
	return accountrpc.Client{Conn: n.connTo}.Send(ctx, home, take)
}

// UnlistedError reports a home that is not in the instance list.
type UnlistedError struct{ Name string }

func (e UnlistedError) Error() string { return "daemon: instance " + e.Name + " is not listed" }

func (n *Node) connTo(home string) (grpc.ClientConnInterface, error) {
	row, ok := n.members.Snapshot().ByNode(home)
	if !ok {
		return nil, UnlistedError{Name: home}
	}
	return n.pool.Conn(row.ControlAddr)
}
