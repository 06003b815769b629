// Package tomlfile reads TOML strictly and knows where each field stands, so that whatever is wrong with a file is one
// line that names the file, the line and the field.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is a fault of a TOML file, with its place.
type Error struct {
	File      string
	Line, Col int
	Field     string // its path, like load[1].rate; may be empty
	Why       string
}

// Error returns file, line, column, field and reason in one line.
func (e *Error) Error() string {
	field := ""
	if e.Field != "" {
		field = e.Field + ": "
	}
	return fmt.Sprintf("%s:%d:%d: %s%s", e.File, e.Line, e.Col, field, e.Why)
}

// Duration is a time like "1.5s". What can't be read as one is kept, for Err to tell: the reader itself can't say where
// such a text stands.
type Duration struct {
	time.Duration
	why string
}

// UnmarshalText takes the file's text.
func (d *Duration) UnmarshalText(text []byte) error {
	var err error
	if d.Duration, err = time.ParseDuration(string(text)); err != nil {
		d.why = fmt.Sprintf("%q is not a time like \"1.5s\"", text)
	}
	return nil
}

// MarshalText writes what UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Why returns what is wrong with the text, empty if nothing is.
func (d *Duration) Why() string { return d.why }

// File is a text that has been read.
type File struct {
	name   string
	places map[string]unstable.Position
}

// Read reads a text into v, strictly; name is what errors call it. Every error is an *Error.
func Read(name string, text []byte, v any) (*File, error) {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
	if err == nil {
		return &File{name: name, places: places(text)}, nil
	}
	e := &Error{File: name, Line: 1, Col: 1, Why: strings.TrimPrefix(err.Error(), "toml: ")}
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case errors.As(err, &strict) && len(strict.Errors) > 0:
		first := &strict.Errors[0]
		e.Line, e.Col = first.Position()
		e.Field, e.Why = strings.Join(first.Key(), "."), "no such field"
	case errors.As(err, &decode):
		e.Line, e.Col = decode.Position()
		e.Field, e.Why = strings.Join(decode.Key(), "."), strings.TrimPrefix(decode.Error(), "toml: ")
	}
	e.Why, _, _ = strings.Cut(e.Why, "\n")
	return nil, e
}

// Has reports whether the file has a field, by its path.
func (f *File) Has(path string) bool {
	_, ok := f.places[path]
	return ok
}

// Fault returns the error of a field, by its path. One that is not in the file has the line of the table it belongs to.
func (f *File) Fault(path, why string) *Error {
	e := &Error{File: f.name, Line: 1, Col: 1, Field: path, Why: why}
	for at := path; at != ""; {
		if p, ok := f.places[at]; ok {
			e.Line, e.Col = p.Line, p.Column
			break
		}
		i := strings.LastIndexAny(at, ".[")
		at = at[:max(i, 0)]
	}
	return e
}

// places returns where each key, table and element of an array of tables stands.
func places(text []byte) map[string]unstable.Position {
	w := walker{places: map[string]unstable.Position{}, count: map[string]int{}}
	w.parser.Reset(text)
	table := ""
	for w.parser.NextExpression() {
		e := w.parser.Expression()
		path, at := w.key(e)
		switch e.Kind {
		case unstable.Table:
			table = path
			w.places[table] = at
		case unstable.ArrayTable:
			n := w.count[path]
			w.count[path]++
			table = fmt.Sprintf("%s[%d]", path, n)
			w.places[table] = at
		case unstable.KeyValue:
			w.value(join(table, path), at, e.Value())
		}
	}
	return w.places
}

type walker struct {
	parser unstable.Parser
	places map[string]unstable.Position
	count  map[string]int // elements of each array of tables so far
}

// key returns an expression's key as a path, and where it begins.
func (w *walker) key(e *unstable.Node) (path string, at unstable.Position) {
	for keys := e.Key(); keys.Next(); {
		node := keys.Node()
		if path == "" {
			at = w.parser.Shape(node.Raw).Start
		}
		path = join(path, string(node.Data))
	}
	return path, at
}

func (w *walker) value(path string, at unstable.Position, v *unstable.Node) {
	w.places[path] = at
	switch v.Kind {
	case unstable.InlineTable:
		for fields := v.Children(); fields.Next(); {
			key, at := w.key(fields.Node())
			w.value(join(path, key), at, fields.Node().Value())
		}
	case unstable.Array:
		i := 0
		for elements := v.Children(); elements.Next(); {
			if elements.Node().Kind == unstable.Comment {
				continue
			}
			w.value(fmt.Sprintf("%s[%d]", path, i), at, elements.Node())
			i++
		}
	}
}

func join(a, b string) string {
	if a == "" {
		return b
	}
	return a + "." + b
}
