package registry

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/loop"
)

const (
	// tickInterval is how often the feed decides whether to call the registry.
	tickInterval = 100 * time.Millisecond
	// watchWait is how long a watch may wait for a change. Its answer confirms the snapshot, so watchWait bounds the confirmation
	// age in the fleet.
	watchWait = time.Second
	// callTimeout is what a call may take beyond the wait of a watch. The registry answers within milliseconds; nothing else ends a
	// call on a connection that no longer responds. It doubles after a failed call, since the node's own link may be full and delay
	// each packet by half a second.
	callTimeout = 700 * time.Millisecond
	// readTimeout bounds a full read, which may have several pages of up to 1 MB.
	readTimeout = 2 * time.Second
	// changePause is the time between an answer with changes and the next call, so that one call returns the changes of a burst.
	changePause = 200 * time.Millisecond
	// retryDelay is the time between a failed call and the next one. It doubles with each further failure up to maxRetryDelay, but
	// not on readers, since the other nodes rely on them.
	retryDelay    = 400 * time.Millisecond
	maxRetryDelay = 3 * time.Second
	// emptyDelay is the time between two reads while the registry lists no targets, as when the whole fleet starts. No node can then
	// know which ones are the readers, and all of them call.
	emptyDelay = time.Second
	// aliveInterval is how often a reader whose calls fail sends a broadcast without changes, so that other nodes leave the
	// calls to it.
	aliveInterval = 500 * time.Millisecond
	// sendTimeout bounds the sending of a broadcast to one node. On a 10 Mbit/s link that carries large responses, a broadcast is
	// delayed by half a second.
	sendTimeout = 1500 * time.Millisecond
	// confirmInterval is the minimum age of the last broadcast confirmation at which an answer without changes is broadcast.
	confirmInterval = 500 * time.Millisecond
)

// Change is a changed item with its decoded form, which is empty if the item was deleted or cannot be decoded.
type Change struct {
	Item    Item
	Decoded DecodedItem
}

// Broadcast is an update that nodes forward along the ring.
type Broadcast struct {
	Update Update
	Until  uint32 // position on the ring up to which the receiver forwards the update
	Last   bool   // the receiver does not forward the update
}

// Settings are what a Feed needs from the rest of the node.
type Settings struct {
	Name   string // of this node
	Domain string
	Loop   *loop.Loop
	Clock  *clock.Clock
	Source Source
	// AllowStaleRead lets the first read use a cache of the registry that may be seconds old, at a tenth of the cost: for the first
	// start of the whole fleet, when nothing depends on the data yet.
	AllowStaleRead bool
	// SendBroadcast sends an update to the node at addr and returns what it then holds.
	SendBroadcast func(ctx context.Context, addr string, b Broadcast) (Point, error)
	// Decode decodes an item. It is not called on the control goroutine, since decoding a configuration takes a while.
	Decode func(Item) (DecodedItem, error)
	// OnChange is called on the control goroutine with the changes of the snapshot, in their order.
	OnChange func(now time.Time, s Snapshot, changes []Change)
	// OnError is called with errors, for the log; nil if nobody needs them.
	OnError func(what string, err error)
	// OnRecovery is called on the control goroutine when a call succeeds after failed ones, with the number of these and the time
	// since the first of them; nil if nobody needs it.
	OnRecovery func(calls int, outage time.Duration)
	// OnEra is called on the control goroutine when the snapshot has been replaced by one of a higher era, with both points and the
	// time since the node knew of the era; nil if nobody needs it.
	OnEra func(from, to Point, took time.Duration)
}

// Feed keeps a node's snapshot of the registry up to date.
type Feed struct {
	cfg     Settings
	copy    atomic.Pointer[Snapshot]
	ctx     context.Context
	cancel  context.CancelFunc
	running loop.Group
	tick    *clock.Subscription
	decoder *decoder

	// Owned by the control goroutine.
	nodes         []Node // the other nodes, in the order of the ring after this one
	outbox        Outbox
	readerRank    int // position of this node in ReaderOrder
	calling       bool
	spreads       bool      // the result of the current call is broadcast
	targetsListed bool      // a target has been listed since the start
	firstState    time.Time // when the node first held a state that could list targets
	failures      int       // failed calls in a row
	failingSince  time.Time // when the first of them failed
	nextCall      time.Time // earliest start of the next call
	needFullRead  bool      // the next call reads the whole registry, because changes are missing
	seenEra       int64     // highest era of which an answer of the registry or a node has told, at least that of the snapshot
	seenEraAt     time.Time // when it was first told of, zero if the snapshot was the first of it
	lastContact   time.Time // last update from another node
	lastConfirmed time.Time // latest confirmation that is known to have been broadcast
	lastAlive     time.Time // last broadcast without changes that was sent because a call failed
}

