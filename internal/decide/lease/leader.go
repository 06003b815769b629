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
func (t *Node) leadershipChanged(leads bool) {
	t.leaderState = leaderState{leadingSince: t.now, changedAt: t.now, dueAt: t.now}
	if leads {
		t.stats.ElectionsWon++
		for _, g := range t.group.machine.Grants {
			t.roleFor(g.Role)
		}
	} else {
		t.resetElectionTimer()
	}
}

// isLeaderReady tells whether this member leads and knows all that was agreed.
func (t *Node) isLeaderReady() bool {
	g := t.group
	return g != nil && g.isLeader && !t.retired && g.appliedTerm == g.term && !t.persistFailed
}

func (t *Node) roleFor(job string) *roleState {
	i, known := slices.BinarySearchFunc(t.roles, job, func(p *roleState, job string) int { return cmp.Compare(p.role, job) })
	if !known {
		if len(t.roles) >= maxRoles || job == "" || len(job) > 64 {
			return nil
		}
		t.roles = slices.Insert(t.roles, i, &roleState{role: job, renewedAt: t.leadingSince})
	}
	return t.roles[i]
}

// commandApplied takes that a command is agreed, or turned out to be too late.
func (t *Node) commandApplied(c command) {
	if c.Record != nil {
		t.recordApplied(c.Record)
		return
	}
	if t.group.isLeader {
		if p := t.roleFor(c.Role); p != nil {
			p.hasPendingCommand, p.renewedAt, p.releasedToken, p.releasedAt = false, t.now, 0, t.now
			if c.Holder == 0 {
				p.releasedToken = c.ExpectedToken
			}
			t.changedAt, t.dueAt = t.now, t.now
		}
	}
}

// handleAsLeader takes what only a leader can answer.
func (t *Node) handleAsLeader(from swim.ID, m *Message) {
	if m.RenewRequest == nil && m.Released == nil && m.Declined == nil && m.Bids == nil && m.StepDown == "" && m.WriteRecord == nil {
		return
	}
	if !t.isLeaderReady() {
		if t.group != nil && from != t.self && t.table.Leader != 0 {
			t.actions.Send(from, t.tableMessage()) // who leads, as far as this elector knows
		}
		return
	}
	t.dueAt = t.now
	for _, g := range m.Released {
		p := t.roleFor(g.Role)
		if now, known := t.group.machine.grant(g.Role); p != nil && known && now.Token == g.Token && now.Holder == from && p.releasedToken != g.Token {
			p.releasedToken, p.releasedAt = g.Token, t.now
			t.withdrawBid(from, g.Role)
		}
	}
	for _, job := range m.Declined {
		t.exclude(job, from, declineExclusionSeconds)
	}
	if len(m.Bids) > 0 && m.BootID != 0 {
		t.recordBid(from, m)
	}
	if m.StepDown != "" {
		t.startStepDown(m.StepDown)
	}
	if m.WriteRecord != nil {
		t.proposeRecord(from, m.WriteRecord)
	}
	if m.RenewRequest != nil {
		t.lastQuorumRead++
		t.waitingRenewals = append(t.waitingRenewals, waitingRenewal{from, t.lastQuorumRead, m.RenewRequest})
		t.startQuorumRead()
	}
}

func (t *Node) recordBid(from swim.ID, m *Message) {
	for _, job := range m.Bids {
		t.roleFor(job)
	}
	i, known := slices.BinarySearchFunc(t.bids, from, func(b bid, id swim.ID) int { return cmp.Compare(b.id, id) })
	if !known {
		t.bids = slices.Insert(t.bids, i, bid{id: from})
	}
	b := &t.bids[i]
	if t.now-b.receivedAt < bidValidSeconds && b.bootID == m.BootID {
		for _, job := range m.Bids {
			if !slices.Contains(b.roles, job) {
				b.roles = append(b.roles, job)
			}
		}
	} else {
		b.roles = slices.Clone(m.Bids)
	}
	b.receivedAt, b.bootID = t.now, m.BootID
}

