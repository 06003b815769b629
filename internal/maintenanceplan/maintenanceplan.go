// Package maintenanceplan reads plans of work on boxes, as operators write them: TOML, strictly, so that whatever is wrong with a file is one
// line that names the file, the line and the field.
package maintenanceplan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/tomlfile"
)

// file is a plan as it is written.
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
	NotBefore any               `toml:"not_before"`
	NotAfter  any               `toml:"not_after"`

	from, until time.Time // of these two; the zero time: it does not say
}

// instant reads a time as RFC 3339 writes it, bare or as a text; nil is the zero time. Why says what is wrong with it.
func instant(v any) (at time.Time, why string) {
	switch v := v.(type) {
	case nil:
		return at, ""
	case time.Time:
		return v, ""
	case string:
		at, err := time.Parse(time.RFC3339, v)
		if err == nil {
			return at, ""
		}
	}
	return at, fmt.Sprintf("%.40q is not a time with its zone like 2026-12-24T03:00:00+01:00", fmt.Sprint(v))
}

// Bounds of what a plan says.
const (
	longest    = 7 * 24 * time.Hour
	farthest   = 31 * 24 * time.Hour
	mostName   = 64
	mostAtOnce = maintenance.MaxServers
)

// fault is what is wrong with a field.
type fault struct{ field, why string }

// Read reads a plan; name is what errors call the file. What it says of hours of the day counts from now.
func Parse(name string, text []byte, now time.Time) (maintenance.Spec, error) {
	var f file
	read, err := tomlfile.Read(name, text, &f)
	if err != nil {
		return maintenance.Spec{}, err
	}
	for _, check := range []func(has func(string) bool) fault{f.names, f.numbers, f.durations, func(has func(string) bool) fault { return f.hours(has, now) }} {
		if wrong := check(read.Has); wrong.field != "" {
			return maintenance.Spec{}, read.Fault(wrong.field, wrong.why)
		}
	}
	s := maintenance.Spec{Name: f.Name, Servers: f.Boxes, Sites: f.Sites, Types: f.Types, WorkSeconds: f.Takes.Seconds(), OverdueSeconds: f.Late.Seconds(), AbandonOverdue: f.WhenLate == giveUp,
		MaxConcurrent: f.AtOnce, MaxPerSite: f.BySite, MinCapacity: f.Keep, RejectionBudget: f.Refusing, MaxRejection: f.Most, QuietSeconds: f.Settle.Seconds(), WarmUpSeconds: f.Cold.Seconds(), DeadMemberSeconds: f.Gone.Seconds()}
	if !f.from.IsZero() {
		s.StartAfterSeconds = max(f.from.Sub(now).Seconds(), 0)
	}
	if !f.until.IsZero() {
		s.EndAfterSeconds = f.until.Sub(now).Seconds()
	}
	if err := s.Validate(); err != nil { // what is said here goes for less
		return maintenance.Spec{}, read.Fault("", err.Error())
	}
	return s, nil
}

// What a plan may say of a box that is late.
const (
	wait   = "wait"
	giveUp = "give-up"
)

func (f *file) names(has func(string) bool) fault {
	if !plain(f.Name) {
		return fault{"name", fmt.Sprintf("want a name of at most %d letters, digits, '.', '_' and '-'", mostName)}
	}
	for _, list := range []struct {
		field string
		all   []string
	}{{"boxes", f.Boxes}, {"sites", f.Sites}, {"types", f.Types}} {
		for i, s := range list.all {
			switch at := fmt.Sprintf("%s[%d]", list.field, i); {
			case s == "" || len(s) > mostName || strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f }):
				return fault{at, fmt.Sprintf("%.80q is no name", s)}
			case slices.Contains(list.all[:i], s):
				return fault{at, fmt.Sprintf("%q is there twice", s)}
			}
		}
		if len(list.all) > maintenance.MaxServers {
			return fault{list.field, fmt.Sprintf("%d of them, at most %d", len(list.all), maintenance.MaxServers)}
		}
	}
	if len(f.Boxes)+len(f.Sites)+len(f.Types) == 0 {
		return fault{"boxes", "missing, and sites and types, too: the plan has no boxes"}
	}
	if has("when_late") && f.WhenLate != wait && f.WhenLate != giveUp {
		return fault{"when_late", fmt.Sprintf("want %q or %q", wait, giveUp)}
	}
	return fault{}
}

