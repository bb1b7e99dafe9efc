package caller

import (
	"errors"
	"io"
	"net"
	"time"

	"verbenapin.dev/node/tcp"
)

const (
	// lingerTimeout bounds how long a connection waits for its caller to close it after the last response. A caller reads the rest of the
	// responses meanwhile; 2 s deliver 1 MB at 4 Mbit/s.
	lingerTimeout = 2 * time.Second
	// maxLingerBytes bounds what is discarded meanwhile.
	maxLingerBytes = 1 << 20
)

// hasRecentResponse reports whether a response may not be delivered yet. Connections that give way for others are closed at once.
func (c *conn) hasRecentResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ctx.Err() == nil && !c.refusing && !c.yielded && time.Since(c.answered) < lingerTimeout
}

// linger closes the writing side and discards what the caller still sends, until the caller closes or lingerTimeout has passed. If the
// connection were closed with unread data, or data arrived after that, the kernel would reset it and drop responses that are not
// delivered yet.
func (c *conn) linger() {
	if !c.hasRecentResponse() || tcp.CloseWrite(c.raw.Conn) != nil {
		return
	}
	c.raw.remaining = maxLingerBytes
	if c.raw.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, c.raw)
	}
}

// awaitDisconnect cancels the requests of a connection if the caller disconnects before the response to its last request. What
// it sends after that request is not read.
func (c *conn) awaitDisconnect() {
	c.raw.remaining = 1
	_, err := c.reader.Peek(1)
	var netErr net.Error
	if err != nil && (!errors.As(err, &netErr) || !netErr.Timeout()) {
		c.cancel()
	}
}
