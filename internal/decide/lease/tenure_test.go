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

// hall is three members whose words arrive at once.
type hall struct {
	t     *testing.T
	now   float64
	all   []*seat
	queue []func()
}

type seat struct {
	h     *hall
	id    swim.ID
	t     *Node
	saved []byte
	up    bool
	full  bool // its disk
	slow  bool // its disk ends no write
	mute  bool // its words are lost
	kept  [][]byte
	gone  string // why the identity was given up

	agreed Record // of a job, as it was told last
}

func (s *seat) Send(to swim.ID, m *Message) {
	for _, o := range s.h.all {
		if o.id == to {
			c := Message{}
			require.NoError(s.h.t, decode(encode(m), &c))
			s.h.queue = append(s.h.queue, func() {
				if o.up && s.up && !s.mute {
					o.t.HandleMessage(s.h.now, s.id, &c)
				}
			})
		}
	}
}
func (s *seat) Broadcast(m *Message, except swim.ID) {
	for _, o := range s.h.all {
		if o != s && o.id != except {
			s.Send(o.id, m)
		}
	}
}
func (s *seat) RequestLinks([]swim.ID) {}
func (s *seat) Persist(b []byte) {
	if s.slow {
		return
	}
	s.h.queue = append(s.h.queue, func() {
		if s.full {
			s.t.HandlePersisted(s.h.now, errors.New("full"))
		} else {
			s.saved, s.kept = b, append(s.kept, b)
			s.t.HandlePersisted(s.h.now, nil)
		}
	})
}
func (s *seat) LeaseStarted(job string, token uint64)     {}
func (s *seat) LeaseEnded(job string, t uint64, w string) {}
func (s *seat) RecordCommitted(r Record)                  { s.agreed = r }
func (s *seat) ReplaceIdentity(why string)                { s.gone = why }
func (s *seat) Log(string, ...any)                        {}

func (h *hall) until(at float64) {
	for h.now < at {
		for i := 0; len(h.queue) > 0; i++ {
			require.Less(h.t, i, 10000)
			f := h.queue[0]
			h.queue = h.queue[1:]
			f()
		}
		h.now += 0.01
		for _, s := range h.all {
			if s.up && s.t.NextTick() <= h.now {
				s.t.Tick(h.now)
			}
		}
	}
}

func newHall(t *testing.T, n int, jobs ...string) *hall {
	h := &hall{t: t, now: 100}
	set := Settings{Roles: jobs, RecordedRoles: jobs[:1]}
	for i := range 3 {
		set.InitialVoters = append(set.InitialVoters, fmt.Sprint("a", i))
	}
	var members []Member
	for i := range n {
		s := &seat{h: h, id: swim.ID(i + 1), up: true}
		set.Address, set.Seed = fmt.Sprint("a", i), uint64(i)
		var err error
		s.t, err = New(h.now, s.id, set, nil, s)
		require.NoError(t, err)
		h.all = append(h.all, s)
		members = append(members, Member{ID: s.id, Address: set.Address, Durable: true})
	}
	for _, s := range h.all {
		s.t.SetMembers(h.now, members)
	}
	return h
}

func (h *hall) owner(job string) (owner *seat, token uint64) {
	for _, s := range h.all {
		if tok, ok := s.t.Holds(h.now, job); ok && s.up {
			require.Nil(h.t, owner, "two owners")
			owner, token = s, tok
		}
	}
	return owner, token
}

func TestElectsGrantsRenews(t *testing.T) {
	h := newHall(t, 5, "list", "report")
	h.until(110)
	o, token := h.owner("list")
	require.NotNil(t, o)
	h.until(130)
	again, same := h.owner("list")
	require.Equal(t, o, again)
	require.Equal(t, token, same, "renewed, not granted again")
	r, _ := h.owner("report")
	require.NotEqual(t, o, r, "spread")
	o.up = false
	h.until(136)
	next, greater := h.owner("list")
	require.NotNil(t, next)
	require.NotEqual(t, o, next)
	require.Greater(t, greater, token)
}

// leader returns who leads.
func (h *hall) leader() *seat {
	for _, s := range h.all {
		if s.up && s.t.Stats().IsLeader {
			return s
		}
	}
	return nil
}

