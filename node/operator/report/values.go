package report

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

// Values returns the values of a route or account with their origins, or false if the tree has no such entry.
func Values(t config.Tree, kind config.EntryKind, name string) ([]Value, bool) {
	var values []Value
	var ok bool
	if kind == config.KindAccounts {
		var a config.Account
		a, ok = t.Account(name)
		values = accountValues(a)
	} else {
		var r config.Route
		r, ok = t.Route(name)
		values = routeValues(r)
	}
	for i, v := range values {
		values[i].From, values[i].Place = "default", "-"
		if o, found := t.Origin(kind, name, v.Field); found {
			values[i].From = o.Name
			values[i].Place = fmt.Sprintf("%s:%d", o.File, o.Line)
		}
	}
	return values, ok
}

// FleetValues returns the settings of the fleet as a whole.
func FleetValues(t config.Tree) []Value {
	f := t.Fleet()
	return []Value{
		{Field: "homes", Text: list(f.Homes)},
		{Field: "retired", Text: list(f.Retired)},
		{Field: "out", Text: list(f.EvacuatedDomains)},
	}
}

func routeValues(r config.Route) []Value {
	return []Value{
		{Field: "host", Text: r.Host},
		{Field: "path", Text: r.Path},
		{Field: "service", Text: r.Service},
		{Field: "open", Text: strconv.FormatBool(r.AuthExempt)},
		{Field: "idempotent", Text: strconv.FormatBool(r.Idempotent)},
		{Field: "deadline", Text: r.Deadline.String()},
		{Field: "retries", Text: share(r.RetryRatio)},
		{Field: "hedge", Text: share(r.HedgeRatio)},
		{Field: "probe", Text: share(r.ProbeRatio)},
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
