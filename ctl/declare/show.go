package declare

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"verbenapin.dev/node/config"
)

// Value is one resolved value of a route or account.
type Value struct {
	Field string
	Text  string
	From  string // the route or account that sets it, or "default"
	Place string // file and line, - for a default
}

// UnknownError reports a name that is no concrete route or account of a tree.
type UnknownError struct {
	Kind config.Kind
	Name string
}

func (e UnknownError) Error() string {
	return fmt.Sprintf("declare: %s: no entry %q, or it is only a parent of others", e.Kind, e.Name)
}

// Show returns the values of a route or account with their origins.
func Show(t config.Tree, kind config.Kind, name string) ([]Value, error) {
	values, ok := valuesOf(t, kind, name)
	if !ok {
		return nil, UnknownError{Kind: kind, Name: name}
	}
	for i, v := range values {
		values[i].From, values[i].Place = "default", "-"
		if o, ok := t.Origin(kind, name, v.Field); ok {
			values[i].From = o.Name
			values[i].Place = fmt.Sprintf("%s:%d", o.File, o.Line)
		}
	}
	return values, nil
}

func valuesOf(t config.Tree, kind config.Kind, name string) ([]Value, bool) {
	if kind == config.Accounts {
		a, ok := t.Account(name)
		return accountValues(a), ok
	}
	r, ok := t.Route(name)
	return routeValues(r), ok
}

func routeValues(r config.Route) []Value {
	return []Value{
		{Field: "host", Text: r.Host},
		{Field: "path", Text: r.Path},
		{Field: "service", Text: r.Service},
		{Field: "open", Text: strconv.FormatBool(r.Open)},
		{Field: "idempotent", Text: strconv.FormatBool(r.Idempotent)},
		{Field: "deadline", Text: r.Deadline.String()},
		{Field: "retries", Text: share(r.Retries)},
		{Field: "hedge", Text: share(r.Hedge)},
		{Field: "probe", Text: share(r.Probe)},
		{Field: "slots", Text: strconv.Itoa(r.Slots)},
		{Field: "conns", Text: strconv.Itoa(r.Conns)},
	}
}

func accountValues(a config.Account) []Value {
	keys := make([]string, len(a.Keys))
	for i, d := range a.Keys {
		keys[i] = "sha256:" + d.String()
	}
	return []Value{
		{Field: "rate", Text: number(a.Rate) + "/s"},
		{Field: "burst", Text: number(a.Burst)},
		{Field: "routes", Text: list(a.Routes)},
		{Field: "keys", Text: list(keys)},
	}
}

// list sorts names, whose order has no meaning.
func list(names []string) string {
	return "[" + strings.Join(slices.Sorted(slices.Values(names)), ", ") + "]"
}

func share(x float64) string { return number(x*100) + "%" }

// number rounds to the six decimals that the format allows.
func number(x float64) string {
	return strings.TrimSuffix(strings.TrimRight(strconv.FormatFloat(x, 'f', 6, 64), "0"), ".")
}
