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

// minTickSeconds is the minimum time between two ticks.
const minTickSeconds = 0.001

// Node is one member's part in granting roles: voter, leader and lease holder. Calls must not overlap; see the package doc. Times
// are seconds of the member's own monotonic clock; a time before that of the previous call counts as the latter.
type Node struct {
	settings Settings
	self     swim.ID
	bootID   uint64 // drawn at the start of the process, never 0
	actions  Actions
	rng      *rand.Rand
	now      float64

	startedAt      float64
	members        []Member // sorted by ID
	membersAt      float64  // when SetMembers was last called; each Member's StateAgeSeconds is as of then
	requestedLinks []swim.ID
	loopback       []*Message // messages from this member to itself, handled at the end of a call

	// The persisted state, and messages that wait for it.
	serial          uint64 // of the last state that was passed to Persist
	persisting      bool   // HandlePersisted has not been called for it yet
	dirty           bool   // the state has changed since
	persistFailed   bool   // the last write failed
	persistRetryAt  float64
	deferred        []outgoing  // messages that depend on a state that has not been passed to Persist
	awaitingPersist []outgoing  // messages that depend on the state that is being written
	peers           []peerState // sorted by ID
	lineage         lineage     // of the last state that was passed to Persist
	retired         bool        // ReplaceIdentity was called: the Node does nothing more
	highestEpoch    uint64      // of any group that this member knows of

	promisedBallot    uint64
	acceptedFounding  *Founding
	persistedEpoch    uint64    // highestEpoch in the state that was last passed to Persist
	founding          *Founding // of the group that this member belongs to; nil: none
	proposal          *proposal
	ballotRound       uint64
	foundingDueAt     float64
	foundingQueriedAt float64
	contactedEpoch    uint64 // of a group that this member does not belong to and whose leader has sent it Raft messages
	group             *group

	table           Table
	tableQueryDueAt float64

	holderState
	leaderState
	stats Stats
}

// outgoing is a message that waits to be sent.
type outgoing struct {
	to swim.ID
	m  *Message
}

// New returns the Node of a member, which continues from a state that was passed to Persist; without a state it starts empty. An
// error wraps ErrInvalidState: the identity must then not be used any more, and the caller draws another. New itself does not call
// actions.
func New(now float64, self swim.ID, settings Settings, savedState []byte, actions Actions) (*Node, error) {
	n := &Node{settings: settings, self: self, actions: actions, now: now, startedAt: now, rng: rand.New(rand.NewPCG(settings.Seed, uint64(self)))}
	n.settings.Roles = slices.Sorted(slices.Values(settings.Roles))
	n.bootID = n.rng.Uint64() | 1
	n.renewalNumber = n.rng.Uint64() >> 1
	n.foundingDueAt = now + foundingRetrySeconds*n.rng.Float64()
	n.tableQueryDueAt = now + tableQueryIntervalSeconds*n.rng.Float64()
	n.bidDueAt = now + bidIntervalSeconds*(1+4*n.rng.Float64())
	if len(savedState) == 0 {
		return n, nil
	}
	saved, err := decodeState(savedState, self)
	if err != nil {
		return nil, err
	}
	n.lineage = saved.Lineage
	n.serial = saved.Serial
	n.highestEpoch, n.persistedEpoch = saved.Epoch, saved.Epoch
	n.promisedBallot, n.acceptedFounding, n.founding = saved.Promised, saved.Accepted, saved.Founding
	if n.founding != nil {
		if err := n.startGroup(saved.HardState, saved.Snapshot, saved.Entries); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// SetMembers replaces the list of members, sorted by ID and including this one. The Node keeps the slice.
func (n *Node) SetMembers(now float64, members []Member) {
	n.advanceTo(now)
	n.members, n.membersAt = members, n.now
	n.finishCall()
}

// memberByID returns a member, nil if it is not known.
func (n *Node) memberByID(id swim.ID) *Member {
	i, known := slices.BinarySearchFunc(n.members, id, func(m Member, id swim.ID) int { return cmp.Compare(m.ID, id) })
	if !known {
		return nil
	}
	return &n.members[i]
}

// isDurable reports whether this member can store its state.
func (n *Node) isDurable() bool {
	self := n.memberByID(n.self)
	return self != nil && self.Durable
}

// stateAgeSeconds returns how long ago a member's State last changed.
func (n *Node) stateAgeSeconds(m *Member) float64 { return m.StateAgeSeconds + n.now - n.membersAt }

// HandleLinkUp sends a member, once a link to it is up, what it may have missed without one.
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

// HandleMessage handles a message of another member. Its content is not trusted beyond what a message of this package can hold.
func (n *Node) HandleMessage(now float64, from swim.ID, m *Message) {
	n.advanceTo(now)
	if !n.retired {
		n.dispatch(from, m)
	}
	n.finishCall()
}

// dispatch handles each part of a message.
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

// handleRaft handles a Raft message. A member that does not belong to the message's group asks the sender for the group's
// founding.
func (n *Node) handleRaft(from swim.ID, m *Message) {
	switch {
	case n.founding != nil && n.founding.Epoch == m.Epoch:
		if n.group != nil {
			n.stepRaft(from, m.Raft)
		}
	case m.Epoch >= n.highestEpoch && n.now-n.foundingQueriedAt > raftTickSeconds && !n.leaving && !n.persistFailed:
		var raftMessage raftpb.Message
		if proto.Unmarshal(m.Raft, &raftMessage) != nil || !n.isDurable() {
			return
		}
		n.foundingQueriedAt = n.now
		switch raftMessage.GetType() {
		case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
			n.contactedEpoch = m.Epoch
		}
		n.actions.Send(from, &Message{Founding: &Founding{Step: StepQuery}})
	}
}

// Tick does what is due by time. The caller calls it at NextTick or soon after.
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
	if n.now >= n.tableQueryDueAt {
		n.tableQueryDueAt = n.now + tableQueryIntervalSeconds*(0.5+n.rng.Float64())
		n.actions.Broadcast(&Message{Table: &Table{Epoch: n.table.Epoch, Index: n.table.Index, Term: n.table.Term}}, 0)
	}
	n.finishCall()
}

// NextTick returns when Tick is due next, +Inf if never. It may change with every call.
func (n *Node) NextTick() float64 {
	if n.retired {
		return math.Inf(1)
	}
	next := n.tableQueryDueAt
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
	return max(min(next, n.holderNextTick(), n.leaderNextTick()), n.now+minTickSeconds)
}

// advanceTo sets the current time, and ends the leases that have expired by then.
func (n *Node) advanceTo(now float64) {
	n.now = max(n.now, now)
	n.expireLeases()
}

// finishCall does what Raft asks for, handles messages from this member to itself, and updates the requested links. Each call that
// changes anything ends with it.
func (n *Node) finishCall() {
	// If all voters lose their state, a member that founds another group must know the old epoch, or tokens start below those that
	// were granted before. So every durable member persists the highest epoch.
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

// send sends a message. One to this member itself goes through loopback.
func (n *Node) send(to swim.ID, m *Message) {
	if to == n.self {
		n.loopback = append(n.loopback, m)
	} else {
		n.actions.Send(to, m)
	}
}

// updateLinks requests links to the members that this one depends on.
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

// Table returns the newest table that this member knows. The caller must not change its slices.
func (n *Node) Table() Table { return n.table }
