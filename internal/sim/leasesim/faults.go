package leasesim

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// fault is something that happens to members for a while.
type fault struct {
	name   string
	inject func(w *Simulation, forS float64)
}

// liveNodes returns the members that live and are not frozen.
func (s *Simulation) liveNodes() (all []*node) {
	for _, n := range s.nodes {
		if n.up && !n.frozen {
			all = append(all, n)
		}
	}
	return all
}

// pickLive draws members that live, up to so many.
func (s *Simulation) pickLive(most int) []*node {
	all := s.liveNodes()
	s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), 1+s.rng.IntN(max(most, 1)))]
}

// holderOf returns who owns a role now, and leaderNow who leads, as the members themselves say; nil: nobody.
func (s *Simulation) holderOf(role string) *node {
	for _, n := range s.liveNodes() {
		if _, ok := n.lease.Holds(n.localTime(), role); ok {
			return n
		}
	}
	return nil
}

func (s *Simulation) leader() (best *node) {
	term := uint64(0)
	for _, n := range s.liveNodes() {
		if f := n.lease.Stats(); f.IsLeader && f.Term >= term {
			best, term = n, f.Term
		}
	}
	return best
}

// pickTarget draws who is hit: the owner of a role, who leads, or anybody.
func (s *Simulation) pickTarget() *node {
	var n *node
	switch s.rng.IntN(3) {
	case 0:
		n = s.holderOf(s.roles[s.rng.IntN(len(s.roles))])
	case 1:
		n = s.leader()
	}
	if n == nil {
		if some := s.pickLive(1); len(some) > 0 {
			n = some[0]
		}
	}
	return n
}

// restartAfter starts a process again: mostly with its state, else without, with an old copy that its host finds to be one, or with one
// that is torn.
func (s *Simulation) restartAfter(n *node, after float64) {
	how := s.rng.IntN(10)
	s.After(after, func() {
		if n.up || n.removed {
			return
		}
		switch {
		case how == 0 && s.canLoseState(n):
			n.disk = nil
			n.replaceIdentity()
		case how == 1 && s.canLoseState(n) && len(n.disk) > 0:
			n.disk = n.disk[:s.rng.IntN(len(n.disk))]
		}
		n.start()
	})
}

// canLoseState tells whether a majority of the electors keeps its state, without this one. Danger: a fleet whose electors forget
// all never has owners again, and its day tries nothing more.
func (s *Simulation) canLoseState(n *node) bool {
	if s.losesQuorumState { // but the last that knows of a group: whoever knows of none can't know which tokens there were
		return slices.ContainsFunc(s.nodes, func(o *node) bool { return o != n && !o.removed && o.knowsGroup() })
	}
	for _, l := range s.voterSets {
		kept := 0
		for _, id := range l.voters {
			if i := slices.IndexFunc(s.identities, func(o *identity) bool { return o.id == id }); i >= 0 && !s.identities[i].isLost && s.identities[i].node != n {
				kept++
			}
		}
		if kept <= len(l.voters)/2 {
			return false
		}
	}
	return true
}

// knowsGroup tells whether a member's disk says that there is a group.
func (n *node) knowsGroup() bool {
	var kept struct {
		Epoch uint64 `msgpack:"e"`
	}
	return msgpack.Unmarshal(n.disk, &kept) == nil && kept.Epoch > 0
}

