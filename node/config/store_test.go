package config

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/loop"
)

// fakeService is a configuration service that can be down and counts the reads of its manifest.
type fakeService struct {
	mu       sync.Mutex
	manifest Manifest
	parts    map[Digest][]byte
	down     bool
	calls    int
}

func (s *fakeService) set(m Manifest, parts map[Digest][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manifest, s.parts = m, parts
}

func (s *fakeService) read(context.Context, string, time.Duration) (Manifest, string, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down || s.manifest.Version == 0 {
		return Manifest{}, "", false, errors.New("service is down")
	}
	return s.manifest, s.manifest.Digest().String(), true, nil
}

func (s *fakeService) part(_ context.Context, d Digest) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.parts[d]
	if !ok {
		return nil, errors.New("no part")
	}
	return data, nil
}

// group is a set of stores in one process that call each other directly.
type group struct {
	clock   *clock.Manual
	service *fakeService
	stores  map[string]*Store
	loops   map[string]*loop.Loop
	changes map[string]*atomic.Int64
	errs    sync.Map
}

func newGroup(t *testing.T, names ...string) *group {
	g := &group{
		clock: clock.NewManual(start), service: &fakeService{},
		stores: map[string]*Store{}, loops: map[string]*loop.Loop{}, changes: map[string]*atomic.Int64{},
	}
	var list []instance.Instance
	for _, n := range names {
		list = append(list, instance.Instance{Name: n, ControlAddr: n, State: instance.StateLive})
	}
	view := instance.View{}.WithList(start, list)
	for _, n := range names {
		l := loop.New(g.clock.Now)
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = l.Serve(context.Background())
		}()
		c := NewStore(Settings{
			Name: n, BootID: 1, Loop: l, Clock: g.clock.Clock(),
			Random:       func(int) int { return 0 },
			View:         func() instance.View { return view },
			ReadManifest: g.service.read,
			ReadPart:     g.service.part,
			Offer: func(ctx context.Context, addr, name string, m Manifest) (int64, error) {
				version, _, err := g.stores[addr].ReceiveOffer(ctx, name, m)
				return version, err
			},
			Fetch: func(ctx context.Context, addr string, d Digest) ([]byte, error) {
				data, ok, err := g.stores[addr].Blob(ctx, d)
				if err == nil && !ok {
					err = errors.New("no value")
				}
				return data, err
			},
			OnError: func(operation string, err error) { g.errs.Store(operation, err) },
		})
		changes := &atomic.Int64{}
		c.OnChange(func(_ time.Time, tree Tree) { changes.Store(tree.Version()) })
		g.stores[n], g.loops[n], g.changes[n] = c, l, changes
		t.Cleanup(func() {
			l.Close()
			<-served
		})
	}
	for _, c := range g.stores {
		c.Start()
		t.Cleanup(c.Close)
	}
	return g
}

// advanceUntil advances the clock until the condition holds.
func (g *group) advanceUntil(t *testing.T, condition func() bool) {
	require.Eventually(t, func() bool {
		g.clock.Advance(100 * time.Millisecond)
		return condition()
	}, 20*time.Second, time.Millisecond)
}

func (g *group) allHold(version int64) func() bool {
	return func() bool {
		for n, c := range g.stores {
			if c.Snapshot().Version() != version || g.changes[n].Load() != version {
				return false
			}
		}
		return true
	}
}

// TestStorePropagation guards against a change that does not reach all nodes, is applied in part, or is served without a
// recent confirmation.
func TestStorePropagation(t *testing.T) {
	g := newGroup(t, "a", "b", "c", "d")
	_, err := g.stores["a"].ServingTree()
	var refused answer.Refusal
	require.ErrorAs(t, err, &refused)
	require.Equal(t, answer.CodeEmpty, refused.Code)

	m1, parts1, _ := packVersion(t, 1, "homes: [a]", "")
	g.service.set(m1, parts1)
	g.advanceUntil(t, g.allHold(1))
	tree, err := g.stores["a"].ServingTree()
	require.NoError(t, err)
	require.Equal(t, int64(1), tree.Version())

	// Without heartbeats and the service the other nodes stop serving; the only home continues.
	g.service.mu.Lock()
	g.service.down = true
	g.service.mu.Unlock()
	g.advanceUntil(t, func() bool {
		_, err := g.stores["d"].ServingTree()
		return errors.As(err, &refused) && refused.Code == answer.CodeStale
	})
	_, err = g.stores["a"].ServingTree()
	require.NoError(t, err)

	// A manifest is adopted only once all its parts are available.
	m2, parts2, _ := packVersion(t, 2, "homes: [a]", "two")
	g.service.mu.Lock()
	g.service.down, g.service.manifest = false, m2
	g.service.mu.Unlock()
	g.advanceUntil(t, func() bool {
		_, ok := g.errs.Load("fetching a version")
		return ok
	})
	require.True(t, g.allHold(1)())
	g.service.set(m2, parts2)
	g.advanceUntil(t, g.allHold(2))

	// A different manifest with the same version number is reported and not adopted.
	other, _, _ := packVersion(t, 2, "homes: [a]", "other")
	version, digest, err := g.stores["b"].ReceiveOffer(context.Background(), "c", other)
	require.NoError(t, err)
	require.Equal(t, int64(2), version)
	require.Equal(t, m2.Digest(), digest)
	failure, ok := g.errs.Load("offer")
	require.True(t, ok)
	require.ErrorAs(t, failure.(error), &ConflictError{})
}

