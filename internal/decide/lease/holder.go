package lease

import (
	"math"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Times of leases, in seconds. Danger: clocks may run 5 % apart either way. An owner counts from when it sent the renewal, to
// holderLeaseFraction of the lease by its own clock; the leader waits for the whole of it by its own, from when it confirmed:
// ownPart / 0.95 < 1 / 1.05.
const (
	leaseSeconds         = 1.5
	holderLeaseFraction  = 0.85
	renewIntervalSeconds = 0.35
	bidIntervalSeconds   = 1.0 // without an owner, a role is wished for
	maxPendingRenewals   = 8   // renewals that wait for an answer
)

// heldLease is a grant to this member that has not ended.
type heldLease struct {
	Grant
	expiresAt float64 // the lease is over; -Inf: it has not begun
	started   bool    // Granted was said

	recordVersion uint64 // of the record that is known
	record        Record
}

// holderState is a member's side of its grants.
type holderState struct {
	leases                []*heldLease // by role
	ended                 []Grant      // grants that this life has ended or never takes, until the table says that they are another's
	pendingRenewals       []sentRenewal
	renewalNumber         uint64
	renewDueAt            float64
	renewedAt             float64 // the last renewal that was confirmed
	bidDueAt              float64
	declinedRoles         []string // by name
	leaving               bool
	leadershipTransferred bool // leadership too
	leavingSince          float64
}

// Holds tells whether this member may act for a role now, and under which token.
func (n *Node) Holds(now float64, role string) (token uint64, ok bool) {
	if held := n.leaseFor(role); held != nil && held.started && now < held.expiresAt && !n.retired {
		return held.Token, true
	}
	return 0, false
}

func (n *Node) leaseFor(role string) *heldLease {
	for _, held := range n.leases {
		if held.Role == role {
			return held
		}
	}
	return nil
}

// applyTable takes what the table says of this member.
func (n *Node) applyTable() {
	n.ended = slices.DeleteFunc(n.ended, func(d Grant) bool { return !n.isOurs(d) })
	for _, held := range slices.Clone(n.leases) {
		if g, known := n.grantFor(held.Role); known && (g.Token > held.Token || g.Token == held.Token && g.Holder != n.self) {
			n.endLease(held, "it was granted to another")
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

func (n *Node) grantFor(role string) (Grant, bool) {
	i, known := grantIndex(n.table.Grants, role)
	if !known {
		return Grant{}, false
	}
	return n.table.Grants[i], true
}

// isOurs tells whether the table still says that a grant is this member's.
func (n *Node) isOurs(g Grant) bool {
	current, known := n.grantFor(g.Role)
	return known && current.Token == g.Token && current.Holder == n.self
}

func (n *Node) hasEnded(g Grant) bool {
	return slices.ContainsFunc(n.ended, func(d Grant) bool { return d.Role == g.Role && d.Token >= g.Token })
}

// canHold tells whether this member does a role.
func (n *Node) canHold(role string) bool {
	return !n.leaving && slices.Contains(n.settings.Roles, role) && !slices.Contains(n.declinedRoles, role)
}

// endLease ends what is held. Nothing is done under it any more, so it can be given back.
func (n *Node) endLease(held *heldLease, reason string) {
	n.leases = slices.DeleteFunc(n.leases, func(o *heldLease) bool { return o == held })
	if held.started {
		n.actions.LeaseEnded(held.Role, held.Token, reason)
	}
	n.release(held.Grant)
}

func (n *Node) endAllLeases(reason string) {
	for len(n.leases) > 0 {
		n.endLease(n.leases[0], reason)
	}
}

// release has the leader know that nothing is done under a grant, until the table says so.
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

// expireLeases ends leases. Danger: this process may have stood still since its last call; it comes before all else.
func (n *Node) expireLeases() {
	for _, held := range slices.Clone(n.leases) {
		if held.started && n.now >= held.expiresAt {
			n.stats.Lapsed++
			n.endLease(held, ReasonNotRenewed)
		}
	}
}

// tickHolder has leases renewed.
func (n *Node) tickHolder() {
	if n.now >= n.renewDueAt {
		n.sendRenewal()
	}
	if n.now >= n.bidDueAt {
		n.bidDueAt = n.now + compareIntervalSeconds
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

// SetWilling tells whether this member wants a role.
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
			n.endLease(held, "this member does not want it")
		}
	}
	n.finishCall()
}

func (n *Node) sendDeclined(roles []string) {
	if n.table.Leader != 0 && len(roles) > 0 {
		n.send(n.table.Leader, &Message{Declined: roles})
	}
}

// handleOffer answers who would do roles.
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

// RequestStepDown has a role go to somebody else, as an operator wants.
func (n *Node) RequestStepDown(now float64, role string) {
	n.advanceTo(now)
	if !n.retired && n.table.Leader != 0 {
		n.send(n.table.Leader, &Message{StepDown: role})
	}
	n.finishCall()
}

// handleStepDown takes that a role is to go to somebody else: who owns it gives it back.
func (n *Node) handleStepDown(role string) {
	if held := n.leaseFor(role); held != nil {
		n.sendDeclined([]string{role})
		n.endLease(held, "it is to go to another member")
	}
}

func (n *Node) holderNextTick() float64 {
	next := min(n.renewDueAt, n.bidDueAt)
	for _, held := range n.leases {
		if held.started {
			next = min(next, held.expiresAt)
		}
	}
	return next
}

// holderLinks are the links that who owns anything needs.
func (n *Node) holderLinks() []swim.ID {
	if len(n.leases) == 0 && len(n.ended) == 0 {
		return nil
	}
	return append(slices.Clone(n.table.Voters), n.table.Leader)
}

// ReasonNotRenewed is why a role has ended whose lease was not confirmed in time: nobody need have been granted it since.
const ReasonNotRenewed = "the lease was not renewed in time"
