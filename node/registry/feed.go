package registry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/loop"
)

const (
	// tickEvery is the period in which a call of the registry is considered.
	tickEvery = 100 * time.Millisecond
	// watchWait is how long a watch may wait for a change. Its answer confirms the copy, so that it bounds the age of
	// what the fleet knows.
	watchWait = time.Second
	// callTimeout is what a call may take beyond the time that a watch waits. The registry answers within
	// milliseconds; on a connection that went silent, nothing else ends a call. After a call that failed it doubles, since the
	// node's own link may be full and delay each packet by half a second.
	callTimeout = 700 * time.Millisecond
	// readTimeout bounds the reading of a whole copy, which may have several pages of up to 1 MB.
	readTimeout = 2 * time.Second
	// changePause is the time between an answer with changes and the next watch, so that one call brings the changes of
	// a burst.
	changePause = 200 * time.Millisecond
	// failPause is the time after a call that failed, which doubles with each further one up to maxPause; a reader waits for
	// it each time, since the others rely on it.
	failPause = 400 * time.Millisecond
	maxPause  = 3 * time.Second
	// aliveEvery is how often a reader that gets no answer says that it is there, so that the others leave the calls to it.
	aliveEvery = 500 * time.Millisecond
	// tellPatience is how long a node may take to answer before another one gets its errand as well: one that is paused or
	// cut off must not hold up those behind it for long.
	tellPatience = 300 * time.Millisecond
	// tellTimeout bounds one telling. Behind a link of 10 Mbit/s that carries large responses it waits for half a second.
	tellTimeout = 1500 * time.Millisecond
	// confirmEvery is the time within which a confirmation that another reader passed on makes one's own needless.
	confirmEvery = 500 * time.Millisecond
	// decodeQueue bounds the batches of changed items that wait to be decoded.
	decodeQueue = 64
)

// Change is a changed item with the fact that it holds; Fact is empty if the item was removed or cannot be read.
type Change struct {
	Item    Item
	Decoded DecodedItem
}

// Broadcast is news on their way along the ring.
type Broadcast struct {
	News  Update
	Until uint32 // place up to which the receiver passes the news on
	Last  bool   // the receiver passes them on to nobody
}

// Settings are what a Feed needs from the rest of the node.
type Settings struct {
	Name   string // of this node
	Domain string
	Loop   *loop.Loop
	Clock  *clock.Clock
	Source Source
	// AllowStaleRead lets the first read take a copy that may be seconds old, which costs a tenth: when the whole fleet starts for
	// the first time, and nothing depends on it yet.
	AllowStaleRead bool
	// Send passes news on to the node at addr and returns the revision that it holds.
	Send func(ctx context.Context, addr string, t Broadcast) (int64, error)
	// Decode reads an item. It is not called on the control goroutine, since a configuration takes a while.
	Decode func(Item) (DecodedItem, error)
	// OnChange is called on the control goroutine with the changes of the copy, in their order.
	OnChange func(now time.Time, c Snapshot, changes []Change)
	// OnError is told of errors, for the log.
	OnError func(what string, err error)
	// OnRecovery is called on the control goroutine when a call succeeds after some that failed, with the time since the
	// first of them; nil for nobody.
	OnRecovery func(calls int, outage time.Duration)
}

// Feed keeps the copy up to date.
type Feed struct {
	s       Settings
	copy    atomic.Pointer[Snapshot]
	ctx     context.Context
	cancel  context.CancelFunc
	running loop.Group
	tick    *clock.Subscription
	batches chan batch

	// Owned by the control goroutine.
	nodes    []Node // the other nodes, in their order along the ring after this one
	rank     int    // position of this node in the order in which nodes read
	calling  bool
	first    time.Time // when the first read brought a copy
	failures int       // of calls in a row
	lost     time.Time // the first of them
	next     time.Time // earliest start of the next call
	whole    bool      // the next call reads the whole registry, because history is missing
	heard    time.Time // last news from another node
	spread   time.Time // last confirmation that this node knows to have been passed on
	told     time.Time // last sign of life of a reader without answers
}

// batch is a copy with the items that changed in it.
type batch struct {
	copy  Snapshot
	items []Item
}

