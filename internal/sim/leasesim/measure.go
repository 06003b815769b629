package leasesim

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// newSettled returns a simulation without faults that has run for a while, with so many nodes, the first of which are initial
// voters.
func newSettled(seed uint64, members, voters int, roles ...string) *Simulation {
	s := newSimulation(seed, voters, roles...)
	for range members {
		s.addNode(true)
	}
	for _, n := range s.nodes {
		s.After(s.uniform(0, 0.3), n.start)
	}
	s.RunUntil(s.Now() + 20 + s.uniform(0, 1))
	return s
}

// disruption is a way to take a role's holder away.
type disruption struct {
	name   string
	inject func(s *Simulation, holder, leader *node)
}

// disruptions are the ways that are measured.
var disruptions = []disruption{
	{"kill", func(_ *Simulation, o, _ *node) { o.kill() }},
	{"kill of the leader, which owns it", func(_ *Simulation, _, l *node) { l.kill() }},
	{"kill of owner and leader", func(_ *Simulation, o, l *node) { o.kill(); l.kill() }},
	{"freeze", func(_ *Simulation, o, _ *node) { o.freeze(20) }},
	{"cut off", func(s *Simulation, o, _ *node) { s.partitionNode(o, true, true) }},
	{"cut, its words go out", func(s *Simulation, o, _ *node) { s.partitionNode(o, false, true) }},
	{"cut, words come in", func(s *Simulation, o, _ *node) { s.partitionNode(o, true, false) }},
	{"SIGTERM", func(_ *Simulation, o, _ *node) { o.leave(func() {}) }},
	{"SIGTERM of the leader, which owns it", func(_ *Simulation, _, l *node) { l.leave(func() {}) }},
	{"step-down", func(s *Simulation, o, _ *node) {
		o.call(o.incarnation, func() { o.lease.RequestStepDown(o.localTime(), s.roles[0]) })
	}},
}

// partitionNode cuts a node off from all others, in the given directions.
func (s *Simulation) partitionNode(n *node, out, in bool) {
	for _, o := range s.nodes {
		if o != n {
			s.partitioned[n.number][o.number], s.partitioned[o.number][n.number] = out, in
		}
	}
}

// gapSeconds returns, sorted, how long a role has no holder after a disruption.
func gapSeconds(way disruption, trials, members, voters int) (all []float64) {
	for seed := uint64(1); len(all) < trials; seed++ {
		s := newSettled(seed, members, voters, "list")
		holder, leader := s.holderOf("list"), s.leader()
		if holder == nil || leader == nil || (holder == leader) != (strings.HasSuffix(way.name, "owns it")) {
			if seed > uint64(trials)*50 {
				break
			}
			continue
		}
		if way.name == "kill of owner and leader" && holder.lease.Stats().IsVoter {
			continue // of three voters two would be gone
		}
		at, grants := s.Now(), s.counts.Grants
		way.inject(s, holder, leader)
		for s.counts.Grants == grants && s.Now() < at+30 {
			s.RunUntil(s.Now() + 0.001)
		}
		all = append(all, s.Now()-at)
	}
	slices.Sort(all)
	return all
}

// Measure prints how long a role has no holder, what an idle fleet costs, and how many roles move.
func Measure(out io.Writer) {
	const trials, members = 100, 7
	fmt.Fprintf(out, "from the trouble to the next owner, %d members, 3 electors, %d trials: median, 99 %%, longest\n", members, trials)
	for _, way := range disruptions {
		if t := gapSeconds(way, trials, members, 3); len(t) > 0 {
			fmt.Fprintf(out, "  %-38s %.3f  %.3f  %.3f s  (%d)\n", way.name, t[len(t)/2], t[len(t)*99/100], t[len(t)-1], len(t))
		}
	}
	fmt.Fprintln(out, "idle, a second each: bytes and messages sent, writes of the state, calls")
	for _, c := range []struct{ members, voters, roles int }{{5, 3, 3}, {60, 3, 3}, {60, 5, 3}, {60, 7, 3}, {300, 3, 3}, {300, 7, 3}} {
		measureIdle(out, c.members, c.voters, c.roles)
	}
	fmt.Fprintln(out, "jobs that move when one of 60 goes, 5 trials each")
	for _, roles := range []int{3, 60, 120} {
		measureMoves(out, 60, roles)
	}
}

// roleNames returns the names of so many roles.
func roleNames(n int) (roles []string) {
	for i := range n {
		roles = append(roles, fmt.Sprintf("job%03d", i))
	}
	return roles
}

// measureIdle prints the cost of a fleet in which nothing happens.
func measureIdle(out io.Writer, members, voters, roles int) {
	s := newSettled(1, members, voters, roleNames(roles)...)
	const seconds = 60
	for _, n := range s.nodes {
		n.bytes, n.messages, n.persists, n.calls = 0, 0, 0, 0
	}
	s.RunUntil(s.Now() + seconds)
	type sum struct {
		n                             int
		bytes, messages, saves, calls uint64
	}
	var sums [4]sum
	names := [4]string{"leader", "other electors", "other owners", "the others"}
	for _, n := range s.nodes {
		f := n.lease.Stats()
		i := 3
		switch {
		case f.IsLeader:
			i = 0
		case f.IsVoter:
			i = 1
		case s.holdsAny(n):
			i = 2
		}
		total := &sums[i]
		total.n++
		total.bytes, total.messages, total.saves, total.calls = total.bytes+n.bytes, total.messages+n.messages, total.saves+n.persists, total.calls+n.calls
	}
	for i, total := range sums {
		if total.n > 0 {
			d := float64(total.n) * seconds
			fmt.Fprintf(out, "  %d members, %d electors, %d jobs: %-15s %7.0f B  %5.1f messages  %.2f writes  %5.1f calls\n", members, voters, roles, names[i],
				float64(total.bytes)/d, float64(total.messages)/d, float64(total.saves)/d, float64(total.calls)/d)
		}
	}
}

// measureMoves prints how many roles move when one node of many ends.
func measureMoves(out io.Writer, members, roles int) {
	most, sum, had, slowest := 0, 0, 0, 0.0
	for seed := uint64(1); seed <= 5; seed++ {
		s := newSettled(seed, members, 3, roleNames(roles)...)
		s.RunUntil(s.Now() + 60)
		n := s.nodes[s.rng.IntN(len(s.nodes))]
		own := 0
		for _, l := range s.leases {
			if l.node == n {
				own++
			}
		}
		s.counts.Moves, s.gaps = 0, nil
		n.kill()
		s.RunUntil(s.Now() + 30)
		most, sum, had = max(most, s.counts.Moves-own), sum+s.counts.Moves, had+own
		for _, g := range s.gaps {
			slowest = max(slowest, g.Seconds)
		}
	}
	fmt.Fprintf(out, "  %d jobs: %d moved, the dead ones had %d; at most %d more than the dead one's; longest without an owner %.2f s\n", roles, sum, had, most, slowest)
}
