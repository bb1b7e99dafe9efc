package daemon

import (
	"context"
	"fmt"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"verbenapin.dev/node/journal"
)

// onControlPanic logs a panic while a control message was handled; the sender gets an error.
func (n *Node) onControlPanic(method string, value any) {
	n.journal.WarnRecurring("a control message could not be handled", journal.Cause(ControlPanicError{Method: method, Value: value, Stack: debug.Stack()}))
}

// ControlPanicError reports a panic while a control message was handled.
type ControlPanicError struct {
	Method string
	Value  any
	Stack  []byte
}

func (e ControlPanicError) Error() string {
	return fmt.Sprintf("daemon: handling %s panicked: %v\n%s", e.Method, e.Value, e.Stack)
}

// recoverInto turns a panic into an error of the call, since one message must not end the process; it must be deferred.
func recoverInto(err *error, method string, onPanic func(method string, value any)) {
	if v := recover(); v != nil {
		onPanic(method, v)
		*err = status.Error(codes.Internal, "the message could not be handled")
	}
}

// recoverCall returns an interceptor that recovers from panics of handlers.
func recoverCall(onPanic func(method string, value any)) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (resp any, err error) {
		defer recoverInto(&err, info.FullMethod, onPanic)
		return handle(ctx, req)
	}
}

// recoverStream is recoverCall for streams.
func recoverStream(onPanic func(method string, value any)) grpc.StreamServerInterceptor {
	return func(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
		defer recoverInto(&err, info.FullMethod, onPanic)
		return handle(server, stream)
	}
}
