// Package deployment describes the deployments that the measuring program runs, and generates their configuration.
package deployment

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"verbenapin.dev/measure/upstream"
	"verbenapin.dev/node/config"
)

// Domains are the failure domains of all deployments.
var Domains = []string{"a", "b", "c"}

// Service is a group of identical targets.
type Service struct {
	Name        string
	Targets     int
	Slots       int
	ServiceTime time.Duration // mean service time
}

// DefaultDeadline is the deadline of routes without their own.
const DefaultDeadline = 2 * time.Second

// Route is a route of the configuration.
type Route struct {
	Name       string
	Path       string
	Service    string
	Idempotent bool
	AuthExempt bool // requests need no key
	Deadline   time.Duration
	Slots      int
	HedgeRatio float64 // largest fraction of requests that are hedged
}

// Account is a client account; the configuration has only the digests of its keys.
type Account struct {
	Name   string
	Keys   []string
	Rate   float64 // requests per second
	Burst  float64
	Routes []string
}

// Deployment is an immutable description of a deployment: its services, routes, accounts and homes.
type Deployment struct {
	Name      string
	Host      string
	services  []Service
	routes    []Route
	accounts  map[string]Account
	evacuated []string
	homes     []string
}

// Abitudini returns the deployment of the streak-keeping service.
func Abitudini() Deployment {
	d := Deployment{
		Name: "abitudini", Host: "streaks.example", homes: []string{"a1", "b1", "c1"},
		services: []Service{
			{Name: "history", Targets: 7, Slots: 12, ServiceTime: 5 * time.Millisecond},
			{Name: "checkins", Targets: 5, Slots: 12, ServiceTime: 5 * time.Millisecond},
			{Name: "exports", Targets: 3, Slots: 12, ServiceTime: 8 * time.Millisecond},
		},
		routes: []Route{
			{Name: "history", Path: "/history", Service: "history", Idempotent: true, Slots: 12, HedgeRatio: 0.05},
			{Name: "checkins", Path: "/checkins", Service: "checkins", Slots: 12},
			{Name: "settings", Path: "/settings", Service: "checkins", Idempotent: true, Slots: 12},
			{Name: "exports", Path: "/exports", Service: "exports", Idempotent: true, Slots: 12, Deadline: 30 * time.Second},
			{Name: "schedules", Path: "/schedules", Service: "exports", Idempotent: true, Slots: 12},
		},
	}
	public := []string{"history", "checkins", "exports"}
	for _, name := range []string{"lombardia", "piemonte", "veneto", "lazio", "puglia", "sicilia"} {
		d = d.WithAccount(newAccount(name, 100, 100, public))
	}
	return d.WithAccount(newAccount("lombardia", 600, 400, public)).WithAccount(newAccount("lazio", 400, 300, public)).
		WithAccount(newAccount("profile", 200, 200, []string{"settings"})).
		WithAccount(newAccount("reminders", 200, 200, []string{"schedules"}))
}

// ChueDee returns the deployment of the name consultancy.
func ChueDee() Deployment {
	d := Deployment{
		Name: "chuedee", Host: "names.example", homes: []string{"a1", "b1", "c1"},
		services: []Service{
			{Name: "shortlists", Targets: 7, Slots: 9, ServiceTime: 8 * time.Millisecond},
			{Name: "reservations", Targets: 4, Slots: 9, ServiceTime: 8 * time.Millisecond},
			{Name: "dossiers", Targets: 3, Slots: 9, ServiceTime: 12 * time.Millisecond},
		},
		routes: []Route{
			{Name: "shortlists", Path: "/shortlists", Service: "shortlists", Idempotent: true, Slots: 9},
			{Name: "reservations", Path: "/reservations", Service: "reservations", Slots: 9},
			{Name: "dossiers", Path: "/dossiers", Service: "dossiers", Idempotent: true, Slots: 9, Deadline: 30 * time.Second},
			{Name: "conflicts", Path: "/conflicts", Service: "dossiers", Idempotent: true, Slots: 9},
		},
	}
	public := []string{"shortlists", "reservations", "dossiers"}
	for _, name := range []string{"bangkok", "chiangmai", "phuket", "khonkaen", "hatyai", "udon"} {
		d = d.WithAccount(newAccount(name, 60, 60, public))
	}
	return d.WithAccount(newAccount("bangkok", 300, 200, public)).WithAccount(newAccount("chiangmai", 200, 150, public)).
		WithAccount(newAccount("checker", 150, 150, []string{"conflicts"})).
		WithAccount(newAccount("trademarks", 100, 100, []string{"conflicts"}))
}

// NewKey returns the n-th key of an account; its prefix makes a leaked key recognizable.
func NewKey(account string, n int) string {
	return fmt.Sprintf("%s%s-%d", upstream.KeyPrefix, account, n)
}

// NewAccount returns an account with one key.
func NewAccount(name string, rate, burst float64, routes ...string) Account {
	return newAccount(name, rate, burst, routes)
}

func newAccount(name string, rate, burst float64, routes []string) Account {
	return Account{Name: name, Keys: []string{NewKey(name, 1)}, Rate: rate, Burst: burst, Routes: routes}
}

// Services returns all services.
func (d Deployment) Services() []Service { return d.services }

// Homes returns the names of the homes.
func (d Deployment) Homes() []string { return d.homes }

// Routes returns all routes.
func (d Deployment) Routes() []Route { return d.routes }

