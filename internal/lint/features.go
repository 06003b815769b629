package lint

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"hazelwheel/internal/appconfig"
	"hazelwheel/internal/sidecarconfig"
)

// classRefs lists the sections that the model doesn't describe and that refer to classes: the texts below these keys are names
// of classes. Add a row for each such section of a new feature.
var classRefs = []struct {
	section string
	keys    []string
	of      func(*appconfig.App) map[string]any
}{
	{"thrift", []string{"class"}, func(a *appconfig.App) map[string]any { return a.Thrift }},
}

// eachClassName calls f with each name of a class that the features refer to, and its field.
func (u *unit) eachClassName(f func(name string, at ref)) {
	for i, d := range u.features.Drills {
		f(d.Class, u.atFeature("drill[%d].class", i))
	}
	for i, r := range u.features.Rewrites {
		if r.Class != "" {
			f(r.Class, u.atFeature("rewrite[%d].class", i))
		}
	}
	if q := u.features.Quotas; q != nil {
		for i, name := range q.Exempt {
			f(name, u.atFeature("quotas.exempt[%d]", i))
		}
		for i, name := range q.Floor {
			f(name, u.atFeature("quotas.floor[%d]", i))
		}
		for i, r := range q.Identify {
			if r.Class != "" {
				f(r.Class, u.atFeature("quotas.identify[%d].class", i))
			}
		}
	}
	for _, r := range classRefs {
		eachClassNameIn(r.of(u.features), r.keys, false, r.section, func(name, path string) { f(name, u.atFeature("%s", path)) })
	}
}

// eachClassNameIn calls f with each name of a class in a section. inside means that v is below one of the keys.
func eachClassNameIn(v any, keys []string, inside bool, path string, f func(name, path string)) {
	switch v := v.(type) {
	case map[string]any:
		for key, e := range v {
			eachClassNameIn(e, keys, inside || slices.Contains(keys, key), path+"."+key, f)
		}
	case []any:
		for i, e := range v {
			eachClassNameIn(e, keys, inside, fmt.Sprintf("%s[%d]", path, i), f)
		}
	case string:
		if inside {
			f(v, path)
		}
	}
}

