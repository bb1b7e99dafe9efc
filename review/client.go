package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// clientConn is a client's connection to a node, on which requests may be sent before earlier ones are answered.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   []byte
	closes bool // the connection closes after it
}

func dialNode(m *machine) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// send writes the head of a request without a body.
func (c *clientConn) send(method, path, id string, deadline time.Duration) error {
	_, err := io.WriteString(c, requestHead(method, path, id, deadline)+"\r\n")
	return err
}

// requestHead returns the head of a request, without the empty line that ends it.
func requestHead(method, path, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nVerbenapin-Request-Id: %s\r\nVerbenapin-Request-Deadline: %d\r\nAuthorization: Token %s\r\n",
		method, path, authority, id, deadline.Milliseconds(), apiKey)
}

// receive reads the answer to the oldest request; the error means that there is no complete one. onHead is called with the head.
func (c *clientConn) receive(method string, timeout time.Duration, onHead func(a answer)) (answer, error) {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	a := answer{status: res.StatusCode, header: res.Header, closes: res.Close || strings.EqualFold(res.Header.Get("Connection"), "close")}
	onHead(a)
	a.body, err = io.ReadAll(res.Body)
	return a, err
}
