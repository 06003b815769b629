package swim

import (
	"math/rand/v2"
	"slices"
)

// Actions is what a View asks of its caller. None of them may call back into the View before it returns, but for LinkDown.
type Actions interface {
	// Dial asks for a link to an address; LinkUp or DialFailed follows.
	Dial(address string)
	// Send sends a message over a link. A message that the link can't take may be dropped: anti-entropy repairs the loss. The same
	// message may be sent over several links and is never changed again.
	Send(link int, m *Message)
	// Close closes a link; LinkDown does not follow.
	Close(link int)
	// MemberChanged reports, for logs, that a member's state changed from was, or that it is new (known is false).
	MemberChanged(r Record, was State, known bool)
	// ReplaceIdentity asks for another identity, since another process has this one. AdoptIdentity follows once the new one is on
	// disk; until then the View sends nothing.
	ReplaceIdentity(reason string)
}

// View is the membership as one member knows it. It is not safe for concurrent use. All times are seconds of one clock that does not
// go back; each method that takes the time may call Actions.
type View struct {
	settings Settings
	actions  Actions
	rng      *rand.Rand
	now      float64

	// The members. Lookups only go by byID; it is never iterated.
	self     *entry
	entries  []*entry // by ID, self included
	ids      []ID     // of entries, in the same order. Danger: iterating over thousands of entries costs a cache miss each
	byID     map[ID]*entry
	departed []*entry // dead or left, and some that came back; swept from time to time
	active   []*entry // suspect or watched. Danger: iterating over all entries for each message costs by the square of the fleet
	changes  uint64

	// The identity.
	name, address string
	lostIdentity  bool // nothing is sent
	hasLeft       bool
	isReplaced    bool

	// Links and neighbors.
	links            []*link
	dials            map[string]ID // in progress, by address: the member expected there; 0: unknown
	joinIDs          map[string]ID // who was found at an address of Settings.Join
	requested        []ID          // by RequestLinks
	neighbors        []*entry
	neighborsStale   bool // must be chosen anew
	neighborsTouched bool // a change that leaves them as they are
	nearestLive      [ringCount]float64
	firstLink        int // number of the first link ever; 0: none yet
	firstLinkAt      float64

	// Failure detection.
	healthScore     int // of Lifeguard: reasons to distrust this member's own observations
	healthChangedAt float64
	probed          *entry // by the last probe
	probeInterval   float64

	// Dissemination.
	updates           []*entry // whose records are to be sent
	digest            uint64   // of all bucketDigests
	bucketDigests     [bucketCount]uint64
	digestChangedAt   float64
	lastSync          float64
	newcomersSince    float64 // start of the window in which newcomers are counted
	newcomersBase     int     // members known at its start, and those that the first link reported since
	newcomersAdmitted int     // on the word of others since

	// When what is due next.
	nextTick             float64
	nextHeartbeat        float64
	nextSweep            float64
	nextReconnect        float64
	nextProbe            float64
	nextMassFailureProbe float64

	stats Stats
}

// entry is a member with what this one knows beside its record.
type entry struct {
	Record
	stateSince float64
	deadAt     float64 // of a suspect member: when it will be dead; 0: not scheduled

	link         *link // nil: none that both ends know of
	watchedUntil float64
	lastHeard    float64 // last message, or since when one is expected
	failedDials  int     // in a row
	nextDial     float64
	mutedUntil   float64 // this member alone doesn't accuse it before
	muteSeconds  float64
	sourceLink   int // over which the queued update came; 0: several, or none

	// Kept together: a simulated fleet of 5,000 has 25 million entries.
	isNeighbor bool // on a ring, or requested
	isDialing  bool
	wasLinked  bool // there has been a link to this version of it
	isActive   bool // is in View.active
	isQueued   bool // is in View.updates
	isDeparted bool // is in View.departed
	isExpired  bool // has been dead or left for so long that it no longer counts for digests
}

// link is an established link.
type link struct {
	number     int
	peer       *entry
	bootID     uint64 // of the process at the other end
	dialedHere bool
	peerWants  bool // the other end wants to keep it
	mismatches int  // heartbeats in a row with another digest
}

