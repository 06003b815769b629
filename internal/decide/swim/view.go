package swim

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
)

// entry is what is held of a member.
type entry struct {
	Record
	since float64 // of the state
	due   float64 // of one that is suspected: when it is dead

	link    *link // nil: there is none that both know of
	watched float64
	heard   float64 // when it last said anything, or was first waited for
	fails   int     // dials in a row
	nextTry float64
	mute    float64 // no accusation by this member alone before
	muteFor float64
	from    int // the link that it came by; 0: none

	// Together: a fleet of 5,000 has 25 million entries in the laboratory.
	wanted  bool // a neighbour on a ring, or asked for
	dialing bool
	met     bool // there was a link, with this version of it
	hot     bool // is looked at with each tick
	fresh   bool // is to be told
	listed  bool // among those that are gone
	old     bool // gone for so long that it no longer counts for the sums
}

// link is one that is up and whose other end is known.
type link struct {
	number int
	to     *entry
	life   uint64 // of the process at the other end
	dialed bool   // by this member
	wants  bool   // the other does
	differ int    // beats in a row with another sum
}

// View is one member's view of its fleet.
type View struct {
	set  Settings
	do   Actions
	rng  *rand.Rand
	self *entry
	all  []*entry      // by ID, with self
	ids  []ID          // of all, in the same order: Danger: a look at thousands of entries is a miss of the cache for each
	gone []*entry      // with some that have come back; swept now and then
	hot  []*entry      // that are suspected or watched: Danger: a look at all with each message costs by the square of the fleet
	byID map[ID]*entry // looked up, never walked

	links         []*link
	dials         map[string]ID // those under way whose other end is known; 0: it is not
	met           map[string]ID // who was found at an address to join by
	name, address string
	asked         []ID    // by Want
	teacher       int     // the first link
	taughtAt      float64 // when it came up
	now           float64
	tickAt        float64
	sweepAt       float64 // when the gone are looked at next
	beatAt        float64
	healAt        float64
	verifyAt      float64
	stormAt       float64
	verified      *entry  // who is being called
	pace          float64 // between two calls
	newFrom       float64 // when newcomers were counted anew
	newBase       int     // that were known then, and that the first link tells of
	newTaken      int     // that came by others' word since
	syncAt        float64
	health        int // doubts about oneself
	healthy       float64
	changed       float64 // when the sum last changed
	sum           uint64
	sums          [buckets]uint64 // sum is that of these
	dirty         bool            // the neighbours are to be chosen anew
	touched       bool            // something has changed that can't change them
	neighbours    []*entry
	nearest       [rings]float64 // to the next one on each ring that is not suspected
	quiet         bool           // nothing is said: the identity is another's
	left          bool
	succeeded     bool
	news          []*entry
	changes       uint64
	figures       Stats
}

// Figures count what a View has done.
type Stats struct {
	Accusations uint64 `json:"accusations"` // made by this member
	Refutations uint64 `json:"refutations"` // of what was said of it
	Deaths      uint64 `json:"deaths"`      // declared by this member
	Stalls      uint64 `json:"stalls"`      // times that it stood still
	Rejected    uint64 `json:"refused"`     // records that made no sense or had no room
	Syncs       uint64 `json:"syncs"`       // comparisons of views that it began
}

// New returns the view of a member that knows itself alone.
func New(now float64, self Record, set Settings, do Actions) *View {
	v := &View{set: set, do: do, rng: rand.New(rand.NewPCG(set.Seed, uint64(self.ID))), byID: map[ID]*entry{}, dials: map[string]ID{},
		met: map[string]ID{}, now: now, pace: verifyS, name: self.Name, address: self.Address, tickAt: now, beatAt: now, changed: now, healthy: now}
	v.become(self)
	return v
}

func (v *View) become(self Record) {
	self.State, self.Accusers, self.AgeSeconds = Alive, nil, 0
	v.self = &entry{Record: self, since: v.now}
	v.insert(v.self)
	v.quiet, v.dirty = false, true
}

// Become goes on under another identity.
func (v *View) AdoptIdentity(now float64, id ID, version Version, keeps bool) {
	v.enter(now)
	next := Record{ID: id, Version: version, Name: v.name, Address: v.address, Durable: keeps}
	v.self.due = math.Inf(1)
	v.become(next)
	v.tell(v.self, 0)
	v.settle()
}

