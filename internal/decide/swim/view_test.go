package swim

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawRecord(t *rapid.T) Record {
	r := Record{ID: 1, Version: Version{Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"), BootID: rapid.Uint64Range(1, 2).Draw(t, "boot ID")},
		State: State(rapid.IntRange(0, int(Left)).Draw(t, "state")), Address: "a", Durable: rapid.Bool().Draw(t, "durable")}
	if r.State == Suspect {
		r.Accusers = mergeAccusers(rapid.SliceOfN(rapid.Map(rapid.Uint64Range(1, 5), func(n uint64) ID { return ID(n) }), 1, 3).Draw(t, "accusers"), nil)
	}
	return r
}

// TestMergeIsAJoin checks that Merge is commutative, associative and idempotent: the result doesn't depend on the order in which records
// arrive, nor on how often.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t), drawRecord(t), drawRecord(t)
		merge := func(a, b Record) Record {
			m, changed := Merge(a, b)
			if !changed {
				require.Equal(t, a, m)
			}
			return m
		}
		require.Equal(t, merge(a, b), merge(b, a))
		require.Equal(t, merge(merge(a, b), c), merge(a, merge(b, c)))
		require.Equal(t, a, merge(a, a))
		m := merge(a, b)
		require.GreaterOrEqual(t, m.Version.Compare(a.Version), 0, "no old incarnation prevails")
		if m.Version == a.Version {
			require.GreaterOrEqual(t, m.State, a.State)
		}
	})
}

// TestStableRank checks that a short change of the rank has no effect, a lasting one is adopted, a rank that keeps changing is adopted
// from time to time, and a member that knows no other one uses its configured rank.
func TestStableRank(t *testing.T) {
	p := NewStableRank(4, 5)
	now := 100.0
	observe := func(rank, count int, seconds float64) (changes int) {
		for end := now + seconds; now < end; now += 0.25 {
			if p.Update(now, rank, count) {
				changes++
			}
		}
		return changes
	}
	assertCurrent := func(rank, count int) {
		t.Helper()
		r, c := p.Current()
		assert.Equal(t, [2]int{rank, count}, [2]int{r, c})
	}
	assertCurrent(4, 5)
	assert.Zero(t, observe(0, 1, 30), "alone")
	assert.True(t, p.IsConfigured())
	assert.Equal(t, 1, observe(4, 5, 10), "an observed rank replaces the configured one even if the numbers are equal")
	assert.False(t, p.IsConfigured())
	for range 20 {
		assert.Zero(t, observe(3, 5, 1)+observe(4, 5, 1))
	}
	assert.Equal(t, 1, observe(7, 60, 10))
	assertCurrent(7, 60)
	changes := 0
	for i := range 40 {
		changes += observe(7, 61+i, 0.5)
	}
	assert.InDelta(t, 3, changes, 1, "a rank that keeps changing is adopted from time to time")
	observe(7, 100, 5)
	assertCurrent(7, 100)
	observe(0, 1, 5)
	assertCurrent(4, 5)
	assert.True(t, p.IsConfigured())
	observe(1_000_003, 2_000_000, 5)
	r, c := p.Current()
	assert.Equal(t, 5*maxScale, c, "a count far from the configured one is bounded")
	assert.Less(t, r, c)
}

// noActions ignores all actions and counts the sent messages.
type noActions struct{ sent int }

func (*noActions) Dial(string)                       {}
func (a *noActions) Send(int, *Message)              { a.sent++ }
func (*noActions) Close(int)                         {}
func (*noActions) MemberChanged(Record, State, bool) {}
func (*noActions) ReplaceIdentity(string)            {}

// dialRecorder records the addresses that a View dials.
type dialRecorder struct {
	noActions
	addresses map[string]bool
}

func (d *dialRecorder) Dial(address string) { d.addresses[address] = true }

