package config

import (
	"fmt"
	"math/big"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var digestText = KeyDigest("secret").String()

const sample = `fleet:
  homes: [a1, b1, c1]
  retired: [c1]
  out: [west]
routes:
  base: {deadline: 2s, retries: 10%, hedge: 0%, probe: 0.5%, slots: 12}
  history: {parent: base, host: streaks.example, path: /history, service: history, idempotent: true}
  export: {parent: history, path: /export, slots: 3}
accounts:
  base: {rate: 50/s, burst: 100, routes: [history]}
  lombardia: {parent: base, rate: 200/s, keys: ["sha256:DIGEST"]}
`

func sampleFile() File {
	return File{Name: "tree.yaml", Data: []byte(strings.ReplaceAll(sample, "DIGEST", digestText))}
}

// TestParse guards against values that are lost, misread or taken from the wrong parent.
func TestParse(t *testing.T) {
	tree, err := Parse(7, []File{sampleFile()})
	require.NoError(t, err)
	require.Equal(t, int64(7), tree.Version())
	require.Equal(t, Fleet{Homes: []string{"a1", "b1", "c1"}, Retired: []string{"c1"}, EvacuatedDomains: []string{"west"}}, tree.Fleet())
	require.Equal(t, []string{"a1", "b1"}, tree.Fleet().Active())
	require.Len(t, tree.Routes(), 2)
	export, ok := tree.Route("export")
	require.True(t, ok)
	require.Equal(t, Route{
		Name: "export", Host: "streaks.example", Path: "/export", Service: "history", Idempotent: true,
		Deadline: 2 * time.Second, RetryRatio: 0.1, ProbeRatio: 0.005, Slots: 3, Conns: 260,
	}, export)
	a, ok := tree.Authenticate(KeyDigest("secret"))
	require.True(t, ok)
	require.Equal(t, "lombardia", a.Name)
	require.Equal(t, 200.0, a.Rate)
	require.Equal(t, 100.0, a.Burst)
	require.True(t, a.Allows("history"))

	origins := map[string]struct {
		kind        EntryKind
		name, field string
		want        Origin
	}{
		"own":         {kind: KindRoutes, name: "export", field: "slots", want: Origin{Name: "export", File: "tree.yaml", Line: 8}},
		"parent":      {kind: KindRoutes, name: "export", field: "host", want: Origin{Name: "history", File: "tree.yaml", Line: 7}},
		"grandparent": {kind: KindRoutes, name: "export", field: "deadline", want: Origin{Name: "base", File: "tree.yaml", Line: 6}},
		"account":     {kind: KindAccounts, name: "lombardia", field: "burst", want: Origin{Name: "base", File: "tree.yaml", Line: 10}},
		"default":     {kind: KindRoutes, name: "export", field: "conns"},
	}
	for name, tc := range origins {
		t.Run(name, func(t *testing.T) {
			got, ok := tree.Origin(tc.kind, tc.name, tc.field)
			require.Equal(t, tc.want, got)
			require.Equal(t, tc.want != Origin{}, ok)
		})
	}
}

// TestParseTraffic guards against the settings of splits, latency objectives, attempts and priorities being lost or misread.
func TestParseTraffic(t *testing.T) {
	text := "routes:\n  read: {host: h.example, path: /read, split: [\"new 0.5\", \"old 4.5\"], aim: 600ms, attempts: 2, rank: 2, bulk: true}\n" +
		"accounts:\n  one: {rate: 1/s, burst: 1, rank: 1}\n"
	tree, err := Parse(1, []File{{Name: "tree.yaml", Data: []byte(text)}})
	require.NoError(t, err)
	route, _ := tree.Route("read")
	require.Equal(t, NewWeightedServices([]string{"new", "old"}, []*big.Rat{big.NewRat(1, 1), big.NewRat(9, 1)}), route.Split)
	require.Equal(t, []string{"new", "old"}, route.Services())
	require.Equal(t, Route{Name: "read", Service: "new"}, Route{Name: "read", Split: route.Split}.WithService("new"))
	require.Equal(t, 600*time.Millisecond, route.LatencyObjective)
	require.Equal(t, 2, route.Attempts)
	require.Equal(t, 2, route.Priority)
	require.True(t, route.Bulk)
	account, _ := tree.Account("one")
	require.Equal(t, 1, account.Priority)
}

// TestMatchTrailingSlash guards against a route path with a trailing slash that matches the path without it.
func TestMatchTrailingSlash(t *testing.T) {
	tree := NewTree(1, Fleet{}, []Route{
		{Name: "outer", Host: "h", Path: "/a/"}, {Name: "inner", Host: "h", Path: "/a/b/"}, {Name: "plain", Host: "h", Path: "/c"},
	}, nil)
	cases := map[string]struct{ path, want string }{
		"inside":                  {path: "/a/x", want: "outer"},
		"exact":                   {path: "/a/", want: "outer"},
		"longest":                 {path: "/a/b/x", want: "inner"},
		"without the slash":       {path: "/a"},
		"inner without the slash": {path: "/a/b", want: "outer"},
		"plain":                   {path: "/c", want: "plain"},
		"plain segment":           {path: "/c/d", want: "plain"},
		"part of a segment":       {path: "/cd"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			route, ok := tree.MatchRoute("h", tc.path)
			require.Equal(t, tc.want, route.Name)
			require.Equal(t, tc.want != "", ok)
		})
	}
}

