package lease

import (
	"encoding/binary"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"hazelwheel/internal/decide/swim"
)

// Raft's times, in seconds and in its ticks.
const (
	raftTickSeconds        = 0.15 // a heartbeat each
	electionTicks          = 6    // without a word of the leader, before a member votes for another
	electionTimeoutSeconds = raftTickSeconds * electionTicks
	stallSeconds           = 0.6 // between two calls: this process stood still
)

// group is this member's part of the electors' group.
type group struct {
	rawNode       *raft.RawNode
	storage       *raftStorage
	machine       stateMachine
	appliedIndex  uint64
	appliedTerm   uint64 // of the last entry applied
	confState     *raftpb.ConfState
	ready         *raft.Ready // that waits for its state to be kept
	leaderID      swim.ID
	isLeader      bool
	commitAtStart uint64 // up to which the disk said at the start that all is agreed
	term          uint64 // the term
	vote          uint64
	tickDueAt     float64
	electionDueAt float64 // when this member stands for election, if it hears no leader
}

// raftLogger is raft's log: nothing is passed on, but what it panics with.
type raftLogger struct{}

func (raftLogger) Debug(...any)            {}
func (raftLogger) Debugf(string, ...any)   {}
func (raftLogger) Error(...any)            {}
func (raftLogger) Errorf(string, ...any)   {}
func (raftLogger) Info(...any)             {}
func (raftLogger) Infof(string, ...any)    {}
func (raftLogger) Warning(...any)          {}
func (raftLogger) Warningf(string, ...any) {}

func (raftLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (raftLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (raftLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (raftLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// startGroup begins to take part. Without anything kept, who founded the group begins with what all founders know, and who is
// added later with nothing: it votes only once it has been sent who it votes with.
func (t *Node) startGroup(hard, snapshot []byte, entries [][]byte) error {
	g := &group{storage: &raftStorage{MemoryStorage: raft.NewMemoryStorage()}, machine: stateMachine{Epoch: t.founding.Epoch}, confState: &raftpb.ConfState{}, tickDueAt: t.now}
	g.storage.latest = func() (uint64, *raftpb.ConfState, []byte) {
		return g.appliedIndex, g.confState, g.machine.snapshotData()
	}
	if snapshot == nil && slices.Contains(t.founding.Voters, t.self) {
		conf := &raftpb.ConfState{}
		for _, id := range t.founding.Voters {
			conf.Voters = append(conf.Voters, uint64(id))
		}
		slices.Sort(conf.Voters)
		first := uint64(1)
		snapshot = mustMarshal(&raftpb.Snapshot{Data: g.machine.snapshotData(), Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: &first, Term: &first}})
		hard = mustMarshal(&raftpb.HardState{Term: &first, Commit: &first, Vote: new(uint64)})
	}
	if err := g.storage.restore(hard, snapshot, entries); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidState, err)
	}
	if snap, _ := g.storage.MemoryStorage.Snapshot(); snap.GetMetadata().GetIndex() > 0 {
		if err := g.installSnapshot(snap); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidState, err)
		}
	}
	if h := g.storage.hardState; h != nil {
		g.term, g.vote, g.commitAtStart = h.GetTerm(), h.GetVote(), h.GetCommit()
	}
	return t.guardRaft(func() {
		var err error
		g.rawNode, err = raft.NewRawNode(&raft.Config{ID: uint64(t.self), ElectionTick: electionTicks, HeartbeatTick: 1, Storage: g.storage,
			Applied: g.appliedIndex, MaxSizePerMsg: 16 << 10, MaxInflightMsgs: 16, CheckQuorum: true, PreVote: true, StepDownOnRemoval: true,
			DisableProposalForwarding: true, Logger: raftLogger{}})
		if err != nil {
			panic(err)
		}
		t.group = g
		t.resetElectionTimer()
	})
}

// guardRaft has raft do something. Danger: it panics with what it can't make sense of, and a message may come from anywhere.
func (t *Node) guardRaft(do func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v", ErrInvalidState, cause)
		}
	}()
	do()
	return nil
}

// runRaft is guard for what runs: a group that fails is left, and with it the identity.
func (t *Node) runRaft(do func()) {
	if err := t.guardRaft(do); err != nil {
		t.replaceIdentity(err.Error())
	}
}

func (g *group) installSnapshot(snap *raftpb.Snapshot) error {
	var m stateMachine
	if err := decode(snap.GetData(), &m); err != nil {
		return err
	}
	g.machine, g.appliedIndex, g.appliedTerm, g.confState = m, snap.GetMetadata().GetIndex(), snap.GetMetadata().GetTerm(), snap.GetMetadata().GetConfState()
	return nil
}

// resetElectionTimer sets when this member stands. Raft's own draw can't be replayed, so its elections never come due by its ticks.
func (t *Node) resetElectionTimer() {
	t.group.electionDueAt = t.now + electionTimeoutSeconds*(1+t.rng.Float64())
}

// tickRaft moves raft's clock.
func (t *Node) tickRaft() {
	g := t.group
	if t.now-g.tickDueAt > stallSeconds {
		// It stood still. What the others said meanwhile is read before it stands for election.
		g.tickDueAt = t.now - stallSeconds
		if !g.isLeader {
			t.resetElectionTimer()
		}
	}
	for ; g.tickDueAt <= t.now; g.tickDueAt += raftTickSeconds {
		// Danger: who lost its quorum while its disk wrote still has to take note that it leads no more. Raft has it wait for an election
		// by then, for as long as the machine's random source said.
		if g.rawNode.BasicStatus().RaftState == raft.StateLeader {
			t.runRaft(g.rawNode.Tick)
		} else {
			g.rawNode.TickQuiesced() // the wait before a vote for another; no more
		}
		t.advanceRaft()
		if t.group != g {
			return
		}
	}
	if !g.isLeader && t.now >= g.electionDueAt {
		t.resetElectionTimer()
		if t.canVote() && t.isVoter() {
			t.runRaft(func() { _ = g.rawNode.Campaign() })
		}
	}
}

