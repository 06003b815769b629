package lease

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"hazelwheel/internal/decide/swim"
)

// Node is one member's part of who owns what.
type Node struct {
	set  Settings
	self swim.ID
	life uint64 // of this process
	do   Actions
	rng  *rand.Rand
	now  float64

	began   float64
	members []Member // by ID
	viewAt  float64  // when they were told: their states have held for as much longer
	wanted  []swim.ID
	local   []*Message // from this member to itself

	// What is kept, and what waits for it.
	serial   uint64 // of the state that was kept last
	saving   bool
	dirty    bool // there is something to keep
	unkept   bool // it could not be kept
	retryAt  float64
	later    []outgoing // what is said once the state is kept
	inflight []outgoing
	heard    []heard // by ID
	lineage  lineage // of the state that was kept last
	over     bool    // the identity is given up
	epoch    uint64  // the greatest heard of

	promised uint64
	accepted *Founding
	kept     uint64    // the epoch that is on the disk
	founding *Founding // of the group that this member is in
	proposal *proposal
	round    uint64
	foundAt  float64
	askedAt  float64
	called   uint64 // the epoch of a group whose leader has spoken to this member as to an elector
	group    *group

	table    Table
	compared float64

	holder
	leader
	figures Stats
}

type outgoing struct {
	to swim.ID
	m  *Message
}

// Stats count what a Tenure has done, and say what it is.
type Stats struct {
	Epoch          uint64 `json:"epoch"` // of the group that this member is in; 0: of none
	Term           uint64 `json:"term"`
	Serial         uint64 `json:"serial"`
	IsVoter        bool   `json:"elector"`
	IsLeader       bool   `json:"leads"`
	PersistFailed  bool   `json:"unkept"`   // the state can't be kept: this member does not vote
	Grants         uint64 `json:"grants"`   // that were agreed, of all jobs
	Acquired       uint64 `json:"owned"`    // grants to this member that became leases
	Lapsed         uint64 `json:"lapsed"`   // of these, leases that ended without a renewal
	QuorumReads    uint64 `json:"rounds"`   // quorum rounds for renewals, of this member as the leader
	Persists       uint64 `json:"saves"`    // writes of the state
	ElectionsWon   uint64 `json:"leaders"`  // times that this member has come to lead
	DroppedStale   uint64 `json:"dropped"`  // messages under a serial lower than heard before
	VotersReplaced uint64 `json:"replaced"` // electors that this member, leading, has had replaced
}

