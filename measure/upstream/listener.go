package upstream

import (
	"context"
	"net"
	"sync"
	"time"
)

// listener closes connections beyond the limit and delays each accepted one by Settings.ConnectDelay.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		accepted := false
		s := l.server
		err = s.loop.Call(context.Background(), func(time.Time) {
			if accepted = s.stats.Conns < s.settings.MaxConns; accepted {
				s.stats.Conns++
				return
			}
			s.stats.RejectedConns++
		})
		if err != nil || !accepted {
			_ = c.Close()
			continue
		}
		s.sleep(context.Background(), s.settings.ConnectDelay)
		return &conn{Conn: c, server: s}, nil
	}
}

// conn decrements the number of open connections when it is closed.
type conn struct {
	net.Conn
	server *Server
	once   sync.Once
}

// Close closes the connection; only the first call decrements the number.
func (c *conn) Close() error {
	c.once.Do(func() { _ = c.server.loop.Post(context.Background(), func(time.Time) { c.server.stats.Conns-- }) })
	return c.Conn.Close()
}
