package appconfig

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
)

// decoder decodes a tree into the model. It continues after each fault.
type decoder struct {
	f    *File
	form form
	side string // prefix of paths in the model: "app." or "site."
}

// object decodes the top level of a file into v, a pointer to a struct.
func (d *decoder) object(v any, n *node) {
	d.fields(reflect.ValueOf(v).Elem(), n, d.side, "")
}

// fields decodes the fields of a struct. path is its path in the model and shown its name in the file, both followed by a
// dot. Rendered files are not divided into the tables of the model: there, fields have paths from the top of the file or,
// inside a list, from the element.
func (d *decoder) fields(v reflect.Value, n *node, path, shown string) {
	for _, f := range fieldsOf(v.Type()) {
		at, name, s := v.Field(f.index), f.in(d.form), (reflect.Type)(nil)
		var many bool
		if s, many = structure(f.kind); s != nil && !many {
			d.section(at, &f, n, path, shown)
			continue
		}
		if name == "" {
			continue
		}
		var e *node
		switch {
		case d.form == tomlForm:
			e = n.get(name)
		case f.kind.Kind() == reflect.Map:
			e = n.gather(name)
		default:
			e = n.walk(name)
		}
		field := path + f.name
		where := shown + strings.ReplaceAll(name, "/", ".")
		if e == nil || e.kind == null && d.form != tomlForm {
			if f.Need && !(f.name == "format") && !d.f.Bad(strings.TrimSuffix(path, ".")) {
				place := d.f.At(field)
				place.Field = where
				d.f.fault(Missing, place, field, f.Comment)
			}
			continue
		}
		d.f.places[field] = d.f.placeOf(e, where)
		switch {
		case e.kind == broken:
			d.f.bad[field] = true
		case s != nil:
			d.elements(at, s, &f, e, field, where)
		default:
			d.value(at, &f, e, field)
		}
	}
}

// section decodes a table of the model.
func (d *decoder) section(at reflect.Value, f *Field, n *node, path, shown string) {
	field := path + f.name
	optional := at.Kind() == reflect.Pointer
	if d.form == tomlForm {
		e := n.get(f.name)
		if e != nil {
			d.f.places[field] = d.f.placeOf(e, shown+f.name)
			switch {
			case e.kind == broken:
				d.f.bad[field] = true
				return
			case e.kind != table:
				d.f.faultField(WrongType, field, e.kind.String(), "a table, ["+shown+f.name+"]")
				return
			}
		}
		if e == nil && optional {
			return
		}
		if optional {
			at.Set(reflect.New(at.Type().Elem()))
			at = at.Elem()
			setDefaults(at)
		}
		if e == nil {
			e = &node{kind: table}
		}
		d.fields(at, e, field+".", shown+f.name+".")
		return
	}
	if optional {
		name := f.in(d.form)
		e, given := n.walk(name), false
		for _, other := range n.items {
			given = given || strings.HasPrefix(other.key, name+".")
		}
		if name == "" || e == nil && !given {
			return
		}
		if e != nil {
			d.f.places[field] = d.f.placeOf(e, name)
			if e.kind != table {
				d.f.faultField(WrongType, field, e.kind.String(), "an object")
				return
			}
		}
		at.Set(reflect.New(at.Type().Elem()))
		at = at.Elem()
		setDefaults(at)
	}
	d.fields(at, n, field+".", shown)
}

// elements decodes a list of tables.
func (d *decoder) elements(at reflect.Value, s reflect.Type, f *Field, e *node, field, where string) {
	if e.kind != list {
		wanted := "a list"
		if d.form == tomlForm {
			wanted = "a list of tables, [[" + where + "]]"
		}
		d.f.faultField(WrongType, field, e.kind.String(), wanted)
		return
	}
	for i, item := range e.items {
		v := reflect.New(s).Elem()
		setDefaults(v)
		one, shown := fmt.Sprintf("%s[%d]", field, i), fmt.Sprintf("%s[%d]", where, i)
		d.f.places[one] = d.f.placeOf(item, shown)
		if item.kind == table {
			d.fields(v, item, one+".", shown+".")
		} else if d.f.bad[one] = true; item.kind != broken {
			d.f.faultField(WrongType, one, item.kind.String(), "a table")
		}
		at.Set(reflect.Append(at, v))
	}
	if f.Need && len(e.items) == 0 {
		d.f.faultField(Missing, field, f.Comment)
	}
}

// value decodes a field that is not a table. An invalid field keeps its default.
func (d *decoder) value(at reflect.Value, f *Field, e *node, field string) {
	switch p := at.Addr().Interface().(type) {
	case *Duration:
		if v, ok := d.measure(f, e, field, func(s string) (float64, *unitError) { v, err := parseDuration(s); return float64(v), err }); ok {
			*p = Duration(v)
		}
	case *Size:
		if v, ok := d.measure(f, e, field, func(s string) (float64, *unitError) { v, err := parseSize(s); return float64(v), err }); ok {
			*p = Size(v)
		}
	case *float64:
		if v, ok := d.number(f, e, field); ok {
			*p = v
		}
	case *int:
		if v, ok := d.number(f, e, field); ok {
			if v != math.Trunc(v) {
				d.f.faultField(NotInteger, field, e.text)
			} else {
				*p = int(v)
			}
		}
	case *bool:
		if e.kind != boolean {
			d.f.faultField(WrongType, field, e.kind.String(), "true or false")
			return
		}
		*p = e.truth
	case *string:
		if v, ok := d.word(f, e, field); ok {
			*p = v
		}
	case *[]string:
		d.words(p, e, field)
	case *map[string]any:
		if e.kind != table {
			d.f.faultField(WrongType, field, e.kind.String(), "a table")
			return
		}
		*p, _ = e.value().(map[string]any)
		d.placesIn(e, field, d.f.places[field].Field)
	}
}

