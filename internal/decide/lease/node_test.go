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

// cluster is a number of nodes, three of them initial voters, whose messages arrive without delay.
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
	diskFull       bool
	diskStalled    bool // writes never finish
	muted          bool // its messages are lost
	history        [][]byte
	replacedReason string // passed to ReplaceIdentity; empty: it was not called

	record Record // of the last RecordCommitted
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
func (s *testNode) LeaseStarted(role string, token uint64)                 {}
func (s *testNode) LeaseEnded(role string, token uint64, reason EndReason) {}
func (s *testNode) RecordCommitted(r Record)                               { s.record = r }
func (s *testNode) ReplaceIdentity(reason string)                          { s.replacedReason = reason }
func (s *testNode) Log(string, ...any)                                     {}

func (c *cluster) runUntil(at float64) {
	for c.now < at {
		for i := 0; len(c.queue) > 0; i++ {
			require.Less(c.t, i, 10000)
			f := c.queue[0]
			c.queue = c.queue[1:]
			f()
		}
		c.now += 0.01
		for _, node := range c.all {
			if node.up && node.node.NextTick() <= c.now {
				node.node.Tick(c.now)
			}
		}
	}
}

func newCluster(t *testing.T, n int, roles ...string) *cluster {
	c := &cluster{t: t, now: 100}
	settings := Settings{Roles: roles, RecordedRoles: roles[:1]}
	for i := range 3 {
		settings.InitialVoters = append(settings.InitialVoters, fmt.Sprint("a", i))
	}
	var members []Member
	for i := range n {
		node := &testNode{cluster: c, id: swim.ID(i + 1), up: true}
		settings.Address, settings.Seed = fmt.Sprint("a", i), uint64(i)
		var err error
		node.node, err = New(c.now, node.id, settings, nil, node)
		require.NoError(t, err)
		c.all = append(c.all, node)
		members = append(members, Member{ID: node.id, Address: settings.Address, Durable: true})
	}
	for _, node := range c.all {
		node.node.SetMembers(c.now, members)
	}
	return c
}

func (c *cluster) holder(role string) (holder *testNode, token uint64) {
	for _, node := range c.all {
		if heldToken, ok := node.node.Holds(c.now, role); ok && node.up {
			require.Nil(c.t, holder, "two holders")
			holder, token = node, heldToken
		}
	}
	return holder, token
}

func TestNodesElectGrantAndRenew(t *testing.T) {
	c := newCluster(t, 5, "list", "report")
	c.runUntil(110)
	holder, token := c.holder("list")
	require.NotNil(t, holder)
	c.runUntil(130)
	later, laterToken := c.holder("list")
	require.Equal(t, holder, later)
	require.Equal(t, token, laterToken, "renewed, not granted again")
	other, _ := c.holder("report")
	require.NotEqual(t, holder, other, "spread")
	holder.up = false
	c.runUntil(136)
	next, nextToken := c.holder("list")
	require.NotNil(t, next)
	require.NotEqual(t, holder, next)
	require.Greater(t, nextToken, token)
}

// leader returns the node that leads, nil if there is none.
func (c *cluster) leader() *testNode {
	for _, node := range c.all {
		if node.up && node.node.Stats().IsLeader {
			return node
		}
	}
	return nil
}

// A role that its holder releases is granted to another member at once, whatever the reason.
func TestReleasedRoleIsGrantedAtOnce(t *testing.T) {
	for name, release := range map[string]func(c *cluster, holder *testNode){
		"unwilling": func(c *cluster, holder *testNode) { holder.node.SetWilling(c.now, "list", false) },
		"step-down": func(c *cluster, holder *testNode) { c.all[4].node.RequestStepDown(c.now, "list") },
		"leaves":    func(c *cluster, holder *testNode) { holder.node.Leave(c.now) },
	} {
		c := newCluster(t, 5, "list")
		c.runUntil(110)
		holder, token := c.holder("list")
		require.NotNil(t, holder, name)
		release(c, holder)
		c.runUntil(c.now + 0.2)
		next, nextToken := c.holder("list")
		require.NotNil(t, next, name)
		require.NotEqual(t, holder.id, next.id, name)
		require.Equal(t, token+1, nextToken, name)
		if name == "leaves" {
			c.runUntil(c.now + 1)
			require.True(t, holder.node.HasLeft())
			require.NotEqual(t, holder, c.leader())
		}
	}
}

