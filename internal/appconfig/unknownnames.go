package appconfig

import (
	"fmt"
	"maps"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"sync"
)

// names maps each table of a kind of file to the names of its fields. Table names have no list indices.
type names map[string]map[string]bool

var (
	namesOnce sync.Once
	namesOf   map[Kind]names
	modelOf   map[string]string // path in the model ("app.class[].aim") by form and path in a rendered file
)

// knownNames returns the fields that a kind of file may contain.
func knownNames(k Kind) names {
	namesOnce.Do(func() {
		app, site := reflect.TypeFor[App](), reflect.TypeFor[Site]()
		namesOf = map[Kind]names{AppFile: {}, SiteFile: {}, PlatformFile: {}, FeaturesFile: {}}
		modelOf = map[string]string{}
		namesOf[AppFile].add(app, "", "", tomlForm)
		namesOf[SiteFile].add(site, "", "", tomlForm)
		namesOf[FeaturesFile].add(app, "", "app.", featuresForm)
		namesOf[PlatformFile].add(app, "", "app.", platformForm)
		namesOf[PlatformFile].add(site, "", "site.", platformForm)
		for _, path := range ignoredPlatformFields {
			namesOf[PlatformFile].path("", strings.ReplaceAll(path, ".", "/"))
		}
	})
	return namesOf[k]
}

// and returns the union of the top-level names of both kinds.
func (n names) and(other names) map[string]bool {
	all := maps.Clone(n[""])
	maps.Copy(all, other[""])
	return all
}

// ModelName returns the TOML name of a field of a rendered file, "" if there is none. Neither has list indices: "settings.classes.objectiveS" is "class.aim".
func ModelName(rendered string) string {
	knownNames(PlatformFile)
	for _, as := range []form{platformForm, featuresForm} {
		if model := modelOf[string(as)+rendered]; model != "" {
			_, field, _ := strings.Cut(strings.ReplaceAll(model, "[]", ""), ".")
			return field
		}
	}
	return ""
}

// path adds a name and the tables around it, and returns its full name.
func (n names) path(under, path string) string {
	for _, part := range strings.Split(path, "/") {
		if n[under] == nil {
			n[under] = map[string]bool{}
		}
		n[under][part] = true
		if under != "" {
			part = under + "." + part
		}
		under = part
	}
	return under
}

// add adds the fields of a struct to the table under; model is the struct's path in the model.
func (n names) add(t reflect.Type, under, model string, as form) {
	for _, f := range fieldsOf(t) {
		s, many := structure(f.kind)
		at, field := under, model+f.name
		if many {
			field += "[]"
		}
		if name := f.in(as); name != "" {
			at = n.path(under, name)
			modelOf[string(as)+at] = field
			if s == nil && f.kind.Kind() == reflect.Map {
				n[at] = nil // any field is allowed
			}
		} else if s == nil || many {
			continue
		}
		if s != nil {
			if as != tomlForm && !many {
				at = under // the file tags of fields are paths from the top
			}
			n.add(s, at, field+".", as)
		}
	}
}

// maxNear limits the faults beyond which no similar names are searched.
const maxNear = 200

// unknown adds a fault for each name that is unknown in the file's kind.
func (d *decoder) unknown(n *node, known names) { d.unknownIn(n, known, "", "") }

// unknownIn adds the faults of one table or list. generic is its name without list indices, shown with them.
func (d *decoder) unknownIn(n *node, known names, generic, shown string) {
	if n.kind == list {
		for i, e := range n.items {
			d.unknownIn(e, known, generic, fmt.Sprintf("%s[%d]", shown, i))
		}
		return
	}
	for _, e := range n.items {
		name, where := e.key, e.key
		if generic != "" {
			name, where = generic+"."+e.key, shown+"."+e.key
		}
		if below, ok := known[name]; ok {
			if below != nil && (e.kind == table || e.kind == list) {
				d.unknownIn(e, known, name, where)
			}
			continue
		}
		if first, _, dotted := strings.Cut(e.key, "."); dotted && d.form == featuresForm && generic == "" {
			if below, ok := known[first]; ok && below == nil {
				continue // field of a section that the model doesn't describe
			}
		}
		if known[generic][e.key] || d.form == platformForm && hasFolded(known[generic], e.key) || generic == "" && known.has(e.key) {
			continue
		}
		near := ""
		if len(d.f.Faults) < maxNear {
			near = Nearest(e.key, sortedKeys(known[generic]))
		}
		place := d.f.placeOf(e, where)
		kind, args := Unknown, []any{where, near}
		switch {
		case d.form == platformForm && near == "":
			kind, args = UnknownFar, args[:1]
		case d.form == platformForm:
			kind = UnknownNear
		default:
			if home := owningTable(known, e.key); home != "" && d.form == tomlForm && near == "" {
				kind, args = OtherTable, []any{where, home}
			} else if other := otherKind(d.f.Kind, name); other != "" && near == "" {
				kind, args = OtherFileField, []any{where, string(other)}
			}
		}
		d.f.fault(kind, place, "", args...)
		if near != "" {
			d.meant(generic, shown, near)
		}
	}
}

// meant handles a misspelt field as if near had been written, so that near is not also reported as missing.
func (d *decoder) meant(generic, shown, near string) {
	if generic != "" {
		generic, shown = generic+".", shown+"."
	}
	model := d.side + shown + near
	if d.form != tomlForm {
		model = modelOf[string(d.form)+generic+near]
		for _, index := range indices.FindAllString(shown, -1) {
			model = strings.Replace(model, "[]", index, 1)
		}
		model = strings.TrimSuffix(model, "[]")
	}
	if model != "" && !d.f.Has(model) {
		d.f.bad[model] = true
		d.f.Faults = slices.DeleteFunc(d.f.Faults, func(f Fault) bool { return f.Kind == Missing && f.path == model })
	}
}

var indices = regexp.MustCompile(`\[\d+\]`)

// has reports whether a dotted name is a field. Features may be written so at the top of their file.
func (n names) has(dotted string) bool {
	under, name, ok := withoutLast(dotted)
	return ok && n[under][name]
}

// withoutLast splits a name at its last dot.
func withoutLast(s string) (before, after string, found bool) {
	i := strings.LastIndex(s, ".")
	if i < 0 {
		return "", s, false
	}
	return s[:i], s[i+1:], true
}

// owningTable returns the table that a misplaced field belongs to, "" if that is ambiguous. A common cause is a field appended at
// the end of a TOML file, where it becomes part of the last table.
func owningTable(known names, key string) string {
	home, n := "", 0
	for under, fields := range known {
		if !fields[key] {
			continue
		}
		n++
		home = "the top of the file, before the first table"
		if under != "" {
			home = "[" + under + "]"
		}
	}
	if n != 1 {
		return ""
	}
	return home
}

// otherKind returns the other kind of TOML file if that one has the field.
func otherKind(k Kind, name string) Kind {
	under, key, _ := withoutLast(name)
	for _, other := range []Kind{AppFile, SiteFile} {
		if other != k && knownNames(other)[under][key] {
			return other
		}
	}
	return ""
}

// hasFolded reports whether a table has a name, ignoring case.
func hasFolded(m map[string]bool, key string) bool {
	for name := range m {
		if strings.EqualFold(name, key) {
			return true
		}
	}
	return false
}
