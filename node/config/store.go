package config

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/loop"
	"verbenapin.dev/node/watch"
)

// Times and bounds of spreading versions.
const (
	tickEvery    = 200 * time.Millisecond
	homeWait     = time.Second     // a home's watch; an answer held longer would be too old as evidence
	quietTime    = 2 * time.Second // without a home's heartbeat a node reads the service itself
	readEvery    = 2 * time.Second // mean interval of such reads
	fetchTimeout = 2 * time.Second
	offerTimeout = time.Second
	retryPause   = time.Second
	fanout       = 3 // log4 of 1,200 nodes is about 5 rounds
	maxSources   = 4 // peers asked for one part
)

// Settings are what Store needs from the rest of the node.
type Settings struct {
	Name   string
	Boot   uint32
	Loop   *loop.Loop
	Clock  *clock.Clock
	Random func(n int) int
	// View returns the view of the fleet; it is called on the control goroutine.
	View func() instance.View
	// ReadManifest reads the manifest from the configuration service; nil means that there is none.
	ReadManifest func(ctx context.Context, etag string, wait time.Duration) (m Manifest, tag string, changed bool, err error)
	// ReadPart reads a part from the configuration service.
	ReadPart func(ctx context.Context, d Digest) ([]byte, error)
	// Offer tells the node at addr of a version that the named instance holds.
	Offer func(ctx context.Context, addr, name string, m Manifest) (int64, error)
	// Fetch reads a manifest or part from the node at addr.
	Fetch func(ctx context.Context, addr string, d Digest) ([]byte, error)
	// OnError is told of errors, for the log.
	OnError func(what string, err error)
}

// ConflictError reports two manifests under one number.
type ConflictError struct {
	Version int64
	From    string
	Digest  Digest
}

func (e ConflictError) Error() string {
	return fmt.Sprintf("config: another manifest (%s) under version %d from %s; the first one stays", e.Digest, e.Version, e.From)
}

// Store holds the configuration of a node and spreads its versions.
type Store struct {
	s       Settings
	state   atomic.Pointer[State]
	ctx     context.Context
	cancel  context.CancelFunc
	running loop.Group
	ticks   []*clock.Subscription
	// rejection is why the newest version was rejected, nil if it was not.
	rejection atomic.Pointer[string]

	// Owned by the control goroutine.
	parts    map[Digest][]byte
	fetching bool
	hinting  bool
	source   string // control address of the peer that offered the pending version, empty for the service
	etag     string
	seen     answered // the manifest that etag stands for
	reported Digest   // other manifest under the held number that was reported last
	pace     *watch.Schedule
	onChange []func(now time.Time, t Tree)
}

