// Package virtual implements netio.EventLoop on a simulated clock and network: a discrete-event simulation, in one goroutine, of any
// number of processes on any number of machines. Equal seeds and calls give equal histories, to the byte.
//
// Connections show the faults of TCP on Linux: reads return any number of bytes, sockets accept less than is written, a peer reads slowly
// or not at all, resets destroy what is in flight, machines disappear with their connections open. Order is guaranteed within one
// direction of one connection only.
package virtual

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Network is a simulated clock and network, in one goroutine: its methods and those of its processes and connections are called
// from there alone.
type Network struct {
	// Path is the default between two machines, Loopback that within one; SetPath changes one pair of machines. Machines created before
	// a change of either keep the old one.
	Path, Loopback Path
	// SplitProbability is how likely a segment is split once more, at a random offset.
	SplitProbability float64
	// SplitEveryByte sends each byte in a segment of its own.
	SplitEveryByte bool
	// Trace, if set, is called with every event.
	Trace func(Event)

	now          float64
	seq          uint64 // of the events scheduled: those of one time happen in this order
	queue        []queueEntry
	events       []scheduledEvent // that queue refers to by index
	free         []int32          // indices of events that are not in use
	rand         *rand.Rand
	digest       *xxhash.Digest // of all calls of handlers
	hashBuffer   [40]byte
	steps        uint64
	connCount    uint64
	processCount int

	machines []*Machine
	byIP     map[string]*Machine // for lookups; never iterated
	paths    [][]Path            // by the numbers of the sending and the receiving machine
}

// New returns a network at a start in seconds of Unix time. Danger: programs treat a time of 0 as "long ago"; start should be a
// present date.
func New(seed uint64, start float64) *Network {
	return &Network{
		Path: Path{LatencySeconds: 0.0003, JitterSeconds: 0.0002}, Loopback: Path{LatencySeconds: 0.00002, JitterSeconds: 0.00001},
		SplitProbability: 0.1, now: start, rand: rand.New(rand.NewPCG(seed, 0x6e6574)), digest: xxhash.NewWithSeed(seed),
		byIP: map[string]*Machine{},
	}
}

// Now returns the network's time in seconds of Unix time.
func (n *Network) Now() float64 { return n.now }

// Steps returns how many events have happened.
func (n *Network) Steps() uint64 { return n.steps }

// Hash returns a hash of all calls of handlers so far, with their times and bytes: equal hashes mean equal histories.
func (n *Network) Hash() uint64 { return n.digest.Sum64() }

// Schedule has f called at a time. It is for the simulation's driver; programs use EventLoop.SetAlarm.
func (n *Network) Schedule(at float64, f func()) {
	n.enqueueEvent(at, scheduledEvent{kind: callEvent, call: f})
}

// Step makes the next event happen; false if there is none.
func (n *Network) Step() bool {
	if len(n.queue) == 0 {
		return false
	}
	first := n.dequeueEvent()
	n.now = first.at
	e := n.events[first.event]
	n.events[first.event] = scheduledEvent{}
	n.free = append(n.free, first.event)
	n.steps++
	n.dispatch(&e)
	return true
}

// RunUntil makes all events up to a time happen, and sets the clock to it.
func (n *Network) RunUntil(t float64) {
	for len(n.queue) > 0 && n.queue[0].at <= t {
		n.Step()
	}
	n.now = max(n.now, t)
}
