package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// Spec is a plan as an operator gives it. Times are in seconds.
type Spec struct {
	Name              string   `msgpack:"n" json:"name"`
	Servers           []string `msgpack:"b,omitempty" json:"boxes,omitempty"` // by name
	Sites             []string `msgpack:"s,omitempty" json:"sites,omitempty"` // all boxes of these sites, if Types are given of these types alone
	Types             []string `msgpack:"y,omitempty" json:"types,omitempty"`
	WorkSeconds       float64  `msgpack:"t" json:"takes_s"`                           // the work on one box
	OverdueSeconds    float64  `msgpack:"l,omitempty" json:"late_s,omitempty"`        // after which it is late; 0: twice TakesS
	AbandonOverdue    bool     `msgpack:"g,omitempty" json:"give_up,omitempty"`       // a box that is late is Lost, and the plan goes on; else all wait for it
	MaxConcurrent     int      `msgpack:"a" json:"at_once"`                           // boxes that are out or cold, in all
	MaxPerSite        int      `msgpack:"i,omitempty" json:"by_site,omitempty"`       // of one site; 0: 1
	MinCapacity       float64  `msgpack:"k" json:"keep"`                              // part of the capacity that must stay, from 0 to below 1
	RejectionBudget   float64  `msgpack:"r,omitempty" json:"refusing,omitempty"`      // part of the requests that may be refused beyond what the fleet refuses by itself; 0: 0.02
	MaxRejection      float64  `msgpack:"m,omitempty" json:"refusing_most,omitempty"` // part that may be refused at all, by itself or not; 0: 0.25, or Refusing if that is more
	QuietSeconds      float64  `msgpack:"e,omitempty" json:"settle_s,omitempty"`      // without a new request before a box is empty; 0: 1
	WarmUpSeconds     float64  `msgpack:"c,omitempty" json:"cold_s,omitempty"`        // a box takes to warm up; 0: what the settings say, 5 at least
	DeadMemberSeconds float64  `msgpack:"o,omitempty" json:"gone_s,omitempty"`        // after which a sidecar that is dead counts as gone; 0: 300
	StartAfterSeconds float64  `msgpack:"f,omitempty" json:"start_in_s,omitempty"`    // from when it is given; nothing leaves before
	EndAfterSeconds   float64  `msgpack:"u,omitempty" json:"end_in_s,omitempty"`      // nothing leaves after; 0: at any time
}

// Bounds of a plan as it is given.
const (
	maxNameLen         = 64         // of a plan, a box, a mechanic
	maxTextLen         = 80         // of a cause
	maxWorkSeconds     = 7 * 86400  // a time of a plan
	maxScheduleSeconds = 31 * 86400 // until a plan begins or ends
)

// Check tells what is wrong with a plan by itself, in one line that names the field; nil: nothing is.
func (s *Spec) Validate() error {
	times := []struct {
		name   string
		s      float64
		least  float64
		most   float64
		unless bool // 0 is good as well
	}{
		{"takes_s", s.WorkSeconds, 0.001, maxWorkSeconds, false},
		{"late_s", s.OverdueSeconds, s.WorkSeconds, maxWorkSeconds, true},
		{"settle_s", s.QuietSeconds, 0.1, 600, true},
		{"cold_s", s.WarmUpSeconds, 0.1, 3600, true},
		{"gone_s", s.DeadMemberSeconds, 1, maxWorkSeconds, true},
		{"start_in_s", s.StartAfterSeconds, 0, maxScheduleSeconds, true},
		{"end_in_s", s.EndAfterSeconds, s.StartAfterSeconds + 0.001, maxScheduleSeconds, true},
	}
	switch {
	case s.Name == "" || len(s.Name) > maxNameLen:
		return fmt.Errorf("name: it must have 1 to %d bytes", maxNameLen)
	case len(s.Servers)+len(s.Sites)+len(s.Types) == 0:
		return errors.New("boxes: neither boxes nor sites nor types are named")
	case len(s.Servers) > MaxServers || len(s.Sites) > MaxServers || len(s.Types) > MaxServers:
		return fmt.Errorf("boxes: at most %d are named", MaxServers)
	case s.MaxConcurrent < 1 || s.MaxConcurrent > MaxServers:
		return fmt.Errorf("at_once: %d, it must be from 1 to %d", s.MaxConcurrent, MaxServers)
	case s.MaxPerSite < 0 || s.MaxPerSite > MaxServers:
		return fmt.Errorf("by_site: %d, it must be from 1 to %d", s.MaxPerSite, MaxServers)
	case !(s.MinCapacity >= 0 && s.MinCapacity < 1):
		return fmt.Errorf("keep: %g, it must be from 0 to below 1", s.MinCapacity)
	case !(s.RejectionBudget >= 0 && s.RejectionBudget <= 1):
		return fmt.Errorf("refusing: %g, it must be from 0 to 1", s.RejectionBudget)
	case s.MaxRejection != 0 && !(s.MaxRejection >= s.rejectionBudget() && s.MaxRejection <= 1):
		return fmt.Errorf("refusing_most: %g, it must be from %g, which is refusing, to 1", s.MaxRejection, s.rejectionBudget())
	}
	for _, t := range times {
		if !(t.s >= t.least && t.s <= t.most) && !(t.unless && t.s == 0) {
			return fmt.Errorf("%s: %g, it must be from %g to %g", t.name, t.s, t.least, t.most)
		}
	}
	for field, names := range s.nameFields {
		for i, n := range names {
			switch {
			case n == "" || len(n) > maxNameLen:
				return fmt.Errorf("%s: %.80q, a name must have 1 to %d bytes", field, n, maxNameLen)
			case slices.Contains(names[:i], n):
				return fmt.Errorf("%s: %q is named twice", field, n)
			}
		}
	}
	return nil
}