// NewStore returns a store that does nothing before Start.
func NewStore(s Settings) *Store {
	// A random first read spreads the reads of a fleet that starts all at once.
	first := s.Clock.Now().Add(time.Duration(s.Random(int(quietTime))))
	c := &Store{s: s, pace: watch.NewPace(first), parts: map[Digest][]byte{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	v := NewVersion(s.Name, s.Boot)
	c.state.Store(&v)
	return c
}

// NewStaticStore returns a store with one tree and no other source; its node is its own only home.
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

// NewRegistryStore returns a store whose versions come from the platform's registry by Adopt.
func NewRegistryStore(s Settings) *Store {
	c := NewStore(s)
	v := c.Snapshot().WithFeed()
	c.state.Store(&v)
	return c
}

// Adopt takes a tree of the registry unless a higher version is held; it must be called on the control goroutine.
func (c *Store) Adopt(now time.Time, d Digest, t Tree) bool {
	before := c.Snapshot()
	m := Manifest{Version: t.Version(), Parts: []Part{{Name: "registry", Sha256: d.String()}}}
	v := before.WithTree(m, t)
	c.state.Store(&v)
	if v.Version() == before.Version() {
		return false
	}
	c.announce(now, t)
	return true
}

// OnChange adds a function that is called on the control goroutine with each new tree; it must be added before Start.
func (c *Store) OnChange(f func(now time.Time, t Tree)) { c.onChange = append(c.onChange, f) }

// Start begins to read the service; with a static tree it announces that tree.
func (c *Store) Start() {
	if v := c.Snapshot(); v.static {
		c.post(func(now time.Time) { c.announce(now, v.tree) })
		return
	}
	if c.Snapshot().fed {
		return
	}
	tick := func(time.Time) { c.post(c.tick) }
	c.ticks = append(c.ticks, c.s.Clock.Subscribe(tickEvery, tick))
}

// Close stops all calls and waits for them.
func (c *Store) Close() {
	c.cancel()
	for _, t := range c.ticks {
		t.Close()
	}
	c.running.Close()
}

// Snapshot returns what the node knows of versions; any goroutine may call it.
func (c *Store) Snapshot() State { return *c.state.Load() }

// ServeStatus tells whether the node may serve now; any goroutine may call it.
func (c *Store) ServeStatus() ServeStatus { return c.state.Load().ServeStatus(c.s.Clock.Now()) }

// Rejection tells why the newest version was rejected, empty if it was not.
func (c *Store) Rejection() string {
	if text := c.rejection.Load(); text != nil {
		return *text
	}
	return ""
}

// ServingTree returns the tree, or a refusal if the node may not serve from it now; any goroutine may call it.
func (c *Store) ServingTree() (Tree, error) {
	v := c.state.Load()
	switch verdict := v.ServeStatus(c.s.Clock.Now()); verdict.Code {
	case StatusEmpty:
		return Tree{}, answer.NewNotExecuted(answer.CodeEmpty, verdict.Reason)
	case StatusStale:
		return Tree{}, answer.NewNotExecuted(answer.CodeStale, verdict.Reason)
	default:
		return v.tree, nil
	}
}

// Homes returns what the node knows of each home that is not retired, itself included; any goroutine may call it.
func (c *Store) Homes() []Home { return c.state.Load().Homes(c.s.Clock.Now()) }

// Evidence returns what this node's heartbeat says of versions.
func (c *Store) Evidence(now time.Time) instance.VersionReport { return c.state.Load().Evidence(now) }

// ReceiveHeartbeat takes the heartbeat of another node with ages as of at; it must be called on the control goroutine.
func (c *Store) ReceiveHeartbeat(at time.Time, b instance.Heartbeat) {
	v := c.Snapshot().WithBeat(at, b)
	c.state.Store(&v)
	if b.Version > v.Version() && b.Version > v.Pending().Version && !c.hinting {
		if row, ok := c.s.View().Instance(b.Name); ok {
			c.hint(row.ControlAddr, b.Name, b.Manifest)
		}
	}
	if b.Version == v.Version() && b.Manifest != v.Digest() && b.Manifest != c.reported {
		c.reported = b.Manifest // once, since heartbeats repeat it
		c.failed("heartbeat", ConflictError{Version: b.Version, From: b.Name, Digest: b.Manifest})
	}
}

// ReceiveOffer takes an offer of the named instance and returns what this node holds.
func (c *Store) ReceiveOffer(ctx context.Context, name string, m Manifest) (int64, Digest, error) {
	var version int64
	var d Digest
	err := c.s.Loop.Call(ctx, func(now time.Time) {
		if row, ok := c.s.View().Instance(name); ok {
			c.offer(now, row.ControlAddr, name, m)
		}
		v := c.Snapshot()
		version, d = v.Version(), v.Digest()
	})
	if err != nil {
		return 0, Digest{}, err
	}
	return version, d, nil
}

// Blob returns the held manifest or one of its parts.
func (c *Store) Blob(ctx context.Context, d Digest) ([]byte, bool, error) {
	var data []byte
	var ok bool
	err := c.s.Loop.Call(ctx, func(time.Time) {
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
	if c.s.View().HasList() && v.trying.IsZero() {
		v = v.WithTrying(now)
		c.state.Store(&v)
	}
	if c.s.ReadManifest == nil {
		return
	}
	home := v.IsHome()
	if !home && now.Sub(v.HomeHeard()) < quietTime {
		return
	}
	if c.pace.TryStart(now) {
		c.read(now, home)
	}
}

func (c *Store) read(now time.Time, home bool) {
	etag, wait := c.etag, time.Duration(0)
	if home {
		wait = homeWait
	}
	c.running.Go(func() {
		m, tag, changed, err := c.s.ReadManifest(c.ctx, etag, wait)
		c.post(func(done time.Time) {
			pause := time.Duration(0)
			if !home {
				pause = readEvery/2 + time.Duration(c.s.Random(int(readEvery)))
			}
			c.pace.Done(done, pause, err != nil)
			if err != nil {
				c.failed("reading the manifest", err)
				return
			}
			if changed {
				c.etag, c.seen = tag, answered{version: m.Version, digest: m.Digest()}
				c.offer(done, "", "the configuration service", m)
			}
			v := c.Snapshot().WithAnswer(now, c.seen.version, c.seen.digest)
			c.state.Store(&v)
		})
	})
}

// hint fetches the manifest that a heartbeat told of.
func (c *Store) hint(addr, name string, d Digest) {
	c.hinting = true
	c.running.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, fetchTimeout)
		defer cancel()
		data, err := c.s.Fetch(ctx, addr, d)
		var m Manifest
		if err == nil {
			m, err = ParseManifest(data)
		}
		c.post(func(now time.Time) {
			c.hinting = false
			if err != nil {
				c.failed("fetching a manifest", err)
				return
			}
			c.offer(now, addr, name, m)
		})
	})
}

func (c *Store) offer(now time.Time, addr, name string, m Manifest) {
	v, decision := c.Snapshot().WithOffer(m)
	c.state.Store(&v)
	switch decision {
	case Fetch:
		c.source = addr
		c.fetch(now)
	case Conflict:
		c.failed("offer", ConflictError{Version: m.Version, From: name, Digest: m.Digest()})
	}
}

// fetch starts to collect the parts of the pending version unless another fetch is under way.
func (c *Store) fetch(now time.Time) {
	m := c.Snapshot().Pending()
	if c.fetching || m.Version == 0 {
		return
	}
	c.fetching = true
	have := map[Digest][]byte{}
	for _, d := range m.Digests() {
		if data, ok := c.parts[d]; ok {
			have[d] = data
		}
	}
	sources := []string{c.source}
	for _, i := range c.s.View().Pick(now, maxSources-1, c.s.Name, c.s.Random) {
		sources = append(sources, i.ControlAddr)
	}
	if c.source != "" && c.s.ReadPart != nil && c.Snapshot().IsHome() {
		sources = append(sources, "")
	}
	c.running.Go(func() {
		err := c.collect(m, have, sources)
		var t Tree
		if err == nil {
			t, err = Build(m, have)
			// Parsing 5,000 accounts allocates 136 MB, and an idle node otherwise keeps the freed memory resident.
			debug.FreeOSMemory()
		}
		c.post(func(now time.Time) { c.fetched(now, m, have, t, err) })
	})
}

// PartError reports a part that no source had.
type PartError struct{ Digest Digest }

func (e PartError) Error() string { return "config: no source has part " + e.Digest.String() }

func (c *Store) collect(m Manifest, have map[Digest][]byte, sources []string) error {
	for _, d := range m.Digests() {
		if _, ok := have[d]; ok {
			continue
		}
		data, err := c.part(d, sources)
		if err != nil {
			return err
		}
		have[d] = data
	}
	return nil
}

func (c *Store) part(d Digest, sources []string) ([]byte, error) {
	failures := []error{PartError{Digest: d}}
	for _, addr := range sources {
		data, err := c.partFrom(addr, d)
		if err == nil && len(data) <= MaxPart && Digest(sha256.Sum256(data)) == d {
			return data, nil
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}

func (c *Store) partFrom(addr string, d Digest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(c.ctx, fetchTimeout)
	defer cancel()
	if addr == "" {
		return c.s.ReadPart(ctx, d)
	}
	return c.s.Fetch(ctx, addr, d)
}

func (c *Store) fetched(now time.Time, m Manifest, parts map[Digest][]byte, t Tree, err error) {
	c.fetching = false
	before := c.Snapshot()
	var invalid ParseError
	switch {
	case err == nil:
		v := before.WithTree(m, t)
		c.state.Store(&v)
		c.rejection.Store(nil)
		if v.Version() > before.Version() {
			c.parts = parts
			c.announce(now, t)
			c.push(now)
		}
	case errors.As(err, &invalid):
		v := before.WithRejected(m)
		c.state.Store(&v)
		text := fmt.Sprintf("version %d: %v", m.Version, err)
		c.rejection.Store(&text)
		c.failed("building a version", err)
	default:
		v := before.WithoutPending(m)
		c.state.Store(&v)
		// The next answer of the service must offer the version again, for example once all parts are published.
		c.etag = ""
		c.pace.Postpone(now, retryPause)
		c.failed("fetching a version", err)
	}
	c.fetch(now)
}

func (c *Store) announce(now time.Time, t Tree) {
	for _, f := range c.onChange {
		f(now, t)
	}
}

// push offers the held version to random peers, which push it on once they hold it.
func (c *Store) push(now time.Time) {
	m := c.Snapshot().Manifest()
	for _, peer := range c.s.View().Pick(now, fanout, c.s.Name, c.s.Random) {
		c.running.Go(func() {
			ctx, cancel := context.WithTimeout(c.ctx, offerTimeout)
			defer cancel()
			if _, err := c.s.Offer(ctx, peer.ControlAddr, c.s.Name, m); err != nil {
				c.failed("offering a version", err)
			}
		})
	}
}

func (c *Store) failed(what string, err error) {
	if c.s.OnError != nil && c.ctx.Err() == nil {
		c.s.OnError(what, err)
	}
}

func (c *Store) post(run loop.Event) { _ = c.s.Loop.Post(c.ctx, run) }
