package lint

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"golang.org/x/text/cases"
	"golang.org/x/text/unicode/norm"
)

// ownPaths are the first path segments that the sidecar answers itself. Danger: a class of that name takes precedence, so that
// for example a readiness check would get the response of a server.
var ownPaths = []string{"ready", "counters", "clients", "drills"}

var nameChecks = []Check{
	{Code: "HW030", Severity: Error, Title: "two classes of one name", Subject: "class.name",
		Format: "the class %[1]q is there before",
		Reason: "A request of it could be meant for either, and the sidecar refuses to start",
		Remedy: "Give each class a name of its own, or take one out",
		app: func(u *unit, report reportFunc) {
			eachDuplicate(len(u.app.Classes), func(i int) string { return u.app.Classes[i].Name }, func(i, _ int) {
				report(u.at("class[%d].name", i), u.app.Classes[i].Name)
			})
		}},
	{Code: "HW031", Severity: Error, Title: "names that look the same", Subject: "class.name",
		Format: "%[1]q and the class %[2]q differ in case, width or the way letters are put together alone",
		Reason: "Paths are compared byte by byte, so clients will meet the wrong one of the two or a 404",
		Remedy: "Use one spelling",
		app: func(u *unit, report reportFunc) {
			eachDuplicate(len(u.app.Classes), func(i int) string { return foldName(u.app.Classes[i].Name) }, func(i, j int) {
				if a, b := u.app.Classes[i].Name, u.app.Classes[j].Name; a != b {
					report(u.at("class[%d].name", i), a, b)
				}
			})
		}},
	{Code: "HW032", Severity: Error, Title: "name that no path can begin with", Subject: "class.name",
		Format: "%[1]q can't be the first part of a path: it holds %[2]q",
		Reason: "No request would ever be of this class",
		Remedy: "Write a name without '/', '?', '#', '%%', spaces and control characters",
		class: func(_ *unit, c *class, report reportFunc) {
			if at := strings.IndexFunc(c.Name, func(r rune) bool {
				return strings.ContainsRune("/?#%", r) || unicode.IsSpace(r) || unicode.IsControl(r)
			}); at >= 0 {
				r, _ := utf8.DecodeRuneInString(c.Name[at:])
				report(c.at("name"), c.Name, string(r))
			}
		}},
	{Code: "HW033", Severity: Warning, Title: "name outside ASCII", Subject: "class.name",
		Format: "%[1]q holds letters outside ASCII",
		Reason: "Clients send them as %%XX in a path, and the sidecar compares bytes, so their requests would get 404",
		Remedy: "Use a name of ASCII letters, digits, '-', '_' and '.'",
		class: func(_ *unit, c *class, report reportFunc) {
			if strings.ContainsFunc(c.Name, func(r rune) bool { return r > unicode.MaxASCII }) && invisibleCharacter(c.Name) == "" && len(scripts(c.Name)) < 2 {
				report(c.at("name"), c.Name)
			}
		}},
	{Code: "HW034", Severity: Error, Title: "hidden characters in a name", Subject: "the names of classes, places and the instance",
		Format: "%[1]q holds %[2]s, which nobody sees",
		Reason: "It looks like another name and is none; whoever compares the two by eye looks for hours",
		Remedy: "Type the name anew",
		class: func(_ *unit, c *class, report reportFunc) {
			if h := invisibleCharacter(c.Name); h != "" {
				report(c.at("name"), c.Name, h)
			}
		},
		app: func(u *unit, report reportFunc) {
			for field, text := range map[string]string{"name": u.app.Name, "home": u.app.Home} {
				if h := invisibleCharacter(text); h != "" {
					report(u.at("%s", field), text, h)
				}
			}
		},
		site: func(u *unit, report reportFunc) {
			for i, text := range u.site.Places {
				if h := invisibleCharacter(text); h != "" {
					report(u.atSite("places[%d]", i), text, h)
				}
			}
		}},
	{Code: "HW035", Severity: Warning, Title: "letters of several scripts in a name", Subject: "class.name",
		Format: "%[1]q mixes %[2]s letters",
		Reason: "Letters of two scripts may look alike, and the name may be another than it seems",
		Remedy: "Write it in one script",
		class: func(_ *unit, c *class, report reportFunc) {
			if s := scripts(c.Name); len(s) > 1 {
				report(c.at("name"), c.Name, strings.Join(s, " and "))
			}
		}},
	{Code: "HW036", Severity: Warning, Title: "class that takes the sidecar's own path", Subject: "class.name",
		Format: "the sidecar itself answers /%[1]s",
		Reason: "With a class of that name the box answers in its place, and whoever watches the sidecar sees nothing of it",
		Remedy: "Give the class another name",
		app: func(u *unit, report reportFunc) {
			for i, c := range u.app.Classes {
				for _, own := range ownPaths {
					if c.Name == own {
						report(u.at("class[%d].name", i), own)
					}
				}
			}
		}},
	{Code: "HW037", Severity: Error, Title: "two entries of one name", Subject: "places, box_kinds, tenants, classes of a site",
		Format: "%[1]q is in the list before",
		Reason: "An entry's number says which it is, and one name would stand for two numbers",
		Remedy: "Take one of them out",
		site: func(u *unit, report reportFunc) {
			for field, all := range map[string][]string{"places": u.site.Places, "box_kinds": u.site.ServerKinds} {
				eachDuplicate(len(all), func(i int) string { return all[i] }, func(i, _ int) { report(u.atSite("%s[%d]", field, i), all[i]) })
			}
			t, c := u.site.Tenants, u.site.Classes
			eachDuplicate(len(t), func(i int) string { return t[i].Name }, func(i, _ int) { report(u.atSite("tenant[%d].name", i), t[i].Name) })
			eachDuplicate(len(c), func(i int) string { return c[i].Name }, func(i, _ int) { report(u.atSite("class[%d].name", i), c[i].Name) })
		}},
}

// eachDuplicate calls f with each index whose key occurred before, and the first index with that key.
func eachDuplicate(n int, key func(int) string, f func(i, first int)) {
	seen := map[string]int{}
	for i := range n {
		k := key(i)
		if j, ok := seen[k]; ok && k != "" {
			f(i, j)
			continue
		}
		seen[k] = i
	}
}

// foldName returns a form of a name that is equal for names that differ only in case, width or composition.
func foldName(name string) string { return cases.Fold().String(norm.NFKC.String(name)) }

// invisibleCharacter returns the first invisible character as "U+200B", "" if there is none.
func invisibleCharacter(name string) string {
	for _, r := range name {
		if unicode.Is(unicode.Cf, r) || unicode.Is(unicode.Zs, r) && r != ' ' {
			return fmt.Sprintf("U+%04X", r)
		}
	}
	return ""
}

// scripts returns those scripts in a name whose letters are easily confused with others.
func scripts(name string) []string {
	var found []string
	for _, s := range []string{"Latin", "Greek", "Cyrillic", "Armenian", "Cherokee", "Arabic", "Hebrew"} {
		if strings.ContainsFunc(name, func(r rune) bool { return unicode.Is(unicode.Scripts[s], r) }) {
			found = append(found, s)
		}
	}
	return found
}
