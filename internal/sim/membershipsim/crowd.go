// Package membershipsim plays the decisions about who is there by themselves, for as many members as a fleet may have: no sockets,
// no sidecars, a clock and a network that a seed draws. It judges from its own record of who lived, and counts what it costs.
package membershipsim

import (
	"fmt"
	"math/bits"
	"math/rand/v2"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers/frames"
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

// Node is one sidecar over all lives of its process.
type Node struct {
	Number    int
	Address   string
	View      *swim.View
	IsRunning bool // its process lives
	IsFrozen  bool

	fleet      *Fleet
	id         swim.ID
	generation uint64
	process    int // of the process; what was meant for an earlier one is lost
	ends       map[int]*linkEnd
	lastLink   int
	deferred   []func()
	SentBytes  uint64 // bytes
	Messages   uint64
	Wakeups    uint64 // of its loop
	MaxLinks   int
}

// end is one end of a link.
type linkEnd struct {
	node          *Node
	process       int
	number        int
	other         *linkEnd
	dialedAddress string // that was dialed
	isUp          bool   // LinkUp was called
	isClosed      bool
	lastArrival   float64 // what is sent later must not arrive earlier
	hasLost       bool
	isReported    bool // the process has been told
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

// Start begins a process; with its state it is who it was.
func (n *Node) Start(kept bool, join ...string) {
	if n.IsRunning {
		return
	}
	if !kept || n.id == 0 {
		n.id, n.generation = swim.ID(n.fleet.rng.Uint64()|1), 0
	}
	n.generation++
	n.IsRunning, n.IsFrozen = true, false
	n.process++
	self := swim.Record{ID: n.id, Version: swim.Version{Incarnation: n.generation << 32, BootID: n.fleet.rng.Uint64()}, Name: fmt.Sprintf("s%d", n.Number),
		Address: n.Address}
	n.View = swim.New(n.fleet.Now(), self, swim.Settings{Join: join, Seed: n.fleet.rng.Uint64()}, actions{n})
	n.scheduleTick(n.process)
}

// ID returns the identity, and 0 before the first start.
func (n *Node) ID() swim.ID { return n.id }

func (n *Node) scheduleTick(life int) {
	n.fleet.At(n.View.NextTick(), func() {
		n.run(life, func() { n.View.Tick(n.fleet.Now()) })
		if n.process == life && n.IsRunning {
			if n.IsFrozen {
				n.deferred = append(n.deferred, func() { n.scheduleTick(life) })
			} else {
				n.scheduleTick(life)
			}
		}
	})
}

// call has the process do something, unless it has ended; one that stands still does it later.
func (n *Node) run(life int, do func()) {
	switch {
	case n.process != life || !n.IsRunning:
	case n.IsFrozen:
		n.deferred = append(n.deferred, func() { n.run(life, do) })
	default:
		n.Wakeups++
		do()
	}
}

// Kill ends the process: its links are reset.
func (n *Node) Kill() {
	if !n.IsRunning {
		return
	}
	n.IsRunning, n.IsFrozen, n.deferred = false, false, nil
	n.process++
	for i := 1; i <= n.lastLink; i++ { // in order: the same history each time
		if e := n.ends[i]; e != nil {
			e.close()
		}
	}
	n.ends = map[int]*linkEnd{}
}

// Leave ends it with a word to the others.
func (n *Node) Leave() {
	if n.IsRunning && !n.IsFrozen {
		n.View.Leave(n.fleet.Now())
		life := n.process
		n.fleet.At(n.fleet.Now()+0.3, func() {
			if n.process == life {
				n.Kill()
			}
		})
	}
}

// Freeze has the process stand still, and Thaw go on.
func (n *Node) Freeze() { n.IsFrozen = n.IsRunning }

// Thaw hands over what has come meanwhile.
func (n *Node) Thaw() {
	if !n.IsFrozen {
		return
	}
	n.IsFrozen = false
	waiting := n.deferred
	n.deferred = nil
	for _, do := range waiting {
		do()
	}
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

// deliver has something done at the other end, behind all that went there before.
func (e *linkEnd) deliver(do func()) {
	c, o := e.node.fleet, e.other
	c.At(e.arrival(), func() {
		if !o.isClosed {
			o.node.run(o.process, func() {
				if !o.isClosed {
					do()
				}
			})
		}
	})
}

// arrival draws when the other end gets what is sent now.
func (e *linkEnd) arrival() float64 {
	e.lastArrival = max(e.node.fleet.Now()+e.node.fleet.latency(), e.lastArrival)
	return e.lastArrival
}

// Take takes a message that comes over the link, if that still is.
func (e *linkEnd) Take(m any) {
	if !e.isClosed {
		e.receive(m.(*swim.Message))
	}
}

// take has a process hear a message. One that stood still is woken by it also where the link has ended meanwhile.
func (e *linkEnd) receive(m *swim.Message) {
	n := e.node
	switch {
	case n.process != e.process || !n.IsRunning:
	case n.IsFrozen:
		n.deferred = append(n.deferred, func() { e.receive(m) })
	default:
		if n.Wakeups++; !e.isClosed {
			n.View.HandleMessage(n.fleet.Now(), e.number, m)
		}
	}
}

// close ends a link; the other end learns of it.
func (e *linkEnd) close() {
	if e.isClosed {
		return
	}
	e.deliver(func() { e.other.node.linkEnded(e.other) })
	e.isClosed = true
	delete(e.node.ends, e.number)
}

// down has a process learn that a link has ended.
func (n *Node) linkEnded(e *linkEnd) {
	e.isClosed = true
	delete(n.ends, e.number)
	switch {
	case !n.IsRunning || e.isReported:
	case e.isUp:
		n.View.LinkDown(n.fleet.Now(), e.number)
	case e.dialedAddress != "":
		n.View.DialFailed(n.fleet.Now(), e.dialedAddress)
	}
	e.isReported = true
}

// actions are a node's.
type actions struct{ node *Node }

const (
	dialTimeoutSeconds = 2.0  // for a link that does not come up
	helloBytes         = 150  // bytes, about
	heartbeatBytes     = 22.0 // with its head
)

func (a actions) Dial(address string) {
	n, c := a.node, a.node.fleet
	life := n.process
	fail := func(after float64) {
		c.At(c.Now()+after, func() { n.run(life, func() { n.View.DialFailed(c.Now(), address) }) })
	}
	to := c.nodeByAddress[address]
	n.SentBytes += helloBytes
	switch {
	case to == nil || c.blockedPaths[[2]int{n.Number, to.Number}] || c.blockedPaths[[2]int{to.Number, n.Number}]:
		fail(dialTimeoutSeconds)
		return
	case !to.IsRunning || len(to.ends) >= 48:
		fail(2 * c.latency())
		return
	}
	n.lastLink++
	to.lastLink++
	near, far := &linkEnd{node: n, process: n.process, number: n.lastLink}, &linkEnd{node: to, process: to.process, number: to.lastLink}
	near.other, far.other, near.dialedAddress = far, near, address
	n.ends[near.number], to.ends[far.number] = near, far
	to.MaxLinks, n.MaxLinks = max(to.MaxLinks, len(to.ends)), max(n.MaxLinks, len(n.ends))
	hello := n.View.Hello()
	near.deliver(func() {
		answer := to.View.Hello()
		to.SentBytes += helloBytes
		far.deliver(func() {
			near.isUp = true
			n.View.LinkUp(c.Now(), near.number, address, answer)
		})
		far.isUp = true
		to.View.LinkUp(c.Now(), far.number, "", hello)
	})
	// A target that stands still takes the link and says nothing.
	c.At(c.Now()+dialTimeoutSeconds, func() {
		if !near.isUp && !near.isClosed {
			near.close()
			n.run(life, func() { n.linkEnded(near) })
		}
	})
}

func (a actions) Send(link int, m *swim.Message) {
	n, c := a.node, a.node.fleet
	e := n.ends[link]
	if e == nil || e.isClosed {
		return
	}
	size := uint64(heartbeatBytes)
	if m.Records != nil || m.BucketDigests != nil || m.WantedBuckets != nil {
		size = c.messageSize(m)
	}
	n.SentBytes += size
	n.Messages++
	o := e.other
	if c.blockedPaths[[2]int{n.Number, o.node.Number}] {
		e.hasLost = true
		return
	}
	c.Hand(e.arrival(), o, m)
}

// news is what a record is known by, as far as its length goes.
type recordKey struct {
	id       swim.ID
	version  swim.Version
	state    swim.State
	accusers int
	hasAge   bool
	durable  bool
}

// size returns how many bytes a message takes. Danger: what a fleet that forms says is each newcomer's record to all links of
// all members; packed each time that is a third of the work.
func (c *Fleet) messageSize(m *swim.Message) uint64 {
	rest := *m
	rest.Records = nil
	size := uint64(frames.HeadLen + 1) // the map's head
	if rest.Heartbeat != nil || rest.BucketDigests != nil || rest.WantedBuckets != nil || rest.Closing {
		size = c.encodedSize(&rest) + frames.HeadLen
	}
	if len(m.Records) == 0 {
		return size
	}
	if size += 3; len(m.Records) > 15 { // the list's name and head
		size += 2
	}
	for i := range m.Records {
		r := &m.Records[i]
		key := recordKey{r.ID, r.Version, r.State, len(r.Accusers), r.AgeSeconds != 0, r.Durable}
		one, known := c.recordSizes[key]
		if !known {
			one = c.encodedSize(r)
			c.recordSizes[key] = one
		}
		size += one
	}
	return size
}

func (c *Fleet) encodedSize(what any) uint64 {
	body, err := frames.Pack(what)
	if err != nil { // numbers and names always pack
		panic(err)
	}
	return uint64(len(body))
}

func (a actions) Close(link int) {
	if e := a.node.ends[link]; e != nil {
		e.close()
	}
}

func (a actions) MemberChanged(r swim.Record, was swim.State, known bool) {
	if a.node.fleet.OnChange != nil {
		a.node.fleet.OnChange(a.node.fleet.Now(), a.node, r, was, known)
	}
}

func (a actions) ReplaceIdentity(string) {
	n := a.node
	n.id, n.generation = swim.ID(n.fleet.rng.Uint64()|1), 1
	id, life := n.id, n.process
	version := swim.Version{Incarnation: 1 << 32, BootID: n.fleet.rng.Uint64()}
	n.fleet.At(n.fleet.Now()+0.01, func() { n.run(life, func() { n.View.AdoptIdentity(n.fleet.Now(), id, version, false) }) })
}
