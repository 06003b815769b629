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

// ReadScript parses and checks a script, also that its day has what it names. file is its name in errors. Every error is a
// *tomlfile.Error.
func ReadScript(file string, text []byte, r Ranges) (*Script, error) {
	s := &Script{}
	read, err := tomlfile.Read(file, text, s)
	if err != nil {
		return nil, err
	}
	s.normalize()
	fault := func(table, field, why string) error {
		e := read.Fault(table+field, why)
		e.Field = field // the line already says which table it is
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

// WhyOnlySimulated returns why a fault is injected in simulated time alone; empty: also into real processes.
func (f *Fault) WhyOnlySimulated() string {
	switch f.Kind {
	case Clock:
		return "real processes share the machine's clock"
	case LateConnect:
		return "the machine's connections to itself come up at once"
	}
	return ""
}

// ReadRealScript reads a script for real processes. A fault that is injected in simulated time alone is an error.
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
		e := read.Fault(faultPath(i)+"kind", string(s.Faults[i].Kind)+" is played in simulated time alone: "+why)
		e.Field = "kind"
		return nil, e
	}
	return s, nil
}

// unknownReference returns the first fault and field of a script that name what a day doesn't have; an empty field: there
// is none.
func (s *Script) unknownReference(day *Day) (i int, field, why string) {
	starting := 0
	for i := range s.Faults {
		fault := &s.Faults[i]
		if field, why := fault.unknownReference(day); field != "" {
			return i, field, why
		}
		if fault.Kind == ScaleOut {
			if starting += fault.SidecarCount; starting >= len(day.Sidecars) {
				return i, "by", fmt.Sprintf("the day has %d sidecars, and one must stand at its start", len(day.Sidecars))
			}
		}
	}
	return 0, "", ""
}

// normalize replaces empty lists by nil.
func (s *Script) normalize() {
	if len(s.Faults) == 0 {
		s.Faults = nil
	}
	for i := range s.Faults {
		fault := &s.Faults[i]
		if len(fault.Servers) == 0 {
			fault.Servers = nil
		}
		for _, list := range []*[]int{&fault.Sidecars, &fault.From, &fault.To} {
			if len(*list) == 0 {
				*list = nil
			}
		}
	}
}

// faultPath returns the prefix of the paths of a fault's fields in a script.
func faultPath(i int) string { return fmt.Sprintf("trouble[%d].", i) }

// invalidField returns the first field of a script that is out of range, and why; an empty field: there is none.
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

// Limits of a script's figures.
const (
	maxFaultSeconds   = 3600.0
	maxRatePerSecond  = 1000.0
	maxBytesPerSecond = 1e6 // between sidecars
	minClockRate      = 0.95
	maxClockRate      = 1.05
)

// invalidField returns the first field of a fault that is missing, out of range or not its kind's, and why; an empty field:
// there is none. has reports whether the text gives a field.
func (f *Fault) invalidField(has func(field string) bool) (field, why string) {
	kind := kindOf(f.Kind, has)
	if kind == nil {
		return "kind", fmt.Sprintf("%q is none of %s", f.Kind, strings.Join(FaultKinds(), ", "))
	}
	for _, check := range append([]string{"at_s"}, kind.fields...) {
		if !has(check) {
			return check, "missing; " + string(f.Kind) + " needs it"
		}
	}
	v := reflect.TypeFor[Fault]()
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Field(i).Tag.Get("toml"), ",")
		known := name == "kind" || name == "at_s" || slices.Contains(kind.fields, name) || slices.Contains(kind.optional, name)
		if has(name) && !known {
			return name, string(f.Kind) + " has no such field"
		}
	}
	ratePerSecond := maxRatePerSecond
	if f.Kind == PeerSlow {
		ratePerSecond = maxBytesPerSecond
	}
	if f.Kind == Clock && !(f.ClockRate >= minClockRate && f.ClockRate <= maxClockRate) {
		return "rate", fmt.Sprintf("not between %g and %g", minClockRate, maxClockRate)
	}
	for _, check := range []struct {
		name        string
		v           float64
		least, most float64
	}{
		{"at_s", f.AtSeconds, 0, maxFaultSeconds}, {"for_s", f.DurationSeconds, 0, maxFaultSeconds}, {"share", f.Share, 0, 1}, {"per_s", f.RatePerSecond, 0, ratePerSecond},
		{"drain_s", f.DrainSeconds, 0, maxFaultSeconds}, {"lag_s", f.DelaySeconds, 0, maxFaultSeconds},
	} {
		if !(check.v >= check.least && check.v <= check.most) || math.IsInf(check.v, 0) {
			return check.name, fmt.Sprintf("not between %g and %g", check.least, check.most)
		}
	}
	for _, check := range []struct {
		name string
		ok   bool
	}{{"per_s", f.RatePerSecond > 0}, {"by", f.SidecarCount > 0}, {"boxes", len(f.Servers) > 0}, {"sidecars", len(f.Sidecars) > 0}, {"site", f.Site != ""}, {"from", len(f.From) > 0}} {
		if slices.Contains(kind.fields, check.name) && !check.ok {
			return check.name, "empty"
		}
	}
	return "", ""
}

// unknownReference returns the first field of a fault that names what a day doesn't have, and why; an empty field: there is
// none.
func (f *Fault) unknownReference(day *Day) (field, why string) {
	for _, name := range f.Servers {
		if !slices.ContainsFunc(day.Servers, func(b ServerSpec) bool { return b.Name == name }) {
			return "boxes", fmt.Sprintf("the day has no box %q", name)
		}
	}
	for _, list := range []struct {
		field string
		all   []int
	}{{"sidecars", f.Sidecars}, {"from", f.From}, {"to", f.To}} {
		for _, n := range list.all {
			if n < 0 || n >= len(day.Sidecars) {
				return list.field, fmt.Sprintf("the day has sidecars 0 to %d", len(day.Sidecars)-1)
			}
		}
	}
	if f.State != "" && f.State != StateKept && f.State != StateLost && f.State != StateTorn && f.State != StateOld {
		return "state", fmt.Sprintf("%q is none of kept, lost, torn, old", f.State)
	}
	if f.Site != "" && !slices.Contains(day.Sites, f.Site) {
		return "site", fmt.Sprintf("the day's sites are %s", strings.Join(day.Sites, ", "))
	}
	return "", ""
}
