package leasesim

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/sim/seeds"
)

// Result is what came of a day.
type Result struct {
	Seed     uint64    `json:"seed"`
	Findings []Finding `json:"findings,omitempty"`
	Hash     uint64    `json:"hash"` // of the history: equal seeds give equal ones
	Steps    uint64    `json:"steps"`
	Counts   Counts    `json:"counts"`
	Gaps     []Gap     `json:"-"`
}

// trouble is something that happens to members for a while.
type trouble struct {
	name string
	do   func(w *Simulation, forS float64)
}

// lives returns the members that live and are not frozen.
func (w *Simulation) lives() (all []*node) {
	for _, n := range w.nodes {
		if n.up && !n.frozen {
			all = append(all, n)
		}
	}
	return all
}

// some draws members that live, up to so many.
func (w *Simulation) some(most int) []*node {
	all := w.lives()
	w.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), 1+w.rng.IntN(max(most, 1)))]
}

// ownerOf returns who owns a job now, and leaderNow who leads, as the members themselves say; nil: nobody.
func (w *Simulation) ownerOf(job string) *node {
	for _, n := range w.lives() {
		if _, ok := n.t.Holds(n.clock(), job); ok {
			return n
		}
	}
	return nil
}

func (w *Simulation) leaderNow() (best *node) {
	term := uint64(0)
	for _, n := range w.lives() {
		if f := n.t.Stats(); f.IsLeader && f.Term >= term {
			best, term = n, f.Term
		}
	}
	return best
}

// aimed draws who is hit: the owner of a job, who leads, or anybody.
func (w *Simulation) aimed() *node {
	var n *node
	switch w.rng.IntN(3) {
	case 0:
		n = w.ownerOf(w.jobs[w.rng.IntN(len(w.jobs))])
	case 1:
		n = w.leaderNow()
	}
	if n == nil {
		if some := w.some(1); len(some) > 0 {
			n = some[0]
		}
	}
	return n
}

// back starts a process again: mostly with its state, else without, with an old copy that its host finds to be one, or with one
// that is torn.
func (w *Simulation) back(n *node, after float64) {
	how := w.rng.IntN(10)
	w.After(after, func() {
		if n.up || n.out {
			return
		}
		switch {
		case how == 0 && w.mayForget(n):
			n.disk = nil
			n.newIdentity()
		case how == 1 && w.mayForget(n) && len(n.disk) > 0:
			n.disk = n.disk[:w.rng.IntN(len(n.disk))]
		}
		n.start()
	})
}

// mayForget tells whether a majority of the electors keeps its state, without this one. Danger: a fleet whose electors forget
// all never has owners again, and its day tries nothing more.
func (w *Simulation) mayForget(n *node) bool {
	if w.forgets { // but the last that knows of a group: whoever knows of none can't know which tokens there were
		return slices.ContainsFunc(w.nodes, func(o *node) bool { return o != n && !o.out && o.knows() })
	}
	for _, l := range w.electors {
		kept := 0
		for _, id := range l.list {
			if i := slices.IndexFunc(w.ids, func(o *identity) bool { return o.id == id }); i >= 0 && !w.ids[i].gone && w.ids[i].of != n {
				kept++
			}
		}
		if kept <= len(l.list)/2 {
			return false
		}
	}
	return true
}

// knows tells whether a member's disk says that there is a group.
func (n *node) knows() bool {
	var kept struct {
		Epoch uint64 `msgpack:"e"`
	}
	return msgpack.Unmarshal(n.disk, &kept) == nil && kept.Epoch > 0
}

func (w *Simulation) sever(a, b *node, both bool, forS float64) {
	w.cut[a.number][b.number] = true
	if both {
		w.cut[b.number][a.number] = true
	}
	w.After(forS, func() {
		w.cut[a.number][b.number], w.cut[b.number][a.number] = false, false
		w.linkUp(a, b)
	})
}

