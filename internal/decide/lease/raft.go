package lease

import (
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
func (n *Node) startGroup(hard, snapshot []byte, entries [][]byte) error {
	g := &group{storage: &raftStorage{MemoryStorage: raft.NewMemoryStorage()}, machine: stateMachine{Epoch: n.founding.Epoch}, confState: &raftpb.ConfState{}, tickDueAt: n.now}
	g.storage.latest = func() (uint64, *raftpb.ConfState, []byte) {
		return g.appliedIndex, g.confState, g.machine.snapshotData()
	}
	if snapshot == nil && slices.Contains(n.founding.Voters, n.self) {
		conf := &raftpb.ConfState{}
		for _, id := range n.founding.Voters {
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
	return n.guardRaft(func() {
		var err error
		g.rawNode, err = raft.NewRawNode(&raft.Config{ID: uint64(n.self), ElectionTick: electionTicks, HeartbeatTick: 1, Storage: g.storage,
			Applied: g.appliedIndex, MaxSizePerMsg: 16 << 10, MaxInflightMsgs: 16, CheckQuorum: true, PreVote: true, StepDownOnRemoval: true,
			DisableProposalForwarding: true, Logger: raftLogger{}})
		if err != nil {
			panic(err)
		}
		n.group = g
		n.resetElectionTimer()
	})
}

// guardRaft has raft do something. Danger: it panics with what it can't make sense of, and a message may come from anywhere.
func (n *Node) guardRaft(do func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v", ErrInvalidState, cause)
		}
	}()
	do()
	return nil
}

// runRaft is guard for what runs: a group that fails is left, and with it the identity.
func (n *Node) runRaft(do func()) {
	if err := n.guardRaft(do); err != nil {
		n.replaceIdentity(err.Error())
	}
}

func (g *group) installSnapshot(snap *raftpb.Snapshot) error {
	var machine stateMachine
	if err := decode(snap.GetData(), &machine); err != nil {
		return err
	}
	g.machine, g.appliedIndex, g.appliedTerm, g.confState = machine, snap.GetMetadata().GetIndex(), snap.GetMetadata().GetTerm(), snap.GetMetadata().GetConfState()
	return nil
}

// resetElectionTimer sets when this member stands. Raft's own draw can't be replayed, so its elections never come due by its ticks.
func (n *Node) resetElectionTimer() {
	n.group.electionDueAt = n.now + electionTimeoutSeconds*(1+n.rng.Float64())
}

// tickRaft moves raft's clock.
func (n *Node) tickRaft() {
	g := n.group
	if n.now-g.tickDueAt > stallSeconds {
		// It stood still. What the others said meanwhile is read before it stands for election.
		g.tickDueAt = n.now - stallSeconds
		if !g.isLeader {
			n.resetElectionTimer()
		}
	}
	for ; g.tickDueAt <= n.now; g.tickDueAt += raftTickSeconds {
		// Danger: who lost its quorum while its disk wrote still has to take note that it leads no more. Raft has it wait for an election
		// by then, for as long as the machine's random source said.
		if g.rawNode.BasicStatus().RaftState == raft.StateLeader {
			n.runRaft(g.rawNode.Tick)
		} else {
			g.rawNode.TickQuiesced() // the wait before a vote for another; no more
		}
		n.advanceRaft()
		if n.group != g {
			return
		}
	}
	if !g.isLeader && n.now >= g.electionDueAt {
		n.resetElectionTimer()
		if n.canVote() && n.isVoter() {
			n.runRaft(func() { _ = g.rawNode.Campaign() })
		}
	}
}

// isVoter tells whether this member is an elector, as far as it knows.
func (n *Node) isVoter() bool {
	g := n.group
	if g == nil || !slices.Contains(slices.Concat(g.confState.GetVoters(), g.confState.GetVotersOutgoing()), uint64(n.self)) {
		return false
	}
	return n.table.Epoch != n.founding.Epoch || n.table.Index <= g.appliedIndex || slices.Contains(n.table.Voters, n.self)
}

// canVote tells whether this member takes part: who leaves, or can't keep what it says, does not.
func (n *Node) canVote() bool { return !n.persistFailed && !(n.leaving && n.leadershipTransferred) }

// stepRaft takes a message of the group.
func (n *Node) stepRaft(from swim.ID, body []byte) {
	g := n.group
	var m raftpb.Message
	if err := proto.Unmarshal(body, &m); err != nil || m.GetFrom() != uint64(from) || m.GetTo() != uint64(n.self) || !n.canVote() {
		return
	}
	n.runRaft(func() { _ = g.rawNode.Step(&m) })
	if n.group != g {
		return
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if status := g.rawNode.BasicStatus(); status.Lead == m.GetFrom() && status.GetTerm() == m.GetTerm() {
			n.resetElectionTimer()
		}
	}
}

// memberIDs returns all that the group sends to, or may.
func (g *group) memberIDs() []uint64 {
	return slices.Concat(g.confState.GetVoters(), g.confState.GetVotersOutgoing(), g.confState.GetLearners(), g.confState.GetLearnersNext())
}
