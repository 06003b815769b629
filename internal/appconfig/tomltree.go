package appconfig

import (
	"errors"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxRepairs limits the syntax errors that are reported for one text, since each of them requires parsing the text again.
const maxRepairs = 20

// maxNames limits the entries of a table up to which the text is also validated by the TOML library, whose cost grows with
// the square of the entries.
const maxNames = 500

var (
	expressionStart = regexp.MustCompile(`^\s*(\[|[A-Za-z0-9_"'.-]+(\s*\.\s*[A-Za-z0-9_"'.-]+)*\s*=)`)
	keyOfLine       = regexp.MustCompile(`^\s*([A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*)\s*[=:]`)
	headerOfLine    = regexp.MustCompile(`^\s*(\[\[?)\s*([A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*)`)
)

// parseTOML parses a text completely, even if it has syntax errors. Since the parser stops at the first error, the invalid
// expression is blanked out, its key is kept as a node of kind broken, and the text is parsed again.
func (f *File) parseTOML() *node {
	repaired := append([]byte(nil), f.Text...)
	for range maxRepairs {
		root, end, err := f.parseTree(repaired)
		if err == nil {
			return root
		}
		at, why := end, err.Error()
		var parse *unstable.ParserError
		if errors.As(err, &parse) {
			at, why = max(offsetIn(repaired, parse.Highlight), end), parse.Message
		}
		f.faultAt(Syntax, at, "", strings.TrimPrefix(why, "toml: "))
		if !f.blankOut(repaired, end, at) {
			return root
		}
	}
	root, _, _ := f.parseTree(repaired)
	return root
}

// offsetIn returns the offset of part, a subslice of text; 0 if it is none.
func offsetIn(text, part []byte) int {
	if cap(part) == 0 || cap(part) > cap(text) {
		return 0
	}
	return min(cap(text)-cap(part), len(text))
}

// lost is an invalid expression that was removed from the text: a field or a table header.
type lost struct {
	offset int
	keys   []string
	kind   unstable.Kind
}

// blankOut replaces the expression that starts after end and has a syntax error at offset at by spaces, and records its key
// in f.lost. It reports whether there was anything to remove.
func (f *File) blankOut(text []byte, end, at int) bool {
	first := lineStart(text, at)
	from := 0
	if end > 0 {
		from = lineEnd(text, end) + 1
	}
	for ; from < first; from = lineEnd(text, from) + 1 {
		if expressionStart.Match(text[from:lineEnd(text, from)]) {
			first = from
		}
	}
	to := lineEnd(text, first)
	for to < len(text) && !expressionStart.Match(text[to+1:lineEnd(text, to+1)]) {
		to = lineEnd(text, to+1)
	}
	row := string(text[first:lineEnd(text, first)])
	if m := keyOfLine.FindStringSubmatchIndex(row); m != nil {
		f.lost = append(f.lost, lost{first + m[2], strings.Split(row[m[2]:m[3]], "."), unstable.KeyValue})
	} else if m := headerOfLine.FindStringSubmatchIndex(row); m != nil {
		kind := unstable.Table
		if row[m[2]:m[3]] == "[[" {
			kind = unstable.ArrayTable
		}
		f.lost = append(f.lost, lost{first + m[4], strings.Split(row[m[4]:m[5]], "."), kind})
	}
	slices.SortFunc(f.lost, func(a, b lost) int { return a.offset - b.offset })
	did := false
	for i := first; i < to; i++ {
		if text[i] != '\n' {
			did = did || text[i] != ' '
			text[i] = ' '
		}
	}
	return did
}

func lineStart(text []byte, at int) int {
	for at = min(at, len(text)); at > 0 && text[at-1] != '\n'; at-- {
	}
	return at
}

// lineEnd returns the offset of the line feed that ends the line at an offset, or the length of the text.
func lineEnd(text []byte, from int) int {
	for i := min(from, len(text)); i < len(text); i++ {
		if text[i] == '\n' {
			return i
		}
	}
	return len(text)
}

// parseTree parses a text up to its first syntax error; end is the end of the valid part.
func (f *File) parseTree(raw []byte) (root *node, end int, err error) {
	root = &node{kind: table, header: true}
	b := &builder{f: f, root: root, at: root}
	p := &b.p
	p.Reset(raw)
	faults := len(f.Faults)
	for p.NextExpression() {
		e := p.Expression()
		b.expression(e)
		end = b.end
	}
	if err := p.Error(); err != nil {
		f.Faults = f.Faults[:faults] // the next pass finds them again
		return root, end, err
	}
	b.restoreLost(len(raw))
	if faults == 0 && len(f.Faults) == 0 && !b.huge && b.widest < maxNames { // for errors that the builder does not detect: dates that do not exist, tables that are extended wrongly
		var all map[string]any
		var decode *toml.DecodeError
		if err := toml.Unmarshal(raw, &all); errors.As(err, &decode) {
			line, column := decode.Position()
			f.fault(Syntax, Place{Line: line, Column: column}, "", strings.TrimPrefix(decode.Error(), "toml: "))
		}
	}
	return root, end, nil
}

// builder builds the tree from the parser's expressions.
type builder struct {
	f      *File
	p      unstable.Parser
	root   *node
	at     *node // the table that fields go into
	end    int   // offset after the last expression that was read
	widest int   // entries of the largest table
	huge   bool  // a number is out of range, which the decoder reports
	lost   int   // number of entries of f.lost that are in the tree already
}

// restoreLost adds the removed expressions before an offset to the tree. Otherwise fields below an invalid header would be
// taken as fields of the previous table, and a field with an invalid value would be reported as missing.
func (b *builder) restoreLost(before int) {
	for ; b.lost < len(b.f.lost) && b.f.lost[b.lost].offset < before; b.lost++ {
		l := &b.f.lost[b.lost]
		var keys []*node
		for _, key := range l.keys {
			keys = append(keys, &node{key: key, offset: l.offset})
		}
		if l.kind != unstable.KeyValue {
			b.open(l.kind, keys)
			continue
		}
		last := keys[len(keys)-1]
		if parent := b.descend(b.at, keys[:len(keys)-1]); parent.get(last.key) == nil {
			parent.put(last.key, &node{kind: broken, offset: l.offset})
		}
	}
}

func (b *builder) offset(n *unstable.Node) int {
	b.end = max(b.end, int(n.Raw.Offset+n.Raw.Length))
	return int(n.Raw.Offset)
}

func (b *builder) expression(e *unstable.Node) {
	var keys []*node
	for it := e.Key(); it.Next(); {
		keys = append(keys, &node{key: string(it.Node().Data), offset: b.offset(it.Node())})
	}
	if len(keys) == 0 {
		return
	}
	b.restoreLost(keys[0].offset)
	if e.Kind != unstable.KeyValue {
		b.open(e.Kind, keys)
		return
	}
	b.field(b.descend(b.at, keys[:len(keys)-1]), keys[len(keys)-1], e.Value())
}

// open makes the table of a header the current one, to which the following fields belong.
func (b *builder) open(kind unstable.Kind, keys []*node) {
	last := keys[len(keys)-1]
	parent := b.descend(b.root, keys[:len(keys)-1])
	if kind == unstable.Table {
		b.at = b.tableAt(parent, last)
		return
	}
	l := parent.get(last.key)
	if l == nil {
		l = &node{kind: list, offset: last.offset}
		parent.put(last.key, l)
	} else if l.kind != list || l.inline {
		b.f.faultAt(Twice, last.offset, last.key, b.f.lineAt(l.offset))
		l = &node{kind: list}
	}
	b.at = &node{kind: table, offset: last.offset, header: true}
	l.items = append(l.items, b.at)
}

// field adds a field to a table. A repeated field is a fault and the first value is kept.
func (b *builder) field(parent, key *node, value *unstable.Node) {
	v := b.value(value, key.offset)
	v.offset = key.offset
	if old := parent.get(key.key); old != nil {
		b.f.faultAt(Twice, key.offset, key.key, b.f.lineAt(old.offset))
		return
	}
	parent.put(key.key, v)
	b.widest = max(b.widest, len(parent.items))
}

// descend returns the table at a path of keys and creates missing ones. In a list of tables it takes the last.
func (b *builder) descend(n *node, keys []*node) *node {
	for _, k := range keys {
		next := n.get(k.key)
		switch {
		case next == nil:
			next = &node{kind: table, offset: k.offset}
			n.put(k.key, next)
		case next.kind == list && len(next.items) > 0 && next.items[len(next.items)-1].kind == table:
			next = next.items[len(next.items)-1]
		case next.kind != table || next.inline:
			b.f.faultAt(Twice, k.offset, k.key, b.f.lineAt(next.offset))
			next = &node{kind: table}
		}
		n = next
	}
	return n
}

func (b *builder) tableAt(parent, key *node) *node {
	t := parent.get(key.key)
	switch {
	case t == nil:
		t = &node{kind: table, offset: key.offset}
		parent.put(key.key, t)
	case t.kind != table || t.inline || t.header:
		b.f.faultAt(Twice, key.offset, key.key, b.f.lineAt(t.offset))
		t = &node{kind: table}
	}
	t.header = true
	return t
}

func (b *builder) value(v *unstable.Node, at int) *node {
	if v.Raw.Length > 0 {
		at = b.offset(v)
	}
	n := &node{offset: at, text: string(v.Data)}
	switch v.Kind {
	case unstable.String:
		n.kind = text
	case unstable.Bool:
		n.kind, n.truth = boolean, n.text == "true"
	case unstable.Integer:
		n.kind = integer
		integral, err := strconv.ParseInt(strings.ReplaceAll(n.text, "_", ""), 0, 64)
		n.integer, n.number, n.huge = integral, float64(integral), err != nil
		b.huge = b.huge || n.huge
	case unstable.Float:
		n.kind = float
		number, err := strconv.ParseFloat(strings.ReplaceAll(n.text, "_", ""), 64)
		n.number, n.huge = number, err != nil
		b.huge = b.huge || n.huge
	case unstable.Array:
		n.kind, n.inline = list, true
		for it := v.Children(); it.Next(); {
			if it.Node().Kind != unstable.Comment {
				n.items = append(n.items, b.value(it.Node(), at))
			}
		}
	case unstable.InlineTable:
		n.kind = table
		for it := v.Children(); it.Next(); {
			var keys []*node
			for k := it.Node().Key(); k.Next(); {
				keys = append(keys, &node{key: string(k.Node().Data), offset: b.offset(k.Node())})
			}
			if len(keys) > 0 {
				b.field(b.descend(n, keys[:len(keys)-1]), keys[len(keys)-1], it.Node().Value())
			}
		}
		n.inline = true
	default:
		n.kind = moment
	}
	return n
}