// troubles are all kinds; a day has some of them.
var troubles = []trouble{
	{"kill", func(w *Simulation, forS float64) {
		if n := w.aimed(); n != nil {
			n.kill()
			w.back(n, forS)
		}
	}},
	{"kill-both", func(w *Simulation, forS float64) { // leader and owner, and maybe who comes next
		for range 1 + w.rng.IntN(2) {
			for _, n := range []*node{w.leaderNow(), w.ownerOf(w.jobs[0])} {
				if n != nil {
					n.kill()
					w.back(n, forS)
				}
			}
		}
	}},
	{"freeze", func(w *Simulation, forS float64) {
		if n := w.aimed(); n != nil {
			n.freeze(forS)
		}
	}},
	{"freeze-some", func(w *Simulation, forS float64) {
		for _, n := range w.some(3) {
			n.freeze(forS * w.between(0.3, 1))
		}
	}},
	{"cut-off", func(w *Simulation, forS float64) { // one from some, one way or both
		n := w.aimed()
		if n == nil {
			return
		}
		way := w.rng.IntN(3)
		for _, o := range w.nodes {
			if o != n && w.chance(0.8) {
				switch way {
				case 0:
					w.sever(n, o, true, forS)
				case 1:
					w.sever(n, o, false, forS)
				default:
					w.sever(o, n, false, forS)
				}
			}
		}
	}},
	{"cut-electors", func(w *Simulation, forS float64) { // an owner from electors, and not from receivers, or the other way round
		n := w.ownerOf(w.jobs[0])
		if n == nil {
			return
		}
		electors := n.t.Table().Voters
		not := w.chance(0.3)
		for _, o := range w.nodes {
			if o != n && o.ident != nil && slices.Contains(electors, o.ident.id) != not {
				w.sever(n, o, w.chance(0.5), forS)
			}
		}
	}},
	{"cut-leader", func(w *Simulation, forS float64) { // from electors alone: who owns still reaches it
		n := w.leaderNow()
		if n == nil {
			return
		}
		electors := n.t.Table().Voters
		for _, o := range w.nodes {
			if o != n && o.ident != nil && slices.Contains(electors, o.ident.id) && !w.ownsAny(o) {
				w.sever(n, o, true, forS)
			}
		}
	}},
	{"cut-halves", func(w *Simulation, forS float64) {
		side := make([]bool, len(w.nodes))
		for i := range side {
			side[i] = w.chance(0.5)
		}
		for i, a := range w.nodes {
			for j, b := range w.nodes {
				if side[i] && !side[j] {
					w.sever(a, b, true, forS)
				}
			}
		}
	}},
	{"hold", func(w *Simulation, forS float64) { // bytes stop, links stay up
		n := w.aimed()
		if n == nil {
			return
		}
		out, in, outS, inS, outAt := w.chance(0.7), w.chance(0.7), forS, forS, 0.0
		if w.chance(0.5) { // what it asks goes out for a little longer; the answers come late, and then nothing more
			out, in, inS = true, true, w.between(0.4, 1.0)
			outAt = w.between(0, inS)
		}
		for _, o := range w.nodes {
			if o == n || !w.chance(0.9) {
				continue
			}
			if out {
				w.After(outAt, func() { w.held[n.number][o.number] = w.Now() + outS })
			}
			if in {
				w.held[o.number][n.number] = w.Now() + inS
				w.After(inS+0.001, func() { w.held[o.number][n.number] = max(w.held[o.number][n.number], w.Now()+forS-inS) })
			}
		}
	}},
	{"disk-full", func(w *Simulation, forS float64) {
		for _, n := range w.some(2) {
			n.diskFull = true
			w.After(forS, func() { n.diskFull = false })
		}
	}},
	{"disk-slow", func(w *Simulation, forS float64) {
		w.slowS, w.slowTo = w.between(0.05, 1), w.Now()+forS
	}},
	{"term", func(w *Simulation, forS float64) {
		if n := w.aimed(); n != nil {
			n.leave(func() { w.back(n, forS/4) })
		}
	}},
	{"roll", func(w *Simulation, _ float64) { // all, one after the other
		at := 0.0
		for _, n := range w.nodes {
			w.After(at, func() {
				if !w.calmly {
					n.leave(func() { w.After(w.between(0.1, 0.5), n.start) })
				}
			})
			at += w.between(1.5, 3)
		}
	}},
	{"majority", func(w *Simulation, forS float64) {
		if len(w.electors) == 0 {
			return
		}
		list := w.electors[len(w.electors)-1].list
		for _, n := range w.nodes {
			if n.up && slices.Contains(list, n.ident.id) && w.chance(0.8) {
				n.kill()
				w.After(forS, n.start)
			}
		}
	}},
	{"all", func(w *Simulation, _ float64) {
		for _, n := range w.nodes {
			n.kill()
			w.After(w.between(0.2, 3), n.start)
		}
	}},
	{"grow", func(w *Simulation, _ float64) {
		for range 1 + w.rng.IntN(3) {
			if len(w.nodes) < 14 {
				w.add(w.chance(0.85)).start()
			}
		}
	}},
	{"shrink", func(w *Simulation, forS float64) { // for good; as few go at a time as the electors can be replaced
		for _, n := range w.some(2) {
			if in := len(w.lives()); in > 4 && w.mayForget(n) {
				n.out = true
				if n.ident != nil {
					n.ident.gone = true
				}
				if w.chance(0.5) {
					n.leave(func() {})
				} else {
					n.kill()
				}
			}
		}
	}},
	{"move", func(w *Simulation, _ float64) {
		if n := w.aimed(); n != nil {
			n.call(n.life, func() { n.t.RequestStepDown(n.clock(), w.jobs[w.rng.IntN(len(w.jobs))]) })
		}
	}},
	{"move-freeze", func(w *Simulation, forS float64) { // the owner stands still just after it was told to give the job up
		job := w.jobs[w.rng.IntN(len(w.jobs))]
		if n := w.ownerOf(job); n != nil {
			n.call(n.life, func() { n.t.RequestStepDown(n.clock(), job) })
			w.After(w.between(1, 8)*w.latencyS, func() { n.freeze(forS) })
		}
	}},
	{"unwilling", func(w *Simulation, forS float64) {
		n := w.aimed()
		if n == nil {
			return
		}
		job, life := w.jobs[w.rng.IntN(len(w.jobs))], n.life
		n.call(life, func() { n.t.SetWilling(n.clock(), job, false) })
		w.After(forS, func() { n.call(life, func() { n.t.SetWilling(n.clock(), job, true) }) })
	}},
}

