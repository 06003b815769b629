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
	stateSince float64 // of the state
	deadAt     float64 // of one that is suspected: when it is dead

	link         *link // nil: there is none that both know of
	watchedUntil float64
	lastHeard    float64 // when it last said anything, or was first waited for
	failedDials  int     // dials in a row
	nextDial     float64
	mutedUntil   float64 // no accusation by this member alone before
	muteSeconds  float64
	sourceLink   int // the link that it came by; 0: none

	// Together: a fleet of 5,000 has 25 million entries in the laboratory.
	isNeighbor bool // a neighbour on a ring, or asked for
	isDialing  bool
	wasLinked  bool // there was a link, with this version of it
	isActive   bool // is looked at with each tick
	isQueued   bool // is to be told
	isDeparted bool // among those that are gone
	isExpired  bool // gone for so long that it no longer counts for the sums
}

// link is one that is up and whose other end is known.
type link struct {
	number     int
	peer       *entry
	bootID     uint64 // of the process at the other end
	dialedHere bool   // by this member
	peerWants  bool   // the other does
	mismatches int    // beats in a row with another sum
}

// View is one member's view of its fleet.
type View struct {
	settings Settings
	actions  Actions
	rng      *rand.Rand
	self     *entry
	entries  []*entry      // by ID, with self
	ids      []ID          // of all, in the same order: Danger: a look at thousands of entries is a miss of the cache for each
	departed []*entry      // with some that have come back; swept now and then
	active   []*entry      // that are suspected or watched: Danger: a look at all with each message costs by the square of the fleet
	byID     map[ID]*entry // looked up, never walked

	links                []*link
	dials                map[string]ID // those under way whose other end is known; 0: it is not
	joinIDs              map[string]ID // who was found at an address to join by
	name, address        string
	requested            []ID    // by Want
	firstLink            int     // the first link
	firstLinkAt          float64 // when it came up
	now                  float64
	nextTick             float64
	nextSweep            float64 // when the gone are looked at next
	nextHeartbeat        float64
	nextReconnect        float64
	nextProbe            float64
	nextMassFailureProbe float64
	probed               *entry  // who is being called
	probeInterval        float64 // between two calls
	newcomersSince       float64 // when newcomers were counted anew
	newcomersBase        int     // that were known then, and that the first link tells of
	newcomersAdmitted    int     // that came by others' word since
	lastSync             float64
	healthScore          int // doubts about oneself
	healthChangedAt      float64
	digestChangedAt      float64 // when the sum last changed
	digest               uint64
	bucketDigests        [bucketCount]uint64 // sum is that of these
	neighborsStale       bool                // the neighbours are to be chosen anew
	neighborsTouched     bool                // something has changed that can't change them
	neighbors            []*entry
	nearestLive          [ringCount]float64 // to the next one on each ring that is not suspected
	lostIdentity         bool               // nothing is said: the identity is another's
	hasLeft              bool
	isReplaced           bool
	updates              []*entry
	changes              uint64
	stats                Stats
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
	v := &View{settings: set, actions: do, rng: rand.New(rand.NewPCG(set.Seed, uint64(self.ID))), byID: map[ID]*entry{}, dials: map[string]ID{},
		joinIDs: map[string]ID{}, now: now, probeInterval: maxProbeIntervalSeconds, name: self.Name, address: self.Address, nextTick: now, nextHeartbeat: now, digestChangedAt: now, healthChangedAt: now}
	v.installIdentity(self)
	return v
}

func (v *View) installIdentity(self Record) {
	self.State, self.Accusers, self.AgeSeconds = Alive, nil, 0
	v.self = &entry{Record: self, stateSince: v.now}
	v.insert(v.self)
	v.lostIdentity, v.neighborsStale = false, true
}

// Become goes on under another identity.
func (v *View) AdoptIdentity(now float64, id ID, version Version, keeps bool) {
	v.advanceClock(now)
	next := Record{ID: id, Version: version, Name: v.name, Address: v.address, Durable: keeps}
	v.self.deadAt = math.Inf(1)
	v.installIdentity(next)
	v.enqueueUpdate(v.self, 0)
	v.finishEvent()
}

