package appconfig

import (
	"encoding/json"
	"reflect"

	"github.com/invopop/jsonschema"
)

// Schema returns the JSON Schema of a kind of TOML file, for completion and validation in editors.
func Schema(k Kind) ([]byte, error) {
	var v any = &App{}
	if k == SiteFile {
		v = &Site{}
	}
	r := jsonschema.Reflector{FieldNameTag: "toml", RequiredFromJSONSchemaTags: true, DoNotReference: false, ExpandedStruct: true, Anonymous: true,
		LookupComment: func(t reflect.Type, name string) string {
			if f := fieldNamed(t, name); f != nil {
				return f.Comment
			}
			return ""
		}}
	s := r.Reflect(v)
	s.Title = "hazelwheel " + string(k)
	s.Required = requiredFields(reflect.TypeOf(v).Elem())
	addConstraints(reflect.TypeOf(v).Elem(), s)
	for _, f := range fieldsUnder(reflect.TypeOf(v).Elem(), "") {
		if t, _ := structure(f.kind); t != nil {
			if d := s.Definitions[t.Name()]; d != nil {
				d.Required = requiredFields(t)
				addConstraints(t, d)
			}
		}
	}
	return json.MarshalIndent(s, "", "  ")
}

// requiredFields returns the names of the required fields of a struct.
func requiredFields(t reflect.Type) []string {
	var all []string
	for _, f := range fieldsOf(t) {
		if f.Need {
			all = append(all, f.name)
		}
	}
	return all
}

// addConstraints adds the allowed words and the ranges from the tags of a struct to its schema.
func addConstraints(t reflect.Type, s *jsonschema.Schema) {
	for _, f := range fieldsOf(t) {
		p, ok := s.Properties.Get(f.name)
		if !ok {
			continue
		}
		for _, word := range f.Words() {
			p.Enum = append(p.Enum, word)
		}
		if k := f.kind.Kind(); (k == reflect.Int || k == reflect.Float64) && f.kind != reflect.TypeFor[Duration]() && f.kind != reflect.TypeFor[Size]() {
			p.Minimum, p.ExclusiveMinimum, p.Maximum = json.Number(f.least), json.Number(f.above), json.Number(f.maximum)
		}
	}
}

func fieldNamed(t reflect.Type, goName string) *Field {
	if t.Kind() != reflect.Struct {
		return nil
	}
	sf, ok := t.FieldByName(goName)
	if !ok {
		return nil
	}
	return &fieldsOf(t)[sf.Index[0]]
}
