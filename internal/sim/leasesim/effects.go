package leasesim

import (
	"hazelwheel/internal/decide/lease"
)

// actAsHolder lets a node act for the roles that it holds, again and again: it checks its lease and then sends an effect to all
// nodes. Between the two the process may stand still.
func (n *node) actAsHolder(incarnation int) {
	s := n.sim
	n.call(incarnation, func() {
		for _, role := range s.roles {
			token, ok := n.lease.Holds(n.localTime(), role)
			if !ok {
				continue
			}
			s.effectSent(n, role, token)
			n.lastEffect++
			number, by := n.lastEffect, n.identity
			send := func() {
				for _, o := range s.nodes {
					if !o.up {
						continue
					}
					receiverIncarnation := o.incarnation
					s.deliver(n, o, func() { o.call(receiverIncarnation, func() { o.receiveEffect(n, by, role, token, number) }) })
				}
			}
			if s.chance(s.stallProbability) {
				s.counts.Stalls++
				n.freeze(s.uniform(0.3, 6))
				n.postponed = append(n.postponed, func() { n.call(incarnation, send) })
				return
			}
			send()
		}
	})
	s.After(s.uniform(0.05, 0.25), func() {
		if n.incarnation == incarnation && n.up {
			if n.frozen {
				n.postponed = append(n.postponed, func() { n.actAsHolder(incarnation) })
			} else {
				n.actAsHolder(incarnation)
			}
		}
	})
}

// receiveEffect applies an effect if its token is admitted. Otherwise it sends the newest table to the sender.
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
