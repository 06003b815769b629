package lease

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3"
	"pgregory.net/rapid"

	"hazelwheel/internal/decide/swim"
)

// cluster is three members whose words arrive at once.
type cluster struct {
	t     *testing.T
	now   float64
	all   []*testNode
	queue []func()
}

type testNode struct {
	cluster        *cluster
	id             swim.ID
	node           *Node
	state          []byte
	up             bool
	diskFull       bool // its disk
	diskStalled    bool // its disk ends no write
	muted          bool // its words are lost
	history        [][]byte
	replacedReason string // why the identity was given up

	record Record // of a role, as it was told last
}

func (s *testNode) Send(to swim.ID, m *Message) {
	for _, o := range s.cluster.all {
		if o.id == to {
			c := Message{}
			require.NoError(s.cluster.t, decode(encode(m), &c))
			s.cluster.queue = append(s.cluster.queue, func() {
				if o.up && s.up && !s.muted {
					o.node.HandleMessage(s.cluster.now, s.id, &c)
				}
			})
		}
	}
}
func (s *testNode) Broadcast(m *Message, except swim.ID) {
	for _, o := range s.cluster.all {
		if o != s && o.id != except {
			s.Send(o.id, m)
		}
	}
}
func (s *testNode) RequestLinks([]swim.ID) {}
func (s *testNode) Persist(b []byte) {
	if s.diskStalled {
		return
	}
	s.cluster.queue = append(s.cluster.queue, func() {
		if s.diskFull {
			s.node.HandlePersisted(s.cluster.now, errors.New("full"))
		} else {
			s.state, s.history = b, append(s.history, b)
			s.node.HandlePersisted(s.cluster.now, nil)
		}
	})
}
func (s *testNode) LeaseStarted(role string, token uint64)        {}
func (s *testNode) LeaseEnded(role string, t uint64, w EndReason) {}
func (s *testNode) RecordCommitted(r Record)                      { s.record = r }
func (s *testNode) ReplaceIdentity(why string)                    { s.replacedReason = why }
func (s *testNode) Log(string, ...any)                            {}

func (h *cluster) runUntil(at float64) {
	for h.now < at {
		for i := 0; len(h.queue) > 0; i++ {
			require.Less(h.t, i, 10000)
			f := h.queue[0]
			h.queue = h.queue[1:]
			f()
		}
		h.now += 0.01
		for _, s := range h.all {
			if s.up && s.node.NextTick() <= h.now {
				s.node.Tick(h.now)
			}
		}
	}
}

func newCluster(t *testing.T, n int, roles ...string) *cluster {
	h := &cluster{t: t, now: 100}
	set := Settings{Roles: roles, RecordedRoles: roles[:1]}
	for i := range 3 {
		set.InitialVoters = append(set.InitialVoters, fmt.Sprint("a", i))
	}
	var members []Member
	for i := range n {
		s := &testNode{cluster: h, id: swim.ID(i + 1), up: true}
		set.Address, set.Seed = fmt.Sprint("a", i), uint64(i)
		var err error
		s.node, err = New(h.now, s.id, set, nil, s)
		require.NoError(t, err)
		h.all = append(h.all, s)
		members = append(members, Member{ID: s.id, Address: set.Address, Durable: true})
	}
	for _, s := range h.all {
		s.node.SetMembers(h.now, members)
	}
	return h
}

func (h *cluster) holder(role string) (owner *testNode, token uint64) {
	for _, s := range h.all {
		if tok, ok := s.node.Holds(h.now, role); ok && s.up {
			require.Nil(h.t, owner, "two owners")
			owner, token = s, tok
		}
	}
	return owner, token
}

func TestNodesElectGrantAndRenew(t *testing.T) {
	h := newCluster(t, 5, "list", "report")
	h.runUntil(110)
	o, token := h.holder("list")
	require.NotNil(t, o)
	h.runUntil(130)
	again, same := h.holder("list")
	require.Equal(t, o, again)
	require.Equal(t, token, same, "renewed, not granted again")
	r, _ := h.holder("report")
	require.NotEqual(t, o, r, "spread")
	o.up = false
	h.runUntil(136)
	next, greater := h.holder("list")
	require.NotNil(t, next)
	require.NotEqual(t, o, next)
	require.Greater(t, greater, token)
}

// leader returns who leads.
func (h *cluster) leader() *testNode {
	for _, s := range h.all {
		if s.up && s.node.Stats().IsLeader {
			return s
		}
	}
	return nil
}

