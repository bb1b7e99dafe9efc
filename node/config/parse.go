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

// Limits of a declaration; they limit the memory and time that parsing takes on every node.
const (
	maxFileSize = 2 << 20
	maxValues   = 50_000 // the YAML library takes quadratic time: 14 s for 100,000 values
	maxProblems = 100
	maxParents  = 32 // length of the chain of parents of a route or account
	maxNesting  = 16 // the format needs four levels
)

// File is a declaration file.
type File struct {
	Name string
	Data []byte
}

// Problem is an error in a declaration.
type Problem struct {
	File   string
	Line   int // zero if the problem concerns no single line
	Reason string
}

func (p Problem) String() string {
	if p.Line == 0 {
		return p.File + ": " + p.Reason
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason)
}

// ParseError lists the first problems of a declaration, at most 100, sorted by file and line.
type ParseError struct{ Problems []Problem }

func (e ParseError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "config: declaration rejected:\n" + strings.Join(lines, "\n")
}

// Origin states where a value of a route or account was set.
type Origin struct {
	Name string // the route or account that sets the value: the entry itself or a parent
	File string
	Line int
}

// EntryKind is the section of a declaration that an entry belongs to.
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

// Origin returns where a value was set, by the name of its field in the format; it reports false for defaults.
func (t Tree) Origin(kind EntryKind, name, field string) (Origin, bool) {
	o, ok := t.origins[originKey{kind, name, field}]
	return o, ok
}

// setting is one value as written, before inheritance. It keeps no node of the syntax tree, since each node references
// the tokens of its whole file; that added 37 MB to the peak at 5,000 accounts.
type setting struct {
	kind   valueKind
	text   string // of a scalar
	items  []item // of a list
	origin Origin
}

type valueKind int

const (
	absent valueKind = iota
	plainValue
	listValue
	otherValue // neither a plain value nor a list
)

// item is one element of a list.
type item struct {
	text      string
	line      int
	notScalar bool
}

// newSetting copies a value from the syntax tree.
func newSetting(n ast.Node, origin Origin) setting {
	if text, ok := scalar(n); ok {
		return setting{kind: plainValue, text: strings.Clone(text), origin: origin}
	}
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		return setting{kind: otherValue, origin: origin}
	}
	s := setting{kind: listValue, origin: origin, items: make([]item, 0, len(seq.Values))}
	for _, n := range seq.Values {
		text, ok := scalar(n)
		s.items = append(s.items, item{text: strings.Clone(text), line: lineOf(n), notScalar: !ok})
	}
	return s
}

// entry is one route or account as written, before inheritance.
type entry struct {
	name   string
	origin Origin
	parent setting
	fields map[string]setting
}

// reader collects the settings and the problems of declarations.
type reader struct {
	fleet    map[string]setting
	sections map[EntryKind]map[string]entry
	problems []Problem
}

// Parse parses declarations and resolves inheritance; the error is a ParseError.
// The result depends only on the version and the files, so all nodes accept or reject a version alike.
func Parse(version int64, files []File) (Tree, error) {
	r := &reader{
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
		r.readFile(f)
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

func (r *reader) fail(file string, line int, format string, args ...any) {
	r.problems = append(r.problems, Problem{File: file, Line: line, Reason: fmt.Sprintf(format, args...)})
}

func (r *reader) failAt(o Origin, format string, args ...any) {
	r.fail(o.File, o.Line, format, args...)
}

func (r *reader) readFile(f File) {
	if len(f.Data) > maxFileSize {
		r.fail(f.Name, 0, "larger than %d bytes", maxFileSize)
		return
	}
	parsed, err := parseYAML(f.Data)
	if err != nil {
		line, reason := syntaxProblem(err)
		r.fail(f.Name, line, "%s", reason)
		return
	}
	body := documentBodies(parsed)
	if len(body) == 0 {
		return
	}
	if len(body) > 1 {
		r.fail(f.Name, lineOf(body[1]), "more than one document")
		return
	}
	r.eachEntry(f.Name, "the file", body[0], func(name string, at Origin, value ast.Node) {
		switch name {
		case "fleet":
			r.eachEntry(f.Name, name, value, func(field string, at Origin, value ast.Node) {
				r.addField(r.fleet, field, newSetting(value, at))
			})
		case string(KindRoutes), string(KindAccounts):
			r.readSection(f.Name, EntryKind(name), value)
		default:
			r.failAt(at, "unknown name %q", name)
		}
	})
}

func documentBodies(parsed *ast.File) []ast.Node {
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

// parseYAML parses YAML; a panic of the library becomes an error, so that no input can crash a node.
func parseYAML(data []byte) (f *ast.File, err error) {
	defer func() {
		if v := recover(); v != nil {
			err = SyntaxError{Line: 0, Reason: "not readable as YAML"}
		}
	}()
	tokens := lexer.Tokenize(string(data))
	if err := checkTokens(tokens); err != nil {
		return nil, err
	}
	return parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
}

// checkTokens rejects YAML features that the format does not use.
// Nesting on one line is one of them: 400 KB of "- - -" made the library use 14 GB of memory.
func checkTokens(tokens token.Tokens) error {
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
		if total > maxValues {
			return SyntaxError{Line: line, Reason: fmt.Sprintf("more than %d values in one file", maxValues)}
		}
		if depth > maxNesting || entries > 1 || values > 1 || indentOf(t) > maxNesting {
			return SyntaxError{Line: line, Reason: "nested too deep"}
		}
	}
	return nil
}

// indentOf returns the indentation level of a token as the library counts it.
func indentOf(t *token.Token) int {
	if t.Position == nil {
		return 0
	}
	return t.Position.IndentLevel
}

func (r *reader) readSection(file string, kind EntryKind, value ast.Node) {
	r.eachEntry(file, string(kind), value, func(name string, at Origin, value ast.Node) {
		if !isValidName(name) {
			r.failAt(at, "name %q is not one word of lower-case letters and digits", name)
		}
		if old, ok := r.sections[kind][name]; ok {
			r.failAt(at, "duplicate name %q, first at %s:%d", name, old.origin.File, old.origin.Line)
			return
		}
		e := entry{name: name, origin: at, fields: map[string]setting{}}
		r.eachEntry(file, name, value, func(field string, at Origin, value ast.Node) {
			at.Name = name
			if field != "parent" {
				r.addField(e.fields, field, newSetting(value, at))
				return
			}
			if e.parent.kind != absent {
				r.failAt(at, "duplicate name %q", field)
				return
			}
			e.parent = newSetting(value, at)
		})
		r.sections[kind][name] = e
	})
}

func (r *reader) addField(fields map[string]setting, name string, s setting) {
	if old, ok := fields[name]; ok {
		r.failAt(s.origin, "duplicate name %q, first at %s:%d", name, old.origin.File, old.origin.Line)
		return
	}
	fields[name] = s
}

// eachEntry calls each for every entry of a mapping; a null value counts as an empty mapping.
func (r *reader) eachEntry(file, what string, n ast.Node, each func(name string, at Origin, value ast.Node)) {
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
