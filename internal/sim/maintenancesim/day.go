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
func (w *Simulation) back(n *node) {
	w.After(w.between(0.5, 0.5*w.spec.DeadMemberSeconds), func() {
		if w.chance(0.2) && !n.cut { // danger: one that is new and can't ask knows of no ban; nobody can help that
			n.version, n.state, n.outs = 0, maintenance.State{}, nil
			n.id = swim.ID(w.rng.Uint64() | 1)
		}
		n.start()
	})
}

type trouble struct {
	name string
	do   func(w *Simulation, forS float64)
}

// some is a sidecar that lives, the owner more often than others.
func (w *Simulation) some() *node {
	if w.owner != nil && w.chance(0.4) && w.owner.up {
		return w.owner
	}
	for range 20 {
		if n := w.nodes[w.rng.IntN(len(w.nodes))]; n.up {
			return n
		}
	}
	return w.nodes[0]
}

// troubles are all kinds; a day has some of them.
var troubles = []trouble{
	{"kill", func(w *Simulation, _ float64) {
		n := w.some()
		if n.up {
			n.stop(false)
			w.back(n)
		}
	}},
	{"kill-for-good", func(w *Simulation, _ float64) {
		live := 0
		for _, n := range w.nodes {
			if n.up {
				live++
			}
		}
		if live > 2 {
			w.some().stop(false)
		}
	}},
	{"term", func(w *Simulation, _ float64) {
		n := w.some()
		if n.up {
			n.stop(true)
			w.back(n)
		}
	}},
	{"freeze", func(w *Simulation, forS float64) { w.some().freeze(forS) }},
	{"cut", func(w *Simulation, forS float64) { w.sever(w.some(), forS) }},
	{"cut-half", func(w *Simulation, forS float64) {
		for _, n := range w.nodes {
			if w.chance(0.5) {
				w.sever(n, forS)
			}
		}
	}},
	{"move", func(w *Simulation, _ float64) { w.grant(w.some()) }},
	{"majority", func(w *Simulation, forS float64) {
		w.down = true
		w.After(forS, func() { w.down = false })
	}},
	{"loss", func(w *Simulation, forS float64) {
		was := w.lossPart
		w.lossPart = 0.4
		w.After(forS, func() { w.lossPart = was })
	}},
	{"silent", func(w *Simulation, forS float64) { w.boxes[w.rng.IntN(len(w.boxes))].fails(w, forS) }},
	{"site", func(w *Simulation, forS float64) {
		site := w.boxes[w.rng.IntN(len(w.boxes))].site
		for _, b := range w.boxes {
			if b.site == site {
				b.fails(w, forS)
			}
		}
	}},
	{"unlisted", func(w *Simulation, forS float64) {
		b := w.boxes[w.rng.IntN(len(w.boxes))]
		b.unlisted, w.quietAt = true, math.Inf(1)
		w.After(forS, func() { b.unlisted, w.quietAt = false, w.Now() })
	}},
	{"drained", func(w *Simulation, forS float64) {
		b := w.boxes[w.rng.IntN(len(w.boxes))]
		b.draining, w.quietAt = true, math.Inf(1)
		w.After(forS, func() { b.draining, w.quietAt = false, w.Now() })
	}},
	{"load", func(w *Simulation, forS float64) {
		was := w.perS
		w.perS *= w.between(1.5, 2.5)
		w.After(forS, func() { w.perS = was })
	}},
	{"refusing", func(w *Simulation, forS float64) {
		w.refusing = 0.2
		w.After(forS, func() { w.refusing = 0 })
	}},
	{"late", func(w *Simulation, forS float64) {
		w.late = len(w.nodes)
		w.After(forS, func() { w.late = 0 })
	}},
	{"by-hand", func(w *Simulation, forS float64) {
		n, b := w.some(), w.boxes[w.rng.IntN(len(w.boxes))]
		if n.up {
			n.hand[b.name] = w.Now() + forS
		}
	}},
	{"meddle", func(w *Simulation, _ float64) { w.meddle() }},
	{"mechanic", func(w *Simulation, forS float64) {
		if m := w.mechanics[w.rng.IntN(len(w.mechanics))]; !m.dead {
			m.die(forS)
		}
	}},
	{"plan", func(w *Simulation, _ float64) { w.give(w.drawSpec(int(w.Asked())), 0) }},
	{"plan-twice", func(w *Simulation, _ float64) {
		s := w.drawSpec(int(w.Asked()))
		nonce := uint64(0)
		if w.chance(0.5) { // the same command
			nonce = w.rng.Uint64() | 1
		}
		w.give(s, nonce)
		w.give(s, nonce)
	}},
}

func (w *Simulation) sever(n *node, forS float64) {
	if n.cut {
		return
	}
	w.note("%s is cut off", n.name())
	n.cut = true
	if n.up && !n.frozen {
		n.sinceAt = w.Now()
	}
	w.After(forS, func() {
		w.note("%s is back", n.name())
		n.cut = false
		run := n.run
		w.After(w.between(0.1, 1), func() { n.call(run, func() { n.take(w.version, w.body) }) })
	})
}

// fails has a box be silent for a while, unless somebody works on it.
func (b *box) fails(w *Simulation, forS float64) {
	if b.worker != nil || b.down {
		return
	}
	b.down, w.quietAt = true, math.Inf(1)
	w.After(forS, func() {
		b.down, w.quietAt = false, w.Now()
	})
}

