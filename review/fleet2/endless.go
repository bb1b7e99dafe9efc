package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// serveEndless answers like a sound upstream, except that a part of its responses has a body without end while bad reports so.
func serveEndless(f *fleet, u *upstream, c net.Conn, bad func() bool) {
	const size = 90_000
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == healthPath {
			_, _ = io.WriteString(c, message(200, "Verbenapin-Instance-Id: "+u.id+"\r\nVerbenapin-Server-Load: 1,0,12,100\r\n", ""))
			continue
		}
		id := req.Header.Get("Verbenapin-Request-Id")
		header := "Verbenapin-Request-Id: " + id + "\r\nVerbenapin-Server-Load: 1,0,12,100\r\nVerbenapin-Response-Signature: sig." + id + "\r\n"
		f.records.add(run{id: id, upstream: u.id, at: time.Now()})
		time.Sleep(u.work)
		if !bad() {
			_, _ = io.WriteString(c, message(200, header, string(make([]byte, size))))
			continue
		}
		f.note("endless id=%s upstream=%s", id, u.id)
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header+"Transfer-Encoding: chunked\r\n\r\n")
		piece := fmt.Sprintf("%x\r\n%s\r\n", 4096, make([]byte, 4096))
		for err == nil {
			_, err = io.WriteString(c, piece)
			time.Sleep(50 * time.Millisecond)
		}
		f.note("left id=%s upstream=%s", id, u.id)
		return
	}
}

// download is a request of a client that reads its response until it ends or the client's deadline passes.
type download struct {
	status   int
	ended    bool // the response or the connection ended before the deadline
	complete bool
	took     time.Duration
}

func fetch(addr, id string, deadline time.Duration) (download, error) {
	start := time.Now()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return download{}, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(start.Add(deadline))
	if _, err := io.WriteString(c, requestText("GET", host, "/dl/x", id, key, "", deadline)); err != nil {
		return download{}, err
	}
	var d download
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: "GET"})
	if err == nil {
		d.status = res.StatusCode
		_, err = io.Copy(io.Discard, res.Body)
	}
	var netErr net.Error
	d.ended, d.complete, d.took = !(errors.As(err, &netErr) && netErr.Timeout()), err == nil, time.Since(start)
	return d, nil
}

// endless lets one upstream of seven send bodies without end.
func endless(f *fleet, trouble bool) (string, error) {
	const (
		service   = "files"
		timeoutMs = 1200
		deadline  = 4 * time.Second
		slack     = 500 * time.Millisecond
		troubled  = 6500 * time.Millisecond // the site file has up to 8.5 s for srv_grey
		rounds    = 5
		perS      = 80
	)
	f.configure(1, []string{"desk", service}, []route{{"/dl/", "download", service, 600, timeoutMs}, {"/desk/", "safe", "desk", 600, 1200}},
		[]map[string]any{{"name": "tenant-1", "apiKeys": []string{key}, "priority": 1, "ratePerS": 0, "burst": 0}})
	var mu sync.Mutex
	on, asked := false, 0
	bad := func() bool { // four of nine requests
		mu.Lock()
		defer mu.Unlock()
		if !on {
			return false
		}
		asked++
		return asked%9 < 4
	}
	desk := f.addMachine("zone-a", "desk")
	for i := range 7 {
		f.addMachine("zone-"+string("abc"[i%3]), service)
	}
	for i, m := range f.machines {
		u := f.newUpstream(m, "i-"+m.name, 100*time.Millisecond)
		if m == desk {
			if err := u.start(false); err != nil {
				return "", err
			}
		} else {
			l, err := net.Listen("tcp", u.addr)
			if err != nil {
				return "", err
			}
			u.state, u.born = "ready", time.Now()
			u.beat()
			mine := func() bool { return i == 1 && bad() }
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go serveEndless(f, u, c, mine)
				}
			}()
		}
		if err := m.start(); err != nil {
			return "", err
		}
	}
	if err := awaitReady(f.machines, 10*time.Second); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var long, late, n int
	count := func(d download) {
		mu.Lock()
		defer mu.Unlock()
		if d.took > timeoutMs*time.Millisecond || !d.ended {
			long++
			if !d.ended || d.took > timeoutMs*time.Millisecond+slack {
				late++
			}
		}
	}
	for range rounds {
		mu.Lock()
		on = trouble
		mu.Unlock()
		t := time.NewTicker(time.Second / perS)
		for end := time.Now().Add(troubled); time.Now().Before(end); {
			<-t.C
			n++
			id := "d" + strconv.Itoa(n)
			wg.Go(func() {
				d, err := fetch(desk.addr(outboundPort), id, deadline)
				f.note("answer id=%s status=%d complete=%t ended=%t took=%.3f err=%v", id, d.status, d.complete, d.ended, d.took.Seconds(), err)
				if err == nil {
					count(d)
				}
			})
		}
		t.Stop()
		mu.Lock()
		on = false
		mu.Unlock()
		time.Sleep(8 * time.Second)
	}
	wg.Wait()
	fmt.Printf("requests %d, longer than timeoutMs %d, of these without a final answer half a second after it %d\n", n, long, late)
	if late < 8 || 4*late <= long {
		return "", nil
	}
	return fmt.Sprintf("CONFIG: %d of %d requests that lasted longer than timeoutMs had no final answer 0.5 s after it", late, long), nil
}
