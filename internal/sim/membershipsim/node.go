package membershipsim

import (
	"fmt"

	"hazelwheel/internal/decide/swim"
)

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