// Want asks for links to these members, beside the neighbours on the rings and in place of what was asked for before; what is
// beyond 16 is left out. Who is gone gets none until it lives again.
func (v *View) RequestLinks(now float64, ids []ID) {
	v.advanceClock(now)
	if ids = ids[:min(len(ids), maxRequestedLinks)]; !slices.Equal(ids, v.requested) {
		v.requested, v.neighborsStale = slices.Clone(ids), true
	}
	v.finishEvent()
}

// Self returns the record of the member itself.
func (v *View) Self() Record { return v.self.Record }

// Quiet tells whether the identity is another process's now.
func (v *View) HasLostIdentity() bool { return v.lostIdentity }

// Succeeded tells whether another process has taken this one's place, under its identity and at its address.
func (v *View) IsReplaced() bool { return v.isReplaced }

// Figures returns the counts so far.
func (v *View) Stats() Stats { return v.stats }

// Health returns how many doubts the member has about itself.
func (v *View) HealthScore() int { return v.healthScore }

// Seen is what is held of a member, for who asks.
type MemberStatus struct {
	Record
	StateAgeSeconds float64 // for how long the state has held
	IsLinked        bool
	IsNeighbor      bool // a neighbour on a ring, or asked for: its silence is noticed, however long there is no link
}

// Members calls yield for all members that are known, by their IDs.
func (v *View) Members(yield func(MemberStatus) bool) {
	for _, e := range v.entries {
		if !yield(MemberStatus{Record: e.Record, StateAgeSeconds: v.now - e.stateSince, IsLinked: e.link != nil, IsNeighbor: e.isNeighbor}) {
			return
		}
	}
}

// Part returns this member's place among those that live, and how many these are. One that died counts for a while still:
// one that comes and goes is to move nothing.
func (v *View) Rank(holdS float64) (rank, count int) {
	rank, _ = v.indexOf(v.self.ID)
	count = len(v.entries)
	for _, e := range v.departed {
		if e != v.self && e.State.IsDeadOrLeft() && !(e.State == Dead && v.now-e.stateSince < holdS) {
			if count--; e.ID < v.self.ID {
				rank--
			}
		}
	}
	return rank, count
}

// Live returns how many members live, this one included.
func (v *View) LiveCount() int {
	n := len(v.entries)
	for _, e := range v.departed {
		if e.State.IsDeadOrLeft() {
			n--
		}
	}
	return n
}

// Sum returns a number that is the same for two members that hold the same of all, but for suspicions.
func (v *View) Digest() uint64 { return v.digest }

// Changes returns a number that grows with each change of what is held of anybody.
func (v *View) Changes() uint64 { return v.changes }

// Next returns when Tick is to be called.
func (v *View) NextTick() float64 { return v.nextTick }

// --- What is known ---

// weight is an entry's part of the sums.
func (v *View) digestOf(e *entry) uint64 {
	if e.isExpired {
		return 0
	}
	class := uint64(0)
	if e.State.IsDeadOrLeft() {
		class = uint64(e.State)
	}
	return mix(uint64(e.ID) ^ mix(e.Version.Incarnation^mix(e.Version.BootID^class<<56)))
}

// weigh puts an entry's part into the sums, or takes it out again.
func (v *View) toggleDigest(e *entry) {
	w := v.digestOf(e)
	v.digest ^= w
	v.bucketDigests[bucketOf(e.ID)] ^= w
}

// note has an entry's part follow what has become of it.
func (v *View) trackEntry(e *entry) {
	e.isExpired = e.State.IsDeadOrLeft() && v.now-e.stateSince > forgetAfterSeconds-digestMarginSeconds
	v.toggleDigest(e)
	if e.State.IsDeadOrLeft() && !e.isDeparted {
		e.isDeparted = true
		v.departed = append(v.departed, e)
	}
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (v *View) indexOf(id ID) (int, bool) {
	return slices.BinarySearch(v.ids, id)
}

func (v *View) insert(e *entry) {
	i, _ := v.indexOf(e.ID)
	v.entries = slices.Insert(v.entries, i, e)
	v.ids = slices.Insert(v.ids, i, e.ID)
	v.byID[e.ID] = e
	v.trackEntry(e)
}

// alter changes an entry and what follows from that.
func (v *View) changeEntry(e *entry, known bool, change func()) {
	was := e.State
	v.changes++
	v.toggleDigest(e)
	change()
	v.trackEntry(e)
	if e.State != was || !known {
		if !(was <= Suspect && e.State <= Suspect) || !known {
			v.digestChangedAt = v.now
		}
		v.neighborsTouched = true
		v.neighborsStale = v.neighborsStale || v.affectsNeighbors(e)
		v.actions.MemberChanged(e.Record, was, known)
	}
}

// sane tells whether a record can be one.
func isValid(r *Record) bool {
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
			b.Accusers = mergeAccusers(a.Accusers, b.Accusers)
		}
		b.Durable = keeps
		return b, true
	}
	news := a.Durable != keeps
	a.Durable = keeps
	if b.State == a.State && a.State == Suspect {
		if by := mergeAccusers(a.Accusers, b.Accusers); !slices.Equal(by, a.Accusers) {
			a.Accusers, news = by, true
		}
	}
	return a, news
}

