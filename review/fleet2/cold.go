package main

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the rule on cold upstreams: coldPerS x coldOverage + coldSlack, rounded down.
const coldBound = 21

// coldExtra lets the upstreams of a service in one zone crash and return cold, while a few of their answers are sent a second time, late.
func coldExtra(f *fleet, trouble bool) (string, error) {
	const (
		service  = "ledger"
		work     = 80 * time.Millisecond
		perDesk  = 150                     // requests a second
		extra    = 0.05                    // part of the answers that are sent again; the site file's largest is 0.05
		extraFor = 5500 * time.Millisecond // the site file's longest is 5.5 s
		downFor  = 2 * time.Second         // the site file's longest is 4.5 s
		cycles   = 8
	)
	f.configure(1, []string{"desk", service}, []route{{"/write/", "unsafe", service, 800, 1500}, {"/desk/", "safe", "desk", 600, 1200}},
		[]map[string]any{{"name": "tenant-1", "apiKeys": []string{key}, "priority": 1, "ratePerS": 0, "burst": 0}})
	var desks, returning []*machine
	for _, zone := range []string{"zone-a", "zone-b"} {
		desks = append(desks, f.addMachine(zone, "desk"))
		for range 2 {
			m := f.addMachine(zone, service)
			if zone == "zone-a" {
				returning = append(returning, m)
			}
		}
	}
	ups := map[*machine]*upstream{}
	begin := func(m *machine, n int, cold bool) error {
		u := f.newUpstream(m, fmt.Sprintf("i-%s-%d", m.name, n), work)
		u.coldLimit = coldBound
		ups[m] = u
		f.note("upstream %s starts, cold=%t", u.id, cold)
		return u.start(cold)
	}
	for _, m := range f.machines {
		if err := begin(m, 0, false); err != nil {
			return "", err
		}
		if err := m.start(); err != nil {
			return "", err
		}
	}
	if err := awaitReady(f.machines, 10*time.Second); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for d, m := range desks {
		cl := &client{addr: m.addr(outboundPort)}
		wg.Go(func() {
			t := time.NewTicker(time.Second / perDesk)
			defer t.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-t.C:
				}
				wg.Go(func() {
					f.noteAttempt(cl.send("POST", host, "/write/x", fmt.Sprintf("%d%015x", d, n), key, "slip", 2500*time.Millisecond))
				})
			}
		})
	}
	for n := 1; n <= cycles; n++ {
		time.Sleep(3 * time.Second)
		if !trouble {
			time.Sleep(downFor + extraFor)
			continue
		}
		for _, m := range returning {
			f.note("upstream %s crashes", ups[m].id)
			ups[m].crash()
		}
		time.Sleep(downFor)
		for _, m := range returning {
			if err := begin(m, n, true); err != nil {
				return "", err
			}
			ups[m].setExtra(extra)
		}
		time.Sleep(extraFor)
		for _, m := range returning {
			ups[m].setExtra(0)
		}
	}
	close(stop)
	wg.Wait()
	return f.coldBroken(), nil
}

// coldBroken returns where a cold upstream got too many requests in one second, which begins with any of them.
func (f *fleet) coldBroken() string {
	f.records.mu.Lock()
	defer f.records.mu.Unlock()
	worst, where := 0, ""
	for i, first := range f.records.runs {
		n := 0
		for _, r := range f.records.runs[i:] {
			if r.at.Sub(first.at) >= time.Second {
				break
			}
			if r.cold && first.cold && r.upstream == first.upstream {
				n++
			}
		}
		if n > worst {
			worst, where = n, fmt.Sprintf("%d requests in the second from %.3f s at the cold upstream %s", n, first.at.Sub(f.start).Seconds(), first.upstream)
		}
	}
	fmt.Println("most:", where)
	if worst <= coldBound {
		return ""
	}
	return fmt.Sprintf("FAILBACK: %s, allowed %d", where, coldBound)
}
