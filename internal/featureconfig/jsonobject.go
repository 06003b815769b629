package featureconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// object is a JSON object that is read field by field. It keeps the first error. Fields that are never read are reported as
// unknown by firstError.
type object struct {
	path     string // of the object in the file, followed by a dot; empty for the top level
	fields   map[string]json.RawMessage
	known    map[string]bool
	children []*object
	err      error
}

// readObject splits an object into its fields. A repeated field is an error: encoding/json would silently keep the last
// value, where the operator may have meant the first.
func readObject(path string, raw json.RawMessage) (*object, error) {
	o := &object{path: path, fields: map[string]json.RawMessage{}, known: map[string]bool{}}
	d := json.NewDecoder(bytes.NewReader(raw))
	where := strings.TrimSuffix(path, ".")
	if where == "" {
		where = "the file"
	}
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return o, fmt.Errorf("%s: not a JSON object", where)
	}
	for d.More() {
		name, err := d.Token()
		var value json.RawMessage
		if err == nil {
			err = d.Decode(&value)
		}
		if err != nil {
			return o, fmt.Errorf("%s: not JSON: %w", where, err)
		}
		key := name.(string) // a token between the braces of an object is a key here, and keys are strings
		if _, twice := o.fields[key]; twice {
			return o, fmt.Errorf("%s%s: given twice", path, key)
		}
		o.fields[key] = value
	}
	if _, err := d.Token(); err != nil {
		return o, fmt.Errorf("%s: not JSON: %w", where, err)
	}
	if d.More() {
		return o, fmt.Errorf("%s: more follows the object", where)
	}
	return o, nil
}

// fail records that a field is invalid, unless an error was recorded before.
func (o *object) fail(name, problem string) {
	if o.err == nil {
		o.err = fmt.Errorf("%s%s: %s", o.path, name, problem)
	}
}

// take returns a field's raw JSON and marks the field as known.
func (o *object) take(name string) (json.RawMessage, bool) {
	raw, ok := o.fields[name]
	o.known[name] = true
	return raw, ok
}

// decodeField decodes the named field into v if the object has it. A value that can't be decoded or that isValid rejects is recorded as
// an error; expected describes the valid values in its message.
func decodeField[T any](o *object, name string, v *T, expected string, isValid func(T) bool) {
	raw, ok := o.take(name)
	if !ok {
		return
	}
	if string(raw) == "null" || json.Unmarshal(raw, v) != nil || !isValid(*v) {
		o.fail(name, "want "+expected)
	}
}

// require records an error for the first of these fields that is missing.
func (o *object) require(names ...string) {
	for _, name := range names {
		if _, ok := o.fields[name]; !ok {
			o.fail(name, "missing")
		}
	}
}

// child returns the object in a field, or an empty one if the field is absent.
func (o *object) child(name string) *object {
	raw, ok := o.take(name)
	if !ok {
		raw = json.RawMessage("{}")
	}
	p, err := readObject(o.path+name+".", raw)
	p.err = err
	o.children = append(o.children, p)
	return p
}

// flatten moves the known fields of the nested object called name into o as "name.field", so that the file may use either
// form.
func (o *object) flatten(name string, known ...string) {
	raw, ok := o.take(name)
	if !ok {
		return
	}
	p, err := readObject(o.path+name+".", raw)
	o.children = append(o.children, p)
	p.err = err
	for _, field := range known {
		value, ok := p.take(field)
		if !ok {
			continue
		}
		dotted := name + "." + field
		if _, twice := o.fields[dotted]; twice {
			o.fail(dotted, "given twice, also in "+name)
		}
		o.fields[dotted] = value
	}
}

// list returns the objects in a field that holds a list of objects.
func (o *object) list(name string) []*object {
	var raws []json.RawMessage
	decodeField(o, name, &raws, "a list", func([]json.RawMessage) bool { return true })
	var parts []*object
	for i, raw := range raws {
		e, err := readObject(fmt.Sprintf("%s%s[%d].", o.path, name, i), raw)
		e.err = err
		parts = append(parts, e)
	}
	o.children = append(o.children, parts...)
	return parts
}

// firstError ends the reading. It returns the first error of the children, else that of the object itself, else an error for a
// field that was never read.
func (o *object) firstError() error {
	for _, p := range o.children {
		if err := p.firstError(); err != nil {
			return err
		}
	}
	if o.err != nil {
		return o.err
	}
	for _, name := range slices.Sorted(maps.Keys(o.fields)) {
		if !o.known[name] {
			return errors.New(o.path + name + ": unknown field")
		}
	}
	return nil
}