func (f *file) numbers(has func(string) bool) fault {
	switch {
	case !has("at_once"):
		return fault{"at_once", "missing: how many boxes may be out or cold at once"}
	case f.AtOnce < 1 || f.AtOnce > mostAtOnce:
		return fault{"at_once", fmt.Sprintf("%d is not 1 to %d", f.AtOnce, mostAtOnce)}
	case has("by_site") && (f.BySite < 1 || f.BySite > f.AtOnce):
		return fault{"by_site", fmt.Sprintf("%d is not 1 to %d, which may be out at once", f.BySite, f.AtOnce)}
	case !has("keep"):
		return fault{"keep", "missing: the part of the capacity that must stay"}
	case !(f.Keep >= 0 && f.Keep < 1): // Danger: a number that is none is in no bounds
		return fault{"keep", fmt.Sprintf("%g is not 0 to below 1", f.Keep)}
	case has("refusing") && !(f.Refusing > 0 && f.Refusing <= 1):
		return fault{"refusing", fmt.Sprintf("%g is not above 0, to 1", f.Refusing)}
	case has("refusing_most") && !(f.Most > 0 && f.Most >= f.Refusing && f.Most <= 1):
		return fault{"refusing_most", fmt.Sprintf("%g is not %g, which is refusing, to 1", f.Most, f.Refusing)}
	}
	return fault{}
}

func (f *file) durations(has func(string) bool) fault {
	if !has("takes") {
		return fault{"takes", "missing: how long the work on one box takes"}
	}
	for _, d := range []struct {
		field       string
		of          *tomlfile.Duration
		least, most time.Duration
	}{{"takes", &f.Takes, 100 * time.Millisecond, longest}, {"late", &f.Late, 100 * time.Millisecond, longest}, {"settle", &f.Settle, 100 * time.Millisecond, 10 * time.Minute},
		{"cold", &f.Cold, 100 * time.Millisecond, time.Hour}, {"gone", &f.Gone, time.Second, longest}} {
		switch {
		case !has(d.field):
		case d.of.Why() != "":
			return fault{d.field, d.of.Why()}
		case d.of.Duration < d.least || d.of.Duration > d.most:
			return fault{d.field, fmt.Sprintf("%v is not %v to %v", d.of.Duration, d.least, d.most)}
		}
	}
	if has("late") && f.Late.Duration < f.Takes.Duration {
		return fault{"late", fmt.Sprintf("%v is less than the work takes, %v", f.Late.Duration, f.Takes.Duration)}
	}
	return fault{}
}

// hours checks what the plan says of the time of day.
func (f *file) hours(has func(string) bool, now time.Time) fault {
	for _, i := range []struct {
		field string
		of    any
		to    *time.Time
	}{{"not_before", f.NotBefore, &f.from}, {"not_after", f.NotAfter, &f.until}} {
		var why string
		if *i.to, why = instant(i.of); why != "" {
			return fault{i.field, why}
		}
		if i.to.Sub(now) > farthest {
			return fault{i.field, "it is more than a month from now"}
		}
	}
	switch {
	case has("not_after") && has("not_before") && !f.until.After(f.from):
		return fault{"not_after", "it is not after not_before"}
	case has("not_after") && !f.until.After(now):
		return fault{"not_after", "it is over"}
	}
	return fault{}
}

// plain tells whether a name means the same in a line, a table and a figure.
func plain(s string) bool {
	odd := func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !letter && !strings.ContainsRune("._-", r)
	}
	return strings.Trim(s, ".") != "" && len(s) <= mostName && !strings.ContainsFunc(s, odd)
}
