package registry

import (
	"context"
	"fmt"
	"time"
)

// Receive applies a broadcast of another node and returns the revision that this node then holds.
func (f *Feed) Receive(ctx context.Context, b Broadcast) (int64, error) {
	var revision int64
	at := f.cfg.Clock.Now()
	err := f.cfg.Loop.Call(ctx, func(now time.Time) { revision = f.receive(now, at, b) })
	if err != nil {
		return 0, fmt.Errorf("registry: receiving an update: %w", err)
	}
	return revision, nil
}

func (f *Feed) receive(now, at time.Time, b Broadcast) int64 {
	snapshot := f.Snapshot()
	if _, err := f.apply(at, b.Update); err != nil {
		return snapshot.Revision() // the sender then sends the missing changes
	}
	f.lastContact = now
	if b.Update.Age >= 0 {
		f.lastConfirmed = laterOf(f.lastConfirmed, at.Add(-b.Update.Age))
	}
	if !b.Last {
		f.broadcast(now, b.Update.After, Segments(f.cfg.Name, f.nodes, b.Until, false))
	}
	return f.Snapshot().Revision()
}

// sendAlive sends a broadcast without changes, so that the other nodes know that this reader runs although the registry does not
// answer it.
func (f *Feed) sendAlive(now time.Time) {
	snapshot := f.Snapshot()
	if f.readerRank >= readerCount || snapshot.Revision() == 0 || now.Sub(f.lastAlive) < aliveInterval {
		return
	}
	f.lastAlive = now
	f.broadcast(now, snapshot.Revision(), Segments(f.cfg.Name, f.nodes, 0, true))
}

// broadcast sends the changes after a revision to each segment; it must be called on the control goroutine.
func (f *Feed) broadcast(now time.Time, after int64, segments []Segment) {
	snapshot := f.Snapshot()
	for _, s := range segments {
		b := Broadcast{Update: snapshot.Since(now, after), Until: s.Until(), Last: len(s.Nodes) == 1}
		f.running.Go(func() { f.sendToFirst(snapshot, b, s.Nodes) })
	}
}

// sendToFirst sends a broadcast to the first of the nodes that answers within nextNodeDelay. Slower ones may still receive it.
func (f *Feed) sendToFirst(snapshot Snapshot, b Broadcast, nodes []Node) {
	timer := time.NewTimer(nextNodeDelay)
	defer timer.Stop()
	for _, node := range nodes {
		result := make(chan error, 1)
		f.running.Go(func() { result <- f.sendTo(snapshot, b, node) })
		timer.Reset(nextNodeDelay)
		var err error
		select {
		case err = <-result:
			if err == nil {
				return
			}
		case <-timer.C:
			err = SlowError{Name: node.Name}
		case <-f.ctx.Done():
			return
		}
		f.reportError("passing news on", err)
	}
}

// SlowError reports a node that has not answered a broadcast in time.
type SlowError struct{ Name string }

func (e SlowError) Error() string {
	return fmt.Sprintf("registry: %s did not answer within %s", e.Name, nextNodeDelay)
}

// sendTo sends a broadcast to one node, and sends again with the missing changes if the node turns out to be behind.
func (f *Feed) sendTo(snapshot Snapshot, b Broadcast, node Node) error {
	ctx, cancel := context.WithTimeout(f.ctx, sendTimeout)
	defer cancel()
	revision, err := f.cfg.SendBroadcast(ctx, node.ControlAddr, b)
	if err != nil {
		return fmt.Errorf("registry: sending an update to %s: %w", node.Name, err)
	}
	if revision >= b.Update.After {
		return nil
	}
	b.Update = snapshot.Since(f.cfg.Clock.Now(), revision)
	if _, err := f.cfg.SendBroadcast(ctx, node.ControlAddr, b); err != nil {
		return fmt.Errorf("registry: sending %s the changes that it lacks: %w", node.Name, err)
	}
	return nil
}
