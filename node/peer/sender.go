package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"verbenapin.dev/node/tcp"
)

// maxWatchedBody is how many bytes of a request are read ahead to notice the end of its connection. The sender holds back longer bodies
// until the request is admitted.
const maxWatchedBody = minHeldBody

// SenderGoneError is the cause of the cancellation of a request whose sender has closed the connection.
type SenderGoneError struct{}

func (SenderGoneError) Error() string { return "peer: the sender of the request has gone" }

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// withWatchedConn keeps the connection for watchSender.
func withWatchedConn(ctx context.Context, c net.Conn) context.Context {
	switch conn := c.(type) {
	case *tls.Conn:
		c = conn.NetConn()
	case *headLimitConn:
		c = conn.Conn
	}
	return context.WithValue(ctx, connKey{}, c)
}

// watchSender returns the context of a request, which ends when its sender closes the connection, and a function that must be called
// when the request has ended. net/http watches the connection only once the body has been read to its end, which may be long after the
// request has begun to wait for admission.
func watchSender(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(r.Context())
	conn, ok := ctx.Value(connKey{}).(*tcp.WatchedConn)
	if !ok || r.Body == http.NoBody {
		return ctx, func() { cancel(nil) }
	}
	stop := conn.Watch(maxWatchedBody, func() { cancel(SenderGoneError{}) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
