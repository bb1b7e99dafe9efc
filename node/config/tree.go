// Package config holds the configuration: its tree, its versions, and their way from the configuration service to every node.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"
	"time"
)

// Digest is the SHA-256 digest of a key; keys themselves are never stored.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// Fleet holds the settings of the fleet as a whole.
type Fleet struct {
	Homes            []string     // instances that hold account shares and read the configuration service
	Retired          []string     // homes that the platform has terminated permanently
	EvacuatedDomains []string     // failure domains taken out
	CallerLimits     CallerLimits // what a caller may send
}

// CallerLimits bounds what a caller may send; zero values leave the defaults of the listener in force.
type CallerLimits struct {
	MaxHeadBytes int           // bytes of a request head
	MaxBodyBytes int64         // bytes of a request body
	HeadTimeout  time.Duration // until a request head is complete
	IdleTimeout  time.Duration // between requests of a connection
}

// WeightedService is the part of a route's requests that goes to one service.
type WeightedService struct {
	Service string
	Weight  int // relative to the weights of the other shares
}

// Route tells which requests go to a service and how.
type Route struct {
	Name             string
	Host             string
	Path             string // a path that ends with a slash matches only what begins with it, others match whole segments
	Service          string
	Split            []WeightedService // services that share the requests, in place of Service
	AuthExempt       bool
	Idempotent       bool
	Bulk             bool // responses are large
	Deadline         time.Duration
	LatencyObjective time.Duration // response time that the operators aim at, zero if none is stated
	Attempts         int           // targets to which one request may be sent, zero for the default
	Priority         int           // urgency, 0 is served first
	RetryRatio       float64       // share of calls
	HedgeRatio       float64       // share of calls
	ProbeRatio       float64       // share of a target's time
	Slots            int           // concurrent requests of a warm target
	Conns            int           // connections to a target
}

// WithService returns the route with all requests going to one service.
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
	Priority  int     // urgency, 0 is served first; it precedes the rank of the route
	Keys      []Digest
	Routes    []string
	AllRoutes bool // the account may use all routes
}

// Allows tells whether the account may use the route.
func (a Account) Allows(route string) bool {
	return a.AllRoutes || slices.Contains(a.Routes, route)
}

// Limited tells whether the account has a rate.
func (a Account) Limited() bool { return a.Rate > 0 }

// Service is what operators state about the targets of a service.
type Service struct {
	Name      string
	ProbePath string        // path of the health endpoint
	Conns     int           // connections that a target accepts from all callers together, zero if unknown
	WarmUp    time.Duration // how long a target stays cold after its start
	ColdRate  float64       // requests per second that a cold target bears, zero if unknown
}

// Tree is one version of the configuration with all inheritance resolved; it never changes.
type Tree struct {
	version  int64
	fleet    Fleet
	routes   []Route             // in the order of their names
	hosts    map[string][]*Route // of each host, the longest path first
	accounts []Account           // in the order of their names
	services map[string]Service
	keys     []keyEntry
	origins  map[originKey]Origin
}

type keyEntry struct {
	digest  Digest
	account string
}

// NewTree returns a tree of routes and accounts; names and keys must be unique.
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

// WithHomes returns the tree with the instances that hold account shares.
func (t Tree) WithHomes(homes []string) Tree {
	t.fleet.Homes, t.fleet.Retired = homes, nil
	return t
}

// WithServices returns the tree with what operators state about services.
func (t Tree) WithServices(services []Service) Tree {
	t.services = make(map[string]Service, len(services))
	for _, s := range services {
		t.services[s.Name] = s
	}
	return t
}

// Service returns what is stated about a service; an unknown one has no statements.
func (t Tree) Service(name string) Service { return t.services[name] }

// HasService tells whether a service is known: one that is stated, or any if the tree states none.
func (t Tree) HasService(name string) bool {
	_, ok := t.services[name]
	return ok || len(t.services) == 0
}

// Version returns the number of the version.
func (t Tree) Version() int64 { return t.version }

// Fleet returns the settings of the fleet as a whole.
func (t Tree) Fleet() Fleet { return t.fleet }

// IsEvacuated tells whether a failure domain is taken out.
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

// Routes returns all routes in the order of their names; the caller must not change the slice.
func (t Tree) Routes() []Route { return t.routes }

// Accounts returns all accounts in the order of their names; the caller must not change the slice.
func (t Tree) Accounts() []Account { return t.accounts }

// Match returns the route with the longest matching path under the host.
func (t Tree) Match(host, path string) (Route, bool) {
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

// Authenticate returns the account of a key digest.
// Digests are uniformly distributed, so the search by prefix reveals nothing about a key; the match itself takes constant time.
func (t Tree) Authenticate(d Digest) (Account, bool) {
	i, _ := slices.BinarySearchFunc(t.keys, d, func(e keyEntry, d Digest) int { return slices.Compare(e.digest[:], d[:]) })
	if i == len(t.keys) || subtle.ConstantTimeCompare(t.keys[i].digest[:], d[:]) != 1 {
		return Account{}, false
	}
	return t.Account(t.keys[i].account)
}
