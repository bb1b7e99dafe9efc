package declare

import (
	"fmt"
	"maps"
	"slices"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/operator/report"
)

// Diff returns a line for each difference between the resolved values of two trees.
func Diff(before, after config.Tree) []string {
	lines := diffValues("fleet", report.FleetValues(before), report.FleetValues(after))
	return append(append(lines, diffEntries(before, after, config.KindRoutes)...), diffEntries(before, after, config.KindAccounts)...)
}

func diffEntries(before, after config.Tree, kind config.EntryKind) []string {
	what := map[config.EntryKind]string{config.KindRoutes: "route", config.KindAccounts: "account"}[kind]
	names := map[string]bool{}
	for _, t := range []config.Tree{before, after} {
		for _, name := range namesOf(t, kind) {
			names[name] = true
		}
	}
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, had := report.Values(before, kind, name)
		now, has := report.Values(after, kind, name)
		switch {
		case !had:
			lines = append(lines, fmt.Sprintf("+ %s %s", what, name))
		case !has:
			lines = append(lines, fmt.Sprintf("- %s %s", what, name))
		default:
			lines = append(lines, diffValues(what+" "+name, old, now)...)
		}
	}
	return lines
}

func namesOf(t config.Tree, kind config.EntryKind) []string {
	var names []string
	if kind == config.KindAccounts {
		for _, a := range t.Accounts() {
			names = append(names, a.Name)
		}
		return names
	}
	for _, r := range t.Routes() {
		names = append(names, r.Name)
	}
	return names
}

func diffValues(what string, before, after []report.Value) []string {
	var lines []string
	for i, v := range before {
		if w := after[i]; v.Text != w.Text {
			lines = append(lines, fmt.Sprintf("~ %s %s: %s -> %s", what, v.Field, v.Text, w.Text))
		}
	}
	return lines
}
