package leasesim

import (
	"math"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
)

// identity is one of the identities that a node has had.
type identity struct {
	id      swim.ID
	node    *node
	isLost  bool // its state is lost or it was removed
	hasLeft bool
}

// node is a sidecar, over all incarnations of its process.
type node struct {
	sim         *Simulation
	number      int
	address     string
	durable     bool
	up          bool
	removed     bool // for good
	frozen      bool
	incarnation int // of the process; what was scheduled for an earlier one is dropped
	identity    *identity
	clockRate   float64 // of its clock to the simulation's
	clockBase   float64 // simulation time at which its clock was 0
	lease       *lease.Node
	timerAt     float64       // simulation time of the scheduled Tick
	postponed   []func()      // calls that wait while the process stands still
	persisting  bool          // a write is under way
	view        []*memberView // sorted by ID
	viewAt      float64       // of the last update, by its own clock

	disk         []byte // the persisted state
	diskFull     bool
	fence        *lease.Fence
	lastEffect   uint64
	checkedTable [4]uint64 // version of the last table that was checked

	bytes, messages, persists, calls uint64 // for measurements
}

// localTime returns the present time by the node's clock.
func (n *node) localTime() float64 { return (n.sim.Now() - n.clockBase) * n.clockRate }

// simulationTime converts a time of the node's clock.
func (n *node) simulationTime(at float64) float64 { return n.clockBase + at/n.clockRate }

// start starts a process, under a new identity if there is no state.
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

// replaceIdentity gives the node a new identity and an empty disk.
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

// startProcess creates the lease.Node from the disk.
func (n *node) startProcess() {
	s := n.sim
	set := s.settings
	set.Address, set.Seed = n.address, s.rng.Uint64()
	n.identity.hasLeft = false
	n.view, n.checkedTable = nil, [4]uint64{}
	t, err := lease.New(n.localTime(), n.identity.id, set, n.disk, &leaseActions{n, n.incarnation})
	if err != nil {
		s.record("%d rejects its state: %v", n.number, err)
		n.replaceIdentity()
		t, err = lease.New(n.localTime(), n.identity.id, set, nil, &leaseActions{n, n.incarnation})
		if err != nil {
			panic(err)
		}
	}
	n.lease = t
	s.record("%d started as %v", n.number, n.identity.id)
	incarnation := n.incarnation
	n.watchMembers(incarnation)
	n.actAsHolder(incarnation)
	for _, o := range s.nodes {
		if o != n {
			s.linkUp(n, o)
		}
	}
	n.armTimer()
}

// call runs something in the process of an incarnation, unless that has ended. While the process stands still it is postponed.
func (n *node) call(incarnation int, do func()) {
	switch {
	case n.incarnation != incarnation || !n.up:
	case n.frozen:
		n.postponed = append(n.postponed, func() { n.call(incarnation, do) })
	default:
		n.calls++
		do()
		n.armTimer()
		if n.up && n.incarnation == incarnation {
			n.sim.checkNode(n)
		}
	}
}

// armTimer schedules Tick.
func (n *node) armTimer() {
	if !n.up {
		return
	}
	at := n.simulationTime(n.lease.NextTick())
	if at >= n.timerAt || math.IsInf(at, 1) {
		return
	}
	n.timerAt = at
	incarnation := n.incarnation
	n.sim.At(at, func() {
		if n.incarnation != incarnation || n.timerAt != at {
			return
		}
		n.call(incarnation, func() {
			n.timerAt = math.Inf(1)
			n.lease.Tick(n.localTime())
		})
	})
}

// kill ends the process. A write that is under way is lost.
func (n *node) kill() {
	if !n.up {
		return
	}
	n.sim.record("%d is killed", n.number)
	n.up, n.frozen, n.postponed = false, false, nil
	n.incarnation++
	n.sim.processEnded(n, "process killed")
}

// freeze makes the process stand still for a while.
func (n *node) freeze(seconds float64) {
	if !n.up || n.frozen {
		return
	}
	n.sim.record("%d frozen for %.3f s", n.number, seconds)
	n.frozen = true
	incarnation := n.incarnation
	n.sim.After(seconds, func() {
		if n.incarnation == incarnation {
			n.thaw()
		}
	})
}

// thaw lets the process go on, with a Tick before or after the postponed calls.
func (n *node) thaw() {
	if !n.frozen {
		return
	}
	n.sim.record("%d thawed", n.number)
	n.frozen = false
	waiting, incarnation := n.postponed, n.incarnation
	n.postponed = nil
	if n.sim.chance(0.5) {
		n.call(incarnation, func() { n.lease.Tick(n.localTime()) })
	}
	for _, do := range waiting {
		do()
	}
	n.timerAt = math.Inf(1)
	n.armTimer()
}

// leave ends the process gracefully, as SIGTERM does, and calls then.
func (n *node) leave(then func()) {
	if !n.up {
		return
	}
	n.sim.record("%d leaving", n.number)
	incarnation := n.incarnation
	n.call(incarnation, func() { n.lease.Leave(n.localTime()) })
	began := n.sim.Now()
	var poll func()
	poll = func() {
		n.call(incarnation, func() {
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