// named calls yield for each field that holds names.
func (s *Spec) nameFields(yield func(field string, names []string) bool) {
	_ = yield("boxes", s.Servers) && yield("sites", s.Sites) && yield("types", s.Types)
}

// boxes returns those that a plan means of all that are seen, by name, or what it names that nobody has on a list.
func (s *Spec) resolveServers(seen []ServerStatus) ([]Server, error) {
	for field, names := range s.nameFields {
		for _, n := range names {
			if !slices.ContainsFunc(seen, func(b ServerStatus) bool {
				return b.ListedBy > 0 && (field == "boxes" && b.Server == n || field == "sites" && b.Site == n || field == "types" && b.Type == n)
			}) {
				return nil, fmt.Errorf("%s: no sidecar has %q on its list", field, n)
			}
		}
	}
	var boxes []Server
	for _, b := range seen {
		of := len(s.Sites)+len(s.Types) > 0 && (len(s.Sites) == 0 || slices.Contains(s.Sites, b.Site)) &&
			(len(s.Types) == 0 || slices.Contains(s.Types, b.Type))
		if b.ListedBy > 0 && of || slices.Contains(s.Servers, b.Server) {
			boxes = append(boxes, Server{Name: b.Server, Site: b.Site})
		}
	}
	if len(boxes) == 0 {
		return nil, errors.New("sites: no box is of these sites and of these types")
	}
	slices.SortFunc(boxes, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	// Danger: the order in which they are named is the fixed one, for who wants it; a plan by names keeps it.
	if len(s.Servers) > 0 {
		slices.SortStableFunc(boxes, func(a, b Server) int { return cmp.Compare(s.listPosition(a.Name), s.listPosition(b.Name)) })
	}
	return boxes, nil
}

// rank is the place of a box among those that are named; who is not is behind them.
func (s *Spec) listPosition(box string) int {
	if i := slices.Index(s.Servers, box); i >= 0 {
		return i
	}
	return math.MaxInt
}

// What is not told of a plan is so.
func (s *Spec) overdueSeconds() float64 { return cmp.Or(s.OverdueSeconds, 2*s.WorkSeconds) }

func (s *Spec) maxPerSite() int { return cmp.Or(s.MaxPerSite, 1) }

func (s *Spec) rejectionBudget() float64 { return cmp.Or(s.RejectionBudget, 0.02) }

func (s *Spec) maxRejection() float64 { return cmp.Or(s.MaxRejection, max(0.25, s.rejectionBudget())) }

func (s *Spec) deadMemberSeconds() float64 { return cmp.Or(s.DeadMemberSeconds, 300) }

// Settle returns for how long nothing new may have been sent to a box before it is empty.
func (s *Spec) QuietPeriodSeconds() float64 { return cmp.Or(s.QuietSeconds, 1) }

func (s *Spec) warmUpSeconds(usualS float64) float64 { return cmp.Or(s.WarmUpSeconds, max(usualS, 5)) }
