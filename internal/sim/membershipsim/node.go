package membershipsim

import (
	"fmt"

	"hazelwheel/internal/decide/swim"
)

// Node is a sidecar over all its processes.
type Node struct {
	Number    int
	Address   string
	View      *swim.View // of the current process, or of the last one
	IsRunning bool
	IsFrozen  bool // the process is stalled

	SentBytes uint64
	Messages  uint64 // sent
	Wakeups   uint64 // of the process's loop
	MaxLinks  int    // at a time

	fleet      *Fleet
	id         swim.ID
	generation uint64 // of the identity; grows with each start
	process    int    // number of the process; events for an earlier one are dropped
	ends       map[int]*linkEnd
	lastLink   int
	deferred   []func() // until the process is not frozen any more
}

// Start starts a process, with the state of the one before if kept is true; else it draws a new identity.
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
	self := swim.Record{
		ID:      n.id,
		Version: swim.Version{Incarnation: n.generation << 32, BootID: n.fleet.rng.Uint64()},
		Name:    fmt.Sprintf("s%d", n.Number),
		Address: n.Address,
	}
	n.View = swim.New(n.fleet.Now(), self, swim.Settings{Join: join, Seed: n.fleet.rng.Uint64()}, actions{n})
	n.scheduleTick(n.process)
}

func (n *Node) scheduleTick(process int) {
	n.fleet.At(n.View.NextTick(), func() {
		n.run(process, func() { n.View.Tick(n.fleet.Now()) })
		if n.process == process && n.IsRunning {
			if n.IsFrozen {
				n.deferred = append(n.deferred, func() { n.scheduleTick(process) })
			} else {
				n.scheduleTick(process)
			}
		}
	})
}

// run runs an event of a process: later if it is frozen, and not at all if it has ended.
func (n *Node) run(process int, event func()) {
	switch {
	case n.process != process || !n.IsRunning:
	case n.IsFrozen:
		n.deferred = append(n.deferred, func() { n.run(process, event) })
	default:
		n.Wakeups++
		event()
	}
}

// Kill ends the process; its links are reset.
func (n *Node) Kill() {
	if !n.IsRunning {
		return
	}
	n.IsRunning, n.IsFrozen, n.deferred = false, false, nil
	n.process++
	for i := 1; i <= n.lastLink; i++ { // not by the map, in order to have the same history each time
		if e := n.ends[i]; e != nil {
			e.close()
		}
	}
	n.ends = map[int]*linkEnd{}
}

// Freeze stalls the process if it is running, until Thaw.
func (n *Node) Freeze() { n.IsFrozen = n.IsRunning }

// Thaw ends Freeze and runs the events that came meanwhile.
func (n *Node) Thaw() {
	if !n.IsFrozen {
		return
	}
	n.IsFrozen = false
	deferred := n.deferred
	n.deferred = nil
	for _, event := range deferred {
		event()
	}
}

// linkEnded reports the end of a link, or of a dial, to the View, once.
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