// union returns the accusers of both, the least ones where they are more than enough.
func mergeAccusers(a, b []ID) []ID {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxAccusers)]
}

// hear takes a record that came by a link.
func (v *View) handleRecord(r Record, from int) {
	if !isValid(&r) {
		v.stats.Rejected++
		return
	}
	e := v.byID[r.ID]
	if v.isFirstLink(from) {
		// Danger: of a large fleet the others that one meets tell as much as the first, and sooner. Measured by what it knew
		// before, itself alone, it would have no room for what is new for ten seconds.
		v.newcomersBase++
	}
	if e == v.self {
		v.handleOwnRecord(r, from)
		return
	}
	if e == nil {
		if r.State.IsDeadOrLeft() && r.AgeSeconds > forgetAfterSeconds-digestMarginSeconds || !v.admitNewcomer(from) || len(v.entries) >= maxMembers && !v.evictOldest() {
			v.stats.Rejected++
			return
		}
		e = &entry{Record: r, stateSince: v.now - r.AgeSeconds, lastHeard: v.now}
		v.insert(e)
		v.changeEntry(e, false, func() {})
		v.scheduleDeath(e)
		v.enqueueUpdate(e, from)
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
				e.deadAt = v.now + minSuspicionSeconds
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
		e.wasLinked = false
	}
	risen := merged.Version.Compare(e.Version) > 0
	v.changeEntry(e, true, func() {
		was := e.State
		e.Record = merged
		if e.AgeSeconds = 0; merged.State != was || merged.State.IsDeadOrLeft() {
			e.stateSince = v.now - r.AgeSeconds
		}
	})
	if risen && !e.State.IsDeadOrLeft() {
		e.deadAt = 0
		if e.link == nil {
			e.lastHeard = max(e.lastHeard, v.now-silenceTimeoutSeconds/2) // it has spoken to others just now
		}
	}
	v.scheduleDeath(e)
	v.enqueueUpdate(e, from)
}

// admit tells whether one more that nobody knew is believed in. Danger: one broken sidecar can tell of thousands that do not
// exist, and each would have to be called before it counts as dead. Who has just come believes the first that it meets.
func (v *View) admitNewcomer(from int) bool {
	if v.now >= v.newcomersSince+newcomerWindowSeconds || v.newcomersSince == 0 {
		v.newcomersSince, v.newcomersBase, v.newcomersAdmitted = v.now, len(v.entries), 0
	}
	if v.isFirstLink(from) {
		return true
	}
	v.newcomersAdmitted++
	return v.newcomersAdmitted <= max(maxNewcomers, 2*v.newcomersBase)
}

// taught tells whether a link is the first of one that has just come.
func (v *View) isFirstLink(from int) bool {
	return from != 0 && from == v.firstLink && v.now < v.firstLinkAt+firstLinkTrustSeconds
}