// New returns the part of a member. An error says that what was saved can't be used: the identity is then not to be used
// either.
func New(now float64, self swim.ID, set Settings, state []byte, do Actions) (*Node, error) {
	t := &Node{set: set, self: self, do: do, now: now, began: now, rng: rand.New(rand.NewPCG(set.Seed, uint64(self)))}
	t.set.Roles = slices.Sorted(slices.Values(set.Roles))
	t.life = t.rng.Uint64() | 1
	t.number = t.rng.Uint64() >> 1
	t.foundAt = now + foundS*t.rng.Float64()
	t.compared = now + compareS*t.rng.Float64()
	t.wishAt = now + wishS*(1+4*t.rng.Float64())
	if len(state) == 0 {
		return t, nil
	}
	s, err := readSaved(state, self)
	if err != nil {
		return nil, err
	}
	t.lineage = s.Lineage
	t.serial, t.epoch, t.kept, t.promised, t.accepted, t.founding = s.Serial, s.Epoch, s.Epoch, s.Promised, s.Accepted, s.Group
	if t.founding != nil {
		if err := t.enterGroup(s.Hard, s.Snapshot, s.Entries); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// SetMembers takes who is there, by ID, with this member.
func (t *Node) SetMembers(now float64, members []Member) {
	t.enter(now)
	t.members, t.viewAt = members, t.now
	t.settle()
}

// member returns what is known of one; nil: nothing.
func (t *Node) member(id swim.ID) *Member {
	i, known := slices.BinarySearchFunc(t.members, id, func(m Member, id swim.ID) int { return cmp.Compare(m.ID, id) })
	if !known {
		return nil
	}
	return &t.members[i]
}

// keeps tells whether this member has where to keep its state.
func (t *Node) keeps() bool {
	self := t.member(t.self)
	return self != nil && self.Durable
}

// sinceS tells for how long a member's state has held.
func (t *Node) sinceS(m *Member) float64 { return m.StateAgeSeconds + t.now - t.viewAt }

// HandleLinkUp takes that there is a new link to a member.
func (t *Node) HandleLinkUp(now float64, id swim.ID) {
	t.enter(now)
	if t.over {
		return
	}
	if t.table.Epoch != 0 {
		t.do.Send(id, t.tableMessage())
	}
	t.leadLink(id)
	if slices.Contains(t.wanted, id) {
		t.renewAt = min(t.renewAt, t.now)
	}
	t.settle()
}

// HandleMessage takes a message.
func (t *Node) HandleMessage(now float64, from swim.ID, m *Message) {
	t.enter(now)
	if !t.over {
		t.hear(from, m)
	}
	t.settle()
}

func (t *Node) hear(from swim.ID, m *Message) {
	if m.Serial != 0 && from != t.self && !t.hearSerial(from, m) {
		return
	}
	if m.Founding != nil {
		t.hearFounding(from, m.Founding)
	}
	if m.Raft != nil {
		t.hearRaft(from, m)
	}
	if m.Table != nil {
		t.hearTable(from, m.Table)
	}
	if m.Records != nil {
		t.learnRecords(m.Records)
	}
	if m.RenewReply != nil {
		t.renewed(m.RenewReply)
	}
	if m.Offered != nil {
		t.offered(from, m.Offered)
	}
	if m.StepDown != "" {
		t.moved(m.StepDown)
	}
	if t.over {
		return
	}
	t.hearAsLeader(from, m)
}

// hearRaft takes a message of an electors' group.
func (t *Node) hearRaft(from swim.ID, m *Message) {
	switch {
	case t.founding != nil && t.founding.Epoch == m.Epoch:
		if t.group != nil {
			t.stepGroup(from, m.Raft)
		}
	case m.Epoch >= t.epoch && t.now-t.askedAt > tickS && !t.leaving && !t.unkept:
		var r raftpb.Message
		if proto.Unmarshal(m.Raft, &r) != nil || !t.keeps() {
			return
		}
		t.askedAt = t.now
		switch r.GetType() {
		case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
			t.called = m.Epoch
		}
		t.do.Send(from, &Message{Founding: &Founding{Step: stepAsked}})
	}
}

// Tick does what is due.
func (t *Node) Tick(now float64) {
	t.enter(now)
	if t.over {
		return
	}
	if t.group != nil {
		t.work()
		if t.group != nil {
			t.tickGroup()
		}
	}
	t.tickFounding()
	t.tickHolder()
	t.tickLeader()
	if t.now >= t.compared {
		t.compared = t.now + compareS*(0.5+t.rng.Float64())
		t.do.Broadcast(&Message{Table: &Table{Epoch: t.table.Epoch, Index: t.table.Index, Term: t.table.Term}}, 0)
	}
	t.settle()
}

// NextTick returns when Tick is to be called.
func (t *Node) NextTick() float64 {
	if t.over {
		return math.Inf(1)
	}
	next := t.compared
	if t.group != nil {
		next = min(next, t.group.tickAt)
		if !t.group.leads {
			next = min(next, t.group.electAt)
		}
	}
	if len(t.set.InitialVoters) > 0 && t.founding == nil && slices.Contains(t.set.InitialVoters, t.set.Address) {
		next = min(next, max(t.foundAt, t.now+lookS))
	}
	if t.unkept {
		next = min(next, t.retryAt)
	}
	return max(min(next, t.holderNext(), t.leaderNext()), t.now+0.001)
}

// enter takes the time, and what has ended by it.
func (t *Node) enter(now float64) {
	t.now = max(t.now, now)
	t.lapse()
}

// settle does what follows from a call.
func (t *Node) settle() {
	// Danger: where all founders lose what they kept, whoever founds a group again must know that there was one, or its tokens
	// begin below those that were granted.
	t.dirty = t.dirty || t.epoch > t.kept && !t.over && t.keeps()
	for !t.over {
		t.work()
		if len(t.local) == 0 {
			break
		}
		m := t.local[0]
		t.local = t.local[1:]
		t.hear(t.self, m)
	}
	t.want()
}

// send sends a message, also to this member itself.
func (t *Node) send(to swim.ID, m *Message) {
	if to == t.self {
		t.local = append(t.local, m)
	} else {
		t.do.Send(to, m)
	}
}

// sendKept sends a message once the state as it is now is kept.
func (t *Node) sendKept(to swim.ID, m *Message) { t.later = append(t.later, outgoing{to, m}) }

// save keeps the state, if there is anything to keep.
func (t *Node) save() {
	if t.saving || t.over {
		return
	}
	if !t.dirty {
		later := t.later
		t.later = nil
		for _, o := range later {
			t.send(o.to, o.m)
		}
		return
	}
	if t.unkept {
		if t.now < t.retryAt {
			return
		}
		t.retryAt = t.now + 1
	}
	t.dirty, t.saving, t.kept = false, true, t.epoch
	t.inflight, t.later = append(t.inflight, t.later...), nil
	t.serial++
	t.lineage = t.lineage.with(uint32(t.life>>32)|1, t.serial)
	t.figures.Persists++
	t.do.Persist(t.state())
}

// HandlePersisted takes the end of the last Save.
func (t *Node) HandlePersisted(now float64, err error) {
	t.enter(now)
	if t.over || !t.saving {
		return
	}
	t.saving = false
	if err != nil {
		if !t.unkept {
			t.do.Log("the state can't be kept: this member does not vote", "error", err)
		}
		// Danger: what waits for it must go on waiting; a vote that was told and not kept is a vote that can be given twice.
		t.unkept, t.dirty, t.retryAt = true, true, t.now+1
		return
	}
	if t.unkept {
		t.unkept = false
		t.do.Log("the state is kept again: this member votes")
	}
	inflight := t.inflight
	t.inflight = nil
	for _, o := range inflight {
		t.send(o.to, o.m)
	}
	if t.group != nil && t.group.ready != nil {
		t.finish()
	}
	t.settle()
}

// renounce gives up the identity: nothing is said under it any more.
func (t *Node) renounce(why string) {
	if t.over {
		return
	}
	t.endAll("the identity is given up")
	t.over, t.group, t.local, t.later, t.inflight = true, nil, nil, nil, nil
	t.do.ReplaceIdentity(why)
}

// want asks for links.
func (t *Node) want() {
	var ids []swim.ID
	if t.over {
		return
	}
	if t.elects() {
		for _, id := range t.group.peers() {
			ids = append(ids, swim.ID(id))
		}
	}
	if t.founding == nil && slices.Contains(t.set.InitialVoters, t.set.Address) && t.table.Epoch == 0 {
		ids = append(ids, t.listed()...)
	}
	ids = append(ids, t.holderWants()...)
	ids = append(ids, t.leaderWants()...)
	slices.Sort(ids)
	ids = slices.DeleteFunc(slices.Compact(ids), func(id swim.ID) bool { return id == t.self || id == 0 })
	if !slices.Equal(ids, t.wanted) {
		t.wanted = ids
		t.do.RequestLinks(slices.Clone(ids))
	}
}

// Table returns what is known of all grants.
func (t *Node) Table() Table { return t.table }

// Stats returns the counts so far.
func (t *Node) Stats() Stats {
	f := t.figures
	f.Serial, f.PersistFailed = t.serial, t.unkept
	if t.founding != nil {
		f.Epoch = t.founding.Epoch
	}
	if g := t.group; g != nil {
		f.Term, f.IsLeader, f.IsVoter = g.current, g.leads, t.elects()
	}
	return f
}
