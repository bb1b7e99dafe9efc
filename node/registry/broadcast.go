package registry

import (
	"context"
	"fmt"
	"time"
)

// Receive applies a broadcast of another node and returns what this node then holds.
func (f *Feed) Receive(ctx context.Context, b Broadcast) (Point, error) {
	var held Point
	at := f.cfg.Clock.Now()
	err := f.cfg.Loop.Call(ctx, func(now time.Time) { held = f.receive(now, at, b) })
	if err != nil {
		return Point{}, fmt.Errorf("registry: receiving an update: %w", err)
	}
	return held, nil
}

func (f *Feed) receive(now, at time.Time, b Broadcast) Point {
	if b.Update.Era < f.seenEra {
		// The sender does not know the era yet, so its confirmation is worth nothing.
		return f.Snapshot().Point()
	}
	if _, err := f.apply(now, at, b.Update); err != nil {
		f.noticeEra(now, b.Update.Era)
		return f.Snapshot().Point() // the sender then sends the missing changes
	}
	f.lastContact = now
	if f.firstState.IsZero() {
		f.firstState = now
	}
	if b.Update.Age >= 0 {
		f.lastConfirmed = laterOf(f.lastConfirmed, at.Add(-b.Update.Age))
	}
	if !b.Last {
		f.broadcast(now, b.Update.From(), Segments(f.cfg.Name, f.nodes, b.Until, false))
	}
	return f.Snapshot().Point()
}

// sendAlive sends a broadcast without changes, so that the other nodes know that this reader runs although the registry does not
// answer it.
func (f *Feed) sendAlive(now time.Time) {
	snapshot := f.Snapshot()
	if f.readerRank >= readerCount || snapshot.Revision() == 0 || now.Sub(f.lastAlive) < aliveInterval {
		return
	}
	f.lastAlive = now
	f.broadcast(now, snapshot.Point(), Segments(f.cfg.Name, f.nodes, 0, true))
}

// broadcast queues the changes after a point for each segment; it must be called on the control goroutine.
func (f *Feed) broadcast(now time.Time, after Point, segments []Segment) {
	f.outbox = f.outbox.WithBroadcast(after, segments)
	f.sendNext(now)
}

// sendNext sends the messages that the outbox wants sent now.
func (f *Feed) sendNext(now time.Time) {
	for {
		outbox, m, ok := f.outbox.WithNext(now)
		f.outbox = outbox
		if !ok {
			return
		}
		b := Broadcast{Update: f.Snapshot().Since(now, m.After), Until: m.Until, Last: m.Last}
		f.running.Go(func() { f.send(m.Node, b) })
	}
}

// send sends a broadcast to one node and passes the outcome to the outbox.
func (f *Feed) send(node Node, b Broadcast) {
	ctx, cancel := context.WithTimeout(f.ctx, sendTimeout)
	defer cancel()
	held, err := f.cfg.SendBroadcast(ctx, node.ControlAddr, b)
	if err != nil {
		f.reportError("passing news on", fmt.Errorf("registry: sending an update to %s: %w", node.Name, err))
	}
	f.post(func(now time.Time) {
		if err != nil {
			f.outbox = f.outbox.WithFailure(now, node.Name)
		} else {
			f.outbox = f.outbox.WithAnswer(node.Name, held)
			f.noticeEra(now, held.Era)
		}
		f.sendNext(now)
	})
}

// passOverSlow hands the broadcasts of nodes that do not answer on to the next nodes.
func (f *Feed) passOverSlow(now time.Time) {
	outbox, slow := f.outbox.WithSlow(now)
	f.outbox = outbox
	for _, name := range slow {
		f.reportError("passing news on", SlowError{Name: name})
	}
	f.sendNext(now)
}

// SlowError reports a node that has not answered a broadcast in time.
type SlowError struct{ Name string }

func (e SlowError) Error() string {
	return fmt.Sprintf("registry: %s did not answer within %s", e.Name, slowAfter)
}
