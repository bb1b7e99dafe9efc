// Package http1 sends requests to servers of HTTP/1.1 and refuses the responses that net/http accepts although their meaning is lost.
package http1

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/tcp"
)

// Transport is an http.RoundTripper. Its error is a HeadError or an answer.StatusError if the server sent a response that cannot be used;
// the connection is closed then. The body of a response ends with a HeadError if its trailer is malformed.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that takes over base with its settings; dial opens the connections.
func NewTransport(base *http.Transport, dial tcp.Dial) Transport {
	base.Protocols = new(http.Protocols)
	base.Protocols.SetHTTP1(true)
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
	// net/http would put TLS above the checked connection, where the heads cannot be seen.
	base.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return startTLS(ctx, c, addr, base.TLSClientConfig, base.TLSHandshakeTimeout)
	}
	return Transport{Transport: base}
}

// startTLS returns a connection over TLS to the server at addr; a timeout of zero sets no limit.
func startTLS(ctx context.Context, raw net.Conn, addr string, cfg *tls.Config, timeout time.Duration) (net.Conn, error) {
	if cfg == nil {
		cfg = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if cfg.ServerName == "" {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			_ = raw.Close()
			return nil, fmt.Errorf("http1: reading an address: %w", err)
		}
		cfg = cfg.Clone()
		cfg.ServerName = host
	}
	if timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = limited
	}
	c := tls.Client(raw, cfg)
	if err := c.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("http1: TLS handshake: %w", err)
	}
	return &Conn{Conn: c}, nil
}

// RoundTrip sends a request and returns the final response to it.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.Send(r, func(*Conn) {})
}

// Send is RoundTrip that calls onConn with the connection before the request is written to it.
func (t Transport) Send(r *http.Request, onConn func(*Conn)) (*http.Response, error) {
	var conn *Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			conn = c
			conn.expectResponse()
			onConn(conn)
		}
	}}
	res, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		// A write may have failed too, since the connection was closed for the head, and net/http may report that instead.
		if conn != nil && conn.headError() != nil {
			err = conn.headError()
		}
		return nil, err
	}
	if conn != nil {
		res.Body = &body{ReadCloser: res.Body, res: res, conn: conn}
	}
	if err := answer.CheckFinal(res); err != nil {
		CloseConnection(res)
		return nil, err
	}
	return res, nil
}

// body is the body of a response with its connection.
type body struct {
	io.ReadCloser
	res  *http.Response
	conn net.Conn
}

// Read reads the body; its last error is a HeadError if the trailer behind it is malformed.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if trailerErr := checkTrailer(b.res.Trailer); trailerErr != nil {
			return n, trailerErr
		}
	}
	return n, err
}

// checkTrailer returns a HeadError if the name of a trailer field is malformed. A trailer holds nothing that delimits a response, so that
// a folded line, which net/http joins, loses no length.
func checkTrailer(h http.Header) error {
	for name := range h {
		for i := range len(name) {
			if !isNameByte(name[i]) {
				return HeadError{Reason: fmt.Sprintf("the name of a trailer field holds %q", name[i])}
			}
		}
	}
	return nil
}

// CloseConnection closes the body of a response of a Transport and its connection. Closing the body alone would keep the connection of a
// response with an empty body for the next request.
func CloseConnection(res *http.Response) {
	_ = res.Body.Close()
	if b, ok := res.Body.(*body); ok {
		_ = b.conn.Close()
	}
}
