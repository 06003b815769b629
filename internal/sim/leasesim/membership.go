package leasesim

import (
	"slices"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
)

// memberView is what a node knows of another's identity.
type memberView struct {
	identity   *identity
	state      swim.State
	stateSince float64
	lastHeard  float64
}

// The model of package swim, in seconds of a node's clock.
const (
	viewIntervalSeconds = 0.25
	suspectAfterSeconds = 1.4 // without hearing of a member
	deadAfterSeconds    = 2.4
	forgetAfterSeconds  = 600 // after which dead members are left out
	stallSeconds        = 0.9 // between two updates: the process stood still
)

// watchMembers updates a node's view again and again, so that it follows the others with the delay of real failure detection.
func (n *node) watchMembers(incarnation int) {
	n.call(incarnation, func() { n.updateView() })
	n.sim.After(viewIntervalSeconds/n.clockRate, func() {
		if n.incarnation == incarnation && n.up {
			if n.frozen {
				n.postponed = append(n.postponed, func() { n.watchMembers(incarnation) })
			} else {
				n.watchMembers(incarnation)
			}
		}
	})
}

// updateView updates what a node knows of the others, and passes a change on to its lease.Node.
func (n *node) updateView() {
	s, now := n.sim, n.localTime()
	stalled := n.view != nil && now-n.viewAt > stallSeconds
	n.viewAt = now
	reach := s.reachable(n)
	changed := n.view == nil
	for _, known := range s.identities {
		i := slices.IndexFunc(n.view, func(seen *memberView) bool { return seen.identity == known })
		heard := known.node == n && known == n.identity || reach[known.node.number] && known.node.identity == known
		if i < 0 {
			if !heard {
				continue
			}
			n.view = append(n.view, &memberView{identity: known, state: swim.Alive, stateSince: now, lastHeard: now})
			changed = true
			continue
		}
		seen := n.view[i]
		was := seen.state
		if stalled {
			seen.lastHeard = max(seen.lastHeard, now-suspectAfterSeconds/2)
		}
		switch {
		case heard && !(known != n.identity && s.chance(s.misreportProbability)):
			seen.lastHeard = now
			if seen.state = swim.Alive; known.hasLeft {
				seen.state = swim.Left
			}
		case known.hasLeft && reach[known.node.number]:
			seen.state = swim.Left
		case seen.state == swim.Alive && now-seen.lastHeard > suspectAfterSeconds:
			seen.state = swim.Suspect
		case seen.state == swim.Suspect && now-seen.lastHeard > deadAfterSeconds:
			seen.state = swim.Dead
		}
		if seen.state != was {
			changed = true
			if !(was <= swim.Suspect && seen.state <= swim.Suspect) {
				seen.stateSince = now
			}
		}
	}
	if !changed {
		return
	}
	slices.SortFunc(n.view, func(a, b *memberView) int {
		if a.identity.id < b.identity.id {
			return -1
		}
		return 1
	})
	var list []lease.Member
	for _, seen := range n.view {
		if seen.state.IsDeadOrLeft() && now-seen.stateSince > forgetAfterSeconds {
			continue
		}
		list = append(list, lease.Member{ID: seen.identity.id, Address: seen.identity.node.address, State: seen.state, Durable: seen.identity.node.durable, StateAgeSeconds: now - seen.stateSince})
	}
	n.lease.SetMembers(now, list)
}