// TestHeartbeatTriggersFetch guards against a version that is known only from heartbeats and never fetched.
func TestHeartbeatTriggersFetch(t *testing.T) {
	g := newGroup(t, "a", "b")
	m1, parts1, _ := packVersion(t, 1, "homes: [a]", "")
	g.service.set(m1, parts1)
	g.advanceUntil(t, g.allHold(1))
	m2, parts2, tree2 := packVersion(t, 2, "homes: [a]", "two")
	ctx := context.Background()
	require.NoError(t, g.loops["a"].Call(ctx, func(time.Time) {
		v := g.stores["a"].Snapshot().WithTree(m2, tree2)
		g.stores["a"].state.Store(&v)
		g.stores["a"].parts = parts2
	}))
	require.NoError(t, g.loops["b"].Call(ctx, func(now time.Time) {
		g.stores["b"].ReceiveHeartbeat(now, instance.Heartbeat{Name: "a", BootID: 1, VersionReport: g.stores["a"].VersionReport(now)})
	}))
	require.Eventually(t, func() bool { return g.changes["b"].Load() == 2 }, 20*time.Second, time.Millisecond)
	_, err := g.stores["b"].ServingTree()
	require.NoError(t, err)
}

// TestStaticStore guards against a static store that cannot serve without peers or a configuration service.
func TestStaticStore(t *testing.T) {
	l := loop.New(time.Now)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = l.Serve(context.Background())
	}()
	c, err := NewStaticStore(Settings{Name: "solo", Loop: l, Clock: clock.New(), Random: func(int) int { return 0 }}, 1, []File{sampleFile()})
	require.NoError(t, err)
	changed := make(chan int64, 1)
	c.OnChange(func(_ time.Time, tree Tree) { changed <- tree.Version() })
	c.Start()
	require.Equal(t, int64(1), <-changed)
	_, err = c.ServingTree()
	require.NoError(t, err)
	require.Len(t, c.Homes(), 1)
	require.Equal(t, "solo", c.Homes()[0].Name)
	require.True(t, c.Snapshot().HasQuorum(time.Now()))
	c.Close()
	l.Close()
	<-served
}

// TestServiceReader guards against values that are accepted although they are too large or cut off, against unchanged values
// that are reported as changed, and against failures that are taken for answers.
func TestServiceReader(t *testing.T) {
	m, parts, _ := packVersion(t, 1, "homes: [a]", "")
	d := m.Digests()[0]
	cases := map[string]struct {
		handler http.HandlerFunc
		etag    string
		changed bool
		want    string
	}{
		"first":       {handler: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Etag", `"1"`); _, _ = w.Write(m.Bytes()) }, changed: true},
		"unchanged":   {handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) }, etag: `"1"`},
		"same etag":   {handler: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Etag", `"1"`); _, _ = w.Write(m.Bytes()) }, etag: `"1"`},
		"changed":     {handler: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Etag", `"2"`); _, _ = w.Write(m.Bytes()) }, etag: `"1"`, changed: true},
		"absent":      {handler: http.NotFound, want: "no value"},
		"broken":      {handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, want: "502"},
		"too large":   {handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, strings.Repeat(" ", MaxManifest+1)) }, want: "larger than"},
		"no manifest": {handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "<html>") }, want: "reading a manifest"},
		"cut off early": {handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "99")
			_, _ = w.Write(m.Bytes()[:9])
		}, want: "reading a value"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(tc.handler)
			defer server.Close()
			r := ServiceReader{URL: server.URL, Client: server.Client()}
			got, _, changed, err := r.Manifest(context.Background(), tc.etag, time.Second)
			if tc.want != "" {
				require.ErrorContains(t, err, tc.want)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tc.changed, changed)
			if changed {
				require.Equal(t, m.Digest(), got.Digest())
			}
		})
	}
	var requestURI string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestURI = r.URL.RequestURI()
		_, _ = w.Write(parts[d])
	}))
	defer server.Close()
	r := ServiceReader{URL: server.URL, Client: server.Client()}
	data, err := r.Part(context.Background(), d)
	require.NoError(t, err)
	require.Equal(t, parts[d], data)
	require.Equal(t, "/v1/values/part-"+d.String(), requestURI)
	_, _, _, _ = r.Manifest(context.Background(), `"1"`, time.Second)
	require.Equal(t, "/v1/values/manifest?etag=%221%22&wait=1s", requestURI)
}
