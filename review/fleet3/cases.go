package main

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// The host of all routes and the key of the only tenant of a case.
const (
	host = "nony93.example"
	key  = "89anu6wsjnbanfqasnmg"
	// withdrawnKey is the key that an operator takes away.
	withdrawnKey = "kcuyj8pjbvk9m68k7b2e"
)

// Figures of the rules, as in the settings.
const (
	coldPerS     = 11.0
	coldOverage  = 1.5
	coldSlack    = 5.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.25
	quotaSlack   = 20.0
	configApply  = 2 * time.Second
	maxValue     = 1 << 20 // bytes of a value in the store
)

// configuration returns a configuration with one safe route for each service, whose path begins with the service's name, and one tenant.
func configuration(services []string, ratePerS, burst float64) map[string]any {
	var list, routes []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/healthz", "maxConnections": 260, "coldStartS": 3, "coldPerS": coldPerS})
		routes = append(routes, map[string]any{
			"name": "read-" + s, "pathPrefix": "/" + s + "/", "routeKind": "safe", "timeoutMs": 1200, "targetLatencyMs": 600, "priority": 2,
			"service": s, "attempts": 2, "authExempt": false,
		})
	}
	return map[string]any{
		"version": 3, "services": list,
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 10000},
		"tenants":      []map[string]any{{"name": "gole200", "apiKeys": []string{key}, "priority": 0, "ratePerS": ratePerS, "burst": burst}},
		"virtualHosts": []map[string]any{{"authority": host, "routeTable": routes}},
	}
}

// smallFleet are two services on machines in three zones.
var smallFleet = []spec{
	{"lomb-a", "storico"}, {"lomb-b", "storico"}, {"lomb-c", "storico"},
	{"lomb-a", "registro"}, {"lomb-b", "registro"}, {"lomb-c", "registro"},
}

// mostWithin returns the most requests that were both sent and arrived in one window, and the start of that window.
func mostWithin(arrivals []run, sent map[string]answerOf, window time.Duration) (int, time.Time) {
	type span struct{ from, to time.Time }
	spans := make([]span, 0, len(arrivals))
	for _, a := range arrivals {
		if s, ok := sent[a.id]; ok {
			spans = append(spans, span{s.sent, a.at})
		}
	}
	most, at := 0, time.Time{}
	for _, first := range spans {
		n := 0
		for _, s := range spans {
			if !s.from.Before(first.from) && s.to.Before(first.from.Add(window)) {
				n++
			}
		}
		if n > most {
			most, at = n, first.from
		}
	}
	return most, at
}

