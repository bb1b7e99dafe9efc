package instance

import (
	"context"
	"sync/atomic"
	"time"

	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/loop"
	"verbenapin.dev/node/watch"
)

// Intervals and limits of heartbeats and list reads.
const (
	// heartbeatInterval spaces three heartbeats evenly over each second, so that a new version is known to the last node
	// sooner than with uneven intervals.
	heartbeatInterval = time.Second / 3
	heartbeatTimeout  = time.Second
	maxInFlight       = 4                // concurrent heartbeat exchanges
	listWait          = 30 * time.Second // longest wait of a list read for a change
)

// Settings configure Members.
type Settings struct {
	Name   string
	BootID uint32
	Loop   *loop.Loop
	Clock  *clock.Clock
	Random func(n int) int
	// List reads the instance list; nil means a node without peers.
	List func(ctx context.Context, etag string, wait time.Duration) ([]Instance, string, error)
	// Exchange sends a heartbeat and returns that of the peer, with ages as of its return.
	Exchange func(ctx context.Context, addr string, own Heartbeat) (Heartbeat, error)
	// IsRefused reports whether an error of Exchange means that the connection was refused.
	IsRefused func(err error) bool
	// VersionReport returns the version report of the next heartbeat; it is called on the control goroutine.
	VersionReport func(now time.Time) VersionReport
	// OnError is called with failed list reads; may be nil.
	OnError func(action string, err error)
}

// Members keeps the View of the fleet up to date: it reads the instance list and exchanges heartbeats with neighbours.
type Members struct {
	cfg           Settings
	view          atomic.Pointer[View]
	ctx           context.Context
	cancel        context.CancelFunc
	group         loop.Group
	subscriptions []*clock.Subscription

	// Owned by the control goroutine.
	leaving     bool
	etag        string
	schedule    *watch.Schedule
	inFlight    int
	neighbours  Neighbours
	onChange    []func(now time.Time, v View)
	onHeartbeat []func(at time.Time, hb Heartbeat)
}

// NewMembers returns Members that do nothing before Start.
func NewMembers(cfg Settings) *Members {
	m := &Members{cfg: cfg, schedule: watch.NewSchedule(cfg.Clock.Now())}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.view.Store(&View{})
	return m
}

// OnChange adds a callback that is called on the control goroutine after each update of the view. It must be added before
// Start.
func (m *Members) OnChange(f func(now time.Time, v View)) { m.onChange = append(m.onChange, f) }

// OnHeartbeat adds a callback that is called on the control goroutine with each received heartbeat; its ages are as of at.
// It must be added before Start.
func (m *Members) OnHeartbeat(f func(at time.Time, hb Heartbeat)) {
	m.onHeartbeat = append(m.onHeartbeat, f)
}

// Start begins to read the list and to send heartbeats; it does nothing if Settings.List is nil.
func (m *Members) Start() {
	if m.cfg.List == nil {
		return
	}
	tick := func(time.Time) { _ = m.cfg.Loop.Post(m.ctx, m.tick) }
	tick(time.Time{})
	m.subscriptions = append(m.subscriptions, m.cfg.Clock.Subscribe(heartbeatInterval, tick))
}

// Close cancels all calls and waits for them.
func (m *Members) Close() {
	m.cancel()
	for _, s := range m.subscriptions {
		s.Close()
	}
	m.group.Close()
}

// Snapshot returns the current view; any goroutine may call it.
func (m *Members) Snapshot() View { return *m.view.Load() }

// SetList replaces the list by one that was read elsewhere; it must be called on the control goroutine.
func (m *Members) SetList(now time.Time, list []Instance) {
	m.publish(now, m.Snapshot().WithList(now, list))
}

// Leave marks this node as leaving in all further heartbeats.
func (m *Members) Leave(ctx context.Context) error {
	return m.cfg.Loop.Call(ctx, func(time.Time) { m.leaving = true })
}

// ReportOutcome records the outcome of a call to an instance. Callers should report successes at most once a second per
// instance.
func (m *Members) ReportOutcome(ctx context.Context, name string, outcome Outcome) error {
	at := m.cfg.Clock.Now()
	return m.cfg.Loop.Post(ctx, func(now time.Time) { m.publish(now, m.Snapshot().WithOutcome(at, name, outcome)) })
}

// OwnHeartbeat returns this node's heartbeat, to answer that of another node.
func (m *Members) OwnHeartbeat(ctx context.Context) (Heartbeat, error) {
	var own Heartbeat
	if err := m.cfg.Loop.Call(ctx, func(now time.Time) { own = m.newHeartbeat(now) }); err != nil {
		return Heartbeat{}, err
	}
	return own, nil
}

// Receive records the heartbeat of another node, with ages as of at.
func (m *Members) Receive(ctx context.Context, at time.Time, hb Heartbeat) error {
	return m.cfg.Loop.Post(ctx, func(now time.Time) { m.receive(now, at, hb) })
}

func (m *Members) newHeartbeat(now time.Time) Heartbeat {
	hb := Heartbeat{Name: m.cfg.Name, BootID: m.cfg.BootID, Leaving: m.leaving}
	if m.cfg.VersionReport != nil {
		hb.VersionReport = m.cfg.VersionReport(now)
	}
	return hb
}

func (m *Members) receive(now, at time.Time, hb Heartbeat) {
	if hb.Name == m.cfg.Name {
		return
	}
	m.publish(now, m.Snapshot().WithHeartbeat(at, hb))
	for _, f := range m.onHeartbeat {
		f(at, hb)
	}
}

func (m *Members) publish(now time.Time, v View) {
	m.view.Store(&v)
	for _, f := range m.onChange {
		f(now, v)
	}
}

func (m *Members) tick(now time.Time) {
	if m.schedule.TryStart(now) {
		m.readList(m.etag)
	}
	if m.inFlight >= maxInFlight {
		return
	}
	next, peer, ok := m.neighbours.WithNext(now, m.Snapshot(), m.cfg.Name, m.cfg.Random)
	m.neighbours = next
	if ok {
		m.inFlight++
		own := m.newHeartbeat(now)
		m.group.Go(func() { m.exchange(peer, own) })
	}
}

func (m *Members) exchange(peer Instance, own Heartbeat) {
	ctx, cancel := context.WithTimeout(m.ctx, heartbeatTimeout)
	defer cancel()
	got, err := m.cfg.Exchange(ctx, peer.ControlAddr, own)
	at := m.cfg.Clock.Now()
	m.post(func(now time.Time) {
		m.inFlight--
		switch {
		case err == nil:
			m.receive(now, at, got)
		case m.cfg.IsRefused != nil && m.cfg.IsRefused(err):
			m.publish(now, m.Snapshot().WithOutcome(at, peer.Name, Refused))
		default:
			m.publish(now, m.Snapshot().WithOutcome(at, peer.Name, Unanswered))
		}
	})
}

func (m *Members) readList(etag string) {
	m.group.Go(func() {
		list, newEtag, err := m.cfg.List(m.ctx, etag, listWait)
		m.post(func(now time.Time) {
			m.schedule.Done(now, 0, err != nil)
			if err != nil {
				m.reportError("reading the instance list", err)
				return
			}
			if newEtag != etag || etag == "" {
				m.etag = newEtag // without the etag the next read returns at once instead of waiting
				m.publish(now, m.Snapshot().WithList(now, list))
			}
		})
	})
}

func (m *Members) reportError(action string, err error) {
	if m.cfg.OnError != nil && m.ctx.Err() == nil {
		m.cfg.OnError(action, err)
	}
}

func (m *Members) post(event loop.Event) { _ = m.cfg.Loop.Post(m.ctx, event) }
