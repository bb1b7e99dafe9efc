package config

import (
	"encoding/hex"
	"hash/fnv"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Defaults and ranges of values.
const (
	defaultDeadline = 2 * time.Second
	defaultRetries  = 0.1
	defaultProbe    = 0.005
	defaultConns    = 260 // connections that the first targets accept
	maxDeadline     = time.Hour
	maxSlots        = 10_000
	maxConns        = 10_000
	maxRate         = 1_000_000
	maxBurst        = 10_000_000
	maxHedge        = 0.05
	maxProbe        = 0.05
	maxHomes        = 24 // keeps a heartbeat under 400 bytes and the watches on the service few
	maxNames        = 1024
	maxKeys         = 1024
	maxAttempts     = 16
	maxRank         = 99
	maxWeight       = 1_000_000
	maxShares       = 64
)

var decimal = regexp.MustCompile(`^[0-9]{1,12}(\.[0-9]{1,6})?$`)

// HomeID is the short digest that stands for a home in heartbeats.
func HomeID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}

// Active returns the homes that are not retired.
func (f Fleet) Active() []string {
	var out []string
	for _, h := range f.Homes {
		if !slices.Contains(f.Retired, h) {
			out = append(out, h)
		}
	}
	return out
}

func routeFields(e *Route) map[string]field {
	return map[string]field{
		"host": func(r *reading, s setting) { e.Host = r.host(s) },
		"path": func(r *reading, s setting) { e.Path = r.path(s) },
		"service": func(r *reading, s setting) {
			e.Service, _ = r.text(s)
			if !label.MatchString(e.Service) {
				r.failAt(s.from, "bad service name %q", e.Service)
			}
		},
		"open":       func(r *reading, s setting) { e.AuthExempt = r.truth(s) },
		"idempotent": func(r *reading, s setting) { e.Idempotent = r.truth(s) },
		"deadline":   func(r *reading, s setting) { e.Deadline = r.duration(s) },
		"retries":    func(r *reading, s setting) { e.RetryRatio = r.share(s, 1) },
		"hedge":      func(r *reading, s setting) { e.HedgeRatio = r.share(s, maxHedge) },
		"probe":      func(r *reading, s setting) { e.ProbeRatio = r.share(s, maxProbe) },
		"bulk":       func(r *reading, s setting) { e.Bulk = r.truth(s) },
		"split":      func(r *reading, s setting) { e.Split = r.split(s) },
		"aim":        func(r *reading, s setting) { e.LatencyObjective = r.duration(s) },
		"attempts":   func(r *reading, s setting) { e.Attempts = r.count(s, maxAttempts) },
		"rank":       func(r *reading, s setting) { e.Priority = r.rank(s) },
		"slots":      func(r *reading, s setting) { e.Slots = r.count(s, maxSlots) },
		"conns":      func(r *reading, s setting) { e.Conns = r.count(s, maxConns) },
	}
}

func accountFields(e *Account) map[string]field {
	return map[string]field{
		"rate":   func(r *reading, s setting) { e.Rate = r.rate(s) },
		"burst":  func(r *reading, s setting) { e.Burst = float64(r.count(s, maxBurst)) },
		"rank":   func(r *reading, s setting) { e.Priority = r.rank(s) },
		"keys":   func(r *reading, s setting) { e.Keys = r.digests(s) },
		"routes": func(r *reading, s setting) { e.Routes = r.names(s, word, maxNames) },
	}
}

// number reads a plain decimal; signs, exponents and other bases are refused.
func (r *reading) number(s setting, text string) (float64, bool) {
	if !decimal.MatchString(text) {
		r.failAt(s.from, "%q is not a plain decimal number", text)
		return 0, false
	}
	n, err := strconv.ParseFloat(text, 64)
	return n, err == nil
}

func (r *reading) unit(s setting, unit, example string) (float64, bool) {
	text, ok := r.text(s)
	if !ok {
		return 0, false
	}
	n, ok := strings.CutSuffix(text, unit)
	if !ok {
		r.failAt(s.from, "missing unit in %q, for example %s", text, example)
		return 0, false
	}
	return r.number(s, n)
}

func (r *reading) rate(s setting) float64 {
	n, ok := r.unit(s, "/s", "50/s")
	if ok && (n <= 0 || n > maxRate) {
		r.failAt(s.from, "rate out of range: more than 0/s, at most %d/s", maxRate)
	}
	return n
}

