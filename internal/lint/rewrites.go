package lint

import (
	"strings"

	"hazelwheel/internal/appconfig"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/rewrite"
)

var rewriteChecks = []Check{
	{Code: "HW150", Severity: Error, Title: "protected header field", Looks: "rewrite.name, rewrite.to",
		Says: "%[1]q is no field that a rule may touch",
		Why:  "Clients, sidecar and boxes rely on it: without its key a request runs twice. The sidecar refuses to start",
		Do:   "Write the name of a field that is neither protected nor hop-by-hop",
		extras: func(u *unit, say say) {
			u.eachRule(func(i int, r *appconfig.Rewrite) {
				for field, name := range map[string]string{"name": r.Name, "to": r.To} {
					if name != "" && (!http1.Token(name) || !rewrite.Free(name)) {
						say(u.atExtra("rewrite[%d].%s", i, field), name)
					}
				}
			})
		}},
	{Code: "HW151", Severity: Error, Title: "rule that lacks its part", Looks: "rewrite.op, rewrite.value, rewrite.to",
		Says: "%[1]s needs %[2]s",
		Why:  "The sidecar refuses to start",
		Do:   "Write it",
		extras: func(u *unit, say say) {
			u.eachRule(func(i int, r *appconfig.Rewrite) {
				if r.Op == "add" && r.Value == "" {
					say(u.atExtra("rewrite[%d].value", i).with(u.atExtra("rewrite[%d].op", i)), "add", "a value")
				}
				if r.Op == "rename" && r.To == "" {
					say(u.atExtra("rewrite[%d].to", i).with(u.atExtra("rewrite[%d].op", i)), "rename", "to, the new name")
				}
			})
		}},
	{Code: "HW152", Severity: Error, Title: "rule with a part that is not its", Looks: "rewrite.op, rewrite.value, rewrite.to",
		Says: "%[1]s has no %[2]s",
		Why:  "It may be that another operation was meant; the sidecar refuses to start",
		Do:   "Take it out, or write the operation that is meant",
		extras: func(u *unit, say say) {
			u.eachRule(func(i int, r *appconfig.Rewrite) {
				if r.Op != "add" && r.Op != "" && r.Value != "" {
					say(u.atExtra("rewrite[%d].value", i).with(u.atExtra("rewrite[%d].op", i)), r.Op, "value")
				}
				if r.Op != "rename" && r.Op != "" && r.To != "" {
					say(u.atExtra("rewrite[%d].to", i).with(u.atExtra("rewrite[%d].op", i)), r.Op, "to")
				}
			})
		}},
	{Code: "HW153", Severity: Error, Title: "rule for no request", Looks: "rewrite.class, rewrite.path_prefix",
		Says: "neither class nor path_prefix says for which requests the rule is",
		Why:  "The sidecar refuses to start: a rule for everything is rarely meant",
		Do:   "Write class, path_prefix or both; path_prefix = \"/\" is everything",
		extras: func(u *unit, say say) {
			u.eachRule(func(i int, r *appconfig.Rewrite) {
				if r.Class == "" && r.PathPrefix == "" {
					say(u.atExtra("rewrite[%d]", i).with(u.atExtra("rewrite[%d].class", i), u.atExtra("rewrite[%d].path_prefix", i)))
				}
			})
		}},
	{Code: "HW154", Severity: Error, Title: "prefix that is no path", Looks: "rewrite.path_prefix",
		Says: "%[1]q does not begin with \"/\"",
		Why:  "The sidecar refuses to start",
		Do:   "Write the path from its \"/\" on",
		extras: func(u *unit, say say) {
			u.eachRule(func(i int, r *appconfig.Rewrite) {
				if r.PathPrefix != "" && r.PathPrefix[0] != '/' {
					say(u.atExtra("rewrite[%d].path_prefix", i), r.PathPrefix)
				}
			})
		}},
	{Code: "HW155", Severity: Warning, Title: "rule that never applies", Looks: "rewrite.class, rewrite.path_prefix, class.name",
		Says: "no request fits: %[1]s",
		Why:  "What the rule was to hide or add is not hidden or added",
		Do:   "Write a path whose first part is the class",
		extras: func(u *unit, say say) {
			u.eachRule(func(i int, r *appconfig.Rewrite) {
				path, ok := strings.CutPrefix(r.PathPrefix, "/")
				if !ok || u.app == nil {
					return
				}
				at := u.atExtra("rewrite[%d].path_prefix", i).with(u.at("class"), u.atExtra("rewrite[%d].class", i))
				first, _, whole := strings.Cut(path, "/")
				if strings.ContainsAny(path, "?#") {
					say(at, "the path ends before the query")
					return
				}
				fits := false
				for _, c := range u.app.Classes {
					begins := c.Name == first || !whole && strings.HasPrefix(c.Name, first)
					fits = fits || begins && (r.Class == "" || r.Class == c.Name)
				}
				if !fits && (r.Class == "" || u.classOf(r.Class) != nil) {
					say(at, "paths that begin with "+r.PathPrefix+" are of no class, or of another than the rule's")
				}
			})
		}},
	{Code: "HW156", Severity: Warning, Title: "rule that an earlier one covers", Looks: "rewrite",
		Says: "the rule can never apply: rule %[1]d before it has taken %[2]s off all requests that this one is for",
		Why:  "The file says something that does not happen",
		Do:   "Take the rule out, or write it before the other",
		extras: func(u *unit, say say) {
			rules := u.extras.Rewrites
			for j := range rules {
				for i := range rules[:j] {
					a, b := &rules[i], &rules[j]
					takes := a.Op == "drop" || a.Op == "rename" && !strings.EqualFold(a.Name, a.To)
					if takes && b.Op != "add" && a.Dir == b.Dir && strings.EqualFold(a.Name, b.Name) && covers(a, b) && !restored(rules[i+1:j], b) {
						say(u.atExtra("rewrite[%d]", j), i+1, b.Name)
						break
					}
				}
			}
		}},
	{Code: "HW157", Severity: Warning, Title: "rule that changes nothing", Looks: "rewrite",
		Says: "%[1]s",
		Why:  "The file says something that does not happen, or happens twice",
		Do:   "Take the rule out",
		extras: func(u *unit, say say) {
			rules := u.extras.Rewrites
			for j, b := range rules {
				if b.Op == "rename" && strings.EqualFold(b.Name, b.To) {
					say(u.atExtra("rewrite[%d].to", j), "a field is renamed to its own name")
				}
				for _, a := range rules[:j] {
					if a == b && b.Op == "add" {
						say(u.atExtra("rewrite[%d]", j), "the same field is added twice")
					}
				}
			}
		}},
	{Code: "HW158", Severity: Error, Title: "control characters in a header", Looks: "rewrite.value",
		Says: "the value holds a control character",
		Why:  "It would end the header field, and what follows be read as another; the sidecar refuses to start",
		Do:   "Write plain text",
		extras: func(u *unit, say say) {
			u.eachRule(func(i int, r *appconfig.Rewrite) {
				if strings.ContainsFunc(r.Value, func(c rune) bool { return c < ' ' || c == 0x7f }) {
					say(u.atExtra("rewrite[%d].value", i))
				}
			})
		}},
}

func (u *unit) eachRule(f func(i int, r *appconfig.Rewrite)) {
	for i := range u.extras.Rewrites {
		f(i, &u.extras.Rewrites[i])
	}
}

// covers tells whether a rule is for all requests that another is for. A path begins with its class.
func covers(a, b *appconfig.Rewrite) bool {
	first, _, whole := strings.Cut(strings.TrimPrefix(b.PathPrefix, "/"), "/")
	class := a.Class == "" || a.Class == b.Class || whole && a.Class == first
	return class && (strings.HasPrefix(b.PathPrefix, a.PathPrefix) || b.Class != "" && strings.HasPrefix("/"+b.Class, a.PathPrefix))
}

// restored tells whether one of the rules may bring the field back that another is about.
func restored(rules []appconfig.Rewrite, b *appconfig.Rewrite) bool {
	for _, r := range rules {
		if r.Dir == b.Dir && (r.Op == "add" && strings.EqualFold(r.Name, b.Name) || r.Op == "rename" && strings.EqualFold(r.To, b.Name)) {
			return true
		}
	}
	return false
}