// New returns a feed that does nothing before Start.
func New(s Settings) *Feed {
	f := &Feed{cfg: s}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.decoder = newDecoder(s.Decode, f.publish, func(err error) { f.reportError("reading an item", err) })
	f.copy.Store(&Snapshot{})
	return f
}

// Snapshot returns the current snapshot; it is safe for concurrent use.
func (f *Feed) Snapshot() Snapshot { return *f.copy.Load() }

// SetNodes sets the other nodes, without those known to have ended; it must be called on the control goroutine.
func (f *Feed) SetNodes(nodes []Node) {
	f.nodes = Ring(f.cfg.Name, nodes)
	f.outbox = f.outbox.WithNodes(f.nodes)
	f.readerRank = ReaderRank(Node{Name: f.cfg.Name, Domain: f.cfg.Domain}, nodes)
}

// Start starts reading the registry.
func (f *Feed) Start() {
	f.running.Go(func() { f.decoder.run(f.ctx) })
	tick := func(time.Time) { f.post(f.onTick) }
	tick(time.Time{})
	f.tick = f.cfg.Clock.Subscribe(tickInterval, tick)
}

// Close cancels all calls and waits for them.
func (f *Feed) Close() {
	f.cancel()
	if f.tick != nil {
		f.tick.Close()
	}
	f.running.Close()
}

// apply applies an update and queues the changed items for decoding; it reports whether anything changed.
func (f *Feed) apply(now, at time.Time, u Update) (bool, error) {
	before := f.Snapshot()
	next, changed, err := before.WithUpdate(at, u)
	if err != nil {
		return false, err
	}
	f.copy.Store(&next)
	if next.Era() > before.Era() {
		f.enterEra(now, before.Point(), next.Point())
	}
	if len(changed) == 0 {
		return false, nil
	}
	f.decoder.add(next, changed)
	return true, nil
}

// publish passes decoded changes to the node.
func (f *Feed) publish(snapshot Snapshot, changes []Change) {
	f.post(func(now time.Time) {
		if !f.targetsListed && slices.ContainsFunc(changes, func(c Change) bool { return c.Decoded.Target != nil }) {
			f.targetsListed, f.nextCall = true, time.Time{}
		}
		f.cfg.OnChange(now, snapshot, changes)
	})
}

// ReaderState returns the state of this node; it must be called on the control goroutine.
func (f *Feed) ReaderState(now time.Time) ReaderState {
	snapshot := f.Snapshot()
	s := ReaderState{Rank: f.readerRank, Age: snapshot.Age(now), ContactAge: Unconfirmed}
	if s.Age == Unconfirmed && snapshot.Revision() > 0 {
		s.Age = now.Sub(f.firstState) // the readers will soon confirm the first state
	}
	if !f.lastContact.IsZero() {
		s.ContactAge = now.Sub(f.lastContact)
	}
	return s
}

func (f *Feed) onTick(now time.Time) {
	f.passOverSlow(now)
	f.call(now)
}

// call calls the registry if the node may do so now.
func (f *Feed) call(now time.Time) {
	if f.calling || now.Before(f.nextCall) {
		return
	}
	state := f.ReaderState(now)
	if !state.MayRead() {
		return
	}
	f.calling, f.spreads = true, state.Spreads()
	switch {
	case f.Snapshot().Revision() == 0, !f.targetsListed:
		f.read(f.cfg.AllowStaleRead && f.failures == 0)
	case f.needFullRead:
		f.read(false)
	case state.Watches():
		f.watch(watchWait)
	default:
		f.watch(0)
	}
}

