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
	rng   *rand.Rand
	Nodes []*Node
	at    map[string]*Node // by address; looked up, never walked
	cut   map[[2]int]bool  // ways; looked up, never walked
	sizes map[news]uint64  // in bytes, of records; likewise

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

	c          *Fleet
	id         swim.ID
	generation uint64
	life       int // of the process; what was meant for an earlier one is lost
	ends       map[int]*end
	last       int
	waiting    []func()
	SentBytes  uint64 // bytes
	Messages   uint64
	Wakeups    uint64 // of its loop
	MaxLinks   int
}

// end is one end of a link.
type end struct {
	node    *Node
	life    int
	number  int
	other   *end
	address string // that was dialed
	told    bool   // LinkUp was called
	over    bool
	lastAt  float64 // what is sent later must not arrive earlier
	lost    bool
	ended   bool // the process has been told
}

// New returns a crowd of nobody.
func New(seed uint64) *Fleet {
	return &Fleet{LatencySeconds: 0.001, Queue: seeds.NewQueue(1000), rng: rand.New(rand.NewPCG(seed, 0x63726f7764)), at: map[string]*Node{}, cut: map[[2]int]bool{},
		sizes: map[news]uint64{}}
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
	n := &Node{Number: len(c.Nodes), c: c, ends: map[int]*end{}}
	n.Address = fmt.Sprintf("10.%d.%d.%d:7946", n.Number>>16, n.Number>>8&255, n.Number&255)
	c.Nodes = append(c.Nodes, n)
	c.at[n.Address] = n
	return n
}

// Start begins a process; with its state it is who it was.
func (n *Node) Start(kept bool, join ...string) {
	if n.IsRunning {
		return
	}
	if !kept || n.id == 0 {
		n.id, n.generation = swim.ID(n.c.rng.Uint64()|1), 0
	}
	n.generation++
	n.IsRunning, n.IsFrozen = true, false
	n.life++
	self := swim.Record{ID: n.id, Version: swim.Version{Incarnation: n.generation << 32, BootID: n.c.rng.Uint64()}, Name: fmt.Sprintf("s%d", n.Number),
		Address: n.Address}
	n.View = swim.New(n.c.Now(), self, swim.Settings{Join: join, Seed: n.c.rng.Uint64()}, actions{n})
	n.ticks(n.life)
}

// ID returns the identity, and 0 before the first start.
func (n *Node) ID() swim.ID { return n.id }

func (n *Node) ticks(life int) {
	n.c.At(n.View.NextTick(), func() {
		n.call(life, func() { n.View.Tick(n.c.Now()) })
		if n.life == life && n.IsRunning {
			if n.IsFrozen {
				n.waiting = append(n.waiting, func() { n.ticks(life) })
			} else {
				n.ticks(life)
			}
		}
	})
}

