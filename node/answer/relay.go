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
	"sync/atomic"
)

// copyBufferSize is the size of the buffers that copy bodies, in bytes.
const copyBufferSize = 32 << 10

// hopByHopHeaders concern one connection only and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// TruncatedError reports a response whose body ended early.
type TruncatedError struct{ Err error }

func (e TruncatedError) Error() string { return fmt.Sprintf("answer: response broke off: %v", e.Err) }

// Unwrap returns the cause.
func (e TruncatedError) Unwrap() error { return e.Err }

// WriteError reports that a response could not be written to its receiver.
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
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// InformationalTrace returns a client trace that forwards 1xx responses to w in the default dialect.
func InformationalTrace(w http.ResponseWriter) (trace *httptrace.ClientTrace, stop func()) {
	return DefaultDialect().Informational(w)
}

// Informational returns a client trace that forwards 1xx responses to w, except 100.
// net/http calls the trace on another goroutine, and with hedged attempts even after the final response of the other
// attempt. Therefore stop must be called before w is used again; after it nothing more is forwarded.
func (d Dialect) Informational(w http.ResponseWriter) (trace *httptrace.ClientTrace, stop func()) {
	var mu sync.Mutex
	var received atomic.Int32
	stopped := false
	trace = &httptrace.ClientTrace{Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
		if err := CheckInformational(code, header); err != nil {
			return err // ends the attempt: the rest of the response would be read as the next one
		}
		if received.Add(1) > MaxInformational {
			return StatusError{Status: code, Reason: "too many informational responses"}
		}
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
		d.StripInternal(h)
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

// Relay writes res to w in the default dialect.
func Relay(w http.ResponseWriter, res *http.Response) error { return DefaultDialect().Relay(w, res) }

// Relay writes the head, body and trailers of res to w, and closes the body.
// It returns a TruncatedError if the body ends early, and a StatusError, with nothing written, if res is not a final response; the
// caller must then abort the connection.
func (d Dialect) Relay(w http.ResponseWriter, res *http.Response) error {
	defer func() { _ = res.Body.Close() }()
	if err := CheckFinal(res); err != nil {
		return err
	}
	h := w.Header()
	announced := trailerNames(res)
	StripHopByHop(res.Header)
	d.StripInternal(res.Header)
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
	if err := copyBody(w, res); err != nil {
		return err
	}
	d.StripInternal(res.Trailer)
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

// copyBody copies the body of res to w. It flushes a body of unknown length after each read, so that a slow stream is not
// delayed.
func copyBody(w http.ResponseWriter, res *http.Response) error {
	rc := http.NewResponseController(w)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
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
