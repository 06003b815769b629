package lease

import (
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Times of leaving, in seconds.
const (
	releaseTimeoutSeconds  = 1.0  // how long released grants may take to be replaced before leadership is transferred all the same
	transferTimeoutSeconds = 2.0  // from the start of leaving until the transfer is given up
	transferRetrySeconds   = 0.3  // how long a voter may take to become leader before another is tried
	releaseCheckSeconds    = 0.02 // time between two checks whether the released grants are replaced
	transferCheckSeconds   = 0.05 // time between two checks whether another voter leads
)

// tickLeaving transfers leadership once the grants that this member released are replaced.
func (n *Node) tickLeaving() {
	if !n.leaving || n.leadershipTransferred {
		return
	}
	g := n.group
	switch {
	case g == nil || !g.isLeader:
		n.leadershipTransferred = true
	case slices.ContainsFunc(n.ended, n.isOurs) && n.now-n.leavingSince < releaseTimeoutSeconds:
		n.dueAt = min(n.dueAt, n.now+releaseCheckSeconds)
	case n.now-n.leavingSince > transferTimeoutSeconds:
		n.leadershipTransferred = true // no voter has taken it; the group elects one by itself
	default:
		if n.now >= n.transferDueAt {
			n.transferDueAt = n.now + transferRetrySeconds
			n.transferLeadership()
		}
		n.dueAt = min(n.dueAt, n.now+transferCheckSeconds)
	}
}

// transferLeadership asks Raft to transfer leadership to a live voter, to the next one with each attempt.
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

// Leave ends all leases and releases their grants. Once leadership is transferred, the member stops taking part as a voter. The
// caller keeps calling the Node until HasLeft returns true.
func (n *Node) Leave(now float64) {
	n.advanceTo(now)
	if !n.leaving && !n.retired {
		n.leaving, n.leavingSince = true, n.now
		n.endAllLeases(ReasonLeaving)
		n.tickLeader()
	}
	n.finishCall()
}

// HasLeft reports whether all released grants are replaced and another member leads, so that the process may end.
func (n *Node) HasLeft() bool {
	return n.retired || n.leaving && len(n.leases) == 0 && n.leadershipTransferred && !slices.ContainsFunc(n.ended, n.isOurs)
}
