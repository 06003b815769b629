// Package maintenanceplan parses the file in which an operator describes a maintenance plan. The format is TOML, read strictly: every
// fault is a *tomlfile.Error, one line that names the file, the line, the column and the key. The keys are those of the operators'
// page docs/operators/work.md.
package maintenanceplan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/tomlfile"
)

// file is the decoded file. Its fields have the names of the keys.
type file struct {
	Name      string            `toml:"name"`
	Boxes     []string          `toml:"boxes"`
	Sites     []string          `toml:"sites"`
	Types     []string          `toml:"types"`
	Takes     tomlfile.Duration `toml:"takes"`
	Late      tomlfile.Duration `toml:"late"`
	WhenLate  string            `toml:"when_late"`
	AtOnce    int               `toml:"at_once"`
	BySite    int               `toml:"by_site"`
	Keep      float64           `toml:"keep"`
	Refusing  float64           `toml:"refusing"`
	Most      float64           `toml:"refusing_most"`
	Settle    tomlfile.Duration `toml:"settle"`
	Cold      tomlfile.Duration `toml:"cold"`
	Gone      tomlfile.Duration `toml:"gone"`
	NotBefore any               `toml:"not_before"` // a time or a string
	NotAfter  any               `toml:"not_after"`

	start, end time.Time // parsed from NotBefore and NotAfter; zero: not set
}

// Values of when_late.
const (
	whenLateWait   = "wait"
	whenLateGiveUp = "give-up"
)

// Bounds of a plan.
const (
	minDuration  = 100 * time.Millisecond
	maxDuration  = 7 * 24 * time.Hour
	maxQuiet     = 10 * time.Minute
	maxWarmUp    = time.Hour
	minDeadAfter = time.Second
	maxSchedule  = 31 * 24 * time.Hour // until not_before or not_after
	maxNameLen   = 64
	maxAtOnce    = maintenance.MaxServers
)

// fault is what is wrong with a key; the zero fault is none.
type fault struct{ key, problem string }

// Parse reads a plan. name is the file's name in errors, which are *tomlfile.Error; not_before and not_after are relative to now in the
// result.
func Parse(name string, text []byte, now time.Time) (maintenance.Spec, error) {
	var f file
	parsed, err := tomlfile.Read(name, text, &f)
	if err != nil {
		return maintenance.Spec{}, err
	}
	if wrong := f.validate(parsed.Has, now); wrong != (fault{}) {
		return maintenance.Spec{}, parsed.Fault(wrong.key, wrong.problem)
	}
	s := f.spec(now)
	if err := s.Validate(); err != nil { // all of it is checked above, with the place in the file
		return maintenance.Spec{}, parsed.Fault("", err.Error())
	}
	return s, nil
}

// spec returns the plan of a valid file.
func (f *file) spec(now time.Time) maintenance.Spec {
	s := maintenance.Spec{
		Name:              f.Name,
		Servers:           f.Boxes,
		Sites:             f.Sites,
		Types:             f.Types,
		WorkSeconds:       f.Takes.Seconds(),
		OverdueSeconds:    f.Late.Seconds(),
		AbandonOverdue:    f.WhenLate == whenLateGiveUp,
		MaxConcurrent:     f.AtOnce,
		MaxPerSite:        f.BySite,
		MinCapacity:       f.Keep,
		RejectionBudget:   f.Refusing,
		MaxRejection:      f.Most,
		QuietSeconds:      f.Settle.Seconds(),
		WarmUpSeconds:     f.Cold.Seconds(),
		DeadMemberSeconds: f.Gone.Seconds(),
	}
	if !f.start.IsZero() {
		s.StartAfterSeconds = max(f.start.Sub(now).Seconds(), 0)
	}
	if !f.end.IsZero() {
		s.EndAfterSeconds = f.end.Sub(now).Seconds()
	}
	return s
}

// validate returns the first fault of the file. has reports whether a key is set.
func (f *file) validate(has func(string) bool, now time.Time) fault {
	if wrong := f.validateNames(has); wrong != (fault{}) {
		return wrong
	}
	if wrong := f.validateNumbers(has); wrong != (fault{}) {
		return wrong
	}
	if wrong := f.validateDurations(has); wrong != (fault{}) {
		return wrong
	}
	return f.parseSchedule(has, now)
}

func (f *file) validateNames(has func(string) bool) fault {
	if !isPlanName(f.Name) {
		return fault{"name", fmt.Sprintf("want a name of at most %d letters, digits, '.', '_' and '-'", maxNameLen)}
	}
	for _, list := range []struct {
		key   string
		names []string
	}{{"boxes", f.Boxes}, {"sites", f.Sites}, {"types", f.Types}} {
		for i, name := range list.names {
			switch key := fmt.Sprintf("%s[%d]", list.key, i); {
			case !isListedName(name):
				return fault{key, fmt.Sprintf("%.80q is no name", name)}
			case slices.Contains(list.names[:i], name):
				return fault{key, fmt.Sprintf("%q is there twice", name)}
			}
		}
		if len(list.names) > maintenance.MaxServers {
			return fault{list.key, fmt.Sprintf("%d of them, at most %d", len(list.names), maintenance.MaxServers)}
		}
	}
	if len(f.Boxes)+len(f.Sites)+len(f.Types) == 0 {
		return fault{"boxes", "missing, and sites and types, too: the plan has no boxes"}
	}
	if has("when_late") && f.WhenLate != whenLateWait && f.WhenLate != whenLateGiveUp {
		return fault{"when_late", fmt.Sprintf("want %q or %q", whenLateWait, whenLateGiveUp)}
	}
	return fault{}
}

