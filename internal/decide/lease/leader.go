package lease

import (
	"cmp"
	"math"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Times after which a leader acts on a lease, in seconds.
const (
	renewalOverdueSeconds = 0.75 // after the last renewal, bids are solicited ahead of the lease's expiry
	vacateSeconds         = 0.3  // how long a released role may lack a bidder before it is recorded as vacant
)

// leaderState is the part of a Node that acts as the voters' leader. It is reset with each change of leadership.
type leaderState struct {
	leadingSince       float64      // leases that an earlier leader confirmed expire within leaseSeconds of this time
	roles              []*roleState // sorted by role
	bids               []bid        // sorted by member
	waitingRenewals    []waitingRenewal
	lastQuorumRead     uint64 // number of the last quorum read
	quorumReadInFlight bool
	exclusions         []exclusion
	changedAt          float64 // when the last grant was applied, or the number of live members last changed
	liveMembers        int     // at the last tick
	dueAt              float64 // when tickLeader is due
	transferDueAt      float64 // of the next attempt to transfer leadership
	transferAttempts   int     // so far

	votersDueAt  float64 // of the next check of the voters
	learnerSince float64 // when the present learner was first checked
}

// roleState is what the leader keeps of a role.
type roleState struct {
	role              string
	renewedAt         float64 // of the last confirmed renewal or applied command
	releasedToken     uint64  // of the grant that its holder has released; 0: none
	releasedAt        float64
	writingVersion    uint64 // of the record that is in the log and not applied yet; 0: none
	hasPendingCommand bool   // a command for the grant is in the log and not applied yet
	offeredAt         float64
	offered           []swim.ID // to whom the role was offered last
	moveRequestedAt   float64   // when rebalancing last asked the holder to step down
}

// leadershipChanged resets the leader's state when this member has become leader or has stopped leading.
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

// isLeaderReady reports whether this member leads and has applied an entry of its own term, and so all that was committed before.
func (n *Node) isLeaderReady() bool {
	g := n.group
	return g != nil && g.isLeader && !n.retired && g.appliedTerm == g.term && !n.persistFailed
}

// roleFor returns the state of a role, created if it is new; nil if the name is invalid or there are too many.
func (n *Node) roleFor(role string) *roleState {
	i, known := slices.BinarySearchFunc(n.roles, role, func(state *roleState, role string) int { return cmp.Compare(state.role, role) })
	if !known {
		if len(n.roles) >= maxRoles || role == "" || len(role) > maxRoleNameBytes {
			return nil
		}
		n.roles = slices.Insert(n.roles, i, &roleState{role: role, renewedAt: n.leadingSince})
	}
	return n.roles[i]
}

// commandApplied updates a role's state after a command was applied, or was found to be outdated.
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

// handleAsLeader handles the parts of a message that are meant for the leader. Other voters reply with their table, which names the
// leader.
func (n *Node) handleAsLeader(from swim.ID, m *Message) {
	if m.RenewRequest == nil && m.Released == nil && m.Declined == nil && m.Bids == nil && m.StepDown == "" && m.WriteRecord == nil {
		return
	}
	if !n.isLeaderReady() {
		if n.group != nil && from != n.self && n.table.Leader != 0 {
			n.actions.Send(from, n.tableMessage()) // names the leader, as far as this voter knows
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

// tickLeader grants vacant roles and those whose lease has expired, and checks balance and voters.
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
	n.proposeGrants()
	if n.group == nil {
		return
	}
	n.rebalance()
	n.reconfigureVoters()
}

// proposeGrants proposes a grant for each vacant role that has a bidder and for each whose lease has expired, and vacates those that
// have had no bidder for a while.
func (n *Node) proposeGrants() {
	var commands []command
	for _, state := range n.roles {
		if state.hasPendingCommand {
			continue
		}
		g, _ := n.group.machine.grant(state.role)
		isVacant := g.Holder == 0 || state.releasedToken == g.Token
		renewedAt := max(state.renewedAt, n.leadingSince)
		isExpired := n.now >= renewedAt+leaseSeconds
		switch {
		case isVacant || isExpired:
			holder, bootID := n.chooseHolder(state, commands)
			switch {
			case holder != 0:
				commands = append(commands, command{Role: state.role, Holder: holder, BootID: bootID, ExpectedToken: g.Token})
			case g.Holder != 0 && (isVacant && n.now-state.releasedAt > vacateSeconds || n.now-renewedAt > leaseSeconds+vacateSeconds):
				commands = append(commands, command{Role: state.role, ExpectedToken: g.Token})
			}
		case n.now-renewedAt > renewalOverdueSeconds:
			n.solicitBids(state) // so that a bidder is known when the lease expires
		}
	}
	for _, c := range commands {
		n.roleFor(c.Role).hasPendingCommand = true
	}
	if len(commands) > 0 && !n.propose(commands...) {
		for _, c := range commands {
			n.roleFor(c.Role).hasPendingCommand = false
		}
	}
}

// countAlive returns how many members are alive.
func (n *Node) countAlive() (count int) {
	for _, m := range n.members {
		if m.State == swim.Alive {
			count++
		}
	}
	return count
}

// leaderNextTick returns when tickLeader is due.
func (n *Node) leaderNextTick() float64 {
	if n.group != nil && n.group.isLeader || n.leaving && !n.leadershipTransferred {
		return n.dueAt
	}
	return math.Inf(1)
}

// leaderLinks returns the members that a leader needs links to, beside the voters.
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
