package lint

import (
	"slices"
	"strings"

	"hazelwheel/internal/appconfig"
)

// writingWords are first words of class names that suggest that requests change something.
var writingWords = []string{"log", "raise", "write", "set", "create", "add", "update", "delete", "remove", "post", "put", "send", "pay", "book", "record", "store", "submit"}

// readingWords are words of class names that suggest reading, even after a writing word.
var readingWords = []string{"get", "list", "read", "latest", "query", "search", "show", "status", "reading", "readings", "history"}

var classChecks = []Check{
	{Code: "HW040", Severity: Error, Title: "aim above the deadline", Subject: "class.aim, class.deadline",
		Format: "the aim %[1]s is above the deadline %[2]s",
		Reason: "The sidecar gives up first, so it works towards a time that no answer can have, and the alarm for slow answers never goes off",
		Remedy: "Write an aim of at most %[2]s, or a longer deadline",
		class: func(_ *unit, c *class, report reportFunc) {
			if c.LatencyTarget > c.Deadline && c.Deadline > 0 {
				report(c.at("aim").with(c.at("deadline")), c.LatencyTarget, c.Deadline)
			}
		}},
	{Code: "HW041", Severity: Error, Title: "deadline longer than the client waits", Subject: "class.deadline, client.waits",
		Format: "the deadline %[1]s is longer than the client waits, %[2]s",
		Reason: "The client has gone by then: boxes work for nobody, and an alert that would have been tried again is taken for one that is under way",
		Remedy: "Write a deadline of at most %[2]s, or have the client wait longer",
		app: func(u *unit, report reportFunc) {
			for i, c := range u.app.Classes {
				if w := u.app.Client.Waits; w > 0 && c.Deadline > w {
					report(u.at("class[%d].deadline", i).with(u.at("client.waits")), c.Deadline, w)
				}
			}
		}},
	{Code: "HW042", Severity: Note, Title: "deadline far shorter than the client waits", Subject: "class.deadline, client.waits",
		Format: "the deadline %[1]s is less than half of what the client waits, %[2]s",
		Reason: "Requests are given up that the client would still have taken",
		Remedy: "Write a longer deadline if boxes may need it",
		app: func(u *unit, report reportFunc) {
			for i, c := range u.app.Classes {
				if c.Deadline > 0 && 2*c.Deadline < u.app.Client.Waits && u.app.Client.Tries <= 1 {
					report(u.at("class[%d].deadline", i).with(u.at("client.waits")), c.Deadline, u.app.Client.Waits)
				}
			}
		}},
	{Code: "HW043", Severity: Warning, Title: "client's tries that can't fit", Subject: "client.tries, client.pause, client.waits, class.aim",
		Format: "%[1]d tries with pauses of %[2]s and the aim %[3]s of class %[4]s take longer than the client waits, %[5]s",
		Reason: "The last tries never come, so the application has fewer than its owners count on",
		Remedy: "Write fewer tries or shorter pauses, or have the client wait longer",
		app: func(u *unit, report reportFunc) {
			c := &u.app.Client
			for _, class := range u.app.Classes {
				if n := appconfig.Duration(c.Tries); n > 1 && c.Waits > 0 && n*class.LatencyTarget+(n-1)*c.Pause > c.Waits {
					report(u.at("client.tries").with(u.at("client.pause"), u.at("client.waits")), c.Tries, c.Pause, class.LatencyTarget, class.Name, c.Waits)
					return
				}
			}
		}},
	{Code: "HW044", Severity: Warning, Title: "attempts that can't fit", Subject: "requests.attempts, connections.timeout, class.deadline",
		Format: "%[1]d attempts that each wait %[2]s for a connection do not fit into the deadline %[3]s of class %[4]s",
		Reason: "When boxes can't be reached, requests of the class fail though attempts are left",
		Remedy: "Write a shorter connections.timeout, or a longer deadline",
		against: func(u *unit, report reportFunc) {
			n, wait := u.site.Requests.Attempts, u.site.Conns.Timeout
			for i, c := range u.app.Classes {
				if n > 1 && c.Deadline > 0 && appconfig.Duration(n)*wait > c.Deadline {
					report(u.at("class[%d].deadline", i).with(u.atSite("requests.attempts"), u.atSite("connections.timeout")), n, wait, c.Deadline, c.Name)
				}
			}
		}},
	{Code: "HW045", Severity: Warning, Title: "aim within the time for a connection", Subject: "class.aim, connections.timeout",
		Format: "the aim %[1]s is no longer than a connection may take to come up, %[2]s",
		Reason: "The first request over a new connection is late though all is well",
		Remedy: "Write a longer aim, or a shorter connections.timeout",
		against: func(u *unit, report reportFunc) {
			for i, c := range u.app.Classes {
				if c.LatencyTarget > 0 && c.LatencyTarget <= u.site.Conns.Timeout {
					report(u.at("class[%d].aim", i).with(u.atSite("connections.timeout")), c.LatencyTarget, u.site.Conns.Timeout)
				}
			}
		}},
	{Code: "HW046", Severity: Error, Title: "keyed class without window", Subject: "class.effect, class.window",
		Format: "the class %[1]q is keyed and has no window",
		Reason: "The sidecar can't tell for how long boxes drop a repeat, so it never repeats, and an alert whose first attempt breaks is lost",
		Remedy: "Write the time for which boxes remember a key as window",
		class: func(_ *unit, c *class, report reportFunc) {
			if c.Effect == "keyed" && c.Window == 0 {
				report(c.at("window").with(c.at("effect")), c.Name)
			}
		}},
	{Code: "HW047", Severity: Error, Title: "keyed class without group", Subject: "class.effect, class.group",
		Format: "the class %[1]q is keyed and does not say which boxes know each other's keys",
		Reason: "It counts as all of them: a repeat at a box that does not know the key runs the request a second time",
		Remedy: "Write group = \"all\", \"place\" or \"cell\" (dedupScope: all, zone, cell)",
		class: func(_ *unit, c *class, report reportFunc) {
			if c.Effect == "keyed" && c.Group == "" {
				report(c.at("group").with(c.at("effect")), c.Name)
			}
		}},
	{Code: "HW048", Severity: Warning, Title: "repeats that reach past the window", Subject: "class.window, class.deadline, client.waits",
		Format: "the window %[1]s is shorter than the %[2]s in which the request may be repeated",
		Reason: "A repeat after the window runs the request a second time at a box that has forgotten its key, or is not made at all",
		Remedy: "Write a window of at least %[2]s if the boxes remember keys so long, else a shorter deadline and client.waits",
		app: func(u *unit, report reportFunc) {
			for i, c := range u.app.Classes {
				if reach := max(c.Deadline, u.app.Client.Waits); c.Effect == "keyed" && c.Window > 0 && c.Window < reach {
					report(u.at("class[%d].window", i).with(u.at("class[%d].deadline", i), u.at("client.waits")), c.Window, reach)
				}
			}
		}},
	{Code: "HW049", Severity: Note, Title: "window or group without keys", Subject: "class.effect, class.window, class.group",
		Format: "the class is %[1]s, so its window and group mean nothing",
		Reason: "A reader may take it for a keyed one",
		Remedy: "Take them out, or write effect = \"keyed\" if boxes drop repeats",
		class: func(_ *unit, c *class, report reportFunc) {
			if c.Effect != "safe" && c.Effect != "unsafe" || c.file.Kind == appconfig.PlatformFile { // platforms write both fields for all classes
				return
			}
			for _, field := range []string{"window", "group"} {
				if c.has(field) {
					report(c.at(field).with(c.at("effect")), c.Effect)
					return
				}
			}
		}},
	{Code: "HW050", Severity: Warning, Title: "safe class that sounds as if it changed something", Subject: "class.name, class.effect",
		Format: "the class %[1]q is marked safe, and its name says that it changes something",
		Reason: "A safe request is sent again whenever an answer is late: what it changes happens twice. A calibration that is logged twice shifts a station's readings",
		Remedy: "Write effect = \"unsafe\", or \"keyed\" if boxes drop repeats; leave it only if running it twice does nothing",
		class: func(_ *unit, c *class, report reportFunc) {
			words := strings.FieldsFunc(strings.ToLower(c.Name), func(r rune) bool { return strings.ContainsRune("-_.", r) })
			if c.Effect == "safe" && len(words) > 1 && slices.Contains(writingWords, words[0]) && !slices.Contains(readingWords, words[len(words)-1]) {
				report(c.at("effect").with(c.at("name")), c.Name)
			}
		}},
	{Code: "HW051", Severity: Error, Title: "class without effect", Subject: "class.effect",
		Format: "neither this file nor the site's says what running the class %[1]q twice does",
		Reason: "The sidecar can't know whether it may send a request again",
		Remedy: "Write effect = \"safe\", \"keyed\" or \"unsafe\", or check with --against site.toml",
		app: func(u *unit, report reportFunc) {
			for i, c := range u.app.Classes {
				if c.Effect == "" {
					report(u.at("class[%d].effect", i), c.Name)
				}
			}
		}},
	{Code: "HW052", Severity: Error, Title: "class without aim or deadline", Subject: "class.aim, class.deadline",
		Format: "neither this file nor the site's gives the class %[1]q %[2]s",
		Reason: "The sidecar refuses to start",
		Remedy: "Write it, with its unit, or check with --against site.toml",
		app: func(u *unit, report reportFunc) {
			for i, c := range u.app.Classes {
				if c.LatencyTarget == 0 {
					report(u.at("class[%d].aim", i), c.Name, "an aim")
				}
				if c.Deadline == 0 {
					report(u.at("class[%d].deadline", i), c.Name, "a deadline")
				}
			}
		}},
	{Code: "HW053", Severity: Warning, Title: "time of an unlikely size", Subject: "class.aim, class.deadline, client.waits, connections.timeout",
		Format: "%[1]s is a time that hardly any application means here",
		Reason: "A unit may be wrong by a thousand",
		Remedy: "Look at the unit: milliseconds are ms, minutes min",
		class: func(_ *unit, c *class, report reportFunc) {
			for field, d := range map[string]appconfig.Duration{"aim": c.LatencyTarget, "deadline": c.Deadline} {
				if d > appconfig.Seconds(300) || d > 0 && d < appconfig.Seconds(0.001) {
					report(c.at(field), d)
				}
			}
		},
		app: func(u *unit, report reportFunc) {
			if d := u.app.Client.Waits; d > appconfig.Seconds(600) || d > 0 && d < appconfig.Seconds(0.001) {
				report(u.at("client.waits"), d)
			}
		},
		site: func(u *unit, report reportFunc) {
			if d := u.site.Conns.Timeout; d > appconfig.Seconds(30) {
				report(u.atSite("connections.timeout"), d)
			}
		}},
	{Code: "HW054", Severity: Warning, Title: "class that is worth nothing", Subject: "class.worth",
		Format: "the class %[1]q is worth nothing, and others are",
		Reason: "Whenever there is not enough, its requests are the first to be turned away",
		Remedy: "Write a worth above 0 unless that is meant",
		app: func(u *unit, report reportFunc) {
			if !slices.ContainsFunc(u.app.Classes, func(c appconfig.Class) bool { return c.Weight > 0 }) {
				return
			}
			for i, c := range u.app.Classes {
				if c.Weight == 0 {
					report(u.at("class[%d].worth", i), c.Name)
				}
			}
		}},
	{Code: "HW055", Severity: Note, Title: "aim that means nothing", Subject: "class.late_worth",
		Format: "a late answer is worth as much as one in time",
		Reason: "The aim then means nothing, and the sidecar takes its time",
		Remedy: "Write a late_worth below 1 if late answers are worth less",
		class: func(_ *unit, c *class, report reportFunc) {
			if c.Late == 1 && c.LatencyTarget != c.Deadline {
				report(c.at("late_worth"))
			}
		}},
}

