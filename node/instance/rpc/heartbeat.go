// Package rpc exchanges heartbeats between nodes over gRPC.
package rpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/instance/rpc/pb"
)

// ageUnit is the unit of ages in messages; the age of a home takes one byte up to 1.27 s.
const ageUnit = 10 * time.Millisecond

// HeartbeatError reports an invalid heartbeat message.
type HeartbeatError struct{ Reason string }

func (e HeartbeatError) Error() string { return "instance: invalid heartbeat: " + e.Reason }

// Encode returns the message form of a heartbeat.
func Encode(hb instance.Heartbeat) *pb.Beat {
	m := &pb.Beat{Name: hb.Name, Boot: hb.BootID, Version: hb.Version, Leaving: hb.Leaving}
	if hb.Version > 0 {
		m.Manifest = hb.Manifest[:]
	}
	if hb.Confirmed {
		m.Confirmed = encodeAge(hb.Age) + 1
	}
	for _, h := range hb.Homes {
		m.Homes = append(m.Homes, h.ID)
		m.Boots = append(m.Boots, h.BootID)
		m.Versions = append(m.Versions, h.Version-hb.Version)
		m.Ages = append(m.Ages, encodeAge(h.Age))
	}
	return m
}

// encodeAge returns d in units of ageUnit, rounded up, since an age must never be underestimated.
func encodeAge(d time.Duration) uint32 {
	return uint32(min(max((d+ageUnit-1)/ageUnit, 0), math.MaxUint32-1))
}

// Decode returns the heartbeat of a message.
func Decode(m *pb.Beat) (instance.Heartbeat, error) {
	n := len(m.Homes)
	switch {
	case m.Name == "" || len(m.Name) > 255:
		return instance.Heartbeat{}, HeartbeatError{Reason: "name missing or too long"}
	case m.Version < 0:
		return instance.Heartbeat{}, HeartbeatError{Reason: "negative version"}
	case m.Version > 0 && len(m.Manifest) != 32:
		return instance.Heartbeat{}, HeartbeatError{Reason: "manifest digest missing or of wrong length"}
	case n > instance.MaxHomeReports || len(m.Boots) != n || len(m.Versions) != n || len(m.Ages) != n:
		return instance.Heartbeat{}, HeartbeatError{Reason: "home fields differ in length or are too long"}
	}
	hb := instance.Heartbeat{Name: m.Name, BootID: m.Boot, Leaving: m.Leaving}
	hb.Version = m.Version
	copy(hb.Manifest[:], m.Manifest)
	if m.Confirmed > 0 {
		hb.Confirmed, hb.Age = true, time.Duration(m.Confirmed-1)*ageUnit
	}
	for i, id := range m.Homes {
		hb.Homes = append(hb.Homes, instance.HomeReport{
			ID: id, BootID: m.Boots[i], Version: m.Version + m.Versions[i], Age: time.Duration(m.Ages[i]) * ageUnit,
		})
	}
	return hb, nil
}

// Client sends heartbeats to other nodes.
type Client struct {
	Conn func(addr string) (*grpc.ClientConn, error)
	Now  func() time.Time
}

// Exchange sends own, with ages as of the call, and returns the heartbeat of the other node, with ages as of the return.
//
// The first message only opens the exchange. The other node answers with its heartbeat, so that own can be sent without the
// home reports that the other node already has.
func (c Client) Exchange(ctx context.Context, addr string, own instance.Heartbeat) (instance.Heartbeat, error) {
	started := c.Now()
	conn, err := c.Conn(addr)
	if err != nil {
		return instance.Heartbeat{}, fmt.Errorf("instance: connecting to %s: %w", addr, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := pb.NewInstancesClient(conn).Exchange(ctx)
	if err != nil {
		return instance.Heartbeat{}, fmt.Errorf("instance: opening an exchange: %w", err)
	}
	sent := c.Now()
	if err := stream.Send(&pb.Beat{Name: own.Name, Boot: own.BootID, Leaving: own.Leaving}); err != nil {
		return instance.Heartbeat{}, fmt.Errorf("instance: sending the opening message: %w", err)
	}
	m, err := stream.Recv()
	if err != nil {
		return instance.Heartbeat{}, fmt.Errorf("instance: receiving the answer: %w", err)
	}
	got, err := Decode(m)
	if err != nil {
		return instance.Heartbeat{}, err
	}
	now := c.Now()
	own = own.WithDelay(now.Sub(started)).WithoutKnown(got.WithDelay(now.Sub(sent)))
	if err := stream.Send(Encode(own)); err != nil {
		return instance.Heartbeat{}, fmt.Errorf("instance: sending a heartbeat: %w", err)
	}
	if err := stream.CloseSend(); err != nil {
		return instance.Heartbeat{}, fmt.Errorf("instance: ending an exchange: %w", err)
	}
	if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
		return instance.Heartbeat{}, fmt.Errorf("instance: ending an exchange: %w", err)
	}
	return got.WithDelay(c.Now().Sub(sent)), nil
}

// Server answers the heartbeats of other nodes.
type Server struct {
	pb.UnimplementedInstancesServer
	OwnHeartbeat func(ctx context.Context) (instance.Heartbeat, error)
	Receive      func(ctx context.Context, at time.Time, hb instance.Heartbeat) error // ages are as of at
	Now          func() time.Time
}

// Exchange sends this node's heartbeat in answer to the opening message and passes the received one to Receive.
func (s *Server) Exchange(stream grpc.BidiStreamingServer[pb.Beat, pb.Beat]) error {
	if _, err := stream.Recv(); err != nil {
		return fmt.Errorf("instance: receiving the opening message: %w", err)
	}
	own, err := s.OwnHeartbeat(stream.Context())
	if err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	sent := s.Now()
	if err := stream.Send(Encode(own)); err != nil {
		return fmt.Errorf("instance: sending the answer: %w", err)
	}
	m, err := stream.Recv()
	if err != nil {
		return fmt.Errorf("instance: receiving a heartbeat: %w", err)
	}
	hb, err := Decode(m)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	at := s.Now()
	return s.Receive(stream.Context(), at, hb.WithDelay(at.Sub(sent)))
}
