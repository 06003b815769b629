package lint

import (
	"strings"

	"hazelwheel/internal/appconfig"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/rewrite"
)

var rewriteChecks = []Check{
	{Code: "HW150", Severity: Error, Title: "protected header field", Subject: "rewrite.name, rewrite.to",
		Format: "%[1]q is no field that a rule may touch",
		Reason: "Clients, sidecar and boxes rely on it: without its key a request runs twice. The sidecar refuses to start",
		Remedy: "Write the name of a field that is neither protected nor hop-by-hop",
		features: func(u *unit, report reportFunc) {
			u.eachRule(func(i int, r *appconfig.Rewrite) {
				for field, name := range map[string]string{"name": r.Name, "to": r.To} {
					if name != "" && (!http1.IsToken(name) || !rewrite.Free(name)) {
						report(u.atFeature("rewrite[%d].%s", i, field), name)
					}
				}
			})
		}},
	{Code: "HW151", Severity: Error, Title: "rule that lacks its part", Subject: "rewrite.op, rewrite.value, rewrite.to",
		Format: "%[1]s needs %[2]s",
		Reason: "The sidecar refuses to start",
		Remedy: "Write it",
		features: func(u *unit, report reportFunc) {
			u.eachRule(func(i int, r *appconfig.Rewrite) {
				if r.Op == "add" && r.Value == "" {
					report(u.atFeature("rewrite[%d].value", i).with(u.atFeature("rewrite[%d].op", i)), "add", "a value")
				}
				if r.Op == "rename" && r.To == "" {
					report(u.atFeature("rewrite[%d].to", i).with(u.atFeature("rewrite[%d].op", i)), "rename", "to, the new name")
				}
			})
		}},
	{Code: "HW152", Severity: Error, Title: "rule with a part that is not its", Subject: "rewrite.op, rewrite.value, rewrite.to",
		Format: "%[1]s has no %[2]s",
		Reason: "It may be that another operation was meant; the sidecar refuses to start",
		Remedy: "Take it out, or write the operation that is meant",
		features: func(u *unit, report reportFunc) {
			u.eachRule(func(i int, r *appconfig.Rewrite) {
				if r.Op != "add" && r.Op != "" && r.Value != "" {
					report(u.atFeature("rewrite[%d].value", i).with(u.atFeature("rewrite[%d].op", i)), r.Op, "value")
				}
				if r.Op != "rename" && r.Op != "" && r.To != "" {
					report(u.atFeature("rewrite[%d].to", i).with(u.atFeature("rewrite[%d].op", i)), r.Op, "to")
				}
			})
		}},
	{Code: "HW153", Severity: Error, Title: "rule for no request", Subject: "rewrite.class, rewrite.path_prefix",
		Format: "neither class nor path_prefix says for which requests the rule is",
		Reason: "The sidecar refuses to start: a rule for everything is rarely meant",
		Remedy: "Write class, path_prefix or both; path_prefix = \"/\" is everything",
		features: func(u *unit, report reportFunc) {
			u.eachRule(func(i int, r *appconfig.Rewrite) {
				if r.Class == "" && r.PathPrefix == "" {
					report(u.atFeature("rewrite[%d]", i).with(u.atFeature("rewrite[%d].class", i), u.atFeature("rewrite[%d].path_prefix", i)))
				}
			})
		}},
	{Code: "HW154", Severity: Error, Title: "prefix that is no path", Subject: "rewrite.path_prefix",
		Format: "%[1]q does not begin with \"/\"",
		Reason: "The sidecar refuses to start",
		Remedy: "Write the path from its \"/\" on",
		features: func(u *unit, report reportFunc) {
			u.eachRule(func(i int, r *appconfig.Rewrite) {
				if r.PathPrefix != "" && r.PathPrefix[0] != '/' {
					report(u.atFeature("rewrite[%d].path_prefix", i), r.PathPrefix)
				}
			})
		}},
	{Code: "HW155", Severity: Warning, Title: "rule that never applies", Subject: "rewrite.class, rewrite.path_prefix, class.name",
		Format: "no request fits: %[1]s",
		Reason: "What the rule was to hide or add is not hidden or added",
		Remedy: "Write a path whose first part is the class",
		features: func(u *unit, report reportFunc) {
			u.eachRule(func(i int, r *appconfig.Rewrite) {
				path, ok := strings.CutPrefix(r.PathPrefix, "/")
				if !ok || u.app == nil {
					return
				}
				at := u.atFeature("rewrite[%d].path_prefix", i).with(u.at("class"), u.atFeature("rewrite[%d].class", i))
				first, _, isCompleteSegment := strings.Cut(path, "/")
				if strings.ContainsAny(path, "?#") {
					report(at, "the path ends before the query")
					return
				}
				fits := false
				for _, c := range u.app.Classes {
					begins := c.Name == first || !isCompleteSegment && strings.HasPrefix(c.Name, first)
					fits = fits || begins && (r.Class == "" || r.Class == c.Name)
				}
				if !fits && (r.Class == "" || u.classOf(r.Class) != nil) {
					report(at, "paths that begin with "+r.PathPrefix+" are of no class, or of another than the rule's")
				}
			})
		}},
	{Code: "HW156", Severity: Warning, Title: "rule that an earlier one covers", Subject: "rewrite",
		Format: "the rule can never apply: rule %[1]d before it has taken %[2]s off all requests that this one is for",
		Reason: "The file says something that does not happen",
		Remedy: "Take the rule out, or write it before the other",
		features: func(u *unit, report reportFunc) {
			rules := u.features.Rewrites
			for j := range rules {
				for i := range rules[:j] {
					a, b := &rules[i], &rules[j]
					takes := a.Op == "drop" || a.Op == "rename" && !strings.EqualFold(a.Name, a.To)
					if takes && b.Op != "add" && a.Dir == b.Dir && strings.EqualFold(a.Name, b.Name) && covers(a, b) && !restored(rules[i+1:j], b) {
						report(u.atFeature("rewrite[%d]", j), i+1, b.Name)
						break
					}
				}
			}
		}},
	{Code: "HW157", Severity: Warning, Title: "rule that changes nothing", Subject: "rewrite",
		Format: "%[1]s",
		Reason: "The file says something that does not happen, or happens twice",
		Remedy: "Take the rule out",
		features: func(u *unit, report reportFunc) {
			rules := u.features.Rewrites
			for j, b := range rules {
				if b.Op == "rename" && strings.EqualFold(b.Name, b.To) {
					report(u.atFeature("rewrite[%d].to", j), "a field is renamed to its own name")
				}
				for _, a := range rules[:j] {
					if a == b && b.Op == "add" {
						report(u.atFeature("rewrite[%d]", j), "the same field is added twice")
					}
				}
			}
		}},
	{Code: "HW158", Severity: Error, Title: "control characters in a header", Subject: "rewrite.value",
		Format: "the value holds a control character",
		Reason: "It would end the header field, and what follows be read as another; the sidecar refuses to start",
		Remedy: "Write plain text",
		features: func(u *unit, report reportFunc) {
			u.eachRule(func(i int, r *appconfig.Rewrite) {
				if strings.ContainsFunc(r.Value, func(c rune) bool { return c < ' ' || c == 0x7f }) {
					report(u.atFeature("rewrite[%d].value", i))
				}
			})
		}},
}

func (u *unit) eachRule(f func(i int, r *appconfig.Rewrite)) {
	for i := range u.features.Rewrites {
		f(i, &u.features.Rewrites[i])
	}
}

// covers reports whether rule a matches all requests that rule b matches. The first segment of a path is the request's class.
func covers(a, b *appconfig.Rewrite) bool {
	first, _, isCompleteSegment := strings.Cut(strings.TrimPrefix(b.PathPrefix, "/"), "/")
	class := a.Class == "" || a.Class == b.Class || isCompleteSegment && a.Class == first
	return class && (strings.HasPrefix(b.PathPrefix, a.PathPrefix) || b.Class != "" && strings.HasPrefix("/"+b.Class, a.PathPrefix))
}

// restored reports whether one of the rules may add the field of rule b again.
func restored(rules []appconfig.Rewrite, b *appconfig.Rewrite) bool {
	for _, r := range rules {
		if r.Dir == b.Dir && (r.Op == "add" && strings.EqualFold(r.Name, b.Name) || r.Op == "rename" && strings.EqualFold(r.To, b.Name)) {
			return true
		}
	}
	return false
}