// Stats count what a View has done.
type Stats struct {
	Accusations uint64 `json:"accusations"` // by this member
	Refutations uint64 `json:"refutations"` // of accusations against this member
	Deaths      uint64 `json:"deaths"`      // declared by this member
	Stalls      uint64 `json:"stalls"`      // of this process
	Rejected    uint64 `json:"refused"`     // records that were invalid or had no room
	Syncs       uint64 `json:"syncs"`       // comparisons of views that this member began
}

// New returns the view of a member that knows only itself. The caller calls Tick at once.
func New(now float64, self Record, settings Settings, actions Actions) *View {
	v := &View{
		settings: settings, actions: actions, rng: rand.New(rand.NewPCG(settings.Seed, uint64(self.ID))), now: now,
		byID: map[ID]*entry{}, dials: map[string]ID{}, joinIDs: map[string]ID{},
		name: self.Name, address: self.Address,
		probeInterval: maxProbeIntervalSeconds, healthChangedAt: now, digestChangedAt: now,
		nextTick: now, nextHeartbeat: now,
	}
	v.installIdentity(self)
	return v
}

// Self returns the record of this member.
func (v *View) Self() Record { return v.self.Record }

// Stats returns the counts so far.
func (v *View) Stats() Stats { return v.stats }

// Digest returns a number that is equal for two members that know the same, apart from suspicions.
func (v *View) Digest() uint64 { return v.digest }

// Changes returns a number that grows with each change of any record.
func (v *View) Changes() uint64 { return v.changes }

// MemberStatus is what is known of a member.
type MemberStatus struct {
	Record
	StateAgeSeconds float64
	IsLinked        bool
	IsNeighbor      bool // on a ring, or requested: its silence is detected even without a link
}

// Members calls yield for all known members in the order of IDs, this one and dead ones included.
func (v *View) Members(yield func(MemberStatus) bool) {
	for _, e := range v.entries {
		if !yield(MemberStatus{Record: e.Record, StateAgeSeconds: v.now - e.stateSince, IsLinked: e.link != nil, IsNeighbor: e.isNeighbor}) {
			return
		}
	}
}

// Rank returns the position of this member among those that are not dead and have not left, in the order of IDs, and their number.
// Members that died less than holdSeconds ago still count, so that a flapping member moves no rank.
func (v *View) Rank(holdSeconds float64) (rank, count int) {
	rank, _ = v.indexOf(v.self.ID)
	count = len(v.entries)
	for _, e := range v.departed {
		if e != v.self && e.State.IsDeadOrLeft() && !(e.State == Dead && v.now-e.stateSince < holdSeconds) {
			if count--; e.ID < v.self.ID {
				rank--
			}
		}
	}
	return rank, count
}

// LiveCount returns the number of members that are not dead and have not left, this one included.
func (v *View) LiveCount() int {
	n := len(v.entries)
	for _, e := range v.departed {
		if e.State.IsDeadOrLeft() {
			n--
		}
	}
	return n
}

// NextTick returns when Tick must be called.
func (v *View) NextTick() float64 { return v.nextTick }

// Tick does what is due by now: failure detection, heartbeats, probes and reconnects.
func (v *View) Tick(now float64) {
	v.advanceClock(now)
	v.nextTick = v.now + tickIntervalSeconds
	if v.lostIdentity {
		return
	}
	defer v.finishEvent()
	v.decayHealthScore()
	if v.hasLeft {
		return
	}
	v.detectFailures()
	if v.now >= v.nextSweep {
		v.sweep()
	}
	if v.now >= v.nextHeartbeat {
		v.nextHeartbeat = v.now + heartbeatIntervalSeconds
		var prepared [2]*Message
		for _, l := range slices.Clone(v.links) {
			v.sendHeartbeat(l, &prepared)
		}
	}
	v.reconnect()
	v.probeIfDue()
}

// finishEvent ends each call that takes the time: it chooses neighbors if they may have changed, sends queued updates, and dials.
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
			e.isDialing, e.nextDial = true, v.now+redialDelaySeconds
			v.dial(e.Address, e.ID)
		}
	}
}
