package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"verbenapin.dev/node/answer"
)

// bufferSize bounds how many bytes of a response are buffered for a slow reader, so that most responses free the target's
// slot as soon as the target has written them. Each read takes up one chunk, so short reads fill the buffer earlier.
const bufferSize = 256 << 10

// chunkSize is the size of one piece of a buffered response.
const chunkSize = 16 << 10

var chunkPool = sync.Pool{New: func() any { b := make([]byte, chunkSize); return &b }}

// readAhead returns the response with a body that is read ahead of its reader; its trailers are set when the body ends.
// A short body is read completely, so that a truncated one is reported as an error here.
func (f *Forwarder) readAhead(res *http.Response, cancel context.CancelFunc, done func(error)) (*http.Response, error) {
	if res.Request.Method == http.MethodHead {
		return withoutBody(res, done)
	}
	if 0 < res.ContentLength && res.ContentLength <= chunkSize && len(res.Trailer) == 0 {
		return readWhole(res, done)
	}
	out := *res
	out.Trailer = res.Trailer.Clone() // net/http fills in the original while the body is read ahead
	// Without memory, only the chunk that is read and the one that is written are kept, and a slow reader holds the target's slot.
	bytes, chunks := int64(bufferSize), 0
	if res.ContentLength > 0 {
		bytes = min(bytes, res.ContentLength)
	}
	release := func() {}
	if f.TakeMemory(bytes) {
		chunks, release = bufferSize/chunkSize, func() { f.ReturnMemory(bytes) }
	}
	out.Body = &trailerBody{bufferedBody: newBufferedBody(res.Body, chunks, cancel, done, release), from: res, to: &out}
	return &out, nil
}

// withoutBody returns the response to a HEAD request, which has no body whatever length it announces.
func withoutBody(res *http.Response, done func(error)) (*http.Response, error) {
	_ = res.Body.Close()
	done(nil)
	out := *res
	out.Body = http.NoBody
	return &out, nil
}

// readWhole returns the response with its short body in memory, which saves two goroutine switches.
func readWhole(res *http.Response, done func(error)) (*http.Response, error) {
	body := make([]byte, res.ContentLength)
	_, err := io.ReadFull(res.Body, body)
	_ = res.Body.Close()
	done(err)
	if IsLate(err) {
		return nil, answer.NewMaybeExecuted(answer.CodeLate, "deadline passed while the target was sending its response")
	}
	if err != nil {
		return nil, answer.NewMaybeExecuted(answer.CodeLost, "the response of the target broke off")
	}
	out := *res
	out.Body = io.NopCloser(bytes.NewReader(body))
	return &out, nil
}

// trailerBody copies the trailers to the returned response once the body has ended.
type trailerBody struct {
	*bufferedBody
	from, to *http.Response
}

func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.bufferedBody.Read(p)
	if errors.Is(err, io.EOF) {
		b.to.Trailer = b.from.Trailer
	}
	return n, err
}

type chunk struct {
	buf *[]byte
	n   int
}

// bufferedBody reads a response body ahead of its reader, by up to bufferSize bytes.
type bufferedBody struct {
	source  io.ReadCloser
	chunks  chan chunk
	ended   chan struct{}
	cancel  context.CancelFunc
	release func() // returns the memory of the chunks
	once    sync.Once
	err     error // set before ended is closed
	current chunk
	offset  int
}

// newBufferedBody starts reading source ahead by up to the given number of chunks; release is called by Close, and done is called once, with nil or the error that ended the response early.
func newBufferedBody(source io.ReadCloser, chunks int, cancel context.CancelFunc, done func(error), release func()) *bufferedBody {
	b := &bufferedBody{
		source: source,
		chunks: make(chan chunk, chunks),
		ended:  make(chan struct{}),
		cancel: cancel, release: release,
	}
	closing, stop := context.WithCancel(context.Background())
	b.cancel = func() { stop(); cancel() }
	go b.fill(closing, done)
	return b
}

func (b *bufferedBody) fill(closing context.Context, done func(error)) {
	defer close(b.chunks)
	err := b.copy(closing)
	b.err = err
	close(b.ended)
	_ = b.source.Close()
	if errors.Is(err, io.EOF) {
		err = nil
	}
	done(err)
}

func (b *bufferedBody) copy(closing context.Context) error {
	for {
		buf := chunkPool.Get().(*[]byte)
		n, err := b.source.Read(*buf)
		if n == 0 {
			chunkPool.Put(buf)
		} else {
			select {
			case b.chunks <- chunk{buf: buf, n: n}:
			case <-closing.Done():
				chunkPool.Put(buf)
				return context.Canceled
			}
		}
		if err != nil {
			return err
		}
	}
}

// Read waits for data and returns it, or the error that ended the response.
func (b *bufferedBody) Read(p []byte) (int, error) {
	if b.current.buf == nil {
		c, ok := <-b.chunks
		if !ok {
			<-b.ended
			if errors.Is(b.err, io.EOF) {
				return 0, io.EOF
			}
			return 0, fmt.Errorf("target: reading a response: %w", b.err)
		}
		b.current, b.offset = c, 0
	}
	n := copy(p, (*b.current.buf)[b.offset:b.current.n])
	b.offset += n
	if b.offset == b.current.n {
		chunkPool.Put(b.current.buf)
		b.current = chunk{}
	}
	return n, nil
}

// Close cancels the attempt and waits until the response is no longer read; the connection is released right after that.
func (b *bufferedBody) Close() error {
	b.once.Do(func() {
		b.cancel()
		b.release()
	})
	<-b.ended
	return nil
}