var featureChecks = []Check{
	{Code: "HW130", Severity: Error, Title: "feature for a class that is not there", Subject: "classes in drills, rewrites, quotas, Thrift",
		Format: "there is no class %[1]q",
		Reason: "It would never apply, and the sidecar refuses to start",
		Remedy: "%[2]s",
		features: func(u *unit, report reportFunc) {
			if u.app == nil {
				return
			}
			var names []string
			for _, c := range u.app.Classes {
				names = append(names, c.Name)
			}
			u.eachClassName(func(name string, at ref) {
				if !slices.Contains(names, name) {
					do := "Write one of " + strings.Join(names, ", ")
					if near := appconfig.Nearest(name, names); near != "" {
						do = "Write " + near + " if that is meant"
					}
					report(at.with(u.at("class")), name, do)
				}
			})
		}},
	{Code: "HW131", Severity: Warning, Title: "drills that nobody can start", Subject: "drill, drill_secret_sha256",
		Format: "there are drills and no secret to start them with",
		Reason: "The rehearsal does not take place",
		Remedy: "Write the SHA-256 of a secret as drill_secret_sha256 (drills.secret_sha256)",
		features: func(u *unit, report reportFunc) {
			if len(u.features.Drills) > 0 && u.features.DrillSecret == "" {
				report(u.atFeature("drill").with(u.atFeature("drill_secret_sha256")))
			}
		}},
	{Code: "HW132", Severity: Error, Title: "secret's hash that is none", Subject: "drill_secret_sha256",
		Format: "it is not the SHA-256 of a secret",
		Reason: "Nobody could start a drill, and the sidecar refuses to start",
		Remedy: "Write 64 hexadecimal digits: printf %%s SECRET | sha256sum",
		features: func(u *unit, report reportFunc) {
			if sum, err := hex.DecodeString(u.features.DrillSecret); u.features.DrillSecret != "" && (err != nil || len(sum) != sha256.Size) {
				report(u.atFeature("drill_secret_sha256"), "")
			}
		}},
	{Code: "HW133", Severity: Warning, Title: "secret that everybody has", Subject: "drill_secret_sha256",
		Format: "it is the hash of %[1]s",
		Reason: "Whoever reaches the sidecar can slow requests down or refuse them",
		Remedy: "Write the hash of a secret of your own",
		features: func(u *unit, report reportFunc) {
			for text, what := range map[string]string{"": "nothing at all", "foo": "the documentation's example", "secret": `"secret"`, "password": `"password"`, "changeme": `"changeme"`} {
				sum := sha256.Sum256([]byte(text))
				if got, err := hex.DecodeString(u.features.DrillSecret); err == nil && bytes.Equal(got, sum[:]) {
					report(u.atFeature("drill_secret_sha256"), what)
				}
			}
		}},
	{Code: "HW134", Severity: Error, Title: "name of a drill", Subject: "drill.name",
		Format: "%[1]q is not a name of its own of at most 64 letters, digits, '.', '_' and '-'",
		Reason: "The sidecar refuses to start",
		Remedy: "Write a plain name that no other drill has",
		features: func(u *unit, report reportFunc) {
			all := u.features.Drills
			for i, d := range all {
				if !isPlainName(d.Name) {
					report(u.atFeature("drill[%d].name", i), d.Name)
				}
			}
			eachDuplicate(len(all), func(i int) string { return all[i].Name }, func(i, _ int) { report(u.atFeature("drill[%d].name", i), all[i].Name) })
		}},
	{Code: "HW135", Severity: Warning, Title: "drill that does nothing", Subject: "drill.share, drill.delay, drill.abort",
		Format: "the drill %[1]q touches no request, or changes nothing about it",
		Reason: "A rehearsal that shows nothing is taken for one that went well",
		Remedy: "Write a share above 0, and a delay or abort = \"503\"",
		features: func(u *unit, report reportFunc) {
			for i, d := range u.features.Drills {
				if d.Share == 0 || d.Delay == 0 && d.Abort == "none" {
					report(u.atFeature("drill[%d]", i).with(u.atFeature("drill[%d].share", i), u.atFeature("drill[%d].delay", i), u.atFeature("drill[%d].abort", i)), d.Name)
				}
			}
		}},
	{Code: "HW136", Severity: Warning, Title: "drills that are more than all requests", Subject: "drill.share",
		Format: "the drills of class %[1]s take %[2]g %% of its requests together",
		Reason: "When all run, the last gets less than its share, and no request is served as usual",
		Remedy: "Write shares of a class that are at most 100 together",
		features: func(u *unit, report reportFunc) {
			sum := map[string]float64{}
			for i, d := range u.features.Drills {
				if sum[d.Class] += d.Share; sum[d.Class] > 100 && sum[d.Class]-d.Share <= 100 {
					report(u.atFeature("drill[%d].share", i), d.Class, sum[d.Class])
				}
			}
		}},
	{Code: "HW137", Severity: Warning, Title: "drill longer than the request", Subject: "drill.delay, class.deadline",
		Format: "the delay %[1]s is not below the deadline %[2]s of class %[3]s",
		Reason: "Delays are cut to leave the decisions a fifth of the time, so the drill rehearses something else",
		Remedy: "Write a delay well below %[2]s",
		features: func(u *unit, report reportFunc) {
			for i, d := range u.features.Drills {
				if c := u.classOf(d.Class); c != nil && c.Deadline > 0 && d.Delay >= c.Deadline {
					report(u.atFeature("drill[%d].delay", i), d.Delay, c.Deadline, d.Class)
				}
			}
		}},
	{Code: "HW138", Severity: Error, Title: "reserve beyond the descriptors", Subject: "admission.reserve, limits.sockets",
		Format: "%[1]d connections are kept for known clients, more than a quarter of %[2]d descriptors",
		Reason: "Too little would be left for others, and the sidecar refuses to start",
		Remedy: "Write at most %[3]d",
		features: func(u *unit, report reportFunc) {
			if a := u.features.Admission; a != nil && u.app != nil && a.Reserve > u.app.Limits.Sockets/4 {
				report(u.atFeature("admission.reserve").with(u.at("limits.sockets")), a.Reserve, u.app.Limits.Sockets, u.app.Limits.Sockets/4)
			}
		}},
	{Code: "HW139", Severity: Error, Title: "no address or prefix", Subject: "admission.known, admission.cap.prefix, quotas.identify.addresses",
		Format: "%[1]q is neither an address nor a prefix",
		Reason: "The sidecar refuses to start",
		Remedy: "Write it like 10.1.2.3 or 10.1.0.0/16",
		features: func(u *unit, report reportFunc) {
			u.eachPrefix(func(text string, at ref) {
				if !prefix(text).IsValid() {
					report(at, text)
				}
			})
		}},
	{Code: "HW140", Severity: Error, Title: "caps that overlap", Subject: "admission.cap.prefix, admission.cap.links",
		Format: "%[1]s overlaps with %[2]s, which has another cap",
		Reason: "It would be a guess which holds, and the sidecar refuses to start",
		Remedy: "Write prefixes that do not overlap",
		features: func(u *unit, report reportFunc) {
			if u.features.Admission == nil {
				return
			}
			for i, c := range u.features.Admission.Caps {
				for _, other := range u.features.Admission.Caps[:i] {
					if p, q := prefix(c.Prefix), prefix(other.Prefix); p.IsValid() && q.IsValid() && p.Overlaps(q) && c.Links != other.Links {
						report(u.atFeature("admission.cap[%d].prefix", i), c.Prefix, other.Prefix)
						break
					}
				}
			}
		}},
	{Code: "HW141", Severity: Warning, Title: "everybody known", Subject: "admission.known",
		Format: "%[1]s is every address",
		Reason: "Who is known keeps a place in a flood; where all are, the flood is known, too",
		Remedy: "Write the prefixes of your own clients",
		features: func(u *unit, report reportFunc) {
			if u.features.Admission == nil {
				return
			}
			for i, text := range u.features.Admission.Known {
				if p := prefix(text); p.IsValid() && p.Bits() == 0 {
					report(u.atFeature("admission.known[%d]", i), text)
				}
			}
		}},
	{Code: "HW142", Severity: Note, Title: "bound that is never met", Subject: "admission.per_address, admission.cap.links, limits.sockets",
		Format: "%[1]d is more than the %[2]d connections that clients can hold at all",
		Reason: "The bound protects nobody",
		Remedy: "Write a number below %[2]d",
		features: func(u *unit, report reportFunc) {
			a := u.features.Admission
			if a == nil || u.app == nil {
				return
			}
			limit := int(clientShare * float64(u.maxConnections()))
			if a.PerAddress > limit {
				report(u.atFeature("admission.per_address").with(u.at("limits.sockets")), a.PerAddress, limit)
			}
			for i, c := range a.Caps {
				if c.Links > limit {
					report(u.atFeature("admission.cap[%d].links", i).with(u.at("limits.sockets")), c.Links, limit)
				}
			}
		}},
	{Code: "HW143", Severity: Error, Title: "address of a fleet that nobody can dial", Subject: "fleet.listen, fleet.advertise, fleet.join",
		Format: "%[1]q is no address with a port that another sidecar can dial",
		Reason: "The sidecar refuses to start",
		Remedy: "Write it like 10.0.0.7:7946; where fleet.listen is 0.0.0.0, write fleet.advertise beside it",
		features: func(u *unit, report reportFunc) {
			f := u.features.Fleet
			if f == nil {
				return
			}
			if a, err := netip.ParseAddrPort(f.Listen); f.Listen != "" && (err != nil || a.Port() == 0 || a.Addr().IsUnspecified() && f.Advertise == "") {
				report(u.atFeature("fleet.listen"), f.Listen)
			}
			if f.Advertise != "" && !sidecarconfig.Dialable(f.Advertise) {
				report(u.atFeature("fleet.advertise"), f.Advertise)
			}
			for i, s := range f.Join {
				if !sidecarconfig.Dialable(s) {
					report(u.atFeature("fleet.join[%d]", i), s)
				}
			}
		}},
	{Code: "HW144", Severity: Warning, Title: "nobody to join", Subject: "fleet.join",
		Format: "the fleet %[1]q has no address to join but this sidecar's own",
		Reason: "It finds others only if one of them joins here; after a restart of all nobody may",
		Remedy: "Write the addresses of two or three others",
		features: func(u *unit, report reportFunc) {
			f := u.features.Fleet
			if f != nil && !slices.ContainsFunc(f.Join, func(s string) bool { return s != f.Listen && s != f.Advertise }) {
				report(u.atFeature("fleet.join").with(u.atFeature("fleet.listen")), f.Name)
			}
		}},
	{Code: "HW145", Severity: Warning, Title: "sidecar that forgets who it was", Subject: "fleet.dir",
		Format: "fleet.dir is missing: each start of the process is a new sidecar",
		Reason: "The old one counts as dead for a while beside the new one, and may own nothing",
		Remedy: "Write a folder that outlives the process",
		features: func(u *unit, report reportFunc) {
			if f := u.features.Fleet; f != nil && f.Dir == "" {
				report(u.atFeature("fleet"))
			}
		}},
	{Code: "HW146", Severity: Error, Title: "electors that can't agree", Subject: "fleet.electors",
		Format: "%[1]v are not 3, 5 or 7 different addresses with their ports",
		Reason: "A majority of them decides who owns a job; the sidecar refuses to start",
		Remedy: "Name three sidecars that rarely go, the same three in each sidecar's file",
		features: func(u *unit, report reportFunc) {
			f := u.features.Fleet
			if f == nil || f.Voters == nil {
				return
			}
			n := len(slices.Compact(slices.Sorted(slices.Values(f.Voters))))
			odd := slices.ContainsFunc(f.Voters, func(s string) bool { return !sidecarconfig.Dialable(s) })
			if odd || n != len(f.Voters) || n != 3 && n != 5 && n != 7 {
				report(u.atFeature("fleet.electors"), f.Voters)
			}
		}},
	{Code: "HW147", Severity: Error, Title: "elector that would forget its votes", Subject: "fleet.electors, fleet.dir",
		Format: "this sidecar is one of the electors, and fleet.dir is missing",
		Reason: "Two could be granted one job by an elector that votes twice; the sidecar refuses to start",
		Remedy: "Write a folder that outlives the process, or name another elector in all files",
		features: func(u *unit, report reportFunc) {
			f := u.features.Fleet
			if f == nil || f.Dir != "" {
				return
			}
			if own := cmp.Or(f.Advertise, f.Listen); slices.Contains(f.Voters, own) {
				report(u.atFeature("fleet.electors"))
			}
		}},
	{Code: "HW148", Severity: Error, Title: "jobs that nobody grants", Subject: "fleet.jobs, fleet.electors",
		Format: "the jobs %[1]v can't be owned: %[2]s",
		Reason: "The sidecar refuses to start",
		Remedy: "Write jobs that there are (list, report, drill, works), and electors beside them",
		features: func(u *unit, report reportFunc) {
			f := u.features.Fleet
			if f == nil || len(f.Jobs) == 0 {
				return
			}
			unknown := slices.ContainsFunc(f.Jobs, func(s string) bool { return !slices.Contains(sidecarconfig.Jobs, s) })
			switch {
			case len(f.Voters) == 0:
				report(u.atFeature("fleet.jobs"), f.Jobs, "fleet.electors is missing")
			case unknown, len(slices.Compact(slices.Sorted(slices.Values(f.Jobs)))) != len(f.Jobs):
				report(u.atFeature("fleet.jobs"), f.Jobs, "one is unknown, or there twice")
			}
		}},
	{Code: "HW149", Severity: Warning, Title: "sidecar that forgets which boxes are out", Subject: "fleet.jobs, fleet.dir",
		Format: "the fleet settles work on boxes, and fleet.dir is missing",
		Reason: "After a restart this sidecar must ask which boxes are out; where nobody answers at once it sends to a box that is worked on",
		Remedy: "Write a folder that outlives the process",
		features: func(u *unit, report reportFunc) {
			if f := u.features.Fleet; f != nil && f.Dir == "" && slices.Contains(f.Jobs, "works") {
				report(u.atFeature("fleet.jobs"))
			}
		}},
}

