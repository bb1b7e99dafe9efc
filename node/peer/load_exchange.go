package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/loop"
	"verbenapin.dev/node/peer/pb"
	"verbenapin.dev/node/target"
)

const (
	maxReportBytes = 512 // size of a datagram
	// reportQueueSize bounds the load reports waiting to be sent; further ones are dropped, since newer ones follow.
	reportQueueSize = 64
	percent         = 100
	// receivePause is the time between a failed read of the socket and the next one: the error may last.
	receivePause = 50 * time.Millisecond
	// maxReportedCount bounds the numbers of requests in a load report; a larger limit would attract all requests of the fleet.
	maxReportedCount = 1_000_000
)

// LoadReport is the load of a target that its gate sends to other nodes without a request.
type LoadReport struct {
	Target string
	BootID uint32
	Number uint32 // increases with each report of a boot
	Load   target.Load
}

// LoadReportError reports a datagram that is not a valid load report.
type LoadReportError struct{ Reason string }

func (e LoadReportError) Error() string { return "peer: invalid load report: " + e.Reason }

func (r LoadReport) encode() ([]byte, error) {
	l := r.Load
	data, err := proto.Marshal(&pb.Notice{
		Target: r.Target, Boot: r.BootID, Number: r.Number, Running: uint32(l.Running), Queued: uint32(l.Queued),
		Limit: uint32(l.Limit), Service: uint32(l.ServiceTime.Microseconds()), Pace: uint32(l.Slowdown * percent),
		Mean: uint32(l.MeanSlowdown * percent), Failing: uint32(l.FailureRate * percent), Leaving: l.Leaving, Down: l.Unreachable,
		Cold: l.Cold, Wait: uint32(l.ExpectedWait.Milliseconds()), Waits: encodeRankWaits(l.Waits),
	})
	if err != nil {
		return nil, fmt.Errorf("peer: encoding a load report: %w", err)
	}
	return data, nil
}

func decodeLoadReport(data []byte) (LoadReport, error) {
	var m pb.Notice
	if err := proto.Unmarshal(data, &m); err != nil {
		return LoadReport{}, fmt.Errorf("peer: decoding a load report: %w", err)
	}
	if m.GetTarget() == "" || m.GetLimit() == 0 {
		return LoadReport{}, LoadReportError{Reason: "no target or no limit"}
	}
	if max(m.GetRunning(), m.GetQueued(), m.GetLimit(), m.GetPace(), m.GetMean()) > maxReportedCount || m.GetFailing() > percent {
		return LoadReport{}, LoadReportError{Reason: "a number is out of range"}
	}
	waits := decodeRankWaits(m.GetWaits())
	if err := target.CheckRankWaits(waits); err != nil {
		return LoadReport{}, LoadReportError{Reason: err.Error()}
	}
	return LoadReport{Target: m.GetTarget(), BootID: m.GetBoot(), Number: m.GetNumber(), Load: target.Load{
		Running: int(m.GetRunning()), Queued: int(m.GetQueued()), Limit: int(m.GetLimit()),
		ServiceTime: time.Duration(m.GetService()) * time.Microsecond, Slowdown: float64(m.GetPace()) / percent,
		MeanSlowdown: float64(m.GetMean()) / percent, FailureRate: float64(m.GetFailing()) / percent,
		Leaving: m.GetLeaving(), Unreachable: m.GetDown(), Cold: m.GetCold(), ExpectedWait: time.Duration(m.GetWait()) * time.Millisecond,
		Waits: waits,
	}}, nil
}

func encodeRankWaits(waits []target.RankWait) []*pb.RankWait {
	out := make([]*pb.RankWait, 0, len(waits))
	for _, w := range waits {
		p := w.Priority
		out = append(out, &pb.RankWait{Account: int32(p.Account), Route: int32(p.Route), Stage: uint32(p.Stage), Wait: uint32(w.Wait.Milliseconds())})
	}
	return out
}

func decodeRankWaits(waits []*pb.RankWait) []target.RankWait {
	var out []target.RankWait
	for _, w := range waits {
		p := target.Priority{Account: int(w.GetAccount()), Route: int(w.GetRoute()), Stage: target.Stage(w.GetStage())}
		out = append(out, target.RankWait{Priority: p, Wait: time.Duration(w.GetWait()) * time.Millisecond})
	}
	return out
}

// outgoing is an encoded load report with its receivers.
type outgoing struct {
	data []byte
	to   []string
}

