package main

import (
	"fmt"
	"net/http"
	"time"
)

// pathRequests is how many requests playPath sends with each path.
const pathRequests = 20

// playPath sends requests whose paths hold characters that some clients don't encode, beside encoded ones.
func playPath(root string, trouble bool, rec *record) error {
	f, err := newFleet(root, "front", "ledger", "ledger")
	if err != nil {
		return err
	}
	defer f.close()
	f.configure(route{prefix: "/entry/", kind: "unsafe", service: "ledger", timeoutMs: 1500, objectiveMs: 800, attempts: 2})
	if err := f.startAll(); err != nil {
		return err
	}
	paths := []string{"/entry/2f%3Bv=1/a%2Bb", "/entry/2f%7Cgold/a%2Bb", "/entry/caff%C3%A8/%41"}
	if trouble {
		paths = []string{"/entry/2f%3Bv=1/a%2Bb", "/entry/2f|gold%3Bv=1/a%2Bb", "/entry/caffè/%41"}
	}
	sent := map[string]string{}
	for i, path := range paths {
		for n := range pathRequests {
			id := fmt.Sprintf("%04x%012x", i, n)
			sent[id] = path
			if _, err := sendFinal(rec, f.machines[0], http.MethodPost, path, id, 3*time.Second); err != nil {
				return err
			}
		}
	}
	for id, runs := range rec.runs(f) {
		for _, x := range runs {
			if x.path != sent[id] {
				rec.breaks("UNASKED: %s was sent with the path %s, and %s ran it with the path %s", id, sent[id], x.upstream, x.path)
			}
		}
	}
	return nil
}
