package maintenancesim

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sim/seeds"
)

// Simulation is one run. It is not safe for concurrent use.
type Simulation struct {
	seeds.Queue
	rng   *rand.Rand
	trace func(at float64, line string)
	hash  uint64

	servers       []*server
	sidecars      []*sidecar
	agents        []*agent
	order         maintenance.Order
	warmUpSeconds float64 // of the settings
	specTemplate  maintenance.Spec

	voters
	load
	isCalm bool // no more faults

	checker
	counts Counts
}

// voters is what the voters keep: the committed State and the lease. A write is committed if it has the token of the last lease and
// replaces the current version.
type voters struct {
	epoch              uint64
	version            uint64
	body               []byte
	previousBody       []byte // of the version before
	token              uint64
	leaseHolder        *sidecar
	leaseHolderProcess int  // of the lease holder, when the lease was granted
	hasNoQuorum        bool // nothing is committed, no lease is granted
}

// load is what the fleet reports and what the network does.
type load struct {
	requestsPerSecond      float64 // of the fleet
	rejectedFraction       float64
	staleLists             int     // sidecars whose endpoint list is stale
	lossProbability        float64 // of a message
	holderFaultProbability float64 // that the lease holder crashes or freezes as it writes
}

// Options configure a run.
type Options struct {
	Trace func(at float64, line string) // called for each line of the history; nil: none
}

// Result is the result of a run.
type Result struct {
	Seed     uint64
	Findings []Finding
	Hash     uint64 // of the history; equal seeds give equal ones
	Steps    uint64
	Counts   Counts
}

// Counts are what happened in a run.
type Counts struct {
	Plans        int `json:"Plans"`  // that were committed
	WorkStarted  int `json:"Worked"` // servers on which work began
	Done         int `json:"Done"`
	Skipped      int `json:"Skipped"`
	Lost         int `json:"Lost"`
	Forced       int `json:"Forced"`
	GivenBack    int `json:"Backed"` // servers that were put back in service before work began
	Leases       int `json:"Owners"`
	HolderFaults int `json:"Stopped"` // lease holders that crashed or froze as they wrote
	StaleWrites  int `json:"Refused"` // of lease holders that were replaced, or that came late
}

const (
	startSeconds        = 3.0    // before the first plan
	maxRecoverySeconds  = 3000.0 // for plans to end after all faults
	recoveryStepSeconds = 20.0   // between two checks whether they have
)

// RunSeeds runs a range of seeds, jobs of them at a time, and calls handle with each result in order until it returns false.
func RunSeeds(first, last uint64, jobs int, handle func(*Result) bool) {
	seeds.PlayRange(first, last, jobs, func(seed uint64) *Result { return Run(seed, Options{}) }, handle)
}

// Run runs a seed. A panic is a finding.
func Run(seed uint64, o Options) (r *Result) {
	s := &Simulation{
		Queue:  seeds.NewQueue(100),
		rng:    rand.New(rand.NewPCG(seed, 0x706c616e73)),
		trace:  o.Trace,
		hash:   14695981039346656037, // the offset basis of FNV-1a
		voters: voters{epoch: 1 + seed%3},
	}
	s.completedAt = map[string]float64{}
	defer func() {
		if cause := recover(); cause != nil {
			s.violated(RulePanic, "%v", cause)
			r = s.result(seed)
		}
	}()
	s.populate()
	for _, n := range s.sidecars {
		n.start()
	}
	s.grantLease(s.sidecars[s.rng.IntN(len(s.sidecars))])
	s.superviseLease()
	for _, a := range s.agents {
		a.poll(0)
	}
	s.RunUntil(s.Now() + startSeconds)
	s.submitPlan(s.drawSpec(0), 0)
	s.injectFaults()
	s.endFaults()
	return s.result(seed)
}

// populate draws servers, sidecars, agents, settings and load.
func (s *Simulation) populate() {
	sites := 1 + s.rng.IntN(4)
	for i := range 3 + s.rng.IntN(12) {
		s.servers = append(s.servers, &server{
			name:       fmt.Sprintf("b%02d", i),
			site:       fmt.Sprint("site-", s.rng.IntN(sites)),
			serverType: fmt.Sprint("kind-", s.rng.IntN(2)),
			capacity:   float64(1 + s.rng.IntN(3)),
		})
	}
	for i := range 2 + s.rng.IntN(7) {
		s.sidecars = append(s.sidecars, &sidecar{sim: s, number: i, id: swim.ID(s.rng.Uint64() | 1)})
	}
	for i := range 1 + s.rng.IntN(3) {
		s.agents = append(s.agents, &agent{sim: s, name: fmt.Sprint("m", i), completed: map[uint64]bool{}, workSeconds: s.uniform(1, 10)})
	}
	s.warmUpSeconds = s.uniform(2, 12)
	s.specTemplate = maintenance.Spec{WorkSeconds: s.uniform(3, 12), DeadMemberSeconds: s.uniform(25, 90), QuietSeconds: []float64{0, 0.5, 2}[s.rng.IntN(3)]}
	if s.chance(0.3) {
		s.specTemplate.WarmUpSeconds = s.uniform(1, 20)
	}
	s.requestsPerSecond = s.uniform(20, 500)
	if s.chance(0.4) {
		s.lossProbability = s.uniform(0, 0.1)
	}
	if s.chance(0.5) {
		s.holderFaultProbability = s.uniform(0, 0.1)
	}
}