// LoadExchange exchanges load reports with other nodes over UDP. The reports are not authenticated, so the network must be
// closed to others.
type LoadExchange struct {
	socket   *net.UDPConn
	loop     *loop.Loop
	clock    *clock.Clock
	bootID   uint32
	current  func() (name string, l target.Load)
	onReport func(now time.Time, r LoadReport)
	onError  func(error)
	tick     *clock.Subscription
	queue    chan outgoing
	sent     atomic.Int64 // bytes of load reports
	closed   chan struct{}
	running  sync.WaitGroup

	// Owned by the control goroutine.
	receivers  Receivers
	lastNumber uint32
}

// NewLoadExchange returns a running exchange on a socket. current returns the name of the target beside this node, empty for
// none, and its load; onReport is called on the control goroutine with each load report of another node.
func NewLoadExchange(
	socket *net.UDPConn, l *loop.Loop, c *clock.Clock, bootID uint32,
	current func() (string, target.Load), onReport func(now time.Time, r LoadReport), onError func(error),
) *LoadExchange {
	x := &LoadExchange{
		socket: socket, loop: l, clock: c, bootID: bootID, current: current, onReport: onReport, onError: onError,
		queue: make(chan outgoing, reportQueueSize), closed: make(chan struct{}),
	}
	x.running.Go(x.receive)
	x.running.Go(x.send)
	x.tick = c.Subscribe(maxReportInterval, func(time.Time) { _ = l.Post(context.Background(), x.ReportIfChanged) })
	return x
}

// AddReceiver adds a node that sent a request to the target beside this node; any goroutine may call it.
func (x *LoadExchange) AddReceiver(node string) {
	_ = x.loop.Post(context.Background(), func(now time.Time) {
		var added bool
		x.receivers, added = x.receivers.WithReceiver(now, node)
		if added {
			x.ReportIfChanged(now)
		}
	})
}

// ReportIfChanged sends a load report if the load changed enough or the last report is too old; it runs on the control
// goroutine.
func (x *LoadExchange) ReportIfChanged(now time.Time) {
	name, load := x.current()
	if name == "" {
		return
	}
	var to []string
	x.receivers, to = x.receivers.WithLoad(now, load)
	if len(to) == 0 {
		return
	}
	x.lastNumber++
	data, err := LoadReport{Target: name, BootID: x.bootID, Number: x.lastNumber, Load: load}.encode()
	if err != nil {
		x.onError(err)
		return
	}
	select {
	case x.queue <- outgoing{data: data, to: to}:
	default: // the next load report replaces this one
	}
}

// Sent returns the bytes of the load reports that were sent, without UDP and IP headers.
func (x *LoadExchange) Sent() int64 { return x.sent.Load() }

func (x *LoadExchange) send() {
	for {
		select {
		case <-x.closed:
			return
		case out := <-x.queue:
			for _, node := range out.to {
				addr, err := netip.ParseAddrPort(node)
				if err == nil {
					x.sent.Add(int64(len(out.data)))
					_, err = x.socket.WriteToUDPAddrPort(out.data, addr)
				}
				if err != nil && !errors.Is(err, net.ErrClosed) {
					x.onError(fmt.Errorf("peer: sending a load report to %s: %w", node, err))
				}
			}
		}
	}
}

func (x *LoadExchange) receive() {
	buf := make([]byte, maxReportBytes)
	for {
		size, err := x.socket.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // also that of a datagram that could not be delivered
			x.onError(fmt.Errorf("peer: receiving a load report: %w", err))
			if !x.pause(receivePause) {
				return
			}
			continue
		}
		report, err := decodeLoadReport(buf[:size])
		if err != nil {
			x.onError(err)
			continue
		}
		_ = x.loop.Post(context.Background(), func(now time.Time) { x.onReport(now, report) })
	}
}

// pause waits and returns false if the exchange was closed meanwhile.
func (x *LoadExchange) pause(wait time.Duration) bool {
	over := make(chan struct{})
	timer := x.clock.AfterFunc(wait, func(time.Time) { close(over) })
	defer timer.Close()
	select {
	case <-over:
		return true
	case <-x.closed:
		return false
	}
}

// Close closes the socket and waits for the goroutines of the exchange.
func (x *LoadExchange) Close() {
	x.tick.Close()
	close(x.closed)
	_ = x.socket.Close()
	x.running.Wait()
}
