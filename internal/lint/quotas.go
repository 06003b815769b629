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

// groupBytes is the memory that a quota group needs for each limit.
const groupBytes = 380

// parseGroups parses the file of quota groups; nil if f is no such file.
func parseGroups(f *appconfig.File) (*quota.Tree, error) {
	if f == nil || f.Kind != appconfig.GroupsFile {
		return nil, nil
	}
	return quotas.Parse(f.Text)
}

// groupsBytes returns the memory that the quota groups need.
func (u *unit) groupsBytes() appconfig.Size {
	t, err := parseGroups(u.groupsFile)
	if t == nil || err != nil || u.features == nil || u.features.Quotas == nil {
		return 0
	}
	return appconfig.Size(t.Len() * len(t.Limits) * groupBytes)
}

var quotaChecks = []Check{
	{Code: "HW170", Severity: Error, Title: "file of groups that makes no sense", Subject: "the file of groups",
		Format: "%[1]s",
		Reason: "The sidecar refuses to start, or keeps its old quotas at SIGHUP",
		Remedy: "Put the group or the field right that is named",
		groups: func(f *appconfig.File, report reportFunc) {
			if _, err := parseGroups(f); err != nil {
				report(ref{file: f, path: "-"}, err.Error())
			}
		}},
	{Code: "HW171", Severity: Error, Title: "rule that knows a group by nothing or by two things", Subject: "quotas.identify",
		Format: "%[1]d of header, addresses and class are given",
		Reason: "The sidecar refuses to start",
		Remedy: "Write one of them, and a rule of its own for each other",
		features: func(u *unit, report reportFunc) {
			u.eachIdentity(func(i int, r *appconfig.Identity) {
				n := 0
				for _, way := range []string{r.Header, r.Addresses, r.Class} {
					if way != "" {
						n++
					}
				}
				if n != 1 {
					report(u.atFeature("quotas.identify[%d]", i).with(u.atFeature("quotas.identify[%d].header", i),
						u.atFeature("quotas.identify[%d].addresses", i), u.atFeature("quotas.identify[%d].class", i)), n)
				}
			})
		}},
	{Code: "HW172", Severity: Error, Title: "rule with the wrong part", Subject: "quotas.identify.group, quotas.identify.header",
		Format: "%[1]s",
		Reason: "The sidecar refuses to start",
		Remedy: "Write a group with addresses or class, and none with header, whose value names it",
		features: func(u *unit, report reportFunc) {
			u.eachIdentity(func(i int, r *appconfig.Identity) {
				switch {
				case r.Header != "" && !http1.IsToken(r.Header):
					report(u.atFeature("quotas.identify[%d].header", i), fmt.Sprintf("%q is no header field's name", r.Header))
				case r.Header != "" && r.Group != "" && r.Class == "" && r.Addresses == "":
					report(u.atFeature("quotas.identify[%d].group", i), "a rule by a header field has no group of its own")
				case r.Header == "" && r.Group == "" && (r.Class != "" || r.Addresses != ""):
					report(u.atFeature("quotas.identify[%d].group", i), "the rule names no group")
				}
			})
		}},
	{Code: "HW173", Severity: Warning, Title: "rule that an earlier one covers", Subject: "quotas.identify",
		Format: "rule %[1]d before it knows all requests that this one is for",
		Reason: "The first rule that fits decides, so this one never does, and its group gets nothing",
		Remedy: "Write the narrower rule first, or take it out",
		features: func(u *unit, report reportFunc) {
			if u.features.Quotas == nil {
				return
			}
			rules := u.features.Quotas.Identify
			for j, b := range rules {
				for i, a := range rules[:j] {
					p, q := prefix(a.Addresses), prefix(b.Addresses)
					inside := p.IsValid() && q.IsValid() && p.Bits() <= q.Bits() && p.Contains(q.Addr())
					if a.Class != "" && a.Class == b.Class || inside {
						report(u.atFeature("quotas.identify[%d]", j), i+1)
						break
					}
				}
			}
		}},
	{Code: "HW174", Severity: Warning, Title: "class that is exempt and has a floor", Subject: "quotas.exempt, quotas.floor",
		Format: "the class %[1]q is exempt, so its floor means nothing",
		Reason: "Groups keep a part of their quota for it that nobody uses",
		Remedy: "Name the class in one of the two",
		features: func(u *unit, report reportFunc) {
			if q := u.features.Quotas; q != nil {
				for i, name := range q.Floor {
					if slices.Contains(q.Exempt, name) {
						report(u.atFeature("quotas.floor[%d]", i), name)
					}
				}
			}
		}},
	{Code: "HW175", Severity: Error, Title: "group that is not there", Subject: "quotas.default, quotas.identify.group, the file of groups",
		Format: "%[1]s",
		Reason: "The sidecar refuses to start",
		Remedy: "Write the path of a group without others below it, with dots",
		features: func(u *unit, report reportFunc) {
			t, err := parseGroups(u.groupsFile)
			if q := u.features.Quotas; q != nil && t != nil && err == nil {
				s := quotas.Settings{DefaultGroup: q.Default}
				if err := s.Validate(t); err != nil {
					report(u.atFeature("quotas.default"), strings.TrimPrefix(err.Error(), "default: "))
				}
				for i, r := range q.Identify {
					s = quotas.Settings{DefaultGroup: r.Group}
					if err := s.Validate(t); err != nil && r.Header == "" && r.Group != "" {
						report(u.atFeature("quotas.identify[%d].group", i), strings.TrimPrefix(err.Error(), "default: "))
					}
				}
			}
		}},
}

func (u *unit) eachIdentity(f func(i int, r *appconfig.Identity)) {
	if u.features.Quotas == nil {
		return
	}
	for i := range u.features.Quotas.Identify {
		f(i, &u.features.Quotas.Identify[i])
	}
}
