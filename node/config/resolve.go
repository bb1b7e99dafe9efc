package config

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// SyntaxError reports bytes that are no YAML.
type SyntaxError struct {
	Line   int
	Reason string
}

func (e SyntaxError) Error() string { return fmt.Sprintf("config: line %d: %s", e.Line, e.Reason) }

var (
	word  = regexp.MustCompile(`^[a-z][a-z0-9]{0,31}$`)
	label = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	// segment leaves out dots-only segments, which the caller slice rejects in requests.
	segment = regexp.MustCompile(`^[A-Za-z0-9._~!$&'()*+,;=:@-]+$`)
)

func isWord(s string) bool { return word.MatchString(s) }

func syntax(err error) (int, string) {
	var own SyntaxError
	if errors.As(err, &own) {
		return own.Line, own.Reason
	}
	var e yaml.Error
	if errors.As(err, &e) {
		return lineOfToken(e.GetToken()), e.GetMessage()
	}
	return 0, "not readable as YAML"
}

// field reads one value into the route or account that the field was made for.
type field func(r *reading, s setting)

func (r *reading) resolve(version int64) Tree {
	fleet := r.resolveFleet()
	origins := map[originKey]Origin{}
	var routes []Route
	known := map[string]bool{}
	paths := map[string]Route{}
	for _, name := range slices.Sorted(maps.Keys(r.sections[KindRoutes])) {
		rt := Route{Name: name, Deadline: defaultDeadline, RetryRatio: defaultRetries, ProbeRatio: defaultProbe, Slots: 1, Conns: defaultConns}
		fields := r.inherit(KindRoutes, name)
		r.apply(KindRoutes, name, fields, routeFields(&rt), origins)
		if rt.Host == "" {
			continue
		}
		at := r.sections[KindRoutes][name].at
		if rt.Path == "" || (rt.Service == "" && len(rt.Split) == 0) {
			// A parent may hold only what its children share.
			if !r.isParent(KindRoutes, name) {
				r.failAt(at, "route %q has a host but no path or no service", name)
			}
			continue
		}
		if rt.Service != "" && len(rt.Split) > 0 {
			r.failAt(at, "route %q has a service and a split; only one of them is allowed", name)
		}
		if old, ok := paths[rt.Host+rt.Path]; ok {
			r.failAt(at, "routes %q and %q have the same host and path", old.Name, name)
		}
		paths[rt.Host+rt.Path] = rt
		routes = append(routes, rt)
		known[name] = true
	}
	var accounts []Account
	keys := map[Digest]string{}
	for _, name := range slices.Sorted(maps.Keys(r.sections[KindAccounts])) {
		a := Account{Name: name}
		fields := r.inherit(KindAccounts, name)
		r.apply(KindAccounts, name, fields, accountFields(&a), origins)
		r.checkAccount(name, a, fields, known, keys)
		if _, ok := fields["rate"]; ok {
			accounts = append(accounts, a)
		}
	}
	if len(r.problems) > 0 {
		return Tree{}
	}
	t := NewTree(version, fleet, routes, accounts)
	t.origins = origins
	return t
}

// isParent tells whether another entry inherits from the named one.
func (r *reading) isParent(kind EntryKind, name string) bool {
	for _, e := range r.sections[kind] {
		if e.parent.shape == absent {
			continue
		}
		if e.parent.shape == plainValue && e.parent.text == name {
			return true
		}
	}
	return false
}

func (r *reading) checkAccount(name string, a Account, fields map[string]setting, known map[string]bool, keys map[Digest]string) {
	own := r.sections[KindAccounts][name]
	_, concrete := fields["rate"]
	if _, ok := fields["burst"]; concrete && !ok {
		r.failAt(own.at, "account %q has a rate but no burst", name)
	}
	if s, ok := own.fields["keys"]; ok && !concrete {
		r.failAt(s.from, "account %q has keys but no rate", name)
	}
	if s, ok := own.fields["routes"]; ok {
		for _, n := range a.Routes {
			if !known[n] {
				r.failAt(s.from, "unknown route %q", n)
			}
		}
	}
	if s, ok := fields["keys"]; ok && s.from.Name != name {
		r.failAt(s.from, "keys are inherited by %q; a key belongs to one account", name)
		return
	}
	for _, d := range a.Keys {
		if old, ok := keys[d]; ok {
			r.failAt(own.fields["keys"].from, "duplicate key digest, also of account %q", old)
		}
		keys[d] = name
	}
}