// DeadlineOf returns the deadline of the route with the longest path that begins the given one.
func (d Deployment) DeadlineOf(path string) time.Duration {
	longest, deadline := "", DefaultDeadline
	for _, r := range d.routes {
		if strings.HasPrefix(path, r.Path) && len(r.Path) > len(longest) {
			longest, deadline = r.Path, cmp.Or(r.Deadline, DefaultDeadline)
		}
	}
	return deadline
}

// Account returns the account with the given name.
func (d Deployment) Account(name string) Account { return d.accounts[name] }

// Accounts returns all accounts, sorted by name.
func (d Deployment) Accounts() []Account {
	var list []Account
	for _, name := range slices.Sorted(maps.Keys(d.accounts)) {
		list = append(list, d.accounts[name])
	}
	return list
}

// WithAccount returns d with an account added or replaced.
func (d Deployment) WithAccount(a Account) Deployment {
	d.accounts = maps.Clone(d.accounts)
	if d.accounts == nil {
		d.accounts = map[string]Account{}
	}
	d.accounts[a.Name] = a
	return d
}

// WithKeys returns d with the keys of an account replaced.
func (d Deployment) WithKeys(account string, keys ...string) Deployment {
	a := d.accounts[account]
	a.Keys = keys
	return d.WithAccount(a)
}

// WithEvacuated returns d with the given failure domains evacuated, in place of earlier ones.
func (d Deployment) WithEvacuated(domains ...string) Deployment {
	d.evacuated = domains
	return d
}

// WithHomes returns d with its homes replaced.
func (d Deployment) WithHomes(names ...string) Deployment {
	d.homes = names
	return d
}

// WithTargets returns d with only the given services, or all if none is given, and n targets for each of them.
func (d Deployment) WithTargets(n int, services ...string) Deployment {
	var list []Service
	for _, s := range d.services {
		if len(services) == 0 || slices.Contains(services, s.Name) {
			s.Targets = n
			list = append(list, s)
		}
	}
	d.services = list
	return d
}

// WithServiceTargets returns d with n targets for the given service.
func (d Deployment) WithServiceTargets(service string, n int) Deployment {
	d.services = slices.Clone(d.services)
	for i := range d.services {
		if d.services[i].Name == service {
			d.services[i].Targets = n
		}
	}
	return d
}

// WithTotalTargets returns d with n instances in total, spread evenly over its services.
func (d Deployment) WithTotalTargets(n int) Deployment {
	d.services = slices.Clone(d.services)
	for i := range d.services {
		d.services[i].Targets = (n + i) / len(d.services)
	}
	return d
}

// WithFirstHomes returns d with the first n instances as homes, spread evenly over the failure domains.
func (d Deployment) WithFirstHomes(n int) Deployment {
	d.homes = nil
	for i := range n {
		d.homes = append(d.homes, fmt.Sprintf("%s%d", Domains[i%len(Domains)], i/len(Domains)+1))
	}
	return d
}

// WithMoreAccounts returns d with n accounts added that are authorized for the same routes as the template account.
func (d Deployment) WithMoreAccounts(n int, template string) Deployment {
	routes := d.accounts[template].Routes
	d.accounts = maps.Clone(d.accounts)
	for i := range n {
		a := newAccount(fmt.Sprintf("account%d", i), 100, 100, routes)
		d.accounts[a.Name] = a
	}
	return d
}

// YAML returns the configuration as a YAML file.
func (d Deployment) YAML() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "fleet:\n  homes: [%s]\n  retired: []\n  out: [%s]\n", strings.Join(d.homes, ", "), strings.Join(d.evacuated, ", "))
	fmt.Fprintf(&b, "routes:\n  base: {deadline: %s, retries: 10%%, hedge: 0%%, probe: 0.5%%, slots: 12}\n", DefaultDeadline)
	for _, r := range d.routes {
		fmt.Fprintf(&b, "  %s: {parent: base, host: %s, path: %s, service: %s, slots: %d", r.Name, d.Host, r.Path, r.Service, r.Slots)
		if r.Idempotent {
			b.WriteString(", idempotent: true")
		}
		if r.HedgeRatio > 0 {
			fmt.Fprintf(&b, ", hedge: %g%%", 100*r.HedgeRatio)
		}
		if r.AuthExempt {
			b.WriteString(", open: true")
		}
		if r.Deadline > 0 {
			fmt.Fprintf(&b, ", deadline: %s", r.Deadline)
		}
		b.WriteString("}\n")
	}
	b.WriteString("accounts:\n  base: {rate: 50/s, burst: 100, routes: []}\n")
	for _, a := range d.Accounts() {
		var keys []string
		for _, k := range a.Keys {
			sum := sha256.Sum256([]byte(k))
			keys = append(keys, fmt.Sprintf("%q", "sha256:"+hex.EncodeToString(sum[:])))
		}
		fmt.Fprintf(&b, "  %s: {parent: base, rate: %g/s, burst: %g, routes: [%s], keys: [%s]}\n",
			a.Name, a.Rate, a.Burst, strings.Join(a.Routes, ", "), strings.Join(keys, ", "))
	}
	return []byte(b.String())
}

// Pack validates the configuration and returns the manifest of a version, and its parts by the names of their values at the
// configuration service.
func (d Deployment) Pack(version int64) ([]byte, map[string][]byte, error) {
	m, parts, err := config.Pack(version, []config.File{{Name: d.Name + ".yaml", Data: d.YAML()}})
	if err != nil {
		return nil, nil, fmt.Errorf("deployment: packing %s: %w", d.Name, err)
	}
	values := make(map[string][]byte, len(parts))
	for digest, data := range parts {
		values["part-"+digest.String()] = data
	}
	return m.Bytes(), values, nil
}
