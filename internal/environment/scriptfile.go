package environment

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"hazelwheel/internal/tomlfile"
)

// Format returns a script as TOML. ReadScript returns the same script for it.
func (s *Script) Format() ([]byte, error) { return toml.Marshal(s) }

// ReadScript reads a script's text; file is what errors call it. Every error is a *tomlfile.Error. Whether a script's day
// has what it names is checked too.
func ReadScript(file string, text []byte, r Ranges) (*Script, error) {
	s := &Script{}
	read, err := tomlfile.Read(file, text, s)
	if err != nil {
		return nil, err
	}
	s.normalize()
	fault := func(table, field, why string) error {
		e := read.Fault(table+field, why)
		e.Field = field // its line tells the table
		return e
	}
	for i := range s.Faults {
		if field, why := s.Faults[i].invalidField(func(field string) bool {
			return read.Has(faultPath(i) + field)
		}); field != "" {
			return nil, fault(faultPath(i), field, why)
		}
	}
	if field, why := s.invalidField(r); field != "" {
		return nil, fault("", field, why)
	}
	d := s.Day(r)
	if i, field, why := s.unknownReference(&d); field != "" {
		return nil, fault(faultPath(i), field, why)
	}
	return s, nil
}

// Simulated returns why a trouble is played in simulated time alone; empty: it is played with real processes, too.
func (t *Fault) WhyOnlySimulated() string {
	switch t.Kind {
	case Clock:
		return "real processes share the machine's clock"
	case LateConnect:
		return "the machine's connections to itself come up at once"
	}
	return ""
}

// ReadRealScript reads a script for real processes. What is played in simulated time alone is an error.
func ReadRealScript(file string, text []byte, r Ranges) (*Script, error) {
	s, err := ReadScript(file, text, r)
	if err != nil {
		return nil, err
	}
	for i := range s.Faults {
		why := s.Faults[i].WhyOnlySimulated()
		if why == "" {
			continue
		}
		read, err := tomlfile.Read(file, text, &Script{})
		if err != nil {
			return nil, err
		}
		e := read.Fault(faultPath(i)+"kind", s.Faults[i].Kind+" is played in simulated time alone: "+why)
		e.Field = "kind"
		return nil, e
	}
	return s, nil
}

// fault returns the first trouble and field of a script that names what a day has not.
func (s *Script) unknownReference(d *Day) (i int, field, why string) {
	come := 0
	for i := range s.Faults {
		t := &s.Faults[i]
		if field, why := t.unknownReference(d); field != "" {
			return i, field, why
		}
		if t.Kind == ScaleOut {
			if come += t.SidecarCount; come >= len(d.Sidecars) {
				return i, "by", fmt.Sprintf("the day has %d sidecars, and one must stand at its start", len(d.Sidecars))
			}
		}
	}
	return 0, "", ""
}

// tidy makes lists that are there and hold nothing the same as none.
func (s *Script) normalize() {
	if len(s.Faults) == 0 {
		s.Faults = nil
	}
	for i := range s.Faults {
		t := &s.Faults[i]
		if len(t.Servers) == 0 {
			t.Servers = nil
		}
		for _, list := range []*[]int{&t.Sidecars, &t.From, &t.To} {
			if len(*list) == 0 {
				*list = nil
			}
		}
	}
}

// trouble is how the paths of a trouble's fields begin.
func faultPath(i int) string { return fmt.Sprintf("trouble[%d].", i) }

// misshapen returns the first field of a script that is out of range, with what is wrong.
func (s *Script) invalidField(r Ranges) (field, why string) {
	switch {
	case s.Sidecars < 0 || s.Sidecars > int(r.Sidecars.Max):
		return "sidecars", fmt.Sprintf("not between 0 and %d", int(r.Sidecars.Max))
	case s.Servers < 0 || s.Servers > int(r.Servers.Max):
		return "boxes", fmt.Sprintf("not between 0 and %d", int(r.Servers.Max))
	case !(s.LengthSeconds >= 0 && s.LengthSeconds <= r.LengthSeconds.Max):
		return "length_s", fmt.Sprintf("not between 0 and %g", r.LengthSeconds.Max)
	}
	return "", ""
}

