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

type sentRenewal struct {
	number uint64
	sentAt float64
	grants []Grant
}

// Holds tells whether this member may act for a job now, and under which token.
func (t *Node) Holds(now float64, job string) (token uint64, ok bool) {
	if h := t.leaseFor(job); h != nil && h.started && now < h.expiresAt && !t.retired {
		return h.Token, true
	}
	return 0, false
}

func (t *Node) leaseFor(job string) *heldLease {
	for _, h := range t.leases {
		if h.Role == job {
			return h
		}
	}
	return nil
}

// applyTable takes what the table says of this member.
func (t *Node) applyTable() {
	t.ended = slices.DeleteFunc(t.ended, func(d Grant) bool { return !t.isOurs(d) })
	for _, h := range slices.Clone(t.leases) {
		if g, known := t.grantFor(h.Role); known && (g.Token > h.Token || g.Token == h.Token && g.Holder != t.self) {
			t.endLease(h, "it was granted to another")
		}
	}
	for _, g := range t.table.Grants {
		if g.Holder != t.self || t.leaseFor(g.Role) != nil || t.hasEnded(g) {
			continue
		}
		if g.BootID != t.bootID || !t.canHold(g.Role) {
			if !t.canHold(g.Role) {
				t.sendDeclined([]string{g.Role})
			}
			t.release(g)
			continue
		}
		if len(t.leases) == 0 {
			t.renewedAt = t.now
		}
		t.leases = append(t.leases, &heldLease{Grant: g, expiresAt: math.Inf(-1)})
		t.renewDueAt = t.now
	}
}

func (t *Node) grantFor(job string) (Grant, bool) {
	i, known := grantIndex(t.table.Grants, job)
	if !known {
		return Grant{}, false
	}
	return t.table.Grants[i], true
}

// isOurs tells whether the table still says that a grant is this member's.
func (t *Node) isOurs(g Grant) bool {
	now, known := t.grantFor(g.Role)
	return known && now.Token == g.Token && now.Holder == t.self
}

func (t *Node) hasEnded(g Grant) bool {
	return slices.ContainsFunc(t.ended, func(d Grant) bool { return d.Role == g.Role && d.Token >= g.Token })
}

// canHold tells whether this member does a job.
func (t *Node) canHold(job string) bool {
	return !t.leaving && slices.Contains(t.settings.Roles, job) && !slices.Contains(t.declinedRoles, job)
}

// endLease ends what is held. Nothing is done under it any more, so it can be given back.
func (t *Node) endLease(h *heldLease, why string) {
	t.leases = slices.DeleteFunc(t.leases, func(o *heldLease) bool { return o == h })
	if h.started {
		t.actions.LeaseEnded(h.Role, h.Token, why)
	}
	t.release(h.Grant)
}

func (t *Node) endAllLeases(why string) {
	for len(t.leases) > 0 {
		t.endLease(t.leases[0], why)
	}
}

// release has the leader know that nothing is done under a grant, until the table says so.
func (t *Node) release(g Grant) {
	if t.retired {
		return
	}
	t.ended = append(t.ended, g)
	if t.isOurs(g) && t.table.Leader != 0 {
		t.send(t.table.Leader, &Message{Released: []Grant{g}})
	}
	t.renewDueAt = min(t.renewDueAt, t.now+renewIntervalSeconds)
}

// expireLeases ends leases. Danger: this process may have stood still since its last call; it comes before all else.
func (t *Node) expireLeases() {
	for _, h := range slices.Clone(t.leases) {
		if h.started && t.now >= h.expiresAt {
			t.stats.Lapsed++
			t.endLease(h, ReasonNotRenewed)
		}
	}
}

// tickHolder has leases renewed.
func (t *Node) tickHolder() {
	if t.now >= t.renewDueAt {
		t.sendRenewal()
	}
	if t.now >= t.bidDueAt {
		t.bidDueAt = t.now + compareIntervalSeconds
		var wish []string
		for _, job := range t.settings.Roles {
			if _, known := t.grantFor(job); !known && t.canHold(job) {
				wish = append(wish, job)
			}
		}
		if wish != nil {
			t.bidDueAt = t.now + bidIntervalSeconds*(1+4*t.rng.Float64())
		}
		if wish != nil && t.table.Leader != 0 {
			t.send(t.table.Leader, &Message{Bids: wish, BootID: t.bootID})
		}
	}
}