// validateNumbers checks the numbers. Danger: a float may be NaN, which is within no bounds; so each comparison states what is right.
func (f *file) validateNumbers(has func(string) bool) fault {
	switch {
	case !has("at_once"):
		return fault{"at_once", "missing: how many boxes may be out or cold at once"}
	case f.AtOnce < 1 || f.AtOnce > maxAtOnce:
		return fault{"at_once", fmt.Sprintf("%d is not 1 to %d", f.AtOnce, maxAtOnce)}
	case has("by_site") && (f.BySite < 1 || f.BySite > f.AtOnce):
		return fault{"by_site", fmt.Sprintf("%d is not 1 to %d, which may be out at once", f.BySite, f.AtOnce)}
	case !has("keep"):
		return fault{"keep", "missing: the part of the capacity that must stay"}
	case !(f.Keep >= 0 && f.Keep < 1):
		return fault{"keep", fmt.Sprintf("%g is not 0 to below 1", f.Keep)}
	case has("refusing") && !(f.Refusing > 0 && f.Refusing <= 1):
		return fault{"refusing", fmt.Sprintf("%g is not above 0, to 1", f.Refusing)}
	case has("refusing_most") && !(f.Most > 0 && f.Most >= f.Refusing && f.Most <= 1):
		return fault{"refusing_most", fmt.Sprintf("%g is not %g, which is refusing, to 1", f.Most, f.Refusing)}
	}
	return fault{}
}

func (f *file) validateDurations(has func(string) bool) fault {
	if !has("takes") {
		return fault{"takes", "missing: how long the work on one box takes"}
	}
	for _, d := range []struct {
		key      string
		value    *tomlfile.Duration
		min, max time.Duration
	}{
		{"takes", &f.Takes, minDuration, maxDuration},
		{"late", &f.Late, minDuration, maxDuration},
		{"settle", &f.Settle, minDuration, maxQuiet},
		{"cold", &f.Cold, minDuration, maxWarmUp},
		{"gone", &f.Gone, minDeadAfter, maxDuration},
	} {
		switch {
		case !has(d.key):
		case d.value.Why() != "":
			return fault{d.key, d.value.Why()}
		case d.value.Duration < d.min || d.value.Duration > d.max:
			return fault{d.key, fmt.Sprintf("%v is not %v to %v", d.value.Duration, d.min, d.max)}
		}
	}
	if has("late") && f.Late.Duration < f.Takes.Duration {
		return fault{"late", fmt.Sprintf("%v is less than the work takes, %v", f.Late.Duration, f.Takes.Duration)}
	}
	return fault{}
}

// parseSchedule parses not_before and not_after into start and end, and checks them against now.
func (f *file) parseSchedule(has func(string) bool, now time.Time) fault {
	for _, t := range []struct {
		key   string
		value any
		to    *time.Time
	}{{"not_before", f.NotBefore, &f.start}, {"not_after", f.NotAfter, &f.end}} {
		var problem string
		if *t.to, problem = parseTime(t.value); problem != "" {
			return fault{t.key, problem}
		}
		if t.to.Sub(now) > maxSchedule {
			return fault{t.key, "it is more than a month from now"}
		}
	}
	switch {
	case has("not_after") && has("not_before") && !f.end.After(f.start):
		return fault{"not_after", "it is not after not_before"}
	case has("not_after") && !f.end.After(now):
		return fault{"not_after", "it is over"}
	}
	return fault{}
}

// parseTime returns a time that is given as a TOML time or as a string, in RFC 3339 with its zone; the zero time for nil. A problem is
// returned as text, without the place.
func parseTime(value any) (t time.Time, problem string) {
	switch value := value.(type) {
	case nil:
		return t, ""
	case time.Time:
		return value, ""
	case string:
		t, err := time.Parse(time.RFC3339, value)
		if err == nil {
			return t, ""
		}
	}
	return t, fmt.Sprintf("%.40q is not a time with its zone like 2026-12-24T03:00:00+01:00", fmt.Sprint(value))
}

// isListedName reports whether a string can be the name of a server, a site or a type: without white space and control characters.
func isListedName(s string) bool {
	return s != "" && len(s) <= maxNameLen && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// isPlanName reports whether a string can be the name of a plan, which is shown in lines, tables and as a metric label: letters, digits,
// '.', '_' and '-', not dots alone.
func isPlanName(s string) bool {
	isOther := func(r rune) bool {
		isAlphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !isAlphanumeric && !strings.ContainsRune("._-", r)
	}
	return strings.Trim(s, ".") != "" && len(s) <= maxNameLen && !strings.ContainsFunc(s, isOther)
}