// What was given back is another's at once, whoever gives it back and why.
func TestReleasedRoleIsGrantedAtOnce(t *testing.T) {
	for name, give := range map[string]func(h *cluster, o *testNode){
		"unwilling": func(h *cluster, o *testNode) { o.node.SetWilling(h.now, "list", false) },
		"step-down": func(h *cluster, o *testNode) { h.all[4].node.RequestStepDown(h.now, "list") },
		"leaves":    func(h *cluster, o *testNode) { o.node.Leave(h.now) },
	} {
		h := newCluster(t, 5, "list")
		h.runUntil(110)
		o, token := h.holder("list")
		require.NotNil(t, o, name)
		give(h, o)
		h.runUntil(h.now + 0.2)
		next, greater := h.holder("list")
		require.NotNil(t, next, name)
		require.NotEqual(t, o.id, next.id, name)
		require.Equal(t, token+1, greater, name)
		if name == "leaves" {
			h.runUntil(h.now + 1)
			require.True(t, o.node.HasLeft())
			require.NotEqual(t, o, h.leader())
		}
	}
}

// Who comes back with an old copy of its state is told so by those that heard it later, and says nothing more under its identity.
func TestNodeWithOldStateReplacesItsIdentity(t *testing.T) {
	h := newCluster(t, 3, "list")
	h.runUntil(102)
	o := h.all[2]
	copied := o.state
	for range 5 {
		owner, _ := h.holder("list")
		if owner != nil {
			owner.node.RequestStepDown(h.now, "list")
		}
		h.runUntil(h.now + 1)
	}
	require.NotEqual(t, copied, o.state)
	back, err := New(h.now, o.id, o.node.settings, copied, o)
	require.NoError(t, err)
	back.SetMembers(h.now, o.node.members)
	o.node = back
	h.runUntil(h.now + 3)
	require.Contains(t, o.replacedReason, "old copy")
	require.Nil(t, back.group)
	require.True(t, back.HasLeft())
}

// Who comes back with a copy that is older by as many writes as it makes before it is heard has the serial that it had, and is told so
// none the less. Danger: the votes that it gave before count, and it may give them again.
func TestNodeThatWroteOnOldStateReplacesItsIdentity(t *testing.T) {
	for back := 1; back <= 3; back++ {
		h := newCluster(t, 3, "list")
		h.runUntil(110)
		handed := func() {
			was := h.leader()
			was.node.transferLeadership()
			h.runUntil(h.now + 0.5)
		}
		for h.leader() == h.all[2] || len(h.all[2].history) < 6 {
			handed()
		}
		o := h.all[2]
		last := o.node.serial
		o.muted, o.node.settings.Seed = true, 77
		next, err := New(h.now, o.id, o.node.settings, o.history[len(o.history)-1-back], o)
		require.NoError(t, err)
		next.SetMembers(h.now, o.node.members)
		o.node, o.history = next, nil
		for i := 0; o.node.serial < last; i++ { // each new leader is a write
			require.Less(t, i, 20)
			if l := h.leader(); l != nil && l != o {
				l.node.transferLeadership()
			}
			h.runUntil(h.now + 0.5)
			require.Empty(t, o.replacedReason)
		}
		require.Equal(t, last, o.node.serial)
		o.muted = false
		h.runUntil(h.now + 3)
		require.Contains(t, o.replacedReason, "old copy", "%d writes", back)
		require.Nil(t, o.node.group)
	}
}

// Who begins again with what it kept is believed at once, however often it does.
func TestRestartsOnLatestStateAreAccepted(t *testing.T) {
	h := newCluster(t, 3, "list")
	h.runUntil(110)
	for life := range uint64(3 * maxWriters) {
		o := h.all[life%3]
		o.node.settings.Seed = 1000 + life
		next, err := New(h.now, o.id, o.node.settings, o.state, o)
		require.NoError(t, err)
		next.SetMembers(h.now, o.node.members)
		o.node = next
		h.runUntil(h.now + 4)
		for _, s := range h.all {
			require.Empty(t, s.replacedReason)
			require.Zero(t, s.node.stats.DroppedStale)
			require.LessOrEqual(t, len(s.node.lineage), maxWriters)
		}
		require.NotNil(t, h.leader())
	}
	for _, s := range h.all {
		require.Len(t, s.node.lineage, maxWriters)
	}
}

// Who can't keep its state neither votes nor leads, and the others go on without it.
func TestNodeWithFullDiskDoesNotVote(t *testing.T) {
	h := newCluster(t, 3, "list")
	h.runUntil(110)
	was := h.leader()
	was.diskFull = true
	h.all[0].node.RequestStepDown(h.now, "list") // something to keep
	h.runUntil(h.now + 6)
	require.NotNil(t, h.leader())
	require.True(t, was.node.Stats().PersistFailed)
	o, _ := h.holder("list")
	require.NotNil(t, o)
	was.diskFull = false
	h.runUntil(h.now + 3)
	require.False(t, was.node.Stats().PersistFailed)
}

