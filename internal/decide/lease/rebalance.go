package lease

import (
	"math"

	"hazelwheel/internal/decide/swim"
)

// rebalanceQuietSeconds is how long grants and the number of live members must be unchanged before a role is moved.
const rebalanceQuietSeconds = 2.0

// rebalance moves a role from the member with the most roles to one that has at least two fewer.
func (n *Node) rebalance() {
	if n.now-n.changedAt < rebalanceQuietSeconds {
		return
	}
	highest, lowest := -1, math.MaxInt
	var busiest swim.ID
	for _, m := range n.members {
		if m.State != swim.Alive {
			continue
		}
		count := n.roleCount(m.ID, nil)
		if count > highest {
			highest, busiest = count, m.ID
		}
		lowest = min(lowest, count)
	}
	if highest-lowest < 2 {
		return
	}
	for _, state := range n.roles {
		g, _ := n.group.machine.grant(state.role)
		if g.Holder != busiest || state.hasPendingCommand || state.releasedToken == g.Token || n.now-state.moveRequestedAt < rebalanceQuietSeconds {
			continue
		}
		ranked := n.rankCandidates(state, nil)
		if len(ranked) == 0 || n.roleCount(ranked[0], nil) > highest-2 {
			continue
		}
		if n.bidBootID(ranked[0], state.role) == 0 { // without a bidder the role would only become vacant
			n.offerRole(state, ranked)
			return
		}
		state.moveRequestedAt, n.changedAt = n.now, n.now
		n.sendStepDown(g)
		return
	}
}

// startStepDown asks the holder of a role to release it, and excludes the holder from it for declineExclusionSeconds.
func (n *Node) startStepDown(role string) {
	if g, known := n.group.machine.grant(role); known && g.Holder != 0 {
		n.exclude(role, g.Holder, declineExclusionSeconds)
		n.sendStepDown(g)
	}
}

// sendStepDown asks a grant's holder to release it.
func (n *Node) sendStepDown(g Grant) {
	if g.Holder == n.self {
		n.handleStepDown(g.Role)
	} else {
		n.actions.Send(g.Holder, &Message{StepDown: g.Role})
	}
}

// roleCount returns how many roles a member holds, counting commands that are about to be proposed.
func (n *Node) roleCount(id swim.ID, commands []command) (count int) {
	for _, g := range n.group.machine.Grants {
		if g.Holder == id {
			count++
		}
	}
	for _, c := range commands {
		if c.Holder == id {
			count++
		}
	}
	return count
}
