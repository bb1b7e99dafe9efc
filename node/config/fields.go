package config

import (
	"encoding/hex"
	"hash/fnv"
	"math"
	"math/big"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Defaults and limits of configuration values.
const (
	defaultDeadline   = 2 * time.Second
	defaultRetryRatio = 0.1
	defaultProbeRatio = 0.005
	defaultConns      = 260 // the connection limit of the first targets of the fleet
	maxDeadline       = time.Hour
	maxSlots          = 10_000
	maxConns          = 10_000
	maxRate           = 1_000_000
	maxBurst          = 10_000_000
	maxHedgeRatio     = 0.05
	maxLocalRatio     = 1
	maxProbeRatio     = 0.05
	maxHomes          = 24 // keeps a heartbeat under 400 bytes and limits the long polls on the configuration service
	maxNames          = 1024
	maxKeys           = 1024
	maxAttempts       = 16
	maxPriority       = 99
	maxWeight         = 1_000_000
	maxSplitServices  = 64
)

var decimalPattern = regexp.MustCompile(`^[0-9]{1,12}(\.[0-9]{1,6})?$`)

// HomeID returns the 32-bit hash (FNV-1a) that identifies a home in heartbeats.
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

func routeFields(rt *Route) map[string]fieldReader {
	return map[string]fieldReader{
		"host": func(r *reader, s setting) { rt.Host = r.host(s) },
		"path": func(r *reader, s setting) { rt.Path = r.path(s) },
		"service": func(r *reader, s setting) {
			rt.Service, _ = r.text(s)
			if !labelPattern.MatchString(rt.Service) {
				r.failAt(s.origin, "bad service name %q", rt.Service)
			}
		},
		"open":       func(r *reader, s setting) { rt.AuthExempt = r.boolean(s) },
		"idempotent": func(r *reader, s setting) { rt.Idempotent = r.boolean(s) },
		"deadline":   func(r *reader, s setting) { rt.Deadline = r.duration(s) },
		"retries":    func(r *reader, s setting) { rt.RetryRatio = r.ratio(s, 1) },
		"hedge":      func(r *reader, s setting) { rt.HedgeRatio = r.ratio(s, maxHedgeRatio) },
		"local":      func(r *reader, s setting) { rt.LocalRatio = r.ratio(s, maxLocalRatio) },
		"probe":      func(r *reader, s setting) { rt.ProbeRatio = r.ratio(s, maxProbeRatio) },
		"bulk":       func(r *reader, s setting) { rt.Bulk = r.boolean(s) },
		"split":      func(r *reader, s setting) { rt.Split = r.split(s) },
		"aim":        func(r *reader, s setting) { rt.LatencyObjective = r.duration(s) },
		"attempts":   func(r *reader, s setting) { rt.Attempts = r.count(s, maxAttempts) },
		"rank":       func(r *reader, s setting) { rt.Priority = r.priority(s) },
		"slots":      func(r *reader, s setting) { rt.Slots = r.count(s, maxSlots) },
		"conns":      func(r *reader, s setting) { rt.Conns = r.count(s, maxConns) },
	}
}

func accountFields(a *Account) map[string]fieldReader {
	return map[string]fieldReader{
		"rate":   func(r *reader, s setting) { a.Rate = r.rate(s) },
		"burst":  func(r *reader, s setting) { a.Burst = float64(r.count(s, maxBurst)) },
		"rank":   func(r *reader, s setting) { a.Priority = r.priority(s) },
		"keys":   func(r *reader, s setting) { a.Keys = r.keyDigests(s) },
		"routes": func(r *reader, s setting) { a.Routes = r.names(s, namePattern, maxNames) },
	}
}

// number parses a plain decimal; signs, exponents and other bases are rejected.
func (r *reader) number(s setting, text string) (float64, bool) {
	if !decimalPattern.MatchString(text) {
		r.failAt(s.origin, "%q is not a plain decimal number", text)
		return 0, false
	}
	n, err := strconv.ParseFloat(text, 64)
	return n, err == nil
}

func (r *reader) numberWithUnit(s setting, unit, example string) (float64, bool) {
	text, ok := r.text(s)
	if !ok {
		return 0, false
	}
	n, ok := strings.CutSuffix(text, unit)
	if !ok {
		r.failAt(s.origin, "missing unit in %q, for example %s", text, example)
		return 0, false
	}
	return r.number(s, n)
}

func (r *reader) rate(s setting) float64 {
	n, ok := r.numberWithUnit(s, "/s", "50/s")
	if ok && (n <= 0 || n > maxRate) {
		r.failAt(s.origin, "rate out of range: more than 0/s, at most %d/s", maxRate)
	}
	return n
}

func (r *reader) ratio(s setting, most float64) float64 {
	n, ok := r.numberWithUnit(s, "%", "10%")
	if ok && n > most*100 {
		r.failAt(s.origin, "share out of range: 0%% to %g%%", most*100)
	}
	return n / 100
}

func (r *reader) duration(s setting) time.Duration {
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
		r.failAt(s.origin, "missing unit in %q, for example 2s or 50ms", text)
		return 0
	}
	n, ok := r.number(s, number)
	if !ok {
		return 0
	}
	if n *= float64(scale); n < float64(time.Millisecond) || n > float64(maxDeadline) {
		r.failAt(s.origin, "duration out of range: 1ms to %s", maxDeadline)
		return 0
	}
	return time.Duration(math.Round(n))
}

