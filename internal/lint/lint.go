// Package lint says what is wrong with configuration files, all of it at once: what is misspelt, and what is well-formed and
// can't be meant. Each thing that it can say is a check in one table, with a code that stays.
package lint

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"hazelwheel/internal/appconfig"
)

// Severity is how bad a finding is.
type Severity int

// The severities. A note never makes a file fail; a warning does where it is asked for.
const (
	Note Severity = iota
	Warning
	Error
)

func (s Severity) String() string { return [...]string{"note", "warning", "error"}[s] }

// MarshalText has JSON say the word.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Check is one thing that can be wrong. Says and Do are formats of the finding's arguments.
type Check struct {
	Code     string
	Severity Severity
	Title    string // in a few words
	Looks    string // what it looks at
	Says     string // what is wrong
	Why      string // why it matters, and to whom
	Do       string // what to write instead

	fault   appconfig.FaultKind // found while a file is read
	app     func(*unit, say)    // of an instance
	class   func(*unit, *class, say)
	extras  func(*unit, say)           // of a file that holds features
	site    func(*unit, say)           // of a file that holds facts of a site
	against func(*unit, say)           // of an instance and the site it is at
	groups  func(*appconfig.File, say) // of a file of groups
	all     func([]*unit, say)
}

// Finding is something that a check has found.
type Finding struct {
	*Check
	File    string
	Place   appconfig.Place
	Message string
}

func (f *Finding) String() string {
	return fmt.Sprintf("%s:%s: %s %s: %s", f.File, f.Place, f.Severity, f.Code, f.Message)
}

// Lost tells whether what the finding is about could not be read, so that nothing made of the file would hold it.
func (f *Finding) Lost() bool { return f.fault != "" && f.Severity == Error }

// ref is a field of a file that a finding is about, and further fields that it rests on.
type ref struct {
	file *appconfig.File
	path string
	also []ref
}

func (r ref) with(also ...ref) ref {
	r.also = append(slices.Clone(r.also), also...)
	return r
}

// bad tells whether a field is at fault already; what is found there would only follow from that.
func (r *ref) bad() bool {
	return r.file.Bad(r.path) || slices.ContainsFunc(r.also, func(o ref) bool { return o.bad() })
}

// say adds a finding.
type say func(at ref, args ...any)

// unit is an instance with all that is known of it, or a part of that: a file of features or of a site alone.
type unit struct {
	file      *appconfig.File // that says who it is; nil where no file does
	app       *appconfig.App  // with what the site's classes say filled in
	extrasIn  *appconfig.File // the file of its features; nil where there is none
	extras    *appconfig.App
	groupsIn  *appconfig.File // the file of its quotas' groups; nil where it is not checked
	siteIn    *appconfig.File // the file of its site; nil where there is none
	site      *appconfig.Site
	siteIsOwn bool // the site's facts stand in the file itself, as they do in a platform's file
	listed    []*class
	alone     bool // there is nothing but the file of the site, or of features
}

func (u *unit) at(format string, args ...any) ref {
	return ref{file: u.file, path: "app." + fmt.Sprintf(format, args...)}
}

func (u *unit) atExtra(format string, args ...any) ref {
	return ref{file: u.extrasIn, path: "app." + fmt.Sprintf(format, args...)}
}

func (u *unit) atSite(format string, args ...any) ref {
	return ref{file: u.siteIn, path: "site." + fmt.Sprintf(format, args...)}
}

// class is one of an instance or of a site, with its place.
type class struct {
	appconfig.Class
	file *appconfig.File
	path string
	ours bool // of an instance
}

func (c *class) at(field string) ref { return ref{file: c.file, path: c.path + "." + field} }

func (c *class) has(field string) bool { return c.file.Has(c.path + "." + field) }

