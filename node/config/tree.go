// Package config parses the configuration, tracks its versions, and propagates them from the configuration service to every node.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"
	"time"
)

// Digest is the SHA-256 digest of an account key, a manifest or a part; keys themselves are never stored.
type Digest [sha256.Size]byte

// KeyDigest returns the digest of a key.
func KeyDigest(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// Fleet holds the fleet-wide settings.
type Fleet struct {
	Homes            []string     // instances that hold account shares and read the configuration service
	Retired          []string     // homes that the platform has terminated permanently
	EvacuatedDomains []string     // failure domains that operators took out
	CallerLimits     CallerLimits // limits of callers' requests and connections
	Nested           bool         // calls of running requests have the rank of their parents
	CallAdmission    bool         // with Nested: requests are refused where the calls of their runs would wait too long
	Returns          bool         // refused callers get a time at which there is capacity for them
	HedgeRatio       float64      // runs of a service that may be hedges, as a ratio of its requests; zero for none
}

// CallerLimits limits the requests and connections of callers; a zero value leaves the default of the listener.
type CallerLimits struct {
	MaxHeadBytes int           // size of a request head
	MaxBodyBytes int64         // size of a request body
	HeadTimeout  time.Duration // time to receive a complete request head
	IdleTimeout  time.Duration // time between two requests of a connection
}

// Route selects requests by host and path and sets how they are forwarded.
type Route struct {
	Name             string
	Host             string
	Path             string // a prefix; with a final slash it matches every path that begins with it, otherwise only at segment boundaries
	Service          string
	Split            []WeightedService // services that share the requests, in place of Service
	AuthExempt       bool
	Idempotent       bool
	Bulk             bool // requests or responses are large
	Deadline         time.Duration
	LatencyObjective time.Duration // target for the response time, zero for none
	Attempts         int           // most targets that one request may be sent to, zero for the default
	Priority         int           // 0 is served first
	RetryRatio       float64       // retries per call
	HedgeRatio       float64       // hedged attempts per call
	LocalRatio       float64       // additional time, as a ratio of LatencyObjective, that a request takes to stay in its failure domain
	ProbeRatio       float64       // fraction of a target's time spent on probes
	Slots            int           // concurrent requests that a warm target serves
	Conns            int           // connections to a target
	Fault            string        // why requests of the route are refused, empty if it can be used
}

// WithFault returns the route with a reason for which its requests are refused.
func (r Route) WithFault(reason string) Route {
	r.Fault = reason
	return r
}

// WithService returns the route with service in place of its service or split.
func (r Route) WithService(service string) Route {
	r.Service, r.Split = service, nil
	return r
}

// Services returns the services that requests of the route may go to.
func (r Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	services := make([]string, 0, len(r.Split))
	for _, p := range r.Split {
		services = append(services, p.Service)
	}
	return services
}

// Account is a client account with its fleet-wide limits.
type Account struct {
	Name      string
	Rate      float64 // requests per second, zero for no limit
	Burst     float64 // requests
	Priority  int     // 0 is served first; it takes precedence over the priority of the route
	Keys      []Digest
	Routes    []string
	AllRoutes bool   // the account may use all routes
	Fault     string // why requests of the account are refused, empty if it can be used
}

// Allows reports whether the account may use the route.
func (a Account) Allows(route string) bool {
	return a.AllRoutes || slices.Contains(a.Routes, route)
}

// Limited reports whether the account has a rate limit.
func (a Account) Limited() bool { return a.Rate > 0 }

// Service holds the declared properties of a service's targets.
type Service struct {
	Name      string
	ProbePath string        // path of the health endpoint
	Conns     int           // connections that a target accepts in total, zero if unknown
	WarmUp    time.Duration // how long a target stays cold after its start
	ColdRate  float64       // requests per second that a cold target can serve, zero if unknown
}

// Tree is one version of the configuration with all inheritance resolved; it is immutable.
type Tree struct {
	version  int64
	fleet    Fleet
	routes   []Route             // sorted by name
	hosts    map[string][]*Route // by host, longest path first
	accounts []Account           // sorted by name
	services map[string]Service
	keys     []keyEntry
	origins  map[originKey]Origin
	faults   []string // parts that cannot be read
	// lacksKeys is set if the keys of an account are among the parts that cannot be read.
	lacksKeys bool
}

type keyEntry struct {
	digest  Digest
	account string
}

// NewTree returns a tree of routes and accounts; route names, account names and keys must be unique.
func NewTree(version int64, fleet Fleet, routes []Route, accounts []Account) Tree {
	t := Tree{
		version: version, fleet: fleet, hosts: map[string][]*Route{},
		routes: slices.Clone(routes), accounts: slices.Clone(accounts),
	}
	slices.SortFunc(t.routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(t.accounts, func(a, b Account) int { return strings.Compare(a.Name, b.Name) })
	for i := range t.routes {
		r := &t.routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, rs := range t.hosts {
		slices.SortFunc(rs, func(a, b *Route) int { return len(b.Path) - len(a.Path) })
	}
	for _, a := range t.accounts {
		for _, d := range a.Keys {
			t.keys = append(t.keys, keyEntry{digest: d, account: a.Name})
		}
	}
	slices.SortFunc(t.keys, func(a, b keyEntry) int { return slices.Compare(a.digest[:], b.digest[:]) })
	return t
}

// WithHomes returns the tree with the given homes, none of them retired.
func (t Tree) WithHomes(homes []string) Tree {
	t.fleet.Homes, t.fleet.Retired = homes, nil
	return t
}

// WithServices returns the tree with the given declared services.
func (t Tree) WithServices(services []Service) Tree {
	t.services = make(map[string]Service, len(services))
	for _, s := range services {
		t.services[s.Name] = s
	}
	return t
}

// WithFaults returns the tree with the faults of the parts that cannot be read. If the keys of an account are among them, lacksKeys is set:
// a key that the tree does not hold may then be valid.
func (t Tree) WithFaults(faults []string, lacksKeys bool) Tree {
	t.faults, t.lacksKeys = faults, lacksKeys
	return t
}

// Faults returns the faults of the parts that cannot be read; the caller must not change the slice.
func (t Tree) Faults() []string { return t.faults }

// Service returns the declared properties of a service, the zero value if it is not declared.
func (t Tree) Service(name string) Service { return t.services[name] }

// HasService reports whether a service is declared; a tree without declared services has every service.
func (t Tree) HasService(name string) bool {
	_, ok := t.services[name]
	return ok || len(t.services) == 0
}

// Version returns the number of the version.
func (t Tree) Version() int64 { return t.version }

// Fleet returns the fleet-wide settings.
func (t Tree) Fleet() Fleet { return t.fleet }

// IsEvacuated reports whether a failure domain is taken out.
func (t Tree) IsEvacuated(domain string) bool {
	return slices.Contains(t.fleet.EvacuatedDomains, domain)
}

// Route returns the route with the given name.
func (t Tree) Route(name string) (Route, bool) {
	i, ok := slices.BinarySearchFunc(t.routes, name, func(r Route, name string) int { return strings.Compare(r.Name, name) })
	if !ok {
		return Route{}, false
	}
	return t.routes[i], true
}

// Account returns the account with the given name.
func (t Tree) Account(name string) (Account, bool) {
	i, ok := slices.BinarySearchFunc(t.accounts, name, func(a Account, name string) int { return strings.Compare(a.Name, name) })
	if !ok {
		return Account{}, false
	}
	return t.accounts[i], true
}

// Routes returns all routes sorted by name; the caller must not change the slice.
func (t Tree) Routes() []Route { return t.routes }

// Accounts returns all accounts sorted by name; the caller must not change the slice.
func (t Tree) Accounts() []Account { return t.accounts }

// MatchRoute returns the route of the host with the longest path that matches.
func (t Tree) MatchRoute(host, path string) (Route, bool) {
	for _, r := range t.hosts[host] {
		if hasPrefix(path, r.Path) {
			return *r, true
		}
	}
	return Route{}, false
}

func hasPrefix(path, prefix string) bool {
	if strings.HasSuffix(prefix, "/") {
		return strings.HasPrefix(path, prefix)
	}
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// Authenticate returns the account that a key digest belongs to.
// Digests are uniformly distributed, so the timing of the binary search reveals nothing about a key; the final comparison takes constant time.
func (t Tree) Authenticate(d Digest) (Account, bool) {
	i, _ := slices.BinarySearchFunc(t.keys, d, func(e keyEntry, d Digest) int { return slices.Compare(e.digest[:], d[:]) })
	if i == len(t.keys) || subtle.ConstantTimeCompare(t.keys[i].digest[:], d[:]) != 1 {
		return Account{}, false
	}
	return t.Account(t.keys[i].account)
}
