package maintenance

import (
	"slices"
	"strings"
)

// Reasons that several checks return. Operators read them.
const (
	reasonNoReports  = "the sidecars have not been heard"
	reasonUncordoned = "in use there by hand"
)

// maxNamedMembers bounds how many sidecars a reason names.
const maxNamedMembers = 10

// whyNotDrained returns why a cordoned server is not known to be empty, and which sidecars are the cause. An empty reason means that
// it is empty. Danger: a sidecar that may still send requests and has not reported counts as using the server, and a report of its
// previous process says nothing about the current one.
func (c *Coordinator) whyNotDrained(p *Plan, server *Server) (members []string, reason string) {
	snapshot := c.freshSnapshot()
	if snapshot == nil || len(snapshot.Members) == 0 {
		return nil, reasonNoReports
	}
	progress := c.serverProgress(p.Number, server.Name)
	if progress == nil || !server.Stage.IsCordoned() || progress.stage != server.Stage {
		return nil, "it is not agreed yet that nothing goes there"
	}
	unreported := c.unreportedMembers(p, snapshot, progress.cordonedVersion)
	users, uncordoned := snapshot.usersOf(server.Name)
	var reasons []string
	if len(unreported) > 0 {
		reasons = append(reasons, "not heard to have stopped sending there")
	}
	if len(users) > 0 && uncordoned {
		reasons = append(reasons, reasonUncordoned)
	} else if len(users) > 0 {
		reasons = append(reasons, "has something out there, or has sent there just now")
	}
	if observed := c.fleet.server(server.Name); observed != nil && observed.Busy && observed.ListedBy > 0 {
		reasons = append(reasons, "its own report says that it works")
	}
	members = append(unreported, users...)
	slices.Sort(members)
	return slices.Compact(members), strings.Join(reasons, "; ")
}

// usersOf returns the names of sidecars that do not consider a server empty, and whether an operator uncordoned it at one of them.
func (s *FleetSnapshot) usersOf(server string) (names []string, uncordoned bool) {
	for i := range s.Report.InUse {
		if use := &s.Report.InUse[i]; use.Server == server {
			names = append(names, s.memberName(use.Member))
			uncordoned = uncordoned || use.Uncordoned
		}
	}
	return names, uncordoned
}

// notHandedOutReason returns why the agent of a server that is InMaintenance is not handed the same server again; empty: it is. Danger:
// the first hand-out may have been committed late: the lease holder lost its quorum with the proposal, the agent got no reply, an
// operator put the server back in service, and then the quorum came back and committed the proposal.
func (c *Coordinator) notHandedOutReason(server *Server) string {
	if c.freshSnapshot() == nil {
		return reasonNoReports
	}
	if len(c.uncordonedBy(server.Name)) > 0 {
		return reasonUncordoned
	}
	return ""
}

// uncordonedBy returns the names of the sidecars at which, by the fresh snapshot, an operator put a cordoned server back in service.
func (c *Coordinator) uncordonedBy(server string) (names []string) {
	snapshot := c.freshSnapshot()
	if snapshot == nil {
		return nil
	}
	for i := range snapshot.Report.InUse {
		if use := &snapshot.Report.InUse[i]; use.Server == server && use.Uncordoned {
			names = append(names, snapshot.memberName(use.Member))
		}
	}
	slices.Sort(names)
	return names
}
