package leasesim

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// quiet returns a fleet that has been calm for a while: so many members, of which the first are listed as electors.
func quiet(seed uint64, members, electors int, jobs ...string) *Simulation {
	w := newWorld(seed, electors, jobs...)
	for range members {
		w.add(true)
	}
	for _, n := range w.nodes {
		w.After(w.between(0, 0.3), n.start)
	}
	w.Until(w.Now() + 20 + w.between(0, 1))
	return w
}

// without is a way to take the owner of a job away.
type without struct {
	name string
	do   func(w *Simulation, owner, leader *node)
}

var ways = []without{
	{"kill", func(_ *Simulation, o, _ *node) { o.kill() }},
	{"kill of the leader, which owns it", func(_ *Simulation, _, l *node) { l.kill() }},
	{"kill of owner and leader", func(_ *Simulation, o, l *node) { o.kill(); l.kill() }},
	{"freeze", func(_ *Simulation, o, _ *node) { o.freeze(20) }},
	{"cut off", func(w *Simulation, o, _ *node) { w.cutOff(o, true, true) }},
	{"cut, its words go out", func(w *Simulation, o, _ *node) { w.cutOff(o, false, true) }},
	{"cut, words come in", func(w *Simulation, o, _ *node) { w.cutOff(o, true, false) }},
	{"SIGTERM", func(_ *Simulation, o, _ *node) { o.leave(func() {}) }},
	{"SIGTERM of the leader, which owns it", func(_ *Simulation, _, l *node) { l.leave(func() {}) }},
	{"step-down", func(w *Simulation, o, _ *node) { o.call(o.life, func() { o.t.RequestStepDown(o.clock(), w.jobs[0]) }) }},
}

func (w *Simulation) cutOff(n *node, out, in bool) {
	for _, o := range w.nodes {
		if o != n {
			w.cut[n.number][o.number], w.cut[o.number][n.number] = out, in
		}
	}
}

// times returns how long the job is without an owner after what a way does to it, sorted.
func times(way without, trials, members, electors int) (all []float64) {
	for seed := uint64(1); len(all) < trials; seed++ {
		w := quiet(seed, members, electors, "list")
		owner, leader := w.ownerOf("list"), w.leaderNow()
		if owner == nil || leader == nil || (owner == leader) != (strings.HasSuffix(way.name, "owns it")) {
			if seed > uint64(trials)*50 {
				break
			}
			continue
		}
		if way.name == "kill of owner and leader" && owner.t.Stats().IsVoter {
			continue // of three electors two would be gone
		}
		at, grants := w.Now(), w.counts.Grants
		way.do(w, owner, leader)
		for w.counts.Grants == grants && w.Now() < at+30 {
			w.Until(w.Now() + 0.001)
		}
		all = append(all, w.Now()-at)
	}
	slices.Sort(all)
	return all
}

// Measure prints how long a job is without an owner, what being ready costs, and how many jobs move.
func Measure(out io.Writer) {
	const trials, members = 100, 7
	fmt.Fprintf(out, "from the trouble to the next owner, %d members, 3 electors, %d trials: median, 99 %%, longest\n", members, trials)
	for _, way := range ways {
		if t := times(way, trials, members, 3); len(t) > 0 {
			fmt.Fprintf(out, "  %-38s %.3f  %.3f  %.3f s  (%d)\n", way.name, t[len(t)/2], t[len(t)*99/100], t[len(t)-1], len(t))
		}
	}
	fmt.Fprintln(out, "idle, a second each: bytes and messages sent, writes of the state, calls")
	for _, c := range []struct{ members, electors, jobs int }{{5, 3, 3}, {60, 3, 3}, {60, 5, 3}, {60, 7, 3}, {300, 3, 3}, {300, 7, 3}} {
		idle(out, c.members, c.electors, c.jobs)
	}
	fmt.Fprintln(out, "jobs that move when one of 60 goes, 5 trials each")
	for _, jobs := range []int{3, 60, 120} {
		moved(out, 60, jobs)
	}
}

func named(n int) (jobs []string) {
	for i := range n {
		jobs = append(jobs, fmt.Sprintf("job%03d", i))
	}
	return jobs
}

func idle(out io.Writer, members, electors, jobs int) {
	w := quiet(1, members, electors, named(jobs)...)
	const forS = 60
	for _, n := range w.nodes {
		n.bytes, n.messages, n.saves, n.calls = 0, 0, 0, 0
	}
	w.Until(w.Now() + forS)
	type sum struct {
		n                             int
		bytes, messages, saves, calls uint64
	}
	var sums [4]sum
	names := [4]string{"leader", "other electors", "other owners", "the others"}
	for _, n := range w.nodes {
		f := n.t.Stats()
		i := 3
		switch {
		case f.IsLeader:
			i = 0
		case f.IsVoter:
			i = 1
		case w.ownsAny(n):
			i = 2
		}
		s := &sums[i]
		s.n++
		s.bytes, s.messages, s.saves, s.calls = s.bytes+n.bytes, s.messages+n.messages, s.saves+n.saves, s.calls+n.calls
	}
	for i, s := range sums {
		if s.n > 0 {
			d := float64(s.n) * forS
			fmt.Fprintf(out, "  %d members, %d electors, %d jobs: %-15s %7.0f B  %5.1f messages  %.2f writes  %5.1f calls\n", members, electors, jobs, names[i],
				float64(s.bytes)/d, float64(s.messages)/d, float64(s.saves)/d, float64(s.calls)/d)
		}
	}
}

func moved(out io.Writer, members, jobs int) {
	most, sum, had, slowest := 0, 0, 0, 0.0
	for seed := uint64(1); seed <= 5; seed++ {
		w := quiet(seed, members, 3, named(jobs)...)
		w.Until(w.Now() + 60)
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		own := 0
		for _, l := range w.leases {
			if l.n == n {
				own++
			}
		}
		w.counts.Moves, w.gaps = 0, nil
		n.kill()
		w.Until(w.Now() + 30)
		most, sum, had = max(most, w.counts.Moves-own), sum+w.counts.Moves, had+own
		for _, g := range w.gaps {
			slowest = max(slowest, g.Seconds)
		}
	}
	fmt.Fprintf(out, "  %d jobs: %d moved, the dead ones had %d; at most %d more than the dead one's; longest without an owner %.2f s\n", jobs, sum, had, most, slowest)
}
