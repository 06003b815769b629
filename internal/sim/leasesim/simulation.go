// Package leasesim plays the decisions about who owns a role by themselves: members on a network, each with a clock of its own
// rate and a disk that loses what was not synced, all drawn from a seed. It judges from what it sees from outside: whose lease is
// valid at an instant, what receivers take, who leads, and what disks and tables hold.
package leasesim

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/sim/seeds"
)

// Simulation is members that own roles. It belongs to one goroutine.
type Simulation struct {
	seeds.Queue
	rng        *rand.Rand
	nodes      []*node
	identities []*identity // all that ever were, as they began
	roles      []string
	settings   lease.Settings
	trace      func(at float64, line string)

	partitioned  [][]bool    // ways that lose what is sent
	stalledUntil [][]float64 // ways that hold it until then
	lastArrival  [][]float64 // what is sent later must not arrive earlier

	latencySeconds       float64
	lossProbability      float64 // of messages that are lost, one by one
	delayProbability     float64 // that come late, past those that were sent after them
	misreportProbability float64 // of views of who is there
	stallProbability     float64 // of effects between whose check and whose send the process stands still
	diskSeconds          float64 // a write takes, with as much again drawn
	slowDiskSeconds      float64 // it takes until slowTo
	slowDiskUntil        float64

	losesQuorumState bool // states are lost though a majority may go with them
	isSettling       bool // nothing ends any more

	checker
	hash   uint64
	counts Counts
}

// newSimulation returns one without members.
func newSimulation(seed uint64, electors int, roles ...string) *Simulation {
	s := &Simulation{Queue: seeds.NewQueue(1000), rng: rand.New(rand.NewPCG(seed, 0x6f776e657273)), roles: roles, latencySeconds: 0.001, diskSeconds: 0.002, hash: 14695981039346656037}
	s.settings.Roles = roles
	for i := range electors {
		s.settings.InitialVoters = append(s.settings.InitialVoters, address(i))
	}
	s.checker.sim = s
	return s
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7946", i) }

// record adds to the history.
func (s *Simulation) record(format string, args ...any) {
	h := fnv.New64a()
	line := fmt.Sprintf(format, args...)
	fmt.Fprintf(h, "%x %.9f %s", s.hash, s.Now(), line)
	s.hash = h.Sum64()
	if s.trace != nil {
		s.trace(s.Now(), line)
	}
}

// uniform draws from a range, evenly.
func (s *Simulation) uniform(a, b float64) float64 { return a + (b-a)*s.rng.Float64() }

func (s *Simulation) chance(part float64) bool { return part > 0 && s.rng.Float64() < part }

// addNode adds a member that has not begun.
func (s *Simulation) addNode(keeps bool) *node {
	n := &node{sim: s, number: len(s.nodes), address: address(len(s.nodes)), durable: keeps, fence: &lease.Fence{}}
	s.nodes = append(s.nodes, n)
	for i := range s.partitioned {
		s.partitioned[i], s.stalledUntil[i], s.lastArrival[i] = append(s.partitioned[i], false), append(s.stalledUntil[i], 0), append(s.lastArrival[i], 0)
	}
	s.partitioned = append(s.partitioned, make([]bool, len(s.nodes)))
	s.stalledUntil = append(s.stalledUntil, make([]float64, len(s.nodes)))
	s.lastArrival = append(s.lastArrival, make([]float64, len(s.nodes)))
	return n
}
