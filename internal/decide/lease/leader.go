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
	bidS     = 3.0  // an answer to an offer holds
	patientS = 0.1  // for the best of those asked, before another that has answered is taken
	askS     = 0.3  // for an answer, before others are asked
	soonS    = 0.75 // without a renewal: who could take over is asked before the lease is over
	passS    = 30.0 // who declined or was moved off is passed over
	deafAskS = 2.0  // who did not answer is
	calmS    = 2.0  // nothing has changed, before a job is moved to have them spread evenly
	nobodyS  = 0.3  // a job that was given back and has no taker is nobody's
	handS    = 0.3  // for a successor to lead, before another is asked
	mostAsk  = 3    // members asked at a time
)

// leader is what the one that leads remembers, of this term alone.
type leader struct {
	leadsAt float64 // since when; the leases that an earlier leader confirmed are over a lease later
	jobs    []*post // by job
	bids    []bid   // by member
	waiting []waitingRenewal
	asked   uint64 // quorum rounds begun
	asking  bool   // a round is under way
	passed  []passed
	changed float64 // the last grant, or coming or going of a member
	live    int     // members, when last looked
	dueAt   float64
	handAt  float64 // leadership is offered to the next
	hands   int     // to how many it was

	electorsAt float64 // the electors are looked at next
	learnedAt  float64 // the learner was first looked at
}

// post is a job as its leader sees it.
type post struct {
	job       string
	confirmed float64 // the last renewal
	freed     uint64  // the token that was given back
	freedAt   float64
	writing   uint64 // the version of its record that is in the log and has not been applied; 0: none is
	pending   bool   // a command about it is in the log and has not been applied
	offeredAt float64
	offered   []swim.ID // who was asked last
	moveAt    float64   // the owner was asked to give it up
}

// bid is a member's word that it would do jobs.
type bid struct {
	id   swim.ID
	life uint64
	jobs []string
	at   float64
}

type waitingRenewal struct {
	from  swim.ID
	round uint64 // that it waits for
	*Renewal
}

type passed struct {
	job   string
	id    swim.ID
	until float64
}

// turned takes that this member has come to lead, or no longer does.
func (t *Node) turned(leads bool) {
	t.leader = leader{leadsAt: t.now, changed: t.now, dueAt: t.now}
	if leads {
		t.figures.ElectionsWon++
		for _, g := range t.group.machine.Grants {
			t.post(g.Role)
		}
	} else {
		t.drawElection()
	}
}

// leading tells whether this member leads and knows all that was agreed.
func (t *Node) leading() bool {
	g := t.group
	return g != nil && g.leads && !t.over && g.term == g.current && !t.unkept
}

func (t *Node) post(job string) *post {
	i, known := slices.BinarySearchFunc(t.jobs, job, func(p *post, job string) int { return cmp.Compare(p.job, job) })
	if !known {
		if len(t.jobs) >= mostJobs || job == "" || len(job) > 64 {
			return nil
		}
		t.jobs = slices.Insert(t.jobs, i, &post{job: job, confirmed: t.leadsAt})
	}
	return t.jobs[i]
}

// appliedCommand takes that a command is agreed, or turned out to be too late.
func (t *Node) appliedCommand(c command) {
	if c.Put != nil {
		t.wrote(c.Put)
		return
	}
	if t.group.leads {
		if p := t.post(c.Job); p != nil {
			p.pending, p.confirmed, p.freed, p.freedAt = false, t.now, 0, t.now
			if c.Owner == 0 {
				p.freed = c.Was
			}
			t.changed, t.dueAt = t.now, t.now
		}
	}
}

// hearAsLeader takes what only a leader can answer.
func (t *Node) hearAsLeader(from swim.ID, m *Message) {
	if m.RenewRequest == nil && m.Released == nil && m.Declined == nil && m.Bids == nil && m.StepDown == "" && m.WriteRecord == nil {
		return
	}
	if !t.leading() {
		if t.group != nil && from != t.self && t.table.Leader != 0 {
			t.do.Send(from, t.tableMessage()) // who leads, as far as this elector knows
		}
		return
	}
	t.dueAt = t.now
	for _, g := range m.Released {
		p := t.post(g.Role)
		if now, known := t.group.machine.grant(g.Role); p != nil && known && now.Token == g.Token && now.Holder == from && p.freed != g.Token {
			p.freed, p.freedAt = g.Token, t.now
			t.unbid(from, g.Role)
		}
	}
	for _, job := range m.Declined {
		t.passOver(job, from, passS)
	}
	if len(m.Bids) > 0 && m.BootID != 0 {
		t.bid(from, m)
	}
	if m.StepDown != "" {
		t.moveOn(m.StepDown)
	}
	if m.WriteRecord != nil {
		t.write(from, m.WriteRecord)
	}
	if m.RenewRequest != nil {
		t.asked++
		t.waiting = append(t.waiting, waitingRenewal{from, t.asked, m.RenewRequest})
		t.ask()
	}
}

