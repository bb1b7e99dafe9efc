package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gone lets clients of an unsafe route leave a moment after they have sent their requests, while a service has more demand than room.
func gone(f *fleet, trouble bool) (string, error) {
	const (
		service  = "ledger"
		work     = 400 * time.Millisecond
		usual    = 22 // requests a second on each desk
		burst    = 40 // 1.8 times that, the site file's largest
		bursts   = 6
		burstFor = 5 * time.Second // the site file's longest
		pause    = 3 * time.Second
		leaveIn  = 100 * time.Millisecond
		deadline = 5156 * time.Millisecond
		late     = 500 * time.Millisecond // after the close, from which a request counts
		few      = 10
	)
	f.configure(1, []string{"desk", service}, []route{{"/write/", "unsafe", service, 1237, 2000}, {"/desk/", "safe", "desk", 600, 1200}},
		[]map[string]any{{"name": "tenant-1", "apiKeys": []string{key}, "priority": 1, "ratePerS": 0, "burst": 0}})
	var desks []*machine
	for _, zone := range []string{"zone-a", "zone-b"} {
		desks = append(desks, f.addMachine(zone, "desk"))
		f.addMachine(zone, service)
	}
	for _, m := range f.machines {
		if err := f.newUpstream(m, "i-"+m.name, work).start(false); err != nil {
			return "", err
		}
		if err := m.start(); err != nil {
			return "", err
		}
	}
	if err := awaitReady(f.machines, 10*time.Second); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	closed := map[string]time.Time{}
	var wg sync.WaitGroup
	n := 0
	send := func(m *machine, leaves bool) {
		n++
		cl, id, body := f.clientOf(m), fmt.Sprintf("%016x", n), strings.Repeat("x", 300)
		wg.Go(func() {
			if !leaves {
				f.noteAttempt(cl.send("POST", host, "/write/x", id, key, body, deadline))
				return
			}
			at, err := cl.abandon("/write/x", id, body, leaveIn, deadline)
			if err != nil {
				f.note("stayed id=%s: %v", id, err)
				return
			}
			f.note("left id=%s", id)
			mu.Lock()
			defer mu.Unlock()
			closed[id] = at
		})
	}
	sendFor := func(d time.Duration, rate int, leaves bool) {
		t := time.NewTicker(time.Second / time.Duration(rate))
		defer t.Stop()
		for end := time.Now().Add(d); time.Now().Before(end); {
			<-t.C
			for _, m := range desks {
				send(m, leaves && n/len(desks)%10 < 3)
			}
		}
	}
	for range bursts {
		sendFor(pause, usual, false)
		if trouble {
			sendFor(burstFor, burst, true)
		} else {
			sendFor(burstFor, usual, false)
		}
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	f.records.mu.Lock()
	defer f.records.mu.Unlock()
	count, worst := 0, time.Duration(0)
	for _, r := range f.records.runs {
		if at, ok := closed[r.id]; ok && r.at.Sub(at) > late {
			count++
			worst = max(worst, r.at.Sub(at))
			f.note("ran id=%s %.3f s after its client had left", r.id, r.at.Sub(at).Seconds())
		}
	}
	fmt.Printf("clients that left: %d, runs over 0.5 s after that: %d, latest %s\n", len(closed), count, worst.Round(time.Millisecond))
	if count <= few {
		return "", nil
	}
	return fmt.Sprintf("GONE: %d requests reached an upstream over 0.5 s after their clients had left, the latest %s after", count, worst.Round(time.Millisecond)), nil
}