// hearOfSelf takes what is said of this member.
func (v *View) handleOwnRecord(r Record, from int) {
	s := v.self
	switch c := r.Version.Compare(s.Version); {
	case v.lostIdentity || v.hasLeft && c <= 0:
	case c > 0 && r.Version.Incarnation > s.Version.Incarnation+maxIncarnationLead:
		// Danger: a greater one yet would run out of numbers, and without one this member stays what others call it.
		v.lostIdentity = true
		v.closeLinks()
		v.changeEntry(s, true, func() { s.Record, s.stateSince = r, v.now })
		v.actions.ReplaceIdentity("others are told of an incarnation that this identity can't have")
	case c > 0 && r.Version.BootID != s.Version.BootID:
		// Another process has this identity, and a later state of it.
		v.lostIdentity = true
		if r.Address == s.Address && v.settings.HotRestart {
			v.isReplaced = true
			v.closeLinks()
			return
		}
		why := "another process has this identity: a copied folder"
		if r.Address == s.Address {
			why = "this identity was already further than the state on disk: an old copy"
		}
		v.closeLinks()
		v.changeEntry(s, true, func() { s.Record, s.stateSince = r, v.now })
		v.actions.ReplaceIdentity(why)
	case c > 0 || c == 0 && (r.State == Suspect || r.State.IsDeadOrLeft() && !v.hasLeft):
		v.changeEntry(s, true, func() { s.Version.Incarnation = max(r.Version.Incarnation, s.Version.Incarnation) + 1 })
		v.digestChangedAt = v.now
		v.stats.Refutations++
		v.raiseHealthScore()
		v.enqueueUpdate(s, 0)
	case c < 0:
		v.enqueueUpdate(s, 0)
	}
}

// hush ends all links without a word about this member.
func (v *View) closeLinks() {
	for len(v.links) > 0 {
		l := v.links[0]
		v.actions.Send(l.number, &Message{Closing: true})
		v.dropLink(l)
	}
	v.updates = v.updates[:0]
	for _, e := range v.entries {
		e.isQueued = false
	}
}

// suspect sets when one that is suspected is dead: the sooner the more do not hear it.
func (v *View) scheduleDeath(e *entry) {
	if e.State != Suspect || e == v.self {
		return
	}
	at := e.stateSince + v.suspicionTimeout(len(e.Accusers))
	if e.deadAt == 0 || at < e.deadAt {
		e.deadAt = at
	}
	v.activate(e)
	// Danger: one that two others miss as well is no fault of this member's link.
	if len(e.Accusers) < maxAccusers && e.isWatched(v.now) && v.isSilent(e) && !slices.Contains(e.Accusers, v.self.ID) {
		v.accuse(e)
	}
}

// heat has an entry looked at with each tick.
func (v *View) activate(e *entry) {
	if !e.isActive && e != v.self {
		e.isActive = true
		v.active = append(v.active, e)
	}
}

// patience is how long one is suspected that so many do not hear.
func (v *View) suspicionTimeout(accusers int) float64 {
	able := 0 // to accuse it
	for _, e := range v.entries {
		if e.State == Alive {
			if able++; able >= maxAccusers {
				break
			}
		}
	}
	if able = max(able, 1); accusers >= able {
		return minSuspicionSeconds
	}
	return maxSuspicionSeconds - (maxSuspicionSeconds-minSuspicionSeconds)*math.Log(float64(max(accusers, 1)))/math.Log(float64(able))
}

// accuse says that this member does not hear another.
func (v *View) accuse(e *entry) {
	v.stats.Accusations++
	v.changeEntry(e, true, func() {
		if e.State == Alive {
			e.State, e.stateSince, e.deadAt = Suspect, v.now, 0
		}
		e.Accusers = mergeAccusers(e.Accusers, []ID{v.self.ID})
	})
	v.scheduleDeath(e)
	v.enqueueUpdate(e, 0)
}

// doubt notes that this member has reason to doubt itself.
func (v *View) raiseHealthScore() {
	v.healthScore, v.healthChangedAt = min(v.healthScore+1, maxHealthScore), v.now
}

// tell has a record told to all links but the one that it came by.
func (v *View) enqueueUpdate(e *entry, from int) {
	if e.isQueued {
		if e.sourceLink != from {
			e.sourceLink = 0
		}
		return
	}
	e.isQueued, e.sourceLink = true, from
	v.updates = append(v.updates, e)
}

// record returns what is said of an entry.
func (v *View) recordOf(e *entry) Record {
	r := e.Record
	if r.State.IsDeadOrLeft() {
		r.AgeSeconds = math.Round(10*(v.now-e.stateSince)) / 10
	}
	return r
}