func (t *Node) bid(from swim.ID, m *Message) {
	for _, job := range m.Bids {
		t.post(job)
	}
	i, known := slices.BinarySearchFunc(t.bids, from, func(b bid, id swim.ID) int { return cmp.Compare(b.id, id) })
	if !known {
		t.bids = slices.Insert(t.bids, i, bid{id: from})
	}
	b := &t.bids[i]
	if t.now-b.at < bidS && b.life == m.BootID {
		for _, job := range m.Bids {
			if !slices.Contains(b.jobs, job) {
				b.jobs = append(b.jobs, job)
			}
		}
	} else {
		b.jobs = slices.Clone(m.Bids)
	}
	b.at, b.life = t.now, m.BootID
}

// unbid forgets that a member would do a job, since it has just given it back. Danger: one that began again between its word and the
// grant gives back what its former life was granted, and by that word it would be granted the job again and again.
func (t *Node) unbid(from swim.ID, job string) {
	if i, known := slices.BinarySearchFunc(t.bids, from, func(b bid, id swim.ID) int { return cmp.Compare(b.id, id) }); known {
		t.bids[i].jobs = slices.DeleteFunc(t.bids[i].jobs, func(o string) bool { return o == job })
	}
}

// ask has a quorum confirm that this member leads. One round confirms all renewals that came before it began.
func (t *Node) ask() {
	if !t.asking && len(t.waiting) > 0 && t.leading() {
		t.asking = true
		t.figures.QuorumReads++
		ctx := binary.BigEndian.AppendUint64(nil, t.asked)
		t.try(func() { t.group.node.ReadIndex(ctx) })
	}
}

// read takes that a round has ended: this member led when it began.
func (t *Node) read(round uint64) {
	if t.asking = false; !t.leading() {
		return
	}
	waiting := t.waiting
	t.waiting = nil
	for _, w := range waiting {
		if w.round > round {
			t.waiting = append(t.waiting, w)
			continue
		}
		t.confirm(w)
	}
	t.ask()
}

// confirm has leases go on.
func (t *Node) confirm(w waitingRenewal) {
	answer := &Renewal{Number: w.Number}
	for _, g := range w.Grants {
		now, known := t.group.machine.grant(g.Role)
		p := t.post(g.Role)
		if !known || p == nil || now != g || now.Holder != w.from || p.pending || p.freed == g.Token {
			continue
		}
		p.confirmed = t.now
		answer.Grants = append(answer.Grants, g)
	}
	answer.Records = t.newerRecords(w.Records)
	m := &Message{RenewReply: answer}
	if len(answer.Grants) < len(w.Grants) {
		m.Table = t.tableMessage().Table
	}
	t.send(w.from, m)
}

// passOver has a member not be granted a job for a while.
func (t *Node) passOver(job string, id swim.ID, forS float64) {
	t.passed = slices.DeleteFunc(t.passed, func(p passed) bool { return p.until <= t.now || p.job == job && p.id == id })
	t.passed = append(t.passed, passed{job, id, t.now + forS})
}

// moveOn asks the owner of a job to give it up.
func (t *Node) moveOn(job string) {
	if g, known := t.group.machine.grant(job); known && g.Holder != 0 {
		t.passOver(job, g.Holder, passS)
		t.sendMove(g)
	}
}

func (t *Node) sendMove(g Grant) {
	if g.Holder == t.self {
		t.moved(g.Role)
	} else {
		t.do.Send(g.Holder, &Message{StepDown: g.Role})
	}
}

