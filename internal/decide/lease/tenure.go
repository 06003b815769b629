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
	settings Settings
	self     swim.ID
	bootID   uint64 // of this process
	actions  Actions
	rng      *rand.Rand
	now      float64

	startedAt      float64
	members        []Member // by ID
	membersAt      float64  // when they were told: their states have held for as much longer
	requestedLinks []swim.ID
	loopback       []*Message // from this member to itself

	// What is kept, and what waits for it.
	serial          uint64 // of the state that was kept last
	persisting      bool
	dirty           bool // there is something to keep
	persistFailed   bool // it could not be kept
	persistRetryAt  float64
	deferred        []outgoing // what is said once the state is kept
	awaitingPersist []outgoing
	peers           []peerState // by ID
	lineage         lineage     // of the state that was kept last
	retired         bool        // the identity is given up
	highestEpoch    uint64      // the greatest heard of

	promisedBallot   uint64
	acceptedFounding *Founding
	persistedEpoch   uint64    // the epoch that is on the disk
	founding         *Founding // of the group that this member is in
	proposal         *proposal
	ballotRound      uint64
	foundingDueAt    float64
	foundingAskedAt  float64
	contactedEpoch   uint64 // the epoch of a group whose leader has spoken to this member as to an elector
	group            *group

	table        Table
	compareDueAt float64

	holderState
	leaderState
	stats Stats
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
	t := &Node{settings: set, self: self, actions: do, now: now, startedAt: now, rng: rand.New(rand.NewPCG(set.Seed, uint64(self)))}
	t.settings.Roles = slices.Sorted(slices.Values(set.Roles))
	t.bootID = t.rng.Uint64() | 1
	t.renewalNumber = t.rng.Uint64() >> 1
	t.foundingDueAt = now + foundingRetrySeconds*t.rng.Float64()
	t.compareDueAt = now + compareIntervalSeconds*t.rng.Float64()
	t.bidDueAt = now + bidIntervalSeconds*(1+4*t.rng.Float64())
	if len(state) == 0 {
		return t, nil
	}
	s, err := decodeState(state, self)
	if err != nil {
		return nil, err
	}
	t.lineage = s.Lineage
	t.serial, t.highestEpoch, t.persistedEpoch, t.promisedBallot, t.acceptedFounding, t.founding = s.Serial, s.Epoch, s.Epoch, s.Promised, s.Accepted, s.Founding
	if t.founding != nil {
		if err := t.startGroup(s.HardState, s.Snapshot, s.Entries); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// SetMembers takes who is there, by ID, with this member.
func (t *Node) SetMembers(now float64, members []Member) {
	t.advanceTo(now)
	t.members, t.membersAt = members, t.now
	t.finishCall()
}

// memberByID returns what is known of one; nil: nothing.
func (t *Node) memberByID(id swim.ID) *Member {
	i, known := slices.BinarySearchFunc(t.members, id, func(m Member, id swim.ID) int { return cmp.Compare(m.ID, id) })
	if !known {
		return nil
	}
	return &t.members[i]
}

// isDurable tells whether this member has where to keep its state.
func (t *Node) isDurable() bool {
	self := t.memberByID(t.self)
	return self != nil && self.Durable
}

// stateAgeSeconds tells for how long a member's state has held.
func (t *Node) stateAgeSeconds(m *Member) float64 { return m.StateAgeSeconds + t.now - t.membersAt }

// HandleLinkUp takes that there is a new link to a member.
func (t *Node) HandleLinkUp(now float64, id swim.ID) {
	t.advanceTo(now)
	if t.retired {
		return
	}
	if t.table.Epoch != 0 {
		t.actions.Send(id, t.tableMessage())
	}
	t.resendOffers(id)
	if slices.Contains(t.requestedLinks, id) {
		t.renewDueAt = min(t.renewDueAt, t.now)
	}
	t.finishCall()
}

// HandleMessage takes a message.
func (t *Node) HandleMessage(now float64, from swim.ID, m *Message) {
	t.advanceTo(now)
	if !t.retired {
		t.dispatch(from, m)
	}
	t.finishCall()
}

func (t *Node) dispatch(from swim.ID, m *Message) {
	if m.Serial != 0 && from != t.self && !t.checkSerial(from, m) {
		return
	}
	if m.Founding != nil {
		t.handleFounding(from, m.Founding)
	}
	if m.Raft != nil {
		t.handleRaft(from, m)
	}
	if m.Table != nil {
		t.handleTable(from, m.Table)
	}
	if m.Records != nil {
		t.handleRecords(m.Records)
	}
	if m.RenewReply != nil {
		t.handleRenewReply(m.RenewReply)
	}
	if m.Offered != nil {
		t.handleOffer(from, m.Offered)
	}
	if m.StepDown != "" {
		t.handleStepDown(m.StepDown)
	}
	if t.retired {
		return
	}
	t.handleAsLeader(from, m)
}

// handleRaft takes a message of an electors' group.
func (t *Node) handleRaft(from swim.ID, m *Message) {
	switch {
	case t.founding != nil && t.founding.Epoch == m.Epoch:
		if t.group != nil {
			t.stepRaft(from, m.Raft)
		}
	case m.Epoch >= t.highestEpoch && t.now-t.foundingAskedAt > raftTickSeconds && !t.leaving && !t.persistFailed:
		var r raftpb.Message
		if proto.Unmarshal(m.Raft, &r) != nil || !t.isDurable() {
			return
		}
		t.foundingAskedAt = t.now
		switch r.GetType() {
		case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
			t.contactedEpoch = m.Epoch
		}
		t.actions.Send(from, &Message{Founding: &Founding{Step: stepAsked}})
	}
}

// Tick does what is due.
func (t *Node) Tick(now float64) {
	t.advanceTo(now)
	if t.retired {
		return
	}
	if t.group != nil {
		t.advanceRaft()
		if t.group != nil {
			t.tickRaft()
		}
	}
	t.tickFounding()
	t.tickHolder()
	t.tickLeader()
	if t.now >= t.compareDueAt {
		t.compareDueAt = t.now + compareIntervalSeconds*(0.5+t.rng.Float64())
		t.actions.Broadcast(&Message{Table: &Table{Epoch: t.table.Epoch, Index: t.table.Index, Term: t.table.Term}}, 0)
	}
	t.finishCall()
}

// NextTick returns when Tick is to be called.
func (t *Node) NextTick() float64 {
	if t.retired {
		return math.Inf(1)
	}
	next := t.compareDueAt
	if t.group != nil {
		next = min(next, t.group.tickDueAt)
		if !t.group.isLeader {
			next = min(next, t.group.electionDueAt)
		}
	}
	if len(t.settings.InitialVoters) > 0 && t.founding == nil && slices.Contains(t.settings.InitialVoters, t.settings.Address) {
		next = min(next, max(t.foundingDueAt, t.now+foundingCheckIntervalSeconds))
	}
	if t.persistFailed {
		next = min(next, t.persistRetryAt)
	}
	return max(min(next, t.holderNextTick(), t.leaderNextTick()), t.now+0.001)
}

// advanceTo takes the time, and what has ended by it.
func (t *Node) advanceTo(now float64) {
	t.now = max(t.now, now)
	t.expireLeases()
}

// finishCall does what follows from a call.
func (t *Node) finishCall() {
	// Danger: where all founders lose what they kept, whoever founds a group again must know that there was one, or its tokens
	// begin below those that were granted.
	t.dirty = t.dirty || t.highestEpoch > t.persistedEpoch && !t.retired && t.isDurable()
	for !t.retired {
		t.advanceRaft()
		if len(t.loopback) == 0 {
			break
		}
		m := t.loopback[0]
		t.loopback = t.loopback[1:]
		t.dispatch(t.self, m)
	}
	t.updateLinks()
}

// send sends a message, also to this member itself.
func (t *Node) send(to swim.ID, m *Message) {
	if to == t.self {
		t.loopback = append(t.loopback, m)
	} else {
		t.actions.Send(to, m)
	}
}

// sendAfterPersist sends a message once the state as it is now is kept.
func (t *Node) sendAfterPersist(to swim.ID, m *Message) {
	t.deferred = append(t.deferred, outgoing{to, m})
}

// persist keeps the state, if there is anything to keep.
func (t *Node) persist() {
	if t.persisting || t.retired {
		return
	}
	if !t.dirty {
		later := t.deferred
		t.deferred = nil
		for _, o := range later {
			t.send(o.to, o.m)
		}
		return
	}
	if t.persistFailed {
		if t.now < t.persistRetryAt {
			return
		}
		t.persistRetryAt = t.now + 1
	}
	t.dirty, t.persisting, t.persistedEpoch = false, true, t.highestEpoch
	t.awaitingPersist, t.deferred = append(t.awaitingPersist, t.deferred...), nil
	t.serial++
	t.lineage = t.lineage.extended(uint32(t.bootID>>32)|1, t.serial)
	t.stats.Persists++
	t.actions.Persist(t.encodeState())
}

// HandlePersisted takes the end of the last Save.
func (t *Node) HandlePersisted(now float64, err error) {
	t.advanceTo(now)
	if t.retired || !t.persisting {
		return
	}
	t.persisting = false
	if err != nil {
		if !t.persistFailed {
			t.actions.Log("the state can't be kept: this member does not vote", "error", err)
		}
		// Danger: what waits for it must go on waiting; a vote that was told and not kept is a vote that can be given twice.
		t.persistFailed, t.dirty, t.persistRetryAt = true, true, t.now+1
		return
	}
	if t.persistFailed {
		t.persistFailed = false
		t.actions.Log("the state is kept again: this member votes")
	}
	inflight := t.awaitingPersist
	t.awaitingPersist = nil
	for _, o := range inflight {
		t.send(o.to, o.m)
	}
	if t.group != nil && t.group.ready != nil {
		t.completeReady()
	}
	t.finishCall()
}

// replaceIdentity gives up the identity: nothing is said under it any more.
func (t *Node) replaceIdentity(why string) {
	if t.retired {
		return
	}
	t.endAllLeases("the identity is given up")
	t.retired, t.group, t.loopback, t.deferred, t.awaitingPersist = true, nil, nil, nil, nil
	t.actions.ReplaceIdentity(why)
}

// updateLinks asks for links.
func (t *Node) updateLinks() {
	var ids []swim.ID
	if t.retired {
		return
	}
	if t.isVoter() {
		for _, id := range t.group.memberIDs() {
			ids = append(ids, swim.ID(id))
		}
	}
	if t.founding == nil && slices.Contains(t.settings.InitialVoters, t.settings.Address) && t.table.Epoch == 0 {
		ids = append(ids, t.initialVoterIDs()...)
	}
	ids = append(ids, t.holderLinks()...)
	ids = append(ids, t.leaderLinks()...)
	slices.Sort(ids)
	ids = slices.DeleteFunc(slices.Compact(ids), func(id swim.ID) bool { return id == t.self || id == 0 })
	if !slices.Equal(ids, t.requestedLinks) {
		t.requestedLinks = ids
		t.actions.RequestLinks(slices.Clone(ids))
	}
}

// Table returns what is known of all grants.
func (t *Node) Table() Table { return t.table }

// Stats returns the counts so far.
func (t *Node) Stats() Stats {
	f := t.stats
	f.Serial, f.PersistFailed = t.serial, t.persistFailed
	if t.founding != nil {
		f.Epoch = t.founding.Epoch
	}
	if g := t.group; g != nil {
		f.Term, f.IsLeader, f.IsVoter = g.term, g.isLeader, t.isVoter()
	}
	return f
}
