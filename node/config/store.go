package config

import (
	"context"
	"sync/atomic"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/loop"
	"verbenapin.dev/node/watch"
)

// Intervals and limits of the propagation of versions.
const (
	tickInterval       = 200 * time.Millisecond
	homePollWait       = time.Second     // long poll of a home; the age of an answer counts from the request, so a longer poll would yield an old confirmation
	homeContactTimeout = 2 * time.Second // a node without a heartbeat from any home for this long reads the service itself
	readInterval       = 2 * time.Second // mean interval between reads by a node that is not a home
	fetchTimeout       = 2 * time.Second
	offerTimeout       = time.Second
	retryDelay         = time.Second
	fanout             = 3 // offers per node; the number of nodes that hold a version grows fourfold each round, which reaches 1,200 nodes in about 5 rounds
	maxSources         = 4 // sources tried for one part; a home also falls back to the service
)

// Settings holds the dependencies of a Store.
type Settings struct {
	Name   string
	BootID uint32
	Loop   *loop.Loop
	Clock  *clock.Clock
	Random func(n int) int
	// View returns the view of the fleet; it is called on the control goroutine.
	View func() instance.View
	// ReadManifest reads the manifest from the configuration service; nil means that there is none.
	ReadManifest func(ctx context.Context, etag string, wait time.Duration) (m Manifest, tag string, changed bool, err error)
	// ReadPart reads a part from the configuration service.
	ReadPart func(ctx context.Context, d Digest) ([]byte, error)
	// Offer announces a version to the node at addr; the named instance holds it.
	Offer func(ctx context.Context, addr, name string, m Manifest) (int64, error)
	// Fetch reads a manifest or part from the node at addr.
	Fetch func(ctx context.Context, addr string, d Digest) ([]byte, error)
	// OnError is called with each error and the operation that failed, for the log; nil discards them.
	OnError func(operation string, err error)
}

// Store holds the configuration of a node and propagates its versions to other nodes.
type Store struct {
	settings      Settings
	state         atomic.Pointer[State]
	ctx           context.Context
	cancel        context.CancelFunc
	calls         loop.Group
	subscriptions []*clock.Subscription
	rejection     atomic.Pointer[Rejection] // nil until a version was built

	// Owned by the control goroutine.
	parts            map[Digest][]byte
	fetching         bool   // parts are being fetched
	fetchingManifest bool   // a manifest mentioned in a heartbeat is being fetched
	pendingSource    string // control address of the peer that offered the pending version, empty for the service
	etag             string
	lastAnswer       serviceAnswer // version and digest of the manifest that etag identifies
	reportedConflict Digest        // last conflicting manifest reported from a heartbeat
	schedule         *watch.Schedule
	onChange         []func(now time.Time, t Tree)
}