// tickLeader grants what is free.
func (t *Node) tickLeader() {
	t.tickLeave()
	if !t.leading() {
		return
	}
	for _, job := range t.set.Roles {
		t.post(job)
	}
	t.dueAt = t.now + tickS
	if n := t.alive(); n != t.live {
		t.live, t.changed = n, t.now
	}
	var list []command
	for _, p := range t.jobs {
		if p.pending {
			continue
		}
		g, _ := t.group.machine.grant(p.job)
		nobodys := g.Holder == 0 || p.freed == g.Token
		over := t.now >= max(p.confirmed, t.leadsAt)+leaseS
		switch {
		case nobodys || over:
			id, life := t.choose(p, list)
			switch {
			case id != 0:
				list = append(list, command{Job: p.job, Owner: id, Life: life, Was: g.Token})
			case g.Holder != 0 && (nobodys && t.now-p.freedAt > nobodyS || t.now-max(p.confirmed, t.leadsAt) > leaseS+nobodyS):
				list = append(list, command{Job: p.job, Was: g.Token})
			}
		case t.now-max(p.confirmed, t.leadsAt) > soonS:
			t.offer(p) // so that there is somebody when the lease is over
		}
	}
	for _, c := range list {
		t.post(c.Job).pending = true
	}
	if len(list) > 0 && !t.propose(list...) {
		for _, c := range list {
			t.post(c.Job).pending = false
		}
	}
	if t.group == nil {
		return
	}
	t.spread()
	t.replace()
}

// alive counts who can be granted anything, as far as is known.
func (t *Node) alive() (n int) {
	for _, m := range t.members {
		if m.State == swim.Alive {
			n++
		}
	}
	return n
}

// load counts a member's jobs, with those of a list that is to be proposed.
func (t *Node) load(id swim.ID, list []command) (n int) {
	for _, g := range t.group.machine.Grants {
		if g.Holder == id {
			n++
		}
	}
	for _, c := range list {
		if c.Owner == id {
			n++
		}
	}
	return n
}

// ranked returns who may be granted a job, the best first: who has the fewest jobs, and of these by a draw that is the same
// for all and another for each job.
func (t *Node) ranked(p *post, list []command) (ids []swim.ID) {
	g, _ := t.group.machine.grant(p.job)
	type rank struct {
		id   swim.ID
		load int
		draw uint64
	}
	var ranks []rank
	for _, m := range t.members {
		if m.State != swim.Alive || m.ID == t.self && !t.can(p.job) ||
			slices.ContainsFunc(t.passed, func(o passed) bool { return o.job == p.job && o.id == m.ID && t.now < o.until }) {
			continue
		}
		load := t.load(m.ID, list)
		if m.ID == g.Holder {
			load-- // this very job
		}
		ranks = append(ranks, rank{m.ID, load, draw(p.job, m.ID)})
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.draw, b.draw), cmp.Compare(a.id, b.id))
	})
	for _, r := range ranks {
		ids = append(ids, r.id)
	}
	return ids
}

