package caller

import (
	"container/list"
	"sync"
	"time"
)

const (
	// minWait is how long a connection is idle, or its head incomplete, before it may be closed for another one. The first request of a
	// new connection arrives within milliseconds, and the rest of a head with it, or after one packet was sent again.
	minWait = 250 * time.Millisecond
	// reserveShare is the part of the connections, one in so many, on which requests are only refused, so that callers learn at once
	// that there is no room. As many may be giving way, which hold their descriptors until their goroutines have run.
	reserveShare = 8
	// noRoomRetryAfter is the retry delay of a caller for whose connection there is no room. Most requests end within it.
	noRoomRetryAfter = time.Second
)

// connState is what a connection is doing.
type connState int

const (
	stateIdle connState = iota // waits for a request
	stateHead                  // has received a part of a head, and has no other request
	stateBusy                  // has requests that are not answered yet
)

// RoomAction is what happens to a new connection of a caller.
type RoomAction string

// Actions for new connections.
const (
	RoomServe     RoomAction = "serve"  // there is room
	RoomCloseIdle RoomAction = "idle"   // it takes the place of the connection that has been idle for longest
	RoomCloseHead RoomAction = "head"   // it takes the place of the connection whose head has been incomplete for longest
	RoomRefuse    RoomAction = "refuse" // its request is refused, then it is closed
	RoomClose     RoomAction = "close"  // it is closed without being read
)

// Room is the state of a server's connections on which the decision about a new one depends; it is immutable.
type Room struct {
	Open        int           // connections, without those that are giving way
	Closing     int           // connections that are giving way
	Max         int           // connections that may be open, zero for any number
	IdleFor     time.Duration // of the connection that has been idle for longest, zero if none is
	PartialHead time.Duration // time since the start of the oldest incomplete head, zero if there is none
}

// Decide returns what happens to a new connection. Callers keep connections open between requests, and some never send a whole
// head; these give way first, since their callers can connect again. Connections with requests are never closed.
func (r Room) Decide() RoomAction {
	reserve := max(r.Max/reserveShare, 1)
	switch {
	case r.Max == 0 || r.Open < max(r.Max-2*reserve, 1):
		return RoomServe
	case r.Closing >= reserve:
		return RoomClose
	case r.IdleFor >= minWait:
		return RoomCloseIdle
	case r.PartialHead >= minWait:
		return RoomCloseHead
	case r.Open < r.Max-reserve:
		return RoomRefuse
	default:
		return RoomClose
	}
}

// connTable holds the open connections of a server, with those that may give way to others in the order in which they do.
type connTable struct {
	mu    sync.Mutex
	max   int                     // zero for any number
	conns map[*conn]*list.Element // nil for busy connections and those that are giving way
	idle  *list.List              // of *waitingConn, the longest idle first
	heads *list.List              // of *waitingConn, the oldest head first
	// yielding holds the connections that are giving way.
	yielding map[*conn]bool
}

// waitingConn is a connection that is idle or has an incomplete head since the given time.
type waitingConn struct {
	conn  *conn
	since time.Time
	list  *list.List
}

func newConnTable() *connTable {
	return &connTable{conns: map[*conn]*list.Element{}, idle: list.New(), heads: list.New(), yielding: map[*conn]bool{}}
}

func (t *connTable) setMax(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.max = n
}

// add decides on a new connection and adds it unless it is to be closed at once. It returns the connection that gives way, if any.
func (t *connTable) add(now time.Time, c *conn) (RoomAction, *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Room{Open: len(t.conns) - len(t.yielding), Closing: len(t.yielding), Max: t.max, IdleFor: oldest(now, t.idle), PartialHead: oldest(now, t.heads)}
	action := r.Decide()
	var yielding *conn
	switch action {
	case RoomCloseIdle:
		yielding = t.takeFirst(t.idle)
	case RoomCloseHead:
		yielding = t.takeFirst(t.heads)
	case RoomClose:
		return action, nil
	}
	t.wait(now, c, t.idle)
	return action, yielding
}

// oldest returns the time since the start of the first wait in a list, zero if the list is empty.
func oldest(now time.Time, l *list.List) time.Duration {
	if first := l.Front(); first != nil {
		return now.Sub(first.Value.(*waitingConn).since)
	}
	return 0
}

// takeFirst removes the first connection of a list, which gives way to another one.
func (t *connTable) takeFirst(l *list.List) *conn {
	c := l.Remove(l.Front()).(*waitingConn).conn
	t.conns[c], t.yielding[c] = nil, true
	return c
}

// wait appends a connection to the list in which it waits.
func (t *connTable) wait(now time.Time, c *conn, l *list.List) {
	t.conns[c] = l.PushBack(&waitingConn{conn: c, since: now, list: l})
}

// setState records what a connection does from now on; one that is giving way stays so unless it is busy.
func (t *connTable) setState(now time.Time, c *conn, s connState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	element, open := t.conns[c]
	if !open {
		return
	}
	if element != nil {
		element.Value.(*waitingConn).list.Remove(element)
		t.conns[c] = nil
	}
	switch {
	case s == stateBusy:
		delete(t.yielding, c)
	case t.yielding[c]:
	case s == stateIdle:
		t.wait(now, c, t.idle)
	case s == stateHead:
		t.wait(now, c, t.heads)
	}
}

// remove forgets a connection that has ended.
func (t *connTable) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if element := t.conns[c]; element != nil {
		element.Value.(*waitingConn).list.Remove(element)
	}
	delete(t.conns, c)
	delete(t.yielding, c)
}

// all returns the open connections.
func (t *connTable) all() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		out = append(out, c)
	}
	return out
}