// TestParseInheritedHost guards against a parent that is rejected because it has a host but no path.
func TestParseInheritedHost(t *testing.T) {
	text := "routes:\n  base: {host: h.example, service: s}\n  read: {parent: base, path: /read}\n"
	tree, err := Parse(1, []File{{Name: "tree.yaml", Data: []byte(text)}})
	require.NoError(t, err)
	require.Len(t, tree.Routes(), 1)
	_, ok := tree.MatchRoute("h.example", "/read")
	require.True(t, ok)
}

// TestParseFiles guards against entries that cannot refer to other files, and against duplicate names across files.
func TestParseFiles(t *testing.T) {
	routes := File{Name: "routes.yaml", Data: []byte("routes:\n  one: {host: h.example, path: /, service: s}\n")}
	accounts := File{Name: "accounts.yaml", Data: []byte("accounts:\n  client: {rate: 1/s, burst: 1, routes: [one]}\n")}
	tree, err := Parse(1, []File{accounts, routes})
	require.NoError(t, err)
	require.Len(t, tree.Accounts(), 1)
	again := File{Name: "again.yaml", Data: routes.Data}
	_, err = Parse(1, []File{routes, again})
	require.Equal(t, ParseError{Problems: []Problem{{File: "again.yaml", Line: 2, Reason: `duplicate name "one", first at routes.yaml:2`}}}, err)
}

