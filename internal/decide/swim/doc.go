// Package swim decides who is there: which sidecars of a fleet live, are suspected, have left or are dead. It is a pure
// state machine: it is told the time, of links and of messages, and asks for links and messages. The same calls give the
// same calls back.
//
// Each member watches its neighbours on a few rings, which are the members in orders of their own, so all that live are
// joined by short ways (the expander of Rapid). Who is not heard is accused; who is accused and hears of it says so with a
// greater incarnation (SWIM); accusations by several count sooner than one alone, and who has doubts about itself waits
// longer (Lifeguard). What is new goes to all links at once, and what was missed is found by comparing sums of views.
// docs/design/peers.md weighs the ways.
package swim

import (
	"cmp"
	"strconv"
)

// ID is an identity: it survives a restart with its state, and is drawn anew without.
type ID uint64

// String returns the identity as 16 hexadecimal digits.
func (id ID) String() string {
	s := strconv.FormatUint(uint64(id), 16)
	return "0000000000000000"[:16-len(s)] + s
}

// State is what is held of a member.
type State uint8

// The states. At one version the greater one holds.
const (
	Alive   State = iota
	Suspect       // one at least does not hear it, and it has not answered to that
	Dead
	Left // by its own word
)

var stateNames = [...]string{"alive", "suspected", "dead", "left"}

// String names the state; what came over a link may be none.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Gone tells whether a member is dead or has left.
func (s State) IsDeadOrLeft() bool { return s >= Dead }

// Version orders what is said of one identity. Danger: two processes may claim the same one, from a copied folder, and
// count their incarnations alike; the number that each has drawn for its life tells them apart.
type Version struct {
	Incarnation uint64 `msgpack:"i"` // grows with each life, and within a life with each refutation
	BootID      uint64 `msgpack:"l"` // drawn at the start of each process
}

// Compare orders versions.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Incarnation, o.Incarnation), cmp.Compare(v.BootID, o.BootID))
}

// Record is what one member tells another of a third, or of itself. Of two records of one identity Merge makes one; in what
// order they come makes no difference.
type Record struct {
	ID         ID      `msgpack:"d"`
	Version    Version `msgpack:"v"`
	State      State   `msgpack:"s,omitempty"`
	Name       string  `msgpack:"n,omitempty"`
	Address    string  `msgpack:"a,omitempty"` // where it is dialed, with its port
	Accusers   []ID    `msgpack:"b,omitempty"` // who do not hear it; of one that is dead, whose word it was
	AgeSeconds float64 `msgpack:"t,omitempty"` // for how long it has been dead or left, by clocks that ran since
	Durable    bool    `msgpack:"k,omitempty"` // its state outlives the process: it can be an elector
}

// Beat is what neighbours say again and again.
type Heartbeat struct {
	Digest uint64 `msgpack:"s"`           // of the whole view
	Wanted bool   `msgpack:"w,omitempty"` // the sender wants the link: the other is its neighbour on a ring
}

// Message is what goes over a link. Each field stands for itself.
type Message struct {
	Heartbeat     *Heartbeat `msgpack:"b,omitempty"`
	Records       []Record   `msgpack:"r,omitempty"`
	BucketDigests []uint64   `msgpack:"s,omitempty"` // of the view, by bucket; the other answers with what differs
	WantedBuckets []uint64   `msgpack:"w,omitempty"` // the buckets, as bits, whose records the sender lacks or holds otherwise
	Closing       bool       `msgpack:"y,omitempty"` // the link ends, and that says nothing of its sender
}

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

// Settings are what a View is told at its start. Times are in seconds.
type Settings struct {
	Join []string // addresses to begin with
	// Replaceable says that a process with the same identity and address is a successor, which speaks from now on.
	HotRestart bool
	Seed       uint64
}

// How members watch each other, in seconds where nothing else is said.
const (
	maxRequestedLinks               = 16   // members that links are kept to since Want asked for them
	ringCount                       = 4    // each is a neighbour to watch, and one to be watched by
	heartbeatIntervalSeconds        = 0.5  // between two beats on a link
	tickIntervalSeconds             = 0.25 // between two looks at what is due
	silenceTimeoutSeconds           = 1.4  // without a word makes an accusation
	refusedTimeoutSeconds           = 0.6  // makes one where two dials were refused meanwhile
	minSuspicionSeconds             = 1.0  // from an accusation to a death that three have seen
	maxSuspicionSeconds             = 4.0  // to one that nobody else has
	maxAccusers                     = 3    // accusers to be quick
	maxHealthScore                  = 3    // doubts about oneself, each of which adds to the patience with others
	healthDecaySeconds              = 5.0  // after which one doubt goes
	linkTimeoutSeconds              = 4.0  // without a word end a link
	stallThresholdSeconds           = 0.9  // between two calls: this process stood still
	minMuteSeconds                  = 5.0  // before one that has refuted is accused by the same alone again; doubles up to
	maxMuteSeconds                  = 60.0
	watchGraceSeconds               = 10.0  // a link is watched that ended without a word and is not wanted
	deadLinkSeconds                 = 30.0  // a link to one that is dead is kept: it may have stood still
	forgetAfterSeconds              = 600.0 // the dead and the left are known for
	digestMarginSeconds             = 60.0  // before they are forgotten they no longer count for the sums
	reconnectsPerSecond             = 8.0   // calls a second of the whole fleet at those that are not heard, to meet again after a cut
	maxMembers                      = 8192  // members, with the dead
	maxProbeIntervalSeconds         = 2.0   // between two calls at members that were never met; by half after each that was not there, down to
	minProbeIntervalSeconds         = 0.1
	maxNewcomers                    = 1024 // that are taken on others' word in newcomersS, or as many as are known twice over
	newcomerWindowSeconds           = 10.0
	firstLinkTrustSeconds           = 5.0 // in which all is believed that comes by the first link
	massFailureFraction             = 4   // one in so many suspected: many have gone at once, and any member is called
	massFailureProbeIntervalSeconds = 0.5 // between two such calls, to begin with
	sweepIntervalSeconds            = 5.0 // between two looks at those that are gone
	maxIncarnationLead              = 1 << 48
	maxRecordsPerMessage            = 300  // records in one message
	minSyncIntervalSeconds          = 1.0  // between two comparisons, at least
	maxSyncIntervalSeconds          = 10.0 // at most, while views differ
)
