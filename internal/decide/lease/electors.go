package lease

import (
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"

	"hazelwheel/internal/decide/swim"
)

// Times of changes of electors, in seconds.
const (
	gonesS    = 30.0 // an elector is gone, before another takes its place
	learnerS  = 10.0 // one that is to take a place is gone, or does not catch up
	settledS  = 5.0  // a member lives, before it can be an elector
	electorsS = 1.0  // between two looks
	fewest    = 3    // electors
)

// replace has electors that are gone for good replaced, one at a time: the new one learns all first, then it comes in and the
// old one goes by one joint change. Where there is nobody to come in, the group becomes smaller, so that its majority lives.
func (t *Node) replace() {
	g := t.group
	if t.now < t.electorsAt {
		return
	}
	t.electorsAt = t.now + electorsS
	if len(g.conf.GetVotersOutgoing()) > 0 {
		return
	}
	gone, longest := uint64(0), 0.0
	for _, id := range g.conf.GetVoters() {
		if s := t.goneS(swim.ID(id)); s >= gonesS && s > longest {
			gone, longest = id, s
		}
	}
	keepers := 0
	for _, m := range t.members {
		// Danger: a group that shrinks with each restart has no majority once another elector goes.
		if m.Durable && t.goneS(m.ID) < gonesS {
			keepers++
		}
	}
	size := len(g.conf.GetVoters())
	target := max(min(len(t.founding.Voters), (keepers+1)/2*2-1), fewest)
	if learners := g.conf.GetLearners(); len(learners) > 0 {
		t.promote(learners[0], gone, size < target)
		return
	}
	if next := t.successor(); next != 0 && (gone != 0 && size <= target || size < target) {
		t.change(single(raftpb.ConfChangeAddLearnerNode, next))
		return
	}
	switch {
	case size <= target:
	case gone != 0:
		t.change(single(raftpb.ConfChangeRemoveNode, gone))
	default:
		// All live, and there is one more than an odd number: it adds nothing to what the group can lose.
		for _, id := range slices.Backward(g.conf.GetVoters()) {
			if id != uint64(t.self) {
				t.change(single(raftpb.ConfChangeRemoveNode, id))
				return
			}
		}
	}
}

// goneS tells for how long a member is gone; 0: it is there. Of one that nobody knows it is as long as this member leads.
func (t *Node) goneS(id swim.ID) float64 {
	switch m := t.member(id); {
	case id == t.self:
		return 0
	case m == nil:
		return t.now - t.leadsAt
	case m.State.IsDeadOrLeft():
		return t.sinceS(m)
	}
	return 0
}

// successor returns who would be the next elector: of those that keep their state, who has lived longest.
func (t *Node) successor() uint64 {
	var best *Member
	for i := range t.members {
		m := &t.members[i]
		if m.State == swim.Alive && m.Durable && t.sinceS(m) >= settledS && !slices.Contains(t.group.peers(), uint64(m.ID)) &&
			!slices.ContainsFunc(t.passed, func(p passed) bool { return p.job == "" && p.id == m.ID && t.now < p.until }) &&
			(best == nil || m.StateAgeSeconds > best.StateAgeSeconds) {
			best = m
		}
	}
	if best == nil {
		return 0
	}
	return uint64(best.ID)
}

// promote has a learner become an elector once it knows all, in the place of one that is gone.
func (t *Node) promote(learner, gone uint64, grow bool) {
	g := t.group
	caughtUp := false
	g.node.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		caughtUp = caughtUp || id == learner && pr.State == tracker.StateReplicate && pr.RecentActive && pr.Match >= g.applied
	})
	if t.learnedAt == 0 {
		t.learnedAt = t.now
	}
	switch {
	case gone == 0 && !grow, t.goneS(swim.ID(learner)) > learnerS || !caughtUp && t.now-t.learnedAt > learnerS:
		t.passOver("", swim.ID(learner), passS)
		t.change(single(raftpb.ConfChangeRemoveNode, learner))
	case !caughtUp:
	case gone == 0:
		t.change(single(raftpb.ConfChangeAddNode, learner))
	default:
		t.figures.VotersReplaced++
		t.change(append(single(raftpb.ConfChangeAddNode, learner), single(raftpb.ConfChangeRemoveNode, gone)...))
	}
}

func single(what raftpb.ConfChangeType, id uint64) []*raftpb.ConfChangeSingle {
	return []*raftpb.ConfChangeSingle{{Type: what.Enum(), NodeId: &id}}
}

// change has a change of electors agreed. Raft turns one away while another is under way.
func (t *Node) change(changes []*raftpb.ConfChangeSingle) {
	t.learnedAt = 0
	t.try(func() { _ = t.group.node.ProposeConfChange(&raftpb.ConfChangeV2{Changes: changes}) })
}