// quota loses the upstreams of two machines for good, and lets a tenant ask for more than its limit long after.
func quota(log *record, trouble bool) (bool, error) {
	const ratePerS, burst = 60, 60
	f, err := newFleet(log, smallFleet, 12, 20*time.Millisecond, configuration([]string{"storico", "registro"}, ratePerS, burst))
	defer f.close()
	if err != nil {
		return false, err
	}
	c := &clients{log: log}
	if trouble {
		f.machines[0].upstream.crash()
		f.machines[3].upstream.crash()
	}
	time.Sleep(3*heartbeat + 33*time.Second)
	log.say("the tenant asks for five times its rate")
	for _, m := range f.machines {
		c.press(m, 5*ratePerS/float64(len(f.machines)), 15*time.Second, host, "/storico/work", key, 1500*time.Millisecond)
	}
	c.wait.Wait()
	var runs []run
	for _, m := range f.machines {
		r, _ := m.upstream.history()
		runs = append(runs, r...)
	}
	most, at := mostWithin(runs, c.answers(), quotaWindow)
	allowed := (ratePerS*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack
	log.say("QUOTA: %d requests of the tenant sent and run in 5 s from %.1f s; allowed are %.1f", most, at.Sub(log.start).Seconds(), allowed)
	return float64(most) <= allowed, nil
}

// checkCold compares what a cold upstream got with the rule.
func checkCold(log *record, u *upstream, c *clients) bool {
	_, arrivals := u.history()
	arrivals = slices.DeleteFunc(arrivals, func(a run) bool { return !a.cold })
	most, at := mostWithin(arrivals, c.answers(), time.Second)
	allowed := coldPerS*coldOverage + coldSlack
	log.say("FAILBACK: %d requests sent to the cold upstream %s and arrived there in 1 s from %.1f s; allowed are %.1f", most, u.id, at.Sub(log.start).Seconds(), allowed)
	return float64(most) <= allowed
}

// foreign evacuates a zone and takes it back, whose upstream is cold then, while another writer's entry names the machine.
func foreign(log *record, trouble bool) (bool, error) {
	f, err := newFleet(log, smallFleet, 12, 60*time.Millisecond, configuration([]string{"storico", "registro"}, 0, 0))
	defer f.close()
	if err != nil {
		return false, err
	}
	u := f.machines[0].upstream
	if trouble {
		entry, err := json.Marshal(map[string]any{
			"address": f.machines[0].ip + ":9100", "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "metrics-agent", "version": "v1", "zone": f.machines[0].zone, "slots": 64},
			"status": map[string]any{"state": "ready", "seq": 1, "coldMs": 0},
		})
		if err != nil {
			return false, fmt.Errorf("foreign entry: %w", err)
		}
		f.store.put("servers/metrics-agent-1", entry)
		log.say("an entry of the service metrics-agent, which no configuration names, is written for the machine of %s", u.id)
	}
	c := &clients{log: log}
	for _, m := range f.machines {
		c.press(m, 70, 17*time.Second, host, "/storico/work", key, 1500*time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	log.say("zone lomb-a is evacuated")
	f.store.put("op/evacuate/lomb-a", []byte("{}"))
	time.Sleep(6 * time.Second)
	u.setCold(3 * time.Second)
	f.machines[3].upstream.setCold(3 * time.Second)
	time.Sleep(200 * time.Millisecond)
	log.say("zone lomb-a is taken back; its upstreams are cold")
	f.store.remove("op/evacuate/lomb-a")
	c.wait.Wait()
	return checkCold(log, u, c), nil
}

// blobs takes a key away just after another writer has written a few large entries that can't be read.
func blobs(log *record, trouble bool) (bool, error) {
	return withdraw(log, func(f *fleet, _ map[string]any) {
		if !trouble {
			return
		}
		for n := range 4 {
			value := make([]byte, maxValue)
			_, _ = rand.Read(value)
			f.store.put(fmt.Sprintf("servers/blob-%d", n), value)
		}
		log.say("another writer has written four entries of 1 MB that can't be read")
		time.Sleep(time.Second)
	})
}

// weights takes a key away in a version that also splits a route, with fractions as weights.
func weights(log *record, trouble bool) (bool, error) {
	return withdraw(log, func(_ *fleet, next map[string]any) {
		first, second := 199.0, 1.0
		if trouble {
			first, second = 99.5, 0.5
		}
		route := next["virtualHosts"].([]map[string]any)[0]["routeTable"].([]map[string]any)[1]
		delete(route, "service")
		route["weightedClusters"] = []map[string]any{{"service": "registro", "weight": first}, {"service": "storico", "weight": second}}
		log.say("the next version splits the route to registro with the weights %v and %v", first, second)
	})
}

// withdraw lets clients send requests with a key before and after a version takes it away. before is called just before that, with the
// version.
func withdraw(log *record, before func(f *fleet, next map[string]any)) (bool, error) {
	c := configuration([]string{"storico", "registro"}, 0, 0)
	tenant := c["tenants"].([]map[string]any)[0]
	tenant["apiKeys"] = []string{key, withdrawnKey}
	f, err := newFleet(log, smallFleet, 12, 20*time.Millisecond, c)
	defer f.close()
	if err != nil {
		return false, err
	}
	current, withdrawn := &clients{log: log}, &clients{log: log}
	for _, m := range f.machines {
		current.press(m, 10, 30*time.Second, host, "/storico/work", key, 1500*time.Millisecond)
		withdrawn.press(m, 5, 30*time.Second, host, "/storico/work", withdrawnKey, 1500*time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	c["version"] = 7
	tenant["apiKeys"] = []string{key}
	before(f, c)
	value, err := json.Marshal(c)
	if err != nil {
		return false, fmt.Errorf("configuration: %w", err)
	}
	f.store.put("op/config", value)
	acknowledged := time.Now()
	log.say("version 7, which lacks a key, is acknowledged")
	current.wait.Wait()
	withdrawn.wait.Wait()
	sent, late, total, last := withdrawn.answers(), 0, 0, time.Duration(0)
	for _, m := range f.machines {
		runs, _ := m.upstream.history()
		for _, r := range runs {
			if a, ok := sent[r.id]; ok && a.sent.After(acknowledged.Add(configApply)) {
				late++
				last = max(last, a.sent.Sub(acknowledged))
			}
		}
	}
	for _, a := range sent {
		if a.sent.After(acknowledged.Add(configApply)) {
			total++
		}
	}
	log.say("CONFIG: %d of %d requests with the withdrawn key, sent later than 2 s after the acknowledgement, were run; the last was sent %.1f s after it", late, total, last.Seconds())
	return late == 0, nil
}
