package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Bounds of a declaration; they bound the memory and time of parsing on every node.
const (
	maxFile     = 2 << 20
	maxItems    = 50_000 // the library's time grows with the square of these: 100,000 took 14 s
	maxProblems = 100
	maxDepth    = 32 // parents of one route or account
	maxNesting  = 16 // the format has four levels
)

// File is one declaration file.
type File struct {
	Name string
	Data []byte
}

// Problem is one fault of a declaration.
type Problem struct {
	File   string
	Line   int // zero if the fault concerns no single line
	Reason string
}

func (p Problem) String() string {
	if p.Line == 0 {
		return p.File + ": " + p.Reason
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason)
}

// ParseError lists all faults of a declaration in the order of files and lines.
type ParseError struct{ Problems []Problem }

func (e ParseError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "config: declaration rejected:\n" + strings.Join(lines, "\n")
}

// Origin tells where a value of a route or account was set.
type Origin struct {
	Name string // the route or account that sets it, itself or a parent
	File string
	Line int
}

// EntryKind distinguishes the sections of a declaration.
type EntryKind string

// Kinds of entries.
const (
	KindRoutes   EntryKind = "routes"
	KindAccounts EntryKind = "accounts"
)

type originKey struct {
	kind        EntryKind
	name, field string
}

// Origin returns the origin of a value by the field's name in the format; it reports false for defaults.
func (t Tree) Origin(kind EntryKind, name, field string) (Origin, bool) {
	o, ok := t.origins[originKey{kind, name, field}]
	return o, ok
}

// setting is one value as written, before inheritance. It keeps no node of the syntax tree: one node holds the tokens
// of its whole file, which took 37 MB of the peak at 5,000 accounts.
type setting struct {
	shape shape
	text  string // of a scalar
	items []item // of a list
	from  Origin
}

type shape int

const (
	absent shape = iota
	plainValue
	listValue
	otherValue // neither a plain value nor a list
)

// item is one value of a list; it is bad if it is no plain value.
type item struct {
	text string
	line int
	bad  bool
}

// newSetting reads a value out of the syntax tree.
func newSetting(n ast.Node, from Origin) setting {
	if text, ok := scalar(n); ok {
		return setting{shape: plainValue, text: strings.Clone(text), from: from}
	}
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		return setting{shape: otherValue, from: from}
	}
	s := setting{shape: listValue, from: from, items: make([]item, 0, len(seq.Values))}
	for _, n := range seq.Values {
		text, ok := scalar(n)
		s.items = append(s.items, item{text: strings.Clone(text), line: lineOf(n), bad: !ok})
	}
	return s
}

// entry is one route or account as written.
type entry struct {
	name   string
	at     Origin
	parent setting
	fields map[string]setting
}

type reading struct {
	fleet    map[string]setting
	sections map[EntryKind]map[string]entry
	problems []Problem
}

// Parse reads declarations and resolves inheritance; the error is a ParseError.
// The verdict depends on the bytes only, so all nodes agree on it.
func Parse(version int64, files []File) (Tree, error) {
	r := &reading{
		fleet:    map[string]setting{},
		sections: map[EntryKind]map[string]entry{KindRoutes: {}, KindAccounts: {}},
	}
	seen := map[string]bool{}
	for _, f := range files {
		if seen[f.Name] {
			r.fail(f.Name, 0, "duplicate file")
			continue
		}
		seen[f.Name] = true
		r.file(f)
	}
	t := r.resolve(version)
	if len(r.problems) > 0 {
		order := map[string]int{}
		for i, f := range files {
			order[f.Name] = i
		}
		slices.SortFunc(r.problems, func(a, b Problem) int {
			return cmp.Or(order[a.File]-order[b.File], a.Line-b.Line, strings.Compare(a.Reason, b.Reason))
		})
		r.problems = slices.Compact(r.problems)
		return Tree{}, ParseError{Problems: r.problems[:min(len(r.problems), maxProblems)]}
	}
	return t, nil
}

func (r *reading) fail(file string, line int, format string, args ...any) {
	r.problems = append(r.problems, Problem{File: file, Line: line, Reason: fmt.Sprintf(format, args...)})
}

func (r *reading) failAt(o Origin, format string, args ...any) {
	r.fail(o.File, o.Line, format, args...)
}