// flush tells what is new.
func (v *View) sendUpdates() {
	if len(v.updates) == 0 {
		return
	}
	if !v.lostIdentity {
		var common []*Message // for those that have brought none of it, which are all but one as a rule
		// Danger: a link may end while something is sent over it, and what is new is told to all others by then.
		for _, l := range slices.Clone(v.links) {
			if len(v.updates) == 0 {
				return
			}
			if slices.ContainsFunc(v.updates, func(e *entry) bool { return e.sourceLink == l.number }) {
				for _, m := range v.updateMessages(l.number) {
					v.actions.Send(l.number, m)
				}
				continue
			}
			if common == nil {
				common = v.updateMessages(0)
			}
			for _, m := range common {
				v.actions.Send(l.number, m)
			}
		}
	}
	for _, e := range v.updates {
		e.isQueued, e.sourceLink = false, 0
	}
	v.updates = v.updates[:0]
}

// messages returns what is new, but for what came by a link.
func (v *View) updateMessages(but int) (all []*Message) {
	records := make([]Record, 0, min(len(v.updates), maxRecordsPerMessage))
	for _, e := range v.updates {
		if but != 0 && e.sourceLink == but {
			continue
		}
		if records = append(records, v.recordOf(e)); len(records) == maxRecordsPerMessage {
			all, records = append(all, &Message{Records: records}), nil
		}
	}
	if len(records) > 0 {
		all = append(all, &Message{Records: records})
	}
	return all
}

// forgetOne makes room: the one goes that has been gone the longest.
func (v *View) evictOldest() bool {
	var oldest *entry
	for _, e := range v.departed {
		if e.State.IsDeadOrLeft() && e != v.self && (oldest == nil || e.stateSince < oldest.stateSince || e.stateSince == oldest.stateSince && e.ID < oldest.ID) {
			oldest = e
		}
	}
	if oldest != nil {
		v.removeEntry(oldest)
	}
	return oldest != nil
}

func (v *View) removeEntry(e *entry) {
	if v.probed == e {
		v.probed = nil
	}
	same := func(o *entry) bool { return o == e }
	v.active, v.departed = slices.DeleteFunc(v.active, same), slices.DeleteFunc(v.departed, same)
	v.toggleDigest(e)
	if i, ok := v.indexOf(e.ID); ok {
		v.entries, v.ids = slices.Delete(v.entries, i, i+1), slices.Delete(v.ids, i, i+1)
	}
	delete(v.byID, e.ID)
	if e.link != nil {
		v.dropLink(e.link)
	}
}

// --- Comparing views ---

// buckets is how many sums are compared.
const bucketCount = 64

func bucketOf(id ID) int { return int(mix(uint64(id)) >> 58) }

// compare asks a neighbour what differs.
func (v *View) sendDigests(l *link) {
	v.lastSync = v.now
	v.stats.Syncs++
	v.actions.Send(l.number, &Message{BucketDigests: slices.Clone(v.bucketDigests[:])})
}

// differing tells a neighbour what is held otherwise here, and asks for what it holds.
func (v *View) handleDigests(l *link, theirs []uint64) {
	if len(theirs) != bucketCount {
		v.stats.Rejected++
		return
	}
	mask := uint64(0)
	for i, sum := range v.bucketDigests {
		if sum != theirs[i] {
			mask |= 1 << i
		}
	}
	if mask != 0 {
		v.sendBuckets(l, mask)
		v.actions.Send(l.number, &Message{WantedBuckets: []uint64{mask}})
	}
}

func (v *View) sendBuckets(l *link, mask uint64) {
	var records []Record
	most := min(maxRecordsPerMessage, len(v.entries)*bits.OnesCount64(mask)/bucketCount+8)
	for i, id := range v.ids {
		if mask>>bucketOf(id)&1 == 0 {
			continue
		}
		e := v.entries[i]
		if e.isExpired {
			continue
		}
		if records == nil {
			records = make([]Record, 0, most)
		}
		if records = append(records, v.recordOf(e)); len(records) == maxRecordsPerMessage {
			v.actions.Send(l.number, &Message{Records: records})
			records = nil
		}
	}
	if len(records) > 0 {
		v.actions.Send(l.number, &Message{Records: records})
	}
}

// ringOrder is a member's place on a ring.
func ringPosition(id ID, ring int) uint64 {
	return mix(uint64(id) + bits.RotateLeft64(0x9e3779b97f4a7c15, 11*ring))
}
