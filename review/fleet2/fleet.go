package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir      string
	base     string // first three octets of the machines' addresses
	store    *store
	machines []*machine
	records  records
	start    time.Time

	mu      sync.Mutex
	clients map[*machine]*client
	out     *bufio.Writer
	rec     *os.File
}

// newFleet creates the store and the record in the folder.
func newFleet(folder string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, start: time.Now()}
	if f.rec, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	f.out = bufio.NewWriter(f.rec)
	if f.base, err = freeBase(); err != nil {
		return nil, err
	}
	f.store, err = newStore(f.base + ".1:8102")
	return f, err
}

// freeBase returns a block of loopback addresses on which nothing listens.
func freeBase() (string, error) {
	for range 50 {
		base := fmt.Sprintf("127.%d.%d", 60+rand.IntN(150), rand.IntN(250))
		l, err := net.Listen("tcp", base+".1:8102")
		if err == nil {
			_ = l.Close()
			return base, nil
		}
	}
	return "", fmt.Errorf("no block of loopback addresses is free")
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.out, "%8.3f ", time.Since(f.start).Seconds())
	fmt.Fprintf(f.out, format+"\n", args...)
}

func (f *fleet) noteAttempt(a attempt) {
	f.note("answer id=%s kind=%s sent=%.3f status=%d signature=%q err=%q", a.id, a.kind, a.sent.Sub(f.start).Seconds(), a.status, a.signature, a.err)
}

// addMachine adds a machine; its node is not started.
func (f *fleet) addMachine(zone, service string) *machine {
	n := len(f.machines)
	m := &machine{name: fmt.Sprintf("sidecar-%s-%d", zone, n), zone: zone, service: service, ip: fmt.Sprintf("%s.%d", f.base, 10+n), dir: f.dir, storeAddr: f.store.addr}
	f.machines = append(f.machines, m)
	return m
}

// clientOf returns the clients of a machine.
func (f *fleet) clientOf(m *machine) *client {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clients == nil {
		f.clients = map[*machine]*client{}
	}
	if f.clients[m] == nil {
		f.clients[m] = &client{addr: m.addr(outboundPort)}
	}
	return f.clients[m]
}

// newUpstream returns a new incarnation of the upstream beside a machine's node.
func (f *fleet) newUpstream(m *machine, id string, work time.Duration) *upstream {
	return &upstream{
		id: id, service: m.service, zone: m.zone, addr: m.addr(appPort), work: work, store: f.store, records: &f.records,
		rng: rand.New(rand.NewPCG(uint64(len(id)), uint64(time.Now().UnixNano()))),
	}
}

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	aimMs, timeoutMs      int
}

// configure writes a configuration.
func (f *fleet) configure(version int, services []string, routes []route, tenants []map[string]any) {
	var list, table []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": healthPath, "maxConnections": 260, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 11.0})
	}
	for i, r := range routes {
		table = append(table, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "pathPrefix": r.prefix, "routeKind": r.kind, "timeoutMs": r.timeoutMs, "targetLatencyMs": r.aimMs, "priority": 1,
			"service": r.service, "attempts": 2, "authExempt": false,
		})
	}
	c := map[string]any{
		"version": version, "services": list, "baseVersion": version - 1,
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"virtualHosts": []map[string]any{{"authority": host, "routeTable": table}},
	}
	if tenants != nil {
		c["tenants"] = tenants
	}
	value, _ := json.Marshal(c)
	f.store.put("op/config", value)
	f.note("configuration version=%d %s", version, value)
}

const (
	host = "app.example"
	key  = "89anu6wsjnbanfqasnmg"
)

// close ends all processes and writes the record.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.kill()
	}
	f.records.mu.Lock()
	for _, r := range f.records.runs {
		fmt.Fprintf(f.out, "%8.3f run id=%s upstream=%s cold=%t\n", r.at.Sub(f.start).Seconds(), r.id, r.upstream, r.cold)
	}
	f.records.mu.Unlock()
	_ = f.out.Flush()
	_ = f.rec.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", f.dir)
	}
}
