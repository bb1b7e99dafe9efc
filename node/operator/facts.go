package operator

import (
	"fmt"
	"strconv"
	"strings"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/operator/report"
)

// Facts returns the configured values and the state of this node that decide whether the requests of a query are served.
func Facts(t config.Tree, s report.State, q report.Query) []report.Fact {
	facts := []report.Fact{
		{Name: "version", Value: strconv.FormatInt(t.Version(), 10), Source: "tree"},
		{Name: "verdict", Value: s.ServeStatus, Source: fmt.Sprintf("evidence %d ms old", s.ConfirmationAge)},
		{Name: "out", Value: "[" + strings.Join(t.Fleet().EvacuatedDomains, ", ") + "]", Source: "tree"},
		{Name: "leaving", Value: strconv.FormatBool(s.Leaving), Source: "this node"},
	}
	if q.Account != "" {
		facts = append(facts, entryFacts(t, config.KindAccounts, q.Account, "account")...)
	}
	if q.Route != "" {
		facts = append(facts, entryFacts(t, config.KindRoutes, q.Route, "route")...)
	}
	a, knownAccount := t.Account(q.Account)
	if _, knownRoute := t.Route(q.Route); knownAccount && knownRoute {
		facts = append(facts, report.Fact{Name: "authorized", Value: strconv.FormatBool(a.Allows(q.Route)), Source: "tree"})
	}
	if r, known := t.Route(q.Route); known && r.Service == s.Service {
		facts = append(facts, loadFacts(s.Load)...)
	}
	return facts
}

func entryFacts(t config.Tree, kind config.EntryKind, name, prefix string) []report.Fact {
	values, ok := report.Values(t, kind, name)
	if !ok {
		return []report.Fact{{Name: prefix, Value: "unknown", Source: "tree"}}
	}
	facts := make([]report.Fact, 0, len(values))
	for _, v := range values {
		// Key digests only matter for authentication and make the response hard to read.
		if v.Field != "keys" {
			facts = append(facts, report.Fact{Name: prefix + " " + v.Field, Value: v.Text, Source: strings.TrimSuffix(v.Source+" "+v.Location, " -")})
		}
	}
	return facts
}

func loadFacts(l report.Load) []report.Fact {
	const source = "target beside this node"
	return []report.Fact{
		{Name: "running", Value: strconv.Itoa(l.Running), Source: source},
		{Name: "queued", Value: strconv.Itoa(l.Queued), Source: source},
		{Name: "limit", Value: strconv.Itoa(l.Limit), Source: source},
		{Name: "time", Value: fmt.Sprintf("%.1f ms", l.ServiceTime), Source: source},
	}
}
