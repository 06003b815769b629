// Package lint checks configuration files and reports all diagnostics at once: syntax errors, invalid values, and valid settings that
// are most likely mistakes. Each check is a row of one table, with a code that never changes its meaning.
package lint

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"hazelwheel/internal/appconfig"
)

// Severity is how severe a finding is.
type Severity int

// The severities. An error makes a check of files fail, a warning does only with --strict, and a note never does.
const (
	Note Severity = iota
	Warning
	Error
)

// String returns the severity as it is printed.
func (s Severity) String() string { return [...]string{"note", "warning", "error"}[s] }

// MarshalText implements encoding.TextMarshaler, so that JSON has the word.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Check is a row of the table. Format, Reason and Remedy are format strings for the arguments of a finding. A check
// has either a fault or one or more of the functions.
type Check struct {
	Code     string
	Severity Severity
	Title    string // in a few words
	Subject  string // the fields that it checks
	Format   string // what is wrong
	Reason   string // why it matters, and to whom
	Remedy   string // what to write instead

	fault    appconfig.FaultKind     // of a file that could not be read completely
	app      func(*unit, reportFunc) // checks an instance
	class    func(*unit, *class, reportFunc)
	features func(*unit, reportFunc)           // checks a file that holds features
	site     func(*unit, reportFunc)           // checks a file that holds facts of a site
	against  func(*unit, reportFunc)           // checks an instance with the site that it is at
	groups   func(*appconfig.File, reportFunc) // checks a file of quota groups
	all      func([]*unit, reportFunc)
}

// Finding is a diagnostic: a check that did not hold, with its place.
type Finding struct {
	*Check
	File    string
	Place   appconfig.Place
	Message string
}

// String returns the finding as one line, as compilers print diagnostics.
func (f *Finding) String() string {
	return fmt.Sprintf("%s:%s: %s %s: %s", f.File, f.Place, f.Severity, f.Code, f.Message)
}

// Lost reports whether the value at the place could not be read, so that output rendered from the file would lack it.
func (f *Finding) Lost() bool { return f.fault != "" && f.Severity == Error }

// ref is a field of a file that a finding is about, and further fields that it depends on.
type ref struct {
	file *appconfig.File
	path string
	also []ref
}

// with returns the reference with further fields that the finding depends on.
func (r ref) with(also ...ref) ref {
	r.also = append(slices.Clone(r.also), also...)
	return r
}

// isFaulty reports whether a field could not be read; any finding there would be a consequence of that.
func (r *ref) isFaulty() bool {
	return r.file.Bad(r.path) || slices.ContainsFunc(r.also, func(o ref) bool { return o.isFaulty() })
}

// reportFunc adds a finding at a field; args fill the formats of the check.
type reportFunc func(at ref, args ...any)

// unit is what is checked together: an instance with its features, quota groups and site, as far as files describe them, or a file of
// features or of a site alone.
type unit struct {
	file         *appconfig.File // the instance's own file; nil if there is none
	app          *appconfig.App  // with the site's class settings as defaults
	featuresFile *appconfig.File // nil if there is none
	features     *appconfig.App
	groupsFile   *appconfig.File // file of quota groups; nil if there is none
	siteFile     *appconfig.File // nil if there is none
	site         *appconfig.Site
	siteIsOwn    bool // the site's settings are in the instance's own file, a platform's file
	ownClasses   []*class
	alone        bool // the unit consists of a site's file or a file of features only
}

func (u *unit) at(format string, args ...any) ref {
	return ref{file: u.file, path: "app." + fmt.Sprintf(format, args...)}
}

func (u *unit) atFeature(format string, args ...any) ref {
	return ref{file: u.featuresFile, path: "app." + fmt.Sprintf(format, args...)}
}

func (u *unit) atSite(format string, args ...any) ref {
	return ref{file: u.siteFile, path: "site." + fmt.Sprintf(format, args...)}
}

// class is a request class of an instance or of a site, with its place.
type class struct {
	appconfig.Class
	file *appconfig.File
	path string
}

func (c *class) at(field string) ref { return ref{file: c.file, path: c.path + "." + field} }

func (c *class) has(field string) bool { return c.file.Has(c.path + "." + field) }

// classes returns the classes of the unit's own files.
func (u *unit) classes() []*class {
	if u.ownClasses != nil {
		return u.ownClasses
	}
	var all []*class
	if u.app != nil {
		for i, c := range u.app.Classes {
			all = append(all, &class{c, u.file, fmt.Sprintf("app.class[%d]", i)})
		}
	}
	if u.site != nil && (u.siteIsOwn || u.alone) {
		all = append(all, u.siteClasses()...)
	}
	u.ownClasses = all
	return all
}

