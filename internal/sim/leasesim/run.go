package leasesim

import (
	"slices"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sim/seeds"
)

// Options say how a day is played.
type Options struct {
	Trace func(at float64, line string)
}

// Run plays the day of a seed.
func Run(seed uint64, o Options) (r *Result) {
	s := newSimulation(seed, 3, "list", "report")
	s.trace = o.Trace
	defer func() {
		if cause := recover(); cause != nil {
			s.breakRule(RulePanic, "%v", cause)
			r = s.result(seed)
		}
	}()
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
	for _, n := range s.nodes {
		s.After(s.uniform(0, 2), n.start)
	}
	s.Until(s.Now() + s.uniform(4, 10))
	var kinds []fault
	for _, t := range faults {
		if s.chance(0.4) {
			kinds = append(kinds, t)
		}
	}
	end := s.Now() + s.uniform(30, 150)
	for len(kinds) > 0 && s.Now() < end {
		forS := []float64{s.uniform(0.2, 2), s.uniform(1, 8), s.uniform(5, 60)}[s.rng.IntN(3)]
		t := kinds[s.rng.IntN(len(kinds))]
		s.record("trouble %s for %.2f s", t.name, forS)
		s.lastFault, s.lastFaultAt = t.name, s.Now()
		t.inject(s, forS)
		s.Until(s.Now() + []float64{s.uniform(0, 0.5), s.uniform(0.5, 5), s.uniform(3, 20)}[s.rng.IntN(3)])
	}
	s.settle()
	return s.result(seed)
}

// settleSeconds is how long after all troubles each role must have an owner: the longest wait of a founding or an election, several of
// them, and a lease.
const settleSeconds = 15.0

// settle ends all troubles and sees whether each role has an owner.
func (s *Simulation) settle() {
	s.Until(s.Now() + 1.3) // what was to begin a little later has begun
	s.record("all is mended")
	s.lossProbability, s.delayProbability, s.misreportProbability, s.stallProbability = 0, 0, 0, 0
	for i, n := range s.nodes {
		if n.frozen {
			n.thaw()
		}
		n.diskFull = false
		for j, o := range s.nodes {
			if s.partitioned[i][j] || s.lastArrival[i][j] > s.Now()+s.latencySeconds { // what an old link holds may come yet; there is a new one
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
	s.Until(s.Now() + settleSeconds)
	for i := range s.nodes {
		if n := s.nodes[i]; !n.up && !n.removed { // one that was leaving
			n.start()
		}
	}
	s.Until(s.Now() + settleSeconds)
	for until := s.Now() + 4; s.Now() < until && slices.ContainsFunc(s.roles, func(role string) bool { return s.holderOf(role) == nil }); {
		s.Until(s.Now() + 0.1) // one may just be moving
	}
	if s.hasQuorum() {
		for _, role := range s.roles {
			if s.holderOf(role) == nil {
				s.breakRule(RuleNoHolder, "%s has no owner %g s after all was mended", role, 2*settleSeconds)
			}
		}
	}
	s.checkHistory()
}

// hasQuorum tells whether the electors can agree: of those that the newest table names more than half live as who they are.
func (s *Simulation) hasQuorum() bool {
	var list []swim.ID
	epoch, index := uint64(0), uint64(0)
	for _, n := range s.liveNodes() {
		if t := n.lease.Table(); t.Epoch > epoch || t.Epoch == epoch && t.Index > index {
			epoch, index, list = t.Epoch, t.Index, t.Voters
		}
	}
	there := 0
	for _, n := range s.liveNodes() {
		if slices.Contains(list, n.identity.id) {
			there++
		}
	}
	if epoch == 0 { // none is founded: it needs all that are listed
		for i := range s.settings.InitialVoters {
			if !s.nodes[i].up {
				return false
			}
		}
		return true
	}
	return there > len(list)/2
}

func (s *Simulation) result(seed uint64) *Result {
	return &Result{Seed: seed, Findings: s.findings, Hash: s.hash, Steps: s.Steps(), Counts: s.counts, Gaps: s.gaps}
}

// RunSeeds plays seeds, so many at a time, and calls told with each in order until it says no.
func RunSeeds(first, last uint64, roles int, told func(*Result) bool) {
	seeds.Many(first, last, roles, func(seed uint64) *Result { return Run(seed, Options{}) }, told)
}