// TestParseErrors guards against invalid declarations that are accepted, or reported with the wrong line or reason.
func TestParseErrors(t *testing.T) {
	route := "routes:\n  one: {host: h.example, path: /, service: s"
	account := "accounts:\n  one: {rate: 1/s, burst: 1"
	cases := map[string]struct {
		text string
		line int
		want string
	}{
		"unknown section":       {text: "fleet: {}\nother: {}\n", line: 2, want: `unknown name "other"`},
		"unknown fleet name":    {text: "fleet:\n  home: [a]\n", line: 2, want: `unknown name "home"`},
		"unknown route name":    {text: "routes:\n  one:\n    host: h.example\n    path: /\n    service: s\n    slot: 1\n", line: 6, want: `unknown name "slot"`},
		"unknown in a parent":   {text: "routes:\n  base:\n    slot: 1\n  one: {parent: base}\n", line: 3, want: `unknown name "slot"`},
		"unknown account name":  {text: account + ", quota: 1}", line: 2, want: `unknown name "quota"`},
		"rate without unit":     {text: "accounts:\n  one: {rate: 50, burst: 1}", line: 2, want: `missing unit in "50", for example 50/s`},
		"share without unit":    {text: route + ", retries: 10}", line: 2, want: `missing unit in "10", for example 10%`},
		"deadline without unit": {text: route + ", deadline: 2}", line: 2, want: `missing unit in "2", for example 2s or 50ms`},
		"cycle":                 {text: "routes:\n  one: {parent: one}\n", line: 2, want: `cycle of parents through "one"`},
		"unknown parent":        {text: "routes:\n  one: {parent: two}\n", line: 2, want: `unknown parent "two"`},
		"parent of other kind":  {text: "routes:\n  base: {}\naccounts:\n  one: {parent: base}\n", line: 4, want: `unknown parent "base"`},
		"rate of zero":          {text: "accounts:\n  one: {rate: 0/s, burst: 1}", line: 2, want: "rate out of range: more than 0/s, at most 1000000/s"},
		"negative rate":         {text: "accounts:\n  one: {rate: -1/s, burst: 1}", line: 2, want: `"-1" is not a plain decimal number`},
		"infinite rate":         {text: "accounts:\n  one: {rate: inf/s, burst: 1}", line: 2, want: `"inf" is not a plain decimal number`},
		"burst of zero":         {text: "accounts:\n  one: {rate: 1/s, burst: 0}", line: 2, want: "number out of range: a whole number, 1 to 10000000"},
		"fraction of a slot":    {text: route + ", slots: 1.5}", line: 2, want: "number out of range: a whole number, 1 to 10000"},
		"slots in octal":        {text: route + ", slots: 0o7}", line: 2, want: `"0o7" is not a plain decimal number`},
		"hedge out of range":    {text: route + ", hedge: 6%}", line: 2, want: "share out of range: 0% to 5%"},
		"deadline out of range": {text: route + ", deadline: 61m}", line: 2, want: "duration out of range: 1ms to 1h0m0s"},
		"duplicate route":       {text: "routes:\n  one: {}\n  one: {}\n", line: 3, want: `duplicate name "one", first at tree.yaml:2`},
		"duplicate field":       {text: "routes:\n  one: {slots: 1, slots: 2}\n", line: 2, want: `duplicate name "slots", first at tree.yaml:2`},
		"duplicate parent":      {text: "routes:\n  b: {}\n  one: {parent: b, parent: b}\n", line: 3, want: `duplicate name "parent"`},
		"duplicate path":        {text: route + "}\n  two: {host: h.example, path: /, service: s}", line: 3, want: `routes "one" and "two" have the same host and path`},
		"duplicate key digest":  {text: account + fmt.Sprintf(", keys: ['sha256:%s']}\n  two: {rate: 1/s, burst: 1, keys: ['sha256:%s']}", digestText, digestText), line: 3, want: `duplicate key digest, also of account "one"`},
		"inherited keys":        {text: account + fmt.Sprintf(", keys: ['sha256:%s']}\n  two: {parent: one}", digestText), line: 2, want: `keys are inherited by "two"; a key belongs to one account`},
		"keys without rate":     {text: fmt.Sprintf("accounts:\n  one: {keys: ['sha256:%s']}", digestText), line: 2, want: `account "one" has keys but no rate`},
		"key instead of digest": {text: account + ", keys: [secret]}", line: 2, want: "a key digest starts with sha256:"},
		"short key digest":      {text: account + ", keys: ['sha256:00']}", line: 2, want: "bad key digest: 64 lower-case hexadecimal digits are required"},
		"host with port":        {text: "routes:\n  one: {host: 'h.example:80', path: /, service: s}", line: 2, want: `bad host "h.example:80": lower-case labels with dots and no port are required`},
		"host in upper case":    {text: "routes:\n  one: {host: H.example, path: /, service: s}", line: 2, want: `bad host "H.example": lower-case labels with dots and no port are required`},
		"path without slash":    {text: "routes:\n  one: {host: h.example, path: p, service: s}", line: 2, want: `bad path "p": it starts with / and has no empty, dot or encoded segment`},
		"path with dots":        {text: "routes:\n  one: {host: h.example, path: /a/../b, service: s}", line: 2, want: `bad path "/a/../b": it starts with / and has no empty, dot or encoded segment`},
		"path with end slash":   {text: "routes:\n  one: {host: h.example, path: /a/, service: s}", line: 2, want: `bad path "/a/": it starts with / and has no empty, dot or encoded segment`},
		"path with escape":      {text: "routes:\n  one: {host: h.example, path: /a%41, service: s}", line: 2, want: `bad path "/a%41": it starts with / and has no empty, dot or encoded segment`},
		"service and split":     {text: "routes:\n  one: {host: h.example, path: /x, service: s, split: [\"a 1\"]}", line: 2, want: `route "one" has a service and a split; only one of them is allowed`},
		"share without weight":  {text: "routes:\n  one: {host: h.example, path: /x, split: [a]}", line: 2, want: `bad share "a": a service and its weight are required, such as "history 90"`},
		"share twice":           {text: "routes:\n  one: {host: h.example, path: /x, split: [\"a 1\", \"a 2\"]}", line: 2, want: `duplicate service "a"`},
		"weight of zero":        {text: "routes:\n  one: {host: h.example, path: /x, split: [\"a 0\"]}", line: 2, want: "weight out of range: more than 0, at most 1000000"},
		"rank out of range":     {text: "routes:\n  one: {host: h.example, path: /x, service: s, rank: 100}", line: 2, want: "number out of range: a whole number, 0 to 99"},
		"route without path":    {text: "routes:\n  one: {host: h.example, service: s}", line: 2, want: `route "one" has a host but no path or no service`},
		"rate without burst":    {text: "accounts:\n  one: {rate: 1/s}", line: 2, want: `account "one" has a rate but no burst`},
		"unknown route":         {text: account + ", routes: [two]}", line: 2, want: `unknown route "two"`},
		"route without a host":  {text: "routes:\n  base: {}\n" + account + ", routes: [base]}", line: 4, want: `unknown route "base"`},
		"two words":             {text: "routes:\n  one_two: {}\n", line: 2, want: `name "one_two" is not one word of lower-case letters and digits`},
		"retired is not a home": {text: "fleet:\n  homes: [a]\n  retired: [b]\n", line: 3, want: `retired "b" is not one of the homes`},
		"all homes retired":     {text: "fleet:\n  homes: [a]\n  retired: [a]\n", line: 3, want: "all homes are retired"},
		"no homes":              {text: "fleet:\n  homes: []\n", line: 2, want: "homes are empty"},
		"too many homes":        {text: "fleet:\n  homes: [" + manyNames(25) + "]\n", line: 2, want: "25 names, at most 24 are allowed"},
		"a word for a list":     {text: "fleet:\n  out: west\n", line: 2, want: "a list is required"},
		"a list for a word":     {text: "routes:\n  one: {host: [a]}\n", line: 2, want: "a plain value is required"},
		"a word for a mapping":  {text: "routes: none\n", line: 1, want: "routes: a mapping is required"},
		"yes for true":          {text: route + ", open: yes}", line: 2, want: "true or false is required"},
		"anchor":                {text: "routes:\n  one: &a {slots: 1}\n", line: 2, want: "anchor is not part of the format"},
		"alias":                 {text: "fleet:\n  out: *a\n", line: 2, want: "alias is not part of the format"},
		"tag":                   {text: "fleet:\n  out: !!seq [a]\n", line: 2, want: "tag is not part of the format"},
		"complex key":           {text: "? [a]\n: b\n", line: 1, want: "mappingkey is not part of the format"},
		"merge key":             {text: "routes:\n  one:\n    <<: {slots: 1}\n", line: 3, want: "mergekey is not part of the format"},
		"number as a name":      {text: "routes:\n  1: {slots: 1}\n", line: 2, want: "a plain name is required"},
		"two documents":         {text: "fleet: {}\n---\nroutes: {}\n", line: 3, want: "more than one document"},
		"deep brackets":         {text: strings.Repeat("[", 1000), line: 1, want: "nested too deep"},
		"deep list on a line":   {text: strings.Repeat("- ", 200_000), line: 1, want: "nested too deep"},
		"too many values":       {text: strings.Repeat("a:\n- ", 30_000), line: 25_001, want: "more than 50000 values in one file"},
		"deep names on a line":  {text: strings.Repeat("a: ", 1000), line: 1, want: "nested too deep"},
		"deep lists and names":  {text: strings.Repeat("- a: ", 1000), line: 1, want: "nested too deep"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(1, []File{{Name: "tree.yaml", Data: []byte(tc.text)}})
			var failed ParseError
			require.ErrorAs(t, err, &failed)
			require.Contains(t, failed.Problems, Problem{File: "tree.yaml", Line: tc.line, Reason: tc.want})
		})
	}
}

