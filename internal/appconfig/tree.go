package appconfig

import (
	"slices"
	"strings"
)

// kind is the type of a node.
type kind uint8

const (
	table kind = iota
	list
	text
	integer
	float
	boolean
	moment // a date or a time of TOML
	null
	broken // invalid syntax that was reported already; no further faults are derived from it
)

var kindNames = [...]string{"a table", "a list", "text", "a whole number", "a number", "true or false", "a date", "null", "nonsense"}

// String implements fmt.Stringer.
func (k kind) String() string { return kindNames[k] }

// node is a value in the syntax tree of a TOML or JSON file, with its position.
type node struct {
	kind    kind
	key     string // in the table that holds it
	offset  int    // of its key; in a list, of the value
	text    string // the value of a text, or a number as written
	integer int64
	number  float64
	huge    bool // a number that doesn't fit into its type
	truth   bool
	items   []*node
	byKey   map[string]*node
	inline  bool // an inline table or array, which TOML doesn't allow to be extended elsewhere
	header  bool // a table whose own header was read
}

// get returns a table's entry, nil where there is none.
func (n *node) get(key string) *node {
	if n == nil || n.kind != table {
		return nil
	}
	return n.byKey[key]
}

// put adds an entry to a table. Callers check first that its key is not taken.
func (n *node) put(key string, e *node) {
	if n.byKey == nil {
		n.byKey = map[string]*node{}
	}
	e.key = key
	n.byKey[key] = e
	n.items = append(n.items, e)
}

// walk follows a path of keys like "a/b" from a table. In a file of features "a.b" may also be a single key at the top level.
func (n *node) walk(path string) *node {
	if e := n.get(strings.ReplaceAll(path, "/", ".")); e != nil {
		return e
	}
	for _, key := range strings.Split(path, "/") {
		next := n.get(key)
		if next == nil {
			next = n.getFolded(key)
		}
		if n = next; n == nil {
			return nil
		}
	}
	return n
}

// getFolded returns the entry whose key matches without regard to case. The sidecar reads its files with encoding/json, which
// accepts such keys; without this, the checks would examine another configuration than the one in use.
func (n *node) getFolded(key string) *node {
	if n == nil || n.kind != table {
		return nil
	}
	for _, e := range n.items {
		if len(e.key) == len(key) && strings.EqualFold(e.key, key) {
			return e
		}
	}
	return nil
}

// gather returns the table of a name, including the entries that are written outside it as "name.key".
func (n *node) gather(name string) *node {
	e := n.get(name)
	all := &node{kind: table, key: name}
	if e != nil {
		if e.kind != table {
			return e
		}
		all.offset, all.items = e.offset, slices.Clone(e.items)
	}
	for _, other := range n.items {
		if rest, ok := strings.CutPrefix(other.key, name+"."); ok {
			part := *other
			part.key = rest
			if all.offset == 0 {
				all.offset = other.offset
			}
			all.items = append(all.items, &part)
		}
	}
	if e == nil && len(all.items) == 0 {
		return nil
	}
	return all
}

// value converts a node to plain Go values, for sections that the model doesn't describe.
func (n *node) value() any {
	switch n.kind {
	case table:
		m := map[string]any{}
		for _, e := range n.items {
			m[e.key] = e.value()
		}
		return m
	case list:
		all := []any{}
		for _, e := range n.items {
			all = append(all, e.value())
		}
		return all
	case integer:
		return n.integer
	case float:
		if integral := int64(n.number); float64(integral) == n.number && integral > -1<<53 && integral < 1<<53 {
			return integral // JSON does not distinguish 1.0 from 1
		}
		return n.number
	case boolean:
		return n.truth
	case null, broken:
		return nil
	}
	return n.text
}