func (u *unit) classOf(name string) *appconfig.Class {
	if u.app == nil {
		return nil
	}
	for i := range u.app.Classes {
		if u.app.Classes[i].Name == name {
			return &u.app.Classes[i]
		}
	}
	return nil
}

// eachPrefix calls f with each address or prefix of the quota rules and of admission.
func (u *unit) eachPrefix(f func(text string, at ref)) {
	if q := u.features.Quotas; q != nil {
		for i, r := range q.Identify {
			if r.Addresses != "" {
				f(r.Addresses, u.atFeature("quotas.identify[%d].addresses", i))
			}
		}
	}
	if u.features.Admission == nil {
		return
	}
	for i, text := range u.features.Admission.Known {
		f(text, u.atFeature("admission.known[%d]", i))
	}
	for i, c := range u.features.Admission.Caps {
		f(c.Prefix, u.atFeature("admission.cap[%d].prefix", i))
	}
}

// prefix parses an IP prefix, or an address as a prefix of full length; the zero value if it is invalid.
func prefix(text string) netip.Prefix {
	if a, err := netip.ParseAddr(text); err == nil {
		return netip.PrefixFrom(a.Unmap(), a.Unmap().BitLen())
	}
	p, _ := netip.ParsePrefix(text)
	return p.Masked()
}

// isPlainName reports whether a name can be used without quoting in a path, a log line and a metric.
func isPlainName(s string) bool {
	odd := func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !letter && !strings.ContainsRune("._-", r)
	}
	return strings.Trim(s, ".") != "" && len(s) <= 64 && !strings.ContainsFunc(s, odd)
}
