package appconfig

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Change is a difference between two files.
type Change struct {
	Field string // path in the model, "class[raise-alert].deadline"
	Words string // what the change means for requests
	When  string // when a running sidecar applies it: SIGHUP, restart or never
}

// changeTexts maps a field to a sentence on what a change of it means for requests; %[1]v is the old value, %[2]v the new.
var changeTexts = map[string]string{
	"class.effect":             "running it twice is taken as %[2]v, not %[1]v any more",
	"class.group":              "repeats go to boxes of the same group %[2]v, not %[1]v",
	"class.window":             "requests may be sent again for %[2]v after the first attempt, not %[1]v",
	"class.aim":                "answers are wanted within %[2]v, not %[1]v",
	"class.deadline":           "requests are given up after %[2]v, not %[1]v",
	"class.worth":              "an answer is worth %[2]v, not %[1]v; what is worth least is turned away first",
	"class.late_worth":         "a late answer keeps %[2]v of its worth, not %[1]v",
	"class.stretch":            "the aim grows by %[2]v times a request's work, not %[1]v",
	"class.stream":             "the answer is a stream: %[2]v, before: %[1]v",
	"listen":                   "clients connect to %[2]v, not %[1]v",
	"discovery":                "the boxes are listed by %[2]v, not %[1]v",
	"home":                     "boxes at %[2]v count as near, not those at %[1]v",
	"index":                    "the instance uses the boxes of index %[2]v, not %[1]v",
	"replicas":                 "the boxes are shared out among %[2]v instances, not %[1]v",
	"limits.cores":             "requests are worked on by %[2]v cores, not %[1]v",
	"limits.memory":            "the process may use %[2]v, not %[1]v",
	"limits.sockets":           "clients and boxes share %[2]v descriptors, not %[1]v",
	"client.waits":             "clients wait %[2]v, not %[1]v; the checks alone know",
	"requests.attempts":        "a request has %[2]v attempts, not %[1]v",
	"requests.cancel":          "attempts may be called off: %[2]v, before: %[1]v",
	"requests.second_copies":   "two attempts may be out at once: %[2]v, before: %[1]v",
	"requests.retry_after":     "refused clients are told when to come again: %[2]v, before: %[1]v",
	"connections.timeout":      "a connection that does not come up has failed after %[2]v, not %[1]v",
	"connections.idle":         "connections to boxes are kept for %[2]v, not %[1]v",
	"probes.allowed":           "boxes are probed: %[2]v, before: %[1]v",
	"rules.drain_grace":        "nothing is sent to a draining box after %[2]v, not %[1]v",
	"cross_cost":               "an answer from another place costs %[2]v of its worth, not %[1]v",
	"health.port":              "the side port is %[2]v, not %[1]v",
	"health.max_open":          "the instance is not ready above %[2]v open requests, not %[1]v",
	"capture.bytes":            "the capture keeps %[2]v, not %[1]v",
	"admission.reserve":        "%[2]v connections are kept for known clients, not %[1]v",
	"drill_secret_sha256":      "drills are started by another secret",
	"discovery.ask_within":     "the list is asked for within %[2]v, not %[1]v",
	"requests.max_retry_after": "refused clients are told to come again within %[2]v, not %[1]v",
	"discovery.mode":           "the list comes by %[2]v, not %[1]v",
	"health.list_age":          "the instance is not ready once the list is %[2]v old, not %[1]v",
	"rewrite_forwarded":        "boxes are told whom requests come from: %[2]v, before: %[1]v",
	"health.min_usable":        "the instance is not ready with fewer than %[2]v usable boxes, not %[1]v",
	"drill.share":              "the drill touches %[2]v %% of the requests, not %[1]v %%",
	"drill.delay":              "the drill holds requests back for %[2]v, not %[1]v",
	"admission.per_address":    "an address may hold %[2]v connections, not %[1]v",
	"rules.cold_from":          "a box that starts is taken to do %[2]v of its work at once, not %[1]v",
	"rules.cold_time":          "a box that starts is spared for %[2]v, not %[1]v",
	"rules.cold_multiple":      "a cold box bears %[2]v times its capacity, not %[1]v",
	"rules.answer_slack":       "an answer counts for %[2]v after the deadline, not %[1]v",
	"rules.only_drain_binds":   "boxes off the list may be used while they answer: %[2]v, before: %[1]v",
	"report.how":               "reports of load come by %[2]v, not %[1]v",
	"admission.waiting":        "requests that wait may hold %[2]v, not %[1]v",
	"round":                    "decisions are asked every %[2]v at most, not %[1]v",
	"client.connections":       "clients open up to %[2]v connections, not %[1]v; the checks alone know",
	"capture.dir":              "the capture is written to %[2]q, not %[1]q",
	"tenant.share":             "the tenant's part is %[2]v, not %[1]v",
	"tenant.allowance":         "the tenant may send %[2]v requests a second, not %[1]v",
	"client.rate":              "%[2]v requests a second are expected, not %[1]v; the checks alone know",
	"sizes":                    "the list's weights are taken as %[2]v, not %[1]v",
	"name":                     "logs call the instance %[2]q, not %[1]q",
	"client.tries":             "clients try %[2]v times, not %[1]v; the checks alone know",
	"probes.cost":              "a probe takes %[2]v of a box, not %[1]v; the checks alone know",
	"boxes.count":              "there are %[2]v boxes, not %[1]v; the checks alone know",
	"boxes.connections":        "a box takes %[2]v connections, not %[1]v; the checks alone know",
	"rules.cold_window":        "a cold box falls over after %[2]v beyond its capacity, not %[1]v",
	"capture.files":            "the capture has %[2]v segments, not %[1]v",
	"drill.duration":           "the drill runs for %[2]v, not %[1]v",
	"drill.abort":              "the drill answers %[2]v, not %[1]v",
	"seed":                     "random numbers begin with another seed",
	"probes.part":              "probes may take %[2]v of a box, not %[1]v; the checks alone know",
	"client.pause":             "clients pause %[2]v between tries, not %[1]v; the checks alone know",
	"report.fields":            "boxes report %[2]v, not %[1]v",
	"places":                   "the places are %[2]v, not %[1]v",
	"box_kinds":                "the kinds of boxes are %[2]v, not %[1]v",
	"admission.known":          "clients known from the start are %[2]v, not %[1]v",
	"thrift":                   "what holds for Thrift is otherwise",
	"fleet.name":               "the sidecar is of the fleet %[2]q, not %[1]q",
	"fleet.listen":             "other sidecars reach it at %[2]s, not %[1]s",
	"fleet.join":               "it looks for others at %[2]v, not %[1]v",
	"fleet.dir":                "what it keeps for its next start is in %[2]q, not %[1]q",
	"fleet.electors":           "who owns a job is agreed at %[2]v, not %[1]v",
	"fleet.jobs":               "it can do the jobs %[2]v, not %[1]v",
	"quotas":                   "what holds for quotas is otherwise",
	"admission.cap.links":      "addresses of the prefix may hold %[2]v connections, not %[1]v",
	"rewrite.value":            "the field is added as %[2]q, not %[1]q",
	"rewrite.to":               "the field is renamed to %[2]q, not %[1]q",
	"drill.class":              "the drill touches %[2]v, not %[1]v",
}

