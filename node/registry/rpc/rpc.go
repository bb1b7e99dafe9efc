// Package rpc carries the news of the registry between nodes over gRPC.
package rpc

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"verbenapin.dev/node/registry"
	"verbenapin.dev/node/registry/rpc/pb"
)

// Server takes tellings of other nodes.
type Server struct {
	pb.UnimplementedRegistryServer
	Receive func(ctx context.Context, t registry.Broadcast) (int64, error)
}

// Tell implements the gRPC service.
func (s *Server) Tell(ctx context.Context, in *pb.TellRequest) (*pb.TellResponse, error) {
	t := registry.Broadcast{
		News:  registry.Update{After: in.GetAfter(), Revision: in.GetRevision(), Age: registry.Unconfirmed},
		Until: in.GetUntil(), Last: in.GetLast(),
	}
	if age := in.GetAge(); age > 0 {
		t.News.Age = time.Duration(age-1) * time.Millisecond
	}
	for _, i := range in.GetItems() {
		t.News.Items = append(t.News.Items, registry.Item{
			Key: i.GetKey(), Value: i.GetValue(), Compressed: i.GetPacked(), Revision: i.GetRevision(), Deleted: i.GetGone(),
		})
	}
	revision, err := s.Receive(ctx, t)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &pb.TellResponse{Revision: revision}, nil
}

// Client passes tellings on.
type Client struct {
	// Conn returns the connection to a control listener.
	Conn func(addr string) (grpc.ClientConnInterface, error)
}

// Tell is the Send of a registry.Feed.
func (c Client) Tell(ctx context.Context, addr string, t registry.Broadcast) (int64, error) {
	conn, err := c.Conn(addr)
	if err != nil {
		return 0, fmt.Errorf("registry: connecting to %s: %w", addr, err)
	}
	in := &pb.TellRequest{After: t.News.After, Revision: t.News.Revision, Until: t.Until, Last: t.Last}
	if t.News.Age >= 0 {
		in.Age = uint32(min(t.News.Age, time.Hour)/time.Millisecond) + 1
	}
	for _, i := range t.News.Items {
		in.Items = append(in.Items, &pb.Item{Key: i.Key, Value: i.Value, Packed: i.Compressed, Revision: i.Revision, Gone: i.Deleted})
	}
	out, err := pb.NewRegistryClient(conn).Tell(ctx, in)
	if err != nil {
		return 0, fmt.Errorf("registry: telling %s: %w", addr, err)
	}
	return out.GetRevision(), nil
}