var siteClassChecks = []Check{
	{Code: "HW060", Severity: Error, Title: "class that may run twice here and must not at the site", Subject: "class.effect, the site's class",
		Format: "the class %[1]q is %[2]s here, and %[3]s at the site",
		Reason: "The sidecar will send a request again that the boxes run a second time: what must happen once happens twice, and nobody is told",
		Remedy: "Write effect = %[3]q",
		against: func(u *unit, report reportFunc) {
			for i, c := range u.app.Classes {
				if o := u.siteClass(c.Name); o != nil && harmOf(o.Effect) > harmOf(c.Effect) && c.Effect != "" {
					report(u.at("class[%d].effect", i).with(o.at("effect")), c.Name, c.Effect, o.Effect)
				}
			}
		}},
	{Code: "HW061", Severity: Warning, Title: "class that is more careful than the site", Subject: "class.effect, the site's class",
		Format: "the class %[1]q is %[2]s here, and %[3]s at the site",
		Reason: "The sidecar gives requests up that it could have sent again",
		Remedy: "Write effect = %[3]q, or have the site's file put right",
		against: func(u *unit, report reportFunc) {
			for i, c := range u.app.Classes {
				if o := u.siteClass(c.Name); o != nil && o.Effect != "" && harmOf(o.Effect) < harmOf(c.Effect) {
					report(u.at("class[%d].effect", i).with(o.at("effect")), c.Name, c.Effect, o.Effect)
				}
			}
		}},
	{Code: "HW062", Severity: Error, Title: "class that the site does not serve", Subject: "class.name, the site's classes",
		Format: "the boxes of the site serve no class %[1]q",
		Reason: "Every request of it would fail at a box",
		Remedy: "%[2]s",
		against: func(u *unit, report reportFunc) {
			var names []string
			for _, c := range u.site.Classes {
				names = append(names, c.Name)
			}
			for i, c := range u.app.Classes {
				if len(names) > 0 && !slices.Contains(names, c.Name) {
					do := "Take it out, or add it to the site's file; the site has " + strings.Join(names, ", ")
					if near := appconfig.Nearest(c.Name, names); near != "" {
						do = "Write " + near + " if that is meant"
					}
					report(u.at("class[%d].name", i), c.Name, do)
				}
			}
		}},
	{Code: "HW063", Severity: Error, Title: "window longer than the site's", Subject: "class.window, the site's class",
		Format: "the window %[1]s is longer than the boxes remember keys, %[2]s",
		Reason: "A repeat in between runs the request a second time",
		Remedy: "Write window = \"%[2]s\"",
		against: func(u *unit, report reportFunc) {
			for i, c := range u.app.Classes {
				if o := u.siteClass(c.Name); o != nil && c.Effect == "keyed" && o.Effect == "keyed" && o.Window > 0 && c.Window > o.Window {
					report(u.at("class[%d].window", i).with(o.at("window")), c.Window, o.Window)
				}
			}
		}},
	{Code: "HW064", Severity: Error, Title: "group wider than the site's", Subject: "class.group, the site's class",
		Format: "the group is %[1]s here, and %[2]s at the site",
		Reason: "A repeat goes to a box that does not know the key, and the request runs a second time",
		Remedy: "Write group = %[2]q",
		against: func(u *unit, report reportFunc) {
			for i, c := range u.app.Classes {
				if o := u.siteClass(c.Name); o != nil && c.Effect == "keyed" && o.Effect == "keyed" && groupRank(c.Group) > groupRank(o.Group) && o.Group != "" {
					report(u.at("class[%d].group", i).with(o.at("group")), c.Group, o.Group)
				}
			}
		}},
	{Code: "HW065", Severity: Warning, Title: "group narrower than the site's", Subject: "class.group, the site's class",
		Format: "the group is %[1]s here, and %[2]s at the site",
		Reason: "The sidecar passes over boxes that could have taken a repeat",
		Remedy: "Write group = %[2]q",
		against: func(u *unit, report reportFunc) {
			for i, c := range u.app.Classes {
				if o := u.siteClass(c.Name); o != nil && c.Effect == "keyed" && o.Effect == "keyed" && groupRank(c.Group) < groupRank(o.Group) && c.Group != "" {
					report(u.at("class[%d].group", i).with(o.at("group")), c.Group, o.Group)
				}
			}
		}},
	{Code: "HW066", Severity: Warning, Title: "deadline beyond the site's", Subject: "class.deadline, the site's class",
		Format: "the deadline %[1]s is longer than the site's, %[2]s",
		Reason: "Boxes are planned for requests that end by then; more of them are open at once than there is room for",
		Remedy: "Write a deadline of at most %[2]s, or speak with those who run the site",
		against: func(u *unit, report reportFunc) {
			for i, c := range u.app.Classes {
				if o := u.siteClass(c.Name); o != nil && o.Deadline > 0 && c.Deadline > o.Deadline {
					report(u.at("class[%d].deadline", i).with(o.at("deadline")), c.Deadline, o.Deadline)
				}
			}
		}},
	{Code: "HW067", Severity: Warning, Title: "aim below the site's", Subject: "class.aim, the site's class",
		Format: "the aim %[1]s is below what the site aims at, %[2]s",
		Reason: "Answers that the site calls good count as late here, and boxes that do their work are avoided",
		Remedy: "Write an aim of at least %[2]s, or speak with those who run the site",
		against: func(u *unit, report reportFunc) {
			for i, c := range u.app.Classes {
				if o := u.siteClass(c.Name); o != nil && c.LatencyTarget > 0 && c.LatencyTarget < o.LatencyTarget {
					report(u.at("class[%d].aim", i).with(o.at("aim")), c.LatencyTarget, o.LatencyTarget)
				}
			}
		}},
	{Code: "HW069", Severity: Error, Title: "site's class without effect", Subject: "class.effect of a site",
		Format: "the site does not say what running the class %[1]q twice does",
		Reason: "Applications can't be held against it, and one that marks the class safe by mistake passes",
		Remedy: "Write effect = \"safe\", \"keyed\" or \"unsafe\"",
		site: func(u *unit, report reportFunc) {
			for _, c := range u.siteClasses() {
				if c.Effect == "" {
					report(c.at("effect"), c.Name)
				}
			}
		}},
	{Code: "HW068", Severity: Note, Title: "what no file can tell", Subject: "class.effect, the site's class",
		Format: "both files say that running %[1]s twice does no harm",
		Reason: "Files can contradict each other, but not the boxes: where both are wrong, no check sees it",
		Remedy: "Ask those who wrote the boxes' code, once for each class",
		against: func(u *unit, report reportFunc) {
			var names []string
			first := -1
			for i, c := range u.app.Classes {
				if o := u.siteClass(c.Name); o != nil && !u.siteIsOwn && c.Effect == "safe" && o.Effect == "safe" && u.file.Has(u.at("class[%d].effect", i).path) {
					if names = append(names, c.Name); first < 0 {
						first = i
					}
				}
			}
			if first >= 0 {
				report(u.at("class[%d].effect", first), strings.Join(names, ", "))
			}
		}},
}

// harmOf ranks effects by the harm of running a request twice.
func harmOf(effect string) int { return slices.Index([]string{"", "safe", "keyed", "unsafe"}, effect) }

// groupRank ranks groups by the number of their servers. No group counts as all servers.
func groupRank(group string) int {
	if group == "" {
		group = "all"
	}
	return slices.Index([]string{"cell", "place", "all"}, group)
}
