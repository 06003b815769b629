package report

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/google/pprof/profile"

	"hazelwheel/internal/lab/figures"
)

// hot is a function with its share of the CPU time, in percent: its own, and that with what it calls.
type hot struct {
	Name       string
	Own, Whole float64
}

const (
	mostOwn   = 12
	mostWhole = 12
)

// profiled is where a balancer's CPU time went in a cell.
type profiled struct {
	Balancer   string
	Own, Whole []hot // the most by either share
}

// profiles adds up the profiles of a cell's balancers.
func profiles(c *figures.Cell) ([]profiled, error) {
	var all []profiled
	for _, b := range c.Columns {
		var parts []*profile.Profile
		for _, r := range b.Runs {
			for _, path := range r.Profiles {
				p, err := readProfile(path)
				if err != nil {
					return nil, fmt.Errorf("%s: %w", path, err)
				}
				parts = append(parts, p)
			}
		}
		if len(parts) == 0 {
			continue
		}
		sum, err := profile.Merge(parts)
		if err != nil {
			return nil, err
		}
		p := profiled{Balancer: b.Balancer}
		p.Own, p.Whole = hottest(sum)
		all = append(all, p)
	}
	return all, nil
}

func readProfile(path string) (*profile.Profile, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // read only
	return profile.Parse(f)
}

// hottest returns the functions that took most by themselves, and those of this project that took most with what they call.
func hottest(p *profile.Profile) (own, whole []hot) {
	total := 0.0
	by := map[string]*hot{}
	of := func(name string) *hot {
		if by[name] == nil {
			by[name] = &hot{Name: name}
		}
		return by[name]
	}
	for _, s := range p.Sample {
		if len(s.Value) == 0 || len(s.Location) == 0 {
			continue
		}
		x := float64(s.Value[len(s.Value)-1])
		total += x
		seen := map[string]bool{}
		for i, l := range s.Location {
			for j, line := range l.Line {
				if line.Function == nil {
					continue
				}
				name := line.Function.Name
				if i == 0 && j == 0 {
					of(name).Own += x
				}
				if !seen[name] { // one that calls itself counts once
					seen[name] = true
					of(name).Whole += x
				}
			}
		}
	}
	var all []hot
	for _, h := range by {
		h.Own, h.Whole = 100*h.Own/total, 100*h.Whole/total
		all = append(all, *h)
	}
	byShare := func(f func(hot) float64) func(a, b hot) int {
		return func(a, b hot) int {
			if f(a) != f(b) {
				if f(a) > f(b) {
					return -1
				}
				return 1
			}
			return strings.Compare(a.Name, b.Name)
		}
	}
	slices.SortFunc(all, byShare(func(h hot) float64 { return h.Own }))
	own = slices.Clone(all[:min(len(all), mostOwn)])
	all = slices.DeleteFunc(all, func(h hot) bool { return !strings.HasPrefix(h.Name, "hazelwheel/") })
	slices.SortFunc(all, byShare(func(h hot) float64 { return h.Whole }))
	return own, all[:min(len(all), mostWhole)]
}
