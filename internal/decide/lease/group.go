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
	tickS      = 0.15 // a heartbeat each
	electTicks = 6    // without a word of the leader, before a member votes for another
	electS     = tickS * electTicks
	stallS     = 0.6 // between two calls: this process stood still
)

// group is this member's part of the electors' group.
type group struct {
	node    *raft.RawNode
	store   *store
	machine machine
	applied uint64
	term    uint64 // of the last entry applied
	conf    *raftpb.ConfState
	ready   *raft.Ready // that waits for its state to be kept
	lead    swim.ID
	leads   bool
	known   uint64 // up to which the disk said at the start that all is agreed
	current uint64 // the term
	voted   uint64
	tickAt  float64
	electAt float64 // when this member stands for election, if it hears no leader
}

// silent is raft's log: nothing is passed on, but what it panics with.
type silent struct{}

func (silent) Debug(...any)            {}
func (silent) Debugf(string, ...any)   {}
func (silent) Error(...any)            {}
func (silent) Errorf(string, ...any)   {}
func (silent) Info(...any)             {}
func (silent) Infof(string, ...any)    {}
func (silent) Warning(...any)          {}
func (silent) Warningf(string, ...any) {}

func (silent) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (silent) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (silent) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (silent) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// enterGroup begins to take part. Without anything kept, who founded the group begins with what all founders know, and who is
// added later with nothing: it votes only once it has been sent who it votes with.
func (t *Node) enterGroup(hard, snapshot []byte, entries [][]byte) error {
	g := &group{store: &store{MemoryStorage: raft.NewMemoryStorage()}, machine: machine{Epoch: t.founding.Epoch}, conf: &raftpb.ConfState{}, tickAt: t.now}
	g.store.latest = func() (uint64, *raftpb.ConfState, []byte) { return g.applied, g.conf, g.machine.bytes() }
	if snapshot == nil && slices.Contains(t.founding.Voters, t.self) {
		conf := &raftpb.ConfState{}
		for _, id := range t.founding.Voters {
			conf.Voters = append(conf.Voters, uint64(id))
		}
		slices.Sort(conf.Voters)
		first := uint64(1)
		snapshot = marshal(&raftpb.Snapshot{Data: g.machine.bytes(), Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: &first, Term: &first}})
		hard = marshal(&raftpb.HardState{Term: &first, Commit: &first, Vote: new(uint64)})
	}
	if err := g.store.restore(hard, snapshot, entries); err != nil {
		return fmt.Errorf("%w: %w", errState, err)
	}
	if snap, _ := g.store.MemoryStorage.Snapshot(); snap.GetMetadata().GetIndex() > 0 {
		if err := g.install(snap); err != nil {
			return fmt.Errorf("%w: %w", errState, err)
		}
	}
	if h := g.store.hard; h != nil {
		g.current, g.voted, g.known = h.GetTerm(), h.GetVote(), h.GetCommit()
	}
	return t.guard(func() {
		var err error
		g.node, err = raft.NewRawNode(&raft.Config{ID: uint64(t.self), ElectionTick: electTicks, HeartbeatTick: 1, Storage: g.store,
			Applied: g.applied, MaxSizePerMsg: 16 << 10, MaxInflightMsgs: 16, CheckQuorum: true, PreVote: true, StepDownOnRemoval: true,
			DisableProposalForwarding: true, Logger: silent{}})
		if err != nil {
			panic(err)
		}
		t.group = g
		t.drawElection()
	})
}

// guard has raft do something. Danger: it panics with what it can't make sense of, and a message may come from anywhere.
func (t *Node) guard(do func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v", errState, cause)
		}
	}()
	do()
	return nil
}

// try is guard for what runs: a group that fails is left, and with it the identity.
func (t *Node) try(do func()) {
	if err := t.guard(do); err != nil {
		t.renounce(err.Error())
	}
}

func (g *group) install(snap *raftpb.Snapshot) error {
	var m machine
	if err := unpack(snap.GetData(), &m); err != nil {
		return err
	}
	g.machine, g.applied, g.term, g.conf = m, snap.GetMetadata().GetIndex(), snap.GetMetadata().GetTerm(), snap.GetMetadata().GetConfState()
	return nil
}

// drawElection sets when this member stands. Raft's own draw can't be replayed, so its elections never come due by its ticks.
func (t *Node) drawElection() { t.group.electAt = t.now + electS*(1+t.rng.Float64()) }

// tickGroup moves raft's clock.
func (t *Node) tickGroup() {
	g := t.group
	if t.now-g.tickAt > stallS {
		// It stood still. What the others said meanwhile is read before it stands for election.
		g.tickAt = t.now - stallS
		if !g.leads {
			t.drawElection()
		}
	}
	for ; g.tickAt <= t.now; g.tickAt += tickS {
		// Danger: who lost its quorum while its disk wrote still has to take note that it leads no more. Raft has it wait for an election
		// by then, for as long as the machine's random source said.
		if g.node.BasicStatus().RaftState == raft.StateLeader {
			t.try(g.node.Tick)
		} else {
			g.node.TickQuiesced() // the wait before a vote for another; no more
		}
		t.work()
		if t.group != g {
			return
		}
	}
	if !g.leads && t.now >= g.electAt {
		t.drawElection()
		if t.mayVote() && t.elects() {
			t.try(func() { _ = g.node.Campaign() })
		}
	}
}

