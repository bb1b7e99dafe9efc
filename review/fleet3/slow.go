package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	downloadBytes = 480_000               // the largest download of the site file has 540,000
	receiveBuffer = 64 << 10              // of a client's socket
	readChunk     = 16 << 10              // read by a client at a time
	readPause     = 62 * time.Millisecond // between two reads: some 260 KB a second
	sendPause     = 1600 * time.Millisecond
	maxAhead      = 2 // requests of a client that are not answered
	slowDeadline  = 5 * time.Second
	deadlineSlack = 500 * time.Millisecond // requests that are cut so shortly before their deadline are not counted
)

// sentRequest is a request of a slow client and how it ended.
type sentRequest struct {
	id          string
	sent, ended time.Time
	whole       bool // answered with all of its bytes
}

// slowReader reads at the pace of a slow client.
type slowReader struct{ net.Conn }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(readPause)
	return r.Conn.Read(p[:min(len(p), readChunk)])
}

// slowClient sends requests ahead on one connection after the other and reads the answers slowly. It returns what it has sent.
func slowClient(log *record, m *machine, stop <-chan struct{}) []sentRequest {
	var all []sentRequest
	for !isClosed(stop) {
		dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
		}}
		c, err := dialer.Dial("tcp", m.outbound)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		all = append(all, slowConnection(log, m, c, stop)...)
		_ = c.Close()
	}
	return all
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// slowConnection uses one connection until its end, until an answer asks to close it, or until stop is closed and all is answered.
func slowConnection(log *record, m *machine, c net.Conn, stop <-chan struct{}) []sentRequest {
	var mu sync.Mutex
	var list []sentRequest
	answered, closing := 0, false
	ended := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		for !isClosed(ended) {
			mu.Lock()
			if isClosed(stop) || closing {
				mu.Unlock()
				return
			}
			if len(list)-answered < maxAhead {
				q := sentRequest{id: fmt.Sprintf("%016x", rand.Uint64()), sent: time.Now()}
				list = append(list, q)
				log.line(q.sent, "sent id=%s to=%s", q.id, m.name)
				_, _ = fmt.Fprintf(c, "GET /dl/bytes HTTP/1.1\r\nHost: %s\r\nVerbenapin-Request-Id: %s\r\nVerbenapin-Request-Deadline: %d\r\nAuthorization: Token %s\r\n\r\n",
					host, q.id, slowDeadline.Milliseconds(), key)
			}
			mu.Unlock()
			select {
			case <-ended:
			case <-time.After(sendPause):
			}
		}
	})
	// next returns the oldest request without an answer.
	next := func() (int, bool) {
		mu.Lock()
		defer mu.Unlock()
		return answered, answered < len(list)
	}
	reader := bufio.NewReaderSize(slowReader{c}, readChunk)
	for {
		n, waiting := next()
		if !waiting {
			mu.Lock()
			done := closing || isClosed(stop)
			mu.Unlock()
			if done {
				break
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		res, err := http.ReadResponse(reader, nil)
		if err == nil {
			mu.Lock()
			closing = closing || res.Close
			mu.Unlock()
			var bytes int64
			bytes, err = io.Copy(io.Discard, res.Body)
			if err == nil && res.StatusCode == http.StatusOK && bytes != downloadBytes {
				err = errors.New("short answer")
			}
		}
		mu.Lock()
		list[n].ended, list[n].whole = time.Now(), err == nil
		log.line(list[n].ended, "answered id=%s whole=%t error=%v", list[n].id, err == nil, err)
		answered++
		if err != nil {
			for i := answered; i < len(list); i++ {
				list[i].ended = list[n].ended
			}
			mu.Unlock()
			break
		}
		over := closing
		mu.Unlock()
		if over {
			break // what was sent behind an answer that closes the connection counts as not read
		}
	}
	close(ended)
	sending.Wait()
	return list
}

// slow stops a node in turn and starts it again while its clients read large answers slowly and send further requests ahead.
func slow(log *record, trouble bool) (bool, error) {
	c := configuration([]string{"storico", "registro"}, 0, 0)
	first := c["virtualHosts"].([]map[string]any)[0]
	first["routeTable"] = append(first["routeTable"].([]map[string]any), map[string]any{
		"name": "dl", "pathPrefix": "/dl/", "routeKind": "download", "timeoutMs": slowDeadline.Milliseconds(), "targetLatencyMs": 1200, "priority": 2,
		"service": "storico", "attempts": 2, "authExempt": false,
	})
	f, err := newFleet(log, smallFleet, 12, 180*time.Millisecond, c)
	defer f.close()
	if err != nil {
		return false, err
	}
	m := f.machines[3]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var sent []sentRequest
	for range 24 {
		clients.Go(func() {
			list := slowClient(log, m, stop)
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, list...)
		})
		time.Sleep(100 * time.Millisecond)
	}
	var stops []time.Time
	for range 4 {
		time.Sleep(7 * time.Second)
		if !trouble {
			continue
		}
		stops = append(stops, time.Now())
		log.say("SIGTERM to the node of %s", m.name)
		m.signal(syscall.SIGTERM)
		select {
		case <-m.done:
		case <-time.After(6 * time.Second):
			log.say("SIGKILL after graceS")
			m.signal(syscall.SIGKILL)
			<-m.done
		}
		if err := f.startNode(m); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	run := map[string]bool{}
	for _, other := range f.machines {
		runs, _ := other.upstream.history()
		for _, r := range runs {
			run[r.id] = true
		}
	}
	whole, cut, lost := 0, 0, 0
	for _, q := range sent {
		switch {
		case q.whole:
			whole++
		case q.ended.IsZero():
		default:
			cut++
			for _, at := range stops {
				if run[q.id] && q.ended.After(at) && q.ended.Before(at.Add(7*time.Second)) && q.ended.Sub(q.sent) < slowDeadline-deadlineSlack {
					lost++
					log.line(q.ended, "lost id=%s: passed on, cut %.1f s after it was sent and %.1f s after the SIGTERM", q.id, q.ended.Sub(q.sent).Seconds(), q.ended.Sub(at).Seconds())
				}
			}
		}
	}
	log.say("LOST: %d requests that were passed on were cut within graceS + 1 s of a SIGTERM; %d answers came whole, %d requests were cut in all", lost, whole, cut)
	return lost == 0, nil
}
