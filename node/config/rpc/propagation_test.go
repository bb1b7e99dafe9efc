package rpc

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/config/rpc/pb"
	"verbenapin.dev/node/instance"
	instances "verbenapin.dev/node/instance/rpc"
	instancespb "verbenapin.dev/node/instance/rpc/pb"
	"verbenapin.dev/node/loop"
)

// fakeServices serves the configuration and the instance list; it answers long polls at once.
type fakeServices struct {
	mu     sync.Mutex
	values map[string][]byte
	down   bool
}

func (s *fakeServices) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.values[strings.TrimPrefix(r.URL.Path, "/v1/")]
	switch {
	case s.down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !ok:
		http.NotFound(w, r)
	default:
		etag := fmt.Sprintf("%q", config.KeyDigest(string(data)))
		w.Header().Set("Etag", etag)
		if r.URL.Query().Get("etag") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		_, _ = w.Write(data)
	}
}

func (s *fakeServices) set(change func(values map[string][]byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.values)
}

func (s *fakeServices) publish(t *testing.T, version int64) {
	m, parts, err := config.Pack(version, []config.File{{Name: "tree.yaml", Data: []byte(fmt.Sprintf("fleet: {homes: [n0, n1, n2]}\n# %d\n", version))}})
	require.NoError(t, err)
	s.set(func(values map[string][]byte) {
		values["values/manifest"] = m.Bytes()
		for d, data := range parts {
			values["values/part-"+d.String()] = data
		}
	})
}

// startNode connects a store and instance.Members as the daemon does; it returns the store, its control address and a
// function that stops the node.
func startNode(t *testing.T, name, url string, c *clock.Clock) (*config.Store, string, func()) {
	l := loop.New(c.Now)
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		_ = l.Serve(context.Background())
	}()
	pool := instances.NewPool(grpc.WithTransportCredentials(insecure.NewCredentials()))
	client := Client{Conn: pool.Conn}
	reader := config.ServiceReader{URL: url, Client: http.DefaultClient}
	var members *instance.Members
	boot := rand.Uint32()
	store := config.NewStore(config.Settings{
		Name: name, BootID: boot, Loop: l, Clock: c, Random: rand.IntN,
		View:         func() instance.View { return members.Snapshot() },
		ReadManifest: reader.Manifest, ReadPart: reader.Part, Offer: client.Offer, Fetch: client.Fetch,
	})
	members = instance.NewMembers(instance.Settings{
		Name: name, BootID: boot, Loop: l, Clock: c, Random: rand.IntN,
		List:          instance.ListReader{URL: url, Client: http.DefaultClient}.Read,
		Exchange:      instances.Client{Conn: pool.Conn, Now: c.Now}.Exchange,
		IsRefused:     func(err error) bool { return status.Code(err) == codes.Unavailable },
		VersionReport: store.VersionReport,
	})
	members.OnHeartbeat(store.ReceiveHeartbeat)
	server := grpc.NewServer()
	pb.RegisterConfigsServer(server, &Server{Receive: store.ReceiveOffer, Value: store.Blob})
	instancespb.RegisterInstancesServer(server, &instances.Server{OwnHeartbeat: members.OwnHeartbeat, Receive: members.Receive, Now: c.Now})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	store.Start()
	members.Start()
	return store, listener.Addr().String(), func() {
		members.Close()
		store.Close()
		server.Stop()
		<-served
		pool.Close()
		l.Close()
		<-loopDone
	}
}

// TestPropagationOverNetwork guards against faults between packages config and instance: changes that do not reach all nodes,
// and nodes that stop serving during an outage of the service.
func TestPropagationOverNetwork(t *testing.T) {
	manual := clock.NewManual(time.Unix(1_000_000, 0))
	services := &fakeServices{values: map[string][]byte{}}
	server := httptest.NewServer(services)
	var list []instance.Instance
	var stores []*config.Store
	for i := range 5 {
		name := fmt.Sprintf("n%d", i)
		store, addr, stop := startNode(t, name, server.URL, manual.Clock())
		defer stop()
		list = append(list, instance.Instance{Name: name, ControlAddr: addr, State: instance.StateLive})
		stores = append(stores, store)
	}
	data, err := json.Marshal(list)
	require.NoError(t, err)
	services.set(func(values map[string][]byte) { values["instances"] = data })
	advanceUntil := func(condition func() bool) {
		require.Eventually(t, func() bool {
			manual.Advance(10 * time.Millisecond)
			return condition()
		}, 60*time.Second, time.Millisecond)
	}
	serving := func(version int64) func() bool {
		return func() bool {
			for _, s := range stores {
				if tree, err := s.ServingTree(); err != nil || tree.Version() != version {
					return false
				}
			}
			return true
		}
	}
	services.publish(t, 1)
	advanceUntil(serving(1))
	services.publish(t, 2)
	advanceUntil(serving(2))
	services.mu.Lock()
	services.down = true
	services.mu.Unlock()
	// After twice MaxConfirmationAge, only heartbeats of homes can still confirm the version.
	end := manual.Now().Add(2 * config.MaxConfirmationAge)
	advanceUntil(func() bool { return manual.Now().After(end) })
	advanceUntil(serving(2))
	for _, s := range stores {
		require.True(t, s.Snapshot().HasQuorum(manual.Now()))
	}
	server.Close()
	http.DefaultClient.CloseIdleConnections()
}
