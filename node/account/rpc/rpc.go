// Package rpc carries Takes and Grants between nodes over gRPC.
package rpc

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"verbenapin.dev/node/account"
	"verbenapin.dev/node/account/rpc/pb"
)

// Server answers Takes of other nodes.
type Server struct {
	pb.UnimplementedAccountServer
	grantLease func(ctx context.Context, take account.LeaseRequest) (account.Grant, error)
}

// NewServer returns a server that answers with take.
func NewServer(take func(ctx context.Context, take account.LeaseRequest) (account.Grant, error)) *Server {
	return &Server{grantLease: take}
}

// Register adds the service to a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) { pb.RegisterAccountServer(r, s) }

// Take implements the gRPC service.
func (s *Server) Take(ctx context.Context, in *pb.TakeRequest) (*pb.GrantResponse, error) {
	take := account.LeaseRequest{Session: in.GetSession(), Seq: in.GetSeq(), Rows: make([]account.LeaseRow, 0, len(in.GetRows()))}
	for _, row := range in.GetRows() {
		take.Rows = append(take.Rows, account.LeaseRow{
			Account: row.GetAccount(), Held: int(row.GetHold()), Returned: int(row.GetBack()),
			Requested: int(row.GetWant()), Waiting: int(row.GetNeed()),
		})
	}
	grant, err := s.grantLease(ctx, take)
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return nil, status.FromContextError(err).Err()
	case err != nil:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	out := &pb.GrantResponse{Seq: grant.Seq, Rows: make([]*pb.GrantRow, 0, len(grant.Rows))}
	for _, row := range grant.Rows {
		out.Rows = append(out.Rows, &pb.GrantRow{
			Account: row.Account, Tokens: int64(row.Tokens), AfterUs: row.RetryAfter.Microseconds(),
		})
	}
	return out, nil
}

// Client sends Takes to homes.
type Client struct {
	// Conn returns the connection to a home by its name.
	Conn func(home string) (grpc.ClientConnInterface, error)
}

// Send is the Send of an account.Limiter.
func (c Client) Send(ctx context.Context, home string, take account.LeaseRequest) (account.Grant, error) {
	conn, err := c.Conn(home)
	if err != nil {
		return account.Grant{}, fmt.Errorf("account: connecting to home %s: %w", home, err)
	}
	in := &pb.TakeRequest{Session: take.Session, Seq: take.Seq, Rows: make([]*pb.TakeRow, 0, len(take.Rows))}
	for _, row := range take.Rows {
		in.Rows = append(in.Rows, &pb.TakeRow{
			Account: row.Account, Hold: int64(row.Held), Back: int64(row.Returned),
			Want: int64(row.Requested), Need: int64(row.Waiting),
		})
	}
	out, err := pb.NewAccountClient(conn).Take(ctx, in)
	if err != nil {
		return account.Grant{}, fmt.Errorf("account: asking home %s: %w", home, err)
	}
	grant := account.Grant{Seq: out.GetSeq(), Rows: make([]account.GrantRow, 0, len(out.GetRows()))}
	for _, row := range out.GetRows() {
		grant.Rows = append(grant.Rows, account.GrantRow{
			Account: row.GetAccount(), Tokens: int(row.GetTokens()), RetryAfter: time.Duration(row.GetAfterUs()) * time.Microsecond,
		})
	}
	return grant, nil
}
