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

// TestMain guards against goroutines of streams and connections that outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func largeHeartbeat(homes int) instance.Heartbeat {
	hb := instance.Heartbeat{Name: "instance-0123456789", BootID: 1 << 31}
	hb.Version, hb.Manifest = 1_000_000, [32]byte{1}
	hb.Confirmed, hb.Age = true, 1990*time.Millisecond
	for i := range homes {
		hb.Homes = append(hb.Homes, instance.HomeReport{ID: uint32(i) << 27, BootID: 1<<32 - 1, Version: hb.Version - int64(i%3), Age: 4 * time.Second})
	}
	return hb
}

// TestHeartbeatSize guards against heartbeats that take too much of the control traffic.
func TestHeartbeatSize(t *testing.T) {
	cases := map[string]int{"3 homes": 3, "24 homes": 24}
	for name, homes := range cases {
		t.Run(name, func(t *testing.T) {
			data, err := proto.Marshal(Encode(largeHeartbeat(homes)))
			require.NoError(t, err)
			require.Less(t, len(data), 400)
			t.Logf("%d bytes", len(data))
			var m pb.Beat
			require.NoError(t, proto.Unmarshal(data, &m))
			got, err := Decode(&m)
			require.NoError(t, err)
			require.Equal(t, largeHeartbeat(homes), got)
		})
	}
}

// TestDecode guards against malformed heartbeats that are accepted, and against ages that are rounded down.
func TestDecode(t *testing.T) {
	cases := map[string]struct {
		change func(*pb.Beat)
		want   string
	}{
		"good":             {change: func(*pb.Beat) {}},
		"no name":          {change: func(m *pb.Beat) { m.Name = "" }, want: "name missing or too long"},
		"negative version": {change: func(m *pb.Beat) { m.Version = -1 }, want: "negative version"},
		"short digest":     {change: func(m *pb.Beat) { m.Manifest = m.Manifest[:31] }, want: "manifest digest missing or of wrong length"},
		"missing ages":     {change: func(m *pb.Beat) { m.Ages = nil }, want: "home fields differ in length or are too long"},
		"too many homes": {change: func(m *pb.Beat) {
			many := Encode(largeHeartbeat(instance.MaxHomeReports + 1))
			m.Homes, m.Boots, m.Versions, m.Ages = many.Homes, many.Boots, many.Versions, many.Ages
		}, want: "home fields differ in length or are too long"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := Encode(largeHeartbeat(3))
			tc.change(m)
			_, err := Decode(m)
			if tc.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, tc.want)
		})
	}
	hb := largeHeartbeat(1)
	hb.Age, hb.Homes[0].Age = time.Millisecond, 11*time.Millisecond
	got, err := Decode(Encode(hb))
	require.NoError(t, err)
	require.Equal(t, 10*time.Millisecond, got.Age)
	require.Equal(t, 20*time.Millisecond, got.Homes[0].Age)
}

// TestExchange guards against ages that do not include the transit time of a message, and against a heartbeat that omits a
// home report which the answering node lacks or has with a higher age. It also checks the bound of the connection pool.
func TestExchange(t *testing.T) {
	manual := clock.NewManual(time.Unix(0, 0))
	received := make(chan instance.Heartbeat, 1)
	server := grpc.NewServer()
	pb.RegisterInstancesServer(server, &Server{
		OwnHeartbeat: func(context.Context) (instance.Heartbeat, error) {
			manual.Advance(time.Second)
			return largeHeartbeat(2), nil
		},
		Receive: func(_ context.Context, _ time.Time, hb instance.Heartbeat) error {
			received <- hb
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
	own := largeHeartbeat(3)
	own.Homes[0].Age = 3 * time.Second // the answer has an older report of the first home, and none of the third one
	got, err := client.Exchange(ctx, listener.Addr().String(), own)
	require.NoError(t, err)
	require.Equal(t, largeHeartbeat(2).WithDelay(time.Second), got)
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
