package appconfig

import (
	"reflect"
	"strconv"
	"strings"
	"sync"
)

// form is the file format in which the model is written. It determines the names of fields and the notation of durations.
type form byte

const (
	tomlForm     form = 't'
	platformForm form = 'p'
	featuresForm form = 'f'
)

// Field describes a field of the model, as given by its tags.
type Field struct {
	Path    string // in the TOML file, "class.aim"
	File    string // path in the rendered file, "p:settings/selfIndex"; relative to the element inside a list
	Unit    string // of the number in the rendered file
	Comment string
	Default string
	Need    bool
	Enum    [][2]string // pairs of the word in TOML and its rendered form

	least, above, maximum string
	name                  string
	index                 int
	kind                  reflect.Type
}

var fieldCache sync.Map // reflect.Type to []Field

// fieldsOf returns a struct's fields.
func fieldsOf(t reflect.Type) []Field {
	if all, ok := fieldCache.Load(t); ok {
		return all.([]Field)
	}
	var all []Field
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		name, _, _ := strings.Cut(tag.Get("toml"), ",")
		f := Field{File: tag.Get("file"), Unit: tag.Get("unit"), Comment: tag.Get("comment"), Default: tag.Get("default"),
			Need: tag.Get("need") != "", least: tag.Get("least"), above: tag.Get("above"), maximum: tag.Get("most"),
			name: name, index: i, kind: t.Field(i).Type}
		if e := tag.Get("enum"); e != "" {
			for _, pair := range strings.Split(e, ",") {
				word, other, _ := strings.Cut(pair, "=")
				f.Enum = append(f.Enum, [2]string{word, other})
			}
		}
		all = append(all, f)
	}
	fieldCache.Store(t, all)
	return all
}

// in returns the field's name or path in a form, "" if the form doesn't have it.
func (f *Field) in(as form) string {
	if as == tomlForm {
		return f.name
	}
	if path, ok := strings.CutPrefix(f.File, string(as)+":"); ok {
		return path
	}
	return ""
}

// structure returns the struct type of a field that is a struct, a pointer to one or a list of them, and whether it is a
// list; nil for other fields.
func structure(t reflect.Type) (reflect.Type, bool) {
	many := t.Kind() == reflect.Slice
	if many || t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() == reflect.Struct {
		return t, many
	}
	return nil, many
}

// Fields returns all fields of a kind of TOML file in the order of the model, each table before its fields.
func Fields(k Kind) []Field {
	t := reflect.TypeFor[App]()
	if k == SiteFile {
		t = reflect.TypeFor[Site]()
	}
	return fieldsUnder(t, "")
}

func fieldsUnder(t reflect.Type, path string) []Field {
	var all []Field
	for _, f := range fieldsOf(t) {
		f.Path = path + f.name
		all = append(all, f)
		if s, _ := structure(f.kind); s != nil {
			all = append(all, fieldsUnder(s, f.Path+".")...)
		}
	}
	return all
}

// Range describes in words the valid values of a field.
func (f *Field) Range() string {
	var parts []string
	switch f.kind {
	case reflect.TypeFor[Duration]():
		parts = append(parts, `a time with its unit, like "600ms"`)
	case reflect.TypeFor[Size]():
		parts = append(parts, `a size with its unit, like "64KiB"`)
	default:
		switch f.kind.Kind() {
		case reflect.Int:
			parts = append(parts, "a whole number")
		case reflect.Float64:
			parts = append(parts, "a number")
		case reflect.Bool:
			parts = append(parts, "true or false")
		case reflect.String:
			parts = append(parts, "text")
		case reflect.Slice:
			parts = append(parts, "a list")
		default:
			parts = append(parts, "a table")
		}
	}
	if len(f.Enum) > 0 {
		parts = []string{strings.Join(f.Words(), ", ")}
	}
	return parts[0] + f.bounds()
}

// bounds describes in words the limits of a value.
func (f *Field) bounds() string {
	out := ""
	for _, bound := range [][2]string{{"at least ", f.least}, {"above ", f.above}, {"at most ", f.maximum}} {
		if bound[1] != "" {
			out += ", " + bound[0] + bound[1]
		}
	}
	return out
}

// Words returns the words that an enumerated field accepts.
func (f *Field) Words() []string {
	var words []string
	for _, pair := range f.Enum {
		words = append(words, pair[0])
	}
	return words
}

// allows reports whether a value is in the field's range. Durations are in nanoseconds and sizes in bytes.
func (f *Field) allows(v float64) bool {
	bound := func(s string) float64 {
		if d, err := parseDuration(s); f.kind == reflect.TypeFor[Duration]() && err == nil {
			return float64(d)
		}
		if b, err := parseSize(s); f.kind == reflect.TypeFor[Size]() && err == nil {
			return float64(b)
		}
		n, _ := strconv.ParseFloat(s, 64) // TestTagsMakeSense checks the tags
		return n
	}
	return (f.least == "" || v >= bound(f.least)) && (f.above == "" || v > bound(f.above)) && (f.maximum == "" || v <= bound(f.maximum))
}

// unitFactor returns the bytes or nanoseconds in one unit of the field's number in a rendered file.
func (f *Field) unitFactor() float64 {
	switch f.Unit {
	case "s":
		return 1e9
	case "ms":
		return 1e6
	case "MiB":
		return 1 << 20
	}
	return 1
}

// setDefaults sets the fields of a struct to their default values.
func setDefaults(v reflect.Value) {
	for _, f := range fieldsOf(v.Type()) {
		at := v.Field(f.index)
		if at.Kind() == reflect.Struct {
			setDefaults(at)
		}
		if f.Default == "" {
			continue
		}
		switch p := at.Addr().Interface().(type) {
		case *Duration:
			*p, _ = parseDuration(f.Default)
		case *Size:
			*p, _ = parseSize(f.Default)
		case *int:
			*p, _ = strconv.Atoi(f.Default)
		case *float64:
			*p, _ = strconv.ParseFloat(f.Default, 64)
		case *bool:
			*p = f.Default == "true"
		case *string:
			*p = f.Default
		}
	}
}

// NewApp returns an application with all defaults.
func NewApp() *App {
	a := &App{Format: AppFormat}
	setDefaults(reflect.ValueOf(a).Elem())
	return a
}

// NewSite returns a site with all defaults.
func NewSite() *Site {
	s := &Site{Format: SiteFormat}
	setDefaults(reflect.ValueOf(s).Elem())
	return s
}