// elects tells whether this member is an elector, as far as it knows.
func (t *Node) elects() bool {
	g := t.group
	if g == nil || !slices.Contains(slices.Concat(g.conf.GetVoters(), g.conf.GetVotersOutgoing()), uint64(t.self)) {
		return false
	}
	return t.table.Epoch != t.founding.Epoch || t.table.Index <= g.applied || slices.Contains(t.table.Voters, t.self)
}

// mayVote tells whether this member takes part: who leaves, or can't keep what it says, does not.
func (t *Node) mayVote() bool { return !t.unkept && !(t.leaving && t.handed) }

// stepGroup takes a message of the group.
func (t *Node) stepGroup(from swim.ID, body []byte) {
	g := t.group
	var m raftpb.Message
	if err := proto.Unmarshal(body, &m); err != nil || m.GetFrom() != uint64(from) || m.GetTo() != uint64(t.self) || !t.mayVote() {
		return
	}
	t.try(func() { _ = g.node.Step(&m) })
	if t.group != g {
		return
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if status := g.node.BasicStatus(); status.Lead == m.GetFrom() && status.GetTerm() == m.GetTerm() {
			t.drawElection()
		}
	}
}

// work does all that raft wants done, up to where it must wait for the disk.
func (t *Node) work() {
	for t.group != nil && !t.saving && !t.over {
		g := t.group
		if g.ready == nil && g.node.HasReady() {
			var rd raft.Ready
			t.try(func() { rd = g.node.Ready(); t.keep(&rd) })
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
		t.finish()
	}
	t.save()
}

// keep puts what is to be kept into the store.
func (t *Node) keep(rd *raft.Ready) {
	g := t.group
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := g.store.ApplySnapshot(rd.Snapshot); err != nil {
			panic(err)
		}
	}
	if err := g.store.Append(rd.Entries); err != nil {
		panic(err)
	}
	if h := rd.HardState; !raft.IsEmptyHardState(h) {
		if h.GetVote() != g.voted && h.GetVote() != 0 {
			t.drawElection()
		}
		if h.GetTerm() != g.current && g.leads { // it leads no more, and is told so before anything else of this term is done
			g.leads, g.lead = false, 0
			t.turned(false)
		}
		g.store.hard, g.current, g.voted = h, h.GetTerm(), h.GetVote()
		if err := g.store.SetHardState(h); err != nil {
			panic(err)
		}
	}
}

// finish does what follows from a Ready whose state is kept: it tells the others, and applies what is agreed.
func (t *Node) finish() {
	g := t.group
	rd := g.ready
	g.ready = nil
	for _, m := range rd.Messages {
		t.say(swim.ID(m.GetTo()), marshal(m))
	}
	t.try(func() {
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := g.install(rd.Snapshot); err != nil {
				panic(err)
			}
		}
		for _, e := range rd.CommittedEntries {
			t.apply(e)
		}
		g.node.Advance(*rd)
		for _, m := range rd.Messages {
			if m.GetType() == raftpb.MsgSnap {
				g.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // or it is lost, and the next entry is turned away
			}
		}
		g.store.compact()
	})
	if t.group != g {
		return
	}
	t.ledBy(rd)
	for _, r := range rd.ReadStates {
		t.read(binary.BigEndian.Uint64(r.RequestCtx))
	}
	if len(rd.CommittedEntries) > 0 || !raft.IsEmptySnap(rd.Snapshot) || rd.SoftState != nil {
		t.publish()
	}
}

// apply takes an entry that is agreed.
func (t *Node) apply(e *raftpb.Entry) {
	g := t.group
	g.applied, g.term = e.GetIndex(), e.GetTerm()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		var cc raftpb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
			panic(err)
		}
		g.conf = g.node.ApplyConfChange(&cc)
		// Danger: that a change of electors is agreed is known to who is running alone. Where they begin again and the leader does not,
		// they want votes of those that it has taken out. What the disk had at the start is not written again: with a write before its
		// first word an old copy would look as new as what it lacks.
		t.dirty = t.dirty || e.GetIndex() > g.known
	case raftpb.EntryNormal:
		var list []command
		if len(e.GetData()) == 0 {
			return
		}
		if err := unpack(e.GetData(), &list); err != nil {
			panic(err)
		}
		for _, c := range list {
			if g.machine.apply(c) {
				t.figures.Grants++
			}
			t.appliedCommand(c)
		}
	}
}

// ledBy takes who leads.
func (t *Node) ledBy(rd *raft.Ready) {
	g := t.group
	if rd.SoftState != nil {
		g.lead = swim.ID(rd.SoftState.Lead)
		if leads := rd.SoftState.RaftState == raft.StateLeader; leads != g.leads {
			g.leads = leads
			t.turned(leads)
		}
	}
}

// propose has commands agreed, and tells whether they are in the log.
func (t *Node) propose(list ...command) (ok bool) {
	g := t.group
	t.try(func() { ok = g.node.Propose(pack(list)) == nil })
	return ok && t.group == g
}
