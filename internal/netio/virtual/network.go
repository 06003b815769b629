// Package virtual implements netio.EventLoop with a simulated clock and network. It is a discrete-event simulation, in one goroutine, of any
// number of processes on any number of machines. The same seed and calls produce the same history, to the byte.
//
// Connections behave like TCP on Linux, faults included: reads return any number of bytes, sockets accept less than is written, peers read
// slowly or not at all, resets drop bytes in flight, machines disappear while their connections are open. The order of bytes is guaranteed
// only within one direction of one connection.
package virtual

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Network is a simulated clock and network. Its methods, and those of its processes and connections, may be called from one goroutine
// only.
type Network struct {
	// Path is the default path between two machines, and Loopback that within one machine. A change affects only machines that are created
	// afterwards. SetPath changes the path from one existing machine to another.
	Path, Loopback Path
	// SplitProbability is the probability that a segment is split at a random offset. The rest may be split again.
	SplitProbability float64
	// SplitEveryByte sends each byte in a segment of its own.
	SplitEveryByte bool
	// Trace, if set, is called with every event.
	Trace func(Event)

	now          float64
	seq          uint64 // number of events scheduled; events at the same time happen in the order of scheduling
	queue        []queueEntry
	events       []scheduledEvent // queue refers to them by index
	free         []int32          // unused indices of events
	rand         *rand.Rand
	digest       *xxhash.Digest // of all calls to handlers
	hashBuffer   [40]byte
	steps        uint64
	connCount    uint64
	processCount int

	machines []*Machine
	byIP     map[string]*Machine // for lookups; never iterated
	paths    [][]Path            // by the numbers of the sending and the receiving machine
}

// New returns a network whose clock begins at start, in seconds of Unix time. start should be a present-day time, since programs treat a
// time of 0 as "long ago".
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

// Hash returns a hash of all calls to handlers so far, with their times and bytes. Equal hashes mean equal histories.
func (n *Network) Hash() uint64 { return n.digest.Sum64() }

// Schedule calls f at a time. It is meant for the code that drives the simulation; programs use EventLoop.SetAlarm.
func (n *Network) Schedule(at float64, f func()) {
	n.enqueueEvent(at, scheduledEvent{kind: callEvent, call: f})
}

// Step executes the next event. It returns false if there is none.
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

// RunUntil executes all events up to a time, and sets the clock to that time.
func (n *Network) RunUntil(t float64) {
	for len(n.queue) > 0 && n.queue[0].at <= t {
		n.Step()
	}
	n.now = max(n.now, t)
}
