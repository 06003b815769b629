package membershipsim

import (
	"fmt"
	"math/bits"
	"math/rand/v2"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sim/seeds"
)

// Fleet is a set of members on a simulated network. It is not safe for concurrent use.
type Fleet struct {
	// LatencySeconds is the least latency of a message; up to as much again is drawn.
	LatencySeconds float64

	// OnChange, if set, is called for each change of a record at one member.
	OnChange func(at float64, by *Node, r swim.Record, was swim.State, known bool)

	Nodes []*Node

	seeds.Queue
	rng *rand.Rand

	// Maps are only looked up and never iterated, so that equal seeds give equal histories.
	nodeByAddress map[string]*Node
	blockedPaths  map[path]bool
	recordSizes   map[recordKey]uint64 // in bytes, as encoded
}

// path is the direction from one node to another, by their numbers.
type path struct{ from, to int }

// New returns a fleet without members.
func New(seed uint64) *Fleet {
	return &Fleet{
		LatencySeconds: 0.001,
		Queue:          seeds.NewQueue(1000),
		rng:            rand.New(rand.NewPCG(seed, 0x63726f7764)),
		nodeByAddress:  map[string]*Node{},
		blockedPaths:   map[path]bool{},
		recordSizes:    map[recordKey]uint64{},
	}
}

// Trace returns a number that is equal for two runs with the same history: the events and their times, what each member sent, and
// what it knows of the others.
func (f *Fleet) Trace() uint64 {
	trace := f.Queue.Trace()
	fold := func(x uint64) { trace = bits.RotateLeft64((trace^x)*0x9e3779b97f4a7c15, 23) }
	for _, n := range f.Nodes {
		fold(n.SentBytes)
		fold(n.Messages)
		fold(n.Wakeups)
		if n.IsRunning {
			fold(n.View.Digest())
			fold(n.View.Changes())
		}
	}
	return trace
}

// AddNode adds a node whose process is not running.
func (f *Fleet) AddNode() *Node {
	n := &Node{Number: len(f.Nodes), fleet: f, ends: map[int]*linkEnd{}}
	n.Address = fmt.Sprintf("10.%d.%d.%d:7946", n.Number>>16, n.Number>>8&255, n.Number&255)
	f.Nodes = append(f.Nodes, n)
	f.nodeByAddress[n.Address] = n
	return n
}

// BlockPath loses what one node sends to another, until RestorePath.
func (f *Fleet) BlockPath(from, to *Node) { f.blockedPaths[path{from.Number, to.Number}] = true }

// RestorePath ends BlockPath. Links that lost a message break.
func (f *Fleet) RestorePath(from, to *Node) {
	delete(f.blockedPaths, path{from.Number, to.Number})
	f.resetLinks(from, to, func(e *linkEnd) bool { return e.hasLost || e.other.hasLost })
}

// ResetLinks breaks the links between two nodes.
func (f *Fleet) ResetLinks(a, b *Node) {
	f.resetLinks(a, b, func(*linkEnd) bool { return true })
}

func (f *Fleet) resetLinks(a, b *Node, accept func(*linkEnd) bool) {
	for i := 1; i <= a.lastLink; i++ { // not by the map, in order to have the same history each time
		if e := a.ends[i]; e != nil && e.other.node == b && accept(e) {
			e.close()
			a.linkEnded(e)
		}
	}
}

func (f *Fleet) latency() float64 { return f.LatencySeconds * (1 + f.rng.Float64()) }