// classes are those of the unit's own files.
func (u *unit) classes() []*class {
	if u.listed != nil {
		return u.listed
	}
	var all []*class
	if u.app != nil {
		for i, c := range u.app.Classes {
			all = append(all, &class{c, u.file, fmt.Sprintf("app.class[%d]", i), true})
		}
	}
	if u.site != nil && (u.siteIsOwn || u.alone) {
		all = append(all, u.siteClasses()...)
	}
	u.listed = all
	return all
}

func (u *unit) siteClasses() []*class {
	var all []*class
	for i, c := range u.site.Classes {
		all = append(all, &class{c, u.siteIn, fmt.Sprintf("site.class[%d]", i), false})
	}
	return all
}

func (u *unit) siteClass(name string) *class {
	for _, c := range u.siteClasses() {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// mostOfOne bounds how often one check tells of one file. Nobody reads more, and a file of nothing but faults would take long.
const mostOfOne = 500

// Run returns what is wrong with files that belong together, in their order. against is a site's file that all of them are
// held against; nil: a site's file among them, if there is one.
func Run(files []*appconfig.File, against *appconfig.File) []Finding {
	var found []Finding
	order := map[*appconfig.File]int{}
	for i, f := range files {
		order[f] = i
	}
	rank := map[string]int{}
	for i, f := range files {
		rank[f.Name] = i
		for _, fault := range f.Faults {
			if c := byFault[fault.Kind]; c != nil {
				found = append(found, c.finding(f, fault.Place, instead(fault)))
			}
		}
	}
	sayOf := func(c *Check) say {
		told, shared := map[string]int{}, map[string]bool{}
		return func(at ref, args ...any) {
			if _, asked := order[at.file]; !asked || at.bad() {
				return
			}
			if c.all != nil { // what three files share is said once for each, and not of each pair
				key := at.file.Name + "@" + at.path
				if shared[key] {
					return
				}
				shared[key] = true
			}
			if told[at.file.Name]++; told[at.file.Name] > mostOfOne {
				return
			}
			found = append(found, c.finding(at.file, at.file.At(at.path), args))
		}
	}
	units := unitsOf(files, against)
	for i := range table {
		c := &table[i]
		say := sayOf(c)
		for _, u := range units {
			c.look(u, say)
		}
		for _, f := range files {
			if c.groups != nil && f.Kind == appconfig.GroupsFile {
				c.groups(f, say)
			}
		}
		if c.all != nil {
			c.all(units, say)
		}
	}
	slices.SortStableFunc(found, func(a, b Finding) int {
		return cmp.Or(rank[a.File]-rank[b.File], a.Place.Line-b.Place.Line, a.Place.Column-b.Place.Column, strings.Compare(a.Code, b.Code),
			strings.Compare(a.Message, b.Message))
	})
	return slices.CompactFunc(found, func(a, b Finding) bool {
		return a.File == b.File && a.Place == b.Place && a.Code == b.Code && a.Message == b.Message
	})
}

// instead makes the last argument of a fault with a name say what to do about it.
func instead(f appconfig.Fault) []any {
	args := slices.Clone(f.Args)
	if f.Kind != appconfig.Unknown && f.Kind != appconfig.NotOneOf {
		return args
	}
	last := len(args) - 1
	switch near, _ := args[last].(string); {
	case near != "":
		args[last] = "Write " + near + " if that is meant"
	case f.Kind == appconfig.Unknown:
		args[last] = "Take it out"
	default:
		args[last] = "Write one of them"
	}
	return args
}

// look has a check look at a unit, if the unit has what it looks at.
func (c *Check) look(u *unit, say say) {
	if c.app != nil && u.app != nil {
		c.app(u, say)
	}
	if c.class != nil {
		for _, class := range u.classes() {
			c.class(u, class, say)
		}
	}
	if c.extras != nil && u.extras != nil {
		c.extras(u, say)
	}
	if c.site != nil && u.site != nil && (u.siteIsOwn || u.alone) {
		c.site(u, say)
	}
	if c.against != nil && u.app != nil && u.site != nil {
		c.against(u, say)
	}
}

// finding puts a check's sentences together.
func (c *Check) finding(f *appconfig.File, at appconfig.Place, args []any) Finding {
	parts := []string{filled(c.Says, args)}
	for _, part := range []string{filled(c.Why, args), filled(c.Do, args)} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	message := strings.Join(parts, ". ") + "."
	if at.Field != "" {
		message = at.Field + ": " + message
	}
	if strings.ContainsAny(message, "\n\t") { // a finding is one line
		message = strings.Join(strings.Fields(message), " ")
	}
	return Finding{c, f.Name, at, message}
}

// filled fills arguments into a format, which may leave some out if it counts them: %[1].
func filled(format string, args []any) string {
	if !strings.Contains(strings.ReplaceAll(format, "%%", ""), "%") {
		return strings.ReplaceAll(format, "%%", "%")
	}
	return fmt.Sprintf(format, args...)
}

// unitsOf puts files together that belong to one instance. A file of features belongs to the instance's file before it, or to the
// first after it.
func unitsOf(files []*appconfig.File, against *appconfig.File) []*unit {
	var units []*unit
	for _, f := range files {
		if f.Kind == appconfig.SiteFile && f.Site != nil {
			if against == nil {
				against = f
			}
			units = append(units, &unit{siteIn: f, site: f.Site, alone: true})
		}
	}
	if against != nil && against.Site == nil {
		against = nil
	}
	var core []*unit
	for _, f := range files {
		u := &unit{file: f}
		switch {
		case f.App == nil || f.Kind != appconfig.AppFile && f.Kind != appconfig.PlatformFile:
			continue
		case f.Kind == appconfig.AppFile:
			u.extrasIn, u.extras = f, f.App
		case against == nil:
			u.siteIn, u.site, u.siteIsOwn = f, f.Site, true
		}
		if against != nil {
			u.siteIn, u.site = against, against.Site
			if f.Site != nil {
				units = append(units, &unit{siteIn: f, site: f.Site, alone: true})
			}
		}
		u.app = appconfig.Resolve(f.App, u.site)
		core = append(core, u)
	}
	last := -1
	for _, f := range files {
		switch {
		case f.Kind == appconfig.FeaturesFile && f.App != nil:
			at := max(last, 0)
			if at < len(core) && core[at].extras == nil {
				core[at].extrasIn, core[at].extras = f, f.App
			} else {
				units = append(units, &unit{extrasIn: f, extras: f.App, alone: true})
			}
		case f.App != nil && f.Kind != appconfig.FeaturesFile:
			last++
		}
	}
	units = append(units, core...)
	if at := slices.IndexFunc(files, func(f *appconfig.File) bool { return f.Kind == appconfig.GroupsFile }); at >= 0 {
		for _, u := range units {
			u.groupsIn = files[at]
		}
	}
	return units
}

// Checks returns the table, in the order of codes.
func Checks() []Check { return slices.Clone(table) }

// Lookup returns the check of a code.
func Lookup(code string) (Check, bool) {
	at := slices.IndexFunc(table, func(c Check) bool { return strings.EqualFold(c.Code, code) })
	if at < 0 {
		return Check{}, false
	}
	return table[at], true
}

// table holds all checks. Codes are never given twice, nor given anew when a check goes.
var table = slices.SortedFunc(slices.Values(slices.Concat(readingChecks, nameChecks, classChecks, siteClassChecks, instanceChecks, roomChecks,
	factChecks, featureChecks, rewriteChecks, quotaChecks, manyChecks)), func(a, b Check) int { return strings.Compare(a.Code, b.Code) })

var byFault = func() map[appconfig.FaultKind]*Check {
	m := map[appconfig.FaultKind]*Check{}
	for i := range table {
		if table[i].fault != "" {
			m[table[i].fault] = &table[i]
		}
	}
	return m
}()

// Worst returns the worst severity among findings, -1 where there are none.
func Worst(all []Finding) Severity {
	worst := Severity(-1)
	for _, f := range all {
		worst = max(worst, f.Severity)
	}
	return worst
}
