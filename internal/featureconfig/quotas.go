package featureconfig

import (
	"fmt"
	"strings"

	"hazelwheel/internal/http1"
	"hazelwheel/internal/quotas"
	"hazelwheel/internal/sidecarconfig"
)

// readQuotas reads the quota settings, and the file of groups that they refer to.
func (f *Features) readQuotas(o *object, cfg *sidecarconfig.Config) {
	_, isPresent := o.fields["quotas"]
	for name := range o.fields {
		isPresent = isPresent || strings.HasPrefix(name, "quotas.")
	}
	if !isPresent {
		return
	}
	q := &f.Quotas
	*q = quotas.Defaults()
	o.flatten("quotas", "file", "identify", "default", "exempt", "floor", "dir", "snapshot_s", "stretch", "repay", "forget_s")
	text := func(s string) bool { return s != "" }
	decodeField(o, "quotas.file", &q.File, "the path of a file of groups", text)
	decodeField(o, "quotas.default", &q.DefaultGroup, "the group of requests that no rule of quotas.identify knows", text)
	decodeField(o, "quotas.dir", &q.SnapshotDir, "the path of a folder", text)
	decodeField(o, "quotas.snapshot_s", &q.SnapshotIntervalSeconds, "1 to 3600", func(v float64) bool { return v >= 1 && v <= 3600 })
	decodeField(o, "quotas.stretch", &q.StretchFraction, "0 to 0.5", func(v float64) bool { return v >= 0 && v <= 0.5 })
	decodeField(o, "quotas.repay", &q.RepayFraction, "0 to 0.5", func(v float64) bool { return v >= 0 && v <= 0.5 })
	decodeField(o, "quotas.forget_s", &q.FadeSeconds, "60 to 2678400", func(v float64) bool { return v >= 60 && v <= 31*86400 })
	for _, list := range []struct {
		name    string
		classes *[]string
	}{{"quotas.exempt", &q.ExemptClasses}, {"quotas.floor", &q.FloorClasses}} {
		decodeField(o, list.name, list.classes, "a list of classes of the settings", func(names []string) bool {
			for _, name := range names {
				if !hasClass(cfg, name) {
					return false
				}
			}
			return true
		})
	}
	for _, e := range o.list("quotas.identify") {
		q.Rules = append(q.Rules, readIdentity(e, cfg))
	}
	for _, name := range []string{"quotas.file", "quotas.default"} {
		if _, ok := o.fields[name]; !ok {
			o.fail(name, "missing")
		}
	}
	if q.File == "" || o.err != nil {
		return
	}
	tree, err := quotas.ReadFile(q.File)
	if err != nil {
		o.err = err
		return
	}
	q.Tree = tree
	if err := q.Validate(tree); err != nil {
		o.err = fmt.Errorf("quotas.%w", err)
	}
}

// readIdentity reads one of the rules that assign a request to a quota group.
func readIdentity(e *object, cfg *sidecarconfig.Config) (r quotas.Rule) {
	ways := 0
	for _, way := range []string{"header", "class", "addresses"} {
		if _, ok := e.fields[way]; ok {
			ways++
		}
	}
	decodeField(e, "header", &r.Header, "the name of a header field", http1.IsToken)
	decodeField(e, "class", &r.Class, "a class of the settings", func(s string) bool { return hasClass(cfg, s) })
	var text string
	decodeField(e, "addresses", &text, "an address or a prefix like 10.1.0.0/16", func(s string) (ok bool) {
		var err error
		r.Addresses, err = parsePrefix(s)
		return err == nil
	})
	switch {
	case ways != 1:
		e.fail("header", "want one of header, class and addresses")
	case r.Header == "": // with "header", the header field names the group, and "group" is an unknown field
		decodeField(e, "group", &r.Group, "the path of a group", func(s string) bool { return s != "" })
		e.require("group")
	}
	return r
}