// call has the process do something, unless it has ended; one that stands still does it later.
func (n *Node) call(life int, do func()) {
	switch {
	case n.life != life || !n.IsRunning:
	case n.IsFrozen:
		n.waiting = append(n.waiting, func() { n.call(life, do) })
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
	n.IsRunning, n.IsFrozen, n.waiting = false, false, nil
	n.life++
	for i := 1; i <= n.last; i++ { // in order: the same history each time
		if e := n.ends[i]; e != nil {
			e.close()
		}
	}
	n.ends = map[int]*end{}
}

// Leave ends it with a word to the others.
func (n *Node) Leave() {
	if n.IsRunning && !n.IsFrozen {
		n.View.Leave(n.c.Now())
		life := n.life
		n.c.At(n.c.Now()+0.3, func() {
			if n.life == life {
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
	waiting := n.waiting
	n.waiting = nil
	for _, do := range waiting {
		do()
	}
}

// Cut loses what goes one way; Mend ends that, and links that lost anything break.
func (c *Fleet) BlockPath(from, to *Node) { c.cut[[2]int{from.Number, to.Number}] = true }

// Mend ends a Cut.
func (c *Fleet) RestorePath(from, to *Node) {
	delete(c.cut, [2]int{from.Number, to.Number})
	for i := 1; i <= from.last; i++ {
		if e := from.ends[i]; e != nil && e.other.node == to && (e.lost || e.other.lost) {
			e.close()
			from.down(e)
		}
	}
}

// Reset breaks the links between two.
func (c *Fleet) ResetLinks(a, b *Node) {
	for i := 1; i <= a.last; i++ {
		if e := a.ends[i]; e != nil && e.other.node == b {
			e.close()
			a.down(e)
		}
	}
}

func (c *Fleet) latency() float64 { return c.LatencySeconds * (1 + c.rng.Float64()) }

// deliver has something done at the other end, behind all that went there before.
func (e *end) deliver(do func()) {
	c, o := e.node.c, e.other
	c.At(e.arrival(), func() {
		if !o.over {
			o.node.call(o.life, func() {
				if !o.over {
					do()
				}
			})
		}
	})
}

// arrival draws when the other end gets what is sent now.
func (e *end) arrival() float64 {
	e.lastAt = max(e.node.c.Now()+e.node.c.latency(), e.lastAt)
	return e.lastAt
}

// Take takes a message that comes over the link, if that still is.
func (e *end) Take(m any) {
	if !e.over {
		e.take(m.(*swim.Message))
	}
}

// take has a process hear a message. One that stood still is woken by it also where the link has ended meanwhile.
func (e *end) take(m *swim.Message) {
	n := e.node
	switch {
	case n.life != e.life || !n.IsRunning:
	case n.IsFrozen:
		n.waiting = append(n.waiting, func() { e.take(m) })
	default:
		if n.Wakeups++; !e.over {
			n.View.HandleMessage(n.c.Now(), e.number, m)
		}
	}
}

// close ends a link; the other end learns of it.
func (e *end) close() {
	if e.over {
		return
	}
	e.deliver(func() { e.other.node.down(e.other) })
	e.over = true
	delete(e.node.ends, e.number)
}

// down has a process learn that a link has ended.
func (n *Node) down(e *end) {
	e.over = true
	delete(n.ends, e.number)
	switch {
	case !n.IsRunning || e.ended:
	case e.told:
		n.View.LinkDown(n.c.Now(), e.number)
	case e.address != "":
		n.View.DialFailed(n.c.Now(), e.address)
	}
	e.ended = true
}

// actions are a node's.
type actions struct{ n *Node }

const (
	mostWaitS = 2.0  // for a link that does not come up
	helloLen  = 150  // bytes, about
	beatLen   = 22.0 // with its head
)

func (a actions) Dial(address string) {
	n, c := a.n, a.n.c
	life := n.life
	fail := func(after float64) {
		c.At(c.Now()+after, func() { n.call(life, func() { n.View.DialFailed(c.Now(), address) }) })
	}
	to := c.at[address]
	n.SentBytes += helloLen
	switch {
	case to == nil || c.cut[[2]int{n.Number, to.Number}] || c.cut[[2]int{to.Number, n.Number}]:
		fail(mostWaitS)
		return
	case !to.IsRunning || len(to.ends) >= 48:
		fail(2 * c.latency())
		return
	}
	n.last++
	to.last++
	near, far := &end{node: n, life: n.life, number: n.last}, &end{node: to, life: to.life, number: to.last}
	near.other, far.other, near.address = far, near, address
	n.ends[near.number], to.ends[far.number] = near, far
	to.MaxLinks, n.MaxLinks = max(to.MaxLinks, len(to.ends)), max(n.MaxLinks, len(n.ends))
	hello := n.View.Hello()
	near.deliver(func() {
		answer := to.View.Hello()
		to.SentBytes += helloLen
		far.deliver(func() {
			near.told = true
			n.View.LinkUp(c.Now(), near.number, address, answer)
		})
		far.told = true
		to.View.LinkUp(c.Now(), far.number, "", hello)
	})
	// A target that stands still takes the link and says nothing.
	c.At(c.Now()+mostWaitS, func() {
		if !near.told && !near.over {
			near.close()
			n.call(life, func() { n.down(near) })
		}
	})
}

func (a actions) Send(link int, m *swim.Message) {
	n, c := a.n, a.n.c
	e := n.ends[link]
	if e == nil || e.over {
		return
	}
	size := uint64(beatLen)
	if m.Records != nil || m.BucketDigests != nil || m.WantedBuckets != nil {
		size = c.size(m)
	}
	n.SentBytes += size
	n.Messages++
	o := e.other
	if c.cut[[2]int{n.Number, o.node.Number}] {
		e.lost = true
		return
	}
	c.Hand(e.arrival(), o, m)
}

// news is what a record is known by, as far as its length goes.
type news struct {
	id      swim.ID
	version swim.Version
	state   swim.State
	by      int
	aged    bool
	keeps   bool
}

// size returns how many bytes a message takes. Danger: what a fleet that forms says is each newcomer's record to all links of
// all members; packed each time that is a third of the work.
func (c *Fleet) size(m *swim.Message) uint64 {
	rest := *m
	rest.Records = nil
	size := uint64(frames.HeadLen + 1) // the map's head
	if rest.Heartbeat != nil || rest.BucketDigests != nil || rest.WantedBuckets != nil || rest.Closing {
		size = c.packed(&rest) + frames.HeadLen
	}
	if len(m.Records) == 0 {
		return size
	}
	if size += 3; len(m.Records) > 15 { // the list's name and head
		size += 2
	}
	for i := range m.Records {
		r := &m.Records[i]
		key := news{r.ID, r.Version, r.State, len(r.Accusers), r.AgeSeconds != 0, r.Durable}
		one, known := c.sizes[key]
		if !known {
			one = c.packed(r)
			c.sizes[key] = one
		}
		size += one
	}
	return size
}

func (c *Fleet) packed(what any) uint64 {
	body, err := frames.Pack(what)
	if err != nil { // numbers and names always pack
		panic(err)
	}
	return uint64(len(body))
}

func (a actions) Close(link int) {
	if e := a.n.ends[link]; e != nil {
		e.close()
	}
}

func (a actions) MemberChanged(r swim.Record, was swim.State, known bool) {
	if a.n.c.OnChange != nil {
		a.n.c.OnChange(a.n.c.Now(), a.n, r, was, known)
	}
}

func (a actions) ReplaceIdentity(string) {
	n := a.n
	n.id, n.generation = swim.ID(n.c.rng.Uint64()|1), 1
	id, life := n.id, n.life
	version := swim.Version{Incarnation: 1 << 32, BootID: n.c.rng.Uint64()}
	n.c.At(n.c.Now()+0.01, func() { n.call(life, func() { n.View.AdoptIdentity(n.c.Now(), id, version, false) }) })
}
