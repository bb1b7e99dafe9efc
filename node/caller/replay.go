package caller

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"verbenapin.dev/node/target"
)

// maxBufferedBody bounds the request bodies that are kept in memory to be sent to another target after a refusal.
const maxBufferedBody = 64 << 10

// replayBody is a request body that can be sent again, unless it is a stream that an attempt has read from.
type replayBody struct {
	buffered []byte
	stream   *stream // nil if the whole body is buffered
}

// stream is a body that only one attempt may read.
type stream struct {
	source io.ReadCloser
	mu     sync.Mutex
	reader *streamReader // of the attempt that may read
	read   bool
}

// streamReader is one attempt's view of a stream.
type streamReader struct{ stream *stream }

// DetachedError reports a read of the body by an attempt that had already ended.
type DetachedError struct{}

func (DetachedError) Error() string { return "caller: body belongs to another attempt" }

func (r *streamReader) Read(p []byte) (int, error) {
	s := r.stream
	s.mu.Lock()
	if s.reader != r {
		s.mu.Unlock()
		return 0, DetachedError{}
	}
	s.read = true
	s.mu.Unlock()
	return s.source.Read(p)
}

// Close leaves the source open; the server closes it when the handler returns.
func (r *streamReader) Close() error { return nil }

// attach returns the reader of a new attempt, the only one that may read the stream from then on.
func (s *stream) attach() *streamReader {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader = &streamReader{stream: s}
	return s.reader
}

// detach ends the attempt's use of the stream and reports whether nothing was read from it.
func (s *stream) detach() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader = nil
	return !s.read
}

// bufferBody reads a short body of known length into memory. Longer bodies, and those whose caller waits for 100 Continue, are
// read only once a target's node has admitted the request.
func bufferBody(r *http.Request) (replayBody, error) {
	if target.HasNoBody(r) {
		return replayBody{}, nil
	}
	if b, ok := r.Body.(*bufferedBody); ok {
		return replayBody{buffered: b.data}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody || r.Header.Get("Expect") != "" {
		return replayBody{stream: &stream{source: r.Body}}, nil
	}
	buffered := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, buffered); err != nil {
		return replayBody{}, err
	}
	return replayBody{buffered: buffered}, nil
}

// replayable ends the last attempt's use of the body and reports whether the body can be sent again from its beginning.
func (b replayBody) replayable() bool { return b.stream == nil || b.stream.detach() }

// next returns the request for the next attempt.
func (b replayBody) next(r *http.Request) *http.Request {
	out := r.Clone(r.Context())
	switch {
	case b.stream != nil:
		out.Body = b.stream.attach()
		out.Header.Set("Expect", "100-continue")
	case b.buffered != nil:
		out.Body = io.NopCloser(bytes.NewReader(b.buffered))
	default:
		out.Body, out.ContentLength = http.NoBody, 0
	}
	return out
}
