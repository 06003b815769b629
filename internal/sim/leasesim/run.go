package leasesim

import (
	"slices"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sim/seeds"
)

// Options configure a run.
type Options struct {
	// Trace is called with each line of the history; nil: not at all.
	Trace func(at float64, line string)
}

// Run simulates the history of a seed.
func Run(seed uint64, o Options) (r *Result) {
	s := newSimulation(seed, 3, "list", "report")
	s.trace = o.Trace
	defer func() {
		if cause := recover(); cause != nil {
			s.breakRule(RulePanic, "%v", cause)
			r = s.result(seed)
		}
	}()
	s.drawEnvironment()
	for _, n := range s.nodes {
		s.After(s.uniform(0, 2), n.start)
	}
	s.RunUntil(s.Now() + s.uniform(4, 10))
	s.injectFaults()
	s.settle()
	return s.result(seed)
}

// drawEnvironment draws the members, the roles and what the network and the disks are like.
func (s *Simulation) drawEnvironment() {
	if s.chance(0.4) {
		s.settings.InitialVoters = append(s.settings.InitialVoters, address(3), address(4))
	}
	if s.chance(0.5) {
		s.roles = append(s.roles, "drill", "works")
		s.settings.Roles = s.roles
	}
	s.latencySeconds = []float64{0.0003, 0.001, 0.01, 0.03}[s.rng.IntN(4)]
	s.diskSeconds = []float64{0.001, 0.005, 0.02}[s.rng.IntN(3)]
	if s.chance(0.3) {
		s.lossProbability = s.uniform(0, 0.05)
	}
	if s.chance(0.3) {
		s.delayProbability = s.uniform(0, 0.01)
	}
	if s.chance(0.2) {
		s.misreportProbability = s.uniform(0, 0.02)
	}
	if s.chance(0.5) {
		s.stallProbability = s.uniform(0, 0.005)
	}
	s.losesQuorumState = s.chance(0.1)
	for range len(s.settings.InitialVoters) + s.rng.IntN(10-len(s.settings.InitialVoters)) {
		s.addNode(len(s.nodes) < len(s.settings.InitialVoters) || s.chance(0.85))
	}
}

// injectFaults draws some kinds of faults and injects them for a while.
func (s *Simulation) injectFaults() {
	var kinds []fault
	for _, f := range faults {
		if s.chance(0.4) {
			kinds = append(kinds, f)
		}
	}
	end := s.Now() + s.uniform(30, 150)
	for len(kinds) > 0 && s.Now() < end {
		seconds := []float64{s.uniform(0.2, 2), s.uniform(1, 8), s.uniform(5, 60)}[s.rng.IntN(3)]
		f := kinds[s.rng.IntN(len(kinds))]
		s.record("fault %s for %.2f s", f.name, seconds)
		s.lastFault, s.lastFaultAt = f.name, s.Now()
		f.inject(s, seconds)
		s.RunUntil(s.Now() + []float64{s.uniform(0, 0.5), s.uniform(0.5, 5), s.uniform(3, 20)}[s.rng.IntN(3)])
	}
}

// settleSeconds is half of the time within which, after all faults, each role must have a holder: the longest wait of a founding
// or an election, several of them, and a lease.
const settleSeconds = 15.0

// settle ends all faults and checks that each role gets a holder.
func (s *Simulation) settle() {
	s.RunUntil(s.Now() + 1.3) // faults that were scheduled have started
	s.record("faults over")
	s.lossProbability, s.delayProbability, s.misreportProbability, s.stallProbability = 0, 0, 0, 0
	for i, n := range s.nodes {
		if n.frozen {
			n.thaw()
		}
		n.diskFull = false
		for j, o := range s.nodes {
			if s.partitioned[i][j] || s.lastArrival[i][j] > s.Now()+s.latencySeconds { // a new link replaces one that is partitioned or still holds messages
				s.partitioned[i][j], s.stalledUntil[i][j], s.lastArrival[i][j] = false, 0, 0
				s.linkUp(n, o)
			}
			s.stalledUntil[i][j] = 0
		}
	}
	s.slowDiskUntil = 0
	s.isSettling = true
	s.lastFault, s.lastFaultAt = "", s.Now()
	for _, n := range s.nodes {
		if !n.up && !n.removed {
			n.start()
		}
	}
	s.RunUntil(s.Now() + settleSeconds)
	for i := range s.nodes {
		if n := s.nodes[i]; !n.up && !n.removed { // it was leaving
			n.start()
		}
	}
	s.RunUntil(s.Now() + settleSeconds)
	for until := s.Now() + 4; s.Now() < until && slices.ContainsFunc(s.roles, func(role string) bool { return s.holderOf(role) == nil }); {
		s.RunUntil(s.Now() + 0.1) // a role may just be moving
	}
	if s.hasQuorum() {
		for _, role := range s.roles {
			if s.holderOf(role) == nil {
				s.breakRule(RuleNoHolder, "%s has no holder %g s after all faults", role, 2*settleSeconds)
			}
		}
	}
	s.checkHistory()
}

// hasQuorum reports whether the voters can commit: more than half of those in the newest table are alive under the same identity.
func (s *Simulation) hasQuorum() bool {
	var voters []swim.ID
	epoch, index := uint64(0), uint64(0)
	for _, n := range s.liveNodes() {
		if t := n.lease.Table(); t.Epoch > epoch || t.Epoch == epoch && t.Index > index {
			epoch, index, voters = t.Epoch, t.Index, t.Voters
		}
	}
	alive := 0
	for _, n := range s.liveNodes() {
		if slices.Contains(voters, n.identity.id) {
			alive++
		}
	}
	if epoch == 0 { // no group is founded: that needs all initial voters
		for i := range s.settings.InitialVoters {
			if !s.nodes[i].up {
				return false
			}
		}
		return true
	}
	return alive > len(voters)/2
}

func (s *Simulation) result(seed uint64) *Result {
	return &Result{Seed: seed, Findings: s.findings, Hash: s.hash, Steps: s.Steps(), Counts: s.counts, Gaps: s.gaps}
}

// RunSeeds runs seeds, up to parallel at a time, and calls yield with each result in order until it returns false.
func RunSeeds(first, last uint64, parallel int, yield func(*Result) bool) {
	seeds.PlayRange(first, last, parallel, func(seed uint64) *Result { return Run(seed, Options{}) }, yield)
}
