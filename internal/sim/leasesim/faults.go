package leasesim

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// fault is a kind of disturbance that is injected for a while.
type fault struct {
	name   string
	inject func(s *Simulation, seconds float64)
}

// liveNodes returns the nodes that run and do not stand still.
func (s *Simulation) liveNodes() (all []*node) {
	for _, n := range s.nodes {
		if n.up && !n.frozen {
			all = append(all, n)
		}
	}
	return all
}

// pickLive draws up to limit live nodes, at least one if there are any.
func (s *Simulation) pickLive(limit int) []*node {
	all := s.liveNodes()
	s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), 1+s.rng.IntN(max(limit, 1)))]
}

// holderOf returns the node that holds a role by its own account, nil if there is none.
func (s *Simulation) holderOf(role string) *node {
	for _, n := range s.liveNodes() {
		if _, ok := n.lease.Holds(n.localTime(), role); ok {
			return n
		}
	}
	return nil
}

// leader returns the node that leads in the highest term by its own account, nil if there is none.
func (s *Simulation) leader() (best *node) {
	term := uint64(0)
	for _, n := range s.liveNodes() {
		if f := n.lease.Stats(); f.IsLeader && f.Term >= term {
			best, term = n, f.Term
		}
	}
	return best
}

// pickTarget draws the target of a fault: the holder of a role, the leader, or any live node; nil if there is none.
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

// restartAfter restarts a process after a delay: mostly with its state, else without it or with a truncated one.
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

// canLoseState reports whether a quorum of the voters keeps its state without this node's. Danger: a group whose voters lose all
// state never grants anything again, and the rest of the run would test nothing.
func (s *Simulation) canLoseState(n *node) bool {
	if s.losesQuorumState { // except the last node that knows of the group: without it no node could know which tokens were granted
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

// knowsGroup reports whether a node's disk holds the epoch of a group.
func (n *node) knowsGroup() bool {
	var kept struct {
		Epoch uint64 `msgpack:"e"`
	}
	return msgpack.Unmarshal(n.disk, &kept) == nil && kept.Epoch > 0
}

// faults are all kinds of faults. A run injects some of them.
var faults = []fault{
	{"kill", func(s *Simulation, seconds float64) {
		if n := s.pickTarget(); n != nil {
			n.kill()
			s.restartAfter(n, seconds)
		}
	}},
	{"kill-both", func(s *Simulation, seconds float64) { // the leader and a holder, and perhaps their successors
		for range 1 + s.rng.IntN(2) {
			for _, n := range []*node{s.leader(), s.holderOf(s.roles[0])} {
				if n != nil {
					n.kill()
					s.restartAfter(n, seconds)
				}
			}
		}
	}},
	{"freeze", func(s *Simulation, seconds float64) {
		if n := s.pickTarget(); n != nil {
			n.freeze(seconds)
		}
	}},
	{"freeze-some", func(s *Simulation, seconds float64) {
		for _, n := range s.pickLive(3) {
			n.freeze(seconds * s.uniform(0.3, 1))
		}
	}},
	{"cut-off", func(s *Simulation, seconds float64) { // a node from most others, one way or both
		n := s.pickTarget()
		if n == nil {
			return
		}
		way := s.rng.IntN(3)
		for _, o := range s.nodes {
			if o != n && s.chance(0.8) {
				switch way {
				case 0:
					s.partition(n, o, true, seconds)
				case 1:
					s.partition(n, o, false, seconds)
				default:
					s.partition(o, n, false, seconds)
				}
			}
		}
	}},
	{"cut-electors", func(s *Simulation, seconds float64) { // a holder from the voters but not from receivers, or the reverse
		n := s.holderOf(s.roles[0])
		if n == nil {
			return
		}
		voters := n.lease.Table().Voters
		not := s.chance(0.3)
		for _, o := range s.nodes {
			if o != n && o.identity != nil && slices.Contains(voters, o.identity.id) != not {
				s.partition(n, o, s.chance(0.5), seconds)
			}
		}
	}},
	{"cut-leader", func(s *Simulation, seconds float64) { // the leader from other voters, while holders still reach it
		n := s.leader()
		if n == nil {
			return
		}
		voters := n.lease.Table().Voters
		for _, o := range s.nodes {
			if o != n && o.identity != nil && slices.Contains(voters, o.identity.id) && !s.holdsAny(o) {
				s.partition(n, o, true, seconds)
			}
		}
	}},
	{"cut-halves", func(s *Simulation, seconds float64) {
		side := make([]bool, len(s.nodes))
		for i := range side {
			side[i] = s.chance(0.5)
		}
		for i, a := range s.nodes {
			for j, b := range s.nodes {
				if side[i] && !side[j] {
					s.partition(a, b, true, seconds)
				}
			}
		}
	}},
	{"hold", func(s *Simulation, seconds float64) { // messages are delayed, links stay up
		n := s.pickTarget()
		if n == nil {
			return
		}
		out, in, outS, inS, outAt := s.chance(0.7), s.chance(0.7), seconds, seconds, 0.0
		if s.chance(0.5) { // requests go out for a little longer, replies come late, and then nothing does
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
				s.After(inS+0.001, func() {
					s.stalledUntil[o.number][n.number] = max(s.stalledUntil[o.number][n.number], s.Now()+seconds-inS)
				})
			}
		}
	}},
	{"disk-full", func(s *Simulation, seconds float64) {
		for _, n := range s.pickLive(2) {
			n.diskFull = true
			s.After(seconds, func() { n.diskFull = false })
		}
	}},
	{"disk-slow", func(s *Simulation, seconds float64) {
		s.slowDiskSeconds, s.slowDiskUntil = s.uniform(0.05, 1), s.Now()+seconds
	}},
	{"term", func(s *Simulation, seconds float64) {
		if n := s.pickTarget(); n != nil {
			n.leave(func() { s.restartAfter(n, seconds/4) })
		}
	}},
	{"roll", func(s *Simulation, _ float64) { // a rolling restart
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
	{"majority", func(s *Simulation, seconds float64) {
		if len(s.voterSets) == 0 {
			return
		}
		list := s.voterSets[len(s.voterSets)-1].voters
		for _, n := range s.nodes {
			if n.up && slices.Contains(list, n.identity.id) && s.chance(0.8) {
				n.kill()
				s.After(seconds, n.start)
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
	{"shrink", func(s *Simulation, seconds float64) { // nodes are removed for good, as few at a time as voters can be replaced
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
	{"move-freeze", func(s *Simulation, seconds float64) { // the holder stands still just after it was asked to step down
		role := s.roles[s.rng.IntN(len(s.roles))]
		if n := s.holderOf(role); n != nil {
			n.call(n.incarnation, func() { n.lease.RequestStepDown(n.localTime(), role) })
			s.After(s.uniform(1, 8)*s.latencySeconds, func() { n.freeze(seconds) })
		}
	}},
	{"unwilling", func(s *Simulation, seconds float64) {
		n := s.pickTarget()
		if n == nil {
			return
		}
		role, incarnation := s.roles[s.rng.IntN(len(s.roles))], n.incarnation
		n.call(incarnation, func() { n.lease.SetWilling(n.localTime(), role, false) })
		s.After(seconds, func() { n.call(incarnation, func() { n.lease.SetWilling(n.localTime(), role, true) }) })
	}},
}

// holdsAny reports whether a node holds any role, as observed from outside.
func (s *Simulation) holdsAny(n *node) bool {
	return slices.ContainsFunc(s.leases, func(l observedLease) bool { return l.node == n })
}