// Most of what a script may ask for.
const (
	maxFaultSeconds   = 3600.0
	maxRatePerSecond  = 1000.0
	maxBytesPerSecond = 1e6 // between sidecars
	minClockRate      = 0.95
	maxClockRate      = 1.05
)

// misshapen returns the first field of a trouble that is missing, odd or not its kind's, with what is wrong. has tells
// whether the text gives a field.
func (t *Fault) invalidField(has func(field string) bool) (field, why string) {
	k := kindOf(t.Kind, has)
	if k == nil {
		return "kind", fmt.Sprintf("%q is none of %s", t.Kind, strings.Join(FaultKinds(), ", "))
	}
	for _, f := range append([]string{"at_s"}, k.fields...) {
		if !has(f) {
			return f, "missing; " + t.Kind + " needs it"
		}
	}
	v := reflect.TypeFor[Fault]()
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Field(i).Tag.Get("toml"), ",")
		known := name == "kind" || name == "at_s" || slices.Contains(k.fields, name) || slices.Contains(k.optional, name)
		if has(name) && !known {
			return name, t.Kind + " has no such field"
		}
	}
	perS := maxRatePerSecond
	if t.Kind == PeerSlow {
		perS = maxBytesPerSecond
	}
	if t.Kind == Clock && !(t.ClockRate >= minClockRate && t.ClockRate <= maxClockRate) {
		return "rate", fmt.Sprintf("not between %g and %g", minClockRate, maxClockRate)
	}
	for _, f := range []struct {
		name        string
		v           float64
		least, most float64
	}{
		{"at_s", t.AtSeconds, 0, maxFaultSeconds}, {"for_s", t.DurationSeconds, 0, maxFaultSeconds}, {"share", t.Share, 0, 1}, {"per_s", t.RatePerSecond, 0, perS},
		{"drain_s", t.DrainSeconds, 0, maxFaultSeconds}, {"lag_s", t.DelaySeconds, 0, maxFaultSeconds},
	} {
		if !(f.v >= f.least && f.v <= f.most) || math.IsInf(f.v, 0) {
			return f.name, fmt.Sprintf("not between %g and %g", f.least, f.most)
		}
	}
	for _, f := range []struct {
		name string
		ok   bool
	}{{"per_s", t.RatePerSecond > 0}, {"by", t.SidecarCount > 0}, {"boxes", len(t.Servers) > 0}, {"sidecars", len(t.Sidecars) > 0}, {"site", t.Site != ""}, {"from", len(t.From) > 0}} {
		if slices.Contains(k.fields, f.name) && !f.ok {
			return f.name, "empty"
		}
	}
	return "", ""
}

// fault returns the first field of a trouble that names what a day has not.
func (t *Fault) unknownReference(d *Day) (field, why string) {
	for _, name := range t.Servers {
		if !slices.ContainsFunc(d.Servers, func(b ServerSpec) bool { return b.Name == name }) {
			return "boxes", fmt.Sprintf("the day has no box %q", name)
		}
	}
	for _, list := range []struct {
		field string
		all   []int
	}{{"sidecars", t.Sidecars}, {"from", t.From}, {"to", t.To}} {
		for _, n := range list.all {
			if n < 0 || n >= len(d.Sidecars) {
				return list.field, fmt.Sprintf("the day has sidecars 0 to %d", len(d.Sidecars)-1)
			}
		}
	}
	if t.State != "" && t.State != StateKept && t.State != StateLost && t.State != StateTorn && t.State != StateOld {
		return "state", fmt.Sprintf("%q is none of kept, lost, torn, old", t.State)
	}
	if t.Site != "" && !slices.Contains(d.Sites, t.Site) {
		return "site", fmt.Sprintf("the day's sites are %s", strings.Join(d.Sites, ", "))
	}
	return "", ""
}
