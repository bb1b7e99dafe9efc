// Package rpc sends updates of the registry from node to node over gRPC.
package rpc

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"

	"verbenapin.dev/node/registry"
	"verbenapin.dev/node/registry/rpc/pb"
)

// Server receives broadcasts of other nodes.
type Server struct {
	pb.UnimplementedRegistryServer
	Receive func(ctx context.Context, b registry.Broadcast) (registry.Point, error)
}

// Tell implements the gRPC service.
func (s *Server) Tell(ctx context.Context, in *pb.TellRequest) (*pb.TellResponse, error) {
	b := registry.Broadcast{
		Update: registry.Update{Era: in.GetEra(), After: in.GetAfter(), Revision: in.GetRevision(), Age: registry.Unconfirmed},
		Until:  in.GetUntil(), Last: in.GetLast(),
	}
	if age := in.GetAge(); age > 0 {
		b.Update.Age = time.Duration(age-1) * time.Millisecond
	}
	for _, i := range in.GetItems() {
		b.Update.Items = append(b.Update.Items, registry.Item{
			Key: i.GetKey(), Value: i.GetValue(), Compressed: i.GetPacked(), Revision: i.GetRevision(), Deleted: i.GetGone(),
		})
	}
	held, err := s.Receive(ctx, b)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &pb.TellResponse{Era: held.Era, Revision: held.Revision}, nil
}

// Client sends broadcasts to other nodes.
type Client struct {
	// Conn returns the connection to a control listener.
	Conn func(addr string) (grpc.ClientConnInterface, error)
}

// Send sends a broadcast to the node at addr; it is meant for registry.Settings.SendBroadcast.
func (c Client) Send(ctx context.Context, addr string, b registry.Broadcast) (registry.Point, error) {
	conn, err := c.Conn(addr)
	if err != nil {
		return registry.Point{}, fmt.Errorf("registry: connecting to %s: %w", addr, err)
	}
	in := &pb.TellRequest{Era: b.Update.Era, After: b.Update.After, Revision: b.Update.Revision, Until: b.Until, Last: b.Last}
	if b.Update.Age >= 0 {
		in.Age = uint32(min(b.Update.Age, time.Hour)/time.Millisecond) + 1
	}
	for _, i := range b.Update.Items {
		in.Items = append(in.Items, &pb.Item{Key: i.Key, Value: i.Value, Packed: i.Compressed, Revision: i.Revision, Gone: i.Deleted})
	}
	var options []grpc.CallOption
	if b.Update.Era > 0 && b.Update.After == 0 {
		// All nodes get the whole state of a new era, through up to six others one after the other, each of which sends it to four.
		options = append(options, grpc.UseCompressor(gzip.Name))
	}
	out, err := pb.NewRegistryClient(conn).Tell(ctx, in, options...)
	if err != nil {
		return registry.Point{}, fmt.Errorf("registry: sending an update to %s: %w", addr, err)
	}
	return registry.Point{Era: out.GetEra(), Revision: out.GetRevision()}, nil
}