// Play plays the day of a seed.
func Run(seed uint64, o Options) (r *Result) {
	w := &Simulation{Queue: seeds.NewQueue(100), rng: rand.New(rand.NewPCG(seed, 0x706c616e73)), trace: o.Trace, hash: 14695981039346656037, epoch: 1 + seed%3}
	w.judge.cold = map[string]float64{}
	defer func() {
		if cause := recover(); cause != nil {
			w.broken(RulePanic, "%v", cause)
			r = w.result(seed)
		}
	}()
	w.draw()
	for _, n := range w.nodes {
		n.start()
	}
	w.grant(w.nodes[w.rng.IntN(len(w.nodes))])
	w.lease()
	for _, m := range w.mechanics {
		m.poll(0)
	}
	w.Until(w.Now() + 3)
	w.give(w.drawSpec(0), 0)
	var kinds []trouble
	for _, t := range troubles {
		if w.chance(0.4) {
			kinds = append(kinds, t)
		}
	}
	end := w.Now() + w.between(60, 200)
	for w.Now() < end {
		forS := []float64{w.between(0.2, 2), w.between(1, 8), w.between(5, 0.7*w.spec.DeadMemberSeconds)}[w.rng.IntN(3)]
		if len(kinds) > 0 {
			t := kinds[w.rng.IntN(len(kinds))]
			w.note("trouble %s for %.2f s", t.name, forS)
			t.do(w, forS)
		}
		w.Until(w.Now() + []float64{w.between(0, 0.5), w.between(0.5, 5), w.between(3, 20)}[w.rng.IntN(3)])
	}
	w.calm()
	return w.result(seed)
}

// draw draws what there is.
func (w *Simulation) draw() {
	sites := 1 + w.rng.IntN(4)
	for i := range 3 + w.rng.IntN(12) {
		w.boxes = append(w.boxes, &box{name: fmt.Sprintf("b%02d", i), site: fmt.Sprint("site-", w.rng.IntN(sites)), kind: fmt.Sprint("kind-", w.rng.IntN(2)),
			size: float64(1 + w.rng.IntN(3))})
	}
	for i := range 2 + w.rng.IntN(7) {
		w.nodes = append(w.nodes, &node{w: w, number: i, id: swim.ID(w.rng.Uint64() | 1)})
	}
	for i := range 1 + w.rng.IntN(3) {
		w.mechanics = append(w.mechanics, &mechanic{w: w, name: fmt.Sprint("m", i), done: map[uint64]bool{}, takesS: w.between(1, 10)})
	}
	w.coldS = w.between(2, 12)
	w.spec = maintenance.Spec{WorkSeconds: w.between(3, 12), DeadMemberSeconds: w.between(25, 90), QuietSeconds: []float64{0, 0.5, 2}[w.rng.IntN(3)]}
	if w.chance(0.3) {
		w.spec.WarmUpSeconds = w.between(1, 20)
	}
	w.perS = w.between(20, 500)
	if w.chance(0.4) {
		w.lossPart = w.between(0, 0.1)
	}
	if w.chance(0.5) {
		w.stopPart = w.between(0, 0.1)
	}
}

// lease has the job be granted to another when its owner is not heard, and sometimes to one more at random.
func (w *Simulation) lease() {
	gone := func() bool {
		return w.owner == nil || !w.owner.up || w.owner.frozen || w.owner.cut || w.owner.run != w.ownerRun
	}
	if gone() {
		w.After(w.between(0.5, 3), func() {
			if gone() {
				w.grant(w.nodes[w.rng.IntN(len(w.nodes))])
			}
		})
	}
	w.After(w.between(1, 2), w.lease)
}

// mostCalmS is how long plans may take after all troubles.
const mostCalmS = 3000.0

// calm ends all troubles, and sees whether all plans end.
func (w *Simulation) calm() {
	w.Until(w.Now() + 1)
	w.note("all is mended")
	w.calmly, w.stopPart = true, 0
	w.Until(w.Now() + w.spec.DeadMemberSeconds) // what was to last has lasted
	w.lossPart = 0
	w.nodes[0].start() // one must be there
	for _, n := range w.nodes {
		n.thaw()
		if n.up && n.cut {
			n.cut = false
		}
		n.hand = map[string]float64{}
	}
	for end := w.Now() + mostCalmS; w.Now() < end; {
		live := false
		for _, p := range w.agreed().State.Plans {
			for _, b := range p.Servers {
				if b.Stage == maintenance.Lost {
					w.ask(maintenance.Command{Kind: maintenance.SkipServer, Server: b.Name, Plan: p.Number, Agent: "operator"}, 10, func(maintenance.Reply) {})
				}
			}
			if p.Ended {
				continue
			}
			if live = true; p.PausedBy != "" {
				w.ask(maintenance.Command{Kind: maintenance.ResumePlan, Plan: p.Number}, 10, func(maintenance.Reply) {})
			}
		}
		if !live {
			break
		}
		for _, b := range w.boxes { // who had it is not told that it was given up: somebody sees to the box
			if b.worker != nil && w.forced(b.name, b.token) {
				b.worker, b.down = nil, false
			}
		}
		w.Until(w.Now() + 20)
	}
	w.Until(w.Now() + 5)
	w.over()
}

func (w *Simulation) result(seed uint64) *Result {
	return &Result{Seed: seed, Findings: w.findings, Hash: w.hash, Steps: w.Steps(), Counts: w.counts}
}

// Many plays seeds, so many at a time, and calls told with each in order until it says no.
func RunSeeds(first, last uint64, jobs int, told func(*Result) bool) {
	seeds.Many(first, last, jobs, func(seed uint64) *Result { return Run(seed, Options{}) }, told)
}
