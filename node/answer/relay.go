package answer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"slices"
	"strings"
	"sync"
)

// copySize is the size of the buffers that move bodies.
const copySize = 32 << 10

// hopHeaders concern one connection only and are never forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

var buffers = sync.Pool{New: func() any { b := make([]byte, copySize); return &b }}

// TruncatedError reports a response whose body broke off.
type TruncatedError struct{ Err error }

func (e TruncatedError) Error() string { return fmt.Sprintf("answer: response broke off: %v", e.Err) }

// Unwrap returns the cause.
func (e TruncatedError) Unwrap() error { return e.Err }

// WriteError reports that the receiver of a response has gone.
type WriteError struct{ Err error }

func (e WriteError) Error() string { return fmt.Sprintf("answer: receiver has gone: %v", e.Err) }

// Unwrap returns the cause.
func (e WriteError) Unwrap() error { return e.Err }

// StripHopByHop removes the headers that concern one connection only.
func StripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// Informational returns a client trace that passes 1xx responses on to w in the product's own dialect.
func Informational(w http.ResponseWriter) (trace *httptrace.ClientTrace, stop func()) {
	return DefaultDialect().Informational(w)
}

// Informational returns a client trace that passes 1xx responses on to w.
// The library calls it on another goroutine, and with hedged attempts also after the final response of the other one;
// stop must be called before w is used again, after which nothing more is passed on.
func (d Dialect) Informational(w http.ResponseWriter) (trace *httptrace.ClientTrace, stop func()) {
	var mu sync.Mutex
	stopped := false
	trace = &httptrace.ClientTrace{Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
		if code == http.StatusContinue {
			return nil // the server answers Expect itself when the body is first read
		}
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			return nil
		}
		h := w.Header()
		saved := h.Clone()
		for name, values := range header {
			h[name] = values
		}
		StripHopByHop(h)
		d.Strip(h)
		w.WriteHeader(code)
		clear(h)
		for name, values := range saved {
			h[name] = values
		}
		return nil
	}}
	return trace, func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
	}
}

// Relay writes res to w in the product's own dialect.
func Relay(w http.ResponseWriter, res *http.Response) error { return DefaultDialect().Relay(w, res) }

// Relay writes res to w: head, body as a stream, trailers. It closes the body.
// A response that breaks off yields a TruncatedError; the caller must then abort the connection.
func (d Dialect) Relay(w http.ResponseWriter, res *http.Response) error {
	defer func() { _ = res.Body.Close() }()
	h := w.Header()
	announced := trailerNames(res)
	StripHopByHop(res.Header)
	d.Strip(res.Header)
	for name, values := range res.Header {
		h[name] = values
	}
	if len(announced) > 0 {
		h["Trailer"] = announced
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil // keeps the server from adding a header that the target did not send
		}
	}
	w.WriteHeader(res.StatusCode)
	if err := stream(w, res); err != nil {
		return err
	}
	d.Strip(res.Trailer)
	for name, values := range res.Trailer {
		if !slices.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
	return nil
}

func trailerNames(res *http.Response) []string {
	names := make([]string, 0, len(res.Trailer))
	for name := range res.Trailer {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// stream copies the body and flushes whenever nothing more is ready, so that a slow stream is not held back.
func stream(w http.ResponseWriter, res *http.Response) error {
	rc := http.NewResponseController(w)
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	flush := res.ContentLength < 0
	for {
		n, err := res.Body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return WriteError{Err: werr}
			}
			if flush {
				if ferr := rc.Flush(); ferr != nil {
					return WriteError{Err: ferr}
				}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return TruncatedError{Err: err}
		}
	}
}
