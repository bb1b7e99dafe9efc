package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a client with its answer.
type attempt struct {
	id, kind   string
	sent       time.Time
	status     int    // zero without an answer
	err        string // why there is no answer
	signature  string
	body       string
	retryAfter string
	ended      time.Time
}

// client sends requests to the node of its machine over kept connections.
type client struct {
	addr string
	mu   sync.Mutex
	idle []*kept
}

type kept struct {
	c net.Conn
	r *bufio.Reader
}

// take returns an idle connection or a new one.
func (cl *client) take() (*kept, error) {
	cl.mu.Lock()
	if n := len(cl.idle); n > 0 {
		k := cl.idle[n-1]
		cl.idle = cl.idle[:n-1]
		cl.mu.Unlock()
		return k, nil
	}
	cl.mu.Unlock()
	c, err := net.DialTimeout("tcp", cl.addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{c: c, r: bufio.NewReader(c)}, nil
}

func (cl *client) put(k *kept) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.idle = append(cl.idle, k)
}

// abandon sends one request on a connection of its own and closes it after a time without an answer; it returns when it did so.
func (cl *client) abandon(path, id, body string, after, deadline time.Duration) (time.Time, error) {
	c, err := net.DialTimeout("tcp", cl.addr, time.Second)
	if err != nil {
		return time.Time{}, err
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, requestText("POST", host, path, id, key, body, deadline)); err != nil {
		return time.Time{}, err
	}
	_ = c.SetReadDeadline(time.Now().Add(after))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		return time.Time{}, errors.New("answered before the client left")
	}
	return time.Now(), c.Close()
}

func requestText(method, host, path, id, key, body string, deadline time.Duration) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nVerbenapin-Request-Id: %s\r\nVerbenapin-Request-Deadline: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if key != "" {
		head += "Authorization: Token " + key + "\r\n"
	}
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return head + "\r\n" + body
}

// send sends one request and waits for its answer until the deadline.
func (cl *client) send(method, host, path, id, key, body string, deadline time.Duration) attempt {
	a := attempt{id: id, kind: method, sent: time.Now()}
	defer func() { a.ended = time.Now() }()
	k, err := cl.take()
	if err != nil {
		a.err = err.Error()
		return a
	}
	_ = k.c.SetDeadline(a.sent.Add(deadline))
	if _, err := io.WriteString(k.c, requestText(method, host, path, id, key, body, deadline)); err != nil {
		_ = k.c.Close()
		a.err = err.Error()
		return a
	}
	res, err := http.ReadResponse(k.r, &http.Request{Method: method})
	if err != nil {
		_ = k.c.Close()
		a.err = err.Error()
		return a
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		_ = k.c.Close()
		a.err = err.Error()
		return a
	}
	a.status, a.body = res.StatusCode, string(data)
	a.signature, a.retryAfter = res.Header.Get("Verbenapin-Response-Signature"), res.Header.Get("Retry-After")
	if res.Close || strings.EqualFold(res.Header.Get("Connection"), "close") {
		_ = k.c.Close()
	} else {
		cl.put(k)
	}
	return a
}