// Want asks for links to these members, beside the neighbours on the rings and in place of what was asked for before; what is
// beyond 16 is left out. Who is gone gets none until it lives again.
func (v *View) RequestLinks(now float64, ids []ID) {
	v.enter(now)
	if ids = ids[:min(len(ids), mostAsked)]; !slices.Equal(ids, v.asked) {
		v.asked, v.dirty = slices.Clone(ids), true
	}
	v.settle()
}

// Self returns the record of the member itself.
func (v *View) Self() Record { return v.self.Record }

// Quiet tells whether the identity is another process's now.
func (v *View) HasLostIdentity() bool { return v.quiet }

// Succeeded tells whether another process has taken this one's place, under its identity and at its address.
func (v *View) IsReplaced() bool { return v.succeeded }

// Figures returns the counts so far.
func (v *View) Stats() Stats { return v.figures }

// Health returns how many doubts the member has about itself.
func (v *View) HealthScore() int { return v.health }

// Seen is what is held of a member, for who asks.
type MemberStatus struct {
	Record
	StateAgeSeconds float64 // for how long the state has held
	IsLinked        bool
	IsNeighbor      bool // a neighbour on a ring, or asked for: its silence is noticed, however long there is no link
}

// Members calls yield for all members that are known, by their IDs.
func (v *View) Members(yield func(MemberStatus) bool) {
	for _, e := range v.all {
		if !yield(MemberStatus{Record: e.Record, StateAgeSeconds: v.now - e.since, IsLinked: e.link != nil, IsNeighbor: e.wanted}) {
			return
		}
	}
}

// Part returns this member's place among those that live, and how many these are. One that died counts for a while still:
// one that comes and goes is to move nothing.
func (v *View) Rank(holdS float64) (rank, count int) {
	rank, _ = v.place(v.self.ID)
	count = len(v.all)
	for _, e := range v.gone {
		if e != v.self && e.State.IsDeadOrLeft() && !(e.State == Dead && v.now-e.since < holdS) {
			if count--; e.ID < v.self.ID {
				rank--
			}
		}
	}
	return rank, count
}

// Live returns how many members live, this one included.
func (v *View) LiveCount() int {
	n := len(v.all)
	for _, e := range v.gone {
		if e.State.IsDeadOrLeft() {
			n--
		}
	}
	return n
}

// Sum returns a number that is the same for two members that hold the same of all, but for suspicions.
func (v *View) Digest() uint64 { return v.sum }

// Changes returns a number that grows with each change of what is held of anybody.
func (v *View) Changes() uint64 { return v.changes }

// Next returns when Tick is to be called.
func (v *View) NextTick() float64 { return v.tickAt }

// --- What is known ---

// weight is an entry's part of the sums.
func (v *View) weight(e *entry) uint64 {
	if e.old {
		return 0
	}
	class := uint64(0)
	if e.State.IsDeadOrLeft() {
		class = uint64(e.State)
	}
	return mix(uint64(e.ID) ^ mix(e.Version.Incarnation^mix(e.Version.BootID^class<<56)))
}

// weigh puts an entry's part into the sums, or takes it out again.
func (v *View) weigh(e *entry) {
	w := v.weight(e)
	v.sum ^= w
	v.sums[bucket(e.ID)] ^= w
}

