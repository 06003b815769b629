package swim

import (
	"math/rand/v2"
	"slices"
)

// Actions is what a View asks for. None may call back into it.
type Actions interface {
	// Dial asks for a link to an address; LinkUp or NotUp follows.
	Dial(address string)
	// Send sends a message over a link. What the link can't take is lost, and found again by the sums. The message, which
	// may go over several links, is never changed again.
	Send(link int, m *Message)
	// Close ends a link; LinkDown does not follow.
	Close(link int)
	// Changed tells that what is held of a member has changed, for the log.
	MemberChanged(r Record, was State, known bool)
	// Renew asks for another identity: this one is another process's. Become follows once it is on disk, and until then
	// nothing is said.
	ReplaceIdentity(why string)
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

// Self returns the record of the member itself.
func (v *View) Self() Record { return v.self.Record }

// Figures returns the counts so far.
func (v *View) Stats() Stats { return v.stats }

// Sum returns a number that is the same for two members that hold the same of all, but for suspicions.
func (v *View) Digest() uint64 { return v.digest }

// Changes returns a number that grows with each change of what is held of anybody.
func (v *View) Changes() uint64 { return v.changes }

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

// Next returns when Tick is to be called.
func (v *View) NextTick() float64 { return v.nextTick }

// enter takes the time. Danger: who stood still has heard nobody, by no fault of theirs; it doubts itself first.
func (v *View) advanceClock(now float64) {
	if gap := now - v.now; gap > stallThresholdSeconds {
		v.stats.Stalls++
		for _, e := range v.entries {
			e.lastHeard = max(e.lastHeard, now-silenceTimeoutSeconds/2)
			if e.State == Suspect && e.deadAt > 0 {
				e.deadAt += gap
			}
		}
		v.raiseHealthScore()
	}
	v.now = max(v.now, now)
}

// Tick does what is due.
func (v *View) Tick(now float64) {
	v.advanceClock(now)
	if v.nextTick = v.now + tickIntervalSeconds; v.lostIdentity {
		return
	}
	defer v.finishEvent()
	if v.healthScore > 0 && v.now-v.healthChangedAt > healthDecaySeconds {
		v.healthScore, v.healthChangedAt = v.healthScore-1, v.now
	}
	if v.hasLeft {
		return
	}
	for _, e := range slices.Clone(v.active) {
		if e.link != nil && v.now-e.lastHeard > linkTimeoutSeconds*float64(1+v.healthScore) {
			// Danger: over a way that was cut TCP waits longer and longer, and a new link would be up at once.
			e.watchedUntil, e.nextDial = v.now+watchGraceSeconds, v.now
			v.dropLink(e.link)
		}
		switch {
		case e.State == Suspect && e.deadAt > 0 && v.now >= e.deadAt:
			v.stats.Deaths++
			v.changeEntry(e, true, func() { e.State, e.stateSince, e.Accusers = Dead, v.now, []ID{v.self.ID} })
			v.enqueueUpdate(e, 0)
		case e.State.IsDeadOrLeft():
		case e.isWatched(v.now) && v.isSilent(e):
			v.suspectSilent(e)
		}
	}
	v.active = slices.DeleteFunc(v.active, func(e *entry) bool {
		e.isActive = e.State == Suspect || e.isWatched(v.now)
		return !e.isActive
	})
	if v.now >= v.nextSweep {
		v.sweep()
	}
	if v.now >= v.nextHeartbeat {
		v.nextHeartbeat = v.now + heartbeatIntervalSeconds
		var said [2]*Message
		for _, l := range slices.Clone(v.links) {
			v.sendHeartbeat(l, &said)
		}
	}
	v.reconnect()
	if v.now < v.nextProbe && v.now < v.nextMassFailureProbe {
		return
	}
	suspected, live := v.countSuspects()
	storm := suspected*massFailureFraction > live
	if storm && v.probeInterval > massFailureProbeIntervalSeconds {
		v.probeInterval = massFailureProbeIntervalSeconds
	}
	if storm || v.now >= v.nextProbe {
		v.probe(storm)
	}
	v.nextMassFailureProbe = v.now + min(v.probeInterval, massFailureProbeIntervalSeconds)
}

// settle chooses neighbours, dials them, and tells what is new.
func (v *View) finishEvent() {
	switch {
	case v.neighborsStale:
		v.chooseNeighbors()
	case v.neighborsTouched:
		for _, e := range v.neighbors {
			v.restartSilence(e)
		}
	}
	v.neighborsStale, v.neighborsTouched = false, false
	v.sendUpdates()
	if v.lostIdentity || v.hasLeft {
		return
	}
	for _, e := range v.active {
		if e.link == nil && !e.isDialing && !e.State.IsDeadOrLeft() && v.now >= e.nextDial && (e.isNeighbor || v.now < e.watchedUntil) {
			e.isDialing, e.nextDial = true, v.now+1
			v.dial(e.Address, e.ID)
		}
	}
}
