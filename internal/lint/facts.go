package lint

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"

	"hazelwheel/internal/appconfig"
)

// usable lists the report values that policy can use.
var usable = []string{"busy_reqs", "pending"}

// reportValues lists all values that servers can report.
var reportValues = []string{"busy_reqs", "pending", "cpu_share", "svc_ms", "served_ps", "failed_ps"}

var factChecks = []Check{
	{Code: "HW110", Severity: Warning, Title: "reports that the decisions can't use", Subject: "report.how, report.fields",
		Format: "none of %[1]s says how many requests a box holds",
		Reason: "The sidecar asks for reports, which cost boxes work, and learns nothing from them",
		Remedy: "Have boxes report busy_reqs or pending, or write how = \"off\"",
		site: func(u *unit, report reportFunc) {
			r := &u.site.Report
			if r.How != "off" && r.How != "" && len(r.Fields) > 0 && !slices.ContainsFunc(r.Fields, func(f string) bool {
				return slices.Contains(usable, f) || !slices.Contains(reportValues, f) // unknown values are HW111
			}) {
				report(u.atSite("report.fields").with(u.atSite("report.how")), strings.Join(r.Fields, ", "))
			}
		}},
	{Code: "HW111", Severity: Warning, Title: "unknown report value", Subject: "report.fields",
		Format: "%[1]q is no value that boxes report",
		Reason: "The sidecar skips it, and may miss the one that was meant",
		Remedy: "%[2]s",
		site: func(u *unit, report reportFunc) {
			for i, f := range u.site.Report.Fields {
				if !slices.Contains(reportValues, f) {
					do := "Write one of " + strings.Join(reportValues, ", ")
					if near := appconfig.Nearest(f, reportValues); near != "" {
						do = "Write " + near + " if that is meant"
					}
					report(u.atSite("report.fields[%d]", i), f, do)
				}
			}
		}},
	{Code: "HW112", Severity: Warning, Title: "reports without values, or values without reports", Subject: "report.how, report.fields",
		Format: "report.how is %[1]q and %[2]d values are named",
		Reason: "One of the two is not what is meant, and the sidecar goes without reports",
		Remedy: "Write both, or neither",
		site: func(u *unit, report reportFunc) {
			r := &u.site.Report
			if on := r.How != "off" && r.How != ""; on != (len(r.Fields) > 0) {
				report(u.atSite("report.how").with(u.atSite("report.fields")), r.How, len(r.Fields))
			}
		}},
	{Code: "HW113", Severity: Warning, Title: "reports on probes that are not allowed", Subject: "report.how, probes.allowed",
		Format: "reports come with probes alone, and boxes answer none",
		Reason: "The sidecar never gets a report",
		Remedy: "Write probes.allowed = true, or how = \"inline\" or \"off\"",
		site: func(u *unit, report reportFunc) {
			if u.site.Report.How == "on_probe" && !u.site.Probes.Allowed {
				report(u.atSite("report.how").with(u.atSite("probes.allowed")))
			}
		}},
	{Code: "HW114", Severity: Warning, Title: "report value twice or too many", Subject: "report.fields",
		Format: "the report names %[1]s",
		Reason: "A report has at most four values, in this order; what follows a wrong one is read as another",
		Remedy: "Name each value once, four at most",
		site: func(u *unit, report reportFunc) {
			f := u.site.Report.Fields
			if len(f) > 4 {
				report(u.atSite("report.fields"), fmt.Sprintf("%d values", len(f)))
			}
			eachDuplicate(len(f), func(i int) string { return f[i] }, func(i, _ int) { report(u.atSite("report.fields[%d]", i), f[i]+" twice") })
		}},
	{Code: "HW115", Severity: Warning, Title: "drain without grace", Subject: "rules.drain_grace",
		Format: "a drain binds at once",
		Reason: "A request that is on its way when the drain is told breaks the rule, whatever the sidecar does",
		Remedy: "Write the site's grace, like \"750ms\"",
		site: func(u *unit, report reportFunc) {
			if u.site.Rules.DrainGrace == 0 {
				report(u.atSite("rules.drain_grace"))
			}
		}},
	{Code: "HW116", Severity: Warning, Title: "cold boxes that nothing protects", Subject: "rules.cold_from, rules.cold_time, rules.cold_multiple, rules.cold_window",
		Format: "%[1]s is not given, and others of the four figures of cold boxes are",
		Reason: "The sidecar can't reckon what a box takes that has just started, and may push it over",
		Remedy: "Write all four: cold_from, cold_time, cold_multiple and cold_window",
		site: func(u *unit, report reportFunc) {
			r := &u.site.Rules
			given := map[string]bool{"cold_from": r.WarmupStart > 0, "cold_time": r.WarmupTime > 0, "cold_multiple": r.OverloadFactor > 0, "cold_window": r.OverloadWindow > 0}
			for field, is := range given {
				if !is && (r.WarmupStart > 0 || r.WarmupTime > 0 || r.OverloadFactor > 0 || r.OverloadWindow > 0) {
					report(u.atSite("rules.%s", field), field)
				}
			}
		}},
	{Code: "HW117", Severity: Warning, Title: "cold boxes that may get less than they take", Subject: "rules.cold_multiple",
		Format: "a cold box falls over at %[1]g times its capacity, which it could bear",
		Reason: "The sidecar sends it less than it can do, and the warm ones get the rest",
		Remedy: "Write a multiple above 1",
		site: func(u *unit, report reportFunc) {
			if m := u.site.Rules.OverloadFactor; m > 0 && m < 1 {
				report(u.atSite("rules.cold_multiple"), m)
			}
		}},
	{Code: "HW118", Severity: Warning, Title: "list that counts as told at once", Subject: "discovery.mode, discovery.ask_within",
		Format: "the list is asked for, and ask_within is not given",
		Reason: "Whoever has not asked counts as told of every change, so a drain binds before it is known",
		Remedy: "Write the site's ask_within, like \"10s\"",
		site: func(u *unit, report reportFunc) {
			if u.site.List.Mode == "ask" && u.site.List.MaxQueryInterval == 0 {
				report(u.atSite("discovery.ask_within").with(u.atSite("discovery.mode")))
			}
		}},
	{Code: "HW119", Severity: Note, Title: "time to ask for a list that comes by itself", Subject: "discovery.mode, discovery.ask_within",
		Format: "the list is pushed, so ask_within means nothing",
		Reason: "A reader may count on it",
		Remedy: "Take it out, or write mode = \"ask\"",
		site: func(u *unit, report reportFunc) {
			if u.site.List.Mode == "push" && u.site.List.MaxQueryInterval > 0 && u.siteFile.Kind == appconfig.SiteFile {
				report(u.atSite("discovery.ask_within").with(u.atSite("discovery.mode")))
			}
		}},
	{Code: "HW120", Severity: Warning, Title: "connections that are idle too soon", Subject: "client.rate, connections.idle",
		Format: "%[1]g requests a second are one in %[2]s, and boxes close a connection that is idle for %[3]s",
		Reason: "Nearly each request opens a connection, which costs the box work and the request time",
		Remedy: "Write a longer connections.idle if the boxes allow it",
		against: func(u *unit, report reportFunc) {
			if r, idle := u.app.Client.Rate, u.site.Conns.Idle; r > 0 && idle > 0 && 1/r > idle.S() {
				report(u.at("client.rate").with(u.atSite("connections.idle")), r, appconfig.Seconds(math.Round(10/r)/10), idle)
			}
		}},
	{Code: "HW121", Severity: Warning, Title: "advice to come again when nobody waits", Subject: "requests.max_retry_after, client.waits",
		Format: "a refused client may be told to come again after %[1]s, and it waits %[2]s in all",
		Reason: "By then it has given the request up, so a refusal is as bad as a failure",
		Remedy: "Write a max_retry_after well below what clients wait",
		against: func(u *unit, report reportFunc) {
			if w, m := u.app.Client.Waits, u.site.Requests.MaxRetry; u.site.Requests.RetryAfter && w > 0 && m >= w {
				report(u.at("client.waits").with(u.atSite("requests.max_retry_after")), m, w)
			}
		}},
	{Code: "HW122", Severity: Note, Title: "no second attempt", Subject: "requests.attempts, class.effect",
		Format: "a request has one attempt, and %[1]s could be sent again",
		Reason: "A box that dies takes the request with it",
		Remedy: "Write requests.attempts = 2 or more if the site allows it",
		against: func(u *unit, report reportFunc) {
			if u.site.Requests.Attempts > 1 {
				return
			}
			for i, c := range u.app.Classes {
				if c.Effect == "safe" || c.Effect == "keyed" {
					report(u.at("class[%d].effect", i).with(u.atSite("requests.attempts")), c.Name)
					return
				}
			}
		}},
	{Code: "HW123", Severity: Warning, Title: "price that makes no place worth crossing to", Subject: "cross_cost",
		Format: "a request that is served at another place costs %[1]g of its worth",
		Reason: "From 1 on an answer from elsewhere is worth nothing, and requests fail that another place could serve",
		Remedy: "Write a part below 1",
		site: func(u *unit, report reportFunc) {
			if u.site.CrossCost >= 1 {
				report(u.atSite("cross_cost"), u.site.CrossCost)
			}
		}},
	{Code: "HW124", Severity: Error, Title: "tenants' shares above the whole", Subject: "tenant.share",
		Format: "the shares are %.0[1]f %% together",
		Reason: "Somebody does not get what the file promises",
		Remedy: "Write shares that are at most 1 together",
		site: func(u *unit, report reportFunc) {
			sum := 0.0
			for i, t := range u.site.Tenants {
				if sum += t.Share; sum > 1+1e-9 {
					report(u.atSite("tenant[%d].share", i), 100*sum)
					return
				}
			}
		}},
	{Code: "HW125", Severity: Warning, Title: "slack of an unlikely size", Subject: "rules.answer_slack, class.deadline",
		Format: "an answer counts %[1]s after the deadline",
		Reason: "The sidecar would keep clients waiting that have gone",
		Remedy: "Write the site's slack, mostly some milliseconds",
		site: func(u *unit, report reportFunc) {
			if s := u.site.Rules.AnswerSlack; s > appconfig.Seconds(1) {
				report(u.atSite("rules.answer_slack"), s)
			}
		}},
	{Code: "HW126", Severity: Error, Title: "figure that differs from the site's", Subject: "a platform's file and the site's",
		Format: "the figure is %[1]v here, and %[2]v at the site",
		Reason: "The sidecar keeps to a rule that is not the site's",
		Remedy: "Write the site's figure, or have the site's file put right",
		against: func(u *unit, report reportFunc) {
			if u.file.Site == nil || u.file.Site == u.site {
				return
			}
			eachDifference(reflect.ValueOf(*u.file.Site), reflect.ValueOf(*u.site), "", func(path string, here, there any) {
				if u.file.Has("site."+path) && u.siteFile.Has("site."+path) {
					report(ref{file: u.file, path: "site." + path}.with(u.atSite("%s", path)), here, there)
				}
			})
		}},
	{Code: "HW128", Severity: Warning, Title: "list that nobody says how it comes", Subject: "discovery.mode, discovery.ask_within",
		Format: "ask_within is given, and how the list comes is not",
		Reason: "The sidecar takes it for pushed, and does not know what counts as told",
		Remedy: "Write mode = \"ask\" or \"push\"",
		site: func(u *unit, report reportFunc) {
			if u.site.List.Mode == "" && u.site.List.MaxQueryInterval > 0 {
				report(u.atSite("discovery.mode").with(u.atSite("discovery.ask_within")))
			}
		}},
	{Code: "HW127", Severity: Warning, Title: "round longer than a site's shortest time", Subject: "round, connections.timeout, rules.drain_grace",
		Format: "the decisions are asked every %[1]s at most, and %[2]s is %[3]s",
		Reason: "What must be done by then is done a round late",
		Remedy: "Write a round of some milliseconds",
		site: func(u *unit, report reportFunc) {
			for field, d := range map[string]appconfig.Duration{"connections.timeout": u.site.Conns.Timeout, "rules.drain_grace": u.site.Rules.DrainGrace} {
				if d > 0 && u.site.DecisionInterval >= d {
					report(u.atSite("round").with(u.atSite("%s", field)), u.site.DecisionInterval, field, d)
				}
			}
		}},
}

// eachDifference calls f with each field that differs between two sites, except names and lists of tables.
func eachDifference(a, b reflect.Value, path string, f func(path string, here, there any)) {
	for i := range a.NumField() {
		tag, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("toml"), ",")
		x, y := a.Field(i), b.Field(i)
		switch {
		case tag == "format" || tag == "name" || tag == "class" || tag == "tenant":
		case x.Kind() == reflect.Struct:
			eachDifference(x, y, path+tag+".", f)
		case !reflect.DeepEqual(x.Interface(), y.Interface()):
			f(path+tag, x.Interface(), y.Interface())
		}
	}
}
