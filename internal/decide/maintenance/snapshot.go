package maintenance

import (
	"fmt"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Member is a sidecar in the membership, as the lease holder knows it.
type Member struct {
	ID              swim.ID
	Name            string
	BootID          uint64 // of its process, as in swim.Version
	State           swim.State
	StateAgeSeconds float64
}

// FleetSnapshot is the result of one query of the whole fleet by the lease holder.
type FleetSnapshot struct {
	Members  []Member // all that are alive, or were within the last ten minutes, by ID
	Report   Report
	Complete bool // all members that are alive have reported
}

// memberName returns the name of a member, or its ID in hexadecimal if the snapshot lacks it.
func (s *FleetSnapshot) memberName(id swim.ID) string {
	for i := range s.Members {
		if s.Members[i].ID == id {
			return s.Members[i].Name
		}
	}
	return fmt.Sprintf("%016x", uint64(id))
}

// mustReport reports whether a member may still send requests, so that its report is required: it is not known to have been dead, or
// to have left, for long enough. The snapshot is snapshotAgeSeconds old.
func (p *Plan) mustReport(m *Member, snapshotAgeSeconds float64) bool {
	switch m.State {
	case swim.Dead:
		return m.StateAgeSeconds+snapshotAgeSeconds < p.Spec.deadMemberSeconds()
	case swim.Left:
		return m.StateAgeSeconds+snapshotAgeSeconds < min(p.Spec.deadMemberSeconds(), leftMemberSeconds)
	}
	return true
}

// unreportedMembers returns the names of members that must report, and have not reported that they apply a State of at least this
// version. A report of an earlier process of the member doesn't count.
func (c *Coordinator) unreportedMembers(p *Plan, snapshot *FleetSnapshot, version uint64) (names []string) {
	for i := range snapshot.Members {
		m := &snapshot.Members[i]
		if p.mustReport(m, c.now-c.snapshotAt) && !slices.ContainsFunc(snapshot.Report.Reporters, func(r Reporter) bool {
			return r.ID == m.ID && r.BootID == m.BootID && r.Version >= version
		}) {
			names = append(names, m.Name)
		}
	}
	return names
}

// unreachableMembers returns the names of the members that must report and have not, or are not alive: at most maxNamedMembers,
// sorted. While there are any, no server starts to drain.
func (c *Coordinator) unreachableMembers(p *Plan) []string {
	snapshot := c.freshSnapshot()
	if snapshot == nil {
		return nil
	}
	names := c.unreportedMembers(p, snapshot, 0)
	for i := range snapshot.Members {
		if m := &snapshot.Members[i]; m.State != swim.Alive && p.mustReport(m, c.now-c.snapshotAt) {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return names[:min(len(names), maxNamedMembers)]
}
