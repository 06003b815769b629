package leasesim

import (
	"math"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
)

// identity is one that a member had.
type identity struct {
	id      swim.ID
	node    *node
	isLost  bool // its state is lost
	hasLeft bool
}

// node is one sidecar over all lives of its process.
type node struct {
	sim         *Simulation
	number      int
	address     string
	durable     bool
	up          bool
	removed     bool // taken out of the fleet for good
	frozen      bool
	incarnation int
	identity    *identity
	clockRate   float64 // of its clock
	clockBase   float64 // true time at which the clock showed zero
	lease       *lease.Node
	timerAt     float64
	postponed   []func()
	persisting  bool
	view        []*memberView // by ID
	viewAt      float64       // its own clock

	disk         []byte // what lasts
	diskFull     bool
	fence        *lease.Fence
	lastEffect   uint64
	checkedTable [4]uint64 // that was checked last

	bytes, messages, persists, calls uint64
}

func (n *node) localTime() float64 { return (n.sim.Now() - n.clockBase) * n.clockRate }

func (n *node) simulationTime(at float64) float64 { return n.clockBase + at/n.clockRate }

// start begins a process. Without its state it is somebody else.
func (n *node) start() {
	s := n.sim
	if n.up || n.removed {
		return
	}
	n.incarnation++
	n.up, n.frozen, n.postponed, n.persisting = true, false, nil, false
	n.clockRate, n.clockBase, n.timerAt = s.uniform(0.95, 1.05), s.Now()-s.uniform(0, 1e6), math.Inf(1)
	if n.identity == nil || !n.durable {
		n.replaceIdentity()
	}
	n.startProcess()
}

func (n *node) replaceIdentity() {
	s := n.sim
	if n.identity != nil {
		n.identity.isLost = true
		s.counts.IdentitiesLost++
	}
	n.identity = &identity{id: swim.ID(s.rng.Uint64() | 1), node: n}
	n.disk, n.fence = nil, &lease.Fence{}
	s.identities = append(s.identities, n.identity)
}

func (n *node) startProcess() {
	s := n.sim
	set := s.settings
	set.Address, set.Seed = n.address, s.rng.Uint64()
	n.identity.hasLeft = false
	n.view, n.checkedTable = nil, [4]uint64{}
	t, err := lease.New(n.localTime(), n.identity.id, set, n.disk, &leaseActions{n, n.incarnation})
	if err != nil {
		s.record("%d can't use its state: %v", n.number, err)
		n.replaceIdentity()
		t, err = lease.New(n.localTime(), n.identity.id, set, nil, &leaseActions{n, n.incarnation})
		if err != nil {
			panic(err)
		}
	}
	n.lease = t
	s.record("%d begins as %v", n.number, n.identity.id)
	life := n.incarnation
	n.watchMembers(life)
	n.actAsHolder(life)
	for _, o := range s.nodes {
		if o != n {
			s.linkUp(n, o)
		}
	}
	n.armTimer()
}

// call has the process do something, unless it has ended; one that stands still does it later.
func (n *node) call(life int, do func()) {
	switch {
	case n.incarnation != life || !n.up:
	case n.frozen:
		n.postponed = append(n.postponed, func() { n.call(life, do) })
	default:
		n.calls++
		do()
		n.armTimer()
		if n.up && n.incarnation == life {
			n.sim.checkNode(n)
		}
	}
}

// armTimer has Tick called when it is due.
func (n *node) armTimer() {
	if !n.up {
		return
	}
	at := n.simulationTime(n.lease.NextTick())
	if at >= n.timerAt || math.IsInf(at, 1) {
		return
	}
	n.timerAt = at
	life := n.incarnation
	n.sim.At(at, func() {
		if n.incarnation != life || n.timerAt != at {
			return
		}
		n.call(life, func() {
			n.timerAt = math.Inf(1)
			n.lease.Tick(n.localTime())
		})
	})
}

// kill ends the process: what was being written may have lasted or not.
func (n *node) kill() {
	if !n.up {
		return
	}
	n.sim.record("%d is killed", n.number)
	n.up, n.frozen, n.postponed = false, false, nil
	n.incarnation++
	n.sim.processEnded(n, "it was killed")
}

func (n *node) freeze(forS float64) {
	if !n.up || n.frozen {
		return
	}
	n.sim.record("%d stands still for %.3f s", n.number, forS)
	n.frozen = true
	life := n.incarnation
	n.sim.After(forS, func() {
		if n.incarnation == life {
			n.thaw()
		}
	})
}

// thaw hands over what has come meanwhile, or has the clock looked at first.
func (n *node) thaw() {
	if !n.frozen {
		return
	}
	n.sim.record("%d goes on", n.number)
	n.frozen = false
	waiting, life := n.postponed, n.incarnation
	n.postponed = nil
	if n.sim.chance(0.5) {
		n.call(life, func() { n.lease.Tick(n.localTime()) })
	}
	for _, do := range waiting {
		do()
	}
	n.timerAt = math.Inf(1)
	n.armTimer()
}

// leave ends the process with a word, as SIGTERM does.
func (n *node) leave(then func()) {
	if !n.up {
		return
	}
	n.sim.record("%d leaves", n.number)
	life := n.incarnation
	n.call(life, func() { n.lease.Leave(n.localTime()) })
	began := n.sim.Now()
	var poll func()
	poll = func() {
		n.call(life, func() {
			if n.lease.HasLeft() || n.sim.Now()-began > 1 {
				n.identity.hasLeft = true
				n.kill()
				then()
			} else {
				n.sim.After(0.01, poll)
			}
		})
	}
	poll()
}
