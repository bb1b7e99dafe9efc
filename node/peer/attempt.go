package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

// deadlineGrace is how long after its deadline an attempt is cancelled, so that the gate's own refusal arrives first, which
// states whether the request was executed.
const deadlineGrace = 20 * time.Millisecond

// bodySampling is the interval in which the body of a response from another node must make progress after the deadline. A throttled
// link serves one chunk of each large response in turn, so that each of sixty gets one within it at 10 Mbit/s.
const bodySampling = time.Second

// runAttempt sends an attempt and updates the target table with its outcome.
func (d *Dispatcher) runAttempt(a activeAttempt) attemptResult {
	onDone := func(target.Reply, error) {}
	if d.OnAttempt != nil {
		a.ctx, onDone = d.OnAttempt(a.ctx, a.call.Route, a.call.Request.Header, a.info)
	}
	started := time.Now()
	reply, err := d.sendAttempt(a)
	took := time.Since(started)
	if a.node == d.self.Name {
		reply.NodeTime = took // the node's own target is reached without a network trip
	} else {
		reply.Timings.HopTime = took
	}
	reply.Timings.TargetName = a.name
	d.recordOutcome(a, reply, err, took)
	if err != nil && a.superseded() {
		onDone(reply, SupersededError{})
	} else {
		onDone(reply, err)
	}
	return attemptResult{name: a.name, reply: reply, err: err}
}

// sendAttempt sends the attempt to its target under its deadline, which covers the time until the response headers. After it, the body
// must make progress: the gate sees to that at its target, and this node at a connection to another node.
func (d *Dispatcher) sendAttempt(a activeAttempt) (target.Reply, error) {
	timer := time.AfterFunc(time.Until(a.call.Deadline)+deadlineGrace, func() { a.cancel(context.DeadlineExceeded) })
	call := a.call
	call.Request, call.TargetName = call.Request.WithContext(a.ctx), a.name
	var reply target.Reply
	var err error
	if a.node == d.self.Name {
		reply, err = d.sendLocal(call)
	} else {
		reply, err = d.sendRemote(a.node, call)
	}
	timer.Stop()
	if err != nil {
		a.cancel(nil)
		return reply, err
	}
	if a.node != d.self.Name {
		reply.Response.Body = target.MonitorBody(reply.Response.Body, a.call.Deadline.Add(deadlineGrace), target.Pace{Interval: bodySampling}, a.cancel)
	}
	reply.Response.Body = &trackedBody{ReadCloser: reply.Response.Body, onClose: func() {
		a.cancel(nil)
		d.recordDone(a.name)
	}}
	return reply, nil
}

// recordOutcome updates the target table and the latency histogram of the route with the outcome of an attempt.
func (d *Dispatcher) recordOutcome(a activeAttempt, reply target.Reply, err error, took time.Duration) {
	superseded := a.superseded()
	var report answer.TargetReport
	if err == nil {
		report = d.Report(reply.Response.Header) // read here, since the header may change once the response is relayed
	}
	cancelled := superseded || a.call.Request.Context().Err() != nil
	_ = d.loop.Post(context.Background(), func(now time.Time) {
		// The time until a superseded attempt was cancelled is a lower bound of its latency; without it the p95 would fall.
		if h, ok := d.hedges[a.call.Route]; ok && a.measured && (err == nil || superseded) {
			d.hedges[a.call.Route] = h.WithLatency(took)
		}
		var refused answer.Refusal
		var noRoom NoRoomError
		switch {
		case err == nil:
			d.countOutcome(now, a, nil)
			if d.RefuseEarly != nil && reply.Timings.TargetTime > 0 {
				d.serviceTimes = d.serviceTimes.WithResponse(a.call.Route, time.Duration(float64(reply.Timings.TargetTime)/max(reply.Load.Slowdown, 1)))
			}
			d.table = d.table.WithResponse(now, a.name, reply.Load, max(0, took-reply.NodeTime)).WithAnnouncement(now, a.name, report)
			return
		case cancelled, errors.As(err, &noRoom):
		case errors.As(err, &refused) && reply.HasLoad:
			d.table = d.table.WithRefusal(now, a.name, refused, reply.Load)
			d.countOutcome(now, a, &refused)
		default: // no answer, not even a refusal after the deadline, so the node may be paused or unreachable
			d.table = d.table.WithLost(now, a.name)
		}
		d.table = d.table.WithDone(now, a.name)
	})
}

// recordDone counts the attempt as no longer outstanding.
func (d *Dispatcher) recordDone(name string) {
	_ = d.loop.Post(context.Background(), func(now time.Time) { d.table = d.table.WithDone(now, name) })
}

// trackedBody calls onClose once when the response is no longer used.
type trackedBody struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close closes the body.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}
