package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// Spec is a plan as an operator submits it: which servers, and how much disruption is allowed. Fractions are from 0 to 1. Errors name
// fields by their JSON keys.
type Spec struct {
	Name string `msgpack:"n" json:"name"`

	// The servers: those named in Servers, and all that match both Sites and Types; an empty Sites or Types matches every server if the
	// other one is set. At least one of the three must be set.
	Servers []string `msgpack:"b,omitempty" json:"boxes,omitempty"`
	Sites   []string `msgpack:"s,omitempty" json:"sites,omitempty"`
	Types   []string `msgpack:"y,omitempty" json:"types,omitempty"`

	// The work on one server.
	WorkSeconds    float64 `msgpack:"t" json:"takes_s"`
	OverdueSeconds float64 `msgpack:"l,omitempty" json:"late_s,omitempty"`  // how long the work may take before the server is overdue; 0: twice WorkSeconds
	AbandonOverdue bool    `msgpack:"g,omitempty" json:"give_up,omitempty"` // an overdue server becomes Lost and the plan continues; otherwise the plan waits for it

	// The disruption budget.
	MaxConcurrent   int     `msgpack:"a" json:"at_once"`                           // how many servers may be out of service or warming up
	MaxPerSite      int     `msgpack:"i,omitempty" json:"by_site,omitempty"`       // how many servers of one site may be; 0: 1
	MinCapacity     float64 `msgpack:"k" json:"keep"`                              // fraction of the capacity that must stay in service; below 1
	RejectionBudget float64 `msgpack:"r,omitempty" json:"refusing,omitempty"`      // fraction of requests that may be rejected beyond the baseline; 0: 0.02
	MaxRejection    float64 `msgpack:"m,omitempty" json:"refusing_most,omitempty"` // fraction of requests that may be rejected, including the baseline; 0: 0.25 or RejectionBudget, whichever is higher

	// Times.
	QuietSeconds      float64 `msgpack:"e,omitempty" json:"settle_s,omitempty"`   // how long a server must have got no new request before it counts as empty; 0: 1
	WarmUpSeconds     float64 `msgpack:"c,omitempty" json:"cold_s,omitempty"`     // duration of a server's slow start; 0: Settings.WarmUpSeconds, at least 5
	DeadMemberSeconds float64 `msgpack:"o,omitempty" json:"gone_s,omitempty"`     // after this time a dead sidecar need not report any more; 0: 300
	StartAfterSeconds float64 `msgpack:"f,omitempty" json:"start_in_s,omitempty"` // time from the submission before which nothing drains
	EndAfterSeconds   float64 `msgpack:"u,omitempty" json:"end_in_s,omitempty"`   // time from the submission after which nothing drains; 0: no end
}

// Bounds of a submitted plan.
const (
	maxNameLen         = 64         // bytes of the name of a plan, a server or an agent
	maxTextLen         = 80         // bytes of a reason
	maxWorkSeconds     = 7 * 86400  // of WorkSeconds, OverdueSeconds and DeadMemberSeconds
	maxScheduleSeconds = 31 * 86400 // of StartAfterSeconds and EndAfterSeconds
)

// Validate checks what can be checked without knowing the fleet. Its error is one line that begins with the JSON key of the field.
func (s *Spec) Validate() error {
	if err := s.validateBudget(); err != nil {
		return err
	}
	if err := s.validateTimes(); err != nil {
		return err
	}
	return s.validateNames()
}

func (s *Spec) validateBudget() error {
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
	return nil
}

func (s *Spec) validateTimes() error {
	for _, t := range []struct {
		key      string
		seconds  float64
		min, max float64
		optional bool // 0 is allowed as well
	}{
		{"takes_s", s.WorkSeconds, 0.001, maxWorkSeconds, false},
		{"late_s", s.OverdueSeconds, s.WorkSeconds, maxWorkSeconds, true},
		{"settle_s", s.QuietSeconds, 0.1, 600, true},
		{"cold_s", s.WarmUpSeconds, 0.1, 3600, true},
		{"gone_s", s.DeadMemberSeconds, 1, maxWorkSeconds, true},
		{"start_in_s", s.StartAfterSeconds, 0, maxScheduleSeconds, true},
		{"end_in_s", s.EndAfterSeconds, s.StartAfterSeconds + 0.001, maxScheduleSeconds, true},
	} {
		if !(t.seconds >= t.min && t.seconds <= t.max) && !(t.optional && t.seconds == 0) {
			return fmt.Errorf("%s: %g, it must be from %g to %g", t.key, t.seconds, t.min, t.max)
		}
	}
	return nil
}