func (r *reading) file(f File) {
	if len(f.Data) > maxFile {
		r.fail(f.Name, 0, "larger than %d bytes", maxFile)
		return
	}
	parsed, err := parse(f.Data)
	if err != nil {
		line, reason := syntax(err)
		r.fail(f.Name, line, "%s", reason)
		return
	}
	body := documents(parsed)
	if len(body) == 0 {
		return
	}
	if len(body) > 1 {
		r.fail(f.Name, lineOf(body[1]), "more than one document")
		return
	}
	r.mapping(f.Name, "the file", body[0], func(name string, at Origin, value ast.Node) {
		switch name {
		case "fleet":
			r.mapping(f.Name, name, value, func(field string, at Origin, value ast.Node) {
				r.put(r.fleet, field, newSetting(value, at))
			})
		case string(KindRoutes), string(KindAccounts):
			r.section(f.Name, EntryKind(name), value)
		default:
			r.failAt(at, "unknown name %q", name)
		}
	})
}

func documents(parsed *ast.File) []ast.Node {
	var body []ast.Node
	for _, d := range parsed.Docs {
		if d.Body == nil {
			continue
		}
		if _, ok := d.Body.(*ast.CommentGroupNode); ok {
			continue
		}
		body = append(body, d.Body)
	}
	return body
}

// parse turns a panic of the YAML library into an error, so that no bytes can stop a node.
func parse(data []byte) (f *ast.File, err error) {
	defer func() {
		if v := recover(); v != nil {
			err = SyntaxError{Line: 0, Reason: "not readable as YAML"}
		}
	}()
	tokens := lexer.Tokenize(string(data))
	if err := plain(tokens); err != nil {
		return nil, err
	}
	return parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
}

// plain refuses the parts of YAML that the format does not use.
// Nesting on one line is among them: 400 KB of "- - -" took the library 14 GB of memory.
func plain(tokens token.Tokens) error {
	depth, line, entries, values, total := 0, 0, 0, 0, 0
	for _, t := range tokens {
		if l := lineOfToken(t); l != line {
			line, entries, values = l, 0, 0
		}
		switch t.Type {
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType, token.DirectiveType:
			return SyntaxError{Line: line, Reason: fmt.Sprintf("%s is not part of the format", strings.ToLower(t.Type.String()))}
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		case token.SequenceEntryType:
			entries++
			total++
		case token.MappingValueType:
			total++
			if depth == 0 {
				values++
			}
		}
		if total > maxItems {
			return SyntaxError{Line: line, Reason: fmt.Sprintf("more than %d values in one file", maxItems)}
		}
		if depth > maxNesting || entries > 1 || values > 1 || indentOf(t) > maxNesting {
			return SyntaxError{Line: line, Reason: "nested too deep"}
		}
	}
	return nil
}

// indentOf returns the number of enclosing block levels that the library saw.
func indentOf(t *token.Token) int {
	if t.Position == nil {
		return 0
	}
	return t.Position.IndentLevel
}

func (r *reading) section(file string, kind EntryKind, value ast.Node) {
	r.mapping(file, string(kind), value, func(name string, at Origin, value ast.Node) {
		if !isWord(name) {
			r.failAt(at, "name %q is not one word of lower-case letters and digits", name)
		}
		if old, ok := r.sections[kind][name]; ok {
			r.failAt(at, "duplicate name %q, first at %s:%d", name, old.at.File, old.at.Line)
			return
		}
		e := entry{name: name, at: at, fields: map[string]setting{}}
		r.mapping(file, name, value, func(field string, at Origin, value ast.Node) {
			at.Name = name
			if field != "parent" {
				r.put(e.fields, field, newSetting(value, at))
				return
			}
			if e.parent.shape != absent {
				r.failAt(at, "duplicate name %q", field)
				return
			}
			e.parent = newSetting(value, at)
		})
		r.sections[kind][name] = e
	})
}

func (r *reading) put(fields map[string]setting, name string, s setting) {
	if old, ok := fields[name]; ok {
		r.failAt(s.from, "duplicate name %q, first at %s:%d", name, old.from.File, old.from.Line)
		return
	}
	fields[name] = s
}

// mapping calls each for the entries of a mapping; an empty value is an empty mapping.
func (r *reading) mapping(file, what string, n ast.Node, each func(name string, at Origin, value ast.Node)) {
	var values []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		values = m.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{m}
	case *ast.NullNode:
	default:
		r.fail(file, lineOf(n), "%s: a mapping is required", what)
	}
	for _, v := range values {
		at := Origin{File: file, Line: lineOf(v.Key)}
		key, ok := v.Key.(*ast.StringNode)
		if !ok {
			r.failAt(at, "a plain name is required")
			continue
		}
		each(strings.Clone(key.Value), at, v.Value)
	}
}

func lineOf(n ast.Node) int {
	if n == nil {
		return 0
	}
	return lineOfToken(n.GetToken())
}

func lineOfToken(t *token.Token) int {
	if t == nil || t.Position == nil {
		return 0
	}
	return t.Position.Line
}
