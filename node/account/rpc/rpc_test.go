package rpc

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"verbenapin.dev/node/account"
)

// TestMain guards against goroutines that outlive a connection.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRoundTrip guards against a field that is lost between two nodes, and against an error that looks like a grant.
func TestRoundTrip(t *testing.T) {
	req := account.LeaseRequest{Session: 1 << 63, Seq: 7, Rows: []account.LeaseRequestRow{{Account: "a", Held: 1, Returned: 2, Requested: 4, Waiting: 3}, {Account: "b"}}}
	grant := account.Grant{Seq: 7, Rows: []account.GrantRow{{Account: "a", Tokens: 4, RetryAfter: 1500 * time.Microsecond}, {Account: "b"}}}
	cases := map[string]struct {
		grant account.Grant
		err   error
		conn  error
	}{
		"grant":         {grant: grant},
		"home fails":    {err: errors.New("closed")},
		"no connection": {conn: errors.New("unknown home")},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			listener := bufconn.Listen(1 << 16)
			server := grpc.NewServer()
			var got account.LeaseRequest
			NewServer(func(_ context.Context, req account.LeaseRequest) (account.Grant, error) {
				got = req
				return tc.grant, tc.err
			}).Register(server)
			served := make(chan error, 1)
			go func() { served <- server.Serve(listener) }()
			conn, err := grpc.NewClient("passthrough:home", grpc.WithTransportCredentials(insecure.NewCredentials()),
				grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return listener.DialContext(ctx) }))
			require.NoError(t, err)
			client := Client{Conn: func(home string) (grpc.ClientConnInterface, error) { return conn, tc.conn }}
			answered, err := client.Send(context.Background(), "home", req)
			require.Equal(t, tc.err != nil || tc.conn != nil, err != nil)
			require.Equal(t, tc.grant, answered)
			if tc.conn == nil {
				require.Equal(t, req, got)
			}
			require.NoError(t, conn.Close())
			server.Stop()
			require.NoError(t, <-served)
		})
	}
}