func (u *unit) siteClasses() []*class {
	var all []*class
	for i, c := range u.site.Classes {
		all = append(all, &class{c, u.siteFile, fmt.Sprintf("site.class[%d]", i)})
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

// maxFindingsPerCheck limits the findings of one check in one file, and with it the time for a file with many faults.
const maxFindingsPerCheck = 500

// Run checks files that belong together and returns the findings in the order of the files. against is the site's file that all of
// them are checked against. If it is nil, the first site's file among files is used, if there is one.
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
				found = append(found, c.finding(f, fault.Place, withSuggestion(fault)))
			}
		}
	}
	newReport := func(c *Check) reportFunc {
		reported, shared := map[string]int{}, map[string]bool{}
		return func(at ref, args ...any) {
			if _, asked := order[at.file]; !asked || at.isFaulty() {
				return
			}
			if c.all != nil { // a value that three files share is reported once for each file, not for each pair
				key := at.file.Name + "@" + at.path
				if shared[key] {
					return
				}
				shared[key] = true
			}
			if reported[at.file.Name]++; reported[at.file.Name] > maxFindingsPerCheck {
				return
			}
			found = append(found, c.finding(at.file, at.file.At(at.path), args))
		}
	}
	units := groupUnits(files, against)
	for i := range table {
		c := &table[i]
		report := newReport(c)
		for _, u := range units {
			c.run(u, report)
		}
		for _, f := range files {
			if c.groups != nil && f.Kind == appconfig.GroupsFile {
				c.groups(f, report)
			}
		}
		if c.all != nil {
			c.all(units, report)
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

// withSuggestion returns the arguments of a fault; for an unknown name the last one becomes the remedy.
func withSuggestion(f appconfig.Fault) []any {
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

// run calls those functions of the check whose input the unit has.
func (c *Check) run(u *unit, report reportFunc) {
	if c.app != nil && u.app != nil {
		c.app(u, report)
	}
	if c.class != nil {
		for _, class := range u.classes() {
			c.class(u, class, report)
		}
	}
	if c.features != nil && u.features != nil {
		c.features(u, report)
	}
	if c.site != nil && u.site != nil && (u.siteIsOwn || u.alone) {
		c.site(u, report)
	}
	if c.against != nil && u.app != nil && u.site != nil {
		c.against(u, report)
	}
}

// finding returns a finding with the check's formats applied to the arguments.
func (c *Check) finding(f *appconfig.File, at appconfig.Place, args []any) Finding {
	parts := []string{formatted(c.Format, args)}
	for _, part := range []string{formatted(c.Reason, args), formatted(c.Remedy, args)} {
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

// formatted applies a format to arguments. A format with indexed verbs (%[1]s) need not use all of them.
func formatted(format string, args []any) string {
	if !strings.Contains(strings.ReplaceAll(format, "%%", ""), "%") {
		return strings.ReplaceAll(format, "%%", "%")
	}
	return fmt.Sprintf(format, args...)
}

// groupUnits groups the files that belong to one instance. A file of features belongs to the instance's file before it, or to the
// first after it.
func groupUnits(files []*appconfig.File, against *appconfig.File) []*unit {
	var units []*unit
	for _, f := range files {
		if f.Kind == appconfig.SiteFile && f.Site != nil {
			if against == nil {
				against = f
			}
			units = append(units, &unit{siteFile: f, site: f.Site, alone: true})
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
			u.featuresFile, u.features = f, f.App
		case against == nil:
			u.siteFile, u.site, u.siteIsOwn = f, f.Site, true
		}
		if against != nil {
			u.siteFile, u.site = against, against.Site
			if f.Site != nil {
				units = append(units, &unit{siteFile: f, site: f.Site, alone: true})
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
			if at < len(core) && core[at].features == nil {
				core[at].featuresFile, core[at].features = f, f.App
			} else {
				units = append(units, &unit{featuresFile: f, features: f.App, alone: true})
			}
		case f.App != nil && f.Kind != appconfig.FeaturesFile:
			last++
		}
	}
	units = append(units, core...)
	if at := slices.IndexFunc(files, func(f *appconfig.File) bool { return f.Kind == appconfig.GroupsFile }); at >= 0 {
		for _, u := range units {
			u.groupsFile = files[at]
		}
	}
	return units
}

// Checks returns the table, in the order of codes.
func Checks() []Check { return slices.Clone(table) }

// Lookup returns the check with a code, ignoring case.
func Lookup(code string) (Check, bool) {
	at := slices.IndexFunc(table, func(c Check) bool { return strings.EqualFold(c.Code, code) })
	if at < 0 {
		return Check{}, false
	}
	return table[at], true
}

// table holds all checks, ordered by code. Codes are unique, and the code of a removed check is not reused.
var table = slices.SortedFunc(slices.Values(slices.Concat(readingChecks, nameChecks, classChecks, siteClassChecks, instanceChecks, capacityChecks,
	factChecks, featureChecks, rewriteChecks, quotaChecks, togetherChecks)), func(a, b Check) int { return strings.Compare(a.Code, b.Code) })

var byFault = func() map[appconfig.FaultKind]*Check {
	m := map[appconfig.FaultKind]*Check{}
	for i := range table {
		if table[i].fault != "" {
			m[table[i].fault] = &table[i]
		}
	}
	return m
}()

// Worst returns the highest severity among findings, -1 if there are none.
func Worst(all []Finding) Severity {
	worst := Severity(-1)
	for _, f := range all {
		worst = max(worst, f.Severity)
	}
	return worst
}
