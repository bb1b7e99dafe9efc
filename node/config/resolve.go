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

// SyntaxError reports invalid YAML, or YAML features that the format does not allow.
type SyntaxError struct {
	Line   int
	Reason string
}

func (e SyntaxError) Error() string { return fmt.Sprintf("config: line %d: %s", e.Line, e.Reason) }

var (
	namePattern  = regexp.MustCompile(`^[a-z][a-z0-9]{0,31}$`)
	labelPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	// segmentPattern lists the characters of a path segment; path also rejects the segments "." and "..".
	segmentPattern = regexp.MustCompile(`^[A-Za-z0-9._~!$&'()*+,;=:@-]+$`)
)

func isValidName(s string) bool { return namePattern.MatchString(s) }

func syntaxProblem(err error) (int, string) {
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

// fieldReader parses one value and stores it in the route or account that it was created for.
type fieldReader func(r *reader, s setting)

func (r *reader) resolve(version int64) Tree {
	fleet := r.resolveFleet()
	origins := map[originKey]Origin{}
	var routes []Route
	routeNames := map[string]bool{}
	paths := map[string]Route{}
	for _, name := range slices.Sorted(maps.Keys(r.sections[KindRoutes])) {
		rt := Route{Name: name, Deadline: defaultDeadline, RetryRatio: defaultRetryRatio, ProbeRatio: defaultProbeRatio, Slots: 1, Conns: defaultConns}
		fields := r.inherit(KindRoutes, name)
		r.apply(KindRoutes, name, fields, routeFields(&rt), origins)
		if _, own := fields["hedge"]; !own && rt.Idempotent {
			rt.HedgeRatio = fleet.HedgeRatio
		}
		if rt.Host == "" {
			continue
		}
		at := r.sections[KindRoutes][name].origin
		if rt.Path == "" || (rt.Service == "" && len(rt.Split) == 0) {
			// A parent may be incomplete: it holds only what its children share.
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
		routeNames[name] = true
	}
	var accounts []Account
	keys := map[Digest]string{}
	for _, name := range slices.Sorted(maps.Keys(r.sections[KindAccounts])) {
		a := Account{Name: name}
		fields := r.inherit(KindAccounts, name)
		r.apply(KindAccounts, name, fields, accountFields(&a), origins)
		r.checkAccount(name, a, fields, routeNames, keys)
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

// isParent reports whether an entry names the given one as its parent.
func (r *reader) isParent(kind EntryKind, name string) bool {
	for _, e := range r.sections[kind] {
		if e.parent.kind == absent {
			continue
		}
		if e.parent.kind == plainValue && e.parent.text == name {
			return true
		}
	}
	return false
}

func (r *reader) checkAccount(name string, a Account, fields map[string]setting, routeNames map[string]bool, keys map[Digest]string) {
	own := r.sections[KindAccounts][name]
	_, hasRate := fields["rate"]
	if _, ok := fields["burst"]; hasRate && !ok {
		r.failAt(own.origin, "account %q has a rate but no burst", name)
	}
	if s, ok := own.fields["keys"]; ok && !hasRate {
		r.failAt(s.origin, "account %q has keys but no rate", name)
	}
	if s, ok := own.fields["routes"]; ok {
		for _, n := range a.Routes {
			if !routeNames[n] {
				r.failAt(s.origin, "unknown route %q", n)
			}
		}
	}
	if s, ok := fields["keys"]; ok && s.origin.Name != name {
		r.failAt(s.origin, "keys are inherited by %q; a key belongs to one account", name)
		return
	}
	for _, d := range a.Keys {
		if old, ok := keys[d]; ok {
			r.failAt(own.fields["keys"].origin, "duplicate key digest, also of account %q", old)
		}
		keys[d] = name
	}
}

func (r *reader) apply(kind EntryKind, name string, fields map[string]setting, readers map[string]fieldReader, origins map[originKey]Origin) {
	for _, n := range slices.Sorted(maps.Keys(fields)) {
		s := fields[n]
		read, ok := readers[n]
		if !ok {
			// Reported once, for the entry that sets it and not for those that inherit it.
			if s.origin.Name == name {
				r.failAt(s.origin, "unknown name %q", n)
			}
			continue
		}
		before := len(r.problems)
		read(r, s)
		if s.origin.Name != name { // problems of an inherited value are reported for the entry that sets it
			r.problems = r.problems[:before]
		}
		origins[originKey{kind, name, n}] = s.origin
	}
}

// inherit returns the settings of an entry and those inherited from its parents; the nearest setting wins.
func (r *reader) inherit(kind EntryKind, name string) map[string]setting {
	merged := map[string]setting{}
	e := r.sections[kind][name]
	visited := map[string]bool{name: true}
	for depth := 0; ; depth++ {
		for n, s := range e.fields {
			if _, ok := merged[n]; !ok {
				merged[n] = s
			}
		}
		if e.parent.kind == absent {
			return merged
		}
		at := e.parent.origin
		parent, ok := r.text(e.parent)
		next, known := r.sections[kind][parent]
		switch {
		case !ok:
			return merged
		case !known:
			if e.name == name {
				r.failAt(at, "unknown parent %q", parent)
			}
			return merged
		case visited[parent]:
			if parent == name {
				r.failAt(at, "cycle of parents through %q", name)
			}
			return merged
		case depth == maxParents:
			r.failAt(at, "more than %d parents", maxParents)
			return merged
		}
		visited[parent] = true
		e = next
	}
}

func (r *reader) resolveFleet() Fleet {
	var f Fleet
	for _, name := range slices.Sorted(maps.Keys(r.fleet)) {
		s := r.fleet[name]
		switch name {
		case "homes":
			f.Homes = r.names(s, labelPattern, maxHomes)
		case "retired":
			f.Retired = r.names(s, labelPattern, maxNames)
		case "out":
			f.EvacuatedDomains = r.names(s, labelPattern, maxNames)
		case "nested":
			f.Nested = r.boolean(s)
		case "calls":
			f.CallAdmission = r.boolean(s)
		case "returns":
			f.Returns = r.boolean(s)
		case "hedge":
			f.HedgeRatio = r.ratio(s, maxHedgeRatio)
		default:
			r.failAt(s.origin, "unknown name %q", name)
		}
	}
	ids := map[uint32]string{}
	for _, h := range f.Homes {
		if old, ok := ids[HomeID(h)]; ok {
			r.failAt(r.fleet["homes"].origin, "homes %q and %q have the same short digest; rename one", old, h)
		}
		ids[HomeID(h)] = h
	}
	for _, h := range f.Retired {
		if !slices.Contains(f.Homes, h) {
			r.failAt(r.fleet["retired"].origin, "retired %q is not one of the homes", h)
		}
	}
	if len(f.Homes) > 0 && len(f.Active()) == 0 {
		r.failAt(r.fleet["retired"].origin, "all homes are retired")
	}
	if len(f.Homes) == 0 {
		if s, ok := r.fleet["homes"]; ok {
			r.failAt(s.origin, "homes are empty")
		}
	}
	return f
}

func (r *reader) names(s setting, pattern *regexp.Regexp, limit int) []string {
	list := r.list(s)
	if len(list) > limit {
		r.failAt(s.origin, "%d names, at most %d are allowed", len(list), limit)
	}
	seen := map[string]bool{}
	for _, n := range list {
		if !pattern.MatchString(n) {
			r.failAt(s.origin, "bad name %q", n)
		}
		if seen[n] {
			r.failAt(s.origin, "duplicate name %q", n)
		}
		seen[n] = true
	}
	return list
}

func (r *reader) list(s setting) []string {
	if s.kind != listValue {
		r.failAt(s.origin, "a list is required")
		return nil
	}
	var out []string
	for _, i := range s.items {
		if i.notScalar {
			r.fail(s.origin.File, i.line, "a plain value is required")
			continue
		}
		out = append(out, i.text)
	}
	return out
}

func (r *reader) text(s setting) (string, bool) {
	if s.kind != plainValue {
		r.failAt(s.origin, "a plain value is required")
		return "", false
	}
	return s.text, true
}

// scalar returns the text of a plain value as written; it reports false for any other node, null included.
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
