package account

import (
	"slices"

	"verbenapin.dev/node/config"
)

// Placement holds the homes of all accounts for one set of nodes. A change of a few nodes is applied to what is known, since ranking all
// nodes for all accounts takes 78 ms for 1,000 accounts and 1,200 nodes, and each node does it for each change of the list. It is
// immutable.
type Placement struct {
	names []string               // homes, sorted, without retired ones
	best  map[string][]candidate // by account, the best first
	homes map[string][]string    // by account, in the order of best
}

// Homes returns the homes of each account; the caller must not change the map.
func (p Placement) Homes() map[string][]string { return p.homes }

// WithTree returns the placement of the accounts of a tree on its homes.
func (p Placement) WithTree(t config.Tree) Placement {
	all := newPlacer(t.Fleet())
	var added []string
	for _, name := range all.names {
		if _, ok := slices.BinarySearch(p.names, name); !ok {
			added = append(added, name)
		}
	}
	joining := newPlacer(config.Fleet{Homes: added})
	kept := make(map[string]bool, len(all.names))
	for _, name := range all.names {
		kept[name] = true
	}
	accounts := t.Accounts()
	next := Placement{names: all.names, best: make(map[string][]candidate, len(accounts)), homes: make(map[string][]string, len(accounts))}
	for _, a := range accounts {
		count := all.count(a)
		old := p.best[a.Name]
		gone := slices.ContainsFunc(old, func(c candidate) bool { return !kept[c.home] })
		switch {
		case len(old) != count || gone:
			next.best[a.Name] = slices.Clone(all.rank(a, nil, count))
		case len(added) > 0:
			next.best[a.Name] = slices.Clone(joining.rank(a, old, count))
		default:
			next.best[a.Name] = old
		}
		next.homes[a.Name] = homesOf(next.best[a.Name])
	}
	return next
}

// homesOf returns the homes of candidates, nil if there are none.
func homesOf(best []candidate) []string {
	if len(best) == 0 {
		return nil
	}
	homes := make([]string, 0, len(best))
	for _, c := range best {
		homes = append(homes, c.home)
	}
	return homes
}
