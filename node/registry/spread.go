package registry

import (
	"context"
	"fmt"
	"time"
)

// Receive takes news from another node and returns the revision that this node holds afterwards.
func (f *Feed) Receive(ctx context.Context, t Broadcast) (int64, error) {
	var revision int64
	at := f.s.Clock.Now()
	err := f.s.Loop.Call(ctx, func(now time.Time) { revision = f.receive(now, at, t) })
	if err != nil {
		return 0, fmt.Errorf("registry: receiving news: %w", err)
	}
	return revision, nil
}

func (f *Feed) receive(now, at time.Time, t Broadcast) int64 {
	held := f.Snapshot()
	if _, err := f.adopt(at, t.News); err != nil {
		return held.Revision() // the sender sends what is missing
	}
	f.heard = now
	if t.News.Age >= 0 {
		f.spread = laterOf(f.spread, at.Add(-t.News.Age))
	}
	if !t.Last {
		f.pass(now, t.News.After, Errands(f.s.Name, f.nodes, t.Until, false))
	}
	return f.Snapshot().Revision()
}

// alive tells the other nodes that this reader is there although it gets no answer.
func (f *Feed) alive(now time.Time) {
	held := f.Snapshot()
	if f.rank >= readers || held.Revision() == 0 || now.Sub(f.told) < aliveEvery {
		return
	}
	f.told = now
	f.pass(now, held.Revision(), Errands(f.s.Name, f.nodes, 0, true))
}

// pass sends what followed a revision along the ring; it runs on the control goroutine.
func (f *Feed) pass(now time.Time, after int64, errands []Errand) {
	held := f.Snapshot()
	for _, e := range errands {
		t := Broadcast{News: held.Since(now, after), Until: e.Until(), Last: len(e.Members) == 1}
		f.running.Go(func() { f.tell(held, t, e.Members) })
	}
}

// tell passes news on to the first of the members that answers soon. Slow ones may still get them.
func (f *Feed) tell(held Snapshot, t Broadcast, members []Node) {
	timer := time.NewTimer(tellPatience)
	defer timer.Stop()
	for _, m := range members {
		told := make(chan error, 1)
		f.running.Go(func() { told <- f.tellOne(held, t, m) })
		timer.Reset(tellPatience)
		var err error
		select {
		case err = <-told:
			if err == nil {
				return
			}
		case <-timer.C:
			err = SlowError{Name: m.Name}
		case <-f.ctx.Done():
			return
		}
		f.failed("passing news on", err)
	}
}

// SlowError reports a node that has not answered a telling in time.
type SlowError struct{ Name string }

func (e SlowError) Error() string {
	return fmt.Sprintf("registry: %s did not answer within %s", e.Name, tellPatience)
}

// tellOne passes news on to one member, and sends what it lacks if it is behind.
func (f *Feed) tellOne(held Snapshot, t Broadcast, m Node) error {
	ctx, cancel := context.WithTimeout(f.ctx, tellTimeout)
	defer cancel()
	revision, err := f.s.Send(ctx, m.ControlAddr, t)
	if err != nil {
		return fmt.Errorf("registry: telling %s: %w", m.Name, err)
	}
	if revision >= t.News.After {
		return nil
	}
	t.News = held.Since(f.s.Clock.Now(), revision)
	if _, err := f.s.Send(ctx, m.ControlAddr, t); err != nil {
		return fmt.Errorf("registry: telling %s what it lacks: %w", m.Name, err)
	}
	return nil
}
