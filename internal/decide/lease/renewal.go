package lease

import (
	"encoding/binary"
	"math"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// waitingRenewal is a renewal request that waits for a quorum to confirm that this member leads.
type waitingRenewal struct {
	from       swim.ID
	quorumRead uint64 // the number of the quorum read that must finish before the request is confirmed
	*Renewal
}

// startQuorumRead asks a quorum to confirm that this member leads, by Raft's ReadIndex. One quorum read serves all requests that
// arrived before it began.
func (n *Node) startQuorumRead() {
	if !n.quorumReadInFlight && len(n.waitingRenewals) > 0 && n.isLeaderReady() {
		n.quorumReadInFlight = true
		n.stats.QuorumReads++
		ctx := binary.BigEndian.AppendUint64(nil, n.lastQuorumRead)
		n.runRaft(func() { n.group.rawNode.ReadIndex(ctx) })
	}
}

// quorumReadDone confirms the requests that a finished quorum read serves.
func (n *Node) quorumReadDone(number uint64) {
	if n.quorumReadInFlight = false; !n.isLeaderReady() {
		return
	}
	waiting := n.waitingRenewals
	n.waitingRenewals = nil
	for _, w := range waiting {
		if w.quorumRead > number {
			n.waitingRenewals = append(n.waitingRenewals, w)
			continue
		}
		n.confirmRenewal(w)
	}
	n.startQuorumRead()
}

// confirmRenewal extends those leases of a request whose grants are still as the holder states them, and replies.
func (n *Node) confirmRenewal(w waitingRenewal) {
	reply := &Renewal{Number: w.Number}
	for _, g := range w.Grants {
		current, known := n.group.machine.grant(g.Role)
		state := n.roleFor(g.Role)
		if !known || state == nil || current != g || current.Holder != w.from || state.hasPendingCommand || state.releasedToken == g.Token {
			continue
		}
		state.renewedAt = n.now
		reply.Grants = append(reply.Grants, g)
	}
	reply.Records = n.newerRecords(w.Records)
	m := &Message{RenewReply: reply}
	if len(reply.Grants) < len(w.Grants) {
		m.Table = n.tableMessage().Table
	}
	n.send(w.from, m)
}

// sentRenewal is a request that was sent to the leader and may still be confirmed.
type sentRenewal struct {
	number uint64
	sentAt float64
	grants []Grant
}

// sendRenewal requests the renewal of all leases at once, and reports releases that the table does not show yet.
func (n *Node) sendRenewal() {
	n.renewDueAt = math.Inf(1)
	if len(n.leases) == 0 && len(n.ended) == 0 || n.retired {
		return
	}
	n.renewDueAt = n.now + renewIntervalSeconds
	m := &Message{BootID: n.bootID}
	if len(n.leases) > 0 {
		n.renewalNumber++
		r := &Renewal{Number: n.renewalNumber}
		for _, held := range n.leases {
			r.Grants = append(r.Grants, held.Grant)
		}
		r.Records = n.knownRecordVersions()
		n.pendingRenewals = append(n.pendingRenewals, sentRenewal{n.renewalNumber, n.now, r.Grants})
		if len(n.pendingRenewals) > maxPendingRenewals {
			n.pendingRenewals = slices.Delete(n.pendingRenewals, 0, len(n.pendingRenewals)-maxPendingRenewals)
		}
		m.RenewRequest = r
	}
	for _, g := range n.ended {
		if n.isOurs(g) {
			m.Released = append(m.Released, g)
		}
	}
	leader := n.table.Leader
	if leader != 0 && (n.now-n.renewedAt < 2*renewIntervalSeconds || leader == n.self) {
		n.send(leader, m)
		return
	}
	for _, id := range n.table.Voters { // one of them knows the leader
		n.send(id, m)
	}
}

// handleRenewReply extends the leases that the leader has confirmed, counted from when the request was sent, and starts those that
// are new.
func (n *Node) handleRenewReply(r *Renewal) {
	i := slices.IndexFunc(n.pendingRenewals, func(s sentRenewal) bool { return s.number == r.Number })
	if i < 0 {
		return
	}
	sent := n.pendingRenewals[i]
	n.renewedAt = n.now
	n.handleRecords(r.Records)
	for _, g := range r.Grants {
		held := n.leaseFor(g.Role)
		if held == nil || held.Token != g.Token || !slices.Contains(sent.grants, held.Grant) {
			continue
		}
		held.expiresAt = max(held.expiresAt, sent.sentAt+holderLeaseFraction*leaseSeconds)
		switch {
		case n.now >= held.expiresAt:
		case !held.started && n.canHold(held.Role):
			held.started = true
			n.stats.Acquired++
			n.actions.LeaseStarted(held.Role, held.Token)
			if n.hasRecord(held.Role) {
				held.record.Role = held.Role
				n.actions.RecordCommitted(held.record)
			}
		}
	}
}
