package lease

import (
	"math"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Times of leases, in seconds. The holder's lease must end before the leader's, although either clock may run up to 5 % fast or
// slow. The holder counts holderLeaseFraction of leaseSeconds from when it sent the renewal, the leader all of leaseSeconds from
// when it confirmed it, each by its own clock. That is safe as long as holderLeaseFraction / 0.95 < 1 / 1.05.
const (
	leaseSeconds         = 1.5
	holderLeaseFraction  = 0.85
	renewIntervalSeconds = 0.35
	bidIntervalSeconds   = 1.0 // minimum time between two bids for roles that have no grant
	maxPendingRenewals   = 8   // how many of the last renewals are remembered, to match replies
)

// heldLease is a grant to this member that has not ended.
type heldLease struct {
	Grant
	expiresAt float64 // by this member's clock; -Inf until the first renewal is confirmed
	started   bool    // LeaseStarted was called

	recordVersion uint64 // of record
	record        Record
}

// holderState is the part of a Node that holds leases.
type holderState struct {
	leases                []*heldLease // by role
	ended                 []Grant      // grants that this process has ended or never accepted, until the table shows a successor
	pendingRenewals       []sentRenewal
	renewalNumber         uint64
	renewDueAt            float64
	renewedAt             float64 // when a renewal was last confirmed
	bidDueAt              float64
	declinedRoles         []string // sorted
	leaving               bool
	leadershipTransferred bool // or the transfer was given up
	leavingSince          float64
}

// Holds reports whether this member may act for a role at a time, and under which fencing token. The caller checks it right before
// each effect.
func (n *Node) Holds(now float64, role string) (token uint64, ok bool) {
	if held := n.leaseFor(role); held != nil && held.started && now < held.expiresAt && !n.retired {
		return held.Token, true
	}
	return 0, false
}

// leaseFor returns this member's lease for a role, nil if there is none.
func (n *Node) leaseFor(role string) *heldLease {
	for _, held := range n.leases {
		if held.Role == role {
			return held
		}
	}
	return nil
}

// applyTable ends leases that the table assigns to others, and accepts or releases grants that it assigns to this member.
func (n *Node) applyTable() {
	n.ended = slices.DeleteFunc(n.ended, func(ended Grant) bool { return !n.isOurs(ended) })
	for _, held := range slices.Clone(n.leases) {
		if g, known := n.grantFor(held.Role); known && (g.Token > held.Token || g.Token == held.Token && g.Holder != n.self) {
			n.endLease(held, ReasonGrantedElsewhere)
		}
	}
	for _, g := range n.table.Grants {
		if g.Holder != n.self || n.leaseFor(g.Role) != nil || n.hasEnded(g) {
			continue
		}
		if g.BootID != n.bootID || !n.canHold(g.Role) {
			if !n.canHold(g.Role) {
				n.sendDeclined([]string{g.Role})
			}
			n.release(g)
			continue
		}
		if len(n.leases) == 0 {
			n.renewedAt = n.now
		}
		n.leases = append(n.leases, &heldLease{Grant: g, expiresAt: math.Inf(-1)})
		n.renewDueAt = n.now
	}
}

// grantFor returns the table's grant of a role.
func (n *Node) grantFor(role string) (Grant, bool) {
	i, known := grantIndex(n.table.Grants, role)
	if !known {
		return Grant{}, false
	}
	return n.table.Grants[i], true
}

// isOurs reports whether the table still assigns a grant to this member.
func (n *Node) isOurs(g Grant) bool {
	current, known := n.grantFor(g.Role)
	return known && current.Token == g.Token && current.Holder == n.self
}

// hasEnded reports whether this process has ended a grant.
func (n *Node) hasEnded(g Grant) bool {
	return slices.ContainsFunc(n.ended, func(ended Grant) bool { return ended.Role == g.Role && ended.Token >= g.Token })
}

// canHold reports whether this member accepts a role now.
func (n *Node) canHold(role string) bool {
	return !n.leaving && slices.Contains(n.settings.Roles, role) && !slices.Contains(n.declinedRoles, role)
}

// endLease ends a lease and releases its grant. The order matters: LeaseEnded stops the work before the leader hears of it.
func (n *Node) endLease(held *heldLease, reason EndReason) {
	n.leases = slices.DeleteFunc(n.leases, func(o *heldLease) bool { return o == held })
	if held.started {
		n.actions.LeaseEnded(held.Role, held.Token, reason)
	}
	n.release(held.Grant)
}

// endAllLeases ends every lease of this member.
func (n *Node) endAllLeases(reason EndReason) {
	for len(n.leases) > 0 {
		n.endLease(n.leases[0], reason)
	}
}

// release tells the leader that this member no longer acts under a grant. The report is repeated with the renewals until the table
// shows that the grant is replaced.
func (n *Node) release(g Grant) {
	if n.retired {
		return
	}
	n.ended = append(n.ended, g)
	if n.isOurs(g) && n.table.Leader != 0 {
		n.send(n.table.Leader, &Message{Released: []Grant{g}})
	}
	n.renewDueAt = min(n.renewDueAt, n.now+renewIntervalSeconds)
}

// expireLeases ends leases that have expired. Each call into the Node does this first, since the process may have been paused since
// the last call.
func (n *Node) expireLeases() {
	for _, held := range slices.Clone(n.leases) {
		if held.started && n.now >= held.expiresAt {
			n.stats.Lapsed++
			n.endLease(held, ReasonNotRenewed)
		}
	}
}

// tickHolder sends renewals and bids that are due.
func (n *Node) tickHolder() {
	if n.now >= n.renewDueAt {
		n.sendRenewal()
	}
	if n.now >= n.bidDueAt {
		n.bidDueAt = n.now + tableQueryIntervalSeconds
		var bids []string
		for _, role := range n.settings.Roles {
			if _, known := n.grantFor(role); !known && n.canHold(role) {
				bids = append(bids, role)
			}
		}
		if bids != nil {
			n.bidDueAt = n.now + bidIntervalSeconds*(1+4*n.rng.Float64())
		}
		if bids != nil && n.table.Leader != 0 {
			n.send(n.table.Leader, &Message{Bids: bids, BootID: n.bootID})
		}
	}
}

// SetWilling sets whether this member accepts a role. If it no longer does, a lease that it has for the role ends at once.
func (n *Node) SetWilling(now float64, role string, willing bool) {
	n.advanceTo(now)
	i, isDeclined := slices.BinarySearch(n.declinedRoles, role)
	switch {
	case willing && isDeclined:
		n.declinedRoles = slices.Delete(n.declinedRoles, i, i+1)
	case !willing && !isDeclined:
		n.declinedRoles = slices.Insert(n.declinedRoles, i, role)
		if held := n.leaseFor(role); held != nil {
			n.sendDeclined([]string{role})
			n.endLease(held, ReasonDeclined)
		}
	}
	n.finishCall()
}

// sendDeclined tells the leader which roles this member does not accept.
func (n *Node) sendDeclined(roles []string) {
	if n.table.Leader != 0 && len(roles) > 0 {
		n.send(n.table.Leader, &Message{Declined: roles})
	}
}

// handleOffer replies which of the offered roles this member accepts.
func (n *Node) handleOffer(from swim.ID, roles []string) {
	var bids, declined []string
	for _, role := range roles {
		if n.canHold(role) {
			bids = append(bids, role)
		} else {
			declined = append(declined, role)
		}
	}
	n.send(from, &Message{Bids: bids, Declined: declined, BootID: n.bootID})
}

// RequestStepDown asks the leader, on behalf of an operator, to move a role to another member. The request may be lost without a
// report.
func (n *Node) RequestStepDown(now float64, role string) {
	n.advanceTo(now)
	if !n.retired && n.table.Leader != 0 {
		n.send(n.table.Leader, &Message{StepDown: role})
	}
	n.finishCall()
}

// handleStepDown ends this member's lease for a role that is to move to another member.
func (n *Node) handleStepDown(role string) {
	if held := n.leaseFor(role); held != nil {
		n.sendDeclined([]string{role})
		n.endLease(held, ReasonStepDown)
	}
}

// holderNextTick returns when tickHolder or a lease's expiry is due.
func (n *Node) holderNextTick() float64 {
	next := min(n.renewDueAt, n.bidDueAt)
	for _, held := range n.leases {
		if held.started {
			next = min(next, held.expiresAt)
		}
	}
	return next
}

// holderLinks returns the members that a lease holder needs links to.
func (n *Node) holderLinks() []swim.ID {
	if len(n.leases) == 0 && len(n.ended) == 0 {
		return nil
	}
	return append(slices.Clone(n.table.Voters), n.table.Leader)
}

// EndReason is why a lease has ended.
type EndReason string

// The reasons of Actions.LeaseEnded.
const (
	// ReasonNotRenewed: the leader has not confirmed the lease in time. The role may or may not have been granted to another member.
	ReasonNotRenewed       EndReason = "lease not renewed in time"
	ReasonGrantedElsewhere EndReason = "role granted to another member"
	ReasonDeclined         EndReason = "role declined by this member"
	ReasonStepDown         EndReason = "step-down requested"
	ReasonLeaving          EndReason = "member leaving"
	ReasonIdentityReplaced EndReason = "identity replaced"
)