func (w *Simulation) ownsAny(n *node) bool {
	return slices.ContainsFunc(w.leases, func(l observedLease) bool { return l.n == n })
}

// Options say how a day is played.
type Options struct {
	Trace func(at float64, line string)
}

// Run plays the day of a seed.
func Run(seed uint64, o Options) (r *Result) {
	d := newWorld(seed, 3, "list", "report")
	w := d
	w.trace = o.Trace
	defer func() {
		if cause := recover(); cause != nil {
			w.broken(RulePanic, "%v", cause)
			r = w.result(seed)
		}
	}()
	if w.chance(0.4) {
		w.set.InitialVoters = append(w.set.InitialVoters, address(3), address(4))
	}
	if w.chance(0.5) {
		w.jobs = append(w.jobs, "drill", "works")
		w.set.Roles = w.jobs
	}
	w.latencyS = []float64{0.0003, 0.001, 0.01, 0.03}[w.rng.IntN(4)]
	w.diskS = []float64{0.001, 0.005, 0.02}[w.rng.IntN(3)]
	if w.chance(0.3) {
		w.lossPart = w.between(0, 0.05)
	}
	if w.chance(0.3) {
		w.strayPart = w.between(0, 0.01)
	}
	if w.chance(0.2) {
		w.liesPart = w.between(0, 0.02)
	}
	if w.chance(0.5) {
		w.stallPart = w.between(0, 0.005)
	}
	w.forgets = w.chance(0.1)
	for range len(w.set.InitialVoters) + w.rng.IntN(10-len(w.set.InitialVoters)) {
		w.add(len(w.nodes) < len(w.set.InitialVoters) || w.chance(0.85))
	}
	for _, n := range w.nodes {
		w.After(w.between(0, 2), n.start)
	}
	w.Until(w.Now() + w.between(4, 10))
	var kinds []trouble
	for _, t := range troubles {
		if w.chance(0.4) {
			kinds = append(kinds, t)
		}
	}
	end := w.Now() + w.between(30, 150)
	for len(kinds) > 0 && w.Now() < end {
		forS := []float64{w.between(0.2, 2), w.between(1, 8), w.between(5, 60)}[w.rng.IntN(3)]
		t := kinds[w.rng.IntN(len(kinds))]
		w.note("trouble %s for %.2f s", t.name, forS)
		w.why, w.whyAt = t.name, w.Now()
		t.do(w, forS)
		w.Until(w.Now() + []float64{w.between(0, 0.5), w.between(0.5, 5), w.between(3, 20)}[w.rng.IntN(3)])
	}
	w.calm()
	return w.result(seed)
}

