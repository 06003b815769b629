package swim

import (
	"math/rand/v2"
	"slices"
)

// Actions are requests of a View to its caller. No method may call back into the View before it returns, except for LinkDown.
type Actions interface {
	// Dial requests a link to an address; the caller calls LinkUp or DialFailed when the dial ends.
	Dial(address string)
	// Send sends a message over a link. It may drop a message for which the link has no room: anti-entropy repairs the loss. The same
	// message may be sent over several links, and the View doesn't change it afterwards.
	Send(link int, m *Message)
	// Close closes a link; the caller doesn't call LinkDown for it.
	Close(link int)
	// MemberChanged reports, for logs, that a member's state changed from was, or that it is new (known is false).
	MemberChanged(r Record, was State, known bool)
	// ReplaceIdentity requests another identity, since another process uses this one. The caller calls AdoptIdentity when the new one
	// is on disk; until then the View sends nothing.
	ReplaceIdentity(reason string)
}

// View is the membership as one member knows it. It is not safe for concurrent use. All times are seconds on one monotonic clock; each
// method that takes the time may call Actions.
type View struct {
	settings Settings
	actions  Actions
	rng      *rand.Rand
	now      float64

	// The members. byID is only for lookups and is never iterated, since its order is random.
	self     *entry
	entries  []*entry // by ID, self included
	ids      []ID     // IDs of entries, in the same order. Danger: iterating over entries instead costs a cache miss for each
	byID     map[ID]*entry
	departed []*entry // members that are dead or left, and some that are alive again until the next sweep
	active   []*entry // members that are suspect or watched. Danger: iterating over all entries for each message would cost the square of the fleet's size
	changes  uint64

	// The identity.
	name, address string
	lostIdentity  bool // nothing is sent
	hasLeft       bool
	isReplaced    bool

	// Links and neighbors.
	links            []*link
	dials            map[string]ID // dials in progress: the member expected at each address, 0 if unknown
	joinIDs          map[string]ID // the member that was found at each address of Settings.Join
	requested        []ID          // see RequestLinks
	neighbors        []*entry
	neighborsStale   bool               // neighbors must be recomputed
	neighborsTouched bool               // an entry has changed without effect on the neighbors
	nearestLive      [ringCount]float64 // by ring: distance to the next live member
	firstLink        int                // number of the first link; 0 if there was none yet
	firstLinkAt      float64

	// Failure detection.
	healthScore     int // see HealthScore
	healthChangedAt float64
	probed          *entry // the member that was probed last
	probeInterval   float64

	// Dissemination.
	updates           []*entry // entries whose records are queued for sending
	digest            uint64   // XOR of all bucketDigests
	bucketDigests     [bucketCount]uint64
	digestChangedAt   float64
	lastSync          float64
	newcomersSince    float64 // start of the window in which newcomers are counted
	newcomersBase     int     // members known at its start, plus the records that the first link sent since
	newcomersAdmitted int     // newcomers counted against the limit since

	// When each periodic task is due next.
	nextTick             float64
	nextHeartbeat        float64
	nextSweep            float64
	nextReconnect        float64
	nextProbe            float64
	nextMassFailureProbe float64

	stats Stats
}

// entry is a member's record with the local state about it.
type entry struct {
	Record
	stateSince float64
	deadAt     float64 // when a suspect member will be declared dead; 0 if not scheduled

	link         *link // nil if there is none
	watchedUntil float64
	lastHeard    float64 // time of the last message, or start of the silence timeout
	failedDials  int     // in a row
	nextDial     float64 // earliest time of the next dial
	mutedUntil   float64 // this member alone doesn't accuse it before then
	muteSeconds  float64
	sourceLink   int // link over which the queued update came; 0 for several or none

	// The flags are adjacent to save memory: a simulated fleet of 5,000 members has 25 million entries.
	isNeighbor bool // on a ring, or requested
	isDialing  bool
	wasLinked  bool // there has been a link to this version of the member
	isActive   bool // is in View.active
	isQueued   bool // is in View.updates
	isDeparted bool // is in View.departed
	isExpired  bool // has been dead or left for so long that it is excluded from digests
}

// link is an established link to a peer.
type link struct {
	number     int
	peer       *entry
	bootID     uint64 // of the process at the other end
	dialedHere bool
	peerWants  bool // the peer wants to keep the link
	mismatches int  // consecutive heartbeats with another digest
}

// Stats are counters of a View.
type Stats struct {
	Accusations uint64 `json:"accusations"` // by this member
	Refutations uint64 `json:"refutations"` // of accusations against this member
	Deaths      uint64 `json:"deaths"`      // declared by this member
	Stalls      uint64 `json:"stalls"`      // of this process
	Rejected    uint64 `json:"refused"`     // records that were invalid or for which there was no room
	Syncs       uint64 `json:"syncs"`       // comparisons of views that this member started
}

// New returns the view of a member that knows only itself. The caller must call Tick at once.
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

// Digest returns a number that is equal for two members whose views are equal, apart from suspicions.
func (v *View) Digest() uint64 { return v.digest }

// Changes returns a number that grows with each change of any record.
func (v *View) Changes() uint64 { return v.changes }

// MemberStatus is a member as a View knows it.
type MemberStatus struct {
	Record
	StateAgeSeconds float64
	IsLinked        bool
	IsNeighbor      bool // on a ring, or requested: its silence is detected even without a link
}

// Members calls yield for all known members in the order of IDs, including this one and dead ones.
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

// Tick runs the periodic tasks that are due: failure detection, heartbeats, probes and reconnects.
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

// finishEvent runs at the end of each call that takes the time: it recomputes the neighbors if they may have changed, sends queued
// updates, and dials.
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