// What was given back is another's at once, whoever gives it back and why.
func TestGivenBackIsGrantedAtOnce(t *testing.T) {
	for name, give := range map[string]func(h *hall, o *seat){
		"unwilling": func(h *hall, o *seat) { o.t.SetWilling(h.now, "list", false) },
		"step-down": func(h *hall, o *seat) { h.all[4].t.RequestStepDown(h.now, "list") },
		"leaves":    func(h *hall, o *seat) { o.t.Leave(h.now) },
	} {
		h := newHall(t, 5, "list")
		h.until(110)
		o, token := h.owner("list")
		require.NotNil(t, o, name)
		give(h, o)
		h.until(h.now + 0.2)
		next, greater := h.owner("list")
		require.NotNil(t, next, name)
		require.NotEqual(t, o.id, next.id, name)
		require.Equal(t, token+1, greater, name)
		if name == "leaves" {
			h.until(h.now + 1)
			require.True(t, o.t.HasLeft())
			require.NotEqual(t, o, h.leader())
		}
	}
}

// Who comes back with an old copy of its state is told so by those that heard it later, and says nothing more under its identity.
func TestOldCopyIsGivenUp(t *testing.T) {
	h := newHall(t, 3, "list")
	h.until(102)
	o := h.all[2]
	copied := o.saved
	for range 5 {
		owner, _ := h.owner("list")
		if owner != nil {
			owner.t.RequestStepDown(h.now, "list")
		}
		h.until(h.now + 1)
	}
	require.NotEqual(t, copied, o.saved)
	back, err := New(h.now, o.id, o.t.settings, copied, o)
	require.NoError(t, err)
	back.SetMembers(h.now, o.t.members)
	o.t = back
	h.until(h.now + 3)
	require.Contains(t, o.gone, "old copy")
	require.Nil(t, back.group)
	require.True(t, back.HasLeft())
}

// Who comes back with a copy that is older by as many writes as it makes before it is heard has the serial that it had, and is told so
// none the less. Danger: the votes that it gave before count, and it may give them again.
func TestOldCopyThatWritesIsGivenUp(t *testing.T) {
	for back := 1; back <= 3; back++ {
		h := newHall(t, 3, "list")
		h.until(110)
		handed := func() {
			was := h.leader()
			was.t.transferLeadership()
			h.until(h.now + 0.5)
		}
		for h.leader() == h.all[2] || len(h.all[2].kept) < 6 {
			handed()
		}
		o := h.all[2]
		last := o.t.serial
		o.mute, o.t.settings.Seed = true, 77
		next, err := New(h.now, o.id, o.t.settings, o.kept[len(o.kept)-1-back], o)
		require.NoError(t, err)
		next.SetMembers(h.now, o.t.members)
		o.t, o.kept = next, nil
		for i := 0; o.t.serial < last; i++ { // each new leader is a write
			require.Less(t, i, 20)
			if l := h.leader(); l != nil && l != o {
				l.t.transferLeadership()
			}
			h.until(h.now + 0.5)
			require.Empty(t, o.gone)
		}
		require.Equal(t, last, o.t.serial)
		o.mute = false
		h.until(h.now + 3)
		require.Contains(t, o.gone, "old copy", "%d writes", back)
		require.Nil(t, o.t.group)
	}
}

// Who begins again with what it kept is believed at once, however often it does.
func TestLivesOfOneStateAreBelieved(t *testing.T) {
	h := newHall(t, 3, "list")
	h.until(110)
	for life := range uint64(3 * maxWriters) {
		o := h.all[life%3]
		o.t.settings.Seed = 1000 + life
		next, err := New(h.now, o.id, o.t.settings, o.saved, o)
		require.NoError(t, err)
		next.SetMembers(h.now, o.t.members)
		o.t = next
		h.until(h.now + 4)
		for _, s := range h.all {
			require.Empty(t, s.gone)
			require.Zero(t, s.t.stats.DroppedStale)
			require.LessOrEqual(t, len(s.t.lineage), maxWriters)
		}
		require.NotNil(t, h.leader())
	}
	for _, s := range h.all {
		require.Len(t, s.t.lineage, maxWriters)
	}
}

// Who can't keep its state neither votes nor leads, and the others go on without it.
func TestFullDiskVotesNoMore(t *testing.T) {
	h := newHall(t, 3, "list")
	h.until(110)
	was := h.leader()
	was.full = true
	h.all[0].t.RequestStepDown(h.now, "list") // something to keep
	h.until(h.now + 6)
	require.NotNil(t, h.leader())
	require.True(t, was.t.Stats().PersistFailed)
	o, _ := h.owner("list")
	require.NotNil(t, o)
	was.full = false
	h.until(h.now + 3)
	require.False(t, was.t.Stats().PersistFailed)
}