// A node that restarts on an old copy of its state learns so from peers that know a later one, and replaces its identity.
func TestNodeWithOldStateReplacesItsIdentity(t *testing.T) {
	c := newCluster(t, 3, "list")
	c.runUntil(102)
	node := c.all[2]
	copied := node.state
	for range 5 {
		holder, _ := c.holder("list")
		if holder != nil {
			holder.node.RequestStepDown(c.now, "list")
		}
		c.runUntil(c.now + 1)
	}
	require.NotEqual(t, copied, node.state)
	restarted, err := New(c.now, node.id, node.node.settings, copied, node)
	require.NoError(t, err)
	restarted.SetMembers(c.now, node.node.members)
	node.node = restarted
	c.runUntil(c.now + 3)
	require.Contains(t, node.replacedReason, "old copy")
	require.Nil(t, restarted.group)
	require.True(t, restarted.HasLeft())
}

// A node that restarts on an old copy of its state, and writes it as often as the copy lacks writes before its first message, has
// the same serial as before the restart. Peers detect it by the lineage: otherwise it could give the votes of the lost writes
// again.
func TestNodeThatWroteOnOldStateReplacesItsIdentity(t *testing.T) {
	for back := 1; back <= 3; back++ {
		c := newCluster(t, 3, "list")
		c.runUntil(110)
		transfer := func() {
			former := c.leader()
			former.node.transferLeadership()
			c.runUntil(c.now + 0.5)
		}
		for c.leader() == c.all[2] || len(c.all[2].history) < 6 {
			transfer()
		}
		node := c.all[2]
		last := node.node.serial
		node.muted, node.node.settings.Seed = true, 77
		restarted, err := New(c.now, node.id, node.node.settings, node.history[len(node.history)-1-back], node)
		require.NoError(t, err)
		restarted.SetMembers(c.now, node.node.members)
		node.node, node.history = restarted, nil
		for i := 0; node.node.serial < last; i++ { // each election is a write
			require.Less(t, i, 20)
			if l := c.leader(); l != nil && l != node {
				l.node.transferLeadership()
			}
			c.runUntil(c.now + 0.5)
			require.Empty(t, node.replacedReason)
		}
		require.Equal(t, last, node.node.serial)
		node.muted = false
		c.runUntil(c.now + 3)
		require.Contains(t, node.replacedReason, "old copy", "%d writes", back)
		require.Nil(t, node.node.group)
	}
}

// A node that restarts on its latest state is accepted at once, however often it restarts.
func TestRestartsOnLatestStateAreAccepted(t *testing.T) {
	c := newCluster(t, 3, "list")
	c.runUntil(110)
	for boot := range uint64(3 * maxWriters) {
		node := c.all[boot%3]
		node.node.settings.Seed = 1000 + boot
		restarted, err := New(c.now, node.id, node.node.settings, node.state, node)
		require.NoError(t, err)
		restarted.SetMembers(c.now, node.node.members)
		node.node = restarted
		c.runUntil(c.now + 4)
		for _, s := range c.all {
			require.Empty(t, s.replacedReason)
			require.Zero(t, s.node.stats.DroppedStale)
			require.LessOrEqual(t, len(s.node.lineage), maxWriters)
		}
		require.NotNil(t, c.leader())
	}
	for _, s := range c.all {
		require.Len(t, s.node.lineage, maxWriters)
	}
}

// A node that can't persist its state neither votes nor leads, and the others continue without it.
func TestNodeWithFullDiskDoesNotVote(t *testing.T) {
	c := newCluster(t, 3, "list")
	c.runUntil(110)
	leader := c.leader()
	leader.diskFull = true
	c.all[0].node.RequestStepDown(c.now, "list") // a grant is a write
	c.runUntil(c.now + 6)
	require.NotNil(t, c.leader())
	require.True(t, leader.node.Stats().PersistFailed)
	holder, _ := c.holder("list")
	require.NotNil(t, holder)
	leader.diskFull = false
	c.runUntil(c.now + 3)
	require.False(t, leader.node.Stats().PersistFailed)
}

