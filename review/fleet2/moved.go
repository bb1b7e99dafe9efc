package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// movedStore gives the platform's store another address, writes it to the settings files with a SIGHUP to half of the machines, and then takes a key away.
func movedStore(f *fleet, trouble bool) (string, error) {
	const (
		service = "ledger"
		spare   = "kcuyj8pjbvk9m68k7b2e"
		applyBy = (2000 + 5000) * time.Millisecond // configApplyMs + outerMs
		settle  = 10 * time.Second                 // more than contactMs after the move
	)
	routes := []route{{"/read/", "safe", service, 600, 1200}, {"/desk/", "safe", "desk", 600, 1200}}
	tenants := func(keys ...string) []map[string]any {
		return []map[string]any{{"name": "tenant-1", "apiKeys": keys, "priority": 1, "ratePerS": 0, "burst": 0}}
	}
	f.configure(1, []string{"desk", service}, routes, tenants(key, spare))
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.addMachine(zone, "desk")
		f.addMachine(zone, service)
	}
	for _, m := range f.machines {
		if err := f.newUpstream(m, "i-"+m.name, 20*time.Millisecond).start(false); err != nil {
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
	ask := func(what, k string) (served int) {
		for _, m := range f.machines {
			cl := &client{addr: m.addr(outboundPort)}
			for n := range 5 {
				a := cl.send("GET", host, "/read/x", fmt.Sprintf("%s%s%d", what, m.ip[len(m.ip)-2:], n), k, "", 2500*time.Millisecond)
				f.noteAttempt(a)
				if a.status == 200 {
					served++
				}
			}
		}
		return served
	}
	if n := ask("before", spare); n == 0 {
		return "", fmt.Errorf("no request was served")
	}
	if trouble {
		addr, err := f.store.move(f.base + ".2:8102")
		if err != nil {
			return "", err
		}
		f.note("the store has the address %s", addr)
		for i, m := range f.machines {
			m.storeAddr = addr
			path := filepath.Join(m.dir, m.name+".yaml")
			if err := os.WriteFile(path+".new", []byte(m.settings()), 0o600); err != nil {
				return "", err
			}
			if err := os.Rename(path+".new", path); err != nil {
				return "", err
			}
			if i%2 == 0 { // the others notice without a signal
				m.signal(syscall.SIGHUP)
			}
		}
	}
	time.Sleep(settle)
	f.configure(2, []string{"desk", service}, routes, tenants(key))
	time.Sleep(applyBy)
	f.note("from here on the key that was taken away is sent")
	served := 0
	for n := range 3 {
		served += ask(fmt.Sprintf("after%d-", n), spare)
		time.Sleep(2 * time.Second)
	}
	kept := ask("kept", key)
	fmt.Printf("served with the key that was taken away: %d of 90, with the other: %d of 30\n", served, kept)
	if served == 0 {
		return "", nil
	}
	return fmt.Sprintf("CONFIG: %d requests ran with a key that a version had dropped, sent %s and more after its acknowledgement", served, applyBy), nil
}
