package upstream

import (
	"context"
	"net"
	"sync"
	"time"
)

// listener closes connections beyond the limit and takes time for each new one.
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
		within := false
		s := l.server
		err = s.loop.Call(context.Background(), func(time.Time) {
			if within = s.report.Conns < s.settings.MaxConns; within {
				s.report.Conns++
				return
			}
			s.report.Rejected++
		})
		if err != nil || !within {
			_ = c.Close()
			continue
		}
		s.pass(context.Background(), s.settings.Connect)
		return &conn{Conn: c, server: s}, nil
	}
}

// conn gives its place back when it is closed.
type conn struct {
	net.Conn
	server *Server
	once   sync.Once
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() { _ = c.server.loop.Post(context.Background(), func(time.Time) { c.server.report.Conns-- }) })
	return c.Conn.Close()
}
