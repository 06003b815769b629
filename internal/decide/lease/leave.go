package lease

import (
	"slices"

	"hazelwheel/internal/decide/swim"
)

// tickLeaving hands leadership on, once all that this member owned is another's.
func (n *Node) tickLeaving() {
	if !n.leaving || n.leadershipTransferred {
		return
	}
	g := n.group
	switch {
	case g == nil || !g.isLeader:
		n.leadershipTransferred = true
	case slices.ContainsFunc(n.ended, n.isOurs) && n.now-n.leavingSince < 1:
		n.dueAt = min(n.dueAt, n.now+0.02)
	case n.now-n.leavingSince > 2:
		n.leadershipTransferred = true // nobody takes it
	default:
		if n.now >= n.transferDueAt {
			n.transferDueAt = n.now + transferRetrySeconds
			n.transferLeadership()
		}
		n.dueAt = min(n.dueAt, n.now+0.05)
	}
}

// transferLeadership transfers leadership to an elector that is there, each time to another.
func (n *Node) transferLeadership() {
	var live []uint64
	for _, id := range n.group.confState.GetVoters() {
		if m := n.memberByID(swim.ID(id)); swim.ID(id) != n.self && m != nil && m.State == swim.Alive {
			live = append(live, id)
		}
	}
	if len(live) > 0 {
		n.transferAttempts++
		n.runRaft(func() { n.group.rawNode.TransferLeader(live[n.transferAttempts%len(live)]) })
	}
}

// Leave gives everything back, and says nothing more as an elector once another leads.
func (n *Node) Leave(now float64) {
	n.advanceTo(now)
	if !n.leaving && !n.retired {
		n.leaving, n.leavingSince = true, n.now
		n.endAllLeases("this member leaves")
		n.tickLeader()
	}
	n.finishCall()
}

// HasLeft tells whether all that was given back is known to be, and another leads.
func (n *Node) HasLeft() bool {
	return n.retired || n.leaving && len(n.leases) == 0 && n.leadershipTransferred && !slices.ContainsFunc(n.ended, n.isOurs)
}
