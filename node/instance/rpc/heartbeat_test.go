package rpc

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/instance/rpc/pb"
)

// TestMain guards against streams and connections that outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func largeBeat(homes int) instance.Heartbeat {
	b := instance.Heartbeat{Name: "instance-0123456789", BootID: 1 << 31}
	b.Version, b.Manifest = 1_000_000, [32]byte{1}
	b.Confirmed, b.Age = true, 1990*time.Millisecond
	for i := range homes {
		b.Homes = append(b.Homes, instance.HomeReport{ID: uint32(i) << 27, BootID: 1<<32 - 1, Version: b.Version - int64(i%3), Age: 4 * time.Second})
	}
	return b
}

// TestSize guards against heartbeats that grow beyond their share of the control traffic.
func TestSize(t *testing.T) {
	cases := map[string]int{"3 homes": 3, "24 homes": 24}
	for name, homes := range cases {
		t.Run(name, func(t *testing.T) {
			data, err := proto.Marshal(Encode(largeBeat(homes)))
			require.NoError(t, err)
			require.Less(t, len(data), 400)
			t.Logf("%d bytes", len(data))
			var m pb.Beat
			require.NoError(t, proto.Unmarshal(data, &m))
			got, err := Decode(&m)
			require.NoError(t, err)
			require.Equal(t, largeBeat(homes), got)
		})
	}
}

// TestDecode guards against malformed heartbeats that are taken as evidence, and against ages that shrink.
func TestDecode(t *testing.T) {
	cases := map[string]struct {
		change func(*pb.Beat)
		want   string
	}{
		"good":             {change: func(*pb.Beat) {}},
		"no name":          {change: func(m *pb.Beat) { m.Name = "" }, want: "no name"},
		"negative version": {change: func(m *pb.Beat) { m.Version = -1 }, want: "negative version"},
		"short digest":     {change: func(m *pb.Beat) { m.Manifest = m.Manifest[:31] }, want: "no manifest digest"},
		"missing ages":     {change: func(m *pb.Beat) { m.Ages = nil }, want: "columns of homes differ or are too long"},
		"too many homes": {change: func(m *pb.Beat) {
			many := Encode(largeBeat(instance.MaxHomeReports + 1))
			m.Homes, m.Boots, m.Versions, m.Ages = many.Homes, many.Boots, many.Versions, many.Ages
		}, want: "columns of homes differ or are too long"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := Encode(largeBeat(3))
			tc.change(m)
			_, err := Decode(m)
			if tc.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, tc.want)
		})
	}
	b := largeBeat(1)
	b.Age, b.Homes[0].Age = time.Millisecond, 11*time.Millisecond
	got, err := Decode(Encode(b))
	require.NoError(t, err)
	require.Equal(t, 10*time.Millisecond, got.Age)
	require.Equal(t, 20*time.Millisecond, got.Homes[0].Age)
}

// TestExchange guards against ages that leave out the time a message was under way, and against a heartbeat that
// leaves out a home of which the answering node knows less.
func TestExchange(t *testing.T) {
	manual := clock.NewManual(time.Unix(0, 0))
	received := make(chan instance.Heartbeat, 1)
	server := grpc.NewServer()
	pb.RegisterInstancesServer(server, &Server{
		OwnHeartbeat: func(context.Context) (instance.Heartbeat, error) {
			manual.Advance(time.Second)
			return largeBeat(2), nil
		},
		Receive: func(_ context.Context, _ time.Time, b instance.Heartbeat) error {
			received <- b
			return nil
		},
		Now: manual.Now,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	pool := NewPool(grpc.WithTransportCredentials(insecure.NewCredentials()))
	client := Client{Conn: pool.Conn, Now: manual.Now}

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	own := largeBeat(3)
	own.Homes[0].Age = 3 * time.Second // of the three homes, the answer has the first one older, and lacks the third one
	got, err := client.Exchange(ctx, listener.Addr().String(), own)
	require.NoError(t, err)
	require.Equal(t, largeBeat(2).WithDelay(time.Second), got)
	want := own.WithDelay(time.Second)
	want.Homes = []instance.HomeReport{want.Homes[0], want.Homes[2]}
	require.Equal(t, want, <-received)

	for i := range maxConns + 5 {
		_, err := pool.Conn(fmt.Sprintf("127.0.0.1:%d", i+1))
		require.NoError(t, err)
	}
	require.Len(t, pool.conns, maxConns)
	pool.Close()
	_, err = pool.Conn("127.0.0.1:1")
	require.ErrorIs(t, err, ClosedError{})
	server.Stop()
	require.NoError(t, <-served)
}
