// Package rpc carries heartbeats between nodes over gRPC.
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

// unit is the precision of ages on the wire; it keeps an age below 1.27 s in one byte.
const unit = 10 * time.Millisecond

// HeartbeatError reports a heartbeat that cannot be read.
type HeartbeatError struct{ Reason string }

func (e HeartbeatError) Error() string { return "instance: bad heartbeat: " + e.Reason }

// Encode returns the message form of a heartbeat.
func Encode(b instance.Heartbeat) *pb.Beat {
	m := &pb.Beat{Name: b.Name, Boot: b.BootID, Version: b.Version, Leaving: b.Leaving}
	if b.Version > 0 {
		m.Manifest = b.Manifest[:]
	}
	if b.Confirmed {
		m.Confirmed = encodeAge(b.Age) + 1
	}
	for _, h := range b.Homes {
		m.Homes = append(m.Homes, h.ID)
		m.Boots = append(m.Boots, h.BootID)
		m.Versions = append(m.Versions, h.Version-b.Version)
		m.Ages = append(m.Ages, encodeAge(h.Age))
	}
	return m
}

// encodeAge rounds up, since an age must never be underestimated.
func encodeAge(d time.Duration) uint32 {
	return uint32(min(max((d+unit-1)/unit, 0), math.MaxUint32-1))
}

// Decode returns the heartbeat of a message.
func Decode(m *pb.Beat) (instance.Heartbeat, error) {
	n := len(m.Homes)
	switch {
	case m.Name == "" || len(m.Name) > 255:
		return instance.Heartbeat{}, HeartbeatError{Reason: "no name"}
	case m.Version < 0:
		return instance.Heartbeat{}, HeartbeatError{Reason: "negative version"}
	case m.Version > 0 && len(m.Manifest) != 32:
		return instance.Heartbeat{}, HeartbeatError{Reason: "no manifest digest"}
	case n > instance.MaxHomeReports || len(m.Boots) != n || len(m.Versions) != n || len(m.Ages) != n:
		return instance.Heartbeat{}, HeartbeatError{Reason: "columns of homes differ or are too long"}
	}
	b := instance.Heartbeat{Name: m.Name, BootID: m.Boot, Leaving: m.Leaving}
	b.Version = m.Version
	copy(b.Manifest[:], m.Manifest)
	if m.Confirmed > 0 {
		b.Confirmed, b.Age = true, time.Duration(m.Confirmed-1)*unit
	}
	for i, id := range m.Homes {
		b.Homes = append(b.Homes, instance.HomeReport{
			ID: id, BootID: m.Boots[i], Version: m.Version + m.Versions[i], Age: time.Duration(m.Ages[i]) * unit,
		})
	}
	return b, nil
}

// Client sends heartbeats.
type Client struct {
	Conn func(addr string) (*grpc.ClientConn, error)
	Now  func() time.Time
}

// Exchange sends own, which was made at the time of the call, and returns the answer with ages as of the return.
func (c Client) Exchange(ctx context.Context, addr string, own instance.Heartbeat) (instance.Heartbeat, error) {
	made := c.Now()
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
		return instance.Heartbeat{}, fmt.Errorf("instance: greeting: %w", err)
	}
	m, err := stream.Recv()
	if err != nil {
		return instance.Heartbeat{}, fmt.Errorf("instance: waiting for an answer: %w", err)
	}
	got, err := Decode(m)
	if err != nil {
		return instance.Heartbeat{}, err
	}
	now := c.Now()
	own = own.WithDelay(now.Sub(made)).WithoutKnown(got.WithDelay(now.Sub(sent)))
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

// Server answers heartbeats.
type Server struct {
	pb.UnimplementedInstancesServer
	OwnHeartbeat func(ctx context.Context) (instance.Heartbeat, error)
	Receive      func(ctx context.Context, at time.Time, b instance.Heartbeat) error // ages are as of at
	Now          func() time.Time
}

// Exchange answers one heartbeat.
func (s *Server) Exchange(stream grpc.BidiStreamingServer[pb.Beat, pb.Beat]) error {
	if _, err := stream.Recv(); err != nil {
		return fmt.Errorf("instance: waiting for a greeting: %w", err)
	}
	own, err := s.OwnHeartbeat(stream.Context())
	if err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	sent := s.Now()
	if err := stream.Send(Encode(own)); err != nil {
		return fmt.Errorf("instance: answering: %w", err)
	}
	m, err := stream.Recv()
	if err != nil {
		return fmt.Errorf("instance: waiting for a heartbeat: %w", err)
	}
	b, err := Decode(m)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	at := s.Now()
	return s.Receive(stream.Context(), at, b.WithDelay(at.Sub(sent)))
}