// Diff returns the changes from a to b in the order of the model. It compares only fields that both kinds of file can hold.
func Diff(a, b *File) []Change {
	var all []Change
	both := func(f *Field) bool { return a.describes(f) && b.describes(f) }
	if a.App != nil && b.App != nil {
		all = append(all, changes(reflect.ValueOf(*a.App), reflect.ValueOf(*b.App), "", "", both)...)
	}
	if a.Site != nil && b.Site != nil {
		all = append(all, changes(reflect.ValueOf(*a.Site), reflect.ValueOf(*b.Site), "", "", both)...)
	}
	return all
}

// describes reports whether the file's kind can hold a field. A feature that a platform's file has no field for must not be
// reported as switched off.
func (f *File) describes(field *Field) bool {
	switch f.Kind {
	case PlatformFile:
		return !strings.HasPrefix(field.File, "f:")
	case FeaturesFile:
		return strings.HasPrefix(field.File, "f:")
	}
	return true
}

func changes(a, b reflect.Value, generic, path string, both func(*Field) bool) []Change {
	var all []Change
	for _, f := range fieldsOf(a.Type()) {
		if !both(&f) {
			continue
		}
		x, y := a.Field(f.index), b.Field(f.index)
		name, at := generic+f.name, path+f.name
		if reflect.DeepEqual(x.Interface(), y.Interface()) || f.name == "format" {
			continue
		}
		s, many := structure(f.kind)
		switch {
		case s != nil && many:
			all = append(all, listChanges(x, y, name, at, both)...)
		case s != nil && x.Kind() == reflect.Pointer && (x.IsNil() || y.IsNil()):
			word := "is switched on"
			if y.IsNil() {
				word = "is switched off"
			}
			all = append(all, Change{at, f.Comment + ": " + word, appliedAt(name)})
		case s != nil:
			all = append(all, changes(reflect.Indirect(x), reflect.Indirect(y), name+".", at+".", both)...)
		default:
			words := changeTexts[name]
			if words == "" {
				words = f.Comment + ": %[2]v, not %[1]v"
			}
			if strings.Contains(words, "%") {
				words = fmt.Sprintf(words, printable(x), printable(y))
			}
			all = append(all, Change{at, words, appliedAt(name)})
		}
	}
	return all
}

// printable returns a value as it is printed in a sentence.
func printable(v reflect.Value) any {
	if v.Kind() == reflect.String && v.String() == "" {
		return "none"
	}
	return v.Interface()
}

// listChanges compares two lists, matching entries by name or, without names, by index.
func listChanges(a, b reflect.Value, name, path string, both func(*Field) bool) []Change {
	var all []Change
	keys := func(v reflect.Value) []string {
		var keys []string
		for i := range v.Len() {
			key := fmt.Sprint(i)
			if n := v.Index(i).FieldByName("Name"); n.IsValid() && name != "rewrite" {
				key = n.String()
			}
			keys = append(keys, key)
		}
		return keys
	}
	before, after := keys(a), keys(b)
	for i, key := range before {
		at := fmt.Sprintf("%s[%s]", path, key)
		if j := slices.Index(after, key); j >= 0 {
			all = append(all, changes(a.Index(i), b.Index(j), name+".", at+".", both)...)
		} else if name == "class" {
			all = append(all, Change{at, "requests of this class get 404", appliedAt(name)})
		} else {
			all = append(all, Change{at, "is gone", appliedAt(name)})
		}
	}
	for _, key := range after {
		if slices.Contains(before, key) {
			continue
		}
		words := "is new"
		if name == "class" {
			words = "requests of this class are served; before they got 404"
		}
		all = append(all, Change{fmt.Sprintf("%s[%s]", path, key), words, appliedAt(name)})
	}
	if len(all) == 0 {
		all = append(all, Change{path, "the order is otherwise", appliedAt(name)})
	}
	return all
}

// appliedAt returns when a running sidecar applies a change of a field.
func appliedAt(name string) string {
	switch {
	case name == "discovery" || strings.HasPrefix(name, "limits."):
		return "SIGHUP"
	case strings.HasPrefix(name, "client.") || strings.HasPrefix(name, "boxes.") || name == "probes.cost" || name == "probes.part":
		return "never"
	}
	return "restart"
}
