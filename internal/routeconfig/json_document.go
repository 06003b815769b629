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

// jsonNode is a value in a JSON text, with its offset.
type jsonNode struct {
	offset    int             // of its first byte
	scalar    json.RawMessage // the text of a string, a number, true, false or null
	members   []jsonMember    // of an object, in order
	items     []*jsonNode     // of a list
	kind      json.Delim      // '{' or '[', 0 for a scalar
	isOmitted bool            // the value has the wrong type; writeReadable leaves it out
}

// jsonMember is a member of an object.
type jsonMember struct {
	name   string
	offset int // of the name
	value  *jsonNode
}

// maxDepth bounds the nesting of a text, and so the recursion. Configurations are nested far less deeply.
const maxDepth = 64

// errTooDeep rejects a text that is nested deeper than maxDepth.
var errTooDeep = errors.New("nested too deep")

// jsonDocument is a JSON text that is checked against the message type that it encodes. Paths such as Routes[2].TimeoutMs
// identify positions in the text.
type jsonDocument struct {
	text    []byte
	lines   diagnostic.Lines
	decoder *json.Decoder
	offsets map[string]int       // of values, by path
	faults  []diagnostic.Finding // values of the wrong type
	unknown []diagnostic.Finding // fields that the type doesn't have
}

// parseDocument parses a text and returns its outermost value. If the text is not JSON, it returns an error, and the document can
// only be used to find the line of the error.
func parseDocument(text []byte) (*jsonDocument, *jsonNode, error) {
	d := &jsonDocument{text: text, lines: diagnostic.NewLines(text), decoder: json.NewDecoder(bytes.NewReader(text)), offsets: map[string]int{}}
	d.decoder.UseNumber()
	root, err := d.parseValue(0)
	if err != nil {
		return d, nil, err
	}
	if _, err := d.decoder.Token(); !errors.Is(err, io.EOF) {
		return d, nil, errors.New("something stands behind the configuration")
	}
	return d, root, nil
}

// nextOffset returns the offset of the next value.
func (d *jsonDocument) nextOffset() int {
	offset := int(d.decoder.InputOffset())
	for offset < len(d.text) && bytes.IndexByte([]byte(" \t\r\n:,"), d.text[offset]) >= 0 {
		offset++
	}
	return offset
}

// parseValue parses the next value.
func (d *jsonDocument) parseValue(depth int) (*jsonNode, error) {
	if depth > maxDepth {
		return nil, errTooDeep
	}
	n := &jsonNode{offset: d.nextOffset()}
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
		if err := d.parseElement(n, depth+1); err != nil {
			return nil, err
		}
	}
	_, err = d.decoder.Token() // the closing delimiter
	return n, err
}

// parseElement parses the next member of an object or item of a list.
func (d *jsonDocument) parseElement(parent *jsonNode, depth int) error {
	if parent.kind == '[' {
		item, err := d.parseValue(depth)
		parent.items = append(parent.items, item)
		return err
	}
	field := jsonMember{offset: d.nextOffset()}
	name, err := d.decoder.Token()
	if err != nil {
		return err
	}
	field.name = name.(string) // a decoder returns names as strings
	field.value, err = d.parseValue(depth)
	parent.members = append(parent.members, field)
	return err
}

// newFinding returns a finding with the line and column of an offset.
func (d *jsonDocument) newFinding(offset int, path, text string) diagnostic.Finding {
	line, column := d.lines.At(offset)
	return diagnostic.Finding{Line: line, Column: column, Path: path, Text: text}
}

// addFault records a value of the wrong type and marks it as omitted.
func (d *jsonDocument) addFault(n *jsonNode, path, format string, args ...any) {
	n.isOmitted = true
	d.faults = append(d.faults, d.newFinding(n.offset, path, fmt.Sprintf(format, args...)))
}