// injectFaults injects faults of some kinds for a few minutes.
func (s *Simulation) injectFaults() {
	var kinds []fault
	for _, f := range faults {
		if s.chance(0.4) {
			kinds = append(kinds, f)
		}
	}
	for end := s.Now() + s.uniform(60, 200); s.Now() < end; {
		seconds := []float64{s.uniform(0.2, 2), s.uniform(1, 8), s.uniform(5, 0.7*s.specTemplate.DeadMemberSeconds)}[s.rng.IntN(3)]
		if len(kinds) > 0 {
			f := kinds[s.rng.IntN(len(kinds))]
			s.log("fault %s for %.2f s", f.name, seconds)
			f.inject(s, seconds)
		}
		s.RunUntil(s.Now() + []float64{s.uniform(0, 0.5), s.uniform(0.5, 5), s.uniform(3, 20)}[s.rng.IntN(3)])
	}
}

// endFaults ends all faults, lets operators handle what waits for them, and checks that all plans end.
func (s *Simulation) endFaults() {
	s.RunUntil(s.Now() + 1)
	s.log("faults ended")
	s.isCalm, s.holderFaultProbability = true, 0
	s.RunUntil(s.Now() + s.specTemplate.DeadMemberSeconds) // after which no fault has any effect
	s.lossProbability = 0
	s.sidecars[0].start() // at least one is needed
	for _, n := range s.sidecars {
		n.thaw()
		if n.isRunning && n.isIsolated {
			n.isIsolated = false
		}
		n.uncordonedUntil = map[string]float64{}
	}
	for end := s.Now() + maxRecoverySeconds; s.Now() < end && s.resolvePlans(); {
		s.releaseAbandoned()
		s.RunUntil(s.Now() + recoveryStepSeconds)
	}
	s.RunUntil(s.Now() + 5)
	s.checkEnd()
}

// resolvePlans skips Lost servers and resumes paused plans. It reports whether any plan goes on.
func (s *Simulation) resolvePlans() (anyOngoing bool) {
	ignore := func(maintenance.Reply) {}
	for _, p := range s.committed().State.Plans {
		for _, server := range p.Servers {
			if server.Stage == maintenance.Lost {
				s.submit(maintenance.Command{Kind: maintenance.SkipServer, Server: server.Name, Plan: p.Number, Agent: operator}, 10, ignore)
			}
		}
		if p.Ended {
			continue
		}
		anyOngoing = true
		if p.PausedBy != "" {
			s.submit(maintenance.Command{Kind: maintenance.ResumePlan, Plan: p.Number}, 10, ignore)
		}
	}
	return anyOngoing
}

// releaseAbandoned ends the work on servers that were abandoned or forced; their agents are not notified of it.
func (s *Simulation) releaseAbandoned() {
	for _, server := range s.servers {
		if server.agent != nil && s.wasForced(server.name, server.token) {
			server.agent, server.isDown = nil, false
		}
	}
}

func (s *Simulation) result(seed uint64) *Result {
	return &Result{Seed: seed, Findings: s.findings, Hash: s.hash, Steps: s.Steps(), Counts: s.counts}
}

// uniform draws a number from a range.
func (s *Simulation) uniform(from, to float64) float64 { return from + (to-from)*s.rng.Float64() }

// chance draws whether something happens that has a probability. Without any it draws nothing.
func (s *Simulation) chance(probability float64) bool {
	return probability > 0 && s.rng.Float64() < probability
}

// latency draws the latency of a message, in seconds.
func (s *Simulation) latency() float64 { return s.uniform(0.001, 0.03) }

// log adds a line to the history, which the hash is taken of.
func (s *Simulation) log(format string, args ...any) {
	h := fnv.New64a()
	line := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(h, "%x %.9f %s", s.hash, s.Now(), line) // a hash takes everything
	s.hash = h.Sum64()
	if s.trace != nil {
		s.trace(s.Now(), line)
	}
}