// faults are all kinds; a day has some of them.
var faults = []fault{
	{"kill", func(s *Simulation, forS float64) {
		if n := s.pickTarget(); n != nil {
			n.kill()
			s.restartAfter(n, forS)
		}
	}},
	{"kill-both", func(s *Simulation, forS float64) { // leader and owner, and maybe who comes next
		for range 1 + s.rng.IntN(2) {
			for _, n := range []*node{s.leader(), s.holderOf(s.roles[0])} {
				if n != nil {
					n.kill()
					s.restartAfter(n, forS)
				}
			}
		}
	}},
	{"freeze", func(s *Simulation, forS float64) {
		if n := s.pickTarget(); n != nil {
			n.freeze(forS)
		}
	}},
	{"freeze-some", func(s *Simulation, forS float64) {
		for _, n := range s.pickLive(3) {
			n.freeze(forS * s.uniform(0.3, 1))
		}
	}},
	{"cut-off", func(s *Simulation, forS float64) { // one from some, one way or both
		n := s.pickTarget()
		if n == nil {
			return
		}
		way := s.rng.IntN(3)
		for _, o := range s.nodes {
			if o != n && s.chance(0.8) {
				switch way {
				case 0:
					s.partition(n, o, true, forS)
				case 1:
					s.partition(n, o, false, forS)
				default:
					s.partition(o, n, false, forS)
				}
			}
		}
	}},
	{"cut-electors", func(s *Simulation, forS float64) { // an owner from electors, and not from receivers, or the other way round
		n := s.holderOf(s.roles[0])
		if n == nil {
			return
		}
		electors := n.lease.Table().Voters
		not := s.chance(0.3)
		for _, o := range s.nodes {
			if o != n && o.identity != nil && slices.Contains(electors, o.identity.id) != not {
				s.partition(n, o, s.chance(0.5), forS)
			}
		}
	}},
	{"cut-leader", func(s *Simulation, forS float64) { // from electors alone: who owns still reaches it
		n := s.leader()
		if n == nil {
			return
		}
		electors := n.lease.Table().Voters
		for _, o := range s.nodes {
			if o != n && o.identity != nil && slices.Contains(electors, o.identity.id) && !s.holdsAny(o) {
				s.partition(n, o, true, forS)
			}
		}
	}},
	{"cut-halves", func(s *Simulation, forS float64) {
		side := make([]bool, len(s.nodes))
		for i := range side {
			side[i] = s.chance(0.5)
		}
		for i, a := range s.nodes {
			for j, b := range s.nodes {
				if side[i] && !side[j] {
					s.partition(a, b, true, forS)
				}
			}
		}
	}},
	{"hold", func(s *Simulation, forS float64) { // bytes stop, links stay up
		n := s.pickTarget()
		if n == nil {
			return
		}
		out, in, outS, inS, outAt := s.chance(0.7), s.chance(0.7), forS, forS, 0.0
		if s.chance(0.5) { // what it asks goes out for a little longer; the answers come late, and then nothing more
			out, in, inS = true, true, s.uniform(0.4, 1.0)
			outAt = s.uniform(0, inS)
		}
		for _, o := range s.nodes {
			if o == n || !s.chance(0.9) {
				continue
			}
			if out {
				s.After(outAt, func() { s.stalledUntil[n.number][o.number] = s.Now() + outS })
			}
			if in {
				s.stalledUntil[o.number][n.number] = s.Now() + inS
				s.After(inS+0.001, func() { s.stalledUntil[o.number][n.number] = max(s.stalledUntil[o.number][n.number], s.Now()+forS-inS) })
			}
		}
	}},
	{"disk-full", func(s *Simulation, forS float64) {
		for _, n := range s.pickLive(2) {
			n.diskFull = true
			s.After(forS, func() { n.diskFull = false })
		}
	}},
	{"disk-slow", func(s *Simulation, forS float64) {
		s.slowDiskSeconds, s.slowDiskUntil = s.uniform(0.05, 1), s.Now()+forS
	}},
	{"term", func(s *Simulation, forS float64) {
		if n := s.pickTarget(); n != nil {
			n.leave(func() { s.restartAfter(n, forS/4) })
		}
	}},
	{"roll", func(s *Simulation, _ float64) { // all, one after the other
		at := 0.0
		for _, n := range s.nodes {
			s.After(at, func() {
				if !s.isSettling {
					n.leave(func() { s.After(s.uniform(0.1, 0.5), n.start) })
				}
			})
			at += s.uniform(1.5, 3)
		}
	}},
	{"majority", func(s *Simulation, forS float64) {
		if len(s.voterSets) == 0 {
			return
		}
		list := s.voterSets[len(s.voterSets)-1].voters
		for _, n := range s.nodes {
			if n.up && slices.Contains(list, n.identity.id) && s.chance(0.8) {
				n.kill()
				s.After(forS, n.start)
			}
		}
	}},
	{"all", func(s *Simulation, _ float64) {
		for _, n := range s.nodes {
			n.kill()
			s.After(s.uniform(0.2, 3), n.start)
		}
	}},
	{"grow", func(s *Simulation, _ float64) {
		for range 1 + s.rng.IntN(3) {
			if len(s.nodes) < 14 {
				s.addNode(s.chance(0.85)).start()
			}
		}
	}},
	{"shrink", func(s *Simulation, forS float64) { // for good; as few go at a time as the electors can be replaced
		for _, n := range s.pickLive(2) {
			if in := len(s.liveNodes()); in > 4 && s.canLoseState(n) {
				n.removed = true
				if n.identity != nil {
					n.identity.isLost = true
				}
				if s.chance(0.5) {
					n.leave(func() {})
				} else {
					n.kill()
				}
			}
		}
	}},
	{"move", func(s *Simulation, _ float64) {
		if n := s.pickTarget(); n != nil {
			n.call(n.incarnation, func() { n.lease.RequestStepDown(n.localTime(), s.roles[s.rng.IntN(len(s.roles))]) })
		}
	}},
	{"move-freeze", func(s *Simulation, forS float64) { // the owner stands still just after it was told to give the role up
		role := s.roles[s.rng.IntN(len(s.roles))]
		if n := s.holderOf(role); n != nil {
			n.call(n.incarnation, func() { n.lease.RequestStepDown(n.localTime(), role) })
			s.After(s.uniform(1, 8)*s.latencySeconds, func() { n.freeze(forS) })
		}
	}},
	{"unwilling", func(s *Simulation, forS float64) {
		n := s.pickTarget()
		if n == nil {
			return
		}
		role, life := s.roles[s.rng.IntN(len(s.roles))], n.incarnation
		n.call(life, func() { n.lease.SetWilling(n.localTime(), role, false) })
		s.After(forS, func() { n.call(life, func() { n.lease.SetWilling(n.localTime(), role, true) }) })
	}},
}

func (s *Simulation) holdsAny(n *node) bool {
	return slices.ContainsFunc(s.leases, func(l observedLease) bool { return l.node == n })
}
