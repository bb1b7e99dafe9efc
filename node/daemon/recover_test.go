package daemon

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// TestRecover guards against a control message of another node that ends the process: gRPC does not recover from panics of handlers.
func TestRecover(t *testing.T) {
	cases := map[string]struct {
		handle func() error
		code   codes.Code
		panics int
	}{
		"answered": {handle: func() error { return nil }, code: codes.OK},
		"refused":  {handle: func() error { return status.Error(codes.Unavailable, "") }, code: codes.Unavailable},
		"panic":    {handle: func() error { panic("odd message") }, code: codes.Internal, panics: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			panics := 0
			onPanic := func(method string, value any) {
				panics++
				require.Equal(t, "/s/m", method)
				require.Equal(t, "odd message", value)
			}
			_, err := recoverCall(onPanic)(t.Context(), nil, &grpc.UnaryServerInfo{FullMethod: "/s/m"},
				func(context.Context, any) (any, error) { return nil, tc.handle() })
			require.Equal(t, tc.code, status.Code(err))
			require.Equal(t, tc.panics, panics)
			err = recoverStream(onPanic)(nil, nil, &grpc.StreamServerInfo{FullMethod: "/s/m"},
				func(any, grpc.ServerStream) error { return tc.handle() })
			require.Equal(t, tc.code, status.Code(err))
			require.Equal(t, 2*tc.panics, panics)
		})
	}
}
