package swim

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawRecord(t *rapid.T) Record {
	r := Record{ID: 1, Version: Version{Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"), BootID: rapid.Uint64Range(1, 2).Draw(t, "life")},
		State: State(rapid.IntRange(0, int(Left)).Draw(t, "state")), Address: "a", Durable: rapid.Bool().Draw(t, "keeps")}
	if r.State == Suspect {
		r.Accusers = mergeAccusers(rapid.SliceOfN(rapid.Map(rapid.Uint64Range(1, 5), func(n uint64) ID { return ID(n) }), 1, 3).Draw(t, "by"), nil)
	}
	return r
}

// In whatever order and however often records come, the same is held in the end.
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
		require.GreaterOrEqual(t, m.Version.Compare(a.Version), 0, "nobody rises by an old incarnation")
		if m.Version == a.Version {
			require.GreaterOrEqual(t, m.State, a.State)
		}
	})
}

// A place follows late: one that comes and goes moves nothing, a lasting change does, one that goes on changing does in the end,
// and who sees nobody goes by the settings.
func TestPart(t *testing.T) {
	p := NewStableRank(4, 5)
	now := 100.0
	see := func(rank, count int, forS float64) (moves int) {
		for end := now + forS; now < end; now += 0.25 {
			if p.Update(now, rank, count) {
				moves++
			}
		}
		return moves
	}
	place := func(rank, count int) {
		t.Helper()
		r, c := p.Current()
		assert.Equal(t, [2]int{rank, count}, [2]int{r, c})
	}
	place(4, 5)
	assert.Zero(t, see(0, 1, 30), "alone")
	assert.True(t, p.IsConfigured())
	assert.Equal(t, 1, see(4, 5, 10), "a rank is another thing than the settings' number")
	assert.False(t, p.IsConfigured())
	for range 20 {
		assert.Zero(t, see(3, 5, 1)+see(4, 5, 1))
	}
	assert.Equal(t, 1, see(7, 60, 10))
	place(7, 60)
	moves := 0
	for i := range 40 {
		moves += see(7, 61+i, 0.5)
	}
	assert.InDelta(t, 3, moves, 1, "in a change that goes on, now and then")
	see(7, 100, 5)
	place(7, 100)
	see(0, 1, 5)
	place(4, 5)
	assert.True(t, p.IsConfigured())
	see(1_000_003, 2_000_000, 5)
	r, c := p.Current()
	assert.Equal(t, 5*maxScale, c, "no count is believed that is far from what was planned")
	assert.Less(t, r, c)
}

// noActions asks for nothing.
type noActions struct{ sent int }

func (*noActions) Dial(string)                       {}
func (a *noActions) Send(int, *Message)              { a.sent++ }
func (*noActions) Close(int)                         {}
func (*noActions) MemberChanged(Record, State, bool) {}
func (*noActions) ReplaceIdentity(string)            {}

// dialed notes whom a View dials.
type dialed struct {
	noActions
	all map[string]bool
}

func (d *dialed) Dial(address string) { d.all[address] = true }

// breaking ends one link when something is sent over it, before that returns, as a network does.
type breaking struct {
	noActions
	v     *View
	link  int
	heard map[int]int // messages with records, by link
}

func (b *breaking) Send(link int, m *Message) {
	if len(m.Records) > 0 {
		b.heard[link]++
	}
	if link == b.link && len(m.Records) > 0 {
		b.link = 0
		b.v.LinkDown(100, link)
	}
}

// A link that ends while news go over it neither stops them nor is told again.
func TestLinkEndsUnderNews(t *testing.T) {
	for breaks := 1; breaks <= 5; breaks++ {
		do := &breaking{heard: map[int]int{}}
		do.v = New(100, Record{ID: 1, Version: Version{1 << 32, 1}, Address: "self:1"}, Settings{Seed: 1}, do)
		hello := func(id ID) Hello {
			return Hello{Self: Record{ID: id, Version: Version{1 << 32, 1}, Address: ID.String(id)}}
		}
		for number := 1; number <= 5; number++ {
			do.v.LinkUp(100, number, "", hello(ID(number+1)))
		}
		clear(do.heard)
		do.link = breaks
		do.v.HandleMessage(100, 5, &Message{Records: []Record{hello(99).Self}})
		for number := 1; number <= 4; number++ {
			assert.Positive(t, do.heard[number], "link %d, %d breaks", number, breaks)
		}
		assert.Equal(t, breaks == 5, do.link == 5, "who brought the news is not told")
	}
}

// Links are kept to the members that were asked for, to at most 16, and to none that is gone.
func TestWant(t *testing.T) {
	do := &dialed{all: map[string]bool{}}
	v := New(100, Record{ID: 1, Version: Version{1 << 32, 1}, Address: "self:1"}, Settings{Seed: 1}, do)
	hello := func(id ID) Hello {
		return Hello{Self: Record{ID: id, Version: Version{1 << 32, 1}, Address: ID.String(id)}}
	}
	m := &Message{}
	for id := ID(2); id < 60; id++ {
		m.Records = append(m.Records, hello(id).Self)
	}
	v.LinkUp(100, 1, "", hello(60))
	v.HandleMessage(100, 1, m)
	clear(do.all)
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
	require.NotNil(t, v.byID[2].link, "a link that is asked for stays up")
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

// Whatever a peer says, no call fails, nobody who is known and lives is forgotten for it, and what is known stays bounded.
func TestViewBearsWhatItIsTold(t *testing.T) {
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
				m := &Message{Closing: rapid.IntRange(0, 9).Draw(t, "bye") == 0, BucketDigests: make([]uint64, rapid.SampledFrom([]int{0, 3, 64}).Draw(t, "sums"))}
				for range rapid.IntRange(0, 5).Draw(t, "records") {
					r := drawRecord(t)
					r.ID, r.AgeSeconds = ID(rapid.Uint64Range(0, 6).Draw(t, "id")), rapid.Float64Range(-1, 700).Draw(t, "age")
					r.Version.Incarnation = rapid.SampledFrom([]uint64{0, 1 << 32, 1<<32 + 1, 1 << 61, 1<<64 - 1}).Draw(t, "of")
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

// Who joins a fleet of more than it takes on others' word hears of newcomers at once, though others told it as much as the first
// that it met, and sooner. What one that is not the first tells beyond twice the fleet is not believed.
func TestWhoJoinsALargeFleetHearsOfNewcomers(t *testing.T) {
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
	require.Less(t, v.LiveCount(), maxNewcomers+10, "others alone tell of so many")
	v.HandleMessage(100.2, 1, m)
	require.Equal(t, 3+maxNewcomers+500, v.LiveCount())
	v.HandleMessage(100.3, 2, &Message{Records: []Record{record(5000)}})
	require.Equal(t, 4+maxNewcomers+500, v.LiveCount(), "a newcomer that another has heard of first")
	for id := ID(10_000); id < 16_000; id++ {
		v.HandleMessage(100.4, 2, &Message{Records: []Record{record(id)}})
	}
	require.LessOrEqual(t, v.LiveCount(), 3*(maxNewcomers+510))
}
