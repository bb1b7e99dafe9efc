package instance

import (
	"context"
	"sync/atomic"
	"time"

	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/loop"
	"verbenapin.dev/node/watch"
)

// Times and bounds of heartbeats.
const (
	// beatEvery spreads the three peers of each second, because evenly spread exchanges reach the last node sooner.
	beatEvery   = time.Second / 3
	beatTimeout = time.Second
	maxBeats    = 4 // under way at once
	listWait    = 30 * time.Second
)

// Settings are what Members needs from the rest of the node.
type Settings struct {
	Name   string
	BootID uint32
	Loop   *loop.Loop
	Clock  *clock.Clock
	Random func(n int) int
	// List reads the instance list; nil means a node without peers.
	List func(ctx context.Context, etag string, wait time.Duration) ([]Instance, string, error)
	// Exchange sends a heartbeat and returns the answer with ages as of its return.
	Exchange func(ctx context.Context, addr string, own Heartbeat) (Heartbeat, error)
	// Refused tells whether an error of Exchange means that the connection was refused.
	Refused func(err error) bool
	// Evidence fills in what the heartbeat says of versions; it is called on the control goroutine.
	Evidence func(now time.Time) VersionReport
	// OnError is told of errors, for the log.
	OnError func(what string, err error)
}

// Members keeps the view of the fleet up to date.
type Members struct {
	s       Settings
	view    atomic.Pointer[View]
	ctx     context.Context
	cancel  context.CancelFunc
	running loop.Group
	ticks   []*clock.Subscription

	// Owned by the control goroutine.
	leaving     bool
	etag        string
	pace        *watch.Schedule
	heartbeats  int
	near        Neighbours
	onView      []func(now time.Time, v View)
	onHeartbeat []func(at time.Time, b Heartbeat)
}

// NewMembers returns members that do nothing before Start.
func NewMembers(s Settings) *Members {
	m := &Members{s: s, pace: watch.NewSchedule(s.Clock.Now())}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.view.Store(&View{})
	return m
}

// OnChange adds a function that is called on the control goroutine after each change of the view; it must be added before Start.
func (m *Members) OnChange(f func(now time.Time, v View)) { m.onView = append(m.onView, f) }

// OnHeartbeat adds a function that is called on the control goroutine with each heartbeat; its ages are as of at.
// It must be added before Start.
func (m *Members) OnHeartbeat(f func(at time.Time, b Heartbeat)) {
	m.onHeartbeat = append(m.onHeartbeat, f)
}

// Start begins to read the list and to send heartbeats.
func (m *Members) Start() {
	if m.s.List == nil {
		return
	}
	tick := func(time.Time) { _ = m.s.Loop.Post(m.ctx, m.tick) }
	tick(time.Time{})
	m.ticks = append(m.ticks, m.s.Clock.Subscribe(beatEvery, tick))
}

// Close stops all calls and waits for them.
func (m *Members) Close() {
	m.cancel()
	for _, t := range m.ticks {
		t.Close()
	}
	m.running.Close()
}

// Snapshot returns the current view; any goroutine may call it.
func (m *Members) Snapshot() View { return *m.view.Load() }

// SetList adopts a list that was read elsewhere; it must be called on the control goroutine.
func (m *Members) SetList(now time.Time, list []Instance) {
	m.publish(now, m.Snapshot().WithList(now, list))
}

// Leave marks this node as leaving in all further heartbeats.
func (m *Members) Leave(ctx context.Context) error {
	return m.s.Loop.Call(ctx, func(time.Time) { m.leaving = true })
}

// Contact records what a call to an instance showed; callers report successes at most once a second per instance.
func (m *Members) Contact(ctx context.Context, name string, outcome Outcome) error {
	at := m.s.Clock.Now()
	return m.s.Loop.Post(ctx, func(now time.Time) { m.publish(now, m.Snapshot().WithContact(at, name, outcome)) })
}

// OwnHeartbeat returns this node's heartbeat for the answer to another node.
func (m *Members) OwnHeartbeat(ctx context.Context) (Heartbeat, error) {
	var own Heartbeat
	if err := m.s.Loop.Call(ctx, func(now time.Time) { own = m.own(now) }); err != nil {
		return Heartbeat{}, err
	}
	return own, nil
}

// Receive takes the heartbeat of another node, with ages as of at.
func (m *Members) Receive(ctx context.Context, at time.Time, b Heartbeat) error {
	return m.s.Loop.Post(ctx, func(now time.Time) { m.receive(now, at, b) })
}

func (m *Members) own(now time.Time) Heartbeat {
	b := Heartbeat{Name: m.s.Name, BootID: m.s.BootID, Leaving: m.leaving}
	if m.s.Evidence != nil {
		b.VersionReport = m.s.Evidence(now)
	}
	return b
}

func (m *Members) receive(now, at time.Time, b Heartbeat) {
	if b.Name == m.s.Name {
		return
	}
	m.publish(now, m.Snapshot().WithBeat(at, b))
	for _, f := range m.onHeartbeat {
		f(at, b)
	}
}

func (m *Members) publish(now time.Time, v View) {
	m.view.Store(&v)
	for _, f := range m.onView {
		f(now, v)
	}
}

func (m *Members) tick(now time.Time) {
	if m.pace.TryStart(now) {
		m.readList(m.etag)
	}
	if m.heartbeats >= maxBeats {
		return
	}
	near, peer, ok := m.near.WithNext(now, m.Snapshot(), m.s.Name, m.s.Random)
	m.near = near
	if ok {
		m.heartbeats++
		own := m.own(now)
		m.running.Go(func() { m.exchange(peer, own) })
	}
}

func (m *Members) exchange(peer Instance, own Heartbeat) {
	ctx, cancel := context.WithTimeout(m.ctx, beatTimeout)
	defer cancel()
	got, err := m.s.Exchange(ctx, peer.ControlAddr, own)
	at := m.s.Clock.Now()
	m.post(func(now time.Time) {
		m.heartbeats--
		switch {
		case err == nil:
			m.receive(now, at, got)
		case m.s.Refused != nil && m.s.Refused(err):
			m.publish(now, m.Snapshot().WithContact(at, peer.Name, Refused))
		default:
			m.publish(now, m.Snapshot().WithContact(at, peer.Name, Silent))
		}
	})
}

func (m *Members) readList(etag string) {
	m.running.Go(func() {
		list, got, err := m.s.List(m.ctx, etag, listWait)
		m.post(func(now time.Time) {
			m.pace.Done(now, 0, err != nil)
			if err != nil {
				m.failed("reading the instance list", err)
				return
			}
			if got != etag || etag == "" {
				m.etag = got // without it the next read returns at once
				m.publish(now, m.Snapshot().WithList(now, list))
			}
		})
	})
}

func (m *Members) failed(what string, err error) {
	if m.s.OnError != nil && m.ctx.Err() == nil {
		m.s.OnError(what, err)
	}
}

func (m *Members) post(run loop.Event) { _ = m.s.Loop.Post(m.ctx, run) }
