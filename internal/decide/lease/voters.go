package lease

import (
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"

	"hazelwheel/internal/decide/swim"
)

// Times of changes of voters, in seconds.
const (
	voterGoneSeconds          = 30.0 // how long a voter must be gone before it is replaced
	learnerTimeoutSeconds     = 10.0 // how long a learner may be gone or not have caught up before it is removed
	minAliveSeconds           = 5.0  // how long a member must be alive before it can become a voter
	voterCheckIntervalSeconds = 1.0  // time between two checks of the voters
	minVoters                 = 3
)

// reconfigureVoters replaces voters that are gone for good, one at a time: the new one is added as a learner, and replaces the old
// one by one joint change once it has caught up. Without a candidate the group shrinks to what the live members can sustain, so
// that they keep a quorum.
func (n *Node) reconfigureVoters() {
	g := n.group
	if n.now < n.votersDueAt {
		return
	}
	n.votersDueAt = n.now + voterCheckIntervalSeconds
	if len(g.confState.GetVotersOutgoing()) > 0 {
		return
	}
	gone, longest := uint64(0), 0.0
	for _, id := range g.confState.GetVoters() {
		if s := n.goneSeconds(swim.ID(id)); s >= voterGoneSeconds && s > longest {
			gone, longest = id, s
		}
	}
	durable := 0
	for _, m := range n.members {
		// Members that are gone only briefly count, too: a group that shrank at each restart of a member would lose its quorum with the
		// next voter that fails.
		if m.Durable && n.goneSeconds(m.ID) < voterGoneSeconds {
			durable++
		}
	}
	size := len(g.confState.GetVoters())
	target := max(min(len(n.founding.Voters), (durable+1)/2*2-1), minVoters)
	if learners := g.confState.GetLearners(); len(learners) > 0 {
		n.promoteLearner(learners[0], gone, size < target)
		return
	}
	if next := n.nextVoter(); next != 0 && (gone != 0 && size <= target || size < target) {
		n.proposeConfChange(singleChange(raftpb.ConfChangeAddLearnerNode, next))
		return
	}
	switch {
	case size <= target:
	case gone != 0:
		n.proposeConfChange(singleChange(raftpb.ConfChangeRemoveNode, gone))
	default:
		// All are alive and their number is even: one more than an odd number tolerates no further failure.
		for _, id := range slices.Backward(g.confState.GetVoters()) {
			if id != uint64(n.self) {
				n.proposeConfChange(singleChange(raftpb.ConfChangeRemoveNode, id))
				return
			}
		}
	}
}

// goneSeconds returns for how long a member has been dead or has left, 0 if it is alive. An unknown member counts as gone since this
// member became leader.
func (n *Node) goneSeconds(id swim.ID) float64 {
	switch m := n.memberByID(id); {
	case id == n.self:
		return 0
	case m == nil:
		return n.now - n.leadingSince
	case m.State.IsDeadOrLeft():
		return n.stateAgeSeconds(m)
	}
	return 0
}

// nextVoter returns the candidate to become a voter: the durable member that has been alive for longest, 0 if there is none.
func (n *Node) nextVoter() uint64 {
	var best *Member
	for i := range n.members {
		m := &n.members[i]
		if m.State == swim.Alive && m.Durable && n.stateAgeSeconds(m) >= minAliveSeconds && !slices.Contains(n.group.memberIDs(), uint64(m.ID)) &&
			!slices.ContainsFunc(n.exclusions, func(e exclusion) bool { return e.role == "" && e.id == m.ID && n.now < e.until }) &&
			(best == nil || m.StateAgeSeconds > best.StateAgeSeconds) {
			best = m
		}
	}
	if best == nil {
		return 0
	}
	return uint64(best.ID)
}

// promoteLearner makes a learner a voter once it has caught up, in place of a voter that is gone if there is one. It removes a
// learner that is no longer needed or does not catch up.
func (n *Node) promoteLearner(learner, gone uint64, grow bool) {
	g := n.group
	caughtUp := false
	g.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		caughtUp = caughtUp || id == learner && pr.State == tracker.StateReplicate && pr.RecentActive && pr.Match >= g.appliedIndex
	})
	if n.learnerSince == 0 {
		n.learnerSince = n.now
	}
	isNeeded := gone != 0 || grow
	hasFailed := n.goneSeconds(swim.ID(learner)) > learnerTimeoutSeconds || !caughtUp && n.now-n.learnerSince > learnerTimeoutSeconds
	switch {
	case !isNeeded || hasFailed:
		n.exclude("", swim.ID(learner), declineExclusionSeconds)
		n.proposeConfChange(singleChange(raftpb.ConfChangeRemoveNode, learner))
	case !caughtUp:
	case gone == 0:
		n.proposeConfChange(singleChange(raftpb.ConfChangeAddNode, learner))
	default:
		n.stats.VotersReplaced++
		n.proposeConfChange(append(singleChange(raftpb.ConfChangeAddNode, learner), singleChange(raftpb.ConfChangeRemoveNode, gone)...))
	}
}

// singleChange returns a configuration change of one member.
func singleChange(kind raftpb.ConfChangeType, id uint64) []*raftpb.ConfChangeSingle {
	return []*raftpb.ConfChangeSingle{{Type: kind.Enum(), NodeId: &id}}
}

// proposeConfChange proposes a change of the group's members. Raft ignores it while another change is in progress.
func (n *Node) proposeConfChange(changes []*raftpb.ConfChangeSingle) {
	n.learnerSince = 0
	n.runRaft(func() { _ = n.group.rawNode.ProposeConfChange(&raftpb.ConfChangeV2{Changes: changes}) })
}