// checkMessage checks a value against a message type, and records unknown fields and values of the wrong type.
func (d *jsonDocument) checkMessage(n *jsonNode, path string, descriptor protoreflect.MessageDescriptor) {
	d.offsets[path] = n.offset
	if n.isNull() {
		return
	}
	if n.kind != '{' {
		d.addFault(n, path, "want an object")
		return
	}
	seen := map[string]bool{}
	for _, member := range n.members {
		fieldPath := joinPath(path, member.name)
		if seen[member.name] {
			d.addFault(member.value, fieldPath, "stands twice")
			continue
		}
		seen[member.name] = true
		field := descriptor.Fields().ByJSONName(member.name)
		if field == nil {
			field = descriptor.Fields().ByTextName(member.name)
		}
		if field == nil {
			d.unknown = append(d.unknown, d.newFinding(member.offset, fieldPath, "not known, passed over"))
			continue
		}
		d.checkField(member.value, fieldPath, field)
	}
}

// checkField checks a value against the type of a field, which may be a list.
func (d *jsonDocument) checkField(n *jsonNode, path string, descriptor protoreflect.FieldDescriptor) {
	d.offsets[path] = n.offset
	if !descriptor.IsList() {
		d.checkValue(n, path, descriptor)
		return
	}
	if n.isNull() {
		return
	}
	if n.kind != '[' {
		d.addFault(n, path, "want a list")
		return
	}
	for i, item := range n.items {
		itemPath := path + "[" + strconv.Itoa(i) + "]"
		d.offsets[itemPath] = item.offset
		d.checkValue(item, itemPath, descriptor)
	}
}

// checkValue checks a value against the type of a field that is no list, or of the items of a list.
func (d *jsonDocument) checkValue(n *jsonNode, path string, descriptor protoreflect.FieldDescriptor) {
	if descriptor.Kind() == protoreflect.MessageKind {
		d.checkMessage(n, path, descriptor.Message())
		return
	}
	if n.isNull() {
		return
	}
	var value any
	if n.kind != 0 || json.Unmarshal(n.scalar, &value) != nil {
		d.addFault(n, path, "want %s", describeKind(descriptor.Kind()))
		return
	}
	if !matchesKind(descriptor.Kind(), value, n.scalar) {
		d.addFault(n, path, "want %s, not %s", describeKind(descriptor.Kind()), quoteValue(path, n.scalar))
	}
}

func (n *jsonNode) isNull() bool { return n.kind == 0 && string(n.scalar) == "null" }

// The sizes of numbers, in bits.
const (
	int32Bits   = 32
	int64Bits   = 64
	float64Bits = 64
)

// matchesKind reports whether protojson can read a scalar as a field of a kind. Numbers may be in quotes.
func matchesKind(kind protoreflect.Kind, value any, text []byte) bool {
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
		_, err = strconv.ParseInt(number, 10, int32Bits)
	case protoreflect.Int64Kind:
		_, err = strconv.ParseInt(number, 10, int64Bits)
	case protoreflect.Uint64Kind:
		_, err = strconv.ParseUint(number, 10, int64Bits)
	default:
		_, err = strconv.ParseFloat(number, float64Bits)
	}
	return err == nil
}

// describeKind returns the description of a kind for error texts.
func describeKind(kind protoreflect.Kind) string {
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

// joinPath returns the path of a field in the object at a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// writeReadable writes the value as JSON without omitted values, so that protojson can read it.
func (n *jsonNode) writeReadable(out *bytes.Buffer) {
	switch n.kind {
	case '{':
		out.WriteByte('{')
		first := true
		for _, member := range n.members {
			if member.value.isOmitted {
				continue
			}
			if !first {
				out.WriteByte(',')
			}
			first = false
			name, _ := json.Marshal(member.name) // never fails for a string
			out.Write(name)
			out.WriteByte(':')
			member.value.writeReadable(out)
		}
		out.WriteByte('}')
	case '[':
		out.WriteByte('[')
		for i, item := range n.items {
			if i > 0 {
				out.WriteByte(',')
			}
			if item.isOmitted {
				out.WriteString("{}") // keeps the indexes of the other items
				continue
			}
			item.writeReadable(out)
		}
		out.WriteByte(']')
	default:
		out.Write(n.scalar)
	}
}
