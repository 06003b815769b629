package maintenancesim

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sim/seeds"
)

// World is a fleet whose boxes are worked on. It belongs to one goroutine.
type Simulation struct {
	seeds.Queue
	rng   *rand.Rand
	trace func(at float64, line string)
	hash  uint64

	servers       []*server
	sidecars      []*sidecar
	agents        []*agent
	order         maintenance.Order
	warmUpSeconds float64 // by the settings
	specTemplate  maintenance.Spec

	// What the electors keep. A write is agreed if it is of the token granted last and of the version that there is.
	epoch              uint64
	version            uint64
	body               []byte
	previousBody       []byte // the version before
	token              uint64
	leaseHolder        *sidecar // that it was granted to, in that run
	leaseHolderProcess int
	hasNoQuorum        bool // no majority: nothing is agreed, nothing granted

	requestsPerSecond      float64 // requests a second, all together
	rejectedFraction       float64 // part that is refused
	staleLists             int     // sidecars whose lists are late
	lossProbability        float64 // of messages
	holderFaultProbability float64 // of the owner's steps at which it dies or stands still
	isCalm                 bool    // nothing happens any more but the work

	checker
	counts Counts
}

// Counts are what a day was about.
type Counts struct {
	Plans        int `json:"Plans"`  // that were agreed
	WorkStarted  int `json:"Worked"` // boxes on which work began
	Done         int `json:"Done"`
	Skipped      int `json:"Skipped"`
	Lost         int `json:"Lost"`
	Forced       int `json:"Forced"`
	GivenBack    int `json:"Backed"` // boxes that were given back before anybody had them
	Leases       int `json:"Owners"`
	HolderFaults int `json:"Stopped"` // owners that died or stood still at a step
	StaleWrites  int `json:"Refused"` // writes of owners that were replaced, or came late
}

// Result is what came of a day.
type Result struct {
	Seed     uint64
	Findings []Finding
	Hash     uint64 // of the history: equal seeds give equal ones
	Steps    uint64
	Counts   Counts
}

// Options say how a day is played.
type Options struct {
	Trace func(at float64, line string)
}

// Play plays the day of a seed.
func Run(seed uint64, o Options) (r *Result) {
	w := &Simulation{Queue: seeds.NewQueue(100), rng: rand.New(rand.NewPCG(seed, 0x706c616e73)), trace: o.Trace, hash: 14695981039346656037, epoch: 1 + seed%3}
	w.checker.completedAt = map[string]float64{}
	defer func() {
		if cause := recover(); cause != nil {
			w.violated(RulePanic, "%v", cause)
			r = w.result(seed)
		}
	}()
	w.populate()
	for _, n := range w.sidecars {
		n.start()
	}
	w.grantLease(w.sidecars[w.rng.IntN(len(w.sidecars))])
	w.superviseLease()
	for _, m := range w.agents {
		m.poll(0)
	}
	w.Until(w.Now() + 3)
	w.submitPlan(w.drawSpec(0), 0)
	var kinds []fault
	for _, t := range faults {
		if w.chance(0.4) {
			kinds = append(kinds, t)
		}
	}
	end := w.Now() + w.uniform(60, 200)
	for w.Now() < end {
		forS := []float64{w.uniform(0.2, 2), w.uniform(1, 8), w.uniform(5, 0.7*w.specTemplate.DeadMemberSeconds)}[w.rng.IntN(3)]
		if len(kinds) > 0 {
			t := kinds[w.rng.IntN(len(kinds))]
			w.log("trouble %s for %.2f s", t.name, forS)
			t.inject(w, forS)
		}
		w.Until(w.Now() + []float64{w.uniform(0, 0.5), w.uniform(0.5, 5), w.uniform(3, 20)}[w.rng.IntN(3)])
	}
	w.endFaults()
	return w.result(seed)
}

// Many plays seeds, so many at a time, and calls told with each in order until it says no.
func RunSeeds(first, last uint64, jobs int, told func(*Result) bool) {
	seeds.Many(first, last, jobs, func(seed uint64) *Result { return Run(seed, Options{}) }, told)
}