// draw is a number of a job and a member.
func draw(job string, id swim.ID) uint64 {
	x := uint64(id)
	for _, b := range []byte(job) {
		x = (x ^ uint64(b)) * 0x100000001b3
	}
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// bidOf returns the life of a member that would do a job; 0: it has not said so lately.
func (t *Node) bidOf(id swim.ID, job string) uint64 {
	if id == t.self {
		if t.can(job) {
			return t.life
		}
		return 0
	}
	i, known := slices.BinarySearchFunc(t.bids, id, func(b bid, id swim.ID) int { return cmp.Compare(b.id, id) })
	if known && t.now-t.bids[i].at < bidS && slices.Contains(t.bids[i].jobs, job) {
		return t.bids[i].life
	}
	return 0
}

// choose returns who is to own a job that is free: 0 while nobody has said yes.
func (t *Node) choose(p *post, list []command) (swim.ID, uint64) {
	ranked := t.ranked(p, list)
	if len(ranked) == 0 {
		return 0, 0
	}
	if life := t.bidOf(ranked[0], p.job); life != 0 {
		return ranked[0], life
	}
	t.offerTo(p, ranked)
	if t.now-p.offeredAt < patientS {
		t.dueAt = min(t.dueAt, p.offeredAt+patientS)
		return 0, 0
	}
	for _, id := range ranked {
		if life := t.bidOf(id, p.job); life != 0 {
			return id, life
		}
	}
	return 0, 0
}

// offer asks who would take a job.
func (t *Node) offer(p *post) { t.offerTo(p, t.ranked(p, nil)) }

func (t *Node) offerTo(p *post, ranked []swim.ID) {
	switch {
	case p.offered != nil && t.now-p.offeredAt < askS:
		return
	case p.offered != nil && t.now-p.offeredAt < bidS:
		for _, id := range p.offered {
			if t.bidOf(id, p.job) == 0 {
				t.passOver(p.job, id, deafAskS)
			}
		}
		if slices.ContainsFunc(p.offered, func(id swim.ID) bool { return t.bidOf(id, p.job) != 0 }) && t.now-p.offeredAt < bidS/2 {
			return
		}
		ranked = t.ranked(p, nil)
	}
	p.offered, p.offeredAt = nil, t.now
	for _, id := range ranked[:min(len(ranked), mostAsk)] {
		p.offered = append(p.offered, id)
		if id != t.self {
			t.do.Send(id, &Message{Offered: []string{p.job}})
		}
	}
	t.dueAt = min(t.dueAt, t.now+patientS)
}

// leadLink takes a new link: who was asked without one is asked again.
func (t *Node) leadLink(id swim.ID) {
	if !t.leading() {
		return
	}
	for _, p := range t.jobs {
		if slices.Contains(p.offered, id) && t.now-p.offeredAt < bidS && t.bidOf(id, p.job) == 0 {
			t.do.Send(id, &Message{Offered: []string{p.job}})
		}
	}
}

// spread has the most loaded give up a job where somebody has two fewer.
func (t *Node) spread() {
	if t.now-t.changed < calmS {
		return
	}
	most, least := -1, math.MaxInt
	var from swim.ID
	for _, m := range t.members {
		if m.State != swim.Alive {
			continue
		}
		n := t.load(m.ID, nil)
		if n > most {
			most, from = n, m.ID
		}
		least = min(least, n)
	}
	if most-least < 2 {
		return
	}
	for _, p := range t.jobs {
		g, _ := t.group.machine.grant(p.job)
		if g.Holder != from || p.pending || p.freed == g.Token || t.now-p.moveAt < calmS {
			continue
		}
		ranked := t.ranked(p, nil)
		if len(ranked) == 0 || t.load(ranked[0], nil) > most-2 {
			continue
		}
		if t.bidOf(ranked[0], p.job) == 0 { // Danger: a job that is given up for one that does not want it only rests
			t.offerTo(p, ranked)
			return
		}
		p.moveAt, t.changed = t.now, t.now
		t.sendMove(g)
		return
	}
}

// tickLeave hands leadership on, once all that this member owned is another's.
func (t *Node) tickLeave() {
	if !t.leaving || t.handed {
		return
	}
	g := t.group
	switch {
	case g == nil || !g.leads:
		t.handed = true
	case slices.ContainsFunc(t.done, t.stillOurs) && t.now-t.leftAt < 1:
		t.dueAt = min(t.dueAt, t.now+0.02)
	case t.now-t.leftAt > 2:
		t.handed = true // nobody takes it
	default:
		if t.now >= t.handAt {
			t.handAt = t.now + handS
			t.handOn()
		}
		t.dueAt = min(t.dueAt, t.now+0.05)
	}
}

// handOn transfers leadership to an elector that is there, each time to another.
func (t *Node) handOn() {
	var there []uint64
	for _, id := range t.group.conf.GetVoters() {
		if m := t.member(swim.ID(id)); swim.ID(id) != t.self && m != nil && m.State == swim.Alive {
			there = append(there, id)
		}
	}
	if len(there) > 0 {
		t.hands++
		t.try(func() { t.group.node.TransferLeader(there[t.hands%len(there)]) })
	}
}

func (t *Node) leaderNext() float64 {
	if t.group != nil && t.group.leads || t.leaving && !t.handed {
		return t.dueAt
	}
	return math.Inf(1)
}

// leaderWants are the links that a leader needs beside those to electors.
func (t *Node) leaderWants() (ids []swim.ID) {
	if !t.leading() {
		return nil
	}
	for _, g := range t.group.machine.Grants {
		ids = append(ids, g.Holder)
	}
	for _, p := range t.jobs {
		if t.now-p.offeredAt < bidS {
			ids = append(ids, p.offered...)
		}
	}
	return ids
}
