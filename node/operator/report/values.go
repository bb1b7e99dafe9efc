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
	Field    string
	Text     string
	Source   string // the route or account that sets it, or "default"
	Location string // file:line, or "-" for a default
}

// Values returns the resolved values of a route or account with their origins, and reports whether the tree has the entry.
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
		values[i].Source, values[i].Location = "default", "-"
		if o, found := t.Origin(kind, name, v.Field); found {
			values[i].Source = o.Name
			values[i].Location = fmt.Sprintf("%s:%d", o.File, o.Line)
		}
	}
	return values, ok
}

// FleetValues returns the settings of the whole fleet; their origins are not set.
func FleetValues(t config.Tree) []Value {
	f := t.Fleet()
	return []Value{
		{Field: "homes", Text: formatList(f.Homes)},
		{Field: "retired", Text: formatList(f.Retired)},
		{Field: "out", Text: formatList(f.EvacuatedDomains)},
		{Field: "nested", Text: strconv.FormatBool(f.Nested)},
		{Field: "calls", Text: strconv.FormatBool(f.CallAdmission)},
		{Field: "returns", Text: strconv.FormatBool(f.Returns)},
		{Field: "hedge", Text: formatPercent(f.HedgeRatio)},
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
		{Field: "retries", Text: formatPercent(r.RetryRatio)},
		{Field: "hedge", Text: formatPercent(r.HedgeRatio)},
		{Field: "local", Text: formatPercent(r.LocalRatio)},
		{Field: "probe", Text: formatPercent(r.ProbeRatio)},
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
		{Field: "rate", Text: formatNumber(a.Rate) + "/s"},
		{Field: "burst", Text: formatNumber(a.Burst)},
		{Field: "routes", Text: formatList(a.Routes)},
		{Field: "keys", Text: formatList(keys)},
	}
}

// formatList sorts the names because their order has no meaning, and joins them in brackets.
func formatList(names []string) string {
	return "[" + strings.Join(slices.Sorted(slices.Values(names)), ", ") + "]"
}

func formatPercent(x float64) string { return formatNumber(x*100) + "%" }

// formatNumber rounds to the six decimals that the configuration format allows and trims trailing zeros.
func formatNumber(x float64) string {
	return strings.TrimSuffix(strings.TrimRight(strconv.FormatFloat(x, 'f', 6, 64), "0"), ".")
}