// withdrawBid forgets that a member would do a job, since it has just given it back. Danger: one that began again between its word and the
// grant gives back what its former life was granted, and by that word it would be granted the job again and again.
func (t *Node) withdrawBid(from swim.ID, job string) {
	if i, known := slices.BinarySearchFunc(t.bids, from, func(b bid, id swim.ID) int { return cmp.Compare(b.id, id) }); known {
		t.bids[i].roles = slices.DeleteFunc(t.bids[i].roles, func(o string) bool { return o == job })
	}
}

// startQuorumRead has a quorum confirm that this member leads. One round confirms all renewals that came before it began.
func (t *Node) startQuorumRead() {
	if !t.quorumReadInFlight && len(t.waitingRenewals) > 0 && t.isLeaderReady() {
		t.quorumReadInFlight = true
		t.stats.QuorumReads++
		ctx := binary.BigEndian.AppendUint64(nil, t.lastQuorumRead)
		t.runRaft(func() { t.group.rawNode.ReadIndex(ctx) })
	}
}

// quorumReadDone takes that a round has ended: this member led when it began.
func (t *Node) quorumReadDone(round uint64) {
	if t.quorumReadInFlight = false; !t.isLeaderReady() {
		return
	}
	waiting := t.waitingRenewals
	t.waitingRenewals = nil
	for _, w := range waiting {
		if w.quorumRead > round {
			t.waitingRenewals = append(t.waitingRenewals, w)
			continue
		}
		t.confirmRenewal(w)
	}
	t.startQuorumRead()
}

// confirmRenewal has leases go on.
func (t *Node) confirmRenewal(w waitingRenewal) {
	answer := &Renewal{Number: w.Number}
	for _, g := range w.Grants {
		now, known := t.group.machine.grant(g.Role)
		p := t.roleFor(g.Role)
		if !known || p == nil || now != g || now.Holder != w.from || p.hasPendingCommand || p.releasedToken == g.Token {
			continue
		}
		p.renewedAt = t.now
		answer.Grants = append(answer.Grants, g)
	}
	answer.Records = t.newerRecords(w.Records)
	m := &Message{RenewReply: answer}
	if len(answer.Grants) < len(w.Grants) {
		m.Table = t.tableMessage().Table
	}
	t.send(w.from, m)
}

// exclude has a member not be granted a job for a while.
func (t *Node) exclude(job string, id swim.ID, forS float64) {
	t.exclusions = slices.DeleteFunc(t.exclusions, func(p exclusion) bool { return p.until <= t.now || p.role == job && p.id == id })
	t.exclusions = append(t.exclusions, exclusion{job, id, t.now + forS})
}

// startStepDown asks the owner of a job to give it up.
func (t *Node) startStepDown(job string) {
	if g, known := t.group.machine.grant(job); known && g.Holder != 0 {
		t.exclude(job, g.Holder, declineExclusionSeconds)
		t.sendStepDown(g)
	}
}

func (t *Node) sendStepDown(g Grant) {
	if g.Holder == t.self {
		t.handleStepDown(g.Role)
	} else {
		t.actions.Send(g.Holder, &Message{StepDown: g.Role})
	}
}

// tickLeader grants what is free.
func (t *Node) tickLeader() {
	t.tickLeaving()
	if !t.isLeaderReady() {
		return
	}
	for _, job := range t.settings.Roles {
		t.roleFor(job)
	}
	t.dueAt = t.now + raftTickSeconds
	if n := t.countAlive(); n != t.liveMembers {
		t.liveMembers, t.changedAt = n, t.now
	}
	var list []command
	for _, p := range t.roles {
		if p.hasPendingCommand {
			continue
		}
		g, _ := t.group.machine.grant(p.role)
		nobodys := g.Holder == 0 || p.releasedToken == g.Token
		over := t.now >= max(p.renewedAt, t.leadingSince)+leaseSeconds
		switch {
		case nobodys || over:
			id, life := t.chooseHolder(p, list)
			switch {
			case id != 0:
				list = append(list, command{Role: p.role, Holder: id, BootID: life, ExpectedToken: g.Token})
			case g.Holder != 0 && (nobodys && t.now-p.releasedAt > vacateSeconds || t.now-max(p.renewedAt, t.leadingSince) > leaseSeconds+vacateSeconds):
				list = append(list, command{Role: p.role, ExpectedToken: g.Token})
			}
		case t.now-max(p.renewedAt, t.leadingSince) > renewalOverdueSeconds:
			t.solicitBids(p) // so that there is somebody when the lease is over
		}
	}
	for _, c := range list {
		t.roleFor(c.Role).hasPendingCommand = true
	}
	if len(list) > 0 && !t.propose(list...) {
		for _, c := range list {
			t.roleFor(c.Role).hasPendingCommand = false
		}
	}
	if t.group == nil {
		return
	}
	t.rebalance()
	t.reconfigureVoters()
}

