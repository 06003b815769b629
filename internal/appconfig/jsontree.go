package appconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
)

// maxDepth limits the nesting of a JSON text. Valid configurations are far below it.
const maxDepth = 64

// listField holds the endpoint list, which only the platform writes. It is skipped: it may be a hundred times as large as the
// rest of the file, and a sidecar checks its file during startup.
const listField = "known"

var errDepth = errors.New("nested too deep")

// parseJSON parses a JSON text; nil if it is invalid. Of a repeated field the last value counts, as it does in the sidecar.
func (f *File) parseJSON() *node {
	var raw json.RawMessage
	if err := json.Unmarshal(f.Text, &raw); err != nil {
		at := len(f.Text)
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			at = int(syntax.Offset) - 1
			if strings.Contains(err.Error(), "unexpected end") {
				at = len(bytes.TrimRight(f.Text, " \t\r\n"))
			}
		}
		f.faultAt(Syntax, at, "", strings.TrimPrefix(err.Error(), "json: "))
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(f.Text))
	d.UseNumber()
	n, err := f.jsonValue(d, 0)
	if err != nil {
		if errors.Is(err, errDepth) {
			f.faultAt(TooDeep, int(d.InputOffset()), "", maxDepth)
		} else if !errors.Is(err, io.EOF) {
			f.faultAt(Syntax, int(d.InputOffset()), "", err.Error())
		}
		return nil
	}
	return n
}

// next returns the offset of the next token.
func (f *File) next(d *json.Decoder) int {
	at := int(d.InputOffset())
	for at < len(f.Text) && strings.IndexByte(" \t\r\n,:", f.Text[at]) >= 0 {
		at++
	}
	return at
}

func (f *File) jsonValue(d *json.Decoder, depth int) (*node, error) {
	if depth > maxDepth {
		return nil, errDepth
	}
	n := &node{offset: f.next(d)}
	token, err := d.Token()
	if err != nil {
		return nil, err
	}
	switch v := token.(type) {
	case json.Delim:
		if v == '[' {
			n.kind = list
			for d.More() {
				e, err := f.jsonValue(d, depth+1)
				if err != nil {
					return nil, err
				}
				n.items = append(n.items, e)
			}
		} else {
			n.kind = table
			for d.More() {
				if err := f.jsonField(d, n, depth); err != nil {
					return nil, err
				}
			}
		}
		if _, err := d.Token(); err != nil { // the closing delimiter
			return nil, err
		}
	case string:
		n.kind, n.text = text, v
	case bool:
		n.kind, n.truth = boolean, v
	case json.Number:
		n.text = v.String()
		n.number, err = strconv.ParseFloat(n.text, 64)
		n.kind, n.huge = float, err != nil
		if integral, err := strconv.ParseInt(n.text, 10, 64); err == nil {
			n.kind, n.integer = integer, integral
		} else if !strings.ContainsAny(n.text, ".eE") {
			n.kind, n.huge = integer, true
		}
	default:
		n.kind = null
	}
	return n, nil
}

func (f *File) jsonField(d *json.Decoder, n *node, depth int) error {
	at := f.next(d)
	token, err := d.Token()
	if err != nil {
		return err
	}
	key, _ := token.(string) // always a string, since the text is valid JSON
	var e *node
	if depth == 0 && key == listField {
		var list json.RawMessage
		err, e = d.Decode(&list), &node{kind: table}
	} else {
		e, err = f.jsonValue(d, depth+1)
	}
	if err != nil {
		return err
	}
	e.offset = at
	if old := n.get(key); old != nil {
		f.faultAt(Twice, at, key, f.lineAt(old.offset))
		*old = *e
		old.key = key
		return nil
	}
	n.put(key, e)
	return nil
}
