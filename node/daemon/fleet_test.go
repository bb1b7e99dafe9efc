package daemon

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/instance"
)

// TestMain guards against goroutines that outlive the end of a node.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// configServer is a fake configuration service and instance list.
type configServer struct {
	mu     sync.Mutex
	values map[string][]byte
	list   []instance.Instance
	down   bool
}

func (s *configServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.values[strings.TrimPrefix(r.URL.Path, "/v1/values/")]
	if r.URL.Path == "/v1/instances" {
		data, _ = json.Marshal(s.list)
		ok = true
	}
	switch {
	case s.down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	default:
		etag := fmt.Sprintf("%q", config.KeyDigest(string(data)).String())
		w.Header().Set("Etag", etag)
		if r.URL.Query().Get("etag") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		_, _ = w.Write(data)
	}
}

func (s *configServer) publish(t testing.TB, version int64, tree string) {
	t.Helper()
	m, parts, err := config.Pack(version, []config.File{{Name: "tree.yaml", Data: []byte(tree)}})
	require.NoError(t, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	for d, data := range parts {
		s.values["part-"+d.String()] = data
	}
	s.values["manifest"] = m.Bytes()
}

// publishRejected publishes a version that every node rejects. Pack returns no such version, so its parts are altered.
func (s *configServer) publishRejected(t *testing.T, version int64) {
	t.Helper()
	m, parts, err := config.Pack(version, []config.File{{Name: "tree.yaml", Data: []byte("routes: {}\n")}})
	require.NoError(t, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	for d, data := range parts {
		data = bytes.Replace(data, []byte("routes"), []byte("routed"), 1)
		s.values["part-"+config.KeyDigest(string(data)).String()] = data
		s.values["manifest"] = bytes.Replace(m.Bytes(), []byte(d.String()), []byte(config.KeyDigest(string(data)).String()), 1)
	}
}

// testInstance describes one instance of a test fleet.
type testInstance struct {
	name, domain, service string
	target                http.HandlerFunc
	flags                 []string
}

// testNode is a node under test with its target.
type testNode struct {
	*Node
	target *httptest.Server
	stop   context.CancelFunc
	ended  chan error
}

func (n *testNode) url(path string) string { return "http://" + n.CallerAddress() + path }

type testFleet struct {
	configServer *configServer
	nodes        map[string]*testNode
}

// startFleet runs a node beside each target until the test ends, and waits until all serve testTree.
func startFleet(t testing.TB, instances ...testInstance) *testFleet {
	t.Helper()
	f := &testFleet{configServer: &configServer{values: map[string][]byte{}}, nodes: map[string]*testNode{}}
	server := httptest.NewServer(f.configServer)
	t.Cleanup(server.Close)
	f.configServer.publish(t, 1, testTree)
	dir := t.TempDir()
	names := make([]string, 0, len(instances))
	for _, inst := range instances {
		names = append(names, inst.name)
	}
	writeCertificates(t, dir, names)
	for _, inst := range instances {
		f.nodes[inst.name] = startNode(t, dir, server.URL, inst)
	}
	for _, inst := range instances {
		n := f.nodes[inst.name]
		f.configServer.list = append(f.configServer.list, instance.Instance{
			Name: inst.name, Domain: inst.domain, Service: inst.service, State: instance.StateLive,
			PeerAddr: n.listeners.peer.Addr().String(), ControlAddr: n.listeners.control.Addr().String(), CallerAddr: n.CallerAddress(),
		})
	}
	for _, n := range f.nodes {
		go func() { n.ended <- n.Run(n.context(t)) }()
	}
	for _, n := range f.nodes {
		require.Eventually(t, func() bool { return n.serves(len(instances)) }, 15*time.Second, 20*time.Millisecond, "node does not serve")
	}
	return f
}

// serves reports whether the node may serve and knows the whole list.
func (n *testNode) serves(instances int) bool {
	return n.store.ServeStatus().Code == config.StatusServe && len(n.members.Snapshot().Instances(time.Now(), instance.StatusLive)) == instances
}

func (n *testNode) context(t testing.TB) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	t.Cleanup(func() {
		cancel()
		<-n.ended
	})
	return ctx
}

func startNode(t testing.TB, dir, serviceURL string, inst testInstance) *testNode {
	t.Helper()
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != defaultProbePath {
			inst.target(w, r)
		}
	}))
	t.Cleanup(target.Close)
	s, err := ParseSettings(append([]string{
		"--name", inst.name, "--domain", inst.domain, "--service", inst.service, "--target", target.URL,
		"--caller", "127.0.0.1:0", "--peer", "127.0.0.1:0", "--control", "127.0.0.1:0", "--admin", "127.0.0.1:0",
		"--config", serviceURL, "--list", serviceURL, "--log", "error", "--grace", "10s",
		"--cert", filepath.Join(dir, "cert.pem"), "--key", filepath.Join(dir, "key.pem"), "--ca", filepath.Join(dir, "cert.pem"),
	}, inst.flags...))
	require.NoError(t, err)
	n, err := New(s, PolicyFromEnv(func(string) string { return "" }), io.Discard)
	require.NoError(t, err)
	return &testNode{Node: n, target: target, ended: make(chan error, 2)}
}

// writeCertificates writes one self-signed certificate that holds all names.
func writeCertificates(t testing.TB, dir string, names []string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, DNSNames: names,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	write := func(name, kind string, data []byte) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
	}
	write("cert.pem", "CERTIFICATE", der)
	write("key.pem", "PRIVATE KEY", private)
}

// newClient returns a client that leaves responses compressed and closes its idle connections after the test.
func newClient(t testing.TB) *http.Client {
	t.Helper()
	tr := &http.Transport{DisableCompression: true}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: 20 * time.Second}
}