// note has an entry's part follow what has become of it.
func (v *View) note(e *entry) {
	e.old = e.State.IsDeadOrLeft() && v.now-e.since > forgetS-edgeS
	v.weigh(e)
	if e.State.IsDeadOrLeft() && !e.listed {
		e.listed = true
		v.gone = append(v.gone, e)
	}
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (v *View) place(id ID) (int, bool) {
	return slices.BinarySearch(v.ids, id)
}

func (v *View) insert(e *entry) {
	i, _ := v.place(e.ID)
	v.all = slices.Insert(v.all, i, e)
	v.ids = slices.Insert(v.ids, i, e.ID)
	v.byID[e.ID] = e
	v.note(e)
}

// alter changes an entry and what follows from that.
func (v *View) alter(e *entry, known bool, change func()) {
	was := e.State
	v.changes++
	v.weigh(e)
	change()
	v.note(e)
	if e.State != was || !known {
		if !(was <= Suspect && e.State <= Suspect) || !known {
			v.changed = v.now
		}
		v.touched = true
		v.dirty = v.dirty || v.near(e)
		v.do.MemberChanged(e.Record, was, known)
	}
}

// sane tells whether a record can be one.
func sane(r *Record) bool {
	return r.Version.Incarnation < 1<<62 && r.State <= Left && r.ID != 0 && len(r.Name) <= 128 && len(r.Address) <= 256 && r.Address != "" && len(r.Accusers) <= 16 &&
		r.AgeSeconds >= 0 && r.AgeSeconds < 1e9
}

// Merge makes one record of two of the same identity, and tells whether that is another than the first.
func Merge(a, b Record) (Record, bool) {
	switch c := b.Version.Compare(a.Version); {
	case c < 0:
		return a, false
	case c > 0:
		return b, true
	}
	keeps := a.Durable || b.Durable // who passes a record on may be of a version that does not know the flag
	if b.State > a.State {
		if b.State == Suspect {
			b.Accusers = union(a.Accusers, b.Accusers)
		}
		b.Durable = keeps
		return b, true
	}
	news := a.Durable != keeps
	a.Durable = keeps
	if b.State == a.State && a.State == Suspect {
		if by := union(a.Accusers, b.Accusers); !slices.Equal(by, a.Accusers) {
			a.Accusers, news = by, true
		}
	}
	return a, news
}

// union returns the accusers of both, the least ones where they are more than enough.
func union(a, b []ID) []ID {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), enough)]
}

// hear takes a record that came by a link.
func (v *View) hear(r Record, from int) {
	if !sane(&r) {
		v.figures.Rejected++
		return
	}
	e := v.byID[r.ID]
	if v.taught(from) {
		// Danger: of a large fleet the others that one meets tell as much as the first, and sooner. Measured by what it knew
		// before, itself alone, it would have no room for what is new for ten seconds.
		v.newBase++
	}
	if e == v.self {
		v.hearOfSelf(r, from)
		return
	}
	if e == nil {
		if r.State.IsDeadOrLeft() && r.AgeSeconds > forgetS-edgeS || !v.admit(from) || len(v.all) >= mostKnown && !v.forgetOne() {
			v.figures.Rejected++
			return
		}
		e = &entry{Record: r, since: v.now - r.AgeSeconds, heard: v.now}
		v.insert(e)
		v.alter(e, false, func() {})
		v.suspect(e)
		v.tell(e, from)
		return
	}
	if r.State == e.State && r.State != Suspect && r.Version == e.Version && (e.Durable || !r.Durable) {
		return // most of what comes has come by another link
	}
	if r.State == Dead && e.State == Alive && r.Version.Compare(e.Version) >= 0 {
		// Danger: one that was cut off has called others dead that nobody asked, and comes back with that. They get the time to
		// say no that they would have had.
		defer func() {
			if e.State == Suspect && e.Version == r.Version {
				e.due = v.now + soonestS
			}
		}()
		r.State = Suspect
		if r.AgeSeconds = 0; len(r.Accusers) == 0 {
			r.Accusers = []ID{v.self.ID}
		}
	}
	merged, news := Merge(e.Record, r)
	if !news {
		return
	}
	if merged.Version != e.Version {
		e.met = false
	}
	risen := merged.Version.Compare(e.Version) > 0
	v.alter(e, true, func() {
		was := e.State
		e.Record = merged
		if e.AgeSeconds = 0; merged.State != was || merged.State.IsDeadOrLeft() {
			e.since = v.now - r.AgeSeconds
		}
	})
	if risen && !e.State.IsDeadOrLeft() {
		e.due = 0
		if e.link == nil {
			e.heard = max(e.heard, v.now-silentS/2) // it has spoken to others just now
		}
	}
	v.suspect(e)
	v.tell(e, from)
}

// admit tells whether one more that nobody knew is believed in. Danger: one broken sidecar can tell of thousands that do not
// exist, and each would have to be called before it counts as dead. Who has just come believes the first that it meets.
func (v *View) admit(from int) bool {
	if v.now >= v.newFrom+newcomersS || v.newFrom == 0 {
		v.newFrom, v.newBase, v.newTaken = v.now, len(v.all), 0
	}
	if v.taught(from) {
		return true
	}
	v.newTaken++
	return v.newTaken <= max(newcomers, 2*v.newBase)
}

