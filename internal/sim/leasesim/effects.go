package leasesim

import (
	"hazelwheel/internal/decide/lease"
)

// actAsHolder has the owner of a role act again and again: it looks whether it may, and then its effect goes to all. Between the two it
// may stand still.
func (n *node) actAsHolder(life int) {
	s := n.sim
	n.call(life, func() {
		for _, role := range s.roles {
			token, ok := n.lease.Holds(n.localTime(), role)
			if !ok {
				continue
			}
			s.effectSent(n, role, token)
			n.lastEffect++
			number, by := n.lastEffect, n.identity
			tell := func() {
				for _, o := range s.nodes {
					if !o.up {
						continue
					}
					olife := o.incarnation
					s.deliver(n, o, func() { o.call(olife, func() { o.receiveEffect(n, by, role, token, number) }) })
				}
			}
			if s.chance(s.stallProbability) {
				s.counts.Stalls++
				n.freeze(s.uniform(0.3, 6))
				n.postponed = append(n.postponed, func() { n.call(life, tell) })
				return
			}
			tell()
		}
	})
	s.After(s.uniform(0.05, 0.25), func() {
		if n.incarnation == life && n.up {
			if n.frozen {
				n.postponed = append(n.postponed, func() { n.actAsHolder(life) })
			} else {
				n.actAsHolder(life)
			}
		}
	})
}

// receiveEffect takes an effect, if its token is good; else it has the old owner know what is newer.
func (n *node) receiveEffect(from *node, by *identity, role string, token, number uint64) {
	s := n.sim
	ok, _ := n.fence.Admit(role, token)
	if ok {
		s.counts.Effects++
		s.effectApplied(n, by, role, token, number)
		return
	}
	s.counts.Rejected++
	table := n.lease.Table()
	if from.up && from != n && table.Epoch != 0 {
		s.send(n, from, encode(&lease.Message{Table: &table}))
	}
}