// NewStore returns a store that reads the configuration service once started.
func NewStore(s Settings) *Store {
	// A random delay of the first read spreads the load when a whole fleet starts at once.
	first := s.Clock.Now().Add(time.Duration(s.Random(int(homeContactTimeout))))
	c := &Store{settings: s, schedule: watch.NewSchedule(first), parts: map[Digest][]byte{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	v := NewState(s.Name, s.BootID)
	c.state.Store(&v)
	return c
}

// NewStaticStore returns a store with one fixed tree. A static node is its own only home.
func NewStaticStore(s Settings, version int64, files []File) (*Store, error) {
	m, parts, err := Pack(version, files)
	if err != nil {
		return nil, err
	}
	t, err := Build(m, parts)
	if err != nil {
		return nil, err
	}
	t.fleet.Homes, t.fleet.Retired = []string{s.Name}, nil
	c := NewStore(s)
	c.parts = parts
	v := c.Snapshot().WithStatic(m, t)
	c.state.Store(&v)
	return c, nil
}

// NewRegistryStore returns a store that gets its versions from the platform's registry, through Adopt.
func NewRegistryStore(s Settings) *Store {
	c := NewStore(s)
	v := c.Snapshot().WithRegistry()
	c.state.Store(&v)
	return c
}

// Adopt replaces the held tree by a higher version from the registry and reports whether it did; it must be called on the control goroutine.
func (c *Store) Adopt(now time.Time, d Digest, t Tree) bool {
	before := c.Snapshot()
	m := Manifest{Version: t.Version(), Parts: []Part{{Name: "registry", Sha256: d.String()}}}
	v := before.WithTree(m, t)
	if v.Version() == before.Version() {
		return false
	}
	c.state.Store(&v)
	rejection := Rejection{}
	if faults := t.Faults(); len(faults) > 0 {
		rejection = Rejection{Version: t.Version(), Parts: faults}
	}
	c.rejection.Store(&rejection)
	c.notifyChange(now, t)
	return true
}

// Reject records that the newest configuration of the registry cannot be read, and returns what is not in force for that.
func (c *Store) Reject(reason string) Rejection {
	r := Rejection{Version: UnknownVersion, Reason: reason}
	c.rejection.Store(&r)
	return r
}

// OnChange registers a callback that runs on the control goroutine with each new tree; it must be called before Start.
func (c *Store) OnChange(f func(now time.Time, t Tree)) { c.onChange = append(c.onChange, f) }

// Start starts to read the service; a static store only passes its tree to the callbacks, and a registry store does nothing.
func (c *Store) Start() {
	if v := c.Snapshot(); v.static {
		c.post(func(now time.Time) { c.notifyChange(now, v.tree) })
		return
	}
	if c.Snapshot().fromRegistry {
		return
	}
	tick := func(time.Time) { c.post(c.tick) }
	c.subscriptions = append(c.subscriptions, c.settings.Clock.Subscribe(tickInterval, tick))
}

// Close cancels all calls and waits until they have returned.
func (c *Store) Close() {
	c.cancel()
	for _, s := range c.subscriptions {
		s.Close()
	}
	c.calls.Close()
}

// Snapshot returns the current state; any goroutine may call it.
func (c *Store) Snapshot() State { return *c.state.Load() }

// ServeStatus returns whether the node may serve now, and why; any goroutine may call it.
func (c *Store) ServeStatus() ServeStatus { return c.state.Load().ServeStatus(c.settings.Clock.Now()) }

// Rejection returns what of the newest version is not in force; any goroutine may call it.
func (c *Store) Rejection() Rejection {
	if r := c.rejection.Load(); r != nil {
		return *r
	}
	return Rejection{}
}

// ServingTree returns the tree, or a refusal if the node may not serve from it now; any goroutine may call it.
func (c *Store) ServingTree() (Tree, error) {
	v := c.state.Load()
	switch status := v.ServeStatus(c.settings.Clock.Now()); status.Code {
	case StatusEmpty:
		return Tree{}, answer.NewNotExecuted(answer.CodeEmpty, status.Reason)
	case StatusStale:
		return Tree{}, answer.NewNotExecuted(answer.CodeStale, status.Reason)
	default:
		return v.tree, nil
	}
}

// Homes returns the known state of each home that is not retired, this node included; any goroutine may call it.
func (c *Store) Homes() []Home { return c.state.Load().Homes(c.settings.Clock.Now()) }

// VersionReport returns the version report for this node's heartbeats.
func (c *Store) VersionReport(now time.Time) instance.VersionReport {
	return c.state.Load().VersionReport(now)
}

// ReceiveHeartbeat handles the heartbeat of another node, whose ages are relative to at; it must be called on the control goroutine.
func (c *Store) ReceiveHeartbeat(at time.Time, hb instance.Heartbeat) {
	v := c.Snapshot().WithHeartbeat(at, hb)
	c.state.Store(&v)
	if hb.Version > v.Version() && hb.Version > v.Pending().Version && !c.fetchingManifest {
		if row, ok := c.settings.View().Instance(hb.Name); ok {
			c.fetchManifest(row.ControlAddr, hb.Name, hb.Manifest)
		}
	}
	if hb.Version == v.Version() && hb.Manifest != v.Digest() && hb.Manifest != c.reportedConflict {
		c.reportedConflict = hb.Manifest // reported once, since each heartbeat carries it again
		c.reportError("heartbeat", ConflictError{Version: hb.Version, From: hb.Name, Digest: hb.Manifest})
	}
}

// ReceiveOffer handles an offer of the named instance and returns the version and digest that this node holds.
func (c *Store) ReceiveOffer(ctx context.Context, name string, m Manifest) (int64, Digest, error) {
	var version int64
	var d Digest
	err := c.settings.Loop.Call(ctx, func(now time.Time) {
		if row, ok := c.settings.View().Instance(name); ok {
			c.handleOffer(now, row.ControlAddr, name, m)
		}
		v := c.Snapshot()
		version, d = v.Version(), v.Digest()
	})
	if err != nil {
		return 0, Digest{}, err
	}
	return version, d, nil
}

// Blob returns the held manifest or one of its parts by digest; it reports false if the node holds neither.
func (c *Store) Blob(ctx context.Context, d Digest) ([]byte, bool, error) {
	var data []byte
	var ok bool
	err := c.settings.Loop.Call(ctx, func(time.Time) {
		v := c.Snapshot()
		if v.Version() > 0 && d == v.Digest() {
			data, ok = v.Manifest().Bytes(), true
			return
		}
		data, ok = c.parts[d]
	})
	if err != nil {
		return nil, false, err
	}
	return data, ok, nil
}

func (c *Store) tick(now time.Time) {
	v := c.Snapshot()
	if c.settings.View().HasList() && v.contactingSince.IsZero() {
		v = v.WithContactStarted(now)
		c.state.Store(&v)
	}
	if c.settings.ReadManifest == nil {
		return
	}
	home := v.IsHome()
	if !home && now.Sub(v.LastHomeContact()) < homeContactTimeout {
		return
	}
	if c.schedule.TryStart(now) {
		c.readService(now, home)
	}
}

func (c *Store) notifyChange(now time.Time, t Tree) {
	for _, f := range c.onChange {
		f(now, t)
	}
}

func (c *Store) reportError(operation string, err error) {
	if c.settings.OnError != nil && c.ctx.Err() == nil {
		c.settings.OnError(operation, err)
	}
}

func (c *Store) post(run loop.Event) { _ = c.settings.Loop.Post(c.ctx, run) }