// Who has lost its quorum while its disk writes does not stand for election by raft's own draw, which no seed repeats.
func TestSlowDiskDrawsNoElection(t *testing.T) {
	h := newHall(t, 3, "list")
	h.until(110)
	was := h.leader()
	was.slow = true
	was.t.RequestStepDown(h.now, "list") // something to keep
	h.until(h.now + 0.1)
	require.True(t, was.t.persisting)
	for _, s := range h.all {
		s.up = s == was
	}
	h.until(h.now + 2*electionTimeoutSeconds)
	require.Equal(t, raft.StateFollower, was.t.group.rawNode.BasicStatus().RaftState)
	h.until(h.now + 10*electionTimeoutSeconds)
	require.Equal(t, raft.StateFollower, was.t.group.rawNode.BasicStatus().RaftState)
}

// A state that is torn, or another's, is none.
func TestStateIsWholeOrNone(t *testing.T) {
	h := newHall(t, 3, "list")
	h.until(110)
	s := h.all[0]
	for cut := 1; cut < len(s.saved); cut += 7 {
		_, err := New(h.now, s.id, s.t.settings, s.saved[:cut], s)
		require.ErrorIs(t, err, ErrInvalidState, "%d", cut)
	}
	_, err := New(h.now, s.id+1, s.t.settings, s.saved, s)
	require.ErrorIs(t, err, ErrInvalidState)
	kept, err := New(h.now, s.id, s.t.settings, s.saved, s)
	require.NoError(t, err)
	was, _ := s.t.group.storage.LastIndex()
	is, _ := kept.group.storage.LastIndex()
	require.Equal(t, was, is)
	require.Equal(t, s.t.group.term, kept.group.term)
}

// Of the tokens of a job the greatest ever seen holds, also over a restart, and no other job's.
func TestGreatestOnlyGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g Fence
		seen := map[string]uint64{}
		for range rapid.IntRange(1, 40).Draw(t, "effects") {
			job, token := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job"), rapid.Uint64Range(1, 9).Draw(t, "token")
			ok, greatest := g.Admit(job, token)
			require.Equal(t, token >= seen[job], ok)
			seen[job] = max(seen[job], token)
			require.Equal(t, seen[job], greatest)
			if rapid.Bool().Draw(t, "restart") {
				var next Fence
				next.Restore(g.Highest())
				g = next
			}
		}
	})
}

// What is agreed of a job outlives its owners and leaders: each new owner is told of the last one before it does anything, versions grow
// one by one, and what an owner wrote under an earlier grant, or in place of an earlier version, is not kept.
func TestRecordOutlivesOwners(t *testing.T) {
	h := newHall(t, 7, "works")
	h.until(110)
	var last Record
	for round := range 12 {
		o, token := h.owner("works")
		require.NotNil(t, o, round)
		require.Equal(t, last.Version, o.agreed.Version, round)
		require.Equal(t, last.Body, o.agreed.Body, round)
		// An entry that was written again and again is kept once; several that are together more than is logged are a snapshot.
		body := append(make([]byte, 20<<10), byte(round))
		for range 3 {
			o.t.WriteRecord(h.now, "works", last.Version+1, body)
			h.until(h.now + 0.1)
		}
		require.Equal(t, Record{"works", last.Version + 1, token, body}, o.agreed, round)
		last = o.agreed
		o.t.WriteRecord(h.now, "works", last.Version, []byte("earlier"))
		h.until(h.now + 0.1)
		require.Equal(t, last, o.agreed)
		require.Less(t, len(o.saved), 4*maxLogBytes)
		leader := h.leader()
		switch round % 3 {
		case 0:
			o.t.RequestStepDown(h.now, "works")
		case 1:
			o.up = false
		default:
			leader.up = false
		}
		h.until(h.now + 8)
		for _, s := range h.all { // back as they were: links lost what came meanwhile
			if !s.up {
				back, err := New(h.now, s.id, s.t.settings, s.saved, s)
				require.NoError(t, err)
				back.SetMembers(h.now, s.t.members)
				s.t, s.up = back, true
			}
		}
		h.until(h.now + 4)
	}
	// The old owner's write comes in after all.
	o, token := h.owner("works")
	o.t.RequestStepDown(h.now, "works")
	h.until(h.now + 4)
	next, _ := h.owner("works")
	require.NotEqual(t, o, next)
	h.leader().t.HandleMessage(h.now, o.id, &Message{WriteRecord: &Record{Role: "works", Version: last.Version + 1, Token: token, Body: []byte("old")}})
	h.until(h.now + 1)
	require.Equal(t, last, next.agreed)
}