// isVoter tells whether this member is an elector, as far as it knows.
func (t *Node) isVoter() bool {
	g := t.group
	if g == nil || !slices.Contains(slices.Concat(g.confState.GetVoters(), g.confState.GetVotersOutgoing()), uint64(t.self)) {
		return false
	}
	return t.table.Epoch != t.founding.Epoch || t.table.Index <= g.appliedIndex || slices.Contains(t.table.Voters, t.self)
}

// canVote tells whether this member takes part: who leaves, or can't keep what it says, does not.
func (t *Node) canVote() bool { return !t.persistFailed && !(t.leaving && t.leadershipTransferred) }

// stepRaft takes a message of the group.
func (t *Node) stepRaft(from swim.ID, body []byte) {
	g := t.group
	var m raftpb.Message
	if err := proto.Unmarshal(body, &m); err != nil || m.GetFrom() != uint64(from) || m.GetTo() != uint64(t.self) || !t.canVote() {
		return
	}
	t.runRaft(func() { _ = g.rawNode.Step(&m) })
	if t.group != g {
		return
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if status := g.rawNode.BasicStatus(); status.Lead == m.GetFrom() && status.GetTerm() == m.GetTerm() {
			t.resetElectionTimer()
		}
	}
}

// advanceRaft does all that raft wants done, up to where it must wait for the disk.
func (t *Node) advanceRaft() {
	for t.group != nil && !t.persisting && !t.retired {
		g := t.group
		if g.ready == nil && g.rawNode.HasReady() {
			var rd raft.Ready
			t.runRaft(func() { rd = g.rawNode.Ready(); t.storeReady(&rd) })
			if t.group != g {
				return
			}
			g.ready = &rd
			if rd.MustSync || !raft.IsEmptySnap(rd.Snapshot) {
				t.dirty = true
			}
		}
		if t.dirty || g.ready == nil {
			break
		}
		t.completeReady()
	}
	t.persist()
}

// storeReady puts what is to be kept into the store.
func (t *Node) storeReady(rd *raft.Ready) {
	g := t.group
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
			t.resetElectionTimer()
		}
		if h.GetTerm() != g.term && g.isLeader { // it leads no more, and is told so before anything else of this term is done
			g.isLeader, g.leaderID = false, 0
			t.leadershipChanged(false)
		}
		g.storage.hardState, g.term, g.vote = h, h.GetTerm(), h.GetVote()
		if err := g.storage.SetHardState(h); err != nil {
			panic(err)
		}
	}
}

// completeReady does what follows from a Ready whose state is kept: it tells the others, and applies what is agreed.
func (t *Node) completeReady() {
	g := t.group
	rd := g.ready
	g.ready = nil
	for _, m := range rd.Messages {
		t.sendRaft(swim.ID(m.GetTo()), mustMarshal(m))
	}
	t.runRaft(func() {
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := g.installSnapshot(rd.Snapshot); err != nil {
				panic(err)
			}
		}
		for _, e := range rd.CommittedEntries {
			t.applyEntry(e)
		}
		g.rawNode.Advance(*rd)
		for _, m := range rd.Messages {
			if m.GetType() == raftpb.MsgSnap {
				g.rawNode.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // or it is lost, and the next entry is turned away
			}
		}
		g.storage.compact()
	})
	if t.group != g {
		return
	}
	t.updateLeader(rd)
	for _, r := range rd.ReadStates {
		t.quorumReadDone(binary.BigEndian.Uint64(r.RequestCtx))
	}
	if len(rd.CommittedEntries) > 0 || !raft.IsEmptySnap(rd.Snapshot) || rd.SoftState != nil {
		t.publishTable()
	}
}

// applyEntry takes an entry that is agreed.
func (t *Node) applyEntry(e *raftpb.Entry) {
	g := t.group
	g.appliedIndex, g.appliedTerm = e.GetIndex(), e.GetTerm()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		var cc raftpb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
			panic(err)
		}
		g.confState = g.rawNode.ApplyConfChange(&cc)
		// Danger: that a change of electors is agreed is known to who is running alone. Where they begin again and the leader does not,
		// they want votes of those that it has taken out. What the disk had at the start is not written again: with a write before its
		// first word an old copy would look as new as what it lacks.
		t.dirty = t.dirty || e.GetIndex() > g.commitAtStart
	case raftpb.EntryNormal:
		var list []command
		if len(e.GetData()) == 0 {
			return
		}
		if err := decode(e.GetData(), &list); err != nil {
			panic(err)
		}
		for _, c := range list {
			if g.machine.apply(c) {
				t.stats.Grants++
			}
			t.commandApplied(c)
		}
	}
}

// updateLeader takes who leads.
func (t *Node) updateLeader(rd *raft.Ready) {
	g := t.group
	if rd.SoftState != nil {
		g.leaderID = swim.ID(rd.SoftState.Lead)
		if leads := rd.SoftState.RaftState == raft.StateLeader; leads != g.isLeader {
			g.isLeader = leads
			t.leadershipChanged(leads)
		}
	}
}

// propose has commands agreed, and tells whether they are in the log.
func (t *Node) propose(list ...command) (ok bool) {
	g := t.group
	t.runRaft(func() { ok = g.rawNode.Propose(encode(list)) == nil })
	return ok && t.group == g
}
