package lease

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"hazelwheel/internal/decide/swim"
)

// Times of Raft, in seconds and in ticks.
const (
	raftTickSeconds        = 0.15 // the leader sends a heartbeat each tick
	electionTicks          = 6    // how many ticks without a message from the leader let a voter vote for another member
	electionTimeoutSeconds = raftTickSeconds * electionTicks
	stallSeconds           = 0.6 // a longer time between two calls counts as a pause of the process
)

// group is this member's part of a Raft group: Raft itself, its log and the state machine that entries are applied to.
type group struct {
	rawNode       *raft.RawNode
	storage       *raftStorage
	machine       stateMachine
	appliedIndex  uint64
	appliedTerm   uint64 // of the last applied entry
	confState     *raftpb.ConfState
	ready         *raft.Ready // whose state is being persisted; nil: none
	leaderID      swim.ID
	isLeader      bool
	commitAtStart uint64 // the commit index of the state that the process started with
	term          uint64
	vote          uint64
	tickDueAt     float64
	electionDueAt float64 // when this member campaigns, unless a message from the leader arrives before
}

// raftLogger discards what Raft logs, and panics where Raft does.
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

// startGroup starts Raft for the present founding. Without a stored state, an initial voter starts from a snapshot that names all
// initial voters. A member that was added later starts empty: it can't vote before it has received the configuration.
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

// guardRaft calls Raft and turns its panics into errors that wrap ErrInvalidState. Raft panics on invalid input, and messages come
// from other processes.
func (n *Node) guardRaft(call func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v", ErrInvalidState, cause)
		}
	}()
	call()
	return nil
}

// runRaft calls Raft and gives up this identity if Raft panics.
func (n *Node) runRaft(call func()) {
	if err := n.guardRaft(call); err != nil {
		n.replaceIdentity(err.Error())
	}
}

// installSnapshot replaces the state machine by that of a snapshot.
func (g *group) installSnapshot(snap *raftpb.Snapshot) error {
	var machine stateMachine
	if err := decode(snap.GetData(), &machine); err != nil {
		return err
	}
	g.machine, g.appliedIndex, g.appliedTerm, g.confState = machine, snap.GetMetadata().GetIndex(), snap.GetMetadata().GetTerm(), snap.GetMetadata().GetConfState()
	return nil
}

// resetElectionTimer draws when this member campaigns next. Raft's own timer uses a random source that can't be seeded, so that a
// simulation could not be repeated; tickRaft keeps that timer from firing.
func (n *Node) resetElectionTimer() {
	n.group.electionDueAt = n.now + electionTimeoutSeconds*(1+n.rng.Float64())
}

// tickRaft advances Raft's clock to the current time, and campaigns when the election timer has expired.
func (n *Node) tickRaft() {
	g := n.group
	if n.now-g.tickDueAt > stallSeconds {
		// The process was paused. Messages that arrived meanwhile are handled before it campaigns.
		g.tickDueAt = n.now - stallSeconds
		if !g.isLeader {
			n.resetElectionTimer()
		}
	}
	for ; g.tickDueAt <= n.now; g.tickDueAt += raftTickSeconds {
		// Raft's own state decides here, not isLeader, which lags while a write is pending: a leader that lost its quorum may already be
		// a follower in Raft. A full tick of a follower would start Raft's own election timer, which is not drawn from the seed.
		if g.rawNode.BasicStatus().RaftState == raft.StateLeader {
			n.runRaft(g.rawNode.Tick)
		} else {
			g.rawNode.TickQuiesced() // only advances the time after which this voter may vote for another leader
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

// isVoter reports whether this member is a voter, by its own configuration and by a newer table if it has one.
func (n *Node) isVoter() bool {
	g := n.group
	if g == nil || !slices.Contains(slices.Concat(g.confState.GetVoters(), g.confState.GetVotersOutgoing()), uint64(n.self)) {
		return false
	}
	return n.table.Epoch != n.founding.Epoch || n.table.Index <= g.appliedIndex || slices.Contains(n.table.Voters, n.self)
}

// canVote reports whether this member takes part in Raft. It does not while its state can't be stored, nor after it has left.
func (n *Node) canVote() bool { return !n.persistFailed && !(n.leaving && n.leadershipTransferred) }

// stepRaft passes a message to Raft. Messages that name another sender than the one they came from, or another receiver, are
// dropped.
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

// memberIDs returns all voters and learners, including those of a configuration change that is under way.
func (g *group) memberIDs() []uint64 {
	return slices.Concat(g.confState.GetVoters(), g.confState.GetVotersOutgoing(), g.confState.GetLearners(), g.confState.GetLearnersNext())
}
