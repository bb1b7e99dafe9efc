// Package rpc carries LeaseRequests and Grants between nodes over gRPC.
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

// Server answers LeaseRequests of other nodes.
type Server struct {
	pb.UnimplementedAccountServer
	grantLease func(ctx context.Context, req account.LeaseRequest) (account.Grant, error)
}

// NewServer returns a server that answers LeaseRequests with grantLease.
func NewServer(grantLease func(ctx context.Context, req account.LeaseRequest) (account.Grant, error)) *Server {
	return &Server{grantLease: grantLease}
}

// Register adds the service to a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) { pb.RegisterAccountServer(r, s) }

// Take implements the method of the gRPC service.
func (s *Server) Take(ctx context.Context, in *pb.TakeRequest) (*pb.GrantResponse, error) {
	req := account.LeaseRequest{Session: in.GetSession(), Seq: in.GetSeq(), Rows: make([]account.LeaseRequestRow, 0, len(in.GetRows()))}
	for _, row := range in.GetRows() {
		req.Rows = append(req.Rows, account.LeaseRequestRow{
			Account: row.GetAccount(), Held: int(row.GetHold()), Returned: int(row.GetBack()),
			Requested: int(row.GetWant()), Waiting: int(row.GetNeed()),
		})
	}
	grant, err := s.grantLease(ctx, req)
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

// Client sends LeaseRequests to homes.
type Client struct {
	// Conn returns the connection to the named home.
	Conn func(home string) (grpc.ClientConnInterface, error)
}

// Send sends a LeaseRequest to a home; it has the type of account.Limiter.Send.
func (c Client) Send(ctx context.Context, home string, req account.LeaseRequest) (account.Grant, error) {
	conn, err := c.Conn(home)
	if err != nil {
		return account.Grant{}, fmt.Errorf("account: connecting to home %s: %w", home, err)
	}
	in := &pb.TakeRequest{Session: req.Session, Seq: req.Seq, Rows: make([]*pb.TakeRow, 0, len(req.Rows))}
	for _, row := range req.Rows {
		in.Rows = append(in.Rows, &pb.TakeRow{
			Account: row.Account, Hold: int64(row.Held), Back: int64(row.Returned),
			Want: int64(row.Requested), Need: int64(row.Waiting),
		})
	}
	out, err := pb.NewAccountClient(conn).Take(ctx, in)
	if err != nil {
		return account.Grant{}, fmt.Errorf("account: requesting a lease from home %s: %w", home, err)
	}
	grant := account.Grant{Seq: out.GetSeq(), Rows: make([]account.GrantRow, 0, len(out.GetRows()))}
	for _, row := range out.GetRows() {
		grant.Rows = append(grant.Rows, account.GrantRow{
			Account: row.GetAccount(), Tokens: int(row.GetTokens()), RetryAfter: time.Duration(row.GetAfterUs()) * time.Microsecond,
		})
	}
	return grant, nil
}
