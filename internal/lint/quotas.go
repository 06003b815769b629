package lint

import (
	"fmt"
	"slices"
	"strings"

	"hazelwheel/internal/appconfig"
	"hazelwheel/internal/decide/quota"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/quotas"
)

// groupBytes is what a group takes for each limit.
const groupBytes = 380

// tree returns the groups of quotas, if their file is among those that are checked and makes sense.
func tree(f *appconfig.File) (*quota.Tree, error) {
	if f == nil || f.Kind != appconfig.GroupsFile {
		return nil, nil
	}
	return quotas.Parse(f.Text)
}

// groupsKept is the memory that groups take.
func (u *unit) groupsKept() appconfig.Size {
	t, err := tree(u.groupsIn)
	if t == nil || err != nil || u.extras == nil || u.extras.Quotas == nil {
		return 0
	}
	return appconfig.Size(t.Len() * len(t.Limits) * groupBytes)
}

var quotaChecks = []Check{
	{Code: "HW170", Severity: Error, Title: "file of groups that makes no sense", Looks: "the file of groups",
		Says: "%[1]s",
		Why:  "The sidecar refuses to start, or keeps its old quotas at SIGHUP",
		Do:   "Put the group or the field right that is named",
		groups: func(f *appconfig.File, say say) {
			if _, err := tree(f); err != nil {
				say(ref{file: f, path: "-"}, err.Error())
			}
		}},
	{Code: "HW171", Severity: Error, Title: "rule that knows a group by nothing or by two things", Looks: "quotas.identify",
		Says: "%[1]d of header, addresses and class are given",
		Why:  "The sidecar refuses to start",
		Do:   "Write one of them, and a rule of its own for each other",
		extras: func(u *unit, say say) {
			u.eachIdentity(func(i int, r *appconfig.Identity) {
				n := 0
				for _, way := range []string{r.Header, r.Addresses, r.Class} {
					if way != "" {
						n++
					}
				}
				if n != 1 {
					say(u.atExtra("quotas.identify[%d]", i).with(u.atExtra("quotas.identify[%d].header", i),
						u.atExtra("quotas.identify[%d].addresses", i), u.atExtra("quotas.identify[%d].class", i)), n)
				}
			})
		}},
	{Code: "HW172", Severity: Error, Title: "rule with the wrong part", Looks: "quotas.identify.group, quotas.identify.header",
		Says: "%[1]s",
		Why:  "The sidecar refuses to start",
		Do:   "Write a group with addresses or class, and none with header, whose value names it",
		extras: func(u *unit, say say) {
			u.eachIdentity(func(i int, r *appconfig.Identity) {
				switch {
				case r.Header != "" && !http1.Token(r.Header):
					say(u.atExtra("quotas.identify[%d].header", i), fmt.Sprintf("%q is no header field's name", r.Header))
				case r.Header != "" && r.Group != "" && r.Class == "" && r.Addresses == "":
					say(u.atExtra("quotas.identify[%d].group", i), "a rule by a header field has no group of its own")
				case r.Header == "" && r.Group == "" && (r.Class != "" || r.Addresses != ""):
					say(u.atExtra("quotas.identify[%d].group", i), "the rule names no group")
				}
			})
		}},
	{Code: "HW173", Severity: Warning, Title: "rule that an earlier one covers", Looks: "quotas.identify",
		Says: "rule %[1]d before it knows all requests that this one is for",
		Why:  "The first rule that fits decides, so this one never does, and its group gets nothing",
		Do:   "Write the narrower rule first, or take it out",
		extras: func(u *unit, say say) {
			if u.extras.Quotas == nil {
				return
			}
			rules := u.extras.Quotas.Identify
			for j, b := range rules {
				for i, a := range rules[:j] {
					p, q := prefix(a.Addresses), prefix(b.Addresses)
					inside := p.IsValid() && q.IsValid() && p.Bits() <= q.Bits() && p.Contains(q.Addr())
					if a.Class != "" && a.Class == b.Class || inside {
						say(u.atExtra("quotas.identify[%d]", j), i+1)
						break
					}
				}
			}
		}},
	{Code: "HW174", Severity: Warning, Title: "class that is exempt and has a floor", Looks: "quotas.exempt, quotas.floor",
		Says: "the class %[1]q is exempt, so its floor means nothing",
		Why:  "Groups keep a part of their quota for it that nobody uses",
		Do:   "Name the class in one of the two",
		extras: func(u *unit, say say) {
			if q := u.extras.Quotas; q != nil {
				for i, name := range q.Floor {
					if slices.Contains(q.Exempt, name) {
						say(u.atExtra("quotas.floor[%d]", i), name)
					}
				}
			}
		}},
	{Code: "HW175", Severity: Error, Title: "group that is not there", Looks: "quotas.default, quotas.identify.group, the file of groups",
		Says: "%[1]s",
		Why:  "The sidecar refuses to start",
		Do:   "Write the path of a group without others below it, with dots",
		extras: func(u *unit, say say) {
			t, err := tree(u.groupsIn)
			if q := u.extras.Quotas; q != nil && t != nil && err == nil {
				s := quotas.Settings{DefaultGroup: q.Default}
				if err := s.Validate(t); err != nil {
					say(u.atExtra("quotas.default"), strings.TrimPrefix(err.Error(), "default: "))
				}
				for i, r := range q.Identify {
					s = quotas.Settings{DefaultGroup: r.Group}
					if err := s.Validate(t); err != nil && r.Header == "" && r.Group != "" {
						say(u.atExtra("quotas.identify[%d].group", i), strings.TrimPrefix(err.Error(), "default: "))
					}
				}
			}
		}},
}

func (u *unit) eachIdentity(f func(i int, r *appconfig.Identity)) {
	if u.extras.Quotas == nil {
		return
	}
	for i := range u.extras.Quotas.Identify {
		f(i, &u.extras.Quotas.Identify[i])
	}
}
