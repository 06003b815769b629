package lint

// checkEqualField returns a check that reports each pair of files with the same text in a field. Its arguments are the text and the other
// file.
func checkEqualField(field string, of func(*unit) string) func([]*unit, reportFunc) {
	return func(units []*unit, report reportFunc) {
		eachPair(units, func(a, b *unit) {
			if of(a) == of(b) && of(a) != "" {
				report(b.at("%s", field).with(a.at("%s", field)), of(b), a.file.Name)
			}
		})
	}
}

// togetherChecks compare several files with each other.
var togetherChecks = []Check{
	{Code: "HW160", Severity: Error, Title: "index used twice", Subject: "index, in all files",
		Format: "the index %[1]d is that of %[2]s, too",
		Reason: "Which boxes an instance uses follows from its index: two take the same ones, and some boxes get nothing",
		Remedy: "Give each instance an index of its own, from 0 on",
		all: func(units []*unit, report reportFunc) {
			eachPair(units, func(a, b *unit) {
				if sameFleet(a, b) && a.app.Index == b.app.Index {
					report(b.at("index").with(a.at("index")), b.app.Index, a.file.Name)
				}
			})
		}},
	{Code: "HW161", Severity: Warning, Title: "seeds alike", Subject: "seed, in all files",
		Format: "the seed is that of %[2]s, too",
		Reason: "Both instances draw the same, so they go to the same boxes at the same moment",
		Remedy: "Write seeds that differ, or none",
		all:    checkEqualField("seed", func(u *unit) string { return u.app.Seed })},
	{Code: "HW162", Severity: Error, Title: "listen address taken twice", Subject: "listen, in all files",
		Format: "%[1]s is the listen address of %[2]s, too",
		Reason: "On one machine only one of the two can start",
		Remedy: "Give each instance an address or a port of its own",
		all:    checkEqualField("listen", func(u *unit) string { return u.app.Listen })},
	{Code: "HW163", Severity: Error, Title: "name used twice", Subject: "name, in all files",
		Format: "%[1]q is the name of %[2]s, too",
		Reason: "Logs and counters of the two can't be told apart",
		Remedy: "Give each instance a name of its own",
		all:    checkEqualField("name", func(u *unit) string { return u.app.Name })},
	{Code: "HW164", Severity: Error, Title: "replicas that differ", Subject: "replicas, in all files",
		Format: "there are %[1]d replicas here, and %[2]d in %[3]s",
		Reason: "Which boxes an instance uses follows from how many there are: the parts would overlap or leave boxes out",
		Remedy: "Write the same number in all files of an application",
		all: func(units []*unit, report reportFunc) {
			eachPair(units, func(a, b *unit) {
				if a.app.Replicas != b.app.Replicas && sameClasses(a, b) && a.app.Discovery == b.app.Discovery {
					report(b.at("replicas").with(a.at("replicas")), b.app.Replicas, a.app.Replicas, a.file.Name)
				}
			})
		}},
	{Code: "HW165", Severity: Error, Title: "class that differs between instances", Subject: "class, in all files",
		Format: "the class %[1]q has another %[2]s than in %[3]s",
		Reason: "What may run twice must not depend on which instance takes the request",
		Remedy: "Write the same in all files",
		all: func(units []*unit, report reportFunc) {
			eachPair(units, func(a, b *unit) {
				for i, c := range b.app.Classes {
					if o := a.classOf(c.Name); o != nil && o.Effect != c.Effect && o.Effect != "" && c.Effect != "" {
						report(b.at("class[%d].effect", i).with(a.at("class")), c.Name, "effect", a.file.Name)
					}
				}
			})
		}},
	{Code: "HW166", Severity: Error, Title: "side port taken by another instance", Subject: "health.port, listen, in all files",
		Format: "the port %[1]d on that host is taken in %[2]s",
		Reason: "On one machine only one of the two can start",
		Remedy: "Give each instance a port of its own",
		all: func(units []*unit, report reportFunc) {
			eachPair(units, func(a, b *unit) {
				la, lb := address(a.app.Listen), address(b.app.Listen)
				if b.features == nil || b.features.Health == nil || b.features.Health.Port == 0 || la.Addr() != lb.Addr() {
					return
				}
				taken := int(la.Port()) == b.features.Health.Port
				if a.features != nil && a.features.Health != nil {
					taken = taken || a.features.Health.Port == b.features.Health.Port
				}
				if taken {
					report(b.atFeature("health.port").with(a.at("listen")), b.features.Health.Port, a.file.Name)
				}
			})
		}},
}

// eachPair calls f with each pair of instances, the earlier one first.
func eachPair(units []*unit, f func(a, b *unit)) {
	for j, b := range units {
		for _, a := range units[:j] {
			if a.app != nil && b.app != nil && a.file != b.file {
				f(a, b)
			}
		}
	}
}

// sameFleet reports whether two instances appear to be replicas of one application.
func sameFleet(a, b *unit) bool {
	return a.app.Replicas == b.app.Replicas && a.app.Replicas > 1 && a.app.Discovery == b.app.Discovery && sameClasses(a, b)
}

func sameClasses(a, b *unit) bool {
	if len(a.app.Classes) != len(b.app.Classes) {
		return false
	}
	for _, c := range b.app.Classes {
		if a.classOf(c.Name) == nil {
			return false
		}
	}
	return true
}
