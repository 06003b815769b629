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

// New returns the part of a member. An error says that what was saved can't be used: the identity is then not to be used
// either.
func New(now float64, self swim.ID, settings Settings, savedState []byte, actions Actions) (*Node, error) {
	n := &Node{settings: settings, self: self, actions: actions, now: now, startedAt: now, rng: rand.New(rand.NewPCG(settings.Seed, uint64(self)))}
	n.settings.Roles = slices.Sorted(slices.Values(settings.Roles))
	n.bootID = n.rng.Uint64() | 1
	n.renewalNumber = n.rng.Uint64() >> 1
	n.foundingDueAt = now + foundingRetrySeconds*n.rng.Float64()
	n.compareDueAt = now + compareIntervalSeconds*n.rng.Float64()
	n.bidDueAt = now + bidIntervalSeconds*(1+4*n.rng.Float64())
	if len(savedState) == 0 {
		return n, nil
	}
	saved, err := decodeState(savedState, self)
	if err != nil {
		return nil, err
	}
	n.lineage = saved.Lineage
	n.serial, n.highestEpoch, n.persistedEpoch, n.promisedBallot, n.acceptedFounding, n.founding = saved.Serial, saved.Epoch, saved.Epoch, saved.Promised, saved.Accepted, saved.Founding
	if n.founding != nil {
		if err := n.startGroup(saved.HardState, saved.Snapshot, saved.Entries); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// SetMembers takes who is there, by ID, with this member.
func (n *Node) SetMembers(now float64, members []Member) {
	n.advanceTo(now)
	n.members, n.membersAt = members, n.now
	n.finishCall()
}

// memberByID returns what is known of one; nil: nothing.
func (n *Node) memberByID(id swim.ID) *Member {
	i, known := slices.BinarySearchFunc(n.members, id, func(m Member, id swim.ID) int { return cmp.Compare(m.ID, id) })
	if !known {
		return nil
	}
	return &n.members[i]
}

// isDurable tells whether this member has where to keep its state.
func (n *Node) isDurable() bool {
	self := n.memberByID(n.self)
	return self != nil && self.Durable
}

// stateAgeSeconds tells for how long a member's state has held.
func (n *Node) stateAgeSeconds(m *Member) float64 { return m.StateAgeSeconds + n.now - n.membersAt }

// HandleLinkUp takes that there is a new link to a member.
func (n *Node) HandleLinkUp(now float64, id swim.ID) {
	n.advanceTo(now)
	if n.retired {
		return
	}
	if n.table.Epoch != 0 {
		n.actions.Send(id, n.tableMessage())
	}
	n.resendOffers(id)
	if slices.Contains(n.requestedLinks, id) {
		n.renewDueAt = min(n.renewDueAt, n.now)
	}
	n.finishCall()
}

// HandleMessage takes a message.
func (n *Node) HandleMessage(now float64, from swim.ID, m *Message) {
	n.advanceTo(now)
	if !n.retired {
		n.dispatch(from, m)
	}
	n.finishCall()
}

func (n *Node) dispatch(from swim.ID, m *Message) {
	if m.Serial != 0 && from != n.self && !n.checkSerial(from, m) {
		return
	}
	if m.Founding != nil {
		n.handleFounding(from, m.Founding)
	}
	if m.Raft != nil {
		n.handleRaft(from, m)
	}
	if m.Table != nil {
		n.handleTable(from, m.Table)
	}
	if m.Records != nil {
		n.handleRecords(m.Records)
	}
	if m.RenewReply != nil {
		n.handleRenewReply(m.RenewReply)
	}
	if m.Offered != nil {
		n.handleOffer(from, m.Offered)
	}
	if m.StepDown != "" {
		n.handleStepDown(m.StepDown)
	}
	if n.retired {
		return
	}
	n.handleAsLeader(from, m)
}

// handleRaft takes a message of an electors' group.
func (n *Node) handleRaft(from swim.ID, m *Message) {
	switch {
	case n.founding != nil && n.founding.Epoch == m.Epoch:
		if n.group != nil {
			n.stepRaft(from, m.Raft)
		}
	case m.Epoch >= n.highestEpoch && n.now-n.foundingAskedAt > raftTickSeconds && !n.leaving && !n.persistFailed:
		var raftMessage raftpb.Message
		if proto.Unmarshal(m.Raft, &raftMessage) != nil || !n.isDurable() {
			return
		}
		n.foundingAskedAt = n.now
		switch raftMessage.GetType() {
		case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
			n.contactedEpoch = m.Epoch
		}
		n.actions.Send(from, &Message{Founding: &Founding{Step: stepAsked}})
	}
}

// Tick does what is due.
func (n *Node) Tick(now float64) {
	n.advanceTo(now)
	if n.retired {
		return
	}
	if n.group != nil {
		n.advanceRaft()
		if n.group != nil {
			n.tickRaft()
		}
	}
	n.tickFounding()
	n.tickHolder()
	n.tickLeader()
	if n.now >= n.compareDueAt {
		n.compareDueAt = n.now + compareIntervalSeconds*(0.5+n.rng.Float64())
		n.actions.Broadcast(&Message{Table: &Table{Epoch: n.table.Epoch, Index: n.table.Index, Term: n.table.Term}}, 0)
	}
	n.finishCall()
}

// NextTick returns when Tick is to be called.
func (n *Node) NextTick() float64 {
	if n.retired {
		return math.Inf(1)
	}
	next := n.compareDueAt
	if n.group != nil {
		next = min(next, n.group.tickDueAt)
		if !n.group.isLeader {
			next = min(next, n.group.electionDueAt)
		}
	}
	if len(n.settings.InitialVoters) > 0 && n.founding == nil && slices.Contains(n.settings.InitialVoters, n.settings.Address) {
		next = min(next, max(n.foundingDueAt, n.now+foundingCheckIntervalSeconds))
	}
	if n.persistFailed {
		next = min(next, n.persistRetryAt)
	}
	return max(min(next, n.holderNextTick(), n.leaderNextTick()), n.now+0.001)
}

// advanceTo takes the time, and what has ended by it.
func (n *Node) advanceTo(now float64) {
	n.now = max(n.now, now)
	n.expireLeases()
}

// finishCall does what follows from a call.
func (n *Node) finishCall() {
	// Danger: where all founders lose what they kept, whoever founds a group again must know that there was one, or its tokens
	// begin below those that were granted.
	n.dirty = n.dirty || n.highestEpoch > n.persistedEpoch && !n.retired && n.isDurable()
	for !n.retired {
		n.advanceRaft()
		if len(n.loopback) == 0 {
			break
		}
		m := n.loopback[0]
		n.loopback = n.loopback[1:]
		n.dispatch(n.self, m)
	}
	n.updateLinks()
}

// send sends a message, also to this member itself.
func (n *Node) send(to swim.ID, m *Message) {
	if to == n.self {
		n.loopback = append(n.loopback, m)
	} else {
		n.actions.Send(to, m)
	}
}

// updateLinks asks for links.
func (n *Node) updateLinks() {
	var ids []swim.ID
	if n.retired {
		return
	}
	if n.isVoter() {
		for _, id := range n.group.memberIDs() {
			ids = append(ids, swim.ID(id))
		}
	}
	if n.founding == nil && slices.Contains(n.settings.InitialVoters, n.settings.Address) && n.table.Epoch == 0 {
		ids = append(ids, n.initialVoterIDs()...)
	}
	ids = append(ids, n.holderLinks()...)
	ids = append(ids, n.leaderLinks()...)
	slices.Sort(ids)
	ids = slices.DeleteFunc(slices.Compact(ids), func(id swim.ID) bool { return id == n.self || id == 0 })
	if !slices.Equal(ids, n.requestedLinks) {
		n.requestedLinks = ids
		n.actions.RequestLinks(slices.Clone(ids))
	}
}

// Table returns what is known of all grants.
func (n *Node) Table() Table { return n.table }
