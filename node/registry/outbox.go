package registry

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxActiveSends bounds the messages in flight to nodes that are expected to answer: a round of each of two readers.
	maxActiveSends = 2 * fanout
	// maxSends bounds all messages in flight, including those to nodes that are slow to answer.
	maxSends = 2 * maxActiveSends
	// slowAfter is how long a node may take to answer before the next one of its segment gets the broadcast as well: a node that is
	// paused or unreachable must not delay the nodes after it for long.
	slowAfter = 300 * time.Millisecond
	// avoidTime is how long a node that was slow or unreachable is not asked to forward broadcasts. It gets them itself in the
	// meantime, so that a machine that is only slow does not fall behind.
	avoidTime = 2 * time.Second
)

// Message is a broadcast that the outbox wants sent to a node.
type Message struct {
	Node  Node
	After Point  // that the node is believed to hold
	Until uint32 // position on the ring up to which it forwards the broadcast
	Last  bool   // it does not forward the broadcast
}

// delivery is a broadcast for the nodes of a segment that has not been answered yet.
type delivery struct {
	segment Segment
	after   Point
}

func (d delivery) first() Node { return d.segment.Nodes[0] }

// forwarded reports whether the first node forwards the broadcast to others.
func (d delivery) forwarded() bool { return len(d.segment.Nodes) > 1 }

// onlyFirst returns the delivery to the first node alone, which does not forward it.
func (d delivery) onlyFirst() delivery {
	d.segment = Segment{Nodes: d.segment.Nodes[:1]}
	return d
}

// withoutFirst returns the delivery to the nodes after the first one.
func (d delivery) withoutFirst() delivery {
	d.segment = Segment{Nodes: d.segment.Nodes[1:]}
	return d
}

// withDelivery merges two deliveries that start at the same node.
func (d delivery) withDelivery(other delivery) delivery {
	if len(other.segment.Nodes) > len(d.segment.Nodes) {
		d.segment = other.segment
	}
	d.after = earlier(d.after, other.after)
	return d
}

// flight is a message that has been sent and not answered.
type flight struct {
	delivery  delivery
	after     Point // of the message
	startedAt time.Time
	slow      bool
}

// Outbox decides which broadcasts a node sends, and when. It answers the load of a fleet in which every entry changes at the same
// time and some nodes are slow: one message at a time is in flight to a node, and changes that arrive meanwhile are merged into the
// difference from what the node is known to hold. The number of messages in flight does not depend on the size of the fleet, on the
// rate of changes or on the nodes that do not answer. It is immutable.
type Outbox struct {
	pending []delivery           // in the order of sending, at most one for each first node
	flights map[string]flight    // by node name
	held    map[string]Point     // what nodes are known to hold, by node name
	avoided map[string]time.Time // nodes that do not forward broadcasts until this time, by node name
}

// WithBroadcast adds a broadcast of the changes after a point to each of the segments.
func (o Outbox) WithBroadcast(after Point, segments []Segment) Outbox {
	for _, s := range segments {
		o = o.withPending(delivery{segment: s, after: after}, false)
	}
	return o
}

// withPending adds a delivery to the end of the queue, or to its front if it is urgent. It is merged with one to the same node.
func (o Outbox) withPending(d delivery, urgent bool) Outbox {
	i := slices.IndexFunc(o.pending, func(p delivery) bool { return p.first().Name == d.first().Name })
	o.pending = slices.Clone(o.pending)
	switch {
	case i >= 0:
		o.pending[i] = o.pending[i].withDelivery(d)
	case urgent:
		o.pending = slices.Insert(o.pending, 0, d)
	default:
		o.pending = append(o.pending, d)
	}
	return o
}

// WithNext returns the next message to send, and false if there is none now.
func (o Outbox) WithNext(now time.Time) (Outbox, Message, bool) {
	o = o.withoutAvoided(now)
	if len(o.flights) >= maxSends || o.activeSends() >= maxActiveSends {
		return o, Message{}, false
	}
	for i, d := range o.pending {
		if _, ok := o.flights[d.first().Name]; ok {
			continue
		}
		o.pending = slices.Delete(slices.Clone(o.pending), i, i+1)
		o.flights = maps.Clone(o.flights)
		if o.flights == nil {
			o.flights = map[string]flight{}
		}
		after := d.after
		if held, ok := o.held[d.first().Name]; ok {
			after = held
		}
		o.flights[d.first().Name] = flight{delivery: d, after: after, startedAt: now}
		return o, Message{Node: d.first(), After: after, Until: d.segment.Until(), Last: !d.forwarded()}, true
	}
	return o, Message{}, false
}

