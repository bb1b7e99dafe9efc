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

// bufferSize bounds the part of a response that is held for a slow reader; with it a response of up to
// bufferSize frees the target's slot as soon as the target has written it.
const bufferSize = 256 << 10

// chunkSize is the size of one piece of a buffered response.
const chunkSize = 16 << 10

var chunks = sync.Pool{New: func() any { b := make([]byte, chunkSize); return &b }}

// readAhead returns the response with a body that is read ahead; its trailers are set when the body ends.
// A short body is read whole, so that one that breaks off is an error here.
func readAhead(res *http.Response, cancel context.CancelFunc, done func(error)) (*http.Response, error) {
	if 0 < res.ContentLength && res.ContentLength <= chunkSize && res.Body != http.NoBody && len(res.Trailer) == 0 {
		return readWhole(res, done)
	}
	out := *res
	out.Trailer = res.Trailer.Clone() // the library fills in the original while the body is read ahead
	out.Body = &trailedBody{buffered: newBuffered(res.Body, cancel, done), from: res, to: &out}
	return &out, nil
}

// readWhole returns the response with its short body in memory, which saves two changes of goroutine.
func readWhole(res *http.Response, done func(error)) (*http.Response, error) {
	body := make([]byte, res.ContentLength)
	_, err := io.ReadFull(res.Body, body)
	_ = res.Body.Close()
	done(err)
	if err != nil {
		return nil, answer.NewMaybeExecuted(answer.CodeLost, "the response of the target broke off")
	}
	out := *res
	out.Body = io.NopCloser(bytes.NewReader(body))
	return &out, nil
}

// trailedBody passes the trailers on once they have arrived.
type trailedBody struct {
	*buffered
	from, to *http.Response
}

func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.buffered.Read(p)
	if errors.Is(err, io.EOF) {
		b.to.Trailer = b.from.Trailer
	}
	return n, err
}

type chunk struct {
	buf *[]byte
	n   int
}

// buffered reads a response ahead of its reader, up to bufferSize.
type buffered struct {
	source io.ReadCloser
	queue  chan chunk
	ended  chan struct{}
	cancel context.CancelFunc
	once   sync.Once
	err    error // set before ended is closed
	head   chunk
	offset int
}

// newBuffered starts to read source; done is called once with nil or the error that ended the response early.
func newBuffered(source io.ReadCloser, cancel context.CancelFunc, done func(error)) *buffered {
	b := &buffered{
		source: source,
		queue:  make(chan chunk, bufferSize/chunkSize),
		ended:  make(chan struct{}),
		cancel: cancel,
	}
	closing, stop := context.WithCancel(context.Background())
	b.cancel = func() { stop(); cancel() }
	go b.fill(closing, done)
	return b
}

func (b *buffered) fill(closing context.Context, done func(error)) {
	defer close(b.queue)
	err := b.copy(closing)
	b.err = err
	close(b.ended)
	_ = b.source.Close()
	if errors.Is(err, io.EOF) {
		err = nil
	}
	done(err)
}

func (b *buffered) copy(closing context.Context) error {
	for {
		buf := chunks.Get().(*[]byte)
		n, err := b.source.Read(*buf)
		if n == 0 {
			chunks.Put(buf)
		} else {
			select {
			case b.queue <- chunk{buf: buf, n: n}:
			case <-closing.Done():
				chunks.Put(buf)
				return context.Canceled
			}
		}
		if err != nil {
			return err
		}
	}
}

// Read returns what has arrived, or the error that ended the response.
func (b *buffered) Read(p []byte) (int, error) {
	if b.head.buf == nil {
		c, ok := <-b.queue
		if !ok {
			<-b.ended
			if errors.Is(b.err, io.EOF) {
				return 0, io.EOF
			}
			return 0, fmt.Errorf("target: reading a response: %w", b.err)
		}
		b.head, b.offset = c, 0
	}
	n := copy(p, (*b.head.buf)[b.offset:b.head.n])
	b.offset += n
	if b.offset == b.head.n {
		chunks.Put(b.head.buf)
		b.head = chunk{}
	}
	return n, nil
}

// Close ends the response and waits until the target's connection is released.
func (b *buffered) Close() error {
	b.once.Do(b.cancel)
	<-b.ended
	return nil
}
