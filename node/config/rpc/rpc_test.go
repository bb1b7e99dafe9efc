package rpc

import (
	"context"
	"crypto/sha256"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/config/rpc/pb"
	instances "verbenapin.dev/node/instance/rpc"
)

// TestMain fails if goroutines of connections outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRPC guards against manifests and parts that are altered in transit, and against parts larger than the message limit.
func TestRPC(t *testing.T) {
	large := make([]byte, config.MaxPart)
	d := config.Digest(sha256.Sum256(large))
	m := config.Manifest{Version: 7, Parts: []config.Part{{Name: "tree.yaml", Sha256: d.String()}}}
	server := grpc.NewServer()
	offered := make(chan config.Manifest, 1)
	pb.RegisterConfigsServer(server, &Server{
		Receive: func(_ context.Context, name string, got config.Manifest) (int64, config.Digest, error) {
			require.Equal(t, "a", name)
			offered <- got
			return 6, config.Digest{1}, nil
		},
		Value: func(_ context.Context, got config.Digest) ([]byte, bool, error) { return large, got == d, nil },
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	pool := instances.NewPool(grpc.WithTransportCredentials(insecure.NewCredentials()))
	client := Client{Conn: pool.Conn}
	addr := listener.Addr().String()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	held, err := client.Offer(ctx, addr, "a", m)
	require.NoError(t, err)
	require.Equal(t, int64(6), held)
	require.Equal(t, m, <-offered)
	data, err := client.Fetch(ctx, addr, d)
	require.NoError(t, err)
	require.Equal(t, large, data)
	_, err = client.Fetch(ctx, addr, config.Digest{})
	require.Equal(t, codes.NotFound, status.Code(err))
	_, err = client.Offer(ctx, addr, "a", config.Manifest{})
	require.Equal(t, codes.InvalidArgument, status.Code(err))

	pool.Close()
	server.Stop()
	require.NoError(t, <-served)
}