// placesIn records the positions of all fields within a section that the model doesn't describe.
func (d *decoder) placesIn(n *node, field, shown string) {
	for i, e := range n.items {
		name := "." + e.key
		if n.kind == list {
			name = fmt.Sprintf("[%d]", i)
		}
		d.f.places[field+name] = d.f.placeOf(e, shown+name)
		d.placesIn(e, field+name, shown+name)
	}
}

// measure decodes a time span to nanoseconds, or a size to bytes.
func (d *decoder) measure(f *Field, e *node, field string, parse func(string) (float64, *unitError)) (float64, bool) {
	isNumber := e.kind == integer || e.kind == float
	if d.form != tomlForm {
		if !isNumber {
			d.f.faultField(WrongType, field, e.kind.String(), "a number")
			return 0, false
		}
		v, ok := d.finite(e, field)
		if !ok {
			return 0, false
		}
		v = math.Round(v * f.unitFactor())
		return v, d.inRange(f, v, e.text, field)
	}
	size := f.kind == reflect.TypeFor[Size]()
	switch {
	case isNumber && (e.huge || math.IsNaN(e.number) || math.IsInf(e.number, 0)):
		d.f.faultField(TooHuge, field, e.text)
		return 0, false
	case isNumber:
		d.f.faultField(NoUnit, field, e.text, meant(e, size))
		return 0, false
	case e.kind != text:
		d.f.faultField(WrongType, field, e.kind.String(), f.Range())
		return 0, false
	}
	v, err := parse(e.text)
	switch {
	case err != nil && err.huge:
		d.f.faultField(TooHuge, field, e.text)
	case err != nil && err.unit == "":
		d.f.faultField(NoUnit, field, strconv.Quote(e.text), err.meant)
	case err != nil:
		d.f.faultField(BadUnit, field, e.text, err.meant)
	default:
		return v, d.inRange(f, v, e.text, field)
	}
	return 0, false
}

// meant suggests a time or size with a unit for a bare number.
func meant(e *node, size bool) string {
	v := e.number
	short := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
	switch {
	case size && v >= 1024 && v == math.Trunc(v):
		return fmt.Sprintf("%q", Size(v).String())
	case size:
		return fmt.Sprintf("%q or %q", short(v)+"KiB", short(v)+"MiB")
	case v != math.Trunc(v) && v < 1000 && v > 0:
		return fmt.Sprintf("%q if seconds are meant", Seconds(v).String())
	}
	return fmt.Sprintf("%q or %q", short(v)+"ms", short(v)+"s")
}

// finite returns the value of a number, and reports a fault if it is out of range, infinite or NaN.
func (d *decoder) finite(e *node, field string) (float64, bool) {
	if e.huge || math.IsNaN(e.number) || math.IsInf(e.number, 0) {
		d.f.faultField(TooHuge, field, e.text)
		return 0, false
	}
	return e.number, true
}

func (d *decoder) number(f *Field, e *node, field string) (float64, bool) {
	if e.kind != integer && e.kind != float {
		d.f.faultField(WrongType, field, e.kind.String(), f.Range())
		return 0, false
	}
	v, ok := d.finite(e, field)
	return v + 0, ok && d.inRange(f, v, e.text, field)
}

func (d *decoder) inRange(f *Field, v float64, written, field string) bool {
	if !f.allows(v) {
		expected := f.Range()
		if d.form != tomlForm && f.Unit != "" {
			expected = "a number of " + f.Unit + f.bounds()
		}
		d.f.faultField(OutOfRange, field, written, expected)
		return false
	}
	if v == 0 && strings.HasPrefix(written, "-") {
		d.f.fault(MinusZero, d.f.At(field), "", written)
	}
	return true
}

func (d *decoder) word(f *Field, e *node, field string) (string, bool) {
	if e.kind != text {
		d.f.faultField(WrongType, field, e.kind.String(), f.Range())
		return "", false
	}
	if e.text == "" && f.Need {
		d.f.faultField(EmptyText, field, f.Comment)
		return "", false
	}
	if len(f.Enum) == 0 {
		return e.text, true
	}
	var words []string
	for _, pair := range f.Enum {
		shown := pair[0]
		if d.form != tomlForm {
			shown = pair[1]
		}
		if e.text == shown {
			return pair[0], true
		}
		words = append(words, shown)
	}
	if e.text == "" && d.form != tomlForm {
		return "", true
	}
	d.f.faultField(NotOneOf, field, e.text, strings.Join(words, ", "), Nearest(e.text, words))
	return "", false
}

func (d *decoder) words(p *[]string, e *node, field string) {
	if e.kind != list {
		d.f.faultField(WrongType, field, e.kind.String(), "a list of texts")
		return
	}
	for i, item := range e.items {
		one := fmt.Sprintf("%s[%d]", field, i)
		d.f.places[one] = d.f.placeOf(item, fmt.Sprintf("%s[%d]", d.f.places[field].Field, i))
		if item.kind != text {
			d.f.faultField(WrongType, one, item.kind.String(), "text")
		}
		*p = append(*p, item.text)
	}
}
