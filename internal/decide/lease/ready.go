package lease

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"hazelwheel/internal/decide/swim"
)

// advanceRaft does what Raft asks for until it must wait for a write to disk, and starts that write.
func (n *Node) advanceRaft() {
	for n.group != nil && !n.persisting && !n.retired {
		g := n.group
		if g.ready == nil && g.rawNode.HasReady() {
			var rd raft.Ready
			n.runRaft(func() { rd = g.rawNode.Ready(); n.storeReady(&rd) })
			if n.group != g {
				return
			}
			g.ready = &rd
			if rd.MustSync || !raft.IsEmptySnap(rd.Snapshot) {
				n.dirty = true
			}
		}
		if n.dirty || g.ready == nil {
			break
		}
		n.completeReady()
	}
	n.persist()
}

// storeReady adds what Raft wants stored to the storage in memory, which persist then writes.
func (n *Node) storeReady(rd *raft.Ready) {
	g := n.group
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := g.storage.ApplySnapshot(rd.Snapshot); err != nil {
			panic(err)
		}
	}
	if err := g.storage.Append(rd.Entries); err != nil {
		panic(err)
	}
	if h := rd.HardState; !raft.IsEmptyHardState(h) {
		if h.GetVote() != g.vote && h.GetVote() != 0 {
			n.resetElectionTimer()
		}
		if h.GetTerm() != g.term && g.isLeader { // this member no longer leads; its leader state is reset before the new term begins
			g.isLeader, g.leaderID = false, 0
			n.leadershipChanged(false)
		}
		g.storage.hardState, g.term, g.vote = h, h.GetTerm(), h.GetVote()
		if err := g.storage.SetHardState(h); err != nil {
			panic(err)
		}
	}
}

// completeReady sends the messages of a Ready whose state is on disk, and applies its committed entries.
func (n *Node) completeReady() {
	g := n.group
	rd := g.ready
	g.ready = nil
	for _, m := range rd.Messages {
		n.sendRaft(swim.ID(m.GetTo()), mustMarshal(m))
	}
	n.runRaft(func() {
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := g.installSnapshot(rd.Snapshot); err != nil {
				panic(err)
			}
		}
		for _, e := range rd.CommittedEntries {
			n.applyEntry(e)
		}
		g.rawNode.Advance(*rd)
		for _, m := range rd.Messages {
			if m.GetType() == raftpb.MsgSnap {
				g.rawNode.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // Raft would otherwise wait for this report, and reject the next entry
			}
		}
		g.storage.compact()
	})
	if n.group != g {
		return
	}
	n.updateLeader(rd)
	for _, r := range rd.ReadStates {
		n.quorumReadDone(binary.BigEndian.Uint64(r.RequestCtx))
	}
	if len(rd.CommittedEntries) > 0 || !raft.IsEmptySnap(rd.Snapshot) || rd.SoftState != nil {
		n.publishTable()
	}
}

// applyEntry applies a committed entry to the group's configuration or state machine. It panics on an entry that can't be decoded;
// runRaft handles that.
func (n *Node) applyEntry(e *raftpb.Entry) {
	g := n.group
	g.appliedIndex, g.appliedTerm = e.GetIndex(), e.GetTerm()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		var cc raftpb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
			panic(err)
		}
		g.confState = g.rawNode.ApplyConfChange(&cc)
		// Raft does not ask for a write when only the commit index has changed. If the voters restarted without this commit index and the
		// leader did not come back, they would need votes of members that were removed. What was committed before the start is not
		// written again: a write before the first message would raise the serial, and an old copy of the state would look like a later one.
		n.dirty = n.dirty || e.GetIndex() > g.commitAtStart
	case raftpb.EntryNormal:
		var commands []command
		if len(e.GetData()) == 0 {
			return
		}
		if err := decode(e.GetData(), &commands); err != nil {
			panic(err)
		}
		for _, c := range commands {
			if g.machine.apply(c) {
				n.stats.Grants++
			}
			n.commandApplied(c)
		}
	}
}

// updateLeader records which member leads.
func (n *Node) updateLeader(rd *raft.Ready) {
	g := n.group
	if rd.SoftState != nil {
		g.leaderID = swim.ID(rd.SoftState.Lead)
		if leads := rd.SoftState.RaftState == raft.StateLeader; leads != g.isLeader {
			g.isLeader = leads
			n.leadershipChanged(leads)
		}
	}
}

// propose proposes commands for the log and reports whether Raft took them. commandApplied is called once they are committed.
func (n *Node) propose(commands ...command) (ok bool) {
	g := n.group
	n.runRaft(func() { ok = g.rawNode.Propose(encode(commands)) == nil })
	return ok && n.group == g
}
