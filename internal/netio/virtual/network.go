// Package virtual is a netio.EventLoop whose clock and network are simulated: any number of processes on any number of
// machines, in one goroutine, as a discrete-event world. A seed and the same calls give the same history, to the byte.
//
// Its connections are as hostile as Linux's are on a bad day: bytes come cut at any place, sockets take less than is
// written, a peer reads slowly or not at all, resets destroy what is under way, machines fall silent with their
// connections open. Order is kept within one direction of one connection alone.
package virtual

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// World is a clock and a network. It belongs to one goroutine.
type Network struct {
	// Path is how packets travel between two machines of which SetPath has said nothing; Loopback, within one.
	Path, Loopback Path
	// CutShare is how many of the segments are cut once more, at a place drawn from the seed, from 0 to 1.
	SplitProbability float64
	// EveryByte has each byte travel alone.
	SplitEveryByte bool
	// Trace, where it is set, is told of all that happens.
	Trace func(Event)

	now          float64
	seq          uint64
	queue        []queueEntry
	events       []scheduledEvent
	free         []int32
	rand         *rand.Rand
	digest       *xxhash.Digest
	hashBuffer   [40]byte
	steps        uint64
	connCount    uint64
	processCount int

	machines []*Machine
	byIP     map[string]*Machine // looked up, never walked
	paths    [][]Path            // by the numbers of two machines
}

// New returns a world at a time in seconds of Unix time. Danger: programs take a start of 0 for "long ago"; the time
// should be that of a real day.
func New(seed uint64, start float64) *Network {
	return &Network{
		Path: Path{LatencySeconds: 0.0003, JitterSeconds: 0.0002}, Loopback: Path{LatencySeconds: 0.00002, JitterSeconds: 0.00001},
		SplitProbability: 0.1, now: start, rand: rand.New(rand.NewPCG(seed, 0x6e6574)), digest: xxhash.NewWithSeed(seed),
		byIP: map[string]*Machine{},
	}
}

// Now returns the time in seconds of Unix time.
func (n *Network) Now() float64 { return n.now }

// Steps returns how many events have happened.
func (n *Network) Steps() uint64 { return n.steps }

// Hash returns a hash of all calls that programs have had, with their times and bytes: two histories that differ
// anywhere differ in it.
func (n *Network) Hash() uint64 { return n.digest.Sum64() }

// At has f called at a time. It is for whoever drives the world; programs have their own alarms.
func (n *Network) Schedule(at float64, f func()) {
	n.schedule(at, scheduledEvent{kind: callEvent, call: f})
}

// Step has the next event happen; false: there is none.
func (n *Network) Step() bool {
	if len(n.queue) == 0 {
		return false
	}
	first := n.pop()
	n.now = first.at
	e := n.events[first.event]
	n.events[first.event] = scheduledEvent{}
	n.free = append(n.free, first.event)
	n.steps++
	n.dispatch(&e)
	return true
}

// Until has all events happen up to a time, which is then the present.
func (n *Network) RunUntil(t float64) {
	for len(n.queue) > 0 && n.queue[0].at <= t {
		n.Step()
	}
	n.now = max(n.now, t)
}
