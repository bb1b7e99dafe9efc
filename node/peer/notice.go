package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/loop"
	"verbenapin.dev/node/peer/pb"
	"verbenapin.dev/node/target"
)

const (
	maxNotice = 512 // bytes of a datagram
	// noticeQueue bounds the notices that wait to be sent; further ones are dropped, since newer ones follow.
	noticeQueue = 64
	percent     = 100
)

// LoadReport is a report of a gate that came without a request.
type LoadReport struct {
	Target string
	BootID uint32
	Number uint32
	Load   target.Load
}

// NoticeError reports a datagram that is no notice.
type NoticeError struct{ Reason string }

func (e NoticeError) Error() string { return "peer: bad notice: " + e.Reason }

func (n LoadReport) encode() ([]byte, error) {
	l := n.Load
	data, err := proto.Marshal(&pb.Notice{
		Target: n.Target, Boot: n.BootID, Number: n.Number, Running: uint32(l.Running), Queued: uint32(l.Queued),
		Limit: uint32(l.Limit), Service: uint32(l.ServiceTime.Microseconds()), Pace: uint32(l.Slowdown * percent),
		Mean: uint32(l.MeanSlowdown * percent), Failing: uint32(l.FailureRate * percent), Leaving: l.Leaving, Down: l.Down,
		Cold: l.Cold, Wait: uint32(l.ExpectedWait.Milliseconds()),
	})
	if err != nil {
		return nil, fmt.Errorf("peer: encoding a notice: %w", err)
	}
	return data, nil
}

func decodeLoadReport(data []byte) (LoadReport, error) {
	var m pb.Notice
	if err := proto.Unmarshal(data, &m); err != nil {
		return LoadReport{}, fmt.Errorf("peer: decoding a notice: %w", err)
	}
	if m.GetTarget() == "" || m.GetLimit() == 0 {
		return LoadReport{}, NoticeError{Reason: "no target or no limit"}
	}
	return LoadReport{Target: m.GetTarget(), BootID: m.GetBoot(), Number: m.GetNumber(), Load: target.Load{
		Running: int(m.GetRunning()), Queued: int(m.GetQueued()), Limit: int(m.GetLimit()),
		ServiceTime: time.Duration(m.GetService()) * time.Microsecond, Slowdown: float64(m.GetPace()) / percent,
		MeanSlowdown: float64(m.GetMean()) / percent, FailureRate: float64(m.GetFailing()) / percent,
		Leaving: m.GetLeaving(), Down: m.GetDown(), Cold: m.GetCold(), ExpectedWait: time.Duration(m.GetWait()) * time.Millisecond,
	}}, nil
}

// outgoing is a notice with its receivers.
type outgoing struct {
	data []byte
	to   []string
}

// LoadExchange exchanges notices with other nodes over UDP. They are not authenticated, so they are for closed networks.
type LoadExchange struct {
	socket  *net.UDPConn
	loop    *loop.Loop
	boot    uint32
	current func() (name string, l target.Load)
	heard   func(now time.Time, n LoadReport)
	faults  func(error)
	tick    *clock.Subscription
	queue   chan outgoing
	ended   chan struct{}
	running sync.WaitGroup

	// Owned by the control goroutine.
	audience Audience
	number   uint32
}

// NewLoadExchange returns the exchange on a socket. current returns the target beside this node and what its gate reports;
// heard is called on the control goroutine with each notice of another node.
func NewLoadExchange(
	socket *net.UDPConn, l *loop.Loop, c *clock.Clock, boot uint32,
	current func() (string, target.Load), heard func(now time.Time, n LoadReport), faults func(error),
) *LoadExchange {
	n := &LoadExchange{
		socket: socket, loop: l, boot: boot, current: current, heard: heard, faults: faults,
		queue: make(chan outgoing, noticeQueue), ended: make(chan struct{}),
	}
	n.running.Go(n.receive)
	n.running.Go(n.send)
	n.tick = c.Subscribe(noticeEvery, func(time.Time) { _ = l.Post(context.Background(), n.ReportIfChanged) })
	return n
}

// AddReceiver notes that a node sent a request to the target beside this node; any goroutine may call it.
func (n *LoadExchange) AddReceiver(node string) {
	_ = n.loop.Post(context.Background(), func(now time.Time) {
		var fresh bool
		n.audience, fresh = n.audience.WithSender(now, node)
		if fresh {
			n.ReportIfChanged(now)
		}
	})
}

// ReportIfChanged sends a notice if the report of the gate is worth one; it runs on the control goroutine.
func (n *LoadExchange) ReportIfChanged(now time.Time) {
	name, load := n.current()
	if name == "" {
		return
	}
	var to []string
	n.audience, to = n.audience.WithLoad(now, load)
	if len(to) == 0 {
		return
	}
	n.number++
	data, err := LoadReport{Target: name, BootID: n.boot, Number: n.number, Load: load}.encode()
	if err != nil {
		n.faults(err)
		return
	}
	select {
	case n.queue <- outgoing{data: data, to: to}:
	default: // the next notice replaces this one
	}
}

func (n *LoadExchange) send() {
	for {
		select {
		case <-n.ended:
			return
		case out := <-n.queue:
			for _, node := range out.to {
				addr, err := netip.ParseAddrPort(node)
				if err == nil {
					_, err = n.socket.WriteToUDPAddrPort(out.data, addr)
				}
				if err != nil && !errors.Is(err, net.ErrClosed) {
					n.faults(fmt.Errorf("peer: sending a notice to %s: %w", node, err))
				}
			}
		}
	}
}

func (n *LoadExchange) receive() {
	buf := make([]byte, maxNotice)
	for {
		size, err := n.socket.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a datagram that could not be delivered is reported on the next read
		}
		notice, err := decodeLoadReport(buf[:size])
		if err != nil {
			n.faults(err)
			continue
		}
		_ = n.loop.Post(context.Background(), func(now time.Time) { n.heard(now, notice) })
	}
}

// Close ends the exchange and waits for it.
func (n *LoadExchange) Close() {
	n.tick.Close()
	close(n.ended)
	_ = n.socket.Close()
	n.running.Wait()
}