func (r *reader) count(s setting, most int) int {
	text, ok := r.text(s)
	if !ok {
		return 0
	}
	return r.integer(s, text, 1, most)
}

func (r *reader) priority(s setting) int {
	text, ok := r.text(s)
	if !ok {
		return 0
	}
	return r.integer(s, text, 0, maxPriority)
}

func (r *reader) integer(s setting, text string, least, most int) int {
	n, ok := r.number(s, text)
	if !ok {
		return 0
	}
	if n != math.Trunc(n) || n < float64(least) || n > float64(most) {
		r.failAt(s.origin, "number out of range: a whole number, %d to %d", least, most)
		return 0
	}
	return int(n)
}

// split parses a list of services with their weights, such as ["history 90", "archive 10"].
func (r *reader) split(s setting) []WeightedService {
	list := r.list(s)
	if len(list) > maxSplitServices {
		r.failAt(s.origin, "%d services, at most %d are allowed", len(list), maxSplitServices)
		return nil
	}
	var services []string
	var weights []*big.Rat
	seen := map[string]bool{}
	for _, text := range list {
		service, weight, ok := strings.Cut(text, " ")
		switch {
		case !ok || !labelPattern.MatchString(service):
			r.failAt(s.origin, "bad share %q: a service and its weight are required, such as \"history 90\"", text)
			continue
		case seen[service]:
			r.failAt(s.origin, "duplicate service %q", service)
		}
		seen[service] = true
		services, weights = append(services, service), append(weights, r.weight(s, weight))
	}
	return NewWeightedServices(services, weights)
}

func (r *reader) weight(s setting, text string) *big.Rat {
	weight := new(big.Rat)
	if n, ok := r.number(s, text); ok && (n <= 0 || n > maxWeight) {
		r.failAt(s.origin, "weight out of range: more than 0, at most %d", maxWeight)
	} else if ok {
		weight.SetString(text)
	}
	return weight
}

func (r *reader) boolean(s setting) bool {
	text, _ := r.text(s)
	if text != "true" && text != "false" {
		r.failAt(s.origin, "true or false is required")
	}
	return text == "true"
}

func (r *reader) host(s setting) string {
	text, ok := r.text(s)
	if !ok {
		return ""
	}
	valid := len(text) <= 253
	for _, l := range strings.Split(text, ".") {
		valid = valid && labelPattern.MatchString(l)
	}
	if !valid {
		r.failAt(s.origin, "bad host %q: lower-case labels with dots and no port are required", text)
	}
	return text
}

// path accepts only the canonical form, since package caller normalizes request paths to it before they are matched.
func (r *reader) path(s setting) string {
	text, ok := r.text(s)
	if !ok || text == "/" {
		return text
	}
	rest, valid := strings.CutPrefix(text, "/")
	for _, p := range strings.Split(rest, "/") {
		valid = valid && segmentPattern.MatchString(p) && p != "." && p != ".."
	}
	if !valid || len(text) > 1024 {
		r.failAt(s.origin, "bad path %q: it starts with / and has no empty, dot or encoded segment", text)
	}
	return text
}

func (r *reader) keyDigests(s setting) []Digest {
	list := r.list(s)
	if len(list) > maxKeys {
		r.failAt(s.origin, "%d keys, at most %d are allowed", len(list), maxKeys)
		return nil
	}
	var out []Digest
	for _, text := range list {
		digits, ok := strings.CutPrefix(text, "sha256:")
		if !ok {
			r.failAt(s.origin, "a key digest starts with sha256:")
			continue
		}
		d, ok := parseDigest(digits)
		if !ok {
			r.failAt(s.origin, "bad key digest: 64 lower-case hexadecimal digits are required")
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