// New returns a feed that does nothing before Start.
func New(s Settings) *Feed {
	f := &Feed{s: s, batches: make(chan batch, decodeQueue)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.copy.Store(&Snapshot{})
	return f
}

// Snapshot returns the current copy; any goroutine may call it.
func (f *Feed) Snapshot() Snapshot { return *f.copy.Load() }

// SetNodes adopts the other nodes that are not known to be gone; it must be called on the control goroutine.
func (f *Feed) SetNodes(members []Node) {
	f.nodes = Ring(f.s.Name, members)
	f.rank = Rank(Node{Name: f.s.Name, Domain: f.s.Domain}, members)
}

// Start begins to read.
func (f *Feed) Start() {
	f.running.Go(f.decode)
	tick := func(time.Time) { f.post(f.onTick) }
	tick(time.Time{})
	f.tick = f.s.Clock.Subscribe(tickEvery, tick)
}

// Close stops all calls and waits for them.
func (f *Feed) Close() {
	f.cancel()
	if f.tick != nil {
		f.tick.Close()
	}
	f.running.Close()
}

// adopt applies news and hands changed items to the decoding goroutine; it reports whether anything changed.
func (f *Feed) adopt(at time.Time, n Update) (bool, error) {
	next, changed, err := f.Snapshot().WithNews(at, n)
	if err != nil {
		return false, err
	}
	f.copy.Store(&next)
	if len(changed) == 0 {
		return false, nil
	}
	select {
	case f.batches <- batch{copy: next, items: changed}:
	case <-f.ctx.Done():
	}
	return true, nil
}

// decode turns items into facts, in the order of their arrival.
func (f *Feed) decode() {
	for {
		var b batch
		select {
		case <-f.ctx.Done():
			return
		case b = <-f.batches:
		}
		changes := make([]Change, 0, len(b.items))
		for _, i := range b.items {
			c, err := f.change(i)
			if err != nil {
				f.failed("reading an item", err)
			}
			changes = append(changes, c)
		}
		f.post(func(now time.Time) { f.s.OnChange(now, b.copy, changes) })
	}
}

func (f *Feed) change(i Item) (Change, error) {
	if i.Deleted {
		return Change{Item: i}, nil
	}
	i, err := i.WithValue()
	if err != nil {
		return Change{Item: i}, err
	}
	fact, err := f.s.Decode(i)
	return Change{Item: i, Decoded: fact}, err
}

// Standing returns what the decision to read depends on; it runs on the control goroutine.
func (f *Feed) Standing(now time.Time) Standing {
	held := f.Snapshot()
	s := Standing{Rank: f.rank, Age: held.Age(now), Heard: Unconfirmed}
	if s.Age == Unconfirmed && held.Revision() > 0 {
		s.Age = now.Sub(f.first) // the readers are about to confirm what the first read gave
	}
	if !f.heard.IsZero() {
		s.Heard = now.Sub(f.heard)
	}
	return s
}

func (f *Feed) onTick(now time.Time) {
	if f.calling || now.Before(f.next) {
		return
	}
	standing := f.Standing(now)
	if !standing.MayRead() {
		return
	}
	f.calling = true
	switch {
	case f.Snapshot().Revision() == 0:
		f.read(f.s.AllowStaleRead && f.failures == 0)
	case f.whole:
		f.read(false)
	case standing.Watches():
		f.watch(watchWait)
	default:
		f.watch(0)
	}
}

// read gets the whole registry.
func (f *Feed) read(cached bool) {
	f.running.Go(func() {
		ctx, cancel := context.WithTimeout(f.ctx, readTimeout)
		defer cancel()
		news, err := f.s.Source.Read(ctx, cached)
		if cached {
			news.Age = Unconfirmed
		}
		f.packed("reading the registry", news, err)
	})
}

// watch gets the changes since the revision held, and waits for one if there is none.
func (f *Feed) watch(wait time.Duration) {
	after, timeout := f.Snapshot().Revision(), wait+callTimeout
	if f.failures > 0 {
		timeout += callTimeout
	}
	f.running.Go(func() {
		ctx, cancel := context.WithTimeout(f.ctx, timeout)
		defer cancel()
		news, err := f.s.Source.Watch(ctx, after, wait)
		f.packed("watching the registry", news, err)
	})
}

// packed packs the outcome of a call before the control goroutine takes it.
func (f *Feed) packed(what string, news Update, err error) {
	if err == nil {
		news, err = news.WithPacked()
	}
	f.done(what, news, err)
}

// done takes the outcome of a call and passes on what it brought.
func (f *Feed) done(what string, news Update, err error) {
	at := f.s.Clock.Now()
	f.post(func(now time.Time) {
		f.calling = false
		var gone CompactedError
		switch {
		case errors.As(err, &gone):
			f.whole = true
			f.failed(what, err)
			return
		case err != nil:
			f.next = now.Add(f.pause())
			if f.failures == 0 {
				f.lost = now
			}
			f.failures++
			f.failed(what, err)
			f.alive(now)
			return
		}
		if f.failures > 0 && f.s.OnRecovery != nil {
			f.s.OnRecovery(f.failures, now.Sub(f.lost))
		}
		f.failures = 0
		f.whole = f.whole && news.After > 0
		if f.first.IsZero() {
			f.first = now
		}
		changed, err := f.adopt(at, news)
		if err != nil {
			f.whole = true
			f.failed(what, err)
			return
		}
		if changed {
			f.next = now.Add(changePause)
		}
		if changed || (news.Age >= 0 && at.Sub(f.spread) >= confirmEvery) {
			f.spread = at
			f.pass(now, news.After, Errands(f.s.Name, f.nodes, 0, true))
		}
	})
}

// pause returns the time after a call that failed.
func (f *Feed) pause() time.Duration {
	if f.rank < readers {
		return failPause
	}
	return min(failPause<<min(f.failures, 8), maxPause)
}

func (f *Feed) failed(what string, err error) {
	if f.s.OnError != nil && f.ctx.Err() == nil {
		f.s.OnError(what, err)
	}
}

func (f *Feed) post(run loop.Event) { _ = f.s.Loop.Post(f.ctx, run) }

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