func manyNames(n int) string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("h%d", i)
	}
	return strings.Join(names, ", ")
}

// TestPack guards against parts that are lost, changed or joined in the wrong order, and against nondeterministic output.
func TestPack(t *testing.T) {
	large := File{Name: "large.yaml", Data: []byte("# " + strings.Repeat("x", MaxPart) + "\n")}
	files := []File{sampleFile(), large}
	m, parts, err := Pack(7, files)
	require.NoError(t, err)
	require.Len(t, m.Parts, 3)
	again, _, err := Pack(7, files)
	require.NoError(t, err)
	require.Equal(t, m.Bytes(), again.Bytes())
	read, err := ParseManifest(m.Bytes())
	require.NoError(t, err)
	require.Equal(t, m.Digest(), read.Digest())
	got, err := Unpack(read, parts)
	require.NoError(t, err)
	require.Equal(t, files, got)

	first := m.Digests()[0]
	cases := map[string]struct {
		change func(map[Digest][]byte)
		want   string
	}{
		"missing": {change: func(p map[Digest][]byte) { delete(p, first) }, want: "is missing"},
		"changed": {change: func(p map[Digest][]byte) { p[first] = []byte("fleet: {}") }, want: "does not match its digest"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, parts, err := Pack(7, files)
			require.NoError(t, err)
			tc.change(parts)
			_, err = Build(m, parts)
			require.ErrorContains(t, err, tc.want)
		})
	}
}