// taught tells whether a link is the first of one that has just come.
func (v *View) taught(from int) bool {
	return from != 0 && from == v.teacher && v.now < v.taughtAt+teachS
}

// hearOfSelf takes what is said of this member.
func (v *View) hearOfSelf(r Record, from int) {
	s := v.self
	switch c := r.Version.Compare(s.Version); {
	case v.quiet || v.left && c <= 0:
	case c > 0 && r.Version.Incarnation > s.Version.Incarnation+mostAhead:
		// Danger: a greater one yet would run out of numbers, and without one this member stays what others call it.
		v.quiet = true
		v.hush()
		v.alter(s, true, func() { s.Record, s.since = r, v.now })
		v.do.ReplaceIdentity("others are told of an incarnation that this identity can't have")
	case c > 0 && r.Version.BootID != s.Version.BootID:
		// Another process has this identity, and a later state of it.
		v.quiet = true
		if r.Address == s.Address && v.set.HotRestart {
			v.succeeded = true
			v.hush()
			return
		}
		why := "another process has this identity: a copied folder"
		if r.Address == s.Address {
			why = "this identity was already further than the state on disk: an old copy"
		}
		v.hush()
		v.alter(s, true, func() { s.Record, s.since = r, v.now })
		v.do.ReplaceIdentity(why)
	case c > 0 || c == 0 && (r.State == Suspect || r.State.IsDeadOrLeft() && !v.left):
		v.alter(s, true, func() { s.Version.Incarnation = max(r.Version.Incarnation, s.Version.Incarnation) + 1 })
		v.changed = v.now
		v.figures.Refutations++
		v.doubt()
		v.tell(s, 0)
	case c < 0:
		v.tell(s, 0)
	}
}

// hush ends all links without a word about this member.
func (v *View) hush() {
	for len(v.links) > 0 {
		l := v.links[0]
		v.do.Send(l.number, &Message{Closing: true})
		v.cut(l)
	}
	v.news = v.news[:0]
	for _, e := range v.all {
		e.fresh = false
	}
}

// suspect sets when one that is suspected is dead: the sooner the more do not hear it.
func (v *View) suspect(e *entry) {
	if e.State != Suspect || e == v.self {
		return
	}
	at := e.since + v.patience(len(e.Accusers))
	if e.due == 0 || at < e.due {
		e.due = at
	}
	v.heat(e)
	// Danger: one that two others miss as well is no fault of this member's link.
	if len(e.Accusers) < enough && e.watchedBy(v.now) && v.silent(e) && !slices.Contains(e.Accusers, v.self.ID) {
		v.accuse(e)
	}
}

// heat has an entry looked at with each tick.
func (v *View) heat(e *entry) {
	if !e.hot && e != v.self {
		e.hot = true
		v.hot = append(v.hot, e)
	}
}

// patience is how long one is suspected that so many do not hear.
func (v *View) patience(accusers int) float64 {
	able := 0 // to accuse it
	for _, e := range v.all {
		if e.State == Alive {
			if able++; able >= enough {
				break
			}
		}
	}
	if able = max(able, 1); accusers >= able {
		return soonestS
	}
	return latestS - (latestS-soonestS)*math.Log(float64(max(accusers, 1)))/math.Log(float64(able))
}

// accuse says that this member does not hear another.
func (v *View) accuse(e *entry) {
	v.figures.Accusations++
	v.alter(e, true, func() {
		if e.State == Alive {
			e.State, e.since, e.due = Suspect, v.now, 0
		}
		e.Accusers = union(e.Accusers, []ID{v.self.ID})
	})
	v.suspect(e)
	v.tell(e, 0)
}

// doubt notes that this member has reason to doubt itself.
func (v *View) doubt() {
	v.health, v.healthy = min(v.health+1, mostHealth), v.now
}

// tell has a record told to all links but the one that it came by.
func (v *View) tell(e *entry, from int) {
	if e.fresh {
		if e.from != from {
			e.from = 0
		}
		return
	}
	e.fresh, e.from = true, from
	v.news = append(v.news, e)
}

