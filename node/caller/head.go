package caller

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"verbenapin.dev/node/memory"
)

const (
	// maxHeaderLines bounds the lines of a request head: an entry of the parsed header takes many times the bytes of a short line. Browsers
	// and HTTP libraries send 10 to 40.
	maxHeaderLines = 256
	// maxTrailerLines bounds the trailers of a request body; checksums and the status of a stream need a few.
	maxTrailerLines = 64
	// headMargin is added to the configured limit of a head, since callers may count its bytes in another way.
	headMargin = 4 << 10
)

// HeadLimits bound a request head.
type HeadLimits struct{ Lines, Bytes int }

// headLimits returns the limits of heads. A head somewhat above the limit of bytes is still read, so that it gets a refusal of this node.
func (s *Server) headLimits() HeadLimits {
	configured := s.limits().MaxHeadBytes
	if configured <= 0 || configured > maxHeadBytes {
		configured = maxHeadBytes
	}
	return HeadLimits{Lines: maxHeaderLines, Bytes: configured + configured/4 + headMargin}
}

// HeadScan is how far a request head has been looked at for its end; it is immutable. Its lines are counted before they are parsed.
type HeadScan struct {
	bytes int // of complete lines
	lines int // complete ones
	done  bool
}

// WithBytes returns the scan of all bytes received so far, which begin with those of the earlier scan.
func (h HeadScan) WithBytes(b []byte, l HeadLimits) (HeadScan, error) {
	tooLarge := HeadError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "too large", Shed: ShedLargeHead}
	for !h.done {
		n := bytes.IndexByte(b[h.bytes:], '\n')
		if n < 0 {
			if len(b) >= l.Bytes {
				return h, tooLarge
			}
			return h, nil
		}
		line := b[h.bytes : h.bytes+n]
		h.bytes += n + 1
		h.done = len(line) == 0 || (len(line) == 1 && line[0] == '\r')
		if !h.done {
			h.lines++
		}
		switch {
		case h.bytes > l.Bytes:
			return h, tooLarge
		case h.lines > l.Lines+1: // the first line is the request line
			return h, HeadError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "too many lines", Shed: ShedHeaderLines}
		}
	}
	return h, nil
}

// cost returns the bytes that a request with this head takes until it is answered.
func (h HeadScan) cost() int64 { return requestCost(h.bytes, h.lines) }

const (
	// requestBytes is what a request takes beside its head: its goroutines, the connection to a target, buffers and log fields.
	requestBytes = 20 << 10
	// lineBytes is what a header line takes beside its bytes: its entries in the parsed header and in two copies of it for targets.
	lineBytes = 400
)

func requestCost(headBytes, lines int) int64 {
	return int64(requestBytes + 2*headBytes + lineBytes*lines)
}

// awaitHead reads until a complete head is in the read buffer, which grows as needed. The head stays in the buffer.
func (c *conn) awaitHead() (HeadScan, error) {
	limits := c.server.headLimits()
	var h HeadScan
	for {
		received, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return h, err
		}
		if h, err = h.WithBytes(received, limits); err != nil || h.done {
			return h, err
		}
		if len(received) == c.reader.Size() && !c.resizeReader(min(2*c.reader.Size(), limits.Bytes+readBufferSize)) {
			return h, HeadError{Status: http.StatusServiceUnavailable, Reason: "no memory for a head of this size", Shed: ShedMemory}
		}
		if _, err := c.reader.Peek(len(received) + 1); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return h, err
		}
	}
}

// resizeReader replaces the read buffer by one of another size, if there is memory for it, and keeps what it holds.
func (c *conn) resizeReader(size int) bool {
	growth := int64(size - c.reader.Size())
	if growth > 0 && c.claim(memory.KindHead, growth, 0) != memory.Grant {
		return false
	}
	if growth < 0 {
		c.release(memory.KindHead, -growth)
	}
	n := c.reader.Buffered()
	held, _ := c.reader.Peek(n)
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(held)), c.raw), size)
	_, _ = c.reader.Peek(n) // takes them out of the first reader
	return true
}

// shrinkReader replaces a read buffer that grew for an earlier head.
func (c *conn) shrinkReader() {
	if c.reader.Size() > readBufferSize && c.reader.Buffered() <= readBufferSize {
		c.resizeReader(readBufferSize)
	}
}

// checkTrailers returns an error if the body that was read had too many trailers.
func checkTrailers(r *http.Request) error {
	if len(r.Trailer) > maxTrailerLines {
		return HeadError{Status: http.StatusBadRequest, Reason: "too many trailers", Shed: ShedTrailers}
	}
	return nil
}