// sendRenewal asks for all leases at once, and gives back what is not known to be given back.
func (t *Node) sendRenewal() {
	t.renewDueAt = math.Inf(1)
	if len(t.leases) == 0 && len(t.ended) == 0 || t.retired {
		return
	}
	t.renewDueAt = t.now + renewIntervalSeconds
	m := &Message{BootID: t.bootID}
	if len(t.leases) > 0 {
		t.renewalNumber++
		r := &Renewal{Number: t.renewalNumber}
		for _, h := range t.leases {
			r.Grants = append(r.Grants, h.Grant)
		}
		r.Records = t.knownRecordVersions()
		t.pendingRenewals = append(t.pendingRenewals, sentRenewal{t.renewalNumber, t.now, r.Grants})
		if len(t.pendingRenewals) > maxPendingRenewals {
			t.pendingRenewals = slices.Delete(t.pendingRenewals, 0, len(t.pendingRenewals)-maxPendingRenewals)
		}
		m.RenewRequest = r
	}
	for _, g := range t.ended {
		if t.isOurs(g) {
			m.Released = append(m.Released, g)
		}
	}
	leader := t.table.Leader
	if leader != 0 && (t.now-t.renewedAt < 2*renewIntervalSeconds || leader == t.self) {
		t.send(leader, m)
		return
	}
	for _, id := range t.table.Voters { // one of them knows who leads
		t.send(id, m)
	}
}

// handleRenewReply takes what the leader has confirmed.
func (t *Node) handleRenewReply(r *Renewal) {
	i := slices.IndexFunc(t.pendingRenewals, func(s sentRenewal) bool { return s.number == r.Number })
	if i < 0 {
		return
	}
	sent := t.pendingRenewals[i]
	t.renewedAt = t.now
	t.handleRecords(r.Records)
	for _, g := range r.Grants {
		h := t.leaseFor(g.Role)
		if h == nil || h.Token != g.Token || !slices.Contains(sent.grants, h.Grant) {
			continue
		}
		h.expiresAt = max(h.expiresAt, sent.sentAt+holderLeaseFraction*leaseSeconds)
		switch {
		case t.now >= h.expiresAt:
		case !h.started && t.canHold(h.Role):
			h.started = true
			t.stats.Acquired++
			t.actions.LeaseStarted(h.Role, h.Token)
			if t.hasRecord(h.Role) {
				h.record.Role = h.Role
				t.actions.RecordCommitted(h.record)
			}
		}
	}
}

// SetWilling tells whether this member wants a job.
func (t *Node) SetWilling(now float64, job string, willing bool) {
	t.advanceTo(now)
	i, not := slices.BinarySearch(t.declinedRoles, job)
	switch {
	case willing && not:
		t.declinedRoles = slices.Delete(t.declinedRoles, i, i+1)
	case !willing && !not:
		t.declinedRoles = slices.Insert(t.declinedRoles, i, job)
		if h := t.leaseFor(job); h != nil {
			t.sendDeclined([]string{job})
			t.endLease(h, "this member does not want it")
		}
	}
	t.finishCall()
}

func (t *Node) sendDeclined(jobs []string) {
	if t.table.Leader != 0 && len(jobs) > 0 {
		t.send(t.table.Leader, &Message{Declined: jobs})
	}
}

// handleOffer answers who would do jobs.
func (t *Node) handleOffer(from swim.ID, jobs []string) {
	var wish, not []string
	for _, job := range jobs {
		if t.canHold(job) {
			wish = append(wish, job)
		} else {
			not = append(not, job)
		}
	}
	t.send(from, &Message{Bids: wish, Declined: not, BootID: t.bootID})
}

// RequestStepDown has a job go to somebody else, as an operator wants.
func (t *Node) RequestStepDown(now float64, job string) {
	t.advanceTo(now)
	if !t.retired && t.table.Leader != 0 {
		t.send(t.table.Leader, &Message{StepDown: job})
	}
	t.finishCall()
}

// handleStepDown takes that a job is to go to somebody else: who owns it gives it back.
func (t *Node) handleStepDown(job string) {
	if h := t.leaseFor(job); h != nil {
		t.sendDeclined([]string{job})
		t.endLease(h, "it is to go to another member")
	}
}

// Leave gives everything back, and says nothing more as an elector once another leads.
func (t *Node) Leave(now float64) {
	t.advanceTo(now)
	if !t.leaving && !t.retired {
		t.leaving, t.leavingSince = true, t.now
		t.endAllLeases("this member leaves")
		t.tickLeader()
	}
	t.finishCall()
}

// HasLeft tells whether all that was given back is known to be, and another leads.
func (t *Node) HasLeft() bool {
	return t.retired || t.leaving && len(t.leases) == 0 && t.leadershipTransferred && !slices.ContainsFunc(t.ended, t.isOurs)
}

func (t *Node) holderNextTick() float64 {
	next := min(t.renewDueAt, t.bidDueAt)
	for _, h := range t.leases {
		if h.started {
			next = min(next, h.expiresAt)
		}
	}
	return next
}

// holderLinks are the links that who owns anything needs.
func (t *Node) holderLinks() []swim.ID {
	if len(t.leases) == 0 && len(t.ended) == 0 {
		return nil
	}
	return append(slices.Clone(t.table.Voters), t.table.Leader)
}