func (r *reading) apply(kind EntryKind, name string, fields map[string]setting, known map[string]field, origins map[originKey]Origin) {
	for _, n := range slices.Sorted(maps.Keys(fields)) {
		s := fields[n]
		read, ok := known[n]
		if !ok {
			// Reported once, at the entry that sets it.
			if s.from.Name == name {
				r.failAt(s.from, "unknown name %q", n)
			}
			continue
		}
		before := len(r.problems)
		read(r, s)
		if s.from.Name != name {
			r.problems = r.problems[:before]
		}
		origins[originKey{kind, name, n}] = s.from
	}
}

// inherit returns the settings of an entry with those of its parents.
func (r *reading) inherit(kind EntryKind, name string) map[string]setting {
	all := map[string]setting{}
	e := r.sections[kind][name]
	seen := map[string]bool{name: true}
	for depth := 0; ; depth++ {
		for n, s := range e.fields {
			if _, ok := all[n]; !ok {
				all[n] = s
			}
		}
		if e.parent.shape == absent {
			return all
		}
		at := e.parent.from
		parent, ok := r.text(e.parent)
		next, known := r.sections[kind][parent]
		switch {
		case !ok:
			return all
		case !known:
			if e.name == name {
				r.failAt(at, "unknown parent %q", parent)
			}
			return all
		case seen[parent]:
			if parent == name {
				r.failAt(at, "cycle of parents through %q", name)
			}
			return all
		case depth == maxDepth:
			r.failAt(at, "more than %d parents", maxDepth)
			return all
		}
		seen[parent] = true
		e = next
	}
}

func (r *reading) resolveFleet() Fleet {
	var f Fleet
	for _, name := range slices.Sorted(maps.Keys(r.fleet)) {
		s := r.fleet[name]
		switch name {
		case "homes":
			f.Homes = r.names(s, label, maxHomes)
		case "retired":
			f.Retired = r.names(s, label, maxNames)
		case "out":
			f.EvacuatedDomains = r.names(s, label, maxNames)
		default:
			r.failAt(s.from, "unknown name %q", name)
		}
	}
	ids := map[uint32]string{}
	for _, h := range f.Homes {
		if old, ok := ids[HomeID(h)]; ok {
			r.failAt(r.fleet["homes"].from, "homes %q and %q have the same short digest; rename one", old, h)
		}
		ids[HomeID(h)] = h
	}
	for _, h := range f.Retired {
		if !slices.Contains(f.Homes, h) {
			r.failAt(r.fleet["retired"].from, "retired %q is not one of the homes", h)
		}
	}
	if len(f.Homes) > 0 && len(f.Active()) == 0 {
		r.failAt(r.fleet["retired"].from, "all homes are retired")
	}
	if len(f.Homes) == 0 {
		if s, ok := r.fleet["homes"]; ok {
			r.failAt(s.from, "homes are empty")
		}
	}
	return f
}

func (r *reading) names(s setting, shape *regexp.Regexp, most int) []string {
	list := r.list(s)
	if len(list) > most {
		r.failAt(s.from, "%d names, at most %d are allowed", len(list), most)
	}
	seen := map[string]bool{}
	for _, n := range list {
		if !shape.MatchString(n) {
			r.failAt(s.from, "bad name %q", n)
		}
		if seen[n] {
			r.failAt(s.from, "duplicate name %q", n)
		}
		seen[n] = true
	}
	return list
}

func (r *reading) list(s setting) []string {
	if s.shape != listValue {
		r.failAt(s.from, "a list is required")
		return nil
	}
	var out []string
	for _, i := range s.items {
		if i.bad {
			r.fail(s.from.File, i.line, "a plain value is required")
			continue
		}
		out = append(out, i.text)
	}
	return out
}

func (r *reading) text(s setting) (string, bool) {
	if s.shape != plainValue {
		r.failAt(s.from, "a plain value is required")
		return "", false
	}
	return s.text, true
}

// scalar returns the text of a value as written; anchors, aliases and tags are refused.
func scalar(n ast.Node) (string, bool) {
	switch v := n.(type) {
	case *ast.StringNode:
		return v.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return strings.TrimSpace(n.GetToken().Value), true
	default:
		return "", false
	}
}