// record returns what is said of an entry.
func (v *View) record(e *entry) Record {
	r := e.Record
	if r.State.IsDeadOrLeft() {
		r.AgeSeconds = math.Round(10*(v.now-e.since)) / 10
	}
	return r
}

// flush tells what is new.
func (v *View) flush() {
	if len(v.news) == 0 {
		return
	}
	if !v.quiet {
		var common []*Message // for those that have brought none of it, which are all but one as a rule
		// Danger: a link may end while something is sent over it, and what is new is told to all others by then.
		for _, l := range slices.Clone(v.links) {
			if len(v.news) == 0 {
				return
			}
			if slices.ContainsFunc(v.news, func(e *entry) bool { return e.from == l.number }) {
				for _, m := range v.messages(l.number) {
					v.do.Send(l.number, m)
				}
				continue
			}
			if common == nil {
				common = v.messages(0)
			}
			for _, m := range common {
				v.do.Send(l.number, m)
			}
		}
	}
	for _, e := range v.news {
		e.fresh, e.from = false, 0
	}
	v.news = v.news[:0]
}

// messages returns what is new, but for what came by a link.
func (v *View) messages(but int) (all []*Message) {
	records := make([]Record, 0, min(len(v.news), mostSent))
	for _, e := range v.news {
		if but != 0 && e.from == but {
			continue
		}
		if records = append(records, v.record(e)); len(records) == mostSent {
			all, records = append(all, &Message{Records: records}), nil
		}
	}
	if len(records) > 0 {
		all = append(all, &Message{Records: records})
	}
	return all
}

// forgetOne makes room: the one goes that has been gone the longest.
func (v *View) forgetOne() bool {
	var oldest *entry
	for _, e := range v.gone {
		if e.State.IsDeadOrLeft() && e != v.self && (oldest == nil || e.since < oldest.since || e.since == oldest.since && e.ID < oldest.ID) {
			oldest = e
		}
	}
	if oldest != nil {
		v.forget(oldest)
	}
	return oldest != nil
}

func (v *View) forget(e *entry) {
	if v.verified == e {
		v.verified = nil
	}
	same := func(o *entry) bool { return o == e }
	v.hot, v.gone = slices.DeleteFunc(v.hot, same), slices.DeleteFunc(v.gone, same)
	v.weigh(e)
	if i, ok := v.place(e.ID); ok {
		v.all, v.ids = slices.Delete(v.all, i, i+1), slices.Delete(v.ids, i, i+1)
	}
	delete(v.byID, e.ID)
	if e.link != nil {
		v.cut(e.link)
	}
}

// --- Comparing views ---

// buckets is how many sums are compared.
const buckets = 64

func bucket(id ID) int { return int(mix(uint64(id)) >> 58) }

// compare asks a neighbour what differs.
func (v *View) compare(l *link) {
	v.syncAt = v.now
	v.figures.Syncs++
	v.do.Send(l.number, &Message{BucketDigests: slices.Clone(v.sums[:])})
}

// differing tells a neighbour what is held otherwise here, and asks for what it holds.
func (v *View) differing(l *link, theirs []uint64) {
	if len(theirs) != buckets {
		v.figures.Rejected++
		return
	}
	mask := uint64(0)
	for i, sum := range v.sums {
		if sum != theirs[i] {
			mask |= 1 << i
		}
	}
	if mask != 0 {
		v.sendBuckets(l, mask)
		v.do.Send(l.number, &Message{WantedBuckets: []uint64{mask}})
	}
}

func (v *View) sendBuckets(l *link, mask uint64) {
	var records []Record
	most := min(mostSent, len(v.all)*bits.OnesCount64(mask)/buckets+8)
	for i, id := range v.ids {
		if mask>>bucket(id)&1 == 0 {
			continue
		}
		e := v.all[i]
		if e.old {
			continue
		}
		if records == nil {
			records = make([]Record, 0, most)
		}
		if records = append(records, v.record(e)); len(records) == mostSent {
			v.do.Send(l.number, &Message{Records: records})
			records = nil
		}
	}
	if len(records) > 0 {
		v.do.Send(l.number, &Message{Records: records})
	}
}

// ringOrder is a member's place on a ring.
func ringOrder(id ID, ring int) uint64 {
	return mix(uint64(id) + bits.RotateLeft64(0x9e3779b97f4a7c15, 11*ring))
}