func (r *reading) share(s setting, most float64) float64 {
	n, ok := r.unit(s, "%", "10%")
	if ok && n > most*100 {
		r.failAt(s.from, "share out of range: 0%% to %g%%", most*100)
	}
	return n / 100
}

func (r *reading) duration(s setting) time.Duration {
	text, ok := r.text(s)
	if !ok {
		return 0
	}
	number, scale := text, time.Duration(0)
	if n, ok := strings.CutSuffix(text, "ms"); ok {
		number, scale = n, time.Millisecond
	} else if n, ok := strings.CutSuffix(text, "s"); ok {
		number, scale = n, time.Second
	} else if n, ok := strings.CutSuffix(text, "m"); ok {
		number, scale = n, time.Minute
	}
	if scale == 0 {
		r.failAt(s.from, "missing unit in %q, for example 2s or 50ms", text)
		return 0
	}
	n, ok := r.number(s, number)
	if !ok {
		return 0
	}
	if n *= float64(scale); n < float64(time.Millisecond) || n > float64(maxDeadline) {
		r.failAt(s.from, "duration out of range: 1ms to %s", maxDeadline)
		return 0
	}
	return time.Duration(math.Round(n))
}

func (r *reading) count(s setting, most int) int {
	text, ok := r.text(s)
	if !ok {
		return 0
	}
	return r.whole(s, text, 1, most)
}

func (r *reading) rank(s setting) int {
	text, ok := r.text(s)
	if !ok {
		return 0
	}
	return r.whole(s, text, 0, maxRank)
}

func (r *reading) whole(s setting, text string, least, most int) int {
	n, ok := r.number(s, text)
	if !ok {
		return 0
	}
	if n != math.Trunc(n) || n < float64(least) || n > float64(most) {
		r.failAt(s.from, "number out of range: a whole number, %d to %d", least, most)
		return 0
	}
	return int(n)
}

// split reads a list of services with their weights, such as ["history 90", "archive 10"].
func (r *reading) split(s setting) []WeightedService {
	list := r.list(s)
	if len(list) > maxShares {
		r.failAt(s.from, "%d services, at most %d are allowed", len(list), maxShares)
		return nil
	}
	var out []WeightedService
	seen := map[string]bool{}
	for _, text := range list {
		service, weight, ok := strings.Cut(text, " ")
		switch {
		case !ok || !label.MatchString(service):
			r.failAt(s.from, "bad share %q: a service and its weight are required, such as \"history 90\"", text)
			continue
		case seen[service]:
			r.failAt(s.from, "duplicate service %q", service)
		}
		seen[service] = true
		out = append(out, WeightedService{Service: service, Weight: r.whole(s, weight, 1, maxWeight)})
	}
	return out
}

func (r *reading) truth(s setting) bool {
	text, _ := r.text(s)
	if text != "true" && text != "false" {
		r.failAt(s.from, "true or false is required")
	}
	return text == "true"
}

func (r *reading) host(s setting) string {
	text, ok := r.text(s)
	if !ok {
		return ""
	}
	good := len(text) <= 253
	for _, l := range strings.Split(text, ".") {
		good = good && label.MatchString(l)
	}
	if !good {
		r.failAt(s.from, "bad host %q: lower-case labels with dots and no port are required", text)
	}
	return text
}

// path accepts only the canonical form to which the caller slice brings request paths.
func (r *reading) path(s setting) string {
	text, ok := r.text(s)
	if !ok || text == "/" {
		return text
	}
	rest, good := strings.CutPrefix(text, "/")
	for _, p := range strings.Split(rest, "/") {
		good = good && segment.MatchString(p) && p != "." && p != ".."
	}
	if !good || len(text) > 1024 {
		r.failAt(s.from, "bad path %q: it starts with / and has no empty, dot or encoded segment", text)
	}
	return text
}

func (r *reading) digests(s setting) []Digest {
	list := r.list(s)
	if len(list) > maxKeys {
		r.failAt(s.from, "%d keys, at most %d are allowed", len(list), maxKeys)
		return nil
	}
	var out []Digest
	for _, text := range list {
		hexed, ok := strings.CutPrefix(text, "sha256:")
		if !ok {
			r.failAt(s.from, "a key digest starts with sha256:")
			continue
		}
		d, ok := parseDigest(hexed)
		if !ok {
			r.failAt(s.from, "bad key digest: 64 lower-case hexadecimal digits are required")
			continue
		}
		out = append(out, d)
	}
	return out
}

func parseDigest(text string) (Digest, bool) {
	var d Digest
	if len(text) != 2*len(d) || strings.ToLower(text) != text {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(text))
	return d, err == nil
}