// countAlive counts who can be granted anything, as far as is known.
func (t *Node) countAlive() (n int) {
	for _, m := range t.members {
		if m.State == swim.Alive {
			n++
		}
	}
	return n
}

// roleCount counts a member's jobs, with those of a list that is to be proposed.
func (t *Node) roleCount(id swim.ID, list []command) (n int) {
	for _, g := range t.group.machine.Grants {
		if g.Holder == id {
			n++
		}
	}
	for _, c := range list {
		if c.Holder == id {
			n++
		}
	}
	return n
}

// rankCandidates returns who may be granted a job, the best first: who has the fewest jobs, and of these by a draw that is the same
// for all and another for each job.
func (t *Node) rankCandidates(p *roleState, list []command) (ids []swim.ID) {
	g, _ := t.group.machine.grant(p.role)
	type rank struct {
		id   swim.ID
		load int
		draw uint64
	}
	var ranks []rank
	for _, m := range t.members {
		if m.State != swim.Alive || m.ID == t.self && !t.canHold(p.role) ||
			slices.ContainsFunc(t.exclusions, func(o exclusion) bool { return o.role == p.role && o.id == m.ID && t.now < o.until }) {
			continue
		}
		load := t.roleCount(m.ID, list)
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
func (t *Node) bidBootID(id swim.ID, job string) uint64 {
	if id == t.self {
		if t.canHold(job) {
			return t.bootID
		}
		return 0
	}
	i, known := slices.BinarySearchFunc(t.bids, id, func(b bid, id swim.ID) int { return cmp.Compare(b.id, id) })
	if known && t.now-t.bids[i].receivedAt < bidValidSeconds && slices.Contains(t.bids[i].roles, job) {
		return t.bids[i].bootID
	}
	return 0
}

// chooseHolder returns who is to own a job that is free: 0 while nobody has said yes.
func (t *Node) chooseHolder(p *roleState, list []command) (swim.ID, uint64) {
	ranked := t.rankCandidates(p, list)
	if len(ranked) == 0 {
		return 0, 0
	}
	if life := t.bidBootID(ranked[0], p.role); life != 0 {
		return ranked[0], life
	}
	t.offerRole(p, ranked)
	if t.now-p.offeredAt < bestBidWaitSeconds {
		t.dueAt = min(t.dueAt, p.offeredAt+bestBidWaitSeconds)
		return 0, 0
	}
	for _, id := range ranked {
		if life := t.bidBootID(id, p.role); life != 0 {
			return id, life
		}
	}
	return 0, 0
}

// solicitBids asks who would take a job.
func (t *Node) solicitBids(p *roleState) { t.offerRole(p, t.rankCandidates(p, nil)) }

func (t *Node) offerRole(p *roleState, ranked []swim.ID) {
	switch {
	case p.offered != nil && t.now-p.offeredAt < offerTimeoutSeconds:
		return
	case p.offered != nil && t.now-p.offeredAt < bidValidSeconds:
		for _, id := range p.offered {
			if t.bidBootID(id, p.role) == 0 {
				t.exclude(p.role, id, silentExclusionSeconds)
			}
		}
		if slices.ContainsFunc(p.offered, func(id swim.ID) bool { return t.bidBootID(id, p.role) != 0 }) && t.now-p.offeredAt < bidValidSeconds/2 {
			return
		}
		ranked = t.rankCandidates(p, nil)
	}
	p.offered, p.offeredAt = nil, t.now
	for _, id := range ranked[:min(len(ranked), maxOffers)] {
		p.offered = append(p.offered, id)
		if id != t.self {
			t.actions.Send(id, &Message{Offered: []string{p.role}})
		}
	}
	t.dueAt = min(t.dueAt, t.now+bestBidWaitSeconds)
}

// resendOffers takes a new link: who was asked without one is asked again.
func (t *Node) resendOffers(id swim.ID) {
	if !t.isLeaderReady() {
		return
	}
	for _, p := range t.roles {
		if slices.Contains(p.offered, id) && t.now-p.offeredAt < bidValidSeconds && t.bidBootID(id, p.role) == 0 {
			t.actions.Send(id, &Message{Offered: []string{p.role}})
		}
	}
}

// rebalance has the most loaded give up a job where somebody has two fewer.
func (t *Node) rebalance() {
	if t.now-t.changedAt < rebalanceQuietSeconds {
		return
	}
	most, least := -1, math.MaxInt
	var from swim.ID
	for _, m := range t.members {
		if m.State != swim.Alive {
			continue
		}
		n := t.roleCount(m.ID, nil)
		if n > most {
			most, from = n, m.ID
		}
		least = min(least, n)
	}
	if most-least < 2 {
		return
	}
	for _, p := range t.roles {
		g, _ := t.group.machine.grant(p.role)
		if g.Holder != from || p.hasPendingCommand || p.releasedToken == g.Token || t.now-p.moveRequestedAt < rebalanceQuietSeconds {
			continue
		}
		ranked := t.rankCandidates(p, nil)
		if len(ranked) == 0 || t.roleCount(ranked[0], nil) > most-2 {
			continue
		}
		if t.bidBootID(ranked[0], p.role) == 0 { // Danger: a job that is given up for one that does not want it only rests
			t.offerRole(p, ranked)
			return
		}
		p.moveRequestedAt, t.changedAt = t.now, t.now
		t.sendStepDown(g)
		return
	}
}

// tickLeaving hands leadership on, once all that this member owned is another's.
func (t *Node) tickLeaving() {
	if !t.leaving || t.leadershipTransferred {
		return
	}
	g := t.group
	switch {
	case g == nil || !g.isLeader:
		t.leadershipTransferred = true
	case slices.ContainsFunc(t.ended, t.isOurs) && t.now-t.leavingSince < 1:
		t.dueAt = min(t.dueAt, t.now+0.02)
	case t.now-t.leavingSince > 2:
		t.leadershipTransferred = true // nobody takes it
	default:
		if t.now >= t.transferDueAt {
			t.transferDueAt = t.now + transferRetrySeconds
			t.transferLeadership()
		}
		t.dueAt = min(t.dueAt, t.now+0.05)
	}
}

// transferLeadership transfers leadership to an elector that is there, each time to another.
func (t *Node) transferLeadership() {
	var there []uint64
	for _, id := range t.group.confState.GetVoters() {
		if m := t.memberByID(swim.ID(id)); swim.ID(id) != t.self && m != nil && m.State == swim.Alive {
			there = append(there, id)
		}
	}
	if len(there) > 0 {
		t.transferAttempts++
		t.runRaft(func() { t.group.rawNode.TransferLeader(there[t.transferAttempts%len(there)]) })
	}
}

func (t *Node) leaderNextTick() float64 {
	if t.group != nil && t.group.isLeader || t.leaving && !t.leadershipTransferred {
		return t.dueAt
	}
	return math.Inf(1)
}

// leaderLinks are the links that a leader needs beside those to electors.
func (t *Node) leaderLinks() (ids []swim.ID) {
	if !t.isLeaderReady() {
		return nil
	}
	for _, g := range t.group.machine.Grants {
		ids = append(ids, g.Holder)
	}
	for _, p := range t.roles {
		if t.now-p.offeredAt < bidValidSeconds {
			ids = append(ids, p.offered...)
		}
	}
	return ids
}