// calmS is how long after all troubles each job must have an owner: the longest wait of a founding or an election, several of
// them, and a lease.
const calmS = 15.0

// calm ends all troubles and sees whether each job has an owner.
func (w *Simulation) calm() {
	w.Until(w.Now() + 1.3) // what was to begin a little later has begun
	w.note("all is mended")
	w.lossPart, w.strayPart, w.liesPart, w.stallPart = 0, 0, 0, 0
	for i, n := range w.nodes {
		if n.frozen {
			n.thaw()
		}
		n.diskFull = false
		for j, o := range w.nodes {
			if w.cut[i][j] || w.last[i][j] > w.Now()+w.latencyS { // what an old link holds may come yet; there is a new one
				w.cut[i][j], w.held[i][j], w.last[i][j] = false, 0, 0
				w.linkUp(n, o)
			}
			w.held[i][j] = 0
		}
	}
	w.slowTo = 0
	w.calmly = true
	w.why, w.whyAt = "", w.Now()
	for _, n := range w.nodes {
		if !n.up && !n.out {
			n.start()
		}
	}
	w.Until(w.Now() + calmS)
	for i := range w.nodes {
		if n := w.nodes[i]; !n.up && !n.out { // one that was leaving
			n.start()
		}
	}
	w.Until(w.Now() + calmS)
	for until := w.Now() + 4; w.Now() < until && slices.ContainsFunc(w.jobs, func(job string) bool { return w.ownerOf(job) == nil }); {
		w.Until(w.Now() + 0.1) // one may just be moving
	}
	if w.majority() {
		for _, job := range w.jobs {
			if w.ownerOf(job) == nil {
				w.broken(RuleNoHolder, "%s has no owner %g s after all was mended", job, 2*calmS)
			}
		}
	}
	w.checkHistory()
}

// majority tells whether the electors can agree: of those that the newest table names more than half live as who they are.
func (w *Simulation) majority() bool {
	var list []swim.ID
	epoch, index := uint64(0), uint64(0)
	for _, n := range w.lives() {
		if t := n.t.Table(); t.Epoch > epoch || t.Epoch == epoch && t.Index > index {
			epoch, index, list = t.Epoch, t.Index, t.Voters
		}
	}
	there := 0
	for _, n := range w.lives() {
		if slices.Contains(list, n.ident.id) {
			there++
		}
	}
	if epoch == 0 { // none is founded: it needs all that are listed
		for i := range w.set.InitialVoters {
			if !w.nodes[i].up {
				return false
			}
		}
		return true
	}
	return there > len(list)/2
}

func (w *Simulation) result(seed uint64) *Result {
	return &Result{Seed: seed, Findings: w.findings, Hash: w.hash, Steps: w.Steps(), Counts: w.counts, Gaps: w.gaps}
}

// RunSeeds plays seeds, so many at a time, and calls told with each in order until it says no.
func RunSeeds(first, last uint64, jobs int, told func(*Result) bool) {
	seeds.Many(first, last, jobs, func(seed uint64) *Result { return Run(seed, Options{}) }, told)
}