// breakingLinks breaks one link when a record is sent over it: it calls LinkDown before Send returns, as a network may do.
type breakingLinks struct {
	noActions
	view    *View
	breaks  int         // number of the link that breaks; 0 after it broke
	updates map[int]int // messages with records, by link
}

func (b *breakingLinks) Send(link int, m *Message) {
	if len(m.Records) > 0 {
		b.updates[link]++
	}
	if link == b.breaks && len(m.Records) > 0 {
		b.breaks = 0
		b.view.LinkDown(100, link)
	}
}

// TestLinkEndsDuringUpdates checks that the other links still get the updates if a link breaks while they are sent.
func TestLinkEndsDuringUpdates(t *testing.T) {
	for breaks := 1; breaks <= 5; breaks++ {
		actions := &breakingLinks{updates: map[int]int{}}
		actions.view = New(100, Record{ID: 1, Version: Version{1 << 32, 1}, Address: "self:1"}, Settings{Seed: 1}, actions)
		hello := func(id ID) Hello {
			return Hello{Self: Record{ID: id, Version: Version{1 << 32, 1}, Address: ID.String(id)}}
		}
		for number := 1; number <= 5; number++ {
			actions.view.LinkUp(100, number, "", hello(ID(number+1)))
		}
		clear(actions.updates)
		actions.breaks = breaks
		actions.view.HandleMessage(100, 5, &Message{Records: []Record{hello(99).Self}})
		for number := 1; number <= 4; number++ {
			assert.Positive(t, actions.updates[number], "link %d, %d breaks", number, breaks)
		}
		assert.Equal(t, breaks == 5, actions.breaks == 5, "an update is not sent over the link that it came over")
	}
}

// TestRequestLinks checks that links are kept to the requested members, but to at most maxRequestedLinks, and to none that is dead or
// left.
func TestRequestLinks(t *testing.T) {
	actions := &dialRecorder{addresses: map[string]bool{}}
	v := New(100, Record{ID: 1, Version: Version{1 << 32, 1}, Address: "self:1"}, Settings{Seed: 1}, actions)
	hello := func(id ID) Hello {
		return Hello{Self: Record{ID: id, Version: Version{1 << 32, 1}, Address: ID.String(id)}}
	}
	m := &Message{}
	for id := ID(2); id < 60; id++ {
		m.Records = append(m.Records, hello(id).Self)
	}
	v.LinkUp(100, 1, "", hello(60))
	v.HandleMessage(100, 1, m)
	clear(actions.addresses)
	var ids []ID
	for id := ID(2); id < 40; id++ {
		ids = append(ids, id)
	}
	v.RequestLinks(100.1, ids)
	wanted := 0
	for _, e := range v.entries {
		if e.isNeighbor {
			wanted++
		}
	}
	assert.LessOrEqual(t, wanted, maxRequestedLinks+ringCount*1)
	assert.GreaterOrEqual(t, wanted, maxRequestedLinks)
	for _, id := range ids[:maxRequestedLinks] {
		assert.True(t, v.byID[id].isNeighbor && v.byID[id].isDialing, "%s", id)
	}
	v.LinkUp(100.2, 2, ID.String(2), hello(2))
	v.Tick(100.5)
	require.NotNil(t, v.byID[2].link, "a requested link stays up")
	dead := hello(3).Self
	dead.State = Left
	v.HandleMessage(100.6, 1, &Message{Records: []Record{dead}})
	assert.False(t, v.byID[3].isNeighbor)
	v.RequestLinks(100.7, nil)
	left := 0
	for _, e := range v.entries {
		if e.isNeighbor {
			left++
		}
	}
	assert.LessOrEqual(t, left, ringCount)
}