// Who has lost its quorum while its disk writes does not stand for election by raft's own draw, which no seed repeats.
func TestLeaderWithStalledDiskDoesNotCampaign(t *testing.T) {
	h := newCluster(t, 3, "list")
	h.runUntil(110)
	was := h.leader()
	was.diskStalled = true
	was.node.RequestStepDown(h.now, "list") // something to keep
	h.runUntil(h.now + 0.1)
	require.True(t, was.node.persisting)
	for _, s := range h.all {
		s.up = s == was
	}
	h.runUntil(h.now + 2*electionTimeoutSeconds)
	require.Equal(t, raft.StateFollower, was.node.group.rawNode.BasicStatus().RaftState)
	h.runUntil(h.now + 10*electionTimeoutSeconds)
	require.Equal(t, raft.StateFollower, was.node.group.rawNode.BasicStatus().RaftState)
}

// A state that is torn, or another's, is none.
func TestInvalidStateIsRejected(t *testing.T) {
	h := newCluster(t, 3, "list")
	h.runUntil(110)
	s := h.all[0]
	for cut := 1; cut < len(s.state); cut += 7 {
		_, err := New(h.now, s.id, s.node.settings, s.state[:cut], s)
		require.ErrorIs(t, err, ErrInvalidState, "%d", cut)
	}
	_, err := New(h.now, s.id+1, s.node.settings, s.state, s)
	require.ErrorIs(t, err, ErrInvalidState)
	kept, err := New(h.now, s.id, s.node.settings, s.state, s)
	require.NoError(t, err)
	was, _ := s.node.group.storage.LastIndex()
	is, _ := kept.group.storage.LastIndex()
	require.Equal(t, was, is)
	require.Equal(t, s.node.group.term, kept.group.term)
}

// Of the tokens of a role the greatest ever seen holds, also over a restart, and no other role's.
func TestFenceNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g Fence
		seen := map[string]uint64{}
		for range rapid.IntRange(1, 40).Draw(t, "effects") {
			role, token := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "role"), rapid.Uint64Range(1, 9).Draw(t, "token")
			ok, greatest := g.Admit(role, token)
			require.Equal(t, token >= seen[role], ok)
			seen[role] = max(seen[role], token)
			require.Equal(t, seen[role], greatest)
			if rapid.Bool().Draw(t, "restart") {
				var next Fence
				next.Restore(g.Highest())
				g = next
			}
		}
	})
}

// What is agreed of a role outlives its owners and leaders: each new owner is told of the last one before it does anything, versions grow
// one by one, and what an owner wrote under an earlier grant, or in place of an earlier version, is not kept.
func TestRecordOutlivesHolders(t *testing.T) {
	h := newCluster(t, 7, "works")
	h.runUntil(110)
	var last Record
	for round := range 12 {
		o, token := h.holder("works")
		require.NotNil(t, o, round)
		require.Equal(t, last.Version, o.record.Version, round)
		require.Equal(t, last.Body, o.record.Body, round)
		// An entry that was written again and again is kept once; several that are together more than is logged are a snapshot.
		body := append(make([]byte, 20<<10), byte(round))
		for range 3 {
			o.node.WriteRecord(h.now, "works", last.Version+1, body)
			h.runUntil(h.now + 0.1)
		}
		require.Equal(t, Record{"works", last.Version + 1, token, body}, o.record, round)
		last = o.record
		o.node.WriteRecord(h.now, "works", last.Version, []byte("earlier"))
		h.runUntil(h.now + 0.1)
		require.Equal(t, last, o.record)
		require.Less(t, len(o.state), 4*maxLogBytes)
		leader := h.leader()
		switch round % 3 {
		case 0:
			o.node.RequestStepDown(h.now, "works")
		case 1:
			o.up = false
		default:
			leader.up = false
		}
		h.runUntil(h.now + 8)
		for _, s := range h.all { // back as they were: links lost what came meanwhile
			if !s.up {
				back, err := New(h.now, s.id, s.node.settings, s.state, s)
				require.NoError(t, err)
				back.SetMembers(h.now, s.node.members)
				s.node, s.up = back, true
			}
		}
		h.runUntil(h.now + 4)
	}
	// The old owner's write comes in after all.
	o, token := h.holder("works")
	o.node.RequestStepDown(h.now, "works")
	h.runUntil(h.now + 4)
	next, _ := h.holder("works")
	require.NotEqual(t, o, next)
	h.leader().node.HandleMessage(h.now, o.id, &Message{WriteRecord: &Record{Role: "works", Version: last.Version + 1, Token: token, Body: []byte("old")}})
	h.runUntil(h.now + 1)
	require.Equal(t, last, next.record)
}
