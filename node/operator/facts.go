package operator

import (
	"fmt"
	"strconv"
	"strings"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/operator/report"
)

// Facts returns the values of the tree and the state of this node that decide on the requests of a query.
func Facts(t config.Tree, s report.State, q report.Query) []report.Fact {
	facts := []report.Fact{
		{Name: "version", Value: strconv.FormatInt(t.Version(), 10), From: "tree"},
		{Name: "verdict", Value: s.Verdict, From: fmt.Sprintf("evidence %d ms old", s.Age)},
		{Name: "out", Value: "[" + strings.Join(t.Fleet().EvacuatedDomains, ", ") + "]", From: "tree"},
		{Name: "leaving", Value: strconv.FormatBool(s.Leaving), From: "this node"},
	}
	if q.Account != "" {
		facts = append(facts, values(t, config.KindAccounts, q.Account, "account")...)
	}
	if q.Route != "" {
		facts = append(facts, values(t, config.KindRoutes, q.Route, "route")...)
	}
	a, knownAccount := t.Account(q.Account)
	if _, knownRoute := t.Route(q.Route); knownAccount && knownRoute {
		facts = append(facts, report.Fact{Name: "authorized", Value: strconv.FormatBool(a.Allows(q.Route)), From: "tree"})
	}
	if r, known := t.Route(q.Route); known && r.Service == s.Service {
		facts = append(facts, load(s.Load)...)
	}
	return facts
}

func values(t config.Tree, kind config.EntryKind, name, what string) []report.Fact {
	found, ok := report.Values(t, kind, name)
	if !ok {
		return []report.Fact{{Name: what, Value: "unknown", From: "tree"}}
	}
	facts := make([]report.Fact, 0, len(found))
	for _, v := range found {
		// Digests of keys decide on authentication only and make the answer hard to read.
		if v.Field != "keys" {
			facts = append(facts, report.Fact{Name: what + " " + v.Field, Value: v.Text, From: strings.TrimSuffix(v.From+" "+v.Place, " -")})
		}
	}
	return facts
}

func load(l report.Load) []report.Fact {
	const from = "target beside this node"
	return []report.Fact{
		{Name: "running", Value: strconv.Itoa(l.Running), From: from},
		{Name: "queued", Value: strconv.Itoa(l.Queued), From: from},
		{Name: "limit", Value: strconv.Itoa(l.Limit), From: from},
		{Name: "time", Value: fmt.Sprintf("%.1f ms", l.ServiceTime), From: from},
	}
}
