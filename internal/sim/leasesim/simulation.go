// Package leasesim simulates package lease alone: nodes on a network, each with a clock of its own rate and a disk that loses what
// was not synced, under faults that are drawn from a seed. A checker observes them from outside and reports violations of the
// rules: which leases are valid at an instant, which effects receivers apply, who leads, and what disks and tables hold.
//
// One seed is one history, the same on every machine.
package leasesim

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/sim/seeds"
)

// Simulation is a group of nodes that share roles, with its network and clock. It belongs to one goroutine.
type Simulation struct {
	seeds.Queue
	rng        *rand.Rand
	nodes      []*node
	identities []*identity // all that ever were, in the order of their creation
	roles      []string
	settings   lease.Settings
	trace      func(at float64, line string)

	partitioned  [][]bool    // by sender and receiver: messages are lost
	stalledUntil [][]float64 // by sender and receiver: messages arrive no earlier
	lastArrival  [][]float64 // by sender and receiver: messages are not reordered

	latencySeconds       float64
	lossProbability      float64 // of each message
	delayProbability     float64 // of each message: it arrives up to a minute late, out of order
	misreportProbability float64 // of each update of a member's view
	stallProbability     float64 // of each effect: the process stands still between checking its lease and sending
	diskSeconds          float64 // that a write takes; up to as much again is drawn
	slowDiskSeconds      float64 // that it takes until slowDiskUntil
	slowDiskUntil        float64

	losesQuorumState bool // nodes may lose their states even if the group loses its quorum with them
	isSettling       bool // the faults are over

	checker
	hash   uint64
	counts Counts
}

// newSimulation returns a simulation without nodes, for a number of initial voters.
func newSimulation(seed uint64, voters int, roles ...string) *Simulation {
	s := &Simulation{Queue: seeds.NewQueue(1000), rng: rand.New(rand.NewPCG(seed, 0x6f776e657273)), roles: roles, latencySeconds: 0.001, diskSeconds: 0.002, hash: 14695981039346656037}
	s.settings.Roles = roles
	for i := range voters {
		s.settings.InitialVoters = append(s.settings.InitialVoters, address(i))
	}
	s.checker.sim = s
	return s
}

// address returns the address of a node by its number.
func address(i int) string { return fmt.Sprintf("10.0.0.%d:7946", i) }

// record adds a line to the history, which its hash covers.
func (s *Simulation) record(format string, args ...any) {
	h := fnv.New64a()
	line := fmt.Sprintf(format, args...)
	fmt.Fprintf(h, "%x %.9f %s", s.hash, s.Now(), line)
	s.hash = h.Sum64()
	if s.trace != nil {
		s.trace(s.Now(), line)
	}
}

// uniform draws a number from a range.
func (s *Simulation) uniform(a, b float64) float64 { return a + (b-a)*s.rng.Float64() }

// chance draws true with a probability. It draws nothing for 0.
func (s *Simulation) chance(probability float64) bool {
	return probability > 0 && s.rng.Float64() < probability
}

// addNode adds a node that has not started.
func (s *Simulation) addNode(durable bool) *node {
	n := &node{sim: s, number: len(s.nodes), address: address(len(s.nodes)), durable: durable, fence: &lease.Fence{}}
	s.nodes = append(s.nodes, n)
	for i := range s.partitioned {
		s.partitioned[i], s.stalledUntil[i], s.lastArrival[i] = append(s.partitioned[i], false), append(s.stalledUntil[i], 0), append(s.lastArrival[i], 0)
	}
	s.partitioned = append(s.partitioned, make([]bool, len(s.nodes)))
	s.stalledUntil = append(s.stalledUntil, make([]float64, len(s.nodes)))
	s.lastArrival = append(s.lastArrival, make([]float64, len(s.nodes)))
	return n
}
