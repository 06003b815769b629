package routeconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"google.golang.org/protobuf/reflect/protoreflect"

	"hazelwheel/internal/diagnostic"
)

// node is a value of a JSON text with its place.
type node struct {
	offset  int             // of its first byte
	scalar  json.RawMessage // of a string, a number, true, false or null
	members []namedNode     // of an object, in their order
	items   []*node         // of a list
	kind    json.Delim      // '{' or '[', 0 for a scalar
	dropped bool            // it can't be read, and is left out when the text is written again
}

// namedNode is a field of an object.
type namedNode struct {
	name   string
	offset int // of the name
	value  *node
}

// mostDepth bounds how deep a text may be nested; no configuration comes near it.
const mostDepth = 64

var errDepth = errors.New("nested too deep")

// document is a JSON text that is read by places.
type document struct {
	text    []byte
	lines   diagnostic.Lines
	decoder *json.Decoder
	places  map[string]int // offsets of values, by place
	faults  []diagnostic.Finding
	unknown []diagnostic.Finding
}

// newDocument returns a document and its outermost value; an error says that it is no JSON text.
func newDocument(text []byte) (*document, *node, error) {
	d := &document{text: text, lines: diagnostic.NewLines(text), decoder: json.NewDecoder(bytes.NewReader(text)), places: map[string]int{}}
	d.decoder.UseNumber()
	root, err := d.value(0)
	if err != nil {
		return d, nil, err
	}
	if _, err := d.decoder.Token(); err != io.EOF {
		return d, nil, errors.New("something stands behind the configuration")
	}
	return d, root, nil
}

// begin returns where the next value begins.
func (d *document) begin() int {
	at := int(d.decoder.InputOffset())
	for at < len(d.text) && bytes.IndexByte([]byte(" \t\r\n:,"), d.text[at]) >= 0 {
		at++
	}
	return at
}

func (d *document) value(depth int) (*node, error) {
	if depth > mostDepth {
		return nil, errDepth
	}
	n := &node{offset: d.begin()}
	token, err := d.decoder.Token()
	if err != nil {
		return nil, err
	}
	delimiter, ok := token.(json.Delim)
	if !ok {
		n.scalar = d.text[n.offset:d.decoder.InputOffset()]
		return n, nil
	}
	n.kind = delimiter
	for d.decoder.More() {
		if err := d.element(n, depth+1); err != nil {
			return nil, err
		}
	}
	_, err = d.decoder.Token() // the end
	return n, err
}

// element reads a field of an object, or an item of a list.
func (d *document) element(of *node, depth int) error {
	if of.kind == '[' {
		item, err := d.value(depth)
		of.items = append(of.items, item)
		return err
	}
	field := namedNode{offset: d.begin()}
	name, err := d.decoder.Token()
	if err != nil {
		return err
	}
	field.name = name.(string) // the decoder returns nothing else for a name
	field.value, err = d.value(depth)
	of.members = append(of.members, field)
	return err
}

func (d *document) found(offset int, place, text string) diagnostic.Finding {
	line, column := d.lines.At(offset)
	return diagnostic.Finding{Line: line, Column: column, Place: place, Text: text}
}

func (d *document) fault(n *node, place, format string, args ...any) {
	n.dropped = true
	d.faults = append(d.faults, d.found(n.offset, place, fmt.Sprintf(format, args...)))
}

// message compares an object with the type that is expected there: fields that are not known, values that can't be read.
func (d *document) message(n *node, place string, of protoreflect.MessageDescriptor) {
	d.places[place] = n.offset
	if n.null() {
		return
	}
	if n.kind != '{' {
		d.fault(n, place, "want an object")
		return
	}
	seen := map[string]bool{}
	for _, member := range n.members {
		fieldPlace := joined(place, member.name)
		if seen[member.name] {
			d.fault(member.value, fieldPlace, "stands twice")
			continue
		}
		seen[member.name] = true
		field := of.Fields().ByJSONName(member.name)
		if field == nil {
			field = of.Fields().ByTextName(member.name)
		}
		if field == nil {
			d.unknown = append(d.unknown, d.found(member.offset, fieldPlace, "not known, passed over"))
			continue
		}
		d.field(member.value, fieldPlace, field)
	}
}

func (d *document) field(n *node, place string, of protoreflect.FieldDescriptor) {
	d.places[place] = n.offset
	if !of.IsList() {
		d.single(n, place, of)
		return
	}
	if n.null() {
		return
	}
	if n.kind != '[' {
		d.fault(n, place, "want a list")
		return
	}
	for i, item := range n.items {
		itemPlace := place + "[" + strconv.Itoa(i) + "]"
		d.places[itemPlace] = item.offset
		d.single(item, itemPlace, of)
	}
}

func (d *document) single(n *node, place string, of protoreflect.FieldDescriptor) {
	if of.Kind() == protoreflect.MessageKind {
		d.message(n, place, of.Message())
		return
	}
	if n.null() {
		return
	}
	var value any
	if n.kind != 0 || json.Unmarshal(n.scalar, &value) != nil {
		d.fault(n, place, "want %s", wanted(of.Kind()))
		return
	}
	if !readable(of.Kind(), value, n.scalar) {
		d.fault(n, place, "want %s, not %s", wanted(of.Kind()), short(n.scalar))
	}
}

func (n *node) null() bool { return n.kind == 0 && string(n.scalar) == "null" }

// The widths of whole numbers, in bits.
const (
	narrow = 32
	wide   = 64
)

// readable tells whether a scalar can be read as a kind. Numbers may stand in quotes.
func readable(kind protoreflect.Kind, value any, text []byte) bool {
	number := string(text)
	if quoted, ok := value.(string); ok {
		number = quoted
	}
	var err error
	switch kind {
	case protoreflect.BoolKind:
		_, ok := value.(bool)
		return ok
	case protoreflect.StringKind:
		_, ok := value.(string)
		return ok
	case protoreflect.Int32Kind:
		_, err = strconv.ParseInt(number, 10, narrow)
	case protoreflect.Int64Kind:
		_, err = strconv.ParseInt(number, 10, wide)
	case protoreflect.Uint64Kind:
		_, err = strconv.ParseUint(number, 10, wide)
	default:
		_, err = strconv.ParseFloat(number, wide)
	}
	return err == nil
}

func wanted(kind protoreflect.Kind) string {
	switch kind {
	case protoreflect.BoolKind:
		return "true or false"
	case protoreflect.StringKind:
		return "a text"
	case protoreflect.Int32Kind, protoreflect.Int64Kind, protoreflect.Uint64Kind:
		return "a whole number"
	default:
		return "a number"
	}
}

func joined(place, name string) string {
	if place == "" {
		return name
	}
	return place + "." + name
}

// write returns the text without what can't be read.
func (n *node) write(out *bytes.Buffer) {
	switch n.kind {
	case '{':
		out.WriteByte('{')
		first := true
		for _, member := range n.members {
			if member.value.dropped {
				continue
			}
			if !first {
				out.WriteByte(',')
			}
			first = false
			name, _ := json.Marshal(member.name) // a string always marshals
			out.Write(name)
			out.WriteByte(':')
			member.value.write(out)
		}
		out.WriteByte('}')
	case '[':
		out.WriteByte('[')
		for i, item := range n.items {
			if i > 0 {
				out.WriteByte(',')
			}
			if item.dropped {
				out.WriteString("{}") // so that the others keep their places
				continue
			}
			item.write(out)
		}
		out.WriteByte(']')
	default:
		out.Write(n.scalar)
	}
}