// TestViewHandlesArbitraryMessages checks that whatever peers send, no call panics, and ranks, the own incarnation and the number of members
// stay within their bounds.
func TestViewHandlesArbitraryMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := Record{ID: 1, Version: Version{Incarnation: 1 << 32, BootID: 1}, Name: "self", Address: "self:1"}
		friend := Record{ID: 2, Version: Version{Incarnation: 1 << 32, BootID: 1}, Name: "friend", Address: "friend:1"}
		v, now := New(100, self, Settings{Seed: 1}, &noActions{}), 100.0
		v.LinkUp(now, 1, "", Hello{Self: friend})
		number := 1
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 2).Draw(t, "wait")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				v.Tick(now)
			case 1:
				number++
				r := drawRecord(t)
				r.ID = ID(rapid.Uint64Range(0, 6).Draw(t, "id"))
				v.LinkUp(now, number, "", Hello{Self: r})
			case 2:
				v.RequestLinks(now, []ID{ID(rapid.Uint64Range(0, 6).Draw(t, "wanted"))})
				v.LinkDown(now, rapid.IntRange(2, number+1).Draw(t, "link"))
			default:
				m := &Message{Closing: rapid.IntRange(0, 9).Draw(t, "closing") == 0, BucketDigests: make([]uint64, rapid.SampledFrom([]int{0, 3, 64}).Draw(t, "digests"))}
				for range rapid.IntRange(0, 5).Draw(t, "records") {
					r := drawRecord(t)
					r.ID, r.AgeSeconds = ID(rapid.Uint64Range(0, 6).Draw(t, "id")), rapid.Float64Range(-1, 700).Draw(t, "age")
					r.Version.Incarnation = rapid.SampledFrom([]uint64{0, 1 << 32, 1<<32 + 1, 1 << 61, 1<<64 - 1}).Draw(t, "incarnation")
					m.Records = append(m.Records, r)
				}
				v.HandleMessage(now, rapid.IntRange(1, number+1).Draw(t, "link"), m)
			}
			rank, count := v.Rank(DeadHoldSeconds)
			require.Less(t, rank, count)
			require.Less(t, v.Self().Version.Incarnation, uint64(1)<<62)
			seen, last := 0, ID(0)
			for m := range v.Members {
				if seen++; seen > 1 {
					require.Greater(t, m.ID, last)
				}
				last = m.ID
			}
			require.LessOrEqual(t, seen, 8)
		}
	})
}

// TestNewMemberOfLargeFleetLearnsOfNewcomers checks a member that joins a fleet larger than the limit on newcomers. It must accept
// further newcomers at once, even if other peers reported the fleet before its first link did. Members beyond twice the fleet are not
// accepted from other links.
func TestNewMemberOfLargeFleetLearnsOfNewcomers(t *testing.T) {
	v := New(100, Record{ID: 1, Version: Version{1 << 32, 1}, Address: "self:1"}, Settings{Seed: 1}, &noActions{})
	record := func(id ID) Record { return Record{ID: id, Version: Version{1 << 32, 1}, Address: id.String()} }
	first, other := record(2), record(3)
	v.LinkUp(100, 1, "first:1", Hello{Self: first})
	v.LinkUp(100, 2, "other:1", Hello{Self: other})
	m := &Message{}
	for id := ID(10); id < 10+maxNewcomers+500; id++ {
		m.Records = append(m.Records, record(id))
	}
	v.HandleMessage(100.1, 2, m)
	require.Less(t, v.LiveCount(), maxNewcomers+10, "only from other links")
	v.HandleMessage(100.2, 1, m)
	require.Equal(t, 3+maxNewcomers+500, v.LiveCount())
	v.HandleMessage(100.3, 2, &Message{Records: []Record{record(5000)}})
	require.Equal(t, 4+maxNewcomers+500, v.LiveCount(), "a newcomer reported by another link")
	for id := ID(10_000); id < 16_000; id++ {
		v.HandleMessage(100.4, 2, &Message{Records: []Record{record(id)}})
	}
	require.LessOrEqual(t, v.LiveCount(), 3*(maxNewcomers+510))
}
