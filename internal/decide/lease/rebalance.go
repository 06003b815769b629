package lease

import (
	"math"

	"hazelwheel/internal/decide/swim"
)

// rebalance has the most loaded give up a job where somebody has two fewer.
func (n *Node) rebalance() {
	if n.now-n.changedAt < rebalanceQuietSeconds {
		return
	}
	most, least := -1, math.MaxInt
	var from swim.ID
	for _, m := range n.members {
		if m.State != swim.Alive {
			continue
		}
		count := n.roleCount(m.ID, nil)
		if count > most {
			most, from = count, m.ID
		}
		least = min(least, count)
	}
	if most-least < 2 {
		return
	}
	for _, p := range n.roles {
		g, _ := n.group.machine.grant(p.role)
		if g.Holder != from || p.hasPendingCommand || p.releasedToken == g.Token || n.now-p.moveRequestedAt < rebalanceQuietSeconds {
			continue
		}
		ranked := n.rankCandidates(p, nil)
		if len(ranked) == 0 || n.roleCount(ranked[0], nil) > most-2 {
			continue
		}
		if n.bidBootID(ranked[0], p.role) == 0 { // Danger: a job that is given up for one that does not want it only rests
			n.offerRole(p, ranked)
			return
		}
		p.moveRequestedAt, n.changedAt = n.now, n.now
		n.sendStepDown(g)
		return
	}
}

// startStepDown asks the owner of a job to give it up.
func (n *Node) startStepDown(job string) {
	if g, known := n.group.machine.grant(job); known && g.Holder != 0 {
		n.exclude(job, g.Holder, declineExclusionSeconds)
		n.sendStepDown(g)
	}
}

func (n *Node) sendStepDown(g Grant) {
	if g.Holder == n.self {
		n.handleStepDown(g.Role)
	} else {
		n.actions.Send(g.Holder, &Message{StepDown: g.Role})
	}
}

// roleCount counts a member's jobs, with those of a list that is to be proposed.
func (n *Node) roleCount(id swim.ID, list []command) (count int) {
	for _, g := range n.group.machine.Grants {
		if g.Holder == id {
			count++
		}
	}
	for _, c := range list {
		if c.Holder == id {
			count++
		}
	}
	return count
}