// withoutAvoided passes over the nodes at the start of segments that should not forward broadcasts: the next node of the segment
// takes their place, and they get the broadcast without forwarding it.
func (o Outbox) withoutAvoided(now time.Time) Outbox {
	var single []delivery
	moved := Outbox{}
	for _, d := range o.pending {
		for d.forwarded() && now.Before(o.avoided[d.first().Name]) {
			single = append(single, d.onlyFirst())
			d = d.withoutFirst()
		}
		moved = moved.withPending(d, false)
	}
	if len(single) == 0 {
		return o
	}
	for _, d := range single {
		moved = moved.withPending(d, false)
	}
	o.pending = moved.pending
	return o
}

func (o Outbox) activeSends() int {
	n := 0
	for _, f := range o.flights {
		if !f.slow {
			n++
		}
	}
	return n
}

// WithSlow hands the segments of nodes that have not answered for slowAfter on to the next nodes, and returns the names of these
// slow nodes.
func (o Outbox) WithSlow(now time.Time) (Outbox, []string) {
	var slow []string
	for name, f := range o.flights {
		if !f.slow && now.Sub(f.startedAt) >= slowAfter {
			slow = append(slow, name)
		}
	}
	slices.Sort(slow)
	for _, name := range slow {
		f := o.flights[name]
		f.slow = true
		o.flights = maps.Clone(o.flights)
		o.flights[name] = f
		o = o.withPassedOver(now, f.delivery)
	}
	return o, slow
}

// withPassedOver avoids the first node of a delivery for some time and queues the delivery to the nodes after it.
func (o Outbox) withPassedOver(now time.Time, d delivery) Outbox {
	o.avoided = maps.Clone(o.avoided)
	if o.avoided == nil {
		o.avoided = map[string]time.Time{}
	}
	o.avoided[d.first().Name] = now.Add(avoidTime)
	if d.forwarded() {
		o = o.withPending(d.withoutFirst(), true)
	}
	return o
}

// WithAnswer records the point that a node holds after it got a message. A node that lacks changes before the message is sent these.
func (o Outbox) WithAnswer(name string, held Point) Outbox {
	f, ok := o.flights[name]
	if !ok {
		return o
	}
	o.flights = maps.Clone(o.flights)
	delete(o.flights, name)
	o.avoided = maps.Clone(o.avoided)
	delete(o.avoided, name)
	o.held = maps.Clone(o.held)
	if o.held == nil {
		o.held = map[string]Point{}
	}
	o.held[name] = held
	if held.Compare(f.after) < 0 {
		d := f.delivery
		d.after = held
		if f.slow { // the next node already forwards it
			d = d.onlyFirst()
		}
		o = o.withPending(d, true)
	}
	return o
}

// WithFailure records that a message was not delivered, so that the next node of the segment gets it.
func (o Outbox) WithFailure(now time.Time, name string) Outbox {
	f, ok := o.flights[name]
	if !ok {
		return o
	}
	o.flights = maps.Clone(o.flights)
	delete(o.flights, name)
	o.held = maps.Clone(o.held)
	delete(o.held, name)
	if f.slow {
		return o
	}
	return o.withPassedOver(now, f.delivery)
}

// WithNodes drops what is known about nodes that are no longer in the fleet, and broadcasts that start at them.
func (o Outbox) WithNodes(nodes []Node) Outbox {
	names := make(map[string]bool, len(nodes))
	for _, node := range nodes {
		names[node.Name] = true
	}
	gone := func(name string) bool { return !names[name] }
	o.held, o.avoided = maps.Clone(o.held), maps.Clone(o.avoided)
	maps.DeleteFunc(o.held, func(name string, _ Point) bool { return gone(name) })
	maps.DeleteFunc(o.avoided, func(name string, _ time.Time) bool { return gone(name) })
	var kept Outbox
	for _, d := range o.pending {
		for d.forwarded() && gone(d.first().Name) {
			d = d.withoutFirst()
		}
		if !gone(d.first().Name) {
			kept = kept.withPending(d, false)
		}
	}
	o.pending = kept.pending
	return o
}
