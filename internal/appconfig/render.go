package appconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Resolve returns a copy of the application in which unset fields of classes are taken from the site's class of the same name.
func Resolve(a *App, s *Site) *App {
	out := *a
	out.Classes = slices.Clone(a.Classes)
	if s == nil {
		return &out
	}
	for i := range out.Classes {
		c := &out.Classes[i]
		at := slices.IndexFunc(s.Classes, func(o Class) bool { return o.Name == c.Name })
		if at < 0 {
			continue
		}
		o := &s.Classes[at]
		if c.Effect == "" {
			c.Effect = o.Effect
		}
		if c.Group == "" && c.Effect == o.Effect {
			c.Group = o.Group
		}
		if c.Window == 0 && c.Effect == o.Effect {
			c.Window = o.Window
		}
		if c.LatencyTarget == 0 {
			c.LatencyTarget = o.LatencyTarget
		}
		if c.Deadline == 0 {
			c.Deadline = o.Deadline
		}
		if c.Weight == 0 {
			c.Weight = o.Weight
		}
		if c.Late == 0 {
			c.Late = o.Late
		}
	}
	return &out
}

// Render returns the platform's file and the operators' file of features for an application at a site. features is nil if
// no feature is enabled. It fails if the application's home is none of the site's places.
func Render(a *App, s *Site) (platform, features []byte, err error) {
	p, f := map[string]any{}, map[string]any{}
	render(p, reflect.ValueOf(s).Elem(), platformForm)
	render(p, reflect.ValueOf(Resolve(a, s)).Elem(), platformForm)
	render(f, reflect.ValueOf(a).Elem(), featuresForm)
	// Danger: policy requests lists only after it has been given one. Without this empty list it never would.
	put(p, "known", map[string]any{"index": 0, "snapshot": true, "endpoints": []any{}})
	if a.Home != "" {
		at := slices.Index(s.Places, a.Home)
		if at < 0 {
			return nil, nil, fmt.Errorf("home: %q is none of the site's places, %s", a.Home, strings.Join(s.Places, ", "))
		}
		put(p, "settings/locality", at)
	}
	if platform, err = jsonText(p); err != nil || len(f) == 0 {
		return platform, nil, err
	}
	features, err = jsonText(f)
	return platform, features, err
}

func jsonText(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	err := e.Encode(v)
	return b.Bytes(), err
}

// render puts the fields of a struct into m. Zero values of fields without a default are left out.
func render(m map[string]any, v reflect.Value, as form) {
	for _, f := range fieldsOf(v.Type()) {
		at, path := v.Field(f.index), f.in(as)
		if s, many := structure(f.kind); s != nil && !many {
			if at.Kind() == reflect.Pointer {
				if at.IsNil() || path == "" {
					continue
				}
				put(m, path, map[string]any{})
				at = at.Elem()
			}
			render(m, at, as)
			continue
		} else if s != nil {
			if path == "" || at.Len() == 0 {
				continue
			}
			all := []any{}
			for i := range at.Len() {
				e := map[string]any{}
				render(e, at.Index(i), as)
				all = append(all, e)
			}
			put(m, path, all)
			continue
		}
		if path == "" || at.IsZero() && f.Default == "" {
			continue
		}
		put(m, path, f.rendered(at))
	}
}

// rendered converts a value to its form in a rendered file.
func (f *Field) rendered(at reflect.Value) any {
	switch v := at.Interface().(type) {
	case Duration:
		return float64(v) / f.unitFactor()
	case Size:
		if v%Size(f.unitFactor()) == 0 {
			return int64(v) / int64(f.unitFactor())
		}
		return float64(v) / f.unitFactor()
	case string:
		for _, pair := range f.Enum {
			if pair[0] == v {
				return pair[1]
			}
		}
	}
	return at.Interface()
}

// put sets a value in nested maps; path has slashes between keys.
func put(m map[string]any, path string, v any) {
	keys := strings.Split(path, "/")
	for _, key := range keys[:len(keys)-1] {
		next, ok := m[key].(map[string]any)
		if !ok {
			next = map[string]any{}
			m[key] = next
		}
		m = next
	}
	m[keys[len(keys)-1]] = v
}

// Format returns an application or a site as TOML, with a comment for each field.
func Format(v any) ([]byte, error) {
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	e.SetIndentTables(false)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return tidy(b.Bytes()), nil
}

// tidy replaces single quotes by double quotes where no escaping is needed, and keeps only the first copy of each comment.
func tidy(raw []byte) []byte {
	var out [][]byte
	seen := map[string]bool{}
	for _, row := range bytes.Split(raw, []byte("\n")) {
		switch {
		case bytes.HasPrefix(row, []byte("#")):
			if seen[string(row)] {
				continue
			}
			seen[string(row)] = true
		case bytes.HasPrefix(row, []byte("[")) && len(out) > 0 && !bytes.HasPrefix(out[len(out)-1], []byte("#")) && len(out[len(out)-1]) > 0:
			out = append(out, nil) // two tables without a field between them
		case !bytes.ContainsAny(row, "\"\\#") && bytes.Count(row, []byte("'"))%2 == 0:
			row = bytes.ReplaceAll(row, []byte("'"), []byte(`"`))
		}
		out = append(out, row)
	}
	return bytes.Join(out, []byte("\n"))
}

// Import converts a platform's file, and a file of features if it is not nil, to an application and a site.
func Import(platform, features *File) (*App, *Site) {
	a, s := *platform.App, *platform.Site
	if features != nil && features.App != nil {
		f := features.App
		a.Forwarded, a.DrillSecret, a.Health, a.Capture = f.Forwarded, f.DrillSecret, f.Health, f.Capture
		a.Admission, a.Drills, a.Rewrites, a.Quotas, a.Thrift, a.Fleet = f.Admission, f.Drills, f.Rewrites, f.Quotas, f.Thrift, f.Fleet
	}
	return &a, &s
}
