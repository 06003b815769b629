package maintenance

import (
	"fmt"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Member is who must have said that a box is empty, as far as they are there.
type Member struct {
	ID              swim.ID
	Name            string
	BootID          uint64
	State           swim.State
	StateAgeSeconds float64 // for how long the state has held
}

// Round is what is known of the fleet after all were asked.
type FleetSnapshot struct {
	Members  []Member // all that are there, or were within the last ten minutes, by ID
	Report   Report
	Complete bool // all that live have answered
}

func memberName(round *FleetSnapshot, id swim.ID) string {
	for i := range round.Members {
		if round.Members[i].ID == id {
			return round.Members[i].Name
		}
	}
	return fmt.Sprintf("%016x", uint64(id))
}

// needed tells whether a member must be heard: it may send.
func (p *Plan) mustReport(m *Member, laterS float64) bool {
	switch m.State {
	case swim.Dead:
		return m.StateAgeSeconds+laterS < p.Spec.deadMemberSeconds()
	case swim.Left:
		return m.StateAgeSeconds+laterS < min(p.Spec.deadMemberSeconds(), leftMemberSeconds)
	}
	return true
}

// silent returns the names of members who may send and have not said that they go by a version, or a later one.
func (c *Coordinator) unreportedMembers(p *Plan, round *FleetSnapshot, version uint64) (names []string) {
	for i := range round.Members {
		m := &round.Members[i]
		if p.mustReport(m, c.now-c.snapshotAt) && !slices.ContainsFunc(round.Report.Reporters, func(f Reporter) bool {
			return f.ID == m.ID && f.BootID == m.BootID && f.Version >= version
		}) {
			names = append(names, m.Name)
		}
	}
	return names
}

// unheard returns who keeps boxes from leaving: who may send, and is not there to be asked.
func (c *Coordinator) unreachableMembers(p *Plan) []string {
	round := c.freshSnapshot()
	if round == nil {
		return nil
	}
	names := c.unreportedMembers(p, round, 0)
	for i := range round.Members {
		if m := &round.Members[i]; m.State != swim.Alive && p.mustReport(m, c.now-c.snapshotAt) {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return names[:min(len(names), maxNamedMembers)]
}
