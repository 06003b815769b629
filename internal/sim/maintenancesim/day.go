package maintenancesim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sim/seeds"
)

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

// back has a process begin again, mostly with what it had on disk.
func (w *Simulation) restartLater(n *sidecar) {
	w.After(w.uniform(0.5, 0.5*w.specTemplate.DeadMemberSeconds), func() {
		if w.chance(0.2) && !n.isIsolated { // danger: one that is new and can't ask knows of no ban; nobody can help that
			n.version, n.state, n.cordoned = 0, maintenance.State{}, nil
			n.id = swim.ID(w.rng.Uint64() | 1)
		}
		n.start()
	})
}

type fault struct {
	name   string
	inject func(w *Simulation, forS float64)
}

// some is a sidecar that lives, the owner more often than others.
func (w *Simulation) pickSidecar() *sidecar {
	if w.leaseHolder != nil && w.chance(0.4) && w.leaseHolder.isRunning {
		return w.leaseHolder
	}
	for range 20 {
		if n := w.sidecars[w.rng.IntN(len(w.sidecars))]; n.isRunning {
			return n
		}
	}
	return w.sidecars[0]
}

// troubles are all kinds; a day has some of them.
var faults = []fault{
	{"kill", func(w *Simulation, _ float64) {
		n := w.pickSidecar()
		if n.isRunning {
			n.stop(false)
			w.restartLater(n)
		}
	}},
	{"kill-for-good", func(w *Simulation, _ float64) {
		live := 0
		for _, n := range w.sidecars {
			if n.isRunning {
				live++
			}
		}
		if live > 2 {
			w.pickSidecar().stop(false)
		}
	}},
	{"term", func(w *Simulation, _ float64) {
		n := w.pickSidecar()
		if n.isRunning {
			n.stop(true)
			w.restartLater(n)
		}
	}},
	{"freeze", func(w *Simulation, forS float64) { w.pickSidecar().freeze(forS) }},
	{"cut", func(w *Simulation, forS float64) { w.isolate(w.pickSidecar(), forS) }},
	{"cut-half", func(w *Simulation, forS float64) {
		for _, n := range w.sidecars {
			if w.chance(0.5) {
				w.isolate(n, forS)
			}
		}
	}},
	{"move", func(w *Simulation, _ float64) { w.grantLease(w.pickSidecar()) }},
	{"majority", func(w *Simulation, forS float64) {
		w.hasNoQuorum = true
		w.After(forS, func() { w.hasNoQuorum = false })
	}},
	{"loss", func(w *Simulation, forS float64) {
		was := w.lossProbability
		w.lossProbability = 0.4
		w.After(forS, func() { w.lossProbability = was })
	}},
	{"silent", func(w *Simulation, forS float64) { w.servers[w.rng.IntN(len(w.servers))].fail(w, forS) }},
	{"site", func(w *Simulation, forS float64) {
		site := w.servers[w.rng.IntN(len(w.servers))].site
		for _, b := range w.servers {
			if b.site == site {
				b.fail(w, forS)
			}
		}
	}},
	{"unlisted", func(w *Simulation, forS float64) {
		b := w.servers[w.rng.IntN(len(w.servers))]
		b.isUnlisted, w.undisturbedSince = true, math.Inf(1)
		w.After(forS, func() { b.isUnlisted, w.undisturbedSince = false, w.Now() })
	}},
	{"drained", func(w *Simulation, forS float64) {
		b := w.servers[w.rng.IntN(len(w.servers))]
		b.isDraining, w.undisturbedSince = true, math.Inf(1)
		w.After(forS, func() { b.isDraining, w.undisturbedSince = false, w.Now() })
	}},
	{"load", func(w *Simulation, forS float64) {
		was := w.requestsPerSecond
		w.requestsPerSecond *= w.uniform(1.5, 2.5)
		w.After(forS, func() { w.requestsPerSecond = was })
	}},
	{"refusing", func(w *Simulation, forS float64) {
		w.rejectedFraction = 0.2
		w.After(forS, func() { w.rejectedFraction = 0 })
	}},
	{"late", func(w *Simulation, forS float64) {
		w.staleLists = len(w.sidecars)
		w.After(forS, func() { w.staleLists = 0 })
	}},
	{"by-hand", func(w *Simulation, forS float64) {
		n, b := w.pickSidecar(), w.servers[w.rng.IntN(len(w.servers))]
		if n.isRunning {
			n.uncordonedUntil[b.name] = w.Now() + forS
		}
	}},
	{"meddle", func(w *Simulation, _ float64) { w.issueOperatorCommand() }},
	{"mechanic", func(w *Simulation, forS float64) {
		if m := w.agents[w.rng.IntN(len(w.agents))]; !m.isDown {
			m.crash(forS)
		}
	}},
	{"plan", func(w *Simulation, _ float64) { w.submitPlan(w.drawSpec(int(w.Asked())), 0) }},
	{"plan-twice", func(w *Simulation, _ float64) {
		s := w.drawSpec(int(w.Asked()))
		nonce := uint64(0)
		if w.chance(0.5) { // the same command
			nonce = w.rng.Uint64() | 1
		}
		w.submitPlan(s, nonce)
		w.submitPlan(s, nonce)
	}},
}

func (w *Simulation) isolate(n *sidecar, forS float64) {
	if n.isIsolated {
		return
	}
	w.log("%s is cut off", n.name())
	n.isIsolated = true
	if n.isRunning && !n.isFrozen {
		n.reachabilityChangedAt = w.Now()
	}
	w.After(forS, func() {
		w.log("%s is back", n.name())
		n.isIsolated = false
		run := n.process
		w.After(w.uniform(0.1, 1), func() { n.run(run, func() { n.apply(w.version, w.body) }) })
	})
}

// fails has a box be silent for a while, unless somebody works on it.
func (b *server) fail(w *Simulation, forS float64) {
	if b.agent != nil || b.isDown {
		return
	}
	b.isDown, w.undisturbedSince = true, math.Inf(1)
	w.After(forS, func() {
		b.isDown, w.undisturbedSince = false, w.Now()
	})
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

// lease has the job be granted to another when its owner is not heard, and sometimes to one more at random.
func (w *Simulation) superviseLease() {
	gone := func() bool {
		return w.leaseHolder == nil || !w.leaseHolder.isRunning || w.leaseHolder.isFrozen || w.leaseHolder.isIsolated || w.leaseHolder.process != w.leaseHolderProcess
	}
	if gone() {
		w.After(w.uniform(0.5, 3), func() {
			if gone() {
				w.grantLease(w.sidecars[w.rng.IntN(len(w.sidecars))])
			}
		})
	}
	w.After(w.uniform(1, 2), w.superviseLease)
}

// mostCalmS is how long plans may take after all troubles.
const maxRecoverySeconds = 3000.0

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

// Many plays seeds, so many at a time, and calls told with each in order until it says no.
func RunSeeds(first, last uint64, jobs int, told func(*Result) bool) {
	seeds.Many(first, last, jobs, func(seed uint64) *Result { return Run(seed, Options{}) }, told)
}