// A leader that loses its quorum while a write is pending does not campaign by Raft's own timer, which is not drawn from the
// seed.
func TestLeaderWithStalledDiskDoesNotCampaign(t *testing.T) {
	c := newCluster(t, 3, "list")
	c.runUntil(110)
	leader := c.leader()
	leader.diskStalled = true
	leader.node.RequestStepDown(c.now, "list") // a grant is a write
	c.runUntil(c.now + 0.1)
	require.True(t, leader.node.persisting)
	for _, s := range c.all {
		s.up = s == leader
	}
	c.runUntil(c.now + 2*electionTimeoutSeconds)
	require.Equal(t, raft.StateFollower, leader.node.group.rawNode.BasicStatus().RaftState)
	c.runUntil(c.now + 10*electionTimeoutSeconds)
	require.Equal(t, raft.StateFollower, leader.node.group.rawNode.BasicStatus().RaftState)
}

// A truncated state, or one of another member, is rejected as a whole.
func TestInvalidStateIsRejected(t *testing.T) {
	c := newCluster(t, 3, "list")
	c.runUntil(110)
	s := c.all[0]
	for cut := 1; cut < len(s.state); cut += 7 {
		_, err := New(c.now, s.id, s.node.settings, s.state[:cut], s)
		require.ErrorIs(t, err, ErrInvalidState, "%d", cut)
	}
	_, err := New(c.now, s.id+1, s.node.settings, s.state, s)
	require.ErrorIs(t, err, ErrInvalidState)
	restarted, err := New(c.now, s.id, s.node.settings, s.state, s)
	require.NoError(t, err)
	before, _ := s.node.group.storage.LastIndex()
	after, _ := restarted.group.storage.LastIndex()
	require.Equal(t, before, after)
	require.Equal(t, s.node.group.term, restarted.group.term)
}

// A fence admits tokens from the highest seen of a role on, also after a restart, and roles do not affect each other.
func TestFenceNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var fence Fence
		seen := map[string]uint64{}
		for range rapid.IntRange(1, 40).Draw(t, "effects") {
			role, token := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "role"), rapid.Uint64Range(1, 9).Draw(t, "token")
			ok, highest := fence.Admit(role, token)
			require.Equal(t, token >= seen[role], ok)
			seen[role] = max(seen[role], token)
			require.Equal(t, seen[role], highest)
			if rapid.Bool().Draw(t, "restart") {
				var next Fence
				next.Restore(fence.Highest())
				fence = next
			}
		}
	})
}

// A role's record outlives its holders and leaders: a new holder gets the last version when its lease starts, versions grow by one,
// and writes under an earlier grant or in place of an earlier version are rejected.
func TestRecordOutlivesHolders(t *testing.T) {
	c := newCluster(t, 7, "works")
	c.runUntil(110)
	var last Record
	for round := range 12 {
		holder, token := c.holder("works")
		require.NotNil(t, holder, round)
		require.Equal(t, last.Version, holder.record.Version, round)
		require.Equal(t, last.Body, holder.record.Body, round)
		// A version that is proposed several times is committed once; entries above maxLogBytes are compacted into a snapshot.
		body := append(make([]byte, 20<<10), byte(round))
		for range 3 {
			holder.node.WriteRecord(c.now, "works", last.Version+1, body)
			c.runUntil(c.now + 0.1)
		}
		require.Equal(t, Record{"works", last.Version + 1, token, body}, holder.record, round)
		last = holder.record
		holder.node.WriteRecord(c.now, "works", last.Version, []byte("earlier"))
		c.runUntil(c.now + 0.1)
		require.Equal(t, last, holder.record)
		require.Less(t, len(holder.state), 4*maxLogBytes)
		leader := c.leader()
		switch round % 3 {
		case 0:
			holder.node.RequestStepDown(c.now, "works")
		case 1:
			holder.up = false
		default:
			leader.up = false
		}
		c.runUntil(c.now + 8)
		for _, s := range c.all { // restart on their own state
			if !s.up {
				restarted, err := New(c.now, s.id, s.node.settings, s.state, s)
				require.NoError(t, err)
				restarted.SetMembers(c.now, s.node.members)
				s.node, s.up = restarted, true
			}
		}
		c.runUntil(c.now + 4)
	}
	// A write of the former holder comes in late.
	holder, token := c.holder("works")
	holder.node.RequestStepDown(c.now, "works")
	c.runUntil(c.now + 4)
	next, _ := c.holder("works")
	require.NotEqual(t, holder, next)
	c.leader().node.HandleMessage(c.now, holder.id, &Message{WriteRecord: &Record{Role: "works", Version: last.Version + 1, Token: token, Body: []byte("old")}})
	c.runUntil(c.now + 1)
	require.Equal(t, last, next.record)
}
