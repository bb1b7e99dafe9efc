package registry

import (
	"context"
	"fmt"
	"sync"
)

// decoder decodes changed items outside the control goroutine, in the order of their first change. Items that change again before
// they are decoded are decoded once, so that what waits is bounded by the number of items and adding to it never blocks.
type decoder struct {
	decode  func(Item) (DecodedItem, error)
	publish func(Snapshot, []Change)
	onError func(error)
	wake    chan struct{} // has a value while items wait

	mu       sync.Mutex
	snapshot Snapshot
	order    []string // keys of the waiting items
	waiting  map[string]Item
}

func newDecoder(decode func(Item) (DecodedItem, error), publish func(Snapshot, []Change), onError func(error)) *decoder {
	return &decoder{decode: decode, publish: publish, onError: onError, wake: make(chan struct{}, 1), waiting: map[string]Item{}}
}

// add queues the items that changed up to a snapshot.
func (d *decoder) add(snapshot Snapshot, items []Item) {
	d.mu.Lock()
	d.snapshot = snapshot
	for _, i := range items {
		if _, ok := d.waiting[i.Key]; !ok {
			d.order = append(d.order, i.Key)
		}
		d.waiting[i.Key] = i
	}
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// take returns the waiting items and the snapshot that they belong to.
func (d *decoder) take() (Snapshot, []Item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	items := make([]Item, 0, len(d.order))
	for _, key := range d.order {
		items = append(items, d.waiting[key])
	}
	d.order, d.waiting = nil, map[string]Item{}
	return d.snapshot, items
}

// run decodes and publishes items until ctx ends.
func (d *decoder) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		snapshot, items := d.take()
		changes := make([]Change, 0, len(items))
		for _, i := range items {
			c, err := d.change(i)
			if err != nil {
				d.onError(err)
			}
			changes = append(changes, c)
		}
		d.publish(snapshot, changes)
	}
}

// change decodes an item. A decoder that panics costs the item, since another program may have written anything.
func (d *decoder) change(i Item) (c Change, err error) {
	c = Change{Item: i}
	if i.Deleted {
		return c, nil
	}
	defer func() {
		if v := recover(); v != nil {
			c, err = Change{Item: i}, ValueError{Key: i.Key, Reason: fmt.Sprintf("decoding it panicked: %v", v)}
		}
	}()
	if i, err = i.WithValue(); err != nil {
		return c, err
	}
	c.Item = i
	c.Decoded, err = d.decode(i)
	return c, err
}