// TestParseManifest guards against invalid manifests that are accepted.
func TestParseManifest(t *testing.T) {
	part := `{"name":"tree.yaml","sha256":"` + digestText + `"}`
	cases := map[string]struct{ text, want string }{
		"unknown name":  {text: `{"version":1,"part":[]}`, want: "unknown field"},
		"no version":    {text: `{"parts":[` + part + `]}`, want: "the version is below 1"},
		"no parts":      {text: `{"version":1,"parts":[]}`, want: "1 to 64 parts are required"},
		"too many":      {text: `{"version":1,"parts":[` + strings.Repeat(part+",", 64) + part + `]}`, want: "1 to 64 parts are required"},
		"bad digest":    {text: `{"version":1,"parts":[{"name":"a","sha256":"00"}]}`, want: "bad digest"},
		"bytes after":   {text: `{"version":1,"parts":[` + part + `]}{}`, want: "bytes after its end"},
		"cut off":       {text: `{"version":1,"parts":[`, want: "reading a manifest"},
		"no whole part": {text: `{"version":1.5,"parts":[` + part + `]}`, want: "reading a manifest"},
		"too large":     {text: strings.Repeat(" ", MaxManifest+1), want: "larger than 65536 bytes"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseManifest([]byte(tc.text))
			require.ErrorContains(t, err, tc.want)
		})
	}
}

// FuzzParse guards against input that panics or gives different results when it is parsed twice.
func FuzzParse(f *testing.F) {
	f.Add(sampleFile().Data)
	f.Add([]byte("routes: {a: {parent: b}, b: {parent: a}}"))
	f.Add([]byte("? [a]\n: {b: *c}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		files := []File{{Name: "tree.yaml", Data: data}}
		one, err := Parse(1, files)
		two, again := Parse(1, files)
		require.Equal(t, err, again)
		require.Equal(t, one, two)
	})
}

// FuzzManifest guards against a manifest that changes when its canonical form is parsed again.
func FuzzManifest(f *testing.F) {
	f.Add([]byte(`{"version":1,"parts":[{"name":"tree.yaml","sha256":"` + digestText + `"}]}`))
	f.Add([]byte(`{"version":-1,"parts":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := ParseManifest(data)
		if err != nil {
			return
		}
		again, err := ParseManifest(m.Bytes())
		require.NoError(t, err)
		require.Equal(t, m.Digest(), again.Digest())
	})
}

// TestFleetHedge guards against hedges on routes that turn them off or whose requests may run only once, where the fleet has a ratio.
func TestFleetHedge(t *testing.T) {
	for name, tc := range map[string]struct {
		route string
		want  float64
	}{
		"default":        {route: "idempotent: true", want: 0.03},
		"off":            {route: "idempotent: true, hedge: 0%"},
		"own":            {route: "idempotent: true, hedge: 1%", want: 0.01},
		"not idempotent": {route: "open: true"},
	} {
		t.Run(name, func(t *testing.T) {
			text := "fleet: {homes: [a1], hedge: 3%}\nroutes:\n  r: {host: x.example, path: /, service: s, " + tc.route + "}\n"
			tree, err := Parse(1, []File{{Name: "tree.yaml", Data: []byte(text)}})
			require.NoError(t, err)
			r, _ := tree.Route("r")
			require.InDelta(t, tc.want, r.HedgeRatio, 1e-9)
			require.InDelta(t, 0.03, tree.Fleet().HedgeRatio, 1e-9)
		})
	}
}
