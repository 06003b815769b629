package membershipsim

import (
	"fmt"
	"math/bits"
	"math/rand/v2"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sim/seeds"
)

// Crowd is members on a network. It belongs to one goroutine.
type Fleet struct {
	// LatencyS is how long a message takes, with as much again drawn.
	LatencySeconds float64

	seeds.Queue
	rng           *rand.Rand
	Nodes         []*Node
	nodeByAddress map[string]*Node     // by address; looked up, never walked
	blockedPaths  map[[2]int]bool      // ways; looked up, never walked
	recordSizes   map[recordKey]uint64 // in bytes, of records; likewise

	// Told is called for each change of what a member holds of another; nil: nobody is.
	OnChange func(at float64, by *Node, r swim.Record, was swim.State, known bool)
}

// New returns a crowd of nobody.
func New(seed uint64) *Fleet {
	return &Fleet{LatencySeconds: 0.001, Queue: seeds.NewQueue(1000), rng: rand.New(rand.NewPCG(seed, 0x63726f7764)), nodeByAddress: map[string]*Node{}, blockedPaths: map[[2]int]bool{},
		recordSizes: map[recordKey]uint64{}}
}

// Trace returns a number that is the same for two plays with the same history: what was due, in what order and when, what
// each member has sent, and what it holds of the others.
func (c *Fleet) Trace() uint64 {
	trace := c.Queue.Trace()
	fold := func(x uint64) { trace = bits.RotateLeft64((trace^x)*0x9e3779b97f4a7c15, 23) }
	for _, n := range c.Nodes {
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

// Add adds a sidecar that has not begun.
func (c *Fleet) AddNode() *Node {
	n := &Node{Number: len(c.Nodes), fleet: c, ends: map[int]*linkEnd{}}
	n.Address = fmt.Sprintf("10.%d.%d.%d:7946", n.Number>>16, n.Number>>8&255, n.Number&255)
	c.Nodes = append(c.Nodes, n)
	c.nodeByAddress[n.Address] = n
	return n
}

// Cut loses what goes one way; Mend ends that, and links that lost anything break.
func (c *Fleet) BlockPath(from, to *Node) { c.blockedPaths[[2]int{from.Number, to.Number}] = true }

// Mend ends a Cut.
func (c *Fleet) RestorePath(from, to *Node) {
	delete(c.blockedPaths, [2]int{from.Number, to.Number})
	for i := 1; i <= from.lastLink; i++ {
		if e := from.ends[i]; e != nil && e.other.node == to && (e.hasLost || e.other.hasLost) {
			e.close()
			from.linkEnded(e)
		}
	}
}

// Reset breaks the links between two.
func (c *Fleet) ResetLinks(a, b *Node) {
	for i := 1; i <= a.lastLink; i++ {
		if e := a.ends[i]; e != nil && e.other.node == b {
			e.close()
			a.linkEnded(e)
		}
	}
}

func (c *Fleet) latency() float64 { return c.LatencySeconds * (1 + c.rng.Float64()) }
