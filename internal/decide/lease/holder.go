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
	bidIntervalSeconds   = 1.0 // without an owner, a job is wished for
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
	leases                []*heldLease // by job
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

// Holds tells whether this member may act for a job now, and under which token.
func (n *Node) Holds(now float64, job string) (token uint64, ok bool) {
	if h := n.leaseFor(job); h != nil && h.started && now < h.expiresAt && !n.retired {
		return h.Token, true
	}
	return 0, false
}

func (n *Node) leaseFor(job string) *heldLease {
	for _, h := range n.leases {
		if h.Role == job {
			return h
		}
	}
	return nil
}

// applyTable takes what the table says of this member.
func (n *Node) applyTable() {
	n.ended = slices.DeleteFunc(n.ended, func(d Grant) bool { return !n.isOurs(d) })
	for _, h := range slices.Clone(n.leases) {
		if g, known := n.grantFor(h.Role); known && (g.Token > h.Token || g.Token == h.Token && g.Holder != n.self) {
			n.endLease(h, "it was granted to another")
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

func (n *Node) grantFor(job string) (Grant, bool) {
	i, known := grantIndex(n.table.Grants, job)
	if !known {
		return Grant{}, false
	}
	return n.table.Grants[i], true
}

// isOurs tells whether the table still says that a grant is this member's.
func (n *Node) isOurs(g Grant) bool {
	now, known := n.grantFor(g.Role)
	return known && now.Token == g.Token && now.Holder == n.self
}

func (n *Node) hasEnded(g Grant) bool {
	return slices.ContainsFunc(n.ended, func(d Grant) bool { return d.Role == g.Role && d.Token >= g.Token })
}

// canHold tells whether this member does a job.
func (n *Node) canHold(job string) bool {
	return !n.leaving && slices.Contains(n.settings.Roles, job) && !slices.Contains(n.declinedRoles, job)
}

// endLease ends what is held. Nothing is done under it any more, so it can be given back.
func (n *Node) endLease(h *heldLease, why string) {
	n.leases = slices.DeleteFunc(n.leases, func(o *heldLease) bool { return o == h })
	if h.started {
		n.actions.LeaseEnded(h.Role, h.Token, why)
	}
	n.release(h.Grant)
}

func (n *Node) endAllLeases(why string) {
	for len(n.leases) > 0 {
		n.endLease(n.leases[0], why)
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
	for _, h := range slices.Clone(n.leases) {
		if h.started && n.now >= h.expiresAt {
			n.stats.Lapsed++
			n.endLease(h, ReasonNotRenewed)
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
		var wish []string
		for _, job := range n.settings.Roles {
			if _, known := n.grantFor(job); !known && n.canHold(job) {
				wish = append(wish, job)
			}
		}
		if wish != nil {
			n.bidDueAt = n.now + bidIntervalSeconds*(1+4*n.rng.Float64())
		}
		if wish != nil && n.table.Leader != 0 {
			n.send(n.table.Leader, &Message{Bids: wish, BootID: n.bootID})
		}
	}
}

// SetWilling tells whether this member wants a job.
func (n *Node) SetWilling(now float64, job string, willing bool) {
	n.advanceTo(now)
	i, not := slices.BinarySearch(n.declinedRoles, job)
	switch {
	case willing && not:
		n.declinedRoles = slices.Delete(n.declinedRoles, i, i+1)
	case !willing && !not:
		n.declinedRoles = slices.Insert(n.declinedRoles, i, job)
		if h := n.leaseFor(job); h != nil {
			n.sendDeclined([]string{job})
			n.endLease(h, "this member does not want it")
		}
	}
	n.finishCall()
}

func (n *Node) sendDeclined(jobs []string) {
	if n.table.Leader != 0 && len(jobs) > 0 {
		n.send(n.table.Leader, &Message{Declined: jobs})
	}
}

// handleOffer answers who would do jobs.
func (n *Node) handleOffer(from swim.ID, jobs []string) {
	var wish, not []string
	for _, job := range jobs {
		if n.canHold(job) {
			wish = append(wish, job)
		} else {
			not = append(not, job)
		}
	}
	n.send(from, &Message{Bids: wish, Declined: not, BootID: n.bootID})
}

// RequestStepDown has a job go to somebody else, as an operator wants.
func (n *Node) RequestStepDown(now float64, job string) {
	n.advanceTo(now)
	if !n.retired && n.table.Leader != 0 {
		n.send(n.table.Leader, &Message{StepDown: job})
	}
	n.finishCall()
}

// handleStepDown takes that a job is to go to somebody else: who owns it gives it back.
func (n *Node) handleStepDown(job string) {
	if h := n.leaseFor(job); h != nil {
		n.sendDeclined([]string{job})
		n.endLease(h, "it is to go to another member")
	}
}

func (n *Node) holderNextTick() float64 {
	next := min(n.renewDueAt, n.bidDueAt)
	for _, h := range n.leases {
		if h.started {
			next = min(next, h.expiresAt)
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

// ReasonNotRenewed is why a job has ended whose lease was not confirmed in time: nobody need have been granted it since.
const ReasonNotRenewed = "the lease was not renewed in time"