func (s *Spec) validateNames() error {
	for key, names := range s.nameFields {
		for i, name := range names {
			switch {
			case name == "" || len(name) > maxNameLen:
				return fmt.Errorf("%s: %.80q, a name must have 1 to %d bytes", key, name, maxNameLen)
			case slices.Contains(names[:i], name):
				return fmt.Errorf("%s: %q is named twice", key, name)
			}
		}
	}
	return nil
}

// nameFields calls yield for each field that holds names, with its JSON key.
func (s *Spec) nameFields(yield func(key string, names []string) bool) {
	_ = yield("boxes", s.Servers) && yield("sites", s.Sites) && yield("types", s.Types) // the result of the last call is not needed
}

// resolveServers returns the servers of the plan: first those named in Spec.Servers, in that order, then the others by name. It
// returns an error if a name, a site or a type is on no sidecar's endpoint list.
func (s *Spec) resolveServers(statuses []ServerStatus) ([]Server, error) {
	for key, names := range s.nameFields {
		for _, name := range names {
			if !slices.ContainsFunc(statuses, func(status ServerStatus) bool { return status.ListedBy > 0 && status.matches(key, name) }) {
				return nil, fmt.Errorf("%s: no sidecar has %q on its list", key, name)
			}
		}
	}
	var servers []Server
	for _, status := range statuses {
		if status.ListedBy > 0 && s.selects(&status) || slices.Contains(s.Servers, status.Server) {
			servers = append(servers, Server{Name: status.Server, Site: status.Site})
		}
	}
	if len(servers) == 0 {
		return nil, errors.New("sites: no box is of these sites and of these types")
	}
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	// AsListed drains servers in the order in which the operator named them, so that order is kept.
	if len(s.Servers) > 0 {
		slices.SortStableFunc(servers, func(a, b Server) int { return cmp.Compare(s.listPosition(a.Name), s.listPosition(b.Name)) })
	}
	return servers, nil
}

// matches reports whether a name that Spec gives under a JSON key is the name of this server, of its site or of its type.
func (s *ServerStatus) matches(key, name string) bool {
	return key == "boxes" && s.Server == name || key == "sites" && s.Site == name || key == "types" && s.Type == name
}

// selects reports whether a server matches the plan's sites and types.
func (s *Spec) selects(status *ServerStatus) bool {
	return len(s.Sites)+len(s.Types) > 0 && (len(s.Sites) == 0 || slices.Contains(s.Sites, status.Site)) &&
		(len(s.Types) == 0 || slices.Contains(s.Types, status.Type))
}

// listPosition returns the position of a server in Spec.Servers; those that are not named there come last.
func (s *Spec) listPosition(server string) int {
	if i := slices.Index(s.Servers, server); i >= 0 {
		return i
	}
	return math.MaxInt
}

// QuietPeriodSeconds returns QuietSeconds with the default applied.
func (s *Spec) QuietPeriodSeconds() float64 { return cmp.Or(s.QuietSeconds, 1) }

// The other optional fields, with their defaults applied.
func (s *Spec) overdueSeconds() float64    { return cmp.Or(s.OverdueSeconds, 2*s.WorkSeconds) }
func (s *Spec) maxPerSite() int            { return cmp.Or(s.MaxPerSite, 1) }
func (s *Spec) rejectionBudget() float64   { return cmp.Or(s.RejectionBudget, 0.02) }
func (s *Spec) maxRejection() float64      { return cmp.Or(s.MaxRejection, max(0.25, s.rejectionBudget())) }
func (s *Spec) deadMemberSeconds() float64 { return cmp.Or(s.DeadMemberSeconds, 300) }

func (s *Spec) warmUpSeconds(defaultSeconds float64) float64 {
	return cmp.Or(s.WarmUpSeconds, max(defaultSeconds, 5))
}