// mostCalmS is how long plans may take after all troubles.
const maxRecoverySeconds = 3000.0

// draw draws what there is.
func (w *Simulation) populate() {
	sites := 1 + w.rng.IntN(4)
	for i := range 3 + w.rng.IntN(12) {
		w.servers = append(w.servers, &server{name: fmt.Sprintf("b%02d", i), site: fmt.Sprint("site-", w.rng.IntN(sites)), serverType: fmt.Sprint("kind-", w.rng.IntN(2)),
			capacity: float64(1 + w.rng.IntN(3))})
	}
	for i := range 2 + w.rng.IntN(7) {
		w.sidecars = append(w.sidecars, &sidecar{sim: w, number: i, id: swim.ID(w.rng.Uint64() | 1)})
	}
	for i := range 1 + w.rng.IntN(3) {
		w.agents = append(w.agents, &agent{sim: w, name: fmt.Sprint("m", i), completed: map[uint64]bool{}, workSeconds: w.uniform(1, 10)})
	}
	w.warmUpSeconds = w.uniform(2, 12)
	w.specTemplate = maintenance.Spec{WorkSeconds: w.uniform(3, 12), DeadMemberSeconds: w.uniform(25, 90), QuietSeconds: []float64{0, 0.5, 2}[w.rng.IntN(3)]}
	if w.chance(0.3) {
		w.specTemplate.WarmUpSeconds = w.uniform(1, 20)
	}
	w.requestsPerSecond = w.uniform(20, 500)
	if w.chance(0.4) {
		w.lossProbability = w.uniform(0, 0.1)
	}
	if w.chance(0.5) {
		w.holderFaultProbability = w.uniform(0, 0.1)
	}
}

// calm ends all troubles, and sees whether all plans end.
func (w *Simulation) endFaults() {
	w.Until(w.Now() + 1)
	w.log("all is mended")
	w.isCalm, w.holderFaultProbability = true, 0
	w.Until(w.Now() + w.specTemplate.DeadMemberSeconds) // what was to last has lasted
	w.lossProbability = 0
	w.sidecars[0].start() // one must be there
	for _, n := range w.sidecars {
		n.thaw()
		if n.isRunning && n.isIsolated {
			n.isIsolated = false
		}
		n.uncordonedUntil = map[string]float64{}
	}
	for end := w.Now() + maxRecoverySeconds; w.Now() < end; {
		live := false
		for _, p := range w.committed().State.Plans {
			for _, b := range p.Servers {
				if b.Stage == maintenance.Lost {
					w.submit(maintenance.Command{Kind: maintenance.SkipServer, Server: b.Name, Plan: p.Number, Agent: "operator"}, 10, func(maintenance.Reply) {})
				}
			}
			if p.Ended {
				continue
			}
			if live = true; p.PausedBy != "" {
				w.submit(maintenance.Command{Kind: maintenance.ResumePlan, Plan: p.Number}, 10, func(maintenance.Reply) {})
			}
		}
		if !live {
			break
		}
		for _, b := range w.servers { // who had it is not told that it was given up: somebody sees to the box
			if b.agent != nil && w.wasForced(b.name, b.token) {
				b.agent, b.isDown = nil, false
			}
		}
		w.Until(w.Now() + 20)
	}
	w.Until(w.Now() + 5)
	w.checkEnd()
}

func (w *Simulation) result(seed uint64) *Result {
	return &Result{Seed: seed, Findings: w.findings, Hash: w.hash, Steps: w.Steps(), Counts: w.counts}
}

func (w *Simulation) uniform(a, b float64) float64 { return a + (b-a)*w.rng.Float64() }

func (w *Simulation) chance(part float64) bool { return part > 0 && w.rng.Float64() < part }

func (w *Simulation) latency() float64 { return w.uniform(0.001, 0.03) }

// note adds to the history.
func (w *Simulation) log(format string, args ...any) {
	h := fnv.New64a()
	line := fmt.Sprintf(format, args...)
	fmt.Fprintf(h, "%x %.9f %s", w.hash, w.Now(), line)
	w.hash = h.Sum64()
	if w.trace != nil {
		w.trace(w.Now(), line)
	}
}
