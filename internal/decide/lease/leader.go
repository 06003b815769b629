package lease

import (
	"cmp"
	"encoding/binary"
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
	rebalanceQuietSeconds   = 2.0  // nothing has changed, before a job is moved to have them spread evenly
	vacateSeconds           = 0.3  // a job that was given back and has no taker is nobody's
	transferRetrySeconds    = 0.3  // for a successor to lead, before another is asked
	maxOffers               = 3    // members asked at a time
)

// leaderState is what the one that leads remembers, of this term alone.
type leaderState struct {
	leadingSince       float64      // since when; the leases that an earlier leader confirmed are over a lease later
	roles              []*roleState // by job
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

// roleState is a job as its leader sees it.
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

// bid is a member's word that it would do jobs.
type bid struct {
	id         swim.ID
	bootID     uint64
	roles      []string
	receivedAt float64
}

type waitingRenewal struct {
	from       swim.ID
	quorumRead uint64 // that it waits for
	*Renewal
}

type exclusion struct {
	role  string
	id    swim.ID
	until float64
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

func (n *Node) roleFor(job string) *roleState {
	i, known := slices.BinarySearchFunc(n.roles, job, func(p *roleState, job string) int { return cmp.Compare(p.role, job) })
	if !known {
		if len(n.roles) >= maxRoles || job == "" || len(job) > 64 {
			return nil
		}
		n.roles = slices.Insert(n.roles, i, &roleState{role: job, renewedAt: n.leadingSince})
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
		if p := n.roleFor(c.Role); p != nil {
			p.hasPendingCommand, p.renewedAt, p.releasedToken, p.releasedAt = false, n.now, 0, n.now
			if c.Holder == 0 {
				p.releasedToken = c.ExpectedToken
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
		p := n.roleFor(g.Role)
		if now, known := n.group.machine.grant(g.Role); p != nil && known && now.Token == g.Token && now.Holder == from && p.releasedToken != g.Token {
			p.releasedToken, p.releasedAt = g.Token, n.now
			n.withdrawBid(from, g.Role)
		}
	}
	for _, job := range m.Declined {
		n.exclude(job, from, declineExclusionSeconds)
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

func (n *Node) recordBid(from swim.ID, m *Message) {
	for _, job := range m.Bids {
		n.roleFor(job)
	}
	i, known := slices.BinarySearchFunc(n.bids, from, func(b bid, id swim.ID) int { return cmp.Compare(b.id, id) })
	if !known {
		n.bids = slices.Insert(n.bids, i, bid{id: from})
	}
	b := &n.bids[i]
	if n.now-b.receivedAt < bidValidSeconds && b.bootID == m.BootID {
		for _, job := range m.Bids {
			if !slices.Contains(b.roles, job) {
				b.roles = append(b.roles, job)
			}
		}
	} else {
		b.roles = slices.Clone(m.Bids)
	}
	b.receivedAt, b.bootID = n.now, m.BootID
}

// withdrawBid forgets that a member would do a job, since it has just given it back. Danger: one that began again between its word and the
// grant gives back what its former life was granted, and by that word it would be granted the job again and again.
func (n *Node) withdrawBid(from swim.ID, job string) {
	if i, known := slices.BinarySearchFunc(n.bids, from, func(b bid, id swim.ID) int { return cmp.Compare(b.id, id) }); known {
		n.bids[i].roles = slices.DeleteFunc(n.bids[i].roles, func(o string) bool { return o == job })
	}
}

// startQuorumRead has a quorum confirm that this member leads. One round confirms all renewals that came before it began.
func (n *Node) startQuorumRead() {
	if !n.quorumReadInFlight && len(n.waitingRenewals) > 0 && n.isLeaderReady() {
		n.quorumReadInFlight = true
		n.stats.QuorumReads++
		ctx := binary.BigEndian.AppendUint64(nil, n.lastQuorumRead)
		n.runRaft(func() { n.group.rawNode.ReadIndex(ctx) })
	}
}

// quorumReadDone takes that a round has ended: this member led when it began.
func (n *Node) quorumReadDone(round uint64) {
	if n.quorumReadInFlight = false; !n.isLeaderReady() {
		return
	}
	waiting := n.waitingRenewals
	n.waitingRenewals = nil
	for _, w := range waiting {
		if w.quorumRead > round {
			n.waitingRenewals = append(n.waitingRenewals, w)
			continue
		}
		n.confirmRenewal(w)
	}
	n.startQuorumRead()
}

// confirmRenewal has leases go on.
func (n *Node) confirmRenewal(w waitingRenewal) {
	answer := &Renewal{Number: w.Number}
	for _, g := range w.Grants {
		now, known := n.group.machine.grant(g.Role)
		p := n.roleFor(g.Role)
		if !known || p == nil || now != g || now.Holder != w.from || p.hasPendingCommand || p.releasedToken == g.Token {
			continue
		}
		p.renewedAt = n.now
		answer.Grants = append(answer.Grants, g)
	}
	answer.Records = n.newerRecords(w.Records)
	m := &Message{RenewReply: answer}
	if len(answer.Grants) < len(w.Grants) {
		m.Table = n.tableMessage().Table
	}
	n.send(w.from, m)
}

// exclude has a member not be granted a job for a while.
func (n *Node) exclude(job string, id swim.ID, forS float64) {
	n.exclusions = slices.DeleteFunc(n.exclusions, func(p exclusion) bool { return p.until <= n.now || p.role == job && p.id == id })
	n.exclusions = append(n.exclusions, exclusion{job, id, n.now + forS})
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

// tickLeader grants what is free.
func (n *Node) tickLeader() {
	n.tickLeaving()
	if !n.isLeaderReady() {
		return
	}
	for _, job := range n.settings.Roles {
		n.roleFor(job)
	}
	n.dueAt = n.now + raftTickSeconds
	if alive := n.countAlive(); alive != n.liveMembers {
		n.liveMembers, n.changedAt = alive, n.now
	}
	var list []command
	for _, p := range n.roles {
		if p.hasPendingCommand {
			continue
		}
		g, _ := n.group.machine.grant(p.role)
		nobodys := g.Holder == 0 || p.releasedToken == g.Token
		over := n.now >= max(p.renewedAt, n.leadingSince)+leaseSeconds
		switch {
		case nobodys || over:
			id, life := n.chooseHolder(p, list)
			switch {
			case id != 0:
				list = append(list, command{Role: p.role, Holder: id, BootID: life, ExpectedToken: g.Token})
			case g.Holder != 0 && (nobodys && n.now-p.releasedAt > vacateSeconds || n.now-max(p.renewedAt, n.leadingSince) > leaseSeconds+vacateSeconds):
				list = append(list, command{Role: p.role, ExpectedToken: g.Token})
			}
		case n.now-max(p.renewedAt, n.leadingSince) > renewalOverdueSeconds:
			n.solicitBids(p) // so that there is somebody when the lease is over
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

// rankCandidates returns who may be granted a job, the best first: who has the fewest jobs, and of these by a draw that is the same
// for all and another for each job.
func (n *Node) rankCandidates(p *roleState, list []command) (ids []swim.ID) {
	g, _ := n.group.machine.grant(p.role)
	type rank struct {
		id   swim.ID
		load int
		draw uint64
	}
	var ranks []rank
	for _, m := range n.members {
		if m.State != swim.Alive || m.ID == n.self && !n.canHold(p.role) ||
			slices.ContainsFunc(n.exclusions, func(o exclusion) bool { return o.role == p.role && o.id == m.ID && n.now < o.until }) {
			continue
		}
		load := n.roleCount(m.ID, list)
		if m.ID == g.Holder {
			load-- // this very job
		}
		ranks = append(ranks, rank{m.ID, load, candidateHash(p.role, m.ID)})
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.draw, b.draw), cmp.Compare(a.id, b.id))
	})
	for _, r := range ranks {
		ids = append(ids, r.id)
	}
	return ids
}

// candidateHash is a number of a job and a member.
func candidateHash(job string, id swim.ID) uint64 {
	x := uint64(id)
	for _, b := range []byte(job) {
		x = (x ^ uint64(b)) * 0x100000001b3
	}
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// bidBootID returns the life of a member that would do a job; 0: it has not said so lately.
func (n *Node) bidBootID(id swim.ID, job string) uint64 {
	if id == n.self {
		if n.canHold(job) {
			return n.bootID
		}
		return 0
	}
	i, known := slices.BinarySearchFunc(n.bids, id, func(b bid, id swim.ID) int { return cmp.Compare(b.id, id) })
	if known && n.now-n.bids[i].receivedAt < bidValidSeconds && slices.Contains(n.bids[i].roles, job) {
		return n.bids[i].bootID
	}
	return 0
}

// chooseHolder returns who is to own a job that is free: 0 while nobody has said yes.
func (n *Node) chooseHolder(p *roleState, list []command) (swim.ID, uint64) {
	ranked := n.rankCandidates(p, list)
	if len(ranked) == 0 {
		return 0, 0
	}
	if life := n.bidBootID(ranked[0], p.role); life != 0 {
		return ranked[0], life
	}
	n.offerRole(p, ranked)
	if n.now-p.offeredAt < bestBidWaitSeconds {
		n.dueAt = min(n.dueAt, p.offeredAt+bestBidWaitSeconds)
		return 0, 0
	}
	for _, id := range ranked {
		if life := n.bidBootID(id, p.role); life != 0 {
			return id, life
		}
	}
	return 0, 0
}

// solicitBids asks who would take a job.
func (n *Node) solicitBids(p *roleState) { n.offerRole(p, n.rankCandidates(p, nil)) }

func (n *Node) offerRole(p *roleState, ranked []swim.ID) {
	switch {
	case p.offered != nil && n.now-p.offeredAt < offerTimeoutSeconds:
		return
	case p.offered != nil && n.now-p.offeredAt < bidValidSeconds:
		for _, id := range p.offered {
			if n.bidBootID(id, p.role) == 0 {
				n.exclude(p.role, id, silentExclusionSeconds)
			}
		}
		if slices.ContainsFunc(p.offered, func(id swim.ID) bool { return n.bidBootID(id, p.role) != 0 }) && n.now-p.offeredAt < bidValidSeconds/2 {
			return
		}
		ranked = n.rankCandidates(p, nil)
	}
	p.offered, p.offeredAt = nil, n.now
	for _, id := range ranked[:min(len(ranked), maxOffers)] {
		p.offered = append(p.offered, id)
		if id != n.self {
			n.actions.Send(id, &Message{Offered: []string{p.role}})
		}
	}
	n.dueAt = min(n.dueAt, n.now+bestBidWaitSeconds)
}

// resendOffers takes a new link: who was asked without one is asked again.
func (n *Node) resendOffers(id swim.ID) {
	if !n.isLeaderReady() {
		return
	}
	for _, p := range n.roles {
		if slices.Contains(p.offered, id) && n.now-p.offeredAt < bidValidSeconds && n.bidBootID(id, p.role) == 0 {
			n.actions.Send(id, &Message{Offered: []string{p.role}})
		}
	}
}

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

// tickLeaving hands leadership on, once all that this member owned is another's.
func (n *Node) tickLeaving() {
	if !n.leaving || n.leadershipTransferred {
		return
	}
	g := n.group
	switch {
	case g == nil || !g.isLeader:
		n.leadershipTransferred = true
	case slices.ContainsFunc(n.ended, n.isOurs) && n.now-n.leavingSince < 1:
		n.dueAt = min(n.dueAt, n.now+0.02)
	case n.now-n.leavingSince > 2:
		n.leadershipTransferred = true // nobody takes it
	default:
		if n.now >= n.transferDueAt {
			n.transferDueAt = n.now + transferRetrySeconds
			n.transferLeadership()
		}
		n.dueAt = min(n.dueAt, n.now+0.05)
	}
}

// transferLeadership transfers leadership to an elector that is there, each time to another.
func (n *Node) transferLeadership() {
	var there []uint64
	for _, id := range n.group.confState.GetVoters() {
		if m := n.memberByID(swim.ID(id)); swim.ID(id) != n.self && m != nil && m.State == swim.Alive {
			there = append(there, id)
		}
	}
	if len(there) > 0 {
		n.transferAttempts++
		n.runRaft(func() { n.group.rawNode.TransferLeader(there[n.transferAttempts%len(there)]) })
	}
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
	for _, p := range n.roles {
		if n.now-p.offeredAt < bidValidSeconds {
			ids = append(ids, p.offered...)
		}
	}
	return ids
}
