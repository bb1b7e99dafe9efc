// Package rpc exchanges configuration versions between nodes over gRPC.
package rpc

import (
	"context"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/config/rpc/pb"
)

// Client offers versions to other nodes and fetches them.
type Client struct {
	Conn func(addr string) (*grpc.ClientConn, error)
}

// Offer announces a version, held by the named instance, to the node at addr; it returns the version that node holds.
func (c Client) Offer(ctx context.Context, addr, name string, m config.Manifest) (int64, error) {
	conn, err := c.Conn(addr)
	if err != nil {
		return 0, fmt.Errorf("config: connecting to %s: %w", addr, err)
	}
	held, err := pb.NewConfigsClient(conn).Offer(ctx, &pb.Manifest{Name: name, Data: m.Bytes()})
	if err != nil {
		return 0, fmt.Errorf("config: offering version %d to %s: %w", m.Version, addr, err)
	}
	return held.Version, nil
}

// Fetch returns the manifest or part with the digest from the node at addr; the caller must verify it.
func (c Client) Fetch(ctx context.Context, addr string, d config.Digest) ([]byte, error) {
	conn, err := c.Conn(addr)
	if err != nil {
		return nil, fmt.Errorf("config: connecting to %s: %w", addr, err)
	}
	v, err := pb.NewConfigsClient(conn).Fetch(ctx, &pb.Want{Digest: d[:]})
	if err != nil {
		return nil, fmt.Errorf("config: fetching %s from %s: %w", d, addr, err)
	}
	return v.Data, nil
}

// Server handles calls of other nodes.
type Server struct {
	pb.UnimplementedConfigsServer
	Receive func(ctx context.Context, name string, m config.Manifest) (int64, config.Digest, error)
	Value   func(ctx context.Context, d config.Digest) ([]byte, bool, error)
}

// Offer handles a version that another node holds.
func (s *Server) Offer(ctx context.Context, in *pb.Manifest) (*pb.Held, error) {
	m, err := config.ParseManifest(in.Data)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	version, d, err := s.Receive(ctx, in.Name, m)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &pb.Held{Version: version, Digest: d[:]}, nil
}

// Fetch returns the manifest or part with the digest.
func (s *Server) Fetch(ctx context.Context, in *pb.Want) (*pb.Value, error) {
	var d config.Digest
	if len(in.Digest) != len(d) {
		return nil, status.Error(codes.InvalidArgument, "config: bad digest")
	}
	copy(d[:], in.Digest)
	data, ok, err := s.Value(ctx, d)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	if !ok {
		return nil, status.Error(codes.NotFound, "config: no value with this digest")
	}
	return &pb.Value{Data: data}, nil
}
