package peer

import (
	"maps"
	"slices"
	"time"

	"verbenapin.dev/node/target"
)

const (
	// listenFor is how long a node gets notices after its last request.
	listenFor = 3 * time.Second
	// noticeEvery is the longest pause between notices; without them for a few such pauses a node counts as silent.
	noticeEvery = 300 * time.Millisecond
	// noticePause is the shortest pause between notices of a load that changes with each request.
	noticePause = 50 * time.Millisecond
	// loadStep is the change of running and waiting requests that is worth a notice, as a share of the limit.
	loadStep = 0.3
	// waitStep is the change of the expected wait that is worth a notice.
	waitStep = 20 * time.Millisecond
	// paceStep is the change of the pace that is worth a notice at once.
	paceStep = 0.25
)

// Audience is the nodes that lately sent requests to the target beside this node, and what they were told last. It never
// changes.
type Audience struct {
	senders  map[string]time.Time // last request, by the node's name
	reported target.Load
	at       time.Time // last notice
}

// WithSender returns the audience after a request of a node, and whether the node is new to it.
func (a Audience) WithSender(now time.Time, node string) (Audience, bool) {
	_, known := a.senders[node]
	a.senders = maps.Clone(a.senders)
	if a.senders == nil {
		a.senders = map[string]time.Time{}
	}
	a.senders[node] = now
	return a, !known
}

// WithLoad returns the audience after a report of the gate, and the nodes to tell now, none if the report can wait.
func (a Audience) WithLoad(now time.Time, l target.Load) (Audience, []string) {
	if len(a.senders) == 0 || !a.worth(now, l) {
		return a, nil
	}
	a.reported, a.at = l, now
	a.senders = maps.Clone(a.senders)
	maps.DeleteFunc(a.senders, func(_ string, last time.Time) bool { return now.Sub(last) >= listenFor })
	return a, slices.Sorted(maps.Keys(a.senders))
}

// worth tells whether a report differs enough from the last notice, or that is too old.
func (a Audience) worth(now time.Time, l target.Load) bool {
	since := now.Sub(a.at)
	switch {
	case since >= noticeEvery, l.Leaving != a.reported.Leaving, l.Down != a.reported.Down, l.Cold != a.reported.Cold:
		return true
	case l.Slowdown-a.reported.Slowdown >= paceStep, a.reported.Slowdown-l.Slowdown >= paceStep:
		return true
	case since < noticePause:
		return false
	}
	if longer := l.ExpectedWait - a.reported.ExpectedWait; longer >= waitStep || longer <= -waitStep {
		return true
	}
	change := l.Running + l.Queued - a.reported.Running - a.reported.Queued
	return l.Limit != a.reported.Limit || float64(max(change, -change)) >= max(loadStep*float64(l.Limit), 1)
}