// read reads the whole registry.
func (f *Feed) read(cached bool) {
	f.running.Go(func() {
		ctx, cancel := context.WithTimeout(f.ctx, readTimeout)
		defer cancel()
		update, err := f.cfg.Source.Read(ctx, cached)
		if cached {
			update.Age = Unconfirmed
		}
		f.compressResult("reading the registry", update, err)
	})
}

// watch asks for the changes since the revision of the snapshot, and waits for one if there is none. An answer of another era than the
// snapshot's is an EraError, since the revision meant something else there.
func (f *Feed) watch(wait time.Duration) {
	after, timeout := f.Snapshot().Point(), wait+callTimeout
	if f.failures > 0 {
		timeout += callTimeout
	}
	f.running.Go(func() {
		ctx, cancel := context.WithTimeout(f.ctx, timeout)
		defer cancel()
		update, err := f.cfg.Source.Watch(ctx, after.Revision, wait)
		if err == nil && update.Era != after.Era {
			err = EraError{Held: after.Era, Found: update.Era}
		}
		f.compressResult("watching the registry", update, err)
	})
}

// compressResult compresses the result of a call, which would take too long on the control goroutine.
func (f *Feed) compressResult(what string, update Update, err error) {
	if err == nil {
		update, err = update.WithCompressed()
	}
	f.handleResult(what, update, err)
}

// handleResult applies the result of a call on the control goroutine and broadcasts it.
func (f *Feed) handleResult(what string, update Update, err error) {
	at := f.cfg.Clock.Now()
	f.post(func(now time.Time) {
		f.calling = false
		var compacted CompactedError
		var era EraError
		switch {
		case errors.As(err, &era) && era.Found >= f.Snapshot().Era():
			// If another node has sent the new state meanwhile, the next watch starts there.
			f.noticeEra(now, era.Found)
			f.call(now)
			return
		case errors.As(err, &compacted):
			f.needFullRead = true
			f.reportError(what, err)
			if f.Snapshot().Era() > 0 {
				// A registry that was restored and states no era answers each watch like this until its revisions are as high as before,
				// and would be called twice as often.
				f.call(now)
			}
			return
		case err != nil:
			f.nextCall = now.Add(f.failureDelay())
			if f.failures == 0 {
				f.failingSince = now
			}
			f.failures++
			f.reportError(what, err)
			f.sendAlive(now)
			return
		}
		if f.failures > 0 && f.cfg.OnRecovery != nil {
			f.cfg.OnRecovery(f.failures, now.Sub(f.failingSince))
		}
		f.failures = 0
		for _, fault := range update.Faults {
			f.reportError("reading an item", fault)
		}
		if f.firstState.IsZero() || !f.targetsListed {
			f.firstState = now
		}
		changed, err := f.apply(now, at, update)
		if err != nil {
			f.needFullRead = true
			if errors.As(err, &era) { // part of the registry still answers with a lower era
				f.nextCall = now.Add(f.failureDelay())
			}
			f.reportError(what, err)
			return
		}
		f.needFullRead = f.needFullRead && update.After > 0
		if update.Age >= 0 && update.Era < f.seenEra {
			// Another node or an earlier answer told of a higher era, which the registry does not confirm.
			f.seenEra, f.seenEraAt = update.Era, time.Time{}
			f.nextCall = now.Add(f.failureDelay())
		}
		switch {
		case !f.targetsListed, f.Snapshot().Revision() == 0:
			f.nextCall = now.Add(emptyDelay) // publish ends the wait if the update lists targets
		case changed:
			f.nextCall = now.Add(changePause)
		}
		if changed || (update.Age >= 0 && at.Sub(f.lastConfirmed) >= confirmInterval) {
			f.lastConfirmed = at
			if f.spreads {
				f.broadcast(now, update.From(), Segments(f.cfg.Name, f.nodes, 0, true))
			}
		}
	})
}

// failureDelay returns the time between a failed call and the next one.
func (f *Feed) failureDelay() time.Duration {
	if f.readerRank < readerCount {
		return retryDelay
	}
	return min(retryDelay<<min(f.failures, 8), maxRetryDelay)
}

func (f *Feed) reportError(what string, err error) {
	if f.cfg.OnError != nil && f.ctx.Err() == nil {
		f.cfg.OnError(what, err)
	}
}

func (f *Feed) post(fn loop.Event) { _ = f.cfg.Loop.Post(f.ctx, fn) }

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
