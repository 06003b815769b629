package lease

import (
	"cmp"
	"math"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Times of a leader, in seconds.
const (
	bidValidSeconds         = 3.0  // an answer to an offer holds
	bestBidWaitSeconds      = 0.1  // for the best of those asked, before another that has answered is taken
	offerTimeoutSeconds     = 0.3  // for an answer, before others are asked
	renewalOverdueSeconds   = 0.75 // without a renewal: who could take over is asked before the lease is over
	declineExclusionSeconds = 30.0 // who declined or was moved off is passed over
	silentExclusionSeconds  = 2.0  // who did not answer is
	rebalanceQuietSeconds   = 2.0  // nothing has changed, before a role is moved to have them spread evenly
	vacateSeconds           = 0.3  // a role that was given back and has no taker is nobody's
	transferRetrySeconds    = 0.3  // for a successor to lead, before another is asked
	maxOffers               = 3    // members asked at a time
)

// leaderState is what the one that leads remembers, of this term alone.
type leaderState struct {
	leadingSince       float64      // since when; the leases that an earlier leader confirmed are over a lease later
	roles              []*roleState // by role
	bids               []bid        // by member
	waitingRenewals    []waitingRenewal
	lastQuorumRead     uint64 // quorum rounds begun
	quorumReadInFlight bool   // a round is under way
	exclusions         []exclusion
	changedAt          float64 // the last grant, or coming or going of a member
	liveMembers        int     // members, when last looked
	dueAt              float64
	transferDueAt      float64 // leadership is offered to the next
	transferAttempts   int     // to how many it was

	votersDueAt  float64 // the electors are looked at next
	learnerSince float64 // the learner was first looked at
}

// roleState is a role as its leader sees it.
type roleState struct {
	role              string
	renewedAt         float64 // the last renewal
	releasedToken     uint64  // the token that was given back
	releasedAt        float64
	writingVersion    uint64 // the version of its record that is in the log and has not been applied; 0: none is
	hasPendingCommand bool   // a command about it is in the log and has not been applied
	offeredAt         float64
	offered           []swim.ID // who was asked last
	moveRequestedAt   float64   // the owner was asked to give it up
}

// leadershipChanged takes that this member has come to lead, or no longer does.
func (n *Node) leadershipChanged(leads bool) {
	n.leaderState = leaderState{leadingSince: n.now, changedAt: n.now, dueAt: n.now}
	if leads {
		n.stats.ElectionsWon++
		for _, g := range n.group.machine.Grants {
			n.roleFor(g.Role)
		}
	} else {
		n.resetElectionTimer()
	}
}

// isLeaderReady tells whether this member leads and knows all that was agreed.
func (n *Node) isLeaderReady() bool {
	g := n.group
	return g != nil && g.isLeader && !n.retired && g.appliedTerm == g.term && !n.persistFailed
}

func (n *Node) roleFor(role string) *roleState {
	i, known := slices.BinarySearchFunc(n.roles, role, func(state *roleState, role string) int { return cmp.Compare(state.role, role) })
	if !known {
		if len(n.roles) >= maxRoles || role == "" || len(role) > 64 {
			return nil
		}
		n.roles = slices.Insert(n.roles, i, &roleState{role: role, renewedAt: n.leadingSince})
	}
	return n.roles[i]
}

// commandApplied takes that a command is agreed, or turned out to be too late.
func (n *Node) commandApplied(c command) {
	if c.Record != nil {
		n.recordApplied(c.Record)
		return
	}
	if n.group.isLeader {
		if state := n.roleFor(c.Role); state != nil {
			state.hasPendingCommand, state.renewedAt, state.releasedToken, state.releasedAt = false, n.now, 0, n.now
			if c.Holder == 0 {
				state.releasedToken = c.ExpectedToken
			}
			n.changedAt, n.dueAt = n.now, n.now
		}
	}
}

// handleAsLeader takes what only a leader can answer.
func (n *Node) handleAsLeader(from swim.ID, m *Message) {
	if m.RenewRequest == nil && m.Released == nil && m.Declined == nil && m.Bids == nil && m.StepDown == "" && m.WriteRecord == nil {
		return
	}
	if !n.isLeaderReady() {
		if n.group != nil && from != n.self && n.table.Leader != 0 {
			n.actions.Send(from, n.tableMessage()) // who leads, as far as this elector knows
		}
		return
	}
	n.dueAt = n.now
	for _, g := range m.Released {
		state := n.roleFor(g.Role)
		if current, known := n.group.machine.grant(g.Role); state != nil && known && current.Token == g.Token && current.Holder == from && state.releasedToken != g.Token {
			state.releasedToken, state.releasedAt = g.Token, n.now
			n.withdrawBid(from, g.Role)
		}
	}
	for _, role := range m.Declined {
		n.exclude(role, from, declineExclusionSeconds)
	}
	if len(m.Bids) > 0 && m.BootID != 0 {
		n.recordBid(from, m)
	}
	if m.StepDown != "" {
		n.startStepDown(m.StepDown)
	}
	if m.WriteRecord != nil {
		n.proposeRecord(from, m.WriteRecord)
	}
	if m.RenewRequest != nil {
		n.lastQuorumRead++
		n.waitingRenewals = append(n.waitingRenewals, waitingRenewal{from, n.lastQuorumRead, m.RenewRequest})
		n.startQuorumRead()
	}
}

// tickLeader grants what is free.
func (n *Node) tickLeader() {
	n.tickLeaving()
	if !n.isLeaderReady() {
		return
	}
	for _, role := range n.settings.Roles {
		n.roleFor(role)
	}
	n.dueAt = n.now + raftTickSeconds
	if alive := n.countAlive(); alive != n.liveMembers {
		n.liveMembers, n.changedAt = alive, n.now
	}
	var list []command
	for _, state := range n.roles {
		if state.hasPendingCommand {
			continue
		}
		g, _ := n.group.machine.grant(state.role)
		nobodys := g.Holder == 0 || state.releasedToken == g.Token
		over := n.now >= max(state.renewedAt, n.leadingSince)+leaseSeconds
		switch {
		case nobodys || over:
			id, life := n.chooseHolder(state, list)
			switch {
			case id != 0:
				list = append(list, command{Role: state.role, Holder: id, BootID: life, ExpectedToken: g.Token})
			case g.Holder != 0 && (nobodys && n.now-state.releasedAt > vacateSeconds || n.now-max(state.renewedAt, n.leadingSince) > leaseSeconds+vacateSeconds):
				list = append(list, command{Role: state.role, ExpectedToken: g.Token})
			}
		case n.now-max(state.renewedAt, n.leadingSince) > renewalOverdueSeconds:
			n.solicitBids(state) // so that there is somebody when the lease is over
		}
	}
	for _, c := range list {
		n.roleFor(c.Role).hasPendingCommand = true
	}
	if len(list) > 0 && !n.propose(list...) {
		for _, c := range list {
			n.roleFor(c.Role).hasPendingCommand = false
		}
	}
	if n.group == nil {
		return
	}
	n.rebalance()
	n.reconfigureVoters()
}

// countAlive counts who can be granted anything, as far as is known.
func (n *Node) countAlive() (count int) {
	for _, m := range n.members {
		if m.State == swim.Alive {
			count++
		}
	}
	return count
}

func (n *Node) leaderNextTick() float64 {
	if n.group != nil && n.group.isLeader || n.leaving && !n.leadershipTransferred {
		return n.dueAt
	}
	return math.Inf(1)
}

// leaderLinks are the links that a leader needs beside those to electors.
func (n *Node) leaderLinks() (ids []swim.ID) {
	if !n.isLeaderReady() {
		return nil
	}
	for _, g := range n.group.machine.Grants {
		ids = append(ids, g.Holder)
	}
	for _, state := range n.roles {
		if n.now-state.offeredAt < bidValidSeconds {
			ids = append(ids, state.offered...)
		}
	}
	return ids
}
